"""Seeded mistakes and the tests that catch them: ``python -m bench.mutations``.

Each mistake is made in a copy of the tree; the named tests must fail there. Prints a
line for each and ends with 1 if one survives.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from .processes import ROOT

AT_ONCE = 4


@dataclass(frozen=True)
class Mutation:
    """One mistake: *old* is replaced by *new* in a module."""

    name: str
    module: str
    old: str
    new: str
    tests: str


BATCH = "tests/test_batch"
KV = "tests/test_kv"
GATEWAY = "tests/test_gateway"
JOBS = "tests/test_jobs"
PEERS = "tests/test_peers"
SPOOL = "tests/test_spool"
SOAK = "tests/test_bench/test_bench_soak.py"
FLEET = "tests/test_fleet"
STORE = "tests/test_store"
ROUTING = "tests/test_routing"
ONLINE = "tests/test_online"

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "chunk written without comparison",
        "batch/repository.py",
        "expects = [Expect(key, revision)]",
        "expects: list[Expect] = []",
        BATCH,
    ),
    Mutation(
        "result counts after the job has ended",
        "batch/repository.py",
        "expects.append(Expect(*job))",
        "pass",
        BATCH,
    ),
    Mutation(
        "commit without epoch check",
        "batch/transitions.py",
        "    if chunk.epoch != epoch:\n        return Err(Refusal.STALE_EPOCH)\n"
        "    if not chunk.done.isdisjoint(bundle.items)",
        "    if not chunk.done.isdisjoint(bundle.items)",
        BATCH,
    ),
    Mutation(
        "claim does not raise the epoch",
        "batch/transitions.py",
        "epoch=chunk.epoch + 1",
        "epoch=chunk.epoch",
        BATCH,
    ),
    Mutation(
        "lost answer taken for failure",
        "kv/settle.py",
        "            uncertain = True",
        "            return Settled.LOST_RACE, 0",
        KV,
    ),
    Mutation(
        "lost answer taken for success",
        "kv/settle.py",
        "            uncertain = True",
        "            return Settled.TOOK_EFFECT, 0",
        KV,
    ),
    Mutation(
        "failed comparison after a lost answer taken for failure",
        "kv/settle.py",
        "if uncertain and await is_ours():",
        "if False:",
        KV,
    ),
    Mutation(
        "no intent before a not-repeatable item",
        "batch/worker.py",
        "if not item.repeatable and not await self.committer.record_intent(chunk, index):",
        "if False:",
        BATCH,
    ),
    Mutation(
        "intents of a lost holder ignored",
        "batch/claiming.py",
        "if item.index in record.intents:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "not-repeatable item sent again after unknown",
        "batch/worker.py",
        "        if not item.repeatable:\n            chunk.fail",
        "        if False:\n            chunk.fail",
        BATCH,
    ),
    Mutation(
        "item done is run again after a claim",
        "batch/claiming.py",
        "if item.index in done:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "item given up on never",
        "batch/open_chunk.py",
        "if count >= max_attempts:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "tokens kept are not skipped",
        "batch/calls.py",
        'body["continue_text"] = partial.text',
        "pass",
        BATCH,
    ),
    Mutation(
        "retry after unknown",
        "routing/retries.py",
        "if progress.sent and not progress.repeatable:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "unknown told as not run",
        "routing/retries.py",
        "    if not not_run:\n        progress.sent = True",
        "    pass",
        ONLINE,
    ),
    Mutation(
        "stream resumed without its offset",
        "online/execute.py",
        "state.forwarded_tokens += 1",
        "state.forwarded_tokens += 0",
        ONLINE,
    ),
    Mutation(
        "stream goes on elsewhere from its start",
        "online/execute.py",
        "state.text += text",
        "state.text += ''",
        ONLINE,
    ),
    Mutation(
        "a started stream is told as not run",
        "online/execute.py",
        "call.progress.sent = True",
        "pass",
        ONLINE,
    ),
    Mutation(
        "claim without comparison",
        "online/claims.py",
        "Transaction((Expect(name, revision),), (put,))",
        "Transaction((), (put,))",
        ONLINE,
    ),
    Mutation(
        "a lower configuration version is taken",
        "config/versions.py",
        "if record.version <= self.version:",
        "if record.version == self.version:",
        KV,
    ),
    Mutation(
        "two applies win one version",
        "config/versions.py",
        "(Expect(CURRENT_KEY, revision), Expect(audit_key(record.version), ABSENT)),",
        "(),",
        KV,
    ),
    Mutation(
        "claim of a live holder taken over",
        "online/claims.py",
        "if existing.host in live_hosts:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "claim of a lost holder runs again",
        "online/claims.py",
        '    raise GradepointError("holder_lost")',
        "    return None",
        ONLINE,
    ),
    Mutation(
        "key used for another request",
        "online/claims.py",
        "if existing.digest != digest:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "order sent after the lease has lapsed",
        "fleet/orders.py",
        "    if lease is None or lease.time_left(now) <= 0:\n        return False",
        "    if lease is None:\n        return False",
        FLEET,
    ),
    Mutation(
        "new order-giver does not wait out the old one",
        "fleet/orders.py",
        "return now - lease.acquired_at >= ttl_s + target.longest_order_s",
        "return True",
        FLEET,
    ),
    Mutation(
        "order may outlive its lease",
        "fleet/orders.py",
        "if lease.time_left(now) < target.longest_order_s:",
        "if False:",
        FLEET,
    ),
    Mutation(
        "stop while calls are in progress",
        "fleet/orders.py",
        "report.out_of_rotation and report.in_flight == 0 and observed.in_progress == 0",
        "True",
        FLEET,
    ),
    Mutation(
        "drain before every host has the version",
        "fleet/orders.py",
        "return Order(OrderKind.DRAIN, fencing) if report.out_of_rotation else None",
        "return Order(OrderKind.DRAIN, fencing)",
        FLEET,
    ),
    Mutation(
        "suspicion is never refuted",
        "fleet/membership.py",
        "            return self._refute(update)",
        "            return False",
        FLEET,
    ),
    Mutation(
        "lost hosts are never pinged again",
        "fleet/membership.py",
        "if lost and self.round_number % LOST_PING_INTERVAL == 0:",
        "if False:",
        FLEET,
    ),
    Mutation(
        "a new version is not told to peers",
        "fleet/membership.py",
        "        return [self._make_send(member, GossipKind.PING, 0) for member in chosen]",
        "        return []",
        FLEET,
    ),
    Mutation(
        "referenced objects are collected",
        "batch/housekeeping.py",
        "                if name in referenced:\n                    continue",
        "                pass",
        STORE,
    ),
    Mutation(
        "young objects are collected",
        "store/disk.py",
        "if time.time() - path.stat().st_mtime < min_age_s:",
        "if False:",
        STORE,
    ),
    Mutation(
        "lost copies are not restored",
        "batch/housekeeping.py",
        "if holders and len(domains) < COPIES and await self.store.copy(name, holders):",
        "if False:",
        STORE,
    ),
    Mutation(
        "corrupt copies are believed",
        "store/disk.py",
        "return data if sha256_hex(data) == name else None",
        "return data",
        STORE,
    ),
    Mutation(
        "a corrupt copy stays in place",
        "store/server.py",
        "                self.disk.quarantine(name)",
        "                pass",
        STORE,
    ),
    Mutation(
        "both copies in one failure domain",
        "store/replicas.py",
        "    return best_of_domain + rest",
        "    return ordered",
        STORE,
    ),
    Mutation(
        "batch keeps slots that online calls need",
        "routing/slack.py",
        "max(0, in_flight - int(free))",
        "0",
        ROUTING,
    ),
    Mutation(
        "half-open circuit lets every call through",
        "routing/choice.py",
        "            self.probes += 1",
        "            pass",
        ROUTING,
    ),
    Mutation(
        "job changed without comparison",
        "jobs/repository.py",
        "transaction = Transaction((Expect(key, job.revision),), (Put(key, raw), *puts))",
        "transaction = Transaction((), (Put(key, raw), *puts))",
        JOBS,
    ),
    Mutation(
        "job accepted though it exists",
        "jobs/repository.py",
        "expects = (absent, Expect(key, quota.revision if quota else ABSENT))",
        "expects = (Expect(key, quota.revision if quota else ABSENT),)",
        JOBS,
    ),
    Mutation(
        "tokens charged without comparison",
        "jobs/repository.py",
        "expects = (absent, Expect(key, quota.revision if quota else ABSENT))",
        "expects = (absent,)",
        JOBS,
    ),
    Mutation(
        "refused after a write without an answer",
        "jobs/api.py",
        'raise GradepointError("job_uncertain") from error',
        'raise GradepointError("service_unavailable") from error',
        JOBS,
    ),
    Mutation(
        "client's leaving ends the taking of its job",
        "jobs/api.py",
        "return await asyncio.shield(self.tasks.start(self._submit(route, head, body)))",
        "return await self._submit(route, head, body)",
        JOBS,
    ),
    Mutation(
        "item goes on one event too late",
        "jobs/item_run.py",
        "resume_after=partial.last_event,",
        "resume_after=partial.last_event and partial.last_event + 1,",
        JOBS,
    ),
    Mutation(
        "stopping host renews its lease",
        "gateway/app.py",
        "        self.renewing.cancel()\n",
        "",
        JOBS,
    ),
    Mutation(
        "lower version taken",
        "gateway/followers.py",
        "found.version <= self.current.version",
        "False",
        GATEWAY,
    ),
    Mutation(
        "draining target chosen",
        "gateway/targets.py",
        "if t.listed.state is ListedState.READY]",
        "]",
        GATEWAY,
    ),
    Mutation(
        "ejection may empty a service",
        "gateway/targets.py",
        "if len(working) < minimum:",
        "if False:",
        GATEWAY,
    ),
    Mutation(
        "soak: a call that may have run is refused as not run",
        "gateway/live.py",
        '        if self.may_have_run:\n            return GradepointError("target_lost")\n'
        "        return GradepointError(code",
        "        return GradepointError(code",
        f"{GATEWAY} {SOAK}",
    ),
    Mutation(
        "soak: a single call is sent again",
        "gateway/configuration.py",
        "return self.kind in (RouteKind.REPEATABLE, RouteKind.BATCH)",
        "return True",
        SOAK,
    ),
    Mutation(
        "soak: a resumed stream repeats an event",
        "gateway/live.py",
        "exchange = await self._reopen(exchange, last)",
        "exchange = await self._reopen(exchange, last - 1 if last else last)",
        SOAK,
    ),
    Mutation(
        "soak: a cut answer looks whole",
        "gateway/live.py",
        "            raise self._abort_stream(exchange, error) from error\n        finally:",
        "            self._abort_stream(exchange, error)\n        finally:",
        SOAK,
    ),
    Mutation(
        "a spooled job is promised with one copy too few",
        "spool/client.py",
        "if answers.count(SpoolOutcome.KEPT) >= self.copies:",
        "if answers.count(SpoolOutcome.KEPT) >= self.copies - 1:",
        SPOOL,
    ),
    Mutation(
        "a job that a data host may keep is told as refused",
        "spool/client.py",
        "return SpoolOutcome.NOT_KEPT if not_kept else SpoolOutcome.UNCERTAIN",
        "return SpoolOutcome.NOT_KEPT",
        SPOOL,
    ),
    Mutation(
        "a data host enters a job and asks nobody to run it",
        "spool/host.py",
        "        if submission.admission is Admission.NEW:\n",
        "        if submission.admission is Admission.NO_ROOM:\n",
        SPOOL,
    ),
    Mutation(
        "data hosts hold more than the tolerated excess",
        "spool/host.py",
        "if body.max_tokens_per_host and waiting + job.tokens > body.max_tokens_per_host:",
        "if False:",
        SPOOL,
    ),
    Mutation(
        "a host counts its own calls as another's",
        "peers/occupancy.py",
        "elsewhere[target] = elsewhere.get(target, 0) - number",
        "pass",
        PEERS,
    ),
    Mutation(
        "every host fills all spare slots",
        "jobs/feeding.py",
        "share = spare * own_weight / (own_weight + other_weight)",
        "share = spare",
        JOBS,
    ),
    Mutation(
        "soak: results are listed anew at a takeover",
        "jobs/repository.py",
        "parts = await self._load_parts(result_prefix(job.id), job.state.commits)",
        "parts: list[bytes] = []",
        SOAK,
    ),
    Mutation(
        "soak: a call that was lost is told as not run",
        "gateway/live.py",
        'return GradepointError("target_lost", str(error))',
        'return GradepointError("target_refused", str(error))',
        SOAK,
    ),
)


async def main(wanted: str = "") -> int:
    """Try every mutation whose name or module holds *wanted*; return how many survive."""
    slots = asyncio.Semaphore(AT_ONCE)
    chosen = [row for row in MUTATIONS if wanted in row.name or wanted in row.module]
    results = await asyncio.gather(*(_try(mutation, slots) for mutation in chosen))
    survivors = 0
    for mutation, killer in zip(chosen, results, strict=True):
        survivors += not killer
        print(
            f"{'killed  ' if killer else 'SURVIVED'} {mutation.name} ({mutation.module}): "
            f"{killer or '-'}"
        )
    print(f"{len(chosen) - survivors} killed, {survivors} survived")
    return survivors


async def _try(mutation: Mutation, slots: asyncio.Semaphore) -> str:
    """Return the first test that fails with the mutation, or an empty string."""
    async with slots:
        with tempfile.TemporaryDirectory(prefix="gradepoint-mutation-") as temporary:
            copy = Path(temporary)
            for name in ("gradepoint", "tests", "bench"):
                shutil.copytree(
                    ROOT / name, copy / name, ignore=shutil.ignore_patterns("__pycache__")
                )
            shutil.copy(ROOT / "pyproject.toml", copy)
            module = copy / "gradepoint" / mutation.module
            source = module.read_text()
            if mutation.old not in source:
                raise SystemExit(f"{mutation.name}: not found in {mutation.module}")
            module.write_text(source.replace(mutation.old, mutation.new))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pytest",
                "-x",
                "-q",
                "--no-header",
                "--tb=no",
                *mutation.tests.split(),
                cwd=copy,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": str(copy)},
            )
            output, _ = await process.communicate()
            for line in output.decode().splitlines():
                if line.startswith(("FAILED", "ERROR")):
                    return line.split(" - ")[0].split("::")[-1]
            return ""


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(main(*sys.argv[1:2])) else 0)
