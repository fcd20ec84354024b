"""Memory of requests: what does not fit is refused before it runs, and all of it is released."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
import pytest

from gradepoint.util.memory_budget import LARGE_SHARE, MemoryBudget, Purpose
from gradepoint.wire.http_server import READ_SIZE_BYTES, HttpServer, ServerLimits
from gradepoint.wire.http_types import Request, Response

BODY_BYTES = 1 << 20
BUDGET_BYTES = 7 * BODY_BYTES
FITTING = int(BUDGET_BYTES * LARGE_SHARE) // (BODY_BYTES + 2 * READ_SIZE_BYTES)
WAIT_S = 20.0
STREAM_PIECES = 400
"""Pieces of a long answer; more than the buffers of a loopback connection hold."""
LIMITS = ServerLimits(
    max_connections=100,
    max_body_bytes=BODY_BYTES,
    idle_timeout_s=0.3,
    head_timeout_s=WAIT_S,
    cancel_on_disconnect=True,
    read_bytes=8192,
)


class Callers:
    """A server with a budget, and the requests that it ran.

    :ivar ran: names of the requests whose body was read.
    :ivar go_on: set once the handler may answer.
    """

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.go_on = asyncio.Event()
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.server = HttpServer(self.answer, LIMITS)
        self.server.budget = self.budget

    async def answer(self, request: Request) -> Response:
        """Read the body, and answer once this is allowed."""
        body = await request.read_body()
        self.ran.append(request.path)
        await self.go_on.wait()
        return Response(body=b"%d" % len(body))

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the pieces of a long answer."""
        for _ in range(STREAM_PIECES):
            yield b"x" * READ_SIZE_BYTES

    async def answer_long(self, request: Request) -> Response:
        """Answer with a long stream, or with as long a body for ``/body``."""
        await request.read_body()
        if request.path == "/body":
            return Response(body=b"x" * READ_SIZE_BYTES * STREAM_PIECES)
        return Response(stream=self.stream())

    async def open(self, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request whose answer isn't read."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port, limit=4096)
        writer.write(f"GET /{name} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode())
        return reader, writer

    async def send(self, name: str, body: bytes, *, chunked: bool = False) -> bytes:
        """Send a whole request; return the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        framing = "transfer-encoding: chunked" if chunked else f"content-length: {len(body)}"
        writer.write(
            f"POST /{name} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{framing}\r\n\r\n".encode()
        )
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked else body)
        try:
            async with asyncio.timeout(WAIT_S):
                return await reader.read()
        finally:
            writer.close()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)


def with_server(work: Callable[[Callers], Awaitable[None]]) -> None:
    """Run *work* with a server."""

    async def main() -> None:
        callers = Callers()
        await callers.server.start("127.0.0.1", 0)
        try:
            await work(callers)
        finally:
            callers.server.abort()

    asyncio.run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_bodies_beyond_the_memory_are_refused_and_not_run(chunked: bool) -> None:
    # Each body was read whole, so that many large ones together exceeded the memory.
    async def work(callers: Callers) -> None:
        body = b"x" * BODY_BYTES
        sent = [
            asyncio.ensure_future(callers.send(f"first-{number}", body, chunked=chunked))
            for number in range(FITTING)
        ]
        await callers.wait_for(lambda: len(callers.ran) == FITTING)
        for number in range(10):
            answer = await callers.send(f"more-{number}", body, chunked=chunked)
            head, _, refusal = answer.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503") and b"retry-after" in head
            assert msgspec.json.decode(refusal)["error"]["code"] == "host_memory"
        small = asyncio.ensure_future(callers.send("small", b"small"))
        await callers.wait_for(lambda: len(callers.ran) == FITTING + 1)
        callers.go_on.set()
        for answer in await asyncio.gather(*sent, small):
            assert answer.startswith(b"HTTP/1.1 200")
        assert not any(path.startswith("/more") for path in callers.ran)
        await callers.wait_for(lambda: callers.budget.used_bytes == 0)
        assert (await callers.send("again", body, chunked=chunked)).startswith(b"HTTP/1.1 200")

    with_server(work)


def test_unfinished_heads_beyond_the_memory_are_refused() -> None:
    # Slow callers held the memory of as many heads as there may be connections.
    async def work(callers: Callers) -> None:
        callers.budget.limit_bytes = 3 * LIMITS.max_header_bytes
        callers.go_on.set()
        held = []
        for _ in range(3):
            reader, writer = await asyncio.open_connection("127.0.0.1", callers.server.port)
            writer.write(b"GET /slow HTTP/1.1\r\nhost: x\r\n")
            held.append((reader, writer))
        await callers.wait_for(lambda: callers.budget.used_bytes == callers.budget.limit_bytes)
        reader, writer = await asyncio.open_connection("127.0.0.1", callers.server.port)
        writer.write(b"GET /more HTTP/1.1\r\nhost: x\r\n")
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503") and b"host_memory" in answer
        for reader, writer in held:
            writer.write(b"connection: close\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
        writer.close()
        await callers.wait_for(lambda: callers.budget.used_bytes == 0)

    with_server(work)


@pytest.mark.parametrize("kind", ["body", "stream"])
def test_answer_waits_for_its_caller_in_reserved_memory(kind: str) -> None:
    # What waited for callers that do not read was not counted.
    async def work(callers: Callers) -> None:
        callers.server.handler = callers.answer_long
        callers.server.limits = ServerLimits(idle_timeout_s=WAIT_S)
        reader, writer = await callers.open(kind)
        await callers.wait_for(lambda: callers.budget.used_bytes > READ_SIZE_BYTES)
        assert callers.budget.used_bytes < 8 * READ_SIZE_BYTES
        answer = await reader.read()
        assert answer.count(b"x" * 100) >= STREAM_PIECES * READ_SIZE_BYTES // 100 - STREAM_PIECES
        writer.close()
        await callers.wait_for(lambda: callers.budget.used_bytes == 0)

    with_server(work)


def test_unread_answer_ends_early_only_where_memory_is_used_up() -> None:
    # Callers that do not read held what waited for them for the whole idle timeout.
    async def work(callers: Callers) -> None:
        callers.server.handler = callers.answer_long
        callers.server.limits = ServerLimits(idle_timeout_s=10 * WAIT_S)
        patient = await callers.open("first")
        await callers.wait_for(lambda: callers.budget.used_bytes > READ_SIZE_BYTES)
        rest = callers.budget.limit_bytes - callers.budget.used_bytes - READ_SIZE_BYTES
        assert callers.budget.reserve(rest, Purpose.BODY, large=False)
        unread = await callers.open("second")
        await callers.wait_for(lambda: len(callers.server.connections) == 2)
        await callers.wait_for(lambda: len(callers.server.connections) == 1)
        answer = await patient[0].read()
        assert answer.endswith(b"0\r\n\r\n")
        for _, writer in (patient, unread):
            writer.close()
        callers.budget.release(rest)
        await callers.wait_for(lambda: callers.budget.used_bytes == 0)

    with_server(work)


@pytest.mark.parametrize("seed", range(3))
def test_memory_is_released_however_requests_end(seed: int) -> None:
    # A reservation that is never released refuses all later requests.
    async def work(callers: Callers) -> None:
        rng = random.Random(seed)

        async def run_one(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.3)
            size = rng.choice([10, 5000, 200_000, BODY_BYTES, BODY_BYTES + 1])
            end = rng.choice(["whole", "part", "reset", "malformed", "chunked", "left", "head"])
            if end in ("whole", "chunked"):
                await callers.send(f"{number}", b"x" * size, chunked=end == "chunked")
                return
            reader, writer = await asyncio.open_connection("127.0.0.1", callers.server.port)
            framing = (
                "transfer-encoding: chunked" if end == "malformed" else f"content-length: {size}"
            )
            writer.write(f"POST /{number} HTTP/1.1\r\nhost: x\r\n{framing}\r\n".encode())
            if end != "head":
                writer.write(b"\r\n")
            if end == "malformed":
                writer.write(b"%x\r\n%bzz" % (size, b"x" * size))
            elif end != "head":
                writer.write(b"x" * (size if end == "left" else size // 2))
            await asyncio.sleep(rng.random() * 0.2)
            if end in ("reset", "left"):
                writer.transport.abort()
            else:
                await reader.read()
                writer.close()

        async def answer_later() -> None:
            await asyncio.sleep(0.6)
            callers.go_on.set()

        async with asyncio.timeout(WAIT_S):
            await asyncio.gather(
                answer_later(), *(run_one(number) for number in range(60)), return_exceptions=True
            )
        await callers.wait_for(lambda: not callers.server.connections)
        assert callers.budget.used_bytes == 0

    with_server(work)
