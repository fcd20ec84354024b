"""``make demo``: sends a small trace through the real programs of both example deployments."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from .loadgen import Ledger, LoadRun, percentile
from .processes import BIN, ROOT
from .traces import Kind, read_trace

READY_TIMEOUT_S = 30.0


@dataclass
class Deployment:
    """One deployment of the demo: its failure domains and number of engines."""

    name: str
    domains: list[str]
    engines: int


DEPLOYMENTS = (
    Deployment("kasitoo-turg", ["ulemiste", "kopli", "lasnamae"], 6),
    Deployment("lanternby", ["hall-a", "hall-b", "hall-c"], 9),
)


def main() -> int:
    """Run both deployments; return 0 only if no guarantee was violated."""
    console = Console()
    ledgers = {deployment.name: _run(deployment, console) for deployment in DEPLOYMENTS}
    console.print(_table(ledgers))
    clean = all(ledger.clean for ledger in ledgers.values())
    console.print("ledger clean" if clean else "LEDGER NOT CLEAN")
    return 0 if clean else 1


def _run(deployment: Deployment, console: Console) -> Ledger:
    with tempfile.TemporaryDirectory(prefix="gradepoint-demo-") as temporary:
        folder = Path(temporary)
        settings = folder / "local.json"
        settings.write_bytes(
            msgspec.json.encode({"domains": deployment.domains, "engines": deployment.engines})
        )
        ready = folder / "ready.json"
        command = [
            str(BIN / "gradepoint"),
            "local",
            "--settings",
            str(settings),
            "--ready-file",
            str(ready),
        ]
        with (folder / "log").open("wb") as log:
            tier = subprocess.Popen(command, stdout=log, stderr=log)
            try:
                description = _wait_ready(ready, tier)
                return asyncio.run(_drive(deployment, description, console))
            finally:
                tier.terminate()
                tier.wait(20)


def _wait_ready(path: Path, tier: subprocess.Popen[bytes]) -> dict[str, Any]:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not path.exists():
        if tier.poll() is not None or time.monotonic() > deadline:
            raise RuntimeError("the local tier did not start")
        time.sleep(0.05)
    decoded: dict[str, Any] = msgspec.json.decode(path.read_bytes())
    return decoded


async def _drive(deployment: Deployment, description: dict[str, Any], console: Console) -> Ledger:
    lines = read_trace(ROOT / "bench" / "traces" / f"demo-{deployment.name}.jsonl")
    run = LoadRun(
        description["entry_urls"], description["api_key"], "maker-lm", "maker-lm@v1", "cards"
    )
    items = sum(line.items for line in lines)
    calls = sum(1 for line in lines if line.kind in (Kind.ONLINE, Kind.SERVICE))
    with Progress(console=console) as progress:
        bar = progress.add_task(
            f"{deployment.name}: {calls} calls, {items} items",
            total=sum(1 for line in lines if line.kind is not Kind.FAULT),
        )
        run.on_progress = lambda: progress.advance(bar)
        return await run.run(lines)


def _table(ledgers: dict[str, Ledger]) -> Table:
    table = Table(title="outcomes, latencies and ledger")
    table.add_column("")
    for name in ledgers:
        table.add_column(name, justify="right")
    rows: list[tuple[str, Any]] = [
        ("complete", lambda x: x.outcomes["complete"]),
        ("not-run", lambda x: x.outcomes["not-run"]),
        ("unknown", lambda x: x.outcomes["unknown"]),
        ("first token p50 ms", lambda x: f"{percentile(x.first_token, 0.5) * 1000:.0f}"),
        ("first token p95 ms", lambda x: f"{percentile(x.first_token, 0.95) * 1000:.0f}"),
        ("call p95 ms", lambda x: f"{percentile(x.call_time, 0.95) * 1000:.0f}"),
        ("batch items", lambda x: x.items_done),
        ("accepted", lambda x: x.accepted),
        ("completed once", lambda x: x.completed_once),
        ("duplicated", lambda x: x.duplicated),
        ("lost", lambda x: x.lost),
        ("wrong", lambda x: x.wrong),
    ]
    for name, read in rows:
        table.add_row(name, *(str(read(ledger)) for ledger in ledgers.values()))
    return table


if __name__ == "__main__":
    sys.exit(main())
