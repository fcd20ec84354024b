"""An asyncio event loop in virtual time: instead of waiting, it advances its clock.

Only code without real sockets runs on it. If all random choices are
seeded, those of a scheduler included, each run takes the same steps.
"""

from __future__ import annotations

import asyncio
import selectors
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

from ..util import clock

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

T = TypeVar("T")

WALL_START = 1_700_000_000.0
"""Unix time at virtual second 0."""


class Deadlock(Exception):
    """Every task waits and no timer is pending."""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the virtual clock where a real one would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Deadlock("every task waits and no timer is pending")
        if timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock is virtual."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualTimeSelector()
        super().__init__(self.virtual_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now

    def read_monotonic(self) -> float:
        """Return the monotonic clock of the caller; subclasses may vary it by program."""
        return self.time()


@contextmanager
def virtual_clocks(loop: VirtualLoop) -> Iterator[None]:
    """Make the clocks of :mod:`gradepoint.util.clock` read the time of *loop*."""
    previous_clocks = clock.SOURCES.monotonic, clock.SOURCES.wall
    clock.SOURCES.monotonic = loop.read_monotonic
    clock.SOURCES.wall = lambda: WALL_START + loop.time()
    try:
        yield
    finally:
        clock.SOURCES.monotonic, clock.SOURCES.wall = previous_clocks


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run *work* to its end in virtual time and cancel the tasks it left running."""
    loop = VirtualLoop()
    with virtual_clocks(loop):
        try:
            return loop.run_until_complete(work)
        finally:
            loop.run_until_complete(_cancel_all())
            loop.run_until_complete(loop.shutdown_asyncgens())
            loop.close()


async def _cancel_all() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
