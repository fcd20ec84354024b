"""The clock and the loop of programs count the time in which their host is suspended."""

from __future__ import annotations

import asyncio
import time

import pytest

from gradepoint.util import clock
from gradepoint.util.loop import HostLoop, run_program


def test_durations_are_read_from_the_clock_that_counts_suspension() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.monotonic() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_timers_that_came_due_meanwhile_run_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    slept_s = 0.0
    monkeypatch.setattr(clock.SOURCES, "monotonic", lambda: clock.read_monotonic() + slept_s)

    async def work() -> list[str]:
        nonlocal slept_s
        ran: list[str] = []
        loop = asyncio.get_running_loop()
        assert isinstance(loop, HostLoop)
        for after_s in (3000.0, 1000.0, 5000.0):
            loop.call_later(after_s, ran.append, f"{after_s:g}")
        await asyncio.sleep(0.01)
        assert not ran
        slept_s = 4000.0
        await asyncio.sleep(0.01)
        return ran

    assert run_program(work()) == ["1000", "3000"]
