"""Helpers for background asyncio tasks."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

RESTART_DELAY_S = 0.5
"""Seconds until a background loop is restarted after an exception. The delay keeps a permanent
fault from using much processor time and filling the log. It is a fraction of the shortest time
after which the data that a loop maintains counts as stale."""


class TaskGroup:
    """Set of background tasks that are cancelled together.

    Unlike in :class:`asyncio.TaskGroup`, a failing task does not cancel the others.

    :ivar tasks: tasks that have not ended, in the order of their start; their order in a set would
        make runs with one seed differ. The references keep them from being garbage-collected.
    """

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Coroutine[Any, Any, Any], *, awaited: bool = False) -> asyncio.Task[Any]:
        """Run *work* in the background.

        :param awaited: True if the caller awaits the task and so receives its exception. Otherwise
            the exception is logged here, as nothing else would report it.
        """
        task = asyncio.ensure_future(work)
        self.tasks[task] = None
        task.add_done_callback(self._discard if awaited else self._discard_and_log)
        return task

    def start_loop(
        self, name: str, make_work: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task[Any]:
        """Run a background loop, and restart it when it ends with an exception.

        :param name: name of the loop in log lines.
        :param make_work: returns the coroutine to run; called again for each restart.
        """
        return self.start(_run_with_restarts(name, make_work))

    def _discard(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled():
            task.exception()

    def _discard_and_log(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            name = getattr(task.get_coro(), "__qualname__", "")
            emit(events.TASK_FAILED, task=name, reason=repr(error), where=locate_error(error))

    async def stop(self) -> None:
        """Cancel every task and wait for all of them."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_with_restarts(name: str, make_work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    while True:
        try:
            await make_work()
            return
        except Exception as error:
            emit(events.LOOP_FAILED, task=name, reason=repr(error), where=locate_error(error))
        await asyncio.sleep(RESTART_DELAY_S)


def locate_error(error: BaseException) -> str:
    """Return ``FILE:LINE`` of the place that raised an error; empty without a traceback."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
