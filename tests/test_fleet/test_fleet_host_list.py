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


def read_lists(*answers: Response) -> list[dict[HostName, HostState]]:
    """Return what a client knows after each answer of the platform."""
    left = list(answers)

    async def answer(_: Request) -> Response:
        return left.pop(0)

    async def main() -> None:
        server = HttpServer(answer)
        await server.start("127.0.0.1", 0)
        client = HostListClient(f"http://127.0.0.1:{server.port}")
        with closing(client.http):
            known.extend([dict(await client.refresh()) for _ in answers])
        server.abort()

    known: list[dict[HostName, HostState]] = []
    run_on_network(main(), seed=1)
    return known


@pytest.mark.parametrize("status", [203, 404, 429, 500, 503])
def test_list_is_kept_where_the_read_is_answered_with_another_status(status: int) -> None:
    """The body of an error may have the form of a list, with hosts missing."""
    known = read_lists(Response(200, body=LISTED), Response(status, body=b'{"hosts": []}'))
    assert known == [KNOWN, KNOWN]


@pytest.mark.parametrize(
    "row",
    [
        rb'{"name": "\ud83d", "state": "live"}',
        b'{"name": "\xff", "state": "live"}',
        b'{"name": "h3", "state": "other"}',
        b"null",
    ],
)
def test_entry_that_cannot_be_decoded_hides_no_other_host(row: bytes) -> None:
    # A name that is no text made the list unreadable, so that a starting host knew no other.
    assert read_lists(Response(200, body=LISTED[:-2] + b", " + row + b"]}")) == [KNOWN]
