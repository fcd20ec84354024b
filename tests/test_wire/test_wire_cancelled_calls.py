"""Effect of cancelled calls on the idle connections of the HTTP client."""

from __future__ import annotations

import asyncio

from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from tests.support.virtual_network import run_on_network


def test_cancelled_call_does_not_close_idle_connections() -> None:
    """A caller cancels a call that a target works on for a second, as models do. The idle
    connections beside it are intact: the next calls reuse them and open no new ones. Only the
    connection of the cancelled call is lost.
    """

    async def main() -> None:
        async def handle(request: Request) -> Response:
            await request.read_body()
            await asyncio.sleep(1.0 if request.path == "/slow" else 0.05)
            return Response(200)

        server = HttpServer(handle)
        await server.start("127.0.0.1", 0)
        origin = ("127.0.0.1", server.port)
        client = HttpClient(1.0, 1500)

        async def ask(path: str) -> None:
            response = await client.send(origin, "GET", path)
            await response.read()

        await asyncio.gather(*(ask("/quick") for _ in range(8)))
        assert client.connections_opened == 8
        for _ in range(5):
            cancelled = asyncio.ensure_future(ask("/slow"))
            await asyncio.sleep(0.4)
            cancelled.cancel()
            await asyncio.wait([cancelled])
            await asyncio.gather(*(ask("/quick") for _ in range(7)))
        opened = client.connections_opened
        client.close()
        server.abort()
        # One new connection for each cancelled call.
        assert opened <= 8 + 5

    run_on_network(main(), 1)
