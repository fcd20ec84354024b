"""Measures planned stops of targets under load: ``python -m bench.drain``.

Six hosts and six engines on one event loop serve 60 concurrent streams and a batch job while one
target after another is set to stopped. Times count from the response to the configuration change.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from gradepoint.cmd.local import wait_ready
from gradepoint.config.document import TargetState
from gradepoint.standins.engine import EngineStandin
from gradepoint.standins.tier import LOCAL_CALLER_KEY, LocalTier, make_engines
from gradepoint.telemetry import logs

from .loadgen import LoadRun
from .traces import Kind, TraceLine

HOSTS = 6
STREAMS = 60
TARGETS_STOPPED = 3
OUTPUT_TOKENS = 40


async def watch(engine: EngineStandin, started: float) -> tuple[float, float]:
    """Wait until an engine has stopped.

    Return the seconds from *started* to its last new request and to its stop.
    """
    last = 0.0
    seen = sum(engine.ran.values())
    while not engine.stopped:
        count = sum(engine.ran.values())
        if count != seen:
            seen, last = count, time.monotonic() - started
        await asyncio.sleep(0.005)
    return last, time.monotonic() - started


async def main() -> int:
    """Run the load and stop targets; return 0 only if every call completed correctly."""
    logs.configure("bench", "bench", level="ERROR")
    with tempfile.TemporaryDirectory(prefix="gradepoint-drain-") as folder:
        tier = LocalTier(
            Path(folder),
            [f"domain-{n % 3}" for n in range(HOSTS)],
            make_engines(HOSTS, []),
            data_hosts={0, 1, 2},
        )
        await tier.start()
        await wait_ready(tier)
        run = LoadRun(
            [host.entry_url for host in tier.hosts],
            LOCAL_CALLER_KEY,
            "maker-lm",
            "maker-lm@v1",
            "cards",
        )
        stop = asyncio.Event()

        async def stream(worker: int) -> None:
            number = worker * 100000
            while not stop.is_set():
                number += 1
                await run.online(
                    TraceLine(t=0, kind=Kind.ONLINE, output_tokens=OUTPUT_TOKENS), number
                )

        tasks = [asyncio.create_task(stream(worker)) for worker in range(STREAMS)]
        tasks.append(
            asyncio.create_task(
                run.run_batch_job(
                    TraceLine(t=0, kind=Kind.BATCH_JOB, items=600, output_tokens=OUTPUT_TOKENS), 1
                )
            )
        )
        await asyncio.sleep(5.0)
        assert tier.document is not None
        document = tier.document
        for number in range(TARGETS_STOPPED):
            targets = list(document.targets)
            targets[number] = msgspec.structs.replace(targets[number], state=TargetState.STOPPED)
            document = msgspec.structs.replace(document, targets=targets)
            await tier.apply(document)
            last, stopped = await watch(tier.engines[number], time.monotonic())
            print(
                f"target {number + 1}: last new request after {last:.2f} s, stopped after "
                f"{stopped:.2f} s"
            )
            await asyncio.sleep(2.0)
        stop.set()
        await asyncio.gather(*tasks)
        await tier.stop()
    ledger = run.ledger
    print(
        f"accepted {ledger.accepted}, completed once {ledger.completed_once}, lost "
        f"{ledger.lost}, wrong {ledger.wrong}, outcomes {dict(ledger.outcomes)}"
    )
    return 0 if ledger.clean and set(ledger.outcomes) == {"complete"} else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
