"""Time for which the parts of a program use the event loop.

A part is measured by its synchronous sections; what is not measured is the handling of calls.
"""

from __future__ import annotations

from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .metrics import Labels

WINDOW_S = 5.0
"""Seconds over which shares and longest sections are taken; the last whole window counts too."""
SHARE_DIGITS = 2


class LoopPart(Enum):
    """A part of a program that does work of its own, which no caller waits for."""

    WORKER = "worker"
    ENTRY = "entry"
    ADOPTION = "adoption"
    PEERS = "peers"
    SWEEP = "sweep"


class Window(Struct):
    """Sections that ended within some seconds.

    :ivar used_s: seconds used by each part.
    :ivar longest_s: longest section of each part in seconds.
    """

    started_at: float
    used_s: dict[LoopPart, float] = field(default_factory=dict)
    longest_s: dict[LoopPart, float] = field(default_factory=dict)


class LoopTime(Struct):
    """Time used by each part.

    :ivar total_s: seconds used by each part since the start of the process.
    :ivar current: the sections of the current window.
    :ivar last: those of the window before it.
    """

    total_s: dict[LoopPart, float] = field(default_factory=dict)
    current: Window = field(default_factory=lambda: Window(monotonic()))
    last: Window = field(default_factory=lambda: Window(monotonic()))

    @contextmanager
    def measure(self, part: LoopPart) -> Iterator[None]:
        """Count the time of the block, which must not await anything, for a part."""
        started_at = monotonic()
        try:
            yield
        finally:
            self.note(part, started_at)

    def note(self, part: LoopPart, started_at: float) -> None:
        """Count a section that has just ended.

        :param started_at: monotonic time at which it began.
        """
        now = monotonic()
        used_s = now - started_at
        self._turn_window(now)
        self.total_s[part] = self.total_s.get(part, 0.0) + used_s
        self.current.used_s[part] = self.current.used_s.get(part, 0.0) + used_s
        self.current.longest_s[part] = max(self.current.longest_s.get(part, 0.0), used_s)

    def _turn_window(self, now: float) -> None:
        if now - self.current.started_at >= WINDOW_S:
            is_recent = now - self.current.started_at < 2 * WINDOW_S
            self.last = self.current if is_recent else Window(now - WINDOW_S)
            self.current = Window(now)

    def find_shares(self) -> dict[str, float]:
        """Return the share of the time that each part used in the last two windows."""
        now = monotonic()
        self._turn_window(now)
        passed_s = max(now - self.last.started_at, 1e-3)
        used = {
            part: self.last.used_s.get(part, 0.0) + self.current.used_s.get(part, 0.0)
            for part in LoopPart
        }
        shares = {part.value: round(s / passed_s, SHARE_DIGITS) for part, s in used.items()}
        return {name: share for name, share in shares.items() if share}

    def read_total_s(self) -> dict[Labels, float]:
        """Return the seconds used by each part, for the metrics page."""
        return {(("part", part.value),): self.total_s.get(part, 0.0) for part in LoopPart}

    def read_longest_s(self) -> dict[Labels, float]:
        """Return the longest section of each part in the last two windows, for the metrics page."""
        self._turn_window(monotonic())
        last, current = self.last.longest_s, self.current.longest_s
        return {
            (("part", part.value),): max(last.get(part, 0.0), current.get(part, 0.0))
            for part in LoopPart
        }


_shared: list[LoopTime] = []


def shared() -> LoopTime:
    """Return the times of this process, created at first use."""
    if not _shared:
        _shared.append(LoopTime())
    return _shared[0]
