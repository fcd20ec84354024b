"""An asyncio loop in virtual time: it never waits, it moves its clock instead.

Only code without real sockets runs on it. With a seeded scheduler the same run gives
the same steps every time.
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


class Deadlock(Exception):
    """Nothing is left that could ever run."""


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the clock where a real selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Deadlock("every task waits for something that cannot come")
        if timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time is virtual."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return virtual seconds."""
        return self.jumping.now

    def read_monotonic(self) -> float:
        """Return what the clock for durations shows to who reads it now."""
        return self.time()


@contextmanager
def virtual_clocks(loop: VirtualLoop) -> Iterator[None]:
    """Let gradepoint's clocks read *loop*."""
    before = clock.SOURCES.monotonic, clock.SOURCES.wall
    clock.SOURCES.monotonic = loop.read_monotonic
    clock.SOURCES.wall = lambda: WALL_START + loop.time()
    try:
        yield
    finally:
        clock.SOURCES.monotonic, clock.SOURCES.wall = before


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run *work* to its end in virtual time and cancel what it left behind."""
    loop = VirtualLoop()
    with virtual_clocks(loop):
        try:
            return loop.run_until_complete(work)
        finally:
            loop.run_until_complete(_cancel_all())
            loop.run_until_complete(loop.shutdown_asyncgens())
            loop.close()


async def _cancel_all() -> None:
    left = asyncio.all_tasks() - {asyncio.current_task()}
    for task in left:
        task.cancel()
    await asyncio.gather(*left, return_exceptions=True)
