"""Measures the peak memory of a gateway whose callers, targets and store use every bound at once.

``python -m bench.peak_memory [--memory-mb MB] [SCENARIO ...]``

Each scenario has a gateway process of its own; ``together`` runs all of them against one. The peak
is the resident memory by ``/proc``, without the buffers of the kernel.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import closing
from itertools import count
from pathlib import Path

import msgspec

from gradepoint.platform.store import MAX_ANSWER_BYTES
from gradepoint.util.clock import monotonic
from gradepoint.util.tasks import TaskGroup
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken
from gradepoint.wire.http_types import Request, Response

from .endless_answers import HOST, TOKENS, make_route, read_memory_mb
from .platform.endless import BLOCK_BYTES, CHUNKED, STREAM, EndlessBody, EndlessTarget, repeat
from .platform.store import PlatformStoreStandin
from .platform.target import TargetStandin
from .processes import reserve_subnet
from .soak.fleet import GatewayProcess
from .soak.proxy import Proxy

BODY_BYTES = 4 << 20
HEADER_BYTES = 8192
READ_LIMIT_BYTES = 65536
"""Receive buffer of a caller that doesn't read."""
HELD_S = 4.0
"""Seconds for which the callers of a scenario stay once they have sent what they send."""
CONNECTIONS = 2000
SMALL_CALLS = 900
LARGE_CALLS = 100
UNREAD_CALLS = 300
JOBS = 30
JOB_ITEMS = 200
STORE_ANSWER_BYTES = MAX_ANSWER_BYTES - 4096
SLICE_BYTES = 65536


def large_events() -> Iterator[bytes]:
    """Yield events with rising numbers and much data."""
    for number in count():
        yield b"id: %d\ndata: %b\n\n" % (number, b"x" * (BLOCK_BYTES - 64))


class LargeStore(PlatformStoreStandin):
    """A store whose pages below one prefix are as large as its client takes.

    :ivar large: whether they are.
    """

    large = False

    async def handle(self, request: Request) -> Response:
        """See :meth:`PlatformStoreStandin.handle`."""
        if self.large and request.path == "/api/kv-range":
            value = base64.b64encode(bytes(STORE_ANSWER_BYTES * 3 // 4 - 300)).decode()
            row = {"key_path": "op/large", "value": value, "rev": 1, "created": 1}
            return Response(200, {}, msgspec.json.encode({"items": [row], "timestamp": 1}))
        return await super().handle(request)


class Run:
    """One gateway and all that connects to it.

    :ivar outcomes: number of calls by scenario and status.
    :ivar slow: target of the calls with bodies.
    :ivar head_count: number of connections with a head alone.
    """

    def __init__(self, folder: Path, memory_mb: float) -> None:
        self.folder = folder
        self.head_count = CONNECTIONS
        self.memory_mb = memory_mb
        self.outcomes: Counter[str] = Counter()
        self.store = LargeStore()
        self.tasks = TaskGroup()
        self.http = HttpClient()

    async def measure(self, names: list[str]) -> float:
        """Run scenarios at the same time; return the peak in MB."""
        if len(names) > 1:
            self.head_count -= LARGE_CALLS + JOBS + 3 * UNREAD_CALLS
        subnet, guard = reserve_subnet()
        store_ip, _, store_port = (await self.store.start()).rpartition(":")
        proxy = Proxy((store_ip, int(store_port)))
        self.gateway = gateway = GatewayProcess("host-0", f"{subnet}1", self.folder, proxy)
        gateway.more_settings["memory_mb"] = self.memory_mb
        await proxy.start(gateway.address)
        self._configure()
        body = EndlessBody((STREAM, CHUNKED), large_events, is_chunk=True)
        document = EndlessBody(("content-length: 60000000",), repeat(b"x"))
        self.slow = TargetStandin("slow", service="slow", work_s=HELD_S, slots=1000)
        targets = [
            self.slow,
            EndlessTarget("events", service="events", body=body, slots=1000),
            EndlessTarget("document", service="document", body=document, slots=1000),
        ]
        entry = b""
        for target in targets:
            await target.start()
            entry = entry or target.entry()
            row = {
                **msgspec.json.decode(entry),
                "addr": target.address(),
                "service": target.service,
            }
            self.store.put(f"servers/{target.name}", msgspec.json.encode(row))
        gateway.start()
        try:
            with closing(self.http):
                await self._wait_ready()
                before = read_memory_mb(gateway, "VmHWM")
                await asyncio.gather(*(SCENARIOS[name](self) for name in names))
                if not gateway.alive:
                    raise RuntimeError("the gateway has ended")
                peak = read_memory_mb(gateway, "VmHWM")
            outcomes = dict(sorted(self.outcomes.items()))
            print(
                f"{'+'.join(names)}: {before:.0f} MB at the start, peak {peak:.0f} MB of "
                f"{self.memory_mb:.0f} MB; {outcomes}",
                flush=True,
            )
            return peak
        finally:
            gateway.kill_and_wait()
            await self.tasks.stop()
            for server in (self.store.server, *(target.server for target in targets)):
                server.abort()
            await proxy.stop()
            guard.close()

    def _configure(self) -> None:
        routes = [
            make_route("slow", "safe", "slow"),
            make_route("events", "streaming", "events"),
            make_route("document", "safe", "document"),
            make_route("night", "batch", "slow"),
        ]
        for route in routes:
            route.update(timeout_ms=20000, goal_ms=10000, max_queued_tokens=10**9)
        limits = {
            "header_bytes": HEADER_BYTES,
            "body_bytes": BODY_BYTES,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 15000,
        }
        services = [{"name": name, "max_conns": 1000} for name in ("slow", "events", "document")]
        document = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", msgspec.json.encode(document))

    async def _wait_ready(self) -> None:
        while True:
            try:
                response = await self.http.send(
                    (self.gateway.address, self.gateway.ports[1]), "GET", "/"
                )
                await response.read()
                if response.status == 200:
                    return
            except (ConnectFailed, ResponseBroken):
                pass
            await asyncio.sleep(0.05)

    def _make_head(self, path: str, name: str, length: int) -> bytes:
        fields = [
            f"POST {path} HTTP/1.1",
            f"host: {HOST}",
            f"x-attempt-id: {name}",
            "x-time-left-ms: 15000",
            f"x-token-counts: {TOKENS}",
            f"content-length: {length}",
        ]
        return "\r\n".join([*fields, "", ""]).encode()

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.gateway.callers, limit=READ_LIMIT_BYTES)

    async def _send(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        for start in range(0, len(body), SLICE_BYTES):
            writer.write(body[start : start + SLICE_BYTES])
            await writer.drain()

    async def _read_status(self, name: str, reader: asyncio.StreamReader) -> None:
        async with asyncio.timeout(60.0):
            line = await reader.readline()
        status = line.split()[1].decode() if line.startswith(b"HTTP/") else "closed"
        self.outcomes[f"{name} {status}"] += 1

    async def _hold(
        self,
        name: str,
        number: int,
        work: Callable[[asyncio.StreamReader, asyncio.StreamWriter, str], Awaitable[None]],
    ) -> None:
        """Count how one connection of a scenario ends."""
        try:
            reader, writer = await self._open()
            try:
                await work(reader, writer, f"{name}-{number}")
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError) as error:
            self.outcomes[f"{name} {type(error).__name__}"] += 1

    async def send_heads(self) -> None:
        """Open as many connections as allowed, each with a head that does not end."""

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            head = self._make_head("/slow/plain/1", name, 0)[:-4]
            writer.write(head + b"\r\nx-more: " + b"x" * (HEADER_BYTES - len(head) - 100))
            await writer.drain()
            await asyncio.sleep(HELD_S)
            writer.write(b"\r\n\r\n")
            await self._read_status("heads", reader)

        await asyncio.gather(*(self._hold("heads", n, work) for n in range(self.head_count)))

    async def stay_idle(self) -> None:
        """Open as many connections as allowed and send nothing."""

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            await asyncio.sleep(HELD_S)

        await asyncio.gather(*(self._hold("idle", n, work) for n in range(self.head_count)))

    async def send_calls(self) -> None:
        """Send as many small calls at once as the target takes."""

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            writer.write(self._make_head("/slow/plain/1", name, 6) + b"prompt")
            await self._read_status("calls", reader)

        await asyncio.gather(*(self._hold("calls", n, work) for n in range(SMALL_CALLS)))

    async def send_bodies(self) -> None:
        """Send many of the largest bodies, whose last byte comes late."""
        body = b"x" * (BODY_BYTES - 1)

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            writer.write(self._make_head("/slow/plain/1", name, BODY_BYTES))
            await self._send(writer, body)
            await asyncio.sleep(HELD_S)
            writer.write(b"x")
            await self._read_status("bodies", reader)

        await asyncio.gather(*(self._hold("bodies", n, work) for n in range(LARGE_CALLS)))

    async def send_requests_ahead(self) -> None:
        """Send many bytes after each request, which are read while it is answered."""
        ahead = b"x" * (1 << 20)

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            writer.write(self._make_head("/slow/plain/1", name, 0))
            sending = self.tasks.start(self._send(writer, ahead), awaited=True)
            await self._read_status("ahead", reader)
            sending.cancel()

        await asyncio.gather(*(self._hold("ahead", n, work) for n in range(UNREAD_CALLS)))

    async def leave_unread(self, path: str) -> None:
        """Send calls whose answers are long and not read."""
        name = path.split("/")[1]

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: str
        ) -> None:
            writer.write(self._make_head(path, request, 0))
            await self._read_status(name, reader)
            await asyncio.sleep(HELD_S)

        await asyncio.gather(*(self._hold(name, n, work) for n in range(UNREAD_CALLS)))

    async def submit_jobs(self) -> None:
        """Submit many jobs whose items fill the largest body."""
        item_bytes = (BODY_BYTES // JOB_ITEMS - 300) * 3 // 4
        item = {
            "path": "/night/1",
            "headers": {"X-Token-Counts": TOKENS},
            "body": base64.b64encode(bytes(item_bytes)).decode(),
            "tokens": 30,
        }
        rows = [{"id": f"item-{number}", **item} for number in range(JOB_ITEMS)]
        body = msgspec.json.encode({"items": rows})

        async def work(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
        ) -> None:
            writer.write(self._make_head(f"/night/{name}", name, len(body)))
            await self._send(writer, body)
            await self._read_status("jobs", reader)

        await asyncio.gather(*(self._hold("jobs", n, work) for n in range(JOBS)))
        await asyncio.sleep(HELD_S)

    async def read_large_ranges(self) -> None:
        """Let the store answer reads of a range with as many bytes as its client takes."""
        self.store.large = True
        await asyncio.sleep(2 * HELD_S)
        self.store.large = False


SCENARIOS: dict[str, Callable[[Run], Awaitable[None]]] = {
    "idle": Run.stay_idle,
    "calls": Run.send_calls,
    "heads": Run.send_heads,
    "bodies": Run.send_bodies,
    "ahead": Run.send_requests_ahead,
    "events": lambda run: run.leave_unread("/events/1"),
    "document": lambda run: run.leave_unread("/document/plain/1"),
    "jobs": Run.submit_jobs,
    "store": Run.read_large_ranges,
}
TOGETHER = "together"
COMBINED = [name for name in SCENARIOS if name not in ("idle", "calls")]
"""Scenarios that run together. Connections with an unfinished head take more than idle ones, and
calls take their slots."""


def main() -> None:
    """Measure the scenarios named on the command line, or each and then all together."""
    parser = argparse.ArgumentParser(prog="python -m bench.peak_memory")
    parser.add_argument("--memory-mb", type=float, default=150.0)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    arguments = parser.parse_args()
    started_at = monotonic()
    for name in arguments.scenarios or [*SCENARIOS, TOGETHER]:
        names = COMBINED if name == TOGETHER else [name]
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(Run(Path(folder), arguments.memory_mb).measure(names))
    print(f"{monotonic() - started_at:.0f} s")


if __name__ == "__main__":
    main()
