"""Clocks: the monotonic one for durations, the wall clock for time stamps only."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Return monotonic seconds; use for every duration and deadline."""
    return time.monotonic()


def wall_seconds() -> int:
    """Return Unix seconds; use only for stamps that people read."""
    return int(time.time())
