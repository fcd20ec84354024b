"""Size the batch window of a target, without I/O.

Each target has one feeder, which sends batch sequences to it and decides about its window.

The window is the number of batch sequences that a target may have in progress. It follows the slots
that online calls leave free, grows fast, and shrinks at once when a burst of online calls begins.
See docs/design/sharing.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_GROWTH_PER_S = 60.0
"""Sequences per second by which the window may grow. It is large because free slots last only
seconds."""
TAIL_RESERVED_SHARE = 0.7
"""Share of the slots that batch leaves free at ``tail_preference`` 1. The delay of the first token
of online calls grows with the prefill of batch sequences, and so with their number."""
THROUGHPUT_STARTS = 4
TAIL_STARTS = 2
"""Most sequences started per observation, at ``tail_preference`` 0 and 1 respectively."""
RESERVE_DEVIATIONS = 1.0
"""Standard deviations of the number of online calls in progress that are kept free."""
MEAN_TIME_CONSTANT_S = 4.0
"""Time constant in seconds of the moving average of online calls in progress."""
MAX_KV_SHARE = 0.9
"""Share of KV-cache memory in use above which no batch sequence is added."""


@dataclass(frozen=True)
class LoadReport:
    """Load that a target reports of itself, possibly late.

    :param online_running: online calls that are running.
    :param online_waiting: online calls that wait at the target.
    :param running: all sequences that are running.
    :param waiting: all sequences that wait.
    :param kv_share: share of KV-cache memory in use.
    """

    online_running: int
    online_waiting: int
    running: int
    waiting: int
    kv_share: float


def merge_notices(report: LoadReport, online: int) -> LoadReport:
    """Return *report* with its online calls replaced by those that the entries have in flight.

    Entries (see :mod:`.notices`) know their own calls at once, while a target's report is late. The
    use of KV-cache memory is known only from the report.

    :param online: calls that all entries have in flight at the target.
    """
    return LoadReport(online, 0, report.running, report.waiting, report.kv_share)


@dataclass(frozen=True)
class WindowDecision:
    """Batch sequences that the target may have now.

    :param limit: new sequences may be started up to this number.
    :param cancel: number of the newest sequences to cancel at once.
    :param starts: sequences that may be started now. Each costs a prefill, which delays everything
        else that the target runs.
    """

    limit: int
    cancel: int
    starts: int


@dataclass
class BatchWindow:
    """The batch window of one target.

    :param slots: sequences that the target runs at the same time.
    :param tail_preference: 0 favours batch throughput, 1 favours the tail latency of online calls.
    :ivar limit: current size of the window.
    :ivar online_mean: moving average of online calls in progress.
    :ivar seen_at: time of the last load report.
    """

    slots: int
    tail_preference: float
    limit: float = 1.0
    online_mean: float = 0.0
    seen_at: float | None = None

    def observe(self, report: LoadReport, in_flight: int, now: float) -> WindowDecision:
        """Process a load report and return the resulting window.

        Sequences are cancelled only for slots that online calls need now. The reserve for future
        online calls only prevents new sequences from starting: a cancellation wastes the prefill of
        its sequence, and often the slot is no longer needed at the next report.
        """
        elapsed = 0.0 if self.seen_at is None else max(0.0, now - self.seen_at)
        self.seen_at = now
        online = report.online_running + report.online_waiting
        decay = math.exp(-elapsed / MEAN_TIME_CONSTANT_S)
        self.online_mean = online + (self.online_mean - online) * decay
        free = max(0.0, float(self.slots - online))
        if report.kv_share > MAX_KV_SHARE:
            free = min(free, max(0.0, in_flight - 1.0))
        max_window = self.slots * (1.0 - TAIL_RESERVED_SHARE * self.tail_preference)
        room = min(max_window, max(0.0, free - self.reserve()))
        self.limit = min(room, max(self.limit, in_flight) + WINDOW_GROWTH_PER_S * elapsed)
        starts = round(THROUGHPUT_STARTS + (TAIL_STARTS - THROUGHPUT_STARTS) * self.tail_preference)
        return WindowDecision(int(self.limit), max(0, in_flight - int(free)), starts)

    def reserve(self) -> float:
        """Return the number of slots kept free for online calls that may arrive at any moment.

        Arrivals are modelled as Poisson, so the standard deviation of the calls in progress is the
        square root of their mean.
        """
        return RESERVE_DEVIATIONS * math.sqrt(self.online_mean + 1.0)
