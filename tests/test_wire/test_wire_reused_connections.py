"""Tests of connections that bring bytes which belong to no request."""

from __future__ import annotations

import asyncio
from contextlib import closing

import pytest

from gradepoint.wire.http_client import HttpClient
from tests.support.virtual_network import run_on_network

STALE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale"


def frame(body: bytes, *, chunked: bool) -> bytes:
    """Return a whole answer with *body*."""
    if chunked:
        return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
            len(body),
            body,
        )
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
@pytest.mark.parametrize("pause_s", [0.1, 0.5])
def test_bytes_after_an_answer_are_not_the_answer_to_the_next_request(
    pause_s: float, delay_s: float, chunked: bool
) -> None:
    """The reader of the first answer is slow, and the next request is sent right after it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            writer.write(frame(head.split()[1], chunked=chunked))
            await asyncio.sleep(delay_s)
            writer.write(STALE)

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = ("127.0.0.1", server.sockets[0].getsockname()[1])
        with closing(HttpClient()) as http:
            for path in ("/first", "/second", "/third"):
                response = await http.send(address, "GET", path, timeout_s=1.0)
                pieces = []
                async for piece in response.stream():
                    pieces.append(piece)
                    await asyncio.sleep(pause_s)
                assert b"".join(pieces) == path.encode()
        server.close()

    run_on_network(main(), seed=1)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified", b"200 OK"])
def test_body_of_an_answer_that_has_none_is_not_the_answer_to_the_next_request(
    status: bytes,
) -> None:
    """The status or the method rules out a body, and the server sends one all the same."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await reader.readuntil(b"\r\n\r\n")
        if first.startswith(b"HEAD"):
            length = b"" if status.startswith(b"204") else b"content-length: 5\r\n"
            writer.write(b"HTTP/1.1 %b\r\n%b\r\n" % (status, length) + STALE)
        else:
            writer.write(frame(b"sound", chunked=False))

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = ("127.0.0.1", server.sockets[0].getsockname()[1])
        with closing(HttpClient()) as http:
            response = await http.send(address, "HEAD", "/", timeout_s=1.0)
            assert await response.read() == b""
            response = await http.send(address, "GET", "/", timeout_s=1.0)
            assert await response.read() == b"sound"
        server.close()

    run_on_network(main(), seed=1)
