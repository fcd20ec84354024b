"""Tests of how the end of a body is told to callers and read from targets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from gradepoint.errors import TargetFailure
from gradepoint.wire.http_client import HttpClient, ResponseBroken
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from gradepoint.wire.target_client import TargetClient

BODY = b"data: 1\n\ndata: 2\n\n"


async def answer_in_pieces(request: Request) -> Response:
    """Send a streamed body; break it off where the path is ``/cut``."""

    async def pieces() -> AsyncIterator[bytes]:
        yield BODY[:9]
        if request.path == "/cut":
            await asyncio.sleep(0.02)
            raise ConnectionAbortedError("the target broke off")
        yield BODY[9:]

    return Response(200, stream=pieces())


async def read_to_end(port: int, head: bytes) -> tuple[bytes, bool]:
    """Send a request; return all bytes of its answer, and whether the connection was reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head)
    received = b""
    try:
        while data := await reader.read(1000):
            received += data
    except ConnectionResetError:
        return received, True
    finally:
        writer.close()
    return received, False


@pytest.mark.parametrize(("path", "is_reset"), [("/whole", False), ("/cut", True)])
def test_cut_answer_is_recognised_by_caller_of_http_1_0(path: str, is_reset: bool) -> None:
    """Such a caller gets no chunks, so that a close in order would complete the body."""

    async def main() -> None:
        server = HttpServer(answer_in_pieces)
        await server.start("127.0.0.1", 0)
        try:
            head = f"GET {path} HTTP/1.0\r\nhost: h\r\n\r\n".encode()
            received, was_reset = await read_to_end(server.port, head)
        finally:
            server.abort()
        assert was_reset is is_reset
        assert BODY.startswith(received.partition(b"\r\n\r\n")[2])
        if not is_reset:
            assert received.endswith(b"\r\n\r\n" + BODY)
            assert b"transfer-encoding" not in received

    asyncio.run(main())


def with_raw_answer(
    answer: bytes, work: Callable[[int], Awaitable[None]], *, close: bool = False
) -> None:
    """Run *work* with the port of a server that sends *answer*.

    :param close: whether the server closes connections in order after the answer.
    """

    async def main() -> None:
        writers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            if close:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        try:
            await work(server.sockets[0].getsockname()[1])
        finally:
            server.close()
            for writer in writers:
                writer.transport.abort()

    asyncio.run(main())


def test_answer_closed_by_its_reader_is_not_complete() -> None:
    async def work(port: int) -> None:
        response = await HttpClient().send(("127.0.0.1", port), "GET", "/")
        chunks = response.stream()
        assert await anext(chunks) == b"data"
        asyncio.get_running_loop().call_later(0.01, response.close)
        with pytest.raises(ResponseBroken):
            await anext(chunks)

    with_raw_answer(b"HTTP/1.1 200 OK\r\n\r\ndata", work)


@pytest.mark.parametrize(
    ("content_type", "body", "is_whole"),
    [
        ("application/json", b'{"id": 1}', True),
        ("application/json; charset=utf-8", b'{"id": ', False),
        ("application/json", b"[" * 300 + b"]" * 300, True),
        ("application/json", rb'{"text": "\ud83d"}', True),
        ("application/json", b'{"text": "\xff"}', True),
        ("application/json", rb'{"text": "\ud83d"', False),
        ("application/json", b"", False),
        ("text/event-stream", b"data: 1\n\n", True),
        ("text/event-stream", b"data: 1\n\ndata", False),
        ("text/plain", b"any", True),
    ],
)
def test_target_answer_cut_in_its_format_is_not_complete(
    content_type: str, body: bytes, is_whole: bool
) -> None:
    async def work(port: int) -> None:
        calling = TargetClient().call("GET", f"http://127.0.0.1:{port}/", b"", {}, 5.0)
        if is_whole:
            assert (await calling).body == body
        else:
            with pytest.raises(TargetFailure) as raised:
                await calling
            assert not raised.value.not_run

    head = f"HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n"
    with_raw_answer(head.encode() + body, work, close=True)
