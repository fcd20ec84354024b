"""Counts of the tokens that wait under a limit, shared by the submissions that need one.

A count reads all jobs, so the number of counts is bounded; a submission that has to wait for the
next one shares it with all others that wait.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from ..util.clock import monotonic
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..kv.service import KeyValue

MAX_COUNTS = 2
"""Most counts that begin in :data:`COUNT_WINDOW_S`."""
COUNT_WINDOW_S = 0.5


class TokenCount(Struct, frozen=True):
    """Waiting tokens that share a limit.

    :param begun_at: monotonic time at which the count began.
    :param quota: the quota record as read before the jobs; None if there was none.
    """

    begun_at: float
    quota: KeyValue | None
    tokens: int


class TokenCounts(Struct):
    """Counts of one host under one limit.

    :ivar begun_at: monotonic times at which the last counts began, oldest first.
    :ivar last: the last count that succeeded.
    :ivar waiting: the count that has not begun yet, if there is one.
    """

    begun_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_COUNTS))
    last: TokenCount | None = None
    waiting: asyncio.Task[TokenCount] | None = None
    tasks: TaskGroup = field(default_factory=TaskGroup)

    async def count_since(
        self, since: float, count: Callable[[], Awaitable[tuple[KeyValue | None, int]]]
    ) -> TokenCount:
        """Return a count that began at a monotonic time or later; a new one if there is none.

        :param count: reads the quota record, then the jobs; returns the record and their waiting
            tokens. Its errors are raised to all callers that share the count.
        """
        if self.last is not None and self.last.begun_at >= since:
            return self.last
        if self.waiting is None:
            self.waiting = self.tasks.start(self._count(count), awaited=True)
        return await asyncio.shield(self.waiting)

    async def _count(
        self, count: Callable[[], Awaitable[tuple[KeyValue | None, int]]]
    ) -> TokenCount:
        if len(self.begun_at) == MAX_COUNTS:
            await asyncio.sleep(self.begun_at[0] + COUNT_WINDOW_S - monotonic())
        self.waiting = None
        begun_at = monotonic()
        self.begun_at.append(begun_at)
        quota, tokens = await count()
        self.last = TokenCount(begun_at, quota, tokens)
        return self.last
