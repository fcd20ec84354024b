"""A host that stood still looks again before it sends anything."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TICK_S = 0.1
"""Seconds between signs that this host's loop runs."""
STOOD_STILL_S = 1.0
"""Seconds without such a sign after which what this host knows may be too old to act on: half of
the shortest time in which a target that leaves may still get a call. News takes a while too."""
LONGEST_WAIT_S = 0.5
"""Seconds from its beginning in which calls wait for that look: many answers of the store. While
the store is away, nobody knows more than this host, and it goes on with what it knows."""


@dataclass
class Standstill:
    """Notices that this host stood still: frozen, starved, or its clock ran on without it.

    What came meanwhile waits beside the calls that came meanwhile, and either may be read first.

    :param refresh: asks anew for what calls are decided by; it may take long or fail.
    :ivar seen_at: monotonic time of the last sign that the loop runs.
    :ivar looking: the look after the last standstill; calls wait for it until *wait_deadline*.
    """

    refresh: Callable[[], Awaitable[None]]
    seen_at: float = field(default_factory=monotonic)
    looking: asyncio.Task[None] | None = None
    wait_deadline: float = 0.0
    tasks: TaskGroup = field(default_factory=TaskGroup)

    async def run(self) -> None:
        """Give signs, for ever."""
        while True:
            self._check_gap()
            await asyncio.sleep(TICK_S)

    async def wait(self) -> None:
        """Return once this host has looked again, at once if it did not stand still."""
        self._check_gap()
        left_s = self.wait_deadline - monotonic()
        if self.looking is not None and not self.looking.done() and left_s > 0:
            await asyncio.wait([self.looking], timeout=left_s)

    def _check_gap(self) -> None:
        now = monotonic()
        gap_s, self.seen_at = now - self.seen_at, now
        if gap_s > STOOD_STILL_S:
            emit(events.STOOD_STILL, seconds=round(gap_s, 1))
            self.wait_deadline = now + LONGEST_WAIT_S
            if self.looking is None or self.looking.done():
                self.looking = self.tasks.start(self._run_refresh())

    async def _run_refresh(self) -> None:
        await self.refresh()
