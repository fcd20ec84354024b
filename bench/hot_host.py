"""``python -m bench.hot_host``: most new connections go to one gateway process.

Starts gateways as real processes, with stand-ins of the store and the targets in this process and
callers in processes of their own, each of which opens a new connection for each call. For some
seconds most connections go to one gateway, then to another. Prints for each second the calls that
were read and served at their first attempt, and the processor time of the busiest gateway.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from gradepoint.standins.ports import LOOPBACK
from gradepoint.wire.addresses import split_address

from .platform.store import PlatformStoreStandin
from .platform.target import TargetStandin
from .soak.fleet import ROOT, GatewayProcess
from .soak.proxy import Proxy

CALM_S = 6.0
"""Seconds before connections go to one gateway; after it, this takes twice as long."""
TIME_LEFT_S = 5.0
RETRY_DELAY_S = 0.1
"""Seconds after which a caller whose connection was refused tries another gateway."""
HOST = "calls.example"


@dataclass
class CallResult:
    """One call.

    :param second: whole second of the run in which it was sent.
    :param attempts: connections that it took; all but the last were closed without a byte.
    :param status: status of the answer; 0 without a complete one.
    """

    second: int
    attempts: int
    status: int
    took_s: float


def make_configuration() -> bytes:
    """Return a configuration with one streaming route."""
    route = {
        "name": "stream",
        "host": HOST,
        "path_prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": round(TIME_LEFT_S * 1000),
        "goal_ms": 400,
        "priority": 0,
        "service": "model",
        "max_attempts": 2,
        "resumable": True,
        "gap_goal_ms": 200,
    }
    limits = {
        "header_bytes": 8192,
        "body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    service = {"name": "model", "health_path": "/health", "max_conns": 400}
    return msgspec.json.encode(
        {"version": 1, "routes": [route], "services": [service], "limits": limits}
    )


async def call_once(address: tuple[str, int], name: str, events: int) -> int | None:
    """Send one call on a new connection.

    :returns: the status, 0 if the answer is incomplete, or None if there is none at all.
    """
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    try:
        head = (
            f"POST /stream/{name} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {name}\r\n"
            f"X-Time-Left-Ms: {round(TIME_LEFT_S * 1000)}\r\nConnection: close\r\n"
            "Content-Length: 4\r\n\r\nbody"
        )
        writer.write(head.encode())
        async with asyncio.timeout(TIME_LEFT_S + 1.0):
            answer = await reader.read(-1)
    except (OSError, TimeoutError):
        answer = b""
    finally:
        writer.close()
    if not answer:
        return None
    status = int(answer.split(b" ", 2)[1])
    is_whole = status != 200 or f"id: {events - 1}\n".encode() in answer
    return status if is_whole else 0


async def run_callers(
    addresses: list[tuple[str, int]], rate: float, share: float, events: int, seed: int
) -> list[CallResult]:
    """Send calls at random times; in the hot seconds, *share* of them to one gateway."""
    rng = random.Random(seed)
    results: list[CallResult] = []
    begun = time.monotonic()

    async def call(number: int, at: float, first: int) -> None:
        status: int | None = None
        attempts = 0
        started = time.monotonic()
        host = first
        while status is None and attempts < 3:
            attempts += 1
            status = await call_once(addresses[host], f"{seed}-{number}-{attempts}", events)
            if status is None:
                await asyncio.sleep(RETRY_DELAY_S)
                host = rng.choice([other for other in range(len(addresses)) if other != host])
        took_s = time.monotonic() - started
        results.append(CallResult(int(at), attempts, status or 0, took_s))

    calls: list[asyncio.Task[None]] = []
    at = 0.0
    while at < 5 * CALM_S:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
        hot = int(at / CALM_S - 1) // 2 if at >= CALM_S else None
        is_hot = hot is not None and rng.random() < share
        host = hot if is_hot and hot is not None else rng.randrange(len(addresses))
        calls.append(asyncio.ensure_future(call(len(calls), at, host)))
    await asyncio.gather(*calls)
    return results


def read_processor_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def sample_processor(gateways: list[GatewayProcess], shares: list[float]) -> None:
    """Append the share of a core that the busiest gateway used in each second, until cancelled."""
    pids = [gateway.process.pid for gateway in gateways if gateway.process is not None]
    before = [read_processor_s(pid) for pid in pids]
    while True:
        await asyncio.sleep(1.0)
        now = [read_processor_s(pid) for pid in pids]
        shares.append(max(after - former for after, former in zip(now, before, strict=True)))
        before = now


def print_results(results: list[CallResult], shares: list[float]) -> None:
    """Print one line for each second, and one for each part of the run."""
    print("second  calls  read first  served of these  closed unread  p95 s  busiest core")
    for second in range(int(5 * CALM_S)):
        rows = [row for row in results if row.second == second]
        if rows:
            busiest = shares[second] if second < len(shares) else 0.0
            print(f"{second:6}  {describe(rows)}  {busiest:12.2f}")
    for name, first, last in (
        ("before", 1, CALM_S),
        ("hot, from the third second on", CALM_S + 3, 3 * CALM_S),
        ("hot elsewhere, from the third second on", 3 * CALM_S + 3, 5 * CALM_S),
    ):
        rows = [row for row in results if first <= row.second < last]
        print(f"{name}: {describe(rows)}; {dict(Counter(row.status for row in rows))}")
    unserved = Counter(row.attempts for row in results if not row.status)
    print(f"no complete answer, by attempts: {dict(unserved)}")


def describe(rows: list[CallResult]) -> str:
    """Return the figures of some calls."""
    read = [row for row in rows if row.attempts == 1 or not row.status]
    served = sum(row.status == 200 for row in read) / max(1, len(read))
    took = sorted(row.took_s for row in rows)[int(0.95 * len(rows))]
    retried = len(rows) - len(read)
    return f"{len(rows):5}  {len(read):10}  {served:15.3f}  {retried:13}  {took:5.2f}"


async def run_fleet(
    folder: Path,
    gateways: int,
    targets: int,
    rate: float,
    share: float,
    events: int,
    callers: int,
) -> None:
    """Start everything, run the callers and print the results."""
    folder.mkdir(parents=True, exist_ok=True)
    store = PlatformStoreStandin()
    store_address = await store.start()
    store.put("op/config", make_configuration())
    for number in range(targets):
        target = TargetStandin(f"t{number}", events=events, event_interval_s=0.02, slots=64)
        await target.start()
        store.put(f"servers/{target.name}", target.entry())
    fleet = []
    for number in range(gateways):
        proxy = Proxy(split_address(store_address))
        await proxy.start(LOOPBACK)
        fleet.append(GatewayProcess(f"host-{number}", LOOPBACK, folder, proxy))
    try:
        for gateway in fleet:
            gateway.start()
        await asyncio.sleep(3.0)
        addresses = json.dumps([gateway.callers for gateway in fleet])
        shares: list[float] = []
        sampling = asyncio.ensure_future(sample_processor(fleet, shares))
        processes = [
            await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "bench.hot_host", "callers", addresses),
                *(str(rate / callers), str(share), str(events), str(seed)),
                stdout=subprocess.PIPE,
                cwd=ROOT,
            )
            for seed in range(1, callers + 1)
        ]
        outputs = [await process.communicate() for process in processes]
        sampling.cancel()
        results = [CallResult(**row) for raw, _ in outputs for row in json.loads(raw)]
        print_results(results, shares)
    finally:
        for gateway in fleet:
            gateway.kill_and_wait()


app = typer.Typer()


@app.command()
def callers(addresses: str, rate: float, share: float, events: int, seed: int) -> None:
    """Run callers and print their results as JSON; used by ``fleet``."""
    hosts = [(ip, port) for ip, port in json.loads(addresses)]
    results = asyncio.run(run_callers(hosts, rate, share, events, seed))
    print(json.dumps([asdict(row) for row in results]))


@app.command()
def fleet(
    gateways: Annotated[int, typer.Option(help="Number of gateway processes.")] = 4,
    targets: Annotated[int, typer.Option(help="Number of targets.")] = 8,
    rate: Annotated[float, typer.Option(help="Calls per second.")] = 100.0,
    share: Annotated[float, typer.Option(help="Share of the connections to one gateway.")] = 0.85,
    events: Annotated[int, typer.Option(help="Events of each stream.")] = 20,
    callers: Annotated[int, typer.Option(help="Number of processes with callers.")] = 1,
    folder: Annotated[Path, typer.Option(help="Folder of the logs.")] = Path("run/hot-host"),
) -> None:
    """Run gateways, targets and callers, and print how calls were served."""
    asyncio.run(run_fleet(folder, gateways, targets, rate, share, events, callers))


if __name__ == "__main__":
    app()
