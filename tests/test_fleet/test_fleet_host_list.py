"""Tests of reading the platform's list of hosts."""

from __future__ import annotations

from contextlib import closing

import pytest

from gradepoint.fleet.host_list import HostListClient, HostState
from gradepoint.ids import HostName
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from tests.support.virtual_network import run_on_network

LISTED = b'{"hosts": [{"name": "h1", "state": "live"}, {"name": "h2", "state": "leaving"}]}'
KNOWN = {HostName("h1"): HostState.LIVE, HostName("h2"): HostState.LEAVING}


@pytest.mark.parametrize("status", [203, 404, 429, 500, 503])
def test_list_is_kept_where_the_read_is_answered_with_another_status(status: int) -> None:
    """The body of an error may have the form of a list, with hosts missing."""
    answers = [Response(200, body=LISTED), Response(status, body=b'{"hosts": []}')]

    async def answer(_: Request) -> Response:
        return answers.pop(0)

    async def main() -> None:
        server = HttpServer(answer)
        await server.start("127.0.0.1", 0)
        client = HostListClient(f"http://127.0.0.1:{server.port}")
        with closing(client.http):
            assert await client.refresh() == KNOWN
            assert await client.refresh() == KNOWN
        server.abort()

    run_on_network(main(), seed=1)
