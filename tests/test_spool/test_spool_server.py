"""The connections of a data host, of which it has few."""

from __future__ import annotations

import asyncio

import pytest

from gradepoint.spool.server import SpoolServer
from gradepoint.standins.ports import LOOPBACK
from gradepoint.wire.http_server import reset_connection
from gradepoint.wire.http_types import Request, Response
from tests.support.programs import WAIT_S

REQUEST = b"GET /spool/j HTTP/1.1\r\nhost: h\r\n\r\n"


async def answer(request: Request) -> Response:
    """Answer a request; the connection of one whose body was not read is closed."""
    await request.read_body()
    return Response(404)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a response."""
    return await reader.readuntil(b"\r\n\r\n")


def test_connections_above_the_limit_do_not_close_others() -> None:
    """A connection whose request was still under way counted as idle and was closed for another;
    its handler was not counted any more, so that the limit of the server was passed and a host
    got 503, which a former version takes for "not here".
    """

    async def work() -> None:
        server = SpoolServer(answer, 2, 0)
        await server.start(LOOPBACK, 0)
        first = [await asyncio.open_connection(LOOPBACK, server.port) for _ in range(2)]
        for _ in range(3):
            with pytest.raises(ConnectionError):
                reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
                writer.write(REQUEST)
                assert not await reader.read()
                raise ConnectionResetError
        for reader, writer in first:
            writer.write(REQUEST)
            assert (await read_head(reader)).startswith(b"HTTP/1.1 404")
        server.abort()

    asyncio.run(work())


def test_place_is_kept_until_the_handler_has_ended() -> None:
    """Handlers of connections that were lost hold memory as well."""

    async def work() -> None:
        released = asyncio.Event()

        async def wait(_request: Request) -> Response:
            await released.wait()
            return Response(404)

        server = SpoolServer(wait, 1, 0)
        await server.start(LOOPBACK, 0)
        _, writer = await asyncio.open_connection(LOOPBACK, server.port)
        writer.write(REQUEST)
        while not any(connection.busy for connection in server.connections):
            await asyncio.sleep(0)
        reset_connection(writer.transport)
        (lost,) = server.connections
        while not lost.writer.is_closing():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        with pytest.raises(ConnectionError):
            writer.write(REQUEST)
            async with asyncio.timeout(WAIT_S):
                assert not await reader.read()
            raise ConnectionResetError
        assert server.open_count == 1
        released.set()
        while server.open_count:
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        writer.write(REQUEST)
        assert (await read_head(reader)).startswith(b"HTTP/1.1 404")
        writer.close()
        server.abort()

    asyncio.run(work())


def test_idle_connections_do_not_keep_others_out() -> None:
    """Hosts keep their connections for the next call."""

    async def work() -> None:
        server = SpoolServer(answer, 4, 0)
        await server.start(LOOPBACK, 0)
        kept = []
        for _ in range(6):
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(REQUEST)
            head = await read_head(reader)
            assert head.startswith(b"HTTP/1.1 404")
            if b"connection: close" not in head.lower():
                kept.append((reader, writer))
            while server.open_count > len(kept):
                await asyncio.sleep(0)
        assert len(kept) == 2
        server.abort()

    asyncio.run(work())
