"""Helpers for background asyncio tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


class TaskGroup:
    """A set of background tasks that are cancelled together.

    Unlike :class:`asyncio.TaskGroup`, one failing task does not end the others.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run *work* in the background and keep a reference to it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def stop(self) -> None:
        """Cancel every task and wait for all of them."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
