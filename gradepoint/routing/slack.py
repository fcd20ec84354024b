"""How much batch work a target gets: pure decisions of its one feeder.

The window follows the room that online work leaves, grows fast, and is cut at once at
the first sign of a burst. docs/design/sharing.md has the measurements.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

GROWTH_PER_S = 24.0
"""Sequences by which the window may grow in a second: slack lasts only seconds."""
PEAK_MEMORY_S = 4.0
"""Time constant with which a past online peak is forgotten."""
KV_SHARE = 0.9
"""Share of KV-cache memory beyond which no batch sequence is added."""


@dataclass(frozen=True)
class LoadReport:
    """What a target reports of itself, possibly late.

    :param kv_share: share of KV-cache memory in use.
    """

    online_running: int
    online_waiting: int
    running: int
    waiting: int
    kv_share: float


@dataclass(frozen=True)
class WindowDecision:
    """Batch sequences the target may have now, and how many to cancel at once."""

    limit: int
    cancel: int


@dataclass
class SlackWindow:
    """The batch window of one target.

    :param tail_preference: 0 for throughput first, 1 for the online tail first.
    """

    slots: int
    tail_preference: float
    limit: float = 1.0
    online_peak: float = 0.0
    seen_at: float | None = None

    def observe(self, report: LoadReport, in_flight: int, now: float) -> WindowDecision:
        """Take a load report; return the window that follows."""
        elapsed = 0.0 if self.seen_at is None else max(0.0, now - self.seen_at)
        self.seen_at = now
        online = report.online_running + report.online_waiting
        self.online_peak = max(online, self.online_peak * math.exp(-elapsed / PEAK_MEMORY_S))
        room = self.slots - online - self.reserve(online)
        if report.online_waiting > 0 and report.running >= self.slots:
            room = min(room, self.limit / 2)
        if report.kv_share > KV_SHARE:
            room = min(room, in_flight - 1)
        room = max(0.0, room)
        if room < self.limit:
            self.limit = room
        else:
            self.limit = min(room, self.limit + GROWTH_PER_S * elapsed)
        limit = int(self.limit)
        return WindowDecision(limit, max(0, in_flight - limit))

    def reserve(self, online: float) -> float:
        """Return the slots kept free for online calls that may come any moment."""
        expected_rise = self.online_peak - online
        return self.tail_preference * (1.0 + expected_rise)
