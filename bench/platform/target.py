"""Stand-in for a target of the platform: streams, plain responses and injected failures.

The content of a response depends on the request id and the software version of the target alone, so
that any target of the same version can resume a stream and a test can check every byte.
"""

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
FIRST_VERSION = "v1"
EVENT_DATA_BYTES = 16
"""Default size in bytes of the data of an event."""


class TargetFault(Enum):
    """How a target treats a request.

    ``BUSY`` answers 503 and says that the request has not run; all other faults run it. ``ERROR``
    answers 500 and ``IMPOSSIBLE`` 422. ``CUT`` breaks a stream off in the middle of an event,
    ``LOSE_RESPONSE`` resets the connection before the response, ``SILENT`` never answers, and
    ``OTHER_ID`` answers with the id of another request.
    """

    NONE = "none"
    BUSY = "busy"
    ERROR = "error"
    IMPOSSIBLE = "impossible"
    CUT = "cut"
    LOSE_RESPONSE = "lose-answer"
    SILENT = "silent"
    OTHER_ID = "other-id"


@dataclass
class TargetStandin:
    """The stand-in of one target.

    :param service: service that the target belongs to.
    :param events: number of events in each stream.
    :param event_interval_s: seconds between two events of a stream.
    :param data_bytes: size of the data of each event.
    :param slots: number of slots that the target's store entry announces.
    :param version: software version that the entry announces.
    :ivar faults: faults of the next requests, one each; the last one applies to all later requests.
    :ivar fault_rate: share of requests that get a random fault; the others follow :attr:`faults`.
    :ivar cut_after: number of events after which :attr:`TargetFault.CUT` breaks a stream off.
    :ivar ran: number of runs by request id.
    :ivar completed_runs: number of streams that were sent to their end, by request id.
    :ivar seen: all requests received, in order; :attr:`bodies` has their bodies.
    :ivar working: number of streams that are being sent.
    :ivar rng: generator of the random faults.
    :ivar unframed_share: share of streams that have neither a length nor chunks.
    :ivar early_end_share: share of streams that end in order inside an event.
    :ivar framing_rng: generator of the choices by the two shares.
    :ivar started_ms: start time in Unix milliseconds as announced in the store entry; None omits
        it.
    :ivar work_s: seconds that a plain response takes.
    :ivar harmful: request bodies that crash the target *crash_delay_s* seconds after their arrival.
    :ivar harmful_parts: parts of prompts that crash the target in the same way, if a prompt has one
        before its last part. A stream has begun by then.
    :ivar on_crash: called with the path of the harmful request; has to end the target.
    :ivar on_request: called with path and body of each request.
    """

    name: str
    service: str = "model"
    events: int = 6
    event_interval_s: float = 0.0
    data_bytes: int = EVENT_DATA_BYTES
    slots: int = 8
    version: str = FIRST_VERSION
    faults: list[TargetFault] = field(default_factory=list)
    fault_rate: float = 0.0
    cut_after: int = 2
    ran: Counter[str] = field(default_factory=Counter)
    completed_runs: Counter[str] = field(default_factory=Counter)
    seen: list[Request] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    working: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    unframed_share: float = 0.0
    early_end_share: float = 0.0
    framing_rng: random.Random = field(default_factory=lambda: random.Random(1))
    started_ms: int | None = None
    work_s: float = 0.0
    harmful: set[bytes] = field(default_factory=set)
    harmful_parts: set[str] = field(default_factory=set)
    crash_delay_s: float = 0.01
    on_crash: Callable[[str], None] = lambda _: None
    on_request: Callable[[str, bytes], None] = lambda _, __: None

    def __post_init__(self) -> None:
        self.server = HttpServer(self.handle, ServerLimits(cancel_on_disconnect=True))

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening; return ``IP:PORT``. Port 0 picks a free one."""
        await self.server.start(address, port)
        return self.address(address)

    def address(self, ip: str = "127.0.0.1") -> str:
        """Return the listening address as ``IP:PORT``."""
        return f"{ip}:{self.server.port}"

    def entry(self, state: str = "ready") -> bytes:
        """Return the JSON with which the target registers itself in the store."""
        row = {
            "service": self.service,
            "addr": self.address(),
            "zone": "zone-a",
            "version": self.version,
            "slot_count": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "call_seq": 1,
        }
        if self.started_ms is not None:
            row["born"] = self.started_ms
        return msgspec.json.encode(row)

    def next_fault(self) -> TargetFault:
        """Return the fault of the next request and remove it, unless it is the last one."""
        if self.fault_rate and self.rng.random() < self.fault_rate:
            return self.rng.choice(list(TargetFault)[1:])
        if not self.faults:
            return TargetFault.NONE
        return self.faults.pop(0) if len(self.faults) > 1 else self.faults[0]

    async def handle(self, request: Request) -> Response:
        """Handle one request, subject to the injected fault."""
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
            asyncio.get_running_loop().call_later(self.crash_delay_s, self.on_crash, request.path)
            await asyncio.Event().wait()
        crashes = not self.harmful_parts.isdisjoint(read_shared_parts(request))
        if crashes:
            asyncio.get_running_loop().call_later(self.crash_delay_s, self.on_crash, request.path)
            if "/plain/" in request.path:
                await asyncio.Event().wait()
        echoed = "another" if fault is TargetFault.OTHER_ID else request_id
        headers = {"x-attempt-id": echoed, SEAL: f"{self.name}.{request_id}"}
        if fault is TargetFault.ERROR:
            return Response(500, headers)
        if fault is TargetFault.IMPOSSIBLE:
            return Response(422, headers)
        if fault is TargetFault.LOSE_RESPONSE:
            raise ConnectionResetError
        if fault is TargetFault.SILENT:
            await asyncio.Event().wait()
        if "/plain/" in request.path:
            await asyncio.sleep(self.work_s)
            return Response(200, headers, plain_response(request_id))
        headers["content-type"] = EVENT_STREAM_TYPE
        first = int(request.headers.get("last-event-id", "-1")) + 1
        if self.framing_rng.random() < self.unframed_share:
            end_body_with_connection(request)
        early_end = None
        if self.framing_rng.random() < self.early_end_share:
            early_end = self.framing_rng.randrange(first, self.events) if first < self.events else 0
        stream = self._stream(request_id, first, fault, early_end)
        return Response(200, headers, stream=hang_after_first(stream) if crashes else stream)

    async def _stream(
        self, request_id: str, first: int, fault: TargetFault, early_end: int | None
    ) -> AsyncIterator[bytes]:
        """Yield the events of a stream.

        :param early_end: number of the event in whose middle the stream ends in order.
        """
        version = self.version
        self.working += 1
        try:
            for number in range(first, self.events):
                if number == early_end:
                    yield event_bytes(request_id, number, version, self.data_bytes)[:9]
                    return
                if fault is TargetFault.CUT and number >= first + self.cut_after:
                    yield event_bytes(request_id, number, version, self.data_bytes)[:5]
                    raise ConnectionResetError
                yield event_bytes(request_id, number, version, self.data_bytes)
                await asyncio.sleep(self.event_interval_s)
            self.completed_runs[request_id] += 1
        finally:
            self.working -= 1


def read_shared_parts(request: Request) -> list[str]:
    """Return the parts of a request's prompt without the last, which only this request has."""
    rows = request.headers.get("x-prompt-prefix", "").split(",")
    return [row.partition(":")[0] for row in rows[:-1]]


async def hang_after_first(stream: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the first event of a stream, and never end."""
    yield await anext(stream)
    await asyncio.Event().wait()


def end_body_with_connection(request: Request) -> None:
    """Let the body of the response have neither a length nor chunks, as in HTTP/1.0."""
    connection = request.body_source.__self__  # type: ignore[attr-defined]
    connection.h11.their_http_version = b"1.0"


def event_data(
    request_id: str, number: int, version: str = FIRST_VERSION, size: int = EVENT_DATA_BYTES
) -> str:
    """Return the data of an event; it is the same on every target of a software version."""
    digest = sha256_hex(f"{request_id}.{number}.{version}".encode())[:16]
    return (digest * (size // len(digest) + 1))[:size]


def event_bytes(
    request_id: str, number: int, version: str = FIRST_VERSION, size: int = EVENT_DATA_BYTES
) -> bytes:
    """Return an event as it is encoded in a stream."""
    return f"id: {number}\ndata: {event_data(request_id, number, version, size)}\n\n".encode()


def complete_stream(
    request_id: str,
    events: int,
    version: str = FIRST_VERSION,
    *,
    first: int = 0,
    size: int = EVENT_DATA_BYTES,
) -> bytes:
    """Return the bytes of a complete stream, from the event *first* on.

    :param size: size in bytes of the data of each event.
    """
    return b"".join(
        event_bytes(request_id, number, version, size) for number in range(first, events)
    )


def plain_response(request_id: str) -> bytes:
    """Return the body of a plain response."""
    return sha256_hex(request_id.encode()).encode()
