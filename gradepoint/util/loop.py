"""Event loop whose timers use the same clock as all other durations."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from .clock import SOURCES

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances while the host is suspended.

    Timers that expired during a suspension run as soon as the host resumes. With the clock of
    asyncio they would first wait for the rest of their delay, and calls past their deadline and
    leases due for renewal would be handled too late.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds of :func:`gradepoint.util.clock.monotonic`."""
        return SOURCES.monotonic()


def run_coroutine(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in a :class:`SuspendAwareEventLoop` and return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(work)
