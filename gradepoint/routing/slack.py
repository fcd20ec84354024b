"""How much batch work a target gets: pure decisions of its one feeder.

The window follows the room that online work leaves, grows fast, and is cut at once at
the first sign of a burst. docs/design/sharing.md has the measurements.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

GROWTH_PER_S = 60.0
"""Sequences by which the window may grow in a second: slack lasts only seconds."""
TAIL_SHARE = 0.7
"""Share of the slots that batch leaves alone where the online tail comes first. Harm to
the first token grows with the prefill of batch items, so with their number at work."""
MOST_STARTS = 4
LEAST_STARTS = 2
"""Sequences started at one look at most, for throughput first and for the tail first."""
RESERVE_SPREADS = 1.0
"""Standard deviations of the online calls in progress that are kept free."""
MEAN_MEMORY_S = 4.0
"""Time constant of the mean of online calls in progress."""
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


def merge_notices(report: LoadReport, online: int) -> LoadReport:
    """Return *report* with the online calls in flight as the entries tell them.

    Entries know of their calls at once, a target's report comes late. KV-cache memory is
    known from the report alone.

    :param online: calls that all entries have in flight at the target.
    """
    return LoadReport(online, 0, report.running, report.waiting, report.kv_share)


@dataclass(frozen=True)
class WindowDecision:
    """Batch sequences the target may have now.

    :param limit: sequences up to which new ones may be started.
    :param cancel: newest sequences to cancel at once.
    :param starts: sequences that may be started now; each costs a prefill, which delays
        whatever else the target runs.
    """

    limit: int
    cancel: int
    starts: int


@dataclass
class SlackWindow:
    """The batch window of one target.

    :param tail_preference: 0 for throughput first, 1 for the online tail first.
    """

    slots: int
    tail_preference: float
    limit: float = 1.0
    online_mean: float = 0.0
    seen_at: float | None = None

    def observe(self, report: LoadReport, in_flight: int, now: float) -> WindowDecision:
        """Take a load report; return the window that follows.

        Sequences are cancelled only for slots that online calls need now. The reserve
        for calls that may come only keeps new ones from starting: a cancellation wastes
        the prefill of its sequence, and the next report often takes the need back.
        """
        elapsed = 0.0 if self.seen_at is None else max(0.0, now - self.seen_at)
        self.seen_at = now
        online = report.online_running + report.online_waiting
        fading = math.exp(-elapsed / MEAN_MEMORY_S)
        self.online_mean = online + (self.online_mean - online) * fading
        free = max(0.0, float(self.slots - online))
        if report.kv_share > KV_SHARE:
            free = min(free, max(0.0, in_flight - 1.0))
        most = self.slots * (1.0 - TAIL_SHARE * self.tail_preference)
        room = min(most, max(0.0, free - self.reserve()))
        self.limit = min(room, max(self.limit, in_flight) + GROWTH_PER_S * elapsed)
        starts = round(MOST_STARTS + (LEAST_STARTS - MOST_STARTS) * self.tail_preference)
        return WindowDecision(int(self.limit), max(0, in_flight - int(free)), starts)

    def reserve(self) -> float:
        """Return the slots kept free for online calls that may come any moment.

        Arrivals are taken for Poisson, so that their number in progress varies by the
        root of its mean.
        """
        return RESERVE_SPREADS * math.sqrt(self.online_mean + 1.0)
