"""Peak memory of a gateway process whose callers use the bounds of requests at once."""

from __future__ import annotations

import asyncio
from pathlib import Path

from bench.peak_memory import LARGE_CALLS, Run

MEMORY_MB = 150.0


def test_many_large_bodies_at_once_stay_below_the_memory_limit(tmp_path: Path) -> None:
    # The process grew to several times its limit, and the platform would have killed it.
    run = Run(tmp_path, MEMORY_MB)
    assert asyncio.run(run.measure(["bodies"])) < MEMORY_MB
    served, refused = run.outcomes["bodies 200"], run.outcomes["bodies 503"]
    assert served and served + refused == LARGE_CALLS, run.outcomes
    # The refusals promise that these calls have not run.
    assert run.slow.ran.total() == served
