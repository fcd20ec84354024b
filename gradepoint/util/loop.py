"""The event loop of programs: its timers count the same time as every other duration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from .clock import SOURCES

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class HostLoop(asyncio.SelectorEventLoop):
    """A loop whose time goes on while its host is suspended.

    Timers that came due meanwhile run as soon as the host wakes: a call whose time is over ends,
    and a lease is renewed, without the rest of what they would have waited.
    """

    def time(self) -> float:
        """Return monotonic seconds."""
        return SOURCES.monotonic()


def run_program(work: Coroutine[Any, Any, T]) -> T:
    """Run a program's work to its end."""
    with asyncio.Runner(loop_factory=HostLoop) as runner:
        return runner.run(work)
