"""Refreshes of data from the key-value service that calls ask for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..util.clock import monotonic
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REFRESH_S = 0.25
"""Seconds that a call waits for a refresh, and minimum seconds between two refreshes of a host. It
is many times the response time of the key-value service, and limits a flood of calls that need one
to four reads per second and host."""


class SharedRefresh(Struct):
    """Refreshes data once for all calls that need it at the same time.

    :param refresh: reads the data again.
    :ivar started_at: monotonic time at which the last refresh started.
    :ivar task: the last refresh.
    """

    refresh: Callable[[], Awaitable[object]]
    started_at: float = float("-inf")
    task: asyncio.Task[object] | None = None
    tasks: TaskGroup = field(default_factory=TaskGroup)

    async def run(self) -> None:
        """Refresh the data, or wait for the refresh that runs.

        Returns without a refresh if the last one started less than :data:`REFRESH_S` ago.
        """
        now = monotonic()
        if self.task is None or self.task.done():
            if now - self.started_at < REFRESH_S:
                return
            self.started_at = now
            self.task = self.tasks.start(self._run())
        await asyncio.wait([self.task], timeout=REFRESH_S)

    async def run_since(self, moment: float) -> None:
        """Return after a refresh that started at the monotonic time *moment* or later.

        Returns without one after twice :data:`REFRESH_S`.
        """
        until = monotonic() + 2 * REFRESH_S
        while monotonic() < until:
            if self.task is not None and not self.task.done():
                await asyncio.wait([self.task], timeout=until - monotonic())
            if self.started_at >= moment:
                return
            next_at = self.started_at + REFRESH_S
            if monotonic() < next_at:
                await asyncio.sleep(min(next_at, until) - monotonic())
            else:
                await self.run()

    async def _run(self) -> object:
        return await self.refresh()
