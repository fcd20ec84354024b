"""Peak memory of a gateway process whose callers use the bounds of requests at once."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.peak_memory import COMBINED, JOBS, LARGE_CALLS, Run
from gradepoint.gateway.caller_limits import (
    CONNECTION_BYTES,
    CONNECTIONS_MEMORY_SHARE,
    MAX_CONNECTIONS,
    make_limits,
)

MEMORY_MB = 150.0


def test_many_large_bodies_at_once_stay_below_the_memory_limit(tmp_path: Path) -> None:
    # The process grew to several times its limit, and the platform would have killed it.
    run = Run(tmp_path, MEMORY_MB)
    assert asyncio.run(run.measure(["bodies"])) < MEMORY_MB
    served, refused = run.outcomes["bodies 200"], run.outcomes["bodies 503"]
    assert served and served + refused == LARGE_CALLS, run.outcomes
    # The refusals promise that these calls have not run.
    assert run.slow.ran.total() == served


def test_many_large_jobs_at_once_stay_below_the_memory_limit(tmp_path: Path) -> None:
    # Each job was held in several copies while it was stored.
    run = Run(tmp_path, MEMORY_MB)
    assert asyncio.run(run.measure(["jobs"])) < MEMORY_MB
    accepted, refused = run.outcomes["jobs 202"], run.outcomes["jobs 503"]
    assert accepted and accepted + refused == JOBS, run.outcomes


def test_requests_sent_ahead_stay_below_the_memory_limit(tmp_path: Path) -> None:
    # Up to 768 KB of the next requests were read on each connection while a request was answered.
    assert asyncio.run(Run(tmp_path, MEMORY_MB).measure(["ahead"])) < MEMORY_MB


@pytest.mark.parametrize("scenario", ["events", "document"])
def test_unread_answers_stay_below_the_memory_limit(tmp_path: Path, scenario: str) -> None:
    # Up to a megabyte waited for each caller that did not read its answer.
    assert asyncio.run(Run(tmp_path, MEMORY_MB).measure([scenario])) < MEMORY_MB


def test_all_bounds_at_once_stay_below_the_memory_limit(tmp_path: Path) -> None:
    # Single bounds held, but not their sum with the longest answers of the store.
    assert asyncio.run(Run(tmp_path, MEMORY_MB).measure(COMBINED)) < MEMORY_MB


def test_fewer_connections_are_accepted_where_memory_is_small() -> None:
    # As many connections were accepted at any limit, though each takes memory.
    small, usual, large = (make_limits(mb * 1e6).max_connections for mb in (100, 150, 1000))
    assert small < usual < large == MAX_CONNECTIONS
    assert usual * CONNECTION_BYTES <= 150e6 * CONNECTIONS_MEMORY_SHARE
