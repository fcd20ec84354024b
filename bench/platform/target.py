"""Stand-in for a target of the platform: streams, plain answers, and every way to fail."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from gradepoint.util.hashing import sha256_hex
from gradepoint.wire.http_server import HttpServer, ServerLimits
from gradepoint.wire.http_types import EVENT_STREAM_TYPE, Request, Response

SEAL = "x-server-seal"


class TargetFault(Enum):
    """How a target treats a request."""

    NONE = "none"
    BUSY = "busy"
    ERROR = "error"
    IMPOSSIBLE = "impossible"
    CUT = "cut"
    LOSE_ANSWER = "lose-answer"
    SILENT = "silent"
    OTHER_ID = "other-id"


@dataclass
class TargetStandin:
    """One target.

    :param events: events of each stream.
    :param event_s: seconds between them.
    :ivar faults: what happens to the next requests; the last one stays.
    :ivar cut_after: events after which a cut stream breaks off.
    :ivar ran: runs by request id; :attr:`whole` counts the ones that ended.
    :ivar working: requests that run now.
    :ivar born: Unix milliseconds of its start, as its entry tells it; None leaves it out.
    :ivar work_s: seconds that a plain answer takes.
    :ivar harmful: bodies of requests that end it, *harm_s* after they began; *on_harm* ends it, and
        is told the request's path.
    :ivar on_request: told path and body of each request.
    """

    name: str
    service: str = "model"
    events: int = 6
    event_s: float = 0.0
    slots: int = 8
    faults: list[TargetFault] = field(default_factory=list)
    fault_rate: float = 0.0
    cut_after: int = 2
    ran: Counter[str] = field(default_factory=Counter)
    whole: Counter[str] = field(default_factory=Counter)
    seen: list[Request] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    working: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    born: int | None = None
    work_s: float = 0.0
    harmful: set[bytes] = field(default_factory=set)
    harm_s: float = 0.01
    on_harm: Callable[[str], None] = lambda _: None
    on_request: Callable[[str, bytes], None] = lambda _, __: None

    def __post_init__(self) -> None:
        self.server = HttpServer(self.handle, ServerLimits(cancel_when_gone=True))

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return ``IP:PORT``."""
        await self.server.start(address, port)
        return self.address(address)

    def address(self, ip: str = "127.0.0.1") -> str:
        """Return ``IP:PORT``."""
        return f"{ip}:{self.server.port}"

    def entry(self, state: str = "ready") -> bytes:
        """Return what the target keeps of itself in the store."""
        row = {
            "service": self.service,
            "addr": self.address(),
            "zone": "zone-a",
            "version": "v1",
            "slot_count": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "call_seq": 1,
        }
        if self.born is not None:
            row["born"] = self.born
        return msgspec.json.encode(row)

    def next_fault(self) -> TargetFault:
        """Return what happens to the request that comes now."""
        if self.fault_rate and self.rng.random() < self.fault_rate:
            return self.rng.choice(list(TargetFault)[1:])
        if not self.faults:
            return TargetFault.NONE
        return self.faults.pop(0) if len(self.faults) > 1 else self.faults[0]

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        body = await request.read_body()
        self.seen.append(request)
        self.bodies.append(body)
        self.on_request(request.path, body)
        if request.headers.get("x-target-instance", self.name) != self.name:
            return Response(421, {"x-instance-id": "another", "x-not-run": "1"})
        fault = self.next_fault()
        if fault is TargetFault.BUSY:
            return Response(503, {"x-not-run": "1"})
        request_id = request.headers.get("x-attempt-id", "")
        self.ran[request_id] += 1
        if body in self.harmful:
            asyncio.get_running_loop().call_later(self.harm_s, self.on_harm, request.path)
            await asyncio.Event().wait()
        echoed = "another" if fault is TargetFault.OTHER_ID else request_id
        headers = {"x-attempt-id": echoed, SEAL: f"{self.name}.{request_id}"}
        if fault is TargetFault.ERROR:
            return Response(500, headers)
        if fault is TargetFault.IMPOSSIBLE:
            return Response(422, headers)
        if fault is TargetFault.LOSE_ANSWER:
            raise ConnectionResetError
        if fault is TargetFault.SILENT:
            await asyncio.Event().wait()
        if "/plain/" in request.path:
            await asyncio.sleep(self.work_s)
            return Response(200, headers, plain_answer(request_id))
        headers["content-type"] = EVENT_STREAM_TYPE
        first = int(request.headers.get("last-event-id", "-1")) + 1
        return Response(200, headers, stream=self._stream(request_id, first, fault))

    async def _stream(
        self, request_id: str, first: int, fault: TargetFault
    ) -> AsyncIterator[bytes]:
        self.working += 1
        try:
            for number in range(first, self.events):
                if fault is TargetFault.CUT and number >= first + self.cut_after:
                    yield event_bytes(request_id, number)[:5]
                    raise ConnectionResetError
                yield event_bytes(request_id, number)
                await asyncio.sleep(self.event_s)
            self.whole[request_id] += 1
        finally:
            self.working -= 1


def event_data(request_id: str, number: int) -> str:
    """Return the data of an event: the same at every target."""
    return sha256_hex(f"{request_id}.{number}".encode())[:16]


def event_bytes(request_id: str, number: int) -> bytes:
    """Return an event as it is sent."""
    return f"id: {number}\ndata: {event_data(request_id, number)}\n\n".encode()


def whole_stream(request_id: str, events: int) -> bytes:
    """Return a whole stream."""
    return b"".join(event_bytes(request_id, number) for number in range(events))


def plain_answer(request_id: str) -> bytes:
    """Return the body of a plain answer."""
    return sha256_hex(request_id.encode()).encode()
