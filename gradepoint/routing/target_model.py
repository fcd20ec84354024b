"""Decides how fast targets are and how long a new call would wait there, without I/O or clocks.

The *gap* of a target is the mean time between two events of an answer that it generates. Its *pace*
is the median gap of its service's targets divided by its own gap: 1.0 is usual, 0.5 is half as
fast. Hosts count the events of running answers; the aggregators add up the counts and send the
gaps to all hosts.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..ids import TargetNumber

USUAL_PACE = 1.0
MIN_PACE = 0.1
"""Minimum pace. A stalled target still gets a little work, which shows when it works again."""
MAX_PACE = 4.0
"""Maximum pace; a larger one would be an error of measurement."""
LOWEST_USUAL_PACE = 0.85
HIGHEST_USUAL_PACE = 1.18
"""Paces from :data:`LOWEST_USUAL_PACE` to this count as 1.0, since targets that are alike differ by
as much in a second: the time of a step rises with the number of answers, and events are counted in
whole numbers."""
PREEMPTION_S = 0.1
"""Seconds until a call has the slot of an item that is preempted for it."""
SAMPLE_S = 0.05
"""Minimum seconds of one sample of a target's gap, about the interval of digests. With 0.1, pauses
of 0.5 s and lasting changes of speed were not told apart within a second."""
MIN_SAMPLE_EVENTS = 8
"""Events that complete a sample. The error of a count is up to one event for each answer."""
MAX_SAMPLE_GAPS = 12
"""Usual gaps of the target, in time summed over its answers, that complete a sample with fewer
events, so that a slow or stalled target shows as soon as others."""
DEFAULT_GAP = 330
"""Usual gap before the target's own is known, in units of 1/:data:`GAP_UNITS_PER_MS` ms."""
MAX_SAMPLE_S = 0.5
"""Maximum seconds for which one sample counts, however few answers the target had meanwhile."""
MAX_COUNT_AGE_S = 0.25
"""Seconds before its receipt to which a count of events applies, the longest gap of reports."""
COUNTED_S = 1.45
"""Seconds of samples that count. Half of this has to be slow before the target counts as slow: more
than a pause of 0.5 s, and less than the second in which a slow target has to lose work. With 1.3,
pauses of 0.5 s counted as slow in 4 of 16 trials."""
CHANGED_RATIO = 1.15
"""Ratio of two gaps beyond which the new one is sent at once; smaller changes are mostly noise."""
MIN_COUNTED_S = 0.5
"""Seconds of samples before a target's gap is known. A new target that pauses is not slow."""
SEND_GAP_PER_TARGET_S = 0.0005
"""Seconds that each target adds to the gap between two messages with all gaps: up to 400 targets
they are sent with each message that has all results. With 3,000 targets they are 24 KB."""
MAX_SEND_GAP_S = 1.5
"""Most seconds between two messages with all gaps: less than the age at which these expire."""
MAX_SAMPLE_AGE_S = 2.0
"""Seconds after which a sample, or the counts of an incomplete one, do not count any more."""
GAP_UNITS_PER_MS = 10
"""Units per millisecond in which gaps are sent."""


class TargetLoad(NamedTuple):
    """What a host knows of a target's load.

    :param calls: callers' calls in flight, from all hosts.
    :param items: batch items in flight, from all hosts.
    :param slots: calls and items that the target works on at once, at least 1.
    :param pace: its pace.
    """

    calls: int
    items: int
    slots: int
    pace: float


def bound_pace(pace: float) -> float:
    """Return a pace within its bounds; one that is close to usual counts as usual."""
    if LOWEST_USUAL_PACE <= pace <= HIGHEST_USUAL_PACE:
        return USUAL_PACE
    return min(MAX_PACE, max(MIN_PACE, pace))


def compute_paces(gaps: Mapping[TargetNumber, int]) -> dict[TargetNumber, float]:
    """Return the paces of one service's targets from their gaps, in any unit."""
    if not gaps:
        return {}
    usual = median(gaps.values())
    return {target: bound_pace(usual / max(1, gap)) for target, gap in gaps.items()}


def estimate_delay_s(load: TargetLoad, call_s: float) -> float:
    """Return the seconds that a new call is expected to wait for a slot.

    :param call_s: mean seconds that a call occupies a slot of a target of usual pace.
    """
    if load.calls + load.items < load.slots:
        return 0.0
    if load.calls < load.slots:
        return PREEMPTION_S
    wait_s = (load.calls + 1 - load.slots) * call_s / (load.slots * load.pace)
    return wait_s + (PREEMPTION_S if load.items else 0.0)


def find_paced_load(load: TargetLoad) -> float:
    """Return the calls and items in flight at a target for each slot of usual pace."""
    return (load.calls + load.items) / (load.slots * load.pace)


def choose_load(loads: Sequence[TargetLoad], call_s: float) -> int:
    """Return the index of the target that a new call is sent to; the first one of equal targets.

    Targets of the same pace are compared by load alone. Otherwise, the least expected delay is
    chosen and, if the delays are equal, the least load for each slot of usual pace.

    :param call_s: as of :func:`estimate_delay_s`.
    """
    indices = range(len(loads))
    if all(load.pace == loads[0].pace for load in loads):
        return min(indices, key=lambda index: (loads[index][0] + loads[index][1]) / loads[index][2])
    return min(
        indices,
        key=lambda index: (estimate_delay_s(loads[index], call_s), find_paced_load(loads[index])),
    )


class GapSample(NamedTuple):
    """A completed sample of a target's gap; samples are ordered by gap.

    :param gap: mean gap between events, in units of 1/:data:`GAP_UNITS_PER_MS` ms.
    :param duration_s: seconds that it covers.
    :param ended_at: time of its end, in seconds.
    """

    gap: int
    duration_s: float
    ended_at: float


class GapHistory(Struct):
    """The recent samples of one target's gap.

    :ivar samples: samples that count, the oldest first.
    :ivar ordered: the same samples, ordered by gap.
    :ivar covered_s: seconds that they cover.
    :ivar begun_at: time at which the incomplete sample began.
    :ivar counted_at: time of the last count.
    :ivar events: events counted in it.
    :ivar ms: milliseconds that these took, summed over the answers; 0 if it is empty.
    :ivar gap: median gap over the newest samples; None if they cover too little time.
    """

    samples: deque[GapSample] = field(default_factory=deque)
    ordered: list[GapSample] = field(default_factory=list)
    covered_s: float = 0.0
    begun_at: float = float("-inf")
    counted_at: float = float("-inf")
    events: int = 0
    ms: int = 0
    gap: int | None = None

    def add(self, events: int, ms: int, now: float) -> None:
        """Count events that answers received in *ms* milliseconds that have just passed."""
        self._forget_old_counts(now)
        if not self.ms:
            self.begun_at = max(self.begun_at, now - MAX_COUNT_AGE_S)
        self.counted_at = now
        self.events += events
        self.ms += ms

    def close(self, now: float) -> None:
        """Complete the current sample if it suffices, and forget samples that are too old."""
        self._forget_old_counts(now)
        duration_s = now - self.begun_at
        gaps = GAP_UNITS_PER_MS * self.ms / (self.gap or DEFAULT_GAP)
        complete = self.events >= MIN_SAMPLE_EVENTS or gaps >= MAX_SAMPLE_GAPS
        if complete and duration_s >= SAMPLE_S:
            gap = GAP_UNITS_PER_MS * self.ms // max(1, self.events)
            self._append(GapSample(max(1, gap), min(duration_s, MAX_SAMPLE_S), now))
            self.begun_at, self.events, self.ms = now, 0, 0
        while self.samples and now - self.samples[0].ended_at > MAX_SAMPLE_AGE_S:
            self._drop_oldest()
        self.gap = self._find_median()

    def _forget_old_counts(self, now: float) -> None:
        """Drop an incomplete sample that got no count for long: the target is gone or idle, or this
        host did not aggregate meanwhile."""
        if now - self.counted_at > MAX_SAMPLE_AGE_S:
            self.events = self.ms = 0

    def _append(self, sample: GapSample) -> None:
        self.samples.append(sample)
        insort(self.ordered, sample)
        self.covered_s += sample.duration_s
        while self.covered_s - self.samples[0].duration_s >= COUNTED_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self.samples.popleft()
        del self.ordered[bisect_left(self.ordered, oldest)]
        self.covered_s -= oldest.duration_s

    def _find_median(self) -> int | None:
        """Return the smallest gap that is not exceeded in half of the time that samples cover."""
        if self.covered_s < MIN_COUNTED_S:
            return None
        rest_s = self.covered_s / 2
        for gap, duration_s, _ in self.ordered:
            rest_s -= duration_s
            if rest_s <= 0.0:
                return gap
        return self.ordered[-1].gap


class GapHistories(Struct):
    """The recent samples of all targets' gaps, which an aggregator keeps.

    :ivar gaps: known gaps by target, in units of 1/:data:`GAP_UNITS_PER_MS` ms.
    :ivar sent: gaps last sent to the hosts.
    :ivar closed_at: time at which samples were last completed.
    :ivar sent_all_at: time at which all gaps were last sent.
    """

    by_target: dict[TargetNumber, GapHistory] = field(default_factory=dict)
    gaps: dict[TargetNumber, int] = field(default_factory=dict)
    sent: dict[TargetNumber, int] = field(default_factory=dict)
    closed_at: float = float("-inf")
    sent_all_at: float = float("-inf")

    def add(self, counts: Mapping[TargetNumber, tuple[int, int]], now: float) -> None:
        """Add a host's counts of events, and the milliseconds that these took, by target."""
        for target, (events, ms) in counts.items():
            history = self.by_target.get(target)
            if history is None:
                history = self.by_target[target] = GapHistory()
            history.add(events, ms, now)

    def close(self, now: float) -> bool:
        """Complete samples if the last ones were completed long enough ago.

        Returns whether a gap differs enough from the one last sent to be sent at once.
        """
        if now - self.closed_at < SAMPLE_S:
            return False
        self.closed_at = now
        for target, history in list(self.by_target.items()):
            history.close(now)
            if not history.samples and not history.ms:
                del self.by_target[target]
        self.gaps = {
            target: history.gap
            for target, history in self.by_target.items()
            if history.gap is not None
        }
        return any(self._has_changed(target) for target in self.gaps)

    def must_send_all(self, now: float) -> bool:
        """Whether enough time has passed for another message with all gaps."""
        gap_s = min(MAX_SEND_GAP_S, SEND_GAP_PER_TARGET_S * len(self.gaps))
        return now - self.sent_all_at >= gap_s

    def take_gaps(self, now: float, *, sends_all: bool) -> dict[TargetNumber, int]:
        """Return the gaps to send now: all, or only those that have changed much."""
        if sends_all:
            self.sent, self.sent_all_at = self.gaps, now
            return self.gaps
        changed = {target: gap for target, gap in self.gaps.items() if self._has_changed(target)}
        self.sent = {**self.sent, **changed}
        return changed

    def _has_changed(self, target: TargetNumber) -> bool:
        gap, sent = self.gaps[target], self.sent.get(target)
        if sent is None:
            return True
        return gap > sent * CHANGED_RATIO or sent > gap * CHANGED_RATIO
