"""Budget of the bytes that callers, targets and other hosts make a process hold.

Bytes are reserved before they are read, and released with what holds them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..telemetry import metrics
from ..telemetry.logs import emit
from .clock import monotonic
from .structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

LARGE_BYTES = 65_536
"""Size in bytes from which a reservation counts as large."""
LARGE_SHARE = 0.75
"""Share of the budget that may be used once a large reservation is granted. The rest is for small
ones, so that slow callers with large bodies do not keep small requests out."""
REPORT_INTERVAL_S = 10.0
"""Shortest time in seconds between two log lines that the budget is used up."""


class Purpose(Enum):
    """What bytes are reserved for."""

    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"


class MemoryBudget(Struct):
    """Counts reserved bytes and refuses what does not fit.

    :param limit_bytes: most bytes that may be reserved.
    :param make_room: called with the bytes that are missing before a reservation is refused;
        releases what can be had again from elsewhere.
    :ivar used_bytes: reserved bytes.
    :ivar reported_at: monotonic time of the last log line that the budget is used up.
    """

    limit_bytes: int
    make_room: Callable[[int], None] = lambda _: None
    used_bytes: int = 0
    reported_at: float = float("-inf")

    def reserve(self, size: int, purpose: Purpose, *, large: bool | None = None) -> bool:
        """Reserve *size* bytes; return whether they fit. A refusal is counted.

        :param large: whether they belong to something large; by default, their size tells.
        """
        if large is None:
            large = size >= LARGE_BYTES
        limit = self.large_bytes if large else self.limit_bytes
        if self.used_bytes + size > limit:
            self.make_room(self.used_bytes + size - limit)
        if self.used_bytes + size <= limit:
            self.used_bytes += size
            return True
        metrics.shared().memory_refusals.add(1, {"purpose": purpose.value})
        now = monotonic()
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = now
            emit(
                events.MEMORY_USED_UP,
                purpose=purpose.value,
                size=size,
                used=self.used_bytes,
                limit=self.limit_bytes,
            )
        return False

    @property
    def large_bytes(self) -> int:
        """Most bytes that may be reserved once a large reservation is granted."""
        return int(self.limit_bytes * LARGE_SHARE)

    def take(self, size: int) -> None:
        """Reserve *size* bytes for work that may not be refused any more."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        self.used_bytes -= size


class Reservation(Struct):
    """Bytes that one holder has reserved.

    :param budget: None reserves nothing and refuses nothing.
    :ivar size: reserved bytes.
    """

    budget: MemoryBudget | None
    purpose: Purpose
    size: int = 0

    def grow(self, size: int) -> None:
        """Reserve *size* bytes in all, unless as many are reserved already.

        :raises GradepointError: ``host_memory``; what was reserved before stays so.
        """
        more = size - self.size
        if self.budget is None or more <= 0:
            return
        if not self.budget.reserve(more, self.purpose, large=size >= LARGE_BYTES):
            raise GradepointError("host_memory")
        self.size = size

    def shrink(self, size: int) -> None:
        """Keep *size* bytes at the most."""
        if self.budget is not None and size < self.size:
            self.budget.release(self.size - size)
            self.size = size

    def release(self) -> None:
        """Give all bytes back; later calls do nothing."""
        self.shrink(0)
