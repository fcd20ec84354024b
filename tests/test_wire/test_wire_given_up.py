"""What a caller who leaves costs those who come after."""

from __future__ import annotations

import asyncio

from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from tests.support.virtual_network import run_on_network


def test_a_caller_who_leaves_closes_no_connection_that_rests() -> None:
    """A target works on a call for a second, as models do. Its caller leaves, and the connections
    that rest beside it are well: the next calls take them, and none is made anew for them.
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
        assert client.opened == 8
        for _ in range(5):
            leaving = asyncio.ensure_future(ask("/slow"))
            await asyncio.sleep(0.4)
            leaving.cancel()
            await asyncio.wait([leaving])
            await asyncio.gather(*(ask("/quick") for _ in range(7)))
        opened = client.opened
        client.close()
        server.abort()
        # One for each call that was left.
        assert opened <= 8 + 5

    run_on_network(main(), 1)
