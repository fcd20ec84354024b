"""Event loop whose timers use the same clock as all other durations."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from .. import events
from ..telemetry.logs import emit
from .clock import SOURCES
from .tasks import locate_error

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances while the host is suspended.

    Timers that expired during a suspension run as soon as the host resumes. With the clock of
    asyncio they would first wait for the rest of their delay, and calls past their deadline and
    leases due for renewal would be handled too late.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds of :func:`gradepoint.util.clock.monotonic`."""
        return SOURCES.monotonic()


def run_coroutine(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in a :class:`SuspendAwareEventLoop` and return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.get_loop().set_exception_handler(log_error)
        return runner.run(work)


def log_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that no task handles.

    By default it is written to the standard error, which may be a pipe that nobody reads.
    """
    error = context.get("exception")
    where = "" if error is None else locate_error(error)
    emit(events.LOOP_ERROR, message=context["message"], reason=repr(error), where=where)
