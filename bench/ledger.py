"""Checks over real processes that faults neither lose nor duplicate work: ``make ledger``.

Large batch jobs and online calls run without and with injected faults; the results are compared
with what the stand-ins ran. The default takes about five minutes. ``--full`` runs the nightly batch
jobs at their specified size with a fault a minute. The last line of the output is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from .loadgen import LoadRun
from .processes import ProcessTier
from .traces import Kind, TraceLine

SETTLE_S = 5.0
"""Seconds between the start of the tier and the first call."""
CALLS_PER_S = 8.0
"""Rate of the not-repeatable service calls that run beside the batch jobs."""


@dataclass
class Plan:
    """Size of the run of one example deployment.

    :param job_count: number of batch jobs, each with *items* items.
    :param fault_every_s: seconds between two faults.
    """

    example: str
    model: str
    service: str
    job_count: int
    items: int
    output_tokens: int
    fault_every_s: float


@dataclass
class CallLedger:
    """Outcomes of not-repeatable service calls with idempotency keys, by call.

    Each call is sent to two hosts at the same moment and must run at most once.
    """

    outcomes: dict[str, list[str]] = field(default_factory=dict)

    def count_calls(self, ran: dict[str, int]) -> tuple[int, int, int, int]:
        """Count calls that were accepted, completed once, ran twice, and ran though not-run.

        :param ran: number of runs of each call at the service.
        """
        accepted = completed_once = ran_twice = ran_after_not_run = 0
        for name, outcomes in self.outcomes.items():
            count = ran.get(name, 0)
            ran_twice += count > 1
            if "complete" in outcomes:
                accepted += 1
                completed_once += count == 1
            elif count and all(outcome == "not-run" for outcome in outcomes):
                ran_after_not_run += 1
        return accepted, completed_once, ran_twice, ran_after_not_run


def faults(tier: ProcessTier, rng: random.Random) -> list[tuple[str, Callable[[], Any]]]:
    """Return the faults in the order in which they are injected, as names and actions."""
    hosts = len(tier.hosts())
    engines = len(tier.standins["engines"])

    async def kill_host() -> None:
        number = rng.randint(1, hosts)
        tier.kill_host(number)
        await asyncio.sleep(3.0)
        tier.start_host(number)

    async def pause_batch() -> None:
        process = tier.processes[f"batch-{rng.randint(1, hosts)}"]
        process.pause()
        await asyncio.sleep(12.0)
        process.resume()

    async def kill_engine() -> None:
        name = f"engine-{rng.randint(1, engines)}"
        command = tier.processes[name].command
        tier.processes[name].kill()
        await asyncio.sleep(3.0)
        tier.spawn(name, [Path(command[0]).name, *command[1:]])

    async def lose_answers() -> None:
        set_faults(tier, "kv", {"lose_answers": 6})

    async def service_slow() -> None:
        set_faults(tier, "kv", {"delay_s": 0.4})
        await asyncio.sleep(4.0)
        set_faults(tier, "kv", {})

    async def service_down() -> None:
        set_faults(tier, "kv", {"down": True})
        await asyncio.sleep(6.0)
        set_faults(tier, "kv", {})

    async def kill_store() -> None:
        tier.processes["store-1"].kill()
        await asyncio.sleep(3.0)
        path = tier.run_folder / "host-1.json"
        tier.spawn("store-1", ["gradepoint-store", "--settings", str(path)])

    async def kill_two() -> None:
        await asyncio.gather(kill_host(), kill_engine())

    actions = (
        kill_host,
        kill_engine,
        lose_answers,
        pause_batch,
        service_down,
        kill_store,
        service_slow,
        kill_two,
    )
    return [(action.__name__, action) for action in actions]


def set_faults(tier: ProcessTier, standin: str, values: dict[str, Any]) -> None:
    """Set the faults of a stand-in over its HTTP API; an empty map ends them."""
    request = urllib.request.Request(
        f"{tier.standin_url(standin)}/_faults", method="PUT", data=msgspec.json.encode(values)
    )
    urllib.request.urlopen(request, timeout=5).close()


def read_json(url: str) -> Any:
    """Read a JSON document from a stand-in's HTTP API."""
    with urllib.request.urlopen(url, timeout=5) as answer:
        return msgspec.json.decode(answer.read())


@dataclass
class RunResult:
    """Result of one run.

    :ivar lost: batch items without a result or with a wrong one.
    :ivar not_repeatable_twice: not-repeatable calls that ran more than once.
    :ivar ran_after_not_run: calls that ran although every outcome was ``not-run``.
    :ivar kv_calls: calls to the key-value service during the run.
    :ivar kv_bytes: bytes that the key-value service received during the run.
    """

    seconds: float
    items: int
    accepted: int
    completed_once: int
    duplicated: int
    lost: int
    not_repeatable_twice: int
    ran_after_not_run: int
    kv_calls: int
    kv_bytes: int
    faults: list[str]


async def drive(
    tier: ProcessTier, plan: Plan, rng: random.Random, *, with_faults: bool
) -> RunResult:
    """Run the batch jobs of a plan, with or without faults."""
    run = LoadRun(
        tier.entry_urls(), tier.standins["caller_key"], plan.model, f"{plan.model}@v1", plan.service
    )
    calls = CallLedger()
    stop = asyncio.Event()
    label = "faults" if with_faults else "plain"
    before = read_json(f"{tier.standin_url('kv')}/_calls")
    started = time.monotonic()
    background = [asyncio.create_task(send_calls(tier, plan, calls, stop, label))]
    injected: list[str] = []
    if with_faults:
        background.append(asyncio.create_task(inject_faults(tier, plan, rng, stop, injected)))
    lines = [
        TraceLine(
            t=0.0,
            kind=Kind.BATCH_JOB,
            items=plan.items,
            prompt_tokens=40 + number,
            output_tokens=plan.output_tokens,
        )
        for number in range(plan.job_count)
    ]
    if with_faults:
        # The prompts differ from the run without faults, so that the jobs differ too.
        lines = [
            msgspec.structs.replace(line, prompt_tokens=line.prompt_tokens + plan.job_count)
            for line in lines
        ]
    offset = 100000 if with_faults else 0
    await asyncio.gather(
        *(run.run_batch_job(line, offset + number) for number, line in enumerate(lines))
    )
    seconds = time.monotonic() - started
    stop.set()
    await asyncio.gather(*background)
    await asyncio.sleep(1.0)
    after = read_json(f"{tier.standin_url('kv')}/_calls")
    ran = read_json(f"{tier.standin_url('service')}/_ledger")
    accepted, completed_once, ran_twice, ran_after_not_run = calls.count_calls(ran)
    ledger = run.ledger
    return RunResult(
        seconds,
        ledger.items_done,
        ledger.accepted + accepted,
        ledger.completed_once + completed_once,
        ledger.duplicated,
        ledger.lost + ledger.wrong,
        ran_twice,
        ran_after_not_run,
        sum(after["calls"].values()) - sum(before["calls"].values()),
        after["bytes_in"] - before["bytes_in"],
        injected,
    )


async def inject_faults(
    tier: ProcessTier, plan: Plan, rng: random.Random, stop: asyncio.Event, injected: list[str]
) -> None:
    """Inject one fault after another until the batch jobs are done."""
    for name, action in itertools.cycle(faults(tier, rng)):
        try:
            async with asyncio.timeout(plan.fault_every_s):
                await stop.wait()
            return
        except TimeoutError:
            injected.append(name)
            print(f"  fault: {name}", flush=True)
            await action()


async def send_calls(
    tier: ProcessTier, plan: Plan, calls: CallLedger, stop: asyncio.Event, label: str
) -> None:
    """Send not-repeatable calls at a constant rate, each to two hosts at the same moment."""
    http = HttpClient()
    tasks = []
    for number in itertools.count():
        if stop.is_set():
            break
        tasks.append(asyncio.create_task(send_twice(tier, plan, calls, http, f"{label}-{number}")))
        await asyncio.sleep(1.0 / CALLS_PER_S)
    await asyncio.gather(*tasks)


async def send_twice(
    tier: ProcessTier, plan: Plan, calls: CallLedger, http: HttpClient, card: str
) -> None:
    """Send one call to two hosts at once, then resend it to others until one has completed it."""
    urls = tier.entry_urls()
    path = f"/redeem?card={card}"
    name = f"POST {path} "
    outcomes = calls.outcomes.setdefault(name, [])
    headers = {
        "authorization": f"Bearer {tier.standins['caller_key']}",
        "idempotency-key": card,
        "gradepoint-not-repeatable": "true",
    }

    async def send(url: str) -> str:
        try:
            answer = await http.request(
                "POST", f"{url}/services/{plan.service}{path}", b"", headers, timeout_s=20.0
            )
            await answer.read()
        except (ConnectFailed, ResponseBroken):
            return "connection"
        return answer.headers.get("gradepoint-outcome", "?")

    first = random.Random(card).randrange(len(urls))
    outcomes += await asyncio.gather(send(urls[first]), send(urls[(first + 1) % len(urls)]))
    for attempt in range(8):
        if "complete" in outcomes:
            return
        await asyncio.sleep(0.5 * (attempt + 1))
        outcomes.append(await send(urls[(first + 2 + attempt) % len(urls)]))


async def run_plan(plan: Plan, folder: Path) -> tuple[RunResult, RunResult]:
    """Run an example deployment first without faults, then with faults."""
    tier = ProcessTier(plan.example, folder / plan.example, overrides={"log_level": "WARNING"})
    try:
        tier.start()
        await asyncio.sleep(SETTLE_S)
        rng = random.Random(plan.example)
        plain = await drive(tier, plan, rng, with_faults=False)
        report(plan, "fault-free", plain)
        faulty = await drive(tier, plan, rng, with_faults=True)
        report(plan, "with faults", faulty)
        return plain, faulty
    finally:
        tier.stop()


def report(plan: Plan, label: str, result: RunResult) -> None:
    """Print the result of one run."""
    rate = result.items / result.seconds
    print(
        f"{plan.example} {label}: {result.items} items in {result.seconds:.1f} s "
        f"({rate:.1f}/s), accepted {result.accepted}, completed once {result.completed_once}, "
        f"duplicated {result.duplicated}, lost {result.lost}, not-repeatable twice "
        f"{result.not_repeatable_twice}, ran after not-run {result.ran_after_not_run}, "
        f"{result.kv_calls / max(1, result.items):.4f} service calls and "
        f"{result.kv_bytes / max(1, result.items):.0f} bytes an item, faults: "
        f"{', '.join(result.faults) or 'none'}",
        flush=True,
    )


def main() -> int:
    """Run both example deployments; return 0 only if no guarantee was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--full", action="store_true", help="full-size nightly batch jobs")
    parser.add_argument("--only", default="", help="run only this example")
    arguments = parser.parse_args()
    scale = 1 if arguments.full else 0
    fault_every_s = 60.0 if arguments.full else 7.0
    plans = [
        Plan("kasitoo-turg", "maker-lm", "orders", 3, (1500, 10000)[scale], 16, fault_every_s),
        Plan(
            "lanternby", "card-llm", "cards", (30, 100)[scale], (60, 100)[scale], 24, fault_every_s
        ),
    ]
    chosen = [plan for plan in plans if arguments.only in ("", plan.example)]
    with tempfile.TemporaryDirectory(prefix="gradepoint-ledger-") as folder:
        runs = [asyncio.run(run_plan(plan, Path(folder))) for plan in chosen]
    every_run = [result for pair in runs for result in pair]
    total = {
        name: sum(getattr(result, name) for result in every_run)
        for name in (
            "accepted",
            "completed_once",
            "duplicated",
            "lost",
            "not_repeatable_twice",
            "ran_after_not_run",
        )
    }
    ratios = [
        (faulty.items / faulty.seconds) / (plain.items / plain.seconds) for plain, faulty in runs
    ]
    line = {
        **total,
        "throughput_ratio": round(min(ratios), 3),
        "kv_calls_per_item": round(
            sum(result.kv_calls for result in every_run)
            / sum(result.items for result in every_run),
            4,
        ),
    }
    print(msgspec.json.encode(line).decode())
    violations = sum(total[name] for name in total if name not in ("accepted", "completed_once"))
    return 0 if violations == 0 and total["accepted"] == total["completed_once"] else 1


if __name__ == "__main__":
    sys.exit(main())
