"""Tests of responses without end: the client leaves each of them within its bounds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import closing

import pytest

from gradepoint.errors import KvError
from gradepoint.platform.store import MAX_ANSWER_BYTES, PlatformStore
from gradepoint.wire.http_client import (
    MAX_INCOMPLETE_EVENT_BYTES,
    MAX_TINY_CHUNKS,
    HttpClient,
    ResponseBroken,
)

MAX_BYTES = 1 << 20
SOCKET_BYTES = 16 << 20
"""Bytes that the sockets of a connection may hold, by the default limits of Linux."""
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"

HEADS = {
    "status-line": (b"", b"x" * 4096),
    "header-line": (OK + b"a: ", b"x" * 4096),
    "headers": (OK, b"a: b\r\n" * 700),
    "garbage": (b"", b"\x00\xff" * 2048),
    "empty-lines": (b"", b"\r\n" * 2048),
}
BODIES = {
    "length": (OK + b"content-length: 999999999999\r\n\r\n", b"x" * 4096),
    "until-close": (OK + b"\r\n", b"x" * 4096),
    "chunks": (CHUNKED, b"1000\r\n%b\r\n" % (b"x" * 4096)),
    "tiny-chunks": (CHUNKED, b"1\r\nx\r\n" * 700),
    "chunk-line": (CHUNKED, b"1" * 4096),
    "chunk-extension": (CHUNKED + b"1;", b"x" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 700),
}

Use = Callable[[tuple[str, int]], Awaitable[None]]


class Sent:
    """Bytes that the server has sent on all connections."""

    count = 0


def serve_endless(begin: bytes, repeated: bytes, use: Use) -> int:
    """Run *use* with the address of a server that answers with bytes without end.

    :returns: bytes that the server has sent.
    """
    sent = Sent()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(begin)
        try:
            while True:
                writer.write(repeated * 16)
                await writer.drain()
                sent.count += len(repeated) * 16
        except ConnectionError:
            writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        await use(server.sockets[0].getsockname())
        server.close()

    asyncio.run(main())
    return sent.count


@pytest.mark.parametrize("head", HEADS)
def test_head_without_end_is_left(head: str) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http, pytest.raises(ResponseBroken):
            await http.send(address, "GET", "/", timeout_s=5.0)

    assert serve_endless(*HEADS[head], use) <= MAX_INCOMPLETE_EVENT_BYTES + SOCKET_BYTES


def test_informational_responses_without_end_are_left_in_time() -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http, pytest.raises(ResponseBroken):
            await http.send(address, "GET", "/", timeout_s=0.2)

    serve_endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n", use)


@pytest.mark.parametrize("body", BODIES)
def test_body_without_end_is_left(body: str) -> None:
    async def use(address: tuple[str, int]) -> None:
        with (
            closing(HttpClient(max_body_bytes=MAX_BYTES)) as http,
            pytest.raises(ResponseBroken),
        ):
            response = await http.send(address, "GET", "/", timeout_s=5.0)
            await response.read()

    assert serve_endless(*BODIES[body], use) <= MAX_BYTES + SOCKET_BYTES


def test_other_tasks_run_while_tiny_chunks_arrive() -> None:
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def use(address: tuple[str, int]) -> None:
        counting = asyncio.ensure_future(count_turns())
        with closing(HttpClient()) as http, pytest.raises(ResponseBroken):
            response = await http.send(address, "GET", "/", timeout_s=5.0)
            await response.read()
        counting.cancel()

    serve_endless(*BODIES["tiny-chunks"], use)
    assert turns >= MAX_TINY_CHUNKS // 64


@pytest.mark.parametrize("body", ["until-close", "chunks", "length"])
def test_answer_of_the_store_without_end_is_a_failed_call(body: str) -> None:
    async def use(address: tuple[str, int]) -> None:
        store = PlatformStore(f"{address[0]}:{address[1]}", 5.0, 20.0)
        with closing(store.http), pytest.raises(KvError):
            await store.get("key")

    assert serve_endless(*BODIES[body], use) <= MAX_ANSWER_BYTES + SOCKET_BYTES
