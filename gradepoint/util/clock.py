"""Clocks: a monotonic clock for durations, and the wall clock for time stamps only.

Both read :data:`SOURCES`, so that tests and the replay bench can substitute virtual time.
"""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from .structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""System clock for durations. ``CLOCK_BOOTTIME`` includes the time during which the host is
suspended: leases, callers' deadlines and data received from other hosts age during a suspension
too."""

read_monotonic: Callable[[], float] = partial(time.clock_gettime, MONOTONIC_CLOCK)
"""Returns the seconds of :data:`MONOTONIC_CLOCK`. It is a :func:`~functools.partial` because a busy
host reads the clock about 1,600 times a second, and a Python function would take 0.148 instead of
0.122 microseconds per call."""


class ClockSources(Struct):
    """Functions that the two clocks read.

    :ivar monotonic: returns monotonic seconds.
    :ivar wall: returns Unix seconds.
    """

    monotonic: Callable[[], float] = read_monotonic
    wall: Callable[[], float] = time.time


SOURCES = ClockSources()
"""The sources in use; a run in virtual time replaces their functions."""


def monotonic() -> float:
    """Return monotonic seconds, for durations and deadlines."""
    return SOURCES.monotonic()


def wall_seconds() -> int:
    """Return whole Unix seconds, for time stamps and dates of expiry but not for durations."""
    return int(SOURCES.wall())
