"""Measures the peak memory of a data host: ``python -m bench.spool_memory``.

All bounds are used at once: the disk is full, the process is restarted, more hosts than it accepts
connections of send the largest jobs, and the key-value service answers with as much as it may. Each
row is one real process.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, JobState
from gradepoint.spool.bounds import derive_bounds
from gradepoint.spool.disk import MEGABYTE, SpoolDisk
from gradepoint.spool.records import SpooledJob, SpoolRequest, encode_job
from gradepoint.standins.ports import LOOPBACK, free_port

from .process_costs import memory_mb
from .processes import ROOT

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ITEM_TOKENS = 940
DEPLOYMENTS = ((150.0, 560), (340.0, 500))
"""Memory and disk in MB of the measured deployments."""
ITEM_BYTES = (500, 100_000, 800_000)
"""Sizes of items; ten of the last are the largest job that former versions accepted."""
JOB_ITEMS = 10
SEND_S = 6.0
"""Seconds for which hosts send jobs."""
START_TIMEOUT_S = 60.0
POLL_S = 0.05
ANSWER_MARGIN_BYTES = 1000
"""Bytes of an answer of the service beside its value."""


@dataclass(frozen=True)
class Load:
    """What one data host has to bear.

    :param memory_mb: memory that the process may use.
    :param disk_mb: size of its disk.
    :param item_bytes: size of the items on the disk.
    :param max_files: most files that are written.
    :param send_s: seconds for which hosts send jobs.
    """

    memory_mb: float
    disk_mb: int
    item_bytes: int
    max_files: int = sys.maxsize
    send_s: float = SEND_S


@dataclass
class Peak:
    """What was measured: the peaks of resident memory in MB, after the start and at the end.

    :ivar files: number of files on the disk at the start.
    :ivar file_mb: their size.
    :ivar jobs: number of jobs that were loaded.
    :ivar answers: answers to the jobs that were sent, by status; 0 for a connection that was reset.
    :ivar beyond_index: status of a question about a job that the index does not hold.
    """

    files: int = 0
    file_mb: float = 0.0
    jobs: int = 0
    start_mb: float = 0.0
    end_mb: float = 0.0
    answers: Counter[int] = field(default_factory=Counter)
    beyond_index: Counter[int] = field(default_factory=Counter)


def make_job(name: str, items: int, item_bytes: int) -> SpooledJob:
    """Return a job of equal items."""
    ids = [ItemId(f"{name}-{number}") for number in range(items)]
    headers = [("x-model", "m"), ("x-token-counts", "540,400")]
    rows = [Item(item_id, "/p/abcd", headers, bytes(item_bytes), ITEM_TOKENS) for item_id in ids]
    state = JobState("r", "h", Incarnation("a:1"), 0, ids, [ITEM_TOKENS] * items)
    return SpooledJob(JobId(name), state, rows)


def fill_disk(disk: SpoolDisk, load: Load, peak: Peak) -> None:
    """Write as many jobs as former versions accepted; without syncs, since nothing is lost here."""
    disk.open()
    size = 0
    for number in range(load.max_files):
        raw = encode_job(make_job(f"job-{number}", JOB_ITEMS, load.item_bytes))
        if size + len(raw) > disk.max_bytes:
            break
        (disk.jobs / f"job-{number}").write_bytes(raw)
        size += len(raw)
        peak.files += 1
    peak.file_mb = size / MEGABYTE


async def answer_at_length(
    answer_bytes: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the calls of one connection as the service does, with as much as it may."""
    value = base64.b64encode(os.urandom((answer_bytes - ANSWER_MARGIN_BYTES) * 3 // 4)).decode()
    item = {"key_path": "gp/quota/r", "value": value, "rev": 5, "created": 5, "lease": 0}
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0")
            body = await reader.readexactly(length)
            status, answer = "200 OK", b'{"rev": 7, "lease": 3, "ttl_ms": 6000}'
            if b"/api/kv-txn" in head and b"gp/live/" not in body:
                status, answer = "412 Conflict", json.dumps({"items": [item]}).encode()
            elif b"/api/kv-key" in head:
                answer = json.dumps({**item, "timestamp": 5}).encode()
            elif b"/api/kv-range" in head:
                page = {"items": [item], "has_more": True, "timestamp": 5}
                answer = json.dumps(page).encode()
            writer.write(
                f"HTTP/1.1 {status}\r\ncontent-length: {len(answer)}\r\n\r\n".encode() + answer
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def send_request(port: int, head: str, body: bytes = b"") -> int:
    """Send a request over a new connection; return the status, or 0 without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(f"{head} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n".encode())
        writer.write(body)
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except OSError:
        return 0
    finally:
        if writer is not None:
            writer.close()


def make_largest_request(number: int, body_bytes: int, item_bytes: int) -> bytes:
    """Return a request with the largest job of such items that a data host accepts."""
    item_bytes = min(item_bytes, body_bytes // 2)
    job = make_job(f"new-{number}", 1, item_bytes)
    items = max(1, (body_bytes - ANSWER_MARGIN_BYTES) // (len(encode_job(job)) + 16))
    job = make_job(f"new-{number}", items, item_bytes)
    raw = msgspec.msgpack.encode(SpoolRequest(job, 0))
    assert len(raw) <= body_bytes
    return raw


async def send_jobs(port: int, load: Load, peak: Peak) -> None:
    """Send the largest jobs over twice as many connections as the data host accepts."""
    bounds = derive_bounds(load.memory_mb)
    raw = make_largest_request(0, bounds.body_bytes, load.item_bytes)
    end = time.monotonic() + load.send_s

    async def send() -> None:
        while time.monotonic() < end:
            peak.answers[await send_request(port, "POST /spool", raw)] += 1
            await asyncio.sleep(POLL_S)

    await asyncio.gather(*(send() for _ in range(2 * bounds.max_connections)))


async def read_events(lines: asyncio.StreamReader) -> AsyncIterator[dict[str, object]]:
    """Yield the log lines of a program."""
    async for line in lines:
        yield json.loads(line)


async def drop_output(lines: asyncio.StreamReader) -> None:
    """Read the rest of a program's log."""
    while await lines.read(1 << 16):
        pass


async def measure(load: Load) -> Peak:
    """Run one data host under a load."""
    peak = Peak()
    folder = Path(tempfile.mkdtemp())
    process = drain = None
    bounds = derive_bounds(load.memory_mb)
    store = await asyncio.start_server(
        lambda reader, writer: answer_at_length(bounds.answer_bytes, reader, writer),
        LOOPBACK,
        0,
    )
    try:
        await asyncio.to_thread(fill_disk, SpoolDisk(folder / "data", load.disk_mb), load, peak)
        port = free_port()
        settings = {
            "host": "h0",
            "failure_domain": "a",
            "address": LOOPBACK,
            "peer_ports": str(port),
            "metrics_port": free_port(),
            "store_address": f"{LOOPBACK}:{store.sockets[0].getsockname()[1]}",
            "data_folder": str(folder / "data"),
            "disk_mb": load.disk_mb,
            "memory_mb": load.memory_mb,
        }
        (folder / "settings.json").write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "gradepoint.cmd.data_host"),
            *("--settings", str(folder / "settings.json")),
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            async for event in read_events(process.stdout):
                if event["event_name"] == "spool_loaded":
                    peak.jobs = int(str(event["jobs"]))
                if event["event_name"] == "program_started":
                    break
        drain = asyncio.ensure_future(drop_output(process.stdout))
        peak.start_mb = memory_mb(process.pid, "VmHWM")
        await send_jobs(port, load, peak)
        for number in range(0, peak.files, max(1, peak.files // 50)):
            peak.beyond_index[await send_request(port, f"GET /spool/job-{number}")] += 1
        peak.end_mb = memory_mb(process.pid, "VmHWM")
        assert process.returncode is None
    finally:
        if process is not None:
            if process.returncode is None:
                process.kill()
            await process.wait()
        if drain is not None:
            await drain
        store.close()
        shutil.rmtree(folder)
    return peak


def main() -> None:
    """Measure all deployments and sizes of jobs; print one line for each."""
    for memory, disk_mb in DEPLOYMENTS:
        for item_bytes in ITEM_BYTES:
            load = Load(memory, disk_mb, item_bytes)
            print(load, asyncio.run(measure(load)), flush=True)


if __name__ == "__main__":
    main()
