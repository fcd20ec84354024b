"""Helpers for background asyncio tasks."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from .clock import monotonic
from .structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from ..telemetry.metrics import Labels

RESTART_DELAY_S = 0.5
"""Seconds until a background loop is restarted after an exception. The delay keeps a permanent
fault from using much processor time and filling the log. It is a fraction of the shortest time
after which the data that a loop maintains counts as stale."""
STEADY_S = 15.0
"""Seconds without an exception after which a loop that failed works again. The slowest loops work
every 10 s, so that one that fails each time does not count as working in between."""
MAX_REPORT_PAUSE_S = 60.0
"""Longest time in seconds between two log lines about a loop that fails again and again."""


class LoopHealth(Struct):
    """Whether a background loop works.

    :ivar failures: exceptions since the loop last worked.
    :ivar failing_since: monotonic time of the first of them; None if the loop works.
    :ivar failed_at: monotonic time of the last of them.
    :ivar reason: the last of them, and the place that raised it.
    :ivar report_at: monotonic time from which the next of them is logged.
    :ivar report_pause_s: seconds between the last log line and the next one.
    """

    failures: int = 0
    failing_since: float | None = None
    failed_at: float = 0.0
    reason: str = ""
    report_at: float = 0.0
    report_pause_s: float = RESTART_DELAY_S

    def read_failing_s(self) -> float:
        """Return the seconds since the loop last worked; 0 if it works."""
        now = monotonic()
        if self.failing_since is None or now - self.failed_at >= STEADY_S:
            return 0.0
        return now - self.failing_since

    def note_failure(self, name: str, error: Exception) -> None:
        """Record an exception, and log it unless the last log line is too recent."""
        now = monotonic()
        if self.failing_since is None or now - self.failed_at >= STEADY_S:
            self.failures, self.failing_since = 0, now
            self.report_at, self.report_pause_s = now, RESTART_DELAY_S
        self.failures += 1
        self.failed_at = now
        where = locate_error(error)
        self.reason = f"{error!r} at {where}"
        if now < self.report_at:
            return
        self.report_pause_s = min(MAX_REPORT_PAUSE_S, self.report_pause_s * 2)
        self.report_at = now + self.report_pause_s
        emit(
            events.LOOP_FAILED,
            task=name,
            reason=repr(error),
            where=where,
            failures=self.failures,
            failing_s=round(now - self.failing_since, 1),
        )


class TaskGroup:
    """Set of background tasks that are cancelled together.

    Unlike in :class:`asyncio.TaskGroup`, a failing task does not cancel the others.

    :ivar loops: state of each background loop, by name.
    :ivar tasks: tasks that have not ended, in the order of their start; their order in a set would
        make runs with one seed differ. The references keep them from being garbage-collected.
    """

    def __init__(self) -> None:
        self.loops: dict[str, LoopHealth] = {}
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
        health = self.loops[name] = LoopHealth()
        return self.start(_run_with_restarts(name, make_work, health))

    def run_step(self, name: str, step: Callable[[], object]) -> bool:
        """Run one of several steps of a loop; an exception is logged, so that the others follow.

        :param name: name of the step in log lines, among those of the loops.
        :returns: whether the step ended without an exception.
        """
        try:
            step()
        except Exception as error:
            self.loops.setdefault(name, LoopHealth()).note_failure(name, error)
            return False
        return True

    def find_failing(self) -> dict[str, str]:
        """Return the loops that do not work, by name, with the reason."""
        return {name: row.reason for name, row in self.loops.items() if row.read_failing_s()}

    def read_failing_s(self) -> dict[Labels, float]:
        """Return the seconds since each loop last worked, for the metrics page."""
        return {(("loop", name),): row.read_failing_s() for name, row in self.loops.items()}

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


async def _run_with_restarts(
    name: str, make_work: Callable[[], Coroutine[Any, Any, Any]], health: LoopHealth
) -> None:
    while True:
        try:
            await make_work()
            return
        except Exception as error:
            health.note_failure(name, error)
        await asyncio.sleep(RESTART_DELAY_S)


def locate_error(error: BaseException) -> str:
    """Return ``FILE:LINE`` of the place that raised an error; empty without a traceback."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
