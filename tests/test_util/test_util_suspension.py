"""The clock and the event loop include the time during which the host is suspended."""

from __future__ import annotations

import asyncio
import time

import pytest

from gradepoint.util import clock
from gradepoint.util.loop import SuspendAwareEventLoop, run_coroutine


def test_monotonic_clock_includes_suspension() -> None:
    # With a clock that stops during a suspension, leases would seem valid after they expired.
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.monotonic() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_timers_that_expired_during_suspension_run_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Timers of the plain event loop would first wait for the rest of their delay after a resume.
    suspended_s = 0.0
    monkeypatch.setattr(clock.SOURCES, "monotonic", lambda: clock.read_monotonic() + suspended_s)

    async def work() -> list[str]:
        nonlocal suspended_s
        ran: list[str] = []
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SuspendAwareEventLoop)
        for after_s in (3000.0, 1000.0, 5000.0):
            loop.call_later(after_s, ran.append, f"{after_s:g}")
        await asyncio.sleep(0.01)
        assert not ran
        suspended_s = 4000.0
        await asyncio.sleep(0.01)
        return ran

    assert run_coroutine(work()) == ["1000", "3000"]
