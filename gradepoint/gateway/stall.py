"""Detects that the process was paused, and refreshes its data before it sends calls again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TICK_S = 0.1
"""Seconds between two checks for a stall of the event loop."""
MAX_LOOP_GAP_S = 1.0
"""Seconds without a check after which this host's data may be too old to act on. It is half of the
shortest drain time in which a leaving target may still get calls, since the delay of updates adds
to the pause."""
MAX_REFRESH_WAIT_S = 0.5
"""Maximum seconds that calls wait for a refresh, counted from its start: many times the response
time of the store. While the store is unavailable, no other host has newer data either, and the host
continues with the data it has."""


class StallDetector(Struct):
    """Detects a stall: the process was suspended or got no CPU time, or the clock jumped.

    After a stall, updates and calls that arrived in the meantime are both waiting in socket
    buffers, and calls may be read first. They would be decided on stale data, so they wait for a
    refresh.

    :param refresh: reads the data that decides about calls again; it may take long or fail.
    :param on_lag: called at each check with the seconds by which the event loop is late.
    :ivar last_check_at: monotonic time of the last check.
    :ivar refresh_task: the refresh after the last stall; calls wait for it until
        *wait_deadline*.
    """

    refresh: Callable[[], Awaitable[None]]
    on_lag: Callable[[float], None] = lambda _: None
    last_check_at: float = field(default_factory=monotonic)
    refresh_task: asyncio.Task[None] | None = None
    wait_deadline: float = 0.0
    tasks: TaskGroup = field(default_factory=TaskGroup)

    async def run(self) -> None:
        """Check for a stall every :data:`TICK_S` seconds, forever."""
        while True:
            self._check_gap()
            due_at = monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            self.on_lag(max(0.0, monotonic() - due_at))

    async def wait(self) -> None:
        """Wait for the refresh after a stall; return at once if there was none.

        Also checks for a stall itself, since a call may be handled before :meth:`run` is.
        """
        self._check_gap()
        left_s = self.wait_deadline - monotonic()
        if self.refresh_task is not None and not self.refresh_task.done() and left_s > 0:
            await asyncio.wait([self.refresh_task], timeout=left_s)

    def _check_gap(self) -> None:
        now = monotonic()
        gap_s, self.last_check_at = now - self.last_check_at, now
        if gap_s > MAX_LOOP_GAP_S:
            emit(events.STOOD_STILL, seconds=round(gap_s, 1))
            self.wait_deadline = now + MAX_REFRESH_WAIT_S
            # A refresh that began before this stall may have read what is old by now.
            self.refresh_task = self.tasks.start(self._run_refresh())

    async def _run_refresh(self) -> None:
        await self.refresh()
