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

GO_ON_S = 0.5
"""Seconds until a loop that ended by an error begins anew: a fault that stays costs little and
cannot fill the log, and what the loop keeps up is old for a fraction of its shortest bound."""


class TaskGroup:
    """A set of background tasks that are cancelled together.

    Unlike :class:`asyncio.TaskGroup`, one failing task does not end the others.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any], *, awaited: bool = False) -> asyncio.Task[Any]:
        """Run *work* in the background and keep a reference to it.

        :param awaited: who starts it takes its result, so that its errors are seen there. Else
            they are logged here, since nobody would hear of them.
        """
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget if awaited else self._forget_and_tell)
        return task

    def keep(
        self, name: str, make_work: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task[Any]:
        """Run work that is to go on for ever, and begin it anew where it ends by an error.

        :param name: what the log calls it.
        """
        return self.start(_go_on(name, make_work))

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def _forget_and_tell(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            name = getattr(task.get_coro(), "__qualname__", "")
            emit(events.TASK_FAILED, task=name, reason=repr(error), where=_find_place(error))

    async def stop(self) -> None:
        """Cancel every task and wait for all of them."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _go_on(name: str, make_work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    while True:
        try:
            await make_work()
            return
        except Exception as error:
            emit(events.LOOP_FAILED, task=name, reason=repr(error), where=_find_place(error))
        await asyncio.sleep(GO_ON_S)


def _find_place(error: BaseException) -> str:
    """Return the file and line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
