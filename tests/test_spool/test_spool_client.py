"""Tests of what the answers of data hosts state about a job."""

from __future__ import annotations

from contextlib import closing

import pytest

from gradepoint.ids import JobId
from gradepoint.spool.client import SpoolClient, SpoolOutcome
from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response
from tests.support.virtual_network import run_on_network

KEPT, NOT_KEPT, UNCERTAIN = SpoolOutcome


def find_with_statuses(*statuses: int) -> SpoolOutcome:
    """Return the outcome of a search if data hosts answer with these statuses."""

    async def main() -> SpoolOutcome:
        servers = []
        for status in statuses:

            async def answer(_: Request, status: int = status) -> Response:
                return Response(status)

            servers.append(HttpServer(answer))
            await servers[-1].start("127.0.0.1", 0)
        with closing(HttpClient()) as http:
            addresses = [f"127.0.0.1:{server.port}" for server in servers]
            outcome = await SpoolClient(http, lambda: addresses, list, 1).find(JobId("job"))
        for server in servers:
            server.abort()
        return outcome

    return run_on_network(main(), seed=1)


@pytest.mark.parametrize("status", [400, 408, 429, 500, 503])
def test_job_is_not_taken_for_lost_where_a_data_host_cannot_tell(status: int) -> None:
    """A data host that stops or fails may have the only copy."""
    assert find_with_statuses(404, status) is UNCERTAIN
    assert find_with_statuses(status) is UNCERTAIN
    assert find_with_statuses(200, status) is KEPT


def test_job_is_lost_if_every_data_host_states_that_it_has_none() -> None:
    assert find_with_statuses(404, 404) is NOT_KEPT
