"""Measures calls and bytes to the key-value service for each batch item by bundle size.

The real workers run in virtual time: ``python -m bench.kv_costs``.
"""

from __future__ import annotations

import sys

import msgspec

from gradepoint.standins.virtual_time import run_virtual
from gradepoint.telemetry import logs
from tests.support.fleet import Fleet

from .processes import ROOT

OUTPUT = ROOT / "docs" / "measurements" / "kv-costs.json"
BUNDLES = (1, 4, 16, 64, 128, 256)
CHUNK = 256
ITEMS = 2048


async def measure(bundle: int) -> dict[str, float]:
    """Run a job with one bundle size; return the cost of each item."""
    fleet = Fleet(1, hosts=3, targets=3, chunk_items=CHUNK)
    for host in fleet.hosts:
        host.worker.settings.bundle_items = bundle
        host.worker.settings.bundle_age_s = 3600.0
    for target in fleet.targets.values():
        target.token_s = 0.01
    await fleet.accept_job("job", ITEMS)
    await fleet.start()
    await fleet.wait_finished("job", 3600.0)
    counts = [host.kv.counts for host in fleet.hosts]
    figures = {
        "bundle": bundle,
        "calls_per_item": round(sum(row.total for row in counts) / ITEMS, 4),
        "writes_per_item": round(sum(row.writes for row in counts) / ITEMS, 4),
        "bytes_written_per_item": round(sum(row.bytes_sent for row in counts) / ITEMS, 1),
        "bytes_read_per_item": round(sum(row.bytes_received for row in counts) / ITEMS, 1),
    }
    await fleet.stop()
    return figures


def main() -> int:
    """Measure every bundle size and write the results."""
    logs.configure("bench", "bench", level="ERROR")
    rows = [run_virtual(measure(bundle)) for bundle in BUNDLES]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=2) + b"\n")
    for row in rows:
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
