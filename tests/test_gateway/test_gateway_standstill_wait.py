"""How long one look after a standstill may hold calls up."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.standstill import LONGEST_WAIT_S, STOOD_STILL_S, Standstill
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic


def test_a_look_that_is_not_answered_holds_a_call_up_once() -> None:
    """The store is away as a host stood still. A call waits as it comes in and before each of its
    tries, and calls that come while the look goes on wait anew, for as long each time.
    """

    async def main() -> None:
        async def look() -> None:
            await asyncio.sleep(LONGEST_WAIT_S * 6)

        standstill = Standstill(look)
        standstill.seen_at = monotonic() - STOOD_STILL_S * 2
        begun = monotonic()
        for _ in range(3):
            await standstill.wait()
        took_s = monotonic() - begun
        await standstill.tasks.stop()
        assert took_s <= LONGEST_WAIT_S

    run_virtual(main())
