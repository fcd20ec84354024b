"""Idle connections that stop delivering data without an error, and the limit of idle ones."""

from __future__ import annotations

import asyncio

import pytest

from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import HttpClient, ResponseBroken
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from tests.support.virtual_network import NetworkLoop, run_on_network

TIMEOUT_S = 0.5


async def answer_after_delay(request: Request) -> Response:
    """Answer after a delay, so that several calls are in flight at once."""
    await request.read_body()
    await asyncio.sleep(0.01)
    return Response(200, body=b"whole")


async def start(client: HttpClient, connections: int) -> tuple[str, int]:
    """Start a server and open *connections* idle connections to it; return its origin."""
    server = HttpServer(answer_after_delay)
    await server.start("127.0.0.1", 0)
    origin = ("127.0.0.1", server.port)
    await asyncio.gather(*(call(client, origin) for _ in range(connections)))
    return origin


async def call(client: HttpClient, origin: tuple[str, int]) -> bytes:
    """Make one call."""
    response = await client.send(origin, "GET", "/", timeout_s=TIMEOUT_S)
    return await response.read()


def test_silent_idle_connections_fail_only_one_call() -> None:
    """All open connections may stop delivering data without an error while new ones work. If the
    idle ones are kept then, each costs the next call that takes it its whole timeout.
    """

    async def work() -> None:
        client = HttpClient()
        origin = await start(client, connections=5)
        assert len(client.idle[origin]) == 5
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        loop.mute_connections()
        with pytest.raises(ResponseBroken):
            await call(client, origin)
        begun = monotonic()
        assert await call(client, origin) == b"whole"
        assert monotonic() - begun < TIMEOUT_S

    run_on_network(work(), 1)


def test_oldest_idle_connection_is_closed_at_the_limit() -> None:
    async def work() -> None:
        client = HttpClient(max_idle_per_origin=2)
        origin = await start(client, connections=2)
        first = client.idle[origin][0]
        response = await client.send(origin, "GET", "/", fresh=True)
        await response.read()
        assert len(client.idle[origin]) == 2
        assert first not in client.idle[origin] and not first.usable

    run_on_network(work(), 1)
