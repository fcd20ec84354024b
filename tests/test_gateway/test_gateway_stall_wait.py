"""Tests of how long calls wait for the refresh after a stall."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.stall import MAX_LOOP_GAP_S, MAX_REFRESH_WAIT_S, StallDetector
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic


def test_unanswered_refresh_delays_a_call_only_once() -> None:
    """The store is unreachable after a stall. A call waits for the refresh when it arrives and
    again before each attempt; all these waits share one limit from the start of the refresh.
    Otherwise each wait would take the full limit.
    """

    async def main() -> None:
        async def refresh() -> None:
            await asyncio.sleep(MAX_REFRESH_WAIT_S * 6)

        stall_detector = StallDetector(refresh)
        stall_detector.last_check_at = monotonic() - MAX_LOOP_GAP_S * 2
        started_at = monotonic()
        for _ in range(3):
            await stall_detector.wait()
        took_s = monotonic() - started_at
        await stall_detector.tasks.stop()
        assert took_s <= MAX_REFRESH_WAIT_S

    run_virtual(main())
