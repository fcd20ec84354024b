"""Mutation tests: known mistakes and the tests that must catch them.

``python -m bench.mutations`` makes each mistake in a copy of the source tree, where the named tests
must fail. It prints a line for each mutation and exits with 1 if one survives.
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
    """One mistake: the text *old* is replaced by *new* in a module.

    :param module: path of the module below ``gradepoint``.
    :param tests: paths of the tests that must fail, separated by spaces.
    """

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
DRAWN = f"{GATEWAY}/test_gateway_drawn_entries.py"

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "prompt parts are never suspects",
        "gateway/identity.py",
        "return {SuspectKey(self.key): None, **parts}",
        "return {SuspectKey(self.key): None}",
        f"{GATEWAY}/test_gateway_harmful_parts.py",
    ),
    Mutation(
        "an error answer clears the parts of its prompt",
        "gateway/suspicion.py",
        "if part is None or is_success:",
        "if part is None or True:",
        f"{GATEWAY}/test_gateway_harmful_parts.py",
    ),
    Mutation(
        "crashes that a held suspect explains count against others",
        "routing/suspects.py",
        "explained |= incarnations",
        "explained |= set()",
        "tests/test_routing/test_routing_suspects.py",
    ),
    Mutation(
        "answers being written clear no part",
        "gateway/app.py",
        "self.suspicion.find_writing = self.forwarder.find_writing",
        "self.suspicion.find_writing = dict",
        f"{GATEWAY}/test_gateway_harmful_parts.py",
    ),
    Mutation(
        "simultaneous crashes blame no part",
        "gateway/suspicion.py",
        "if crash.planned or crash.extent is CrashExtent.POWER_LOSS:",
        "if crash.planned or crash.common:",
        f"{GATEWAY}/test_gateway_harmful_parts.py",
    ),
    Mutation(
        "an overloaded host accepts all connections",
        "gateway/accept_gate.py",
        "if self.limiter.accept() or self.count_hosts() < 2:",
        "if self.limiter.accept() or True:",
        f"{GATEWAY}/test_gateway_overload.py",
    ),
    Mutation(
        "stream is resumed at any software version",
        "gateway/live.py",
        "return self.forwarder.choose(self.service, self.tried, accept, self.version)",
        "return self.forwarder.choose(self.service, self.tried, accept)",
        f"{GATEWAY}/test_gateway_software_versions.py",
    ),
    Mutation(
        "stream is recorded at no other host",
        "peers/stream_versions.py",
        "for address in find_holders(request, live, HOLDERS):",
        "for address in find_holders(request, live, 0):",
        f"{GATEWAY}/test_gateway_software_versions.py",
    ),
    Mutation(
        "text of an item is continued by any software version",
        "jobs/records.py",
        "kept = self.empty or self.version == version",
        "kept = True",
        f"{GATEWAY}/test_gateway_software_versions.py",
    ),
    Mutation(
        "chunk is written without a revision check",
        "batch/repository.py",
        "expects = [Expect(key, revision)]",
        "expects: list[Expect] = []",
        BATCH,
    ),
    Mutation(
        "result is accepted after the job has ended",
        "batch/repository.py",
        "expects.append(Expect(*job))",
        "pass",
        BATCH,
    ),
    Mutation(
        "commit does not check the epoch",
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
        "lost response is treated as a failure",
        "kv/settle.py",
        "            uncertain = True",
        "            return WriteOutcome.LOST_RACE, 0",
        KV,
    ),
    Mutation(
        "lost response is treated as a success",
        "kv/settle.py",
        "            uncertain = True",
        "            return WriteOutcome.TOOK_EFFECT, 0",
        KV,
    ),
    Mutation(
        "failed comparison after a lost response is treated as a failure",
        "kv/settle.py",
        "if uncertain and await is_ours():",
        "if False:",
        KV,
    ),
    Mutation(
        "no intent is recorded before a not-repeatable item",
        "batch/worker.py",
        "if not item.repeatable and not await self.committer.record_intent(chunk, index):",
        "if False:",
        BATCH,
    ),
    Mutation(
        "intents of a lost holder are ignored",
        "batch/claiming.py",
        "if item.index in record.intents:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "not-repeatable item is sent again after an unknown outcome",
        "batch/worker.py",
        "        if not item.repeatable:\n            chunk.fail",
        "        if False:\n            chunk.fail",
        BATCH,
    ),
    Mutation(
        "finished item runs again after a claim",
        "batch/claiming.py",
        "if item.index in done:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "item is retried without a limit",
        "batch/open_chunk.py",
        "if count >= max_attempts:",
        "if False:",
        BATCH,
    ),
    Mutation(
        "kept tokens are not skipped on resumption",
        "batch/calls.py",
        'body["continue_text"] = partial.text',
        "pass",
        BATCH,
    ),
    Mutation(
        "not-repeatable call is retried after an unknown outcome",
        "routing/retries.py",
        "if progress.sent and not progress.repeatable:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "unknown outcome is reported as not run",
        "routing/retries.py",
        "    if not not_run:\n        progress.sent = True",
        "    pass",
        ONLINE,
    ),
    Mutation(
        "stream is resumed without its offset",
        "online/execute.py",
        "state.forwarded_tokens += 1",
        "state.forwarded_tokens += 0",
        ONLINE,
    ),
    Mutation(
        "stream is resumed at another target from its start",
        "online/execute.py",
        "state.text += text",
        "state.text += ''",
        ONLINE,
    ),
    Mutation(
        "started stream is reported as not run",
        "online/execute.py",
        "call.progress.sent = True",
        "pass",
        ONLINE,
    ),
    Mutation(
        "claim is written without a revision check",
        "online/claims.py",
        "Transaction((Expect(name, revision),), (put,))",
        "Transaction((), (put,))",
        ONLINE,
    ),
    Mutation(
        "lower configuration version is accepted (config)",
        "config/versions.py",
        "if record.version <= self.version:",
        "if record.version == self.version:",
        KV,
    ),
    Mutation(
        "two applies get the same version",
        "config/versions.py",
        "(Expect(CURRENT_KEY, revision), Expect(audit_key(record.version), ABSENT)),",
        "(),",
        KV,
    ),
    Mutation(
        "claim of a live holder is taken over",
        "online/claims.py",
        "if existing.host in live_hosts:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "call claimed by a lost holder runs again",
        "online/claims.py",
        '    raise GradepointError("holder_lost")',
        "    return None",
        ONLINE,
    ),
    Mutation(
        "idempotency key is accepted for another request",
        "online/claims.py",
        "if existing.digest != digest:",
        "if False:",
        ONLINE,
    ),
    Mutation(
        "order is sent after the lease has expired",
        "fleet/orders.py",
        "    if lease is None or lease.time_left(now) <= 0:\n        return False",
        "    if lease is None:\n        return False",
        FLEET,
    ),
    Mutation(
        "new lease holder does not wait for orders of the former one",
        "fleet/orders.py",
        "return now - lease.acquired_at >= ttl_s + target.longest_order_s",
        "return True",
        FLEET,
    ),
    Mutation(
        "order may outlast its lease",
        "fleet/orders.py",
        "if lease.time_left(now) < target.longest_order_s:",
        "if False:",
        FLEET,
    ),
    Mutation(
        "target is stopped while calls are in progress",
        "fleet/orders.py",
        "report.out_of_rotation and report.in_flight == 0 and observed.in_progress == 0",
        "True",
        FLEET,
    ),
    Mutation(
        "target is drained before every host has the version",
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
        "new version is not announced to peers",
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
        "corrupt copies are not detected",
        "store/disk.py",
        "return data if sha256_hex(data) == name else None",
        "return data",
        STORE,
    ),
    Mutation(
        "corrupt copy is not removed",
        "store/server.py",
        "                self.disk.quarantine(name)",
        "                pass",
        STORE,
    ),
    Mutation(
        "both copies are placed in one failure domain",
        "store/replicas.py",
        "    return best_of_domain + rest",
        "    return ordered",
        STORE,
    ),
    Mutation(
        "batch keeps slots that online calls need",
        "routing/batch_window.py",
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
        "job is changed without a revision check",
        "jobs/repository.py",
        "transaction = Transaction((Expect(key, job.revision),), (Put(key, raw), *puts))",
        "transaction = Transaction((), (Put(key, raw), *puts))",
        JOBS,
    ),
    Mutation(
        "job is accepted although it exists",
        "jobs/repository.py",
        "expects = (absent, Expect(key, quota.revision if quota else ABSENT))",
        "expects = (Expect(key, quota.revision if quota else ABSENT),)",
        JOBS,
    ),
    Mutation(
        "tokens are charged without a revision check",
        "jobs/repository.py",
        "expects = (absent, Expect(key, quota.revision if quota else ABSENT))",
        "expects = (absent,)",
        JOBS,
    ),
    Mutation(
        "job is refused after a write without a response",
        "jobs/api.py",
        'raise GradepointError("job_uncertain") from error',
        'raise GradepointError("service_unavailable") from error',
        JOBS,
    ),
    Mutation(
        "disconnect of the client cancels the acceptance of its job",
        "jobs/api.py",
        "await asyncio.shield(self.tasks.start(self._submit(route, head, body), awaited=True))",
        "await self._submit(route, head, body)",
        JOBS,
    ),
    Mutation(
        "item is resumed one event too late",
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
        "lower configuration version is accepted (gateway)",
        "gateway/followers.py",
        "found.version <= self.current.version",
        "False",
        GATEWAY,
    ),
    Mutation(
        "draining target is chosen",
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
        "soak: a call that may run once is sent again",
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
        "soak: a truncated response looks complete",
        "gateway/live.py",
        "            raise self._abort_stream(exchange, error) from error\n        finally:",
        "            self._abort_stream(exchange, error)\n        finally:",
        SOAK,
    ),
    Mutation(
        "spooled job is acknowledged with one copy too few",
        "spool/client.py",
        "if answers.count(SpoolOutcome.KEPT) >= self.copies:",
        "if answers.count(SpoolOutcome.KEPT) >= self.copies - 1:",
        SPOOL,
    ),
    Mutation(
        "job that a data host may hold is reported as refused",
        "spool/client.py",
        "return SpoolOutcome.NOT_KEPT if not_kept else SpoolOutcome.UNCERTAIN",
        "return SpoolOutcome.NOT_KEPT",
        SPOOL,
    ),
    Mutation(
        "data host enters a job and asks no gateway to run it",
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
        "add_counts(remote_in_flight, own.calls, -1)",
        "pass",
        PEERS,
    ),
    Mutation(
        "every host fills all spare slots",
        "jobs/slot_sharing.py",
        "share = spare * own_weight / (own_weight + other_weight)",
        "share = spare",
        JOBS,
    ),
    Mutation(
        "soak: results are listed again after a takeover",
        "jobs/repository.py",
        "parts = await self._load_parts(job.id, result_prefix(job.id), job.state.commits)",
        "parts: list[bytes] = []",
        SOAK,
    ),
    Mutation(
        "soak: a lost call is reported as not run",
        "gateway/live.py",
        'return GradepointError("target_lost", str(error))',
        'return GradepointError("target_refused", str(error))',
        SOAK,
    ),
    Mutation(
        "a part above one value is written whole",
        "jobs/fragments.py",
        "part if len(part) <= max_bytes else",
        "part if part else",
        f"{JOBS}/test_jobs_large_items.py",
    ),
    Mutation(
        "fragments of different sizes share their keys",
        "jobs/records.py",
        "/{part.digest}/{part.fragment_bytes}/",
        "/{part.digest}/",
        f"{JOBS}/test_jobs_large_items.py",
    ),
    Mutation(
        "a job is released although results remain",
        "jobs/repository.py",
        "released=released and len(listed) == len(work.results),",
        "released=released,",
        f"{JOBS}/test_jobs_large_results.py",
    ),
    Mutation(
        "a page of a large job loads all of its results",
        "jobs/repository.py",
        "if not has_large_results(job.state):",
        "if job.state.commits:",
        f"{JOBS}/test_jobs_large_results.py",
    ),
    Mutation(
        "refused parts are not made smaller",
        "jobs/repository.py",
        "if not self._reduce_parts(error):",
        "if error.key:",
        f"{JOBS}/test_jobs_rejections.py",
    ),
    Mutation(
        "results that wait have no bound",
        "jobs/worker.py",
        "waiting_bytes >= self.max_waiting_bytes",
        "waiting_bytes < 0",
        f"{JOBS}/test_jobs_large_results.py",
    ),
    Mutation(
        "writes that time out keep their size",
        "jobs/fragments.py",
        "if transaction.value_bytes > MIN_WRITE_BYTES:",
        "if transaction.value_bytes < 0:",
        f"{JOBS}/test_jobs_large_results.py",
    ),
    Mutation(
        "a refused commit is repeated each half second",
        "jobs/worker.py",
        "job.commit_after = monotonic() + REJECTED_RETRY_S",
        "job.commit_after = monotonic() + COMMIT_RETRY_S",
        f"{JOBS}/test_jobs_rejections.py",
    ),
    Mutation(
        "a refused job is kept on data hosts",
        "jobs/intake.py",
        "(create_task.exception() is None or is_refused(create_task))",
        "create_task.exception() is None",
        f"{JOBS}/test_jobs_rejections.py",
    ),
    Mutation(
        "a data host ends its round at a refused job",
        "spool/host.py",
        "held.next_try_at = now + REJECTED_RETRY_S",
        "held.next_try_at = now",
        f"{JOBS}/test_jobs_rejections.py",
    ),
    Mutation(
        "a page of results is limited by its characters",
        "jobs/api.py",
        "len(msgspec.json.encode((item_ids[row.index], row.text)))",
        "len(row.text)",
        f"{JOBS}/test_jobs_decisions.py",
    ),
    Mutation(
        "a refused call counts as an outage",
        "kv/relay.py",
        "except (KvUnavailable, KvUncertain) as error:",
        "except (KvUnavailable, KvUncertain, KvRejected) as error:",
        f"{KV}/test_kv_relay.py",
    ),
    Mutation(
        "a final refusal by the store is taken for a passing one",
        "platform/store.py",
        "if status in PASSING_STATUSES:",
        "if status in (*PASSING_STATUSES, *REJECTED_STATUSES):",
        "tests/test_platform/test_platform_store.py",
    ),
    Mutation(
        "a nested value ends the reading of a list",
        "util/decoding.py",
        "FAILURES = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)",
        "FAILURES = (msgspec.MsgspecError,)",
        "tests/test_util/test_util_decoding.py",
    ),
    Mutation(
        "an unreadable target ends the reading of the list of targets",
        "gateway/followers.py",
        "            except DecodingError as error:\n                self.unreadable.note(",
        "            except KeyError as error:\n                self.unreadable.note(",
        DRAWN,
    ),
    Mutation(
        "an unreadable target is a fault in gradepoint, and one more ends the list",
        "gateway/followers.py",
        "        with self.unreadable.isolate(key):\n            try:",
        "        if key:\n            try:",
        f"{GATEWAY}/test_gateway_followers.py",
    ),
    Mutation(
        "a row of a live host that fails hides those behind it",
        "gateway/followers.py",
        "            with self.unreadable.isolate(key):\n                self._apply(key, value)",
        "            if key:\n                self._apply(key, value)",
        f"{GATEWAY}/test_gateway_followers.py",
    ),
    Mutation(
        "an unreadable presence is a fault in gradepoint",
        "peers/presence.py",
        "            self.put(key, value)\n        except DecodingError as error:",
        "            self.put(key, value)\n        except KeyError as error:",
        DRAWN,
    ),
    Mutation(
        "an unreadable record of a held request is a fault in gradepoint",
        "gateway/held.py",
        "except DecodingError as error:",
        "except KeyError as error:",
        DRAWN,
    ),
    Mutation(
        "a held request may name a target by any number",
        "gateway/held.py",
        "le=HASH32_MAX",
        "le=1 << 62",
        DRAWN,
    ),
    Mutation(
        "an unreadable record of software versions is a fault in gradepoint",
        "gateway/version_history.py",
        "except DecodingError as error:",
        "except KeyError as error:",
        DRAWN,
    ),
    Mutation(
        "an unreadable configuration is a fault in gradepoint",
        "gateway/followers.py",
        "        except DecodingError as error:\n            emit(events.CONFIG_UNREADABLE",
        "        except KeyError as error:\n            emit(events.CONFIG_UNREADABLE",
        DRAWN,
    ),
    Mutation(
        "an unreadable job ends the listing of jobs",
        "jobs/repository.py",
        "jobs.append(_read_stored(item))\n            except KvUnreadable as error:",
        "jobs.append(_read_stored(item))\n            except KeyError as error:",
        DRAWN,
    ),
    Mutation(
        "a job with unreadable items ends a sweep",
        "jobs/adoption.py",
        "except KvUnreadable as error:",
        "except KeyError as error:",
        DRAWN,
    ),
    Mutation(
        "missing items count as an outage",
        "jobs/repository.py",
        'raise KvUnreadable(f"{len(found)} of {count} parts found below {prefix}")',
        'raise KvUnavailable(f"{len(found)} of {count} parts found below {prefix}")',
        DRAWN,
    ),
    Mutation(
        "a job may have any name",
        "jobs/repository.py",
        "if not is_job_id(job_id):",
        "if not job_id:",
        DRAWN,
    ),
    Mutation(
        "an unreadable quota record refuses all jobs of its route",
        "jobs/repository.py",
        "        return decode_value(item.value, Quota).tokens\n    except KvUnreadable as error:",
        "        return decode_value(item.value, Quota).tokens\n    except KeyError as error:",
        f"{JOBS}/test_jobs_unreadable.py",
    ),
    Mutation(
        "a target may have any number of slots",
        "platform/targets.py",
        "msgspec.Meta(ge=0, le=MAX_EXACT)",
        "msgspec.Meta(ge=0)",
        DRAWN,
    ),
)


async def main(wanted: str = "") -> int:
    """Run every mutation whose name or module contains *wanted*; return how many survive."""
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
    """Return the name of the first test that fails with the mutation, or an empty string."""
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
