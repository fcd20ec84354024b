"""Tests of how long calls wait for the refresh after a stall."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.standstill import LONGEST_WAIT_S, STOOD_STILL_S, Standstill
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic


def test_unanswered_refresh_delays_a_call_only_once() -> None:
    """The store is unreachable after a stall. A call waits for the refresh when it arrives and
    again before each attempt; all these waits share one limit from the start of the refresh.
    Otherwise each wait would take the full limit.
    """

    async def main() -> None:
        async def look() -> None:
            await asyncio.sleep(LONGEST_WAIT_S * 6)

        standstill = Standstill(look)
        standstill.seen_at = monotonic() - STOOD_STILL_S * 2
        started_at = monotonic()
        for _ in range(3):
            await standstill.wait()
        took_s = monotonic() - started_at
        await standstill.tasks.stop()
        assert took_s <= LONGEST_WAIT_S

    run_virtual(main())
