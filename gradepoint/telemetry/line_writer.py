"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import os
from collections import Counter, deque
from typing import TYPE_CHECKING

from ..util.clock import monotonic
from ..util.standard_error import print_error
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 200
"""Maximum lines per second of a program. This is several times what an ordinary host writes at
its busiest, and writing them takes a few hundredths of a core."""
FAILURE_SHARE = 0.25
"""Share of a burst that is reserved for failures, so that successes are dropped first."""
BUFFER_BYTES = 262_144
"""Bytes buffered while the reader of the output does not read; a pipe holds 64 KB more."""
BURST_S = 1.0
"""Size of the token bucket, in seconds of the permitted rate."""


def write_to(descriptor: int) -> Callable[[bytes], int]:
    """Return a non-blocking write function for a file descriptor.

    The function returns the number of bytes that the descriptor accepted, which may be 0. It
    reports an output that fails (a closed pipe, a full disk) once on the standard error, and again
    after the output has worked: a line for each failure would fill a pipe that nobody reads.
    """
    os.set_blocking(descriptor, False)
    failing = False

    def write(data: bytes) -> int:
        nonlocal failing
        try:
            written = os.write(descriptor, data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if not failing:
                failing = True
                print_error(f"log lines cannot be written: {error!r}")
            return 0
        failing = False
        return written

    return write


class LineWriter(Struct):
    """Passes lines to *write* within a rate and a buffer size, and drops the rest.

    The rate is limited by a token bucket. Dropped lines are counted by event.

    :param write: writes bytes without blocking and returns how many it accepted.
    :param lines_per_s: rate at which the token bucket is refilled.
    :param buffer_bytes: maximum size of *queue* in bytes.
    :ivar queue: lines that are accepted but not written yet.
    :ivar queued_bytes: size of *queue* in bytes.
    :ivar dropped: number of dropped lines by event name since the last report.
    :ivar tokens: lines that may be written now.
    :ivar refilled_at: time of the last refill, in monotonic seconds.
    """

    write: Callable[[bytes], int]
    lines_per_s: float = LINES_PER_S
    buffer_bytes: int = BUFFER_BYTES
    queue: deque[bytes] = field(default_factory=deque)
    queued_bytes: int = 0
    dropped: Counter[str] = field(default_factory=Counter)
    refilled_at: float = field(default_factory=monotonic)

    def __post_init__(self) -> None:
        self.tokens: float = self.lines_per_s * BURST_S

    def offer(self, line: bytes, event: str, *, failure: bool) -> bool:
        """Write or queue a line, or drop and count it.

        :param event: name of the line's event, under which a dropped line is counted.
        :param failure: whether the line reports a failure; it may then use the reserved share.
        :returns: whether the line was written or queued.
        """
        if not self._take_token(failure) or not self._has_space(len(line)):
            self.dropped[event] += 1
            return False
        self.queue.append(line)
        self.queued_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write queued lines as far as the output accepts them."""
        while self.queue:
            line = self.queue[0]
            written = self.write(line)
            self.queued_bytes -= written
            if written < len(line):
                self.queue[0] = line[written:]
                return
            self.queue.popleft()

    def take_dropped(self) -> dict[str, int]:
        """Return the number of lines dropped since the last call, by event, and reset it."""
        counts = dict(self.dropped)
        self.dropped.clear()
        return counts

    def _take_token(self, failure: bool) -> bool:
        now = monotonic()
        capacity = self.lines_per_s * BURST_S
        refilled = self.tokens + (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(capacity, refilled)
        self.refilled_at = now
        floor = 0.0 if failure else capacity * FAILURE_SHARE
        if self.tokens < floor + 1:
            return False
        self.tokens -= 1
        return True

    def _has_space(self, size: int) -> bool:
        if self.queued_bytes + size <= self.buffer_bytes:
            return True
        self.flush()
        return self.queued_bytes + size <= self.buffer_bytes
