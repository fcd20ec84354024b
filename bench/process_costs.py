"""Measures processor time and memory of the real programs: ``python -m bench.process_costs``.

Both are read from /proc for each process of an example deployment, so that the load generator's
own work is not counted. Writes docs/measurements/programs.json.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
import numpy

from gradepoint.wire import sse
from gradepoint.wire.http_client import HttpClient

from .loadgen import LoadRun, percentile
from .processes import ROOT, ProcessTier

TICKS_PER_S = 100.0
"""Clock ticks a second in /proc, as on all common Linux systems."""
IDLE_S = 15.0
OUTPUT = ROOT / "docs" / "measurements" / "programs.json"
SHAPES = ((600, 1), (600, 8), (300, 32), (600, 16), (1200, 1))
"""Calls and output tokens of the runs from which the costs of calls and tokens are fitted."""
AT_ONCE = 32
"""Calls in flight at most."""


def cpu_seconds(pid: int) -> float:
    """Return the user and system seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int, kind: str = "VmRSS") -> float:
    """Return a memory figure of a process in MB; *kind* is its name in /proc/PID/status."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(kind + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


class CpuMeter:
    """Measures the processor time of all processes with a name prefix from its creation on."""

    def __init__(self, tier: ProcessTier, prefix: str) -> None:
        self.pids = [
            process.popen.pid for name, process in tier.processes.items() if name.startswith(prefix)
        ]
        self.before = self._sum()
        self.started = time.monotonic()

    def _sum(self) -> float:
        return sum(cpu_seconds(pid) for pid in self.pids)

    def spent(self) -> float:
        """Return the processor seconds of all processes since the meter's creation."""
        return self._sum() - self.before

    def share(self) -> float:
        """Return the mean share of a core that one of the processes used."""
        return self.spent() / (time.monotonic() - self.started) / len(self.pids)


async def call_many(
    url: str, headers: dict[str, str], model: str, calls: int, tokens: int, *, stream: bool
) -> tuple[list[float], float]:
    """Send calls, :data:`AT_ONCE` at a time; return first-token times and calls a second."""
    http = HttpClient()
    slots = asyncio.Semaphore(AT_ONCE)
    first: list[float] = []

    async def send_one(number: int) -> None:
        body = msgspec.json.encode(
            {
                "model": model,
                "prompt": f"cost {number} {tokens} {calls}",
                "max_tokens": tokens,
                "stream": stream,
            }
        )
        async with slots:
            started = time.monotonic()
            response = await http.request("POST", f"{url}/v1/completions", body, headers)
            if not stream:
                await response.read()
                first.append(time.monotonic() - started)
                return
            seen = False
            async for _ in sse.decode(response.stream()):
                if not seen:
                    first.append(time.monotonic() - started)
                    seen = True

    started = time.monotonic()
    await asyncio.gather(*(send_one(number) for number in range(calls)))
    http.close()
    return first, calls / (time.monotonic() - started)


async def measure_entry(tier: ProcessTier) -> dict[str, Any]:
    """Fit the entry's processor time for each call and each streamed token."""
    headers = {"authorization": f"Bearer {tier.standins['caller_key']}"}
    url = tier.entry_urls()[0]
    rows, costs = [], []
    idle = CpuMeter(tier, "entry-1")
    await asyncio.sleep(3.0)
    idle_share = idle.share()
    await call_many(url, headers, "maker-lm", 200, 4, stream=True)
    for calls, tokens in SHAPES:
        meter = CpuMeter(tier, "entry-1")
        await call_many(url, headers, "maker-lm", calls, tokens, stream=True)
        elapsed = time.monotonic() - meter.started
        rows.append([calls, calls * tokens])
        costs.append(meter.spent() - idle_share * elapsed)
    slopes, *_ = numpy.linalg.lstsq(numpy.array(rows), numpy.array(costs), rcond=None)
    predicted = numpy.array(rows) @ slopes
    meter = CpuMeter(tier, "entry-1")
    _, rate = await call_many(url, headers, "maker-lm", 1500, 1, stream=False)
    return {
        "cpu_ms_per_call": round(float(slopes[0]) * 1000, 3),
        "cpu_ms_per_token": round(float(slopes[1]) * 1000, 4),
        "fit_error": round(float(abs(predicted - numpy.array(costs)).max() / max(costs)), 3),
        "whole_calls_per_s_here": round(rate, 1),
        "cpu_share_at_that_rate": round(meter.share(), 3),
        "idle_cpu_percent": round(idle_share * 100, 2),
    }


async def measure_overhead(tier: ProcessTier) -> dict[str, Any]:
    """Measure first-token and call times through the entry and directly at the engines."""
    headers = {"authorization": f"Bearer {tier.standins['caller_key']}"}
    engines = [f"http://{row['address']}:{row['port']}" for row in tier.standins["engines"]]
    figures: dict[str, Any] = {}
    for name, urls, model in (
        ("direct", engines, "maker-lm@v1"),
        ("entry", tier.entry_urls()[:1], "maker-lm"),
    ):
        http = HttpClient()
        first: list[float] = []
        whole: list[float] = []
        for number in range(150):
            body = msgspec.json.encode(
                {
                    "model": model,
                    "prompt": f"overhead {name} {number}",
                    "max_tokens": 16,
                    "stream": True,
                }
            )
            url = urls[number % len(urls)]
            started = time.monotonic()
            response = await http.request("POST", f"{url}/v1/completions", body, headers)
            seen = False
            async for _ in sse.decode(response.stream()):
                if not seen:
                    first.append(time.monotonic() - started)
                    seen = True
            whole.append(time.monotonic() - started)
        http.close()
        figures[name] = {
            "first_token_ms_p50": round(percentile(first, 0.5) * 1000, 2),
            "call_16_tokens_ms_p50": round(percentile(whole, 0.5) * 1000, 2),
        }
    return figures


async def measure_stream_memory(tier: ProcessTier) -> dict[str, Any]:
    """Measure the entry's memory with 1,000 streaming calls that are queued or in progress."""
    document = msgspec.json.decode(tier.read("config.json"))
    for target in document["targets"]:
        target["slots"] = 2000
    document["organisations"][0]["in_flight"] = 100000
    path = tier.run_folder / "many-slots.json"
    path.write_bytes(msgspec.json.encode(document))
    tier.apply(path)
    await asyncio.sleep(2.0)
    pid = tier.processes["entry-2"].popen.pid
    url = tier.entry_urls()[1]
    headers = {"authorization": f"Bearer {tier.standins['caller_key']}"}
    before = memory_mb(pid)
    http = HttpClient()
    body = msgspec.json.encode(
        {"model": "maker-lm", "prompt": "memory", "max_tokens": 4000, "stream": True}
    )
    tasks = [
        asyncio.create_task(http.request("POST", f"{url}/v1/completions", body, headers))
        for _ in range(1000)
    ]
    await asyncio.sleep(6.0)
    after = memory_mb(pid)
    opened = sum(
        task.done() and not task.exception() and task.result().status == 200 for task in tasks
    )
    refused = sum(
        task.done() and not task.exception() and task.result().status != 200 for task in tasks
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    http.close()
    return {
        "start_mb": round(before, 1),
        "with_1000_calls_mb": round(after, 1),
        "kb_per_call": round((after - before) * 1024 / 1000, 1),
        "streaming": opened,
        "refused": refused,
    }


async def measure_batch(tier: ProcessTier) -> dict[str, Any]:
    """Measure the processor time for each batch item, and time and memory to accept a large job."""
    run = LoadRun(
        tier.entry_urls(), tier.standins["caller_key"], "maker-lm", "maker-lm@v1", "orders"
    )
    figures: dict[str, Any] = {}
    for items, tokens in ((1500, 4), (1500, 24)):
        rows = [
            {
                "custom_id": f"i{n}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {"model": "maker-lm", "prompt": f"cost {tokens} {n}", "max_tokens": tokens},
            }
            for n in range(items)
        ]
        meters = {name: CpuMeter(tier, name) for name in ("batch", "store", "entry")}
        started = time.monotonic()
        job = await run.wait_job((await run.submit(rows, f"cost-{tokens}"))["id"])
        assert job["request_counts"]["completed"] == items
        figures[f"items_{tokens}_tokens"] = {
            "seconds": round(time.monotonic() - started, 2),
            **{
                f"{name}_cpu_ms_per_item": round(meter.spent() / items * 1000, 3)
                for name, meter in meters.items()
            },
        }
    rows = [
        {
            "custom_id": f"i{n}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {
                "model": "no-such-model",
                "prompt": f"large {n} " + "z" * 200,
                "max_tokens": 4,
            },
        }
        for n in range(130000)
    ]
    pids = [tier.processes[f"batch-{n}"].popen.pid for n in range(1, 7)]
    before = max(memory_mb(pid) for pid in pids)
    started = time.monotonic()
    job = await run.submit(rows, "large")
    figures["job_of_130000"] = {
        "accepted_after_s": round(time.monotonic() - started, 2),
        "batch_peak_mb": round(max(memory_mb(pid, "VmHWM") for pid in pids), 1),
        "batch_before_mb": round(before, 1),
    }
    await run.send_with_retries("POST", f"/v1/batches/{job['id']}/cancel", b"", run.headers)
    return figures


async def measure(tier: ProcessTier) -> dict[str, Any]:
    """Run all measurements on a started tier."""
    meters = {name: CpuMeter(tier, name) for name in ("control", "entry", "batch", "store")}
    await asyncio.sleep(IDLE_S)
    idle = {}
    for name, meter in meters.items():
        idle[name] = {
            "cpu_percent": round(meter.share() * 100, 2),
            "rss_mb": round(max(memory_mb(pid) for pid in meter.pids), 1),
            "anonymous_mb": round(max(memory_mb(pid, "RssAnon") for pid in meter.pids), 1),
        }
    return {
        "idle_on_6_hosts": idle,
        "overhead": await measure_overhead(tier),
        "entry": await measure_entry(tier),
        "batch": await measure_batch(tier),
        "memory": await measure_stream_memory(tier),
    }


def main() -> int:
    """Start a tier, run all measurements and write the results."""
    with tempfile.TemporaryDirectory(prefix="gradepoint-costs-") as folder:
        tier = ProcessTier(
            "kasitoo-turg",
            Path(folder) / "run",
            overrides={"log_level": "WARNING", "in_flight_per_target": 2000},
        )
        try:
            tier.start()
            time.sleep(3.0)
            figures = asyncio.run(measure(tier))
        finally:
            tier.stop()
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=2) + b"\n")
    print(OUTPUT.read_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
