"""Writes log lines without ever waiting, and no more of them than is allowed."""

from __future__ import annotations

import os
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 200
"""Lines a second that a program writes at the most: several times what a host of ordinary size
does at its busiest, and some hundredths of a core."""
RESERVED_SHARE = 0.25
"""Share of the lines that only failures may use, so that they are kept before successes."""
BUFFER_BYTES = 262_144
"""Bytes kept while the reader of the output stands still; a pipe holds 64 KB besides."""
BURST_S = 1.0
"""Seconds' worth of lines that may come at once."""


def write_to(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to a descriptor what it takes now, and never waits."""
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write


@dataclass
class LineWriter:
    """Passes lines to *write* within bounds; what is left out is counted by event.

    :param write: takes bytes and returns how many it took; it never waits.
    """

    write: Callable[[bytes], int]
    lines_per_s: float = LINES_PER_S
    buffer_bytes: int = BUFFER_BYTES
    waiting: deque[bytes] = field(default_factory=deque)
    waiting_bytes: int = 0
    left_out: Counter[str] = field(default_factory=Counter)
    allowance: float = field(init=False)
    refilled_at: float = field(default_factory=monotonic)

    def __post_init__(self) -> None:
        self.allowance = self.lines_per_s * BURST_S

    def offer(self, line: bytes, event: str, *, failure: bool) -> bool:
        """Write a line, or count it as left out.

        :param failure: the line tells of something that went wrong.
        :returns: whether it is written or waits to be.
        """
        if not self._may_write(failure) or not self._has_room(len(line)):
            self.left_out[event] += 1
            return False
        self.waiting.append(line)
        self.waiting_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self.waiting:
            line = self.waiting[0]
            written = self.write(line)
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines were left out since the last time, by event."""
        counts = dict(self.left_out)
        self.left_out.clear()
        return counts

    def _may_write(self, failure: bool) -> bool:
        now = monotonic()
        most = self.lines_per_s * BURST_S
        grown = self.allowance + (now - self.refilled_at) * self.lines_per_s
        self.allowance = min(most, grown)
        self.refilled_at = now
        floor = 0.0 if failure else most * RESERVED_SHARE
        if self.allowance < floor + 1:
            return False
        self.allowance -= 1
        return True

    def _has_room(self, size: int) -> bool:
        if self.waiting_bytes + size <= self.buffer_bytes:
            return True
        self.flush()
        return self.waiting_bytes + size <= self.buffer_bytes
