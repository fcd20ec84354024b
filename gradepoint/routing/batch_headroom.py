"""Decides how many slots of a target batch items leave free for calls, without I/O or clocks.

A call that meets a target without a free slot waits until an item is preempted for it. The
*headroom* of a target is the number of calls that are expected there within that time. It follows
the rate of calls: in a trough items fill nearly all slots, and at a peak they release slots before
calls need them.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..util.structs import Struct, field
from .target_model import PREEMPTION_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..ids import TargetNumber

RESERVED_SLOTS = 1
"""Slots of a target that starting items leave free while the rate of calls is unknown."""
START_HORIZON_S = 2 * PREEMPTION_S
"""Seconds for whose expected calls a starting item leaves slots free. With the horizon of
preemption alone, the next call would preempt the item that has just started."""
MAX_HEADROOM_SHARE = 0.25
"""Maximum headroom as a share of a target's slots. With a larger one, items miss their due times
where targets are gone."""
RATE_WINDOW_S = 0.3
"""Seconds over which the rate of calls is measured. At a rising peak, the rate over 1 s is too low
for as long; over less than 0.3 s too few calls arrive for a useful mean."""
MAX_OBSERVATION_GAP_S = 1.0
"""Seconds between two observations beyond which measuring begins anew: four of the longest gaps
between a host's reports. The host was suspended, or did not aggregate meanwhile."""


def count_headroom(slots: int, calls_per_s: float, horizon_s: float) -> int:
    """Return the slots of a target to leave free for the calls of the next *horizon_s* seconds.

    :param slots: sequences that the target runs at the same time.
    :param calls_per_s: calls per second that arrive at the target.
    """
    most = max(1, int(slots * MAX_HEADROOM_SHARE))
    return min(most, int(calls_per_s * horizon_s + 0.5))


def find_start_limit(slots: int, calls_per_s: float | None) -> int:
    """Return how many of a target's slots may be in use once an item has started there.

    It is at least 1, so that an idle target always takes an item, and never above the preemption
    limit, so that no item is preempted without a further call.

    :param calls_per_s: as of :func:`count_headroom`; None if it is unknown.
    """
    if calls_per_s is None:
        return max(1, slots - RESERVED_SLOTS)
    return max(1, slots - count_headroom(slots, calls_per_s, START_HORIZON_S))


def find_preemption_limit(slots: int, calls_per_s: float | None) -> int:
    """Return the calls and items in flight at a target above which items are preempted.

    :param calls_per_s: as of :func:`count_headroom`; None if it is unknown.
    """
    if calls_per_s is None:
        return slots
    return max(1, slots - count_headroom(slots, calls_per_s, PREEMPTION_S))


class CallArrivals(Struct):
    """Calls that arrived lately at each target.

    :ivar begun_at: time of the first observation without a long gap after it; infinite before it.
    :ivar observed_at: time of the last observation.
    :ivar recent: time, target and number of calls of each observation within the window.
    :ivar counts: calls within the window by target.
    """

    begun_at: float = float("inf")
    observed_at: float = float("-inf")
    recent: deque[tuple[float, TargetNumber, int]] = field(default_factory=deque)
    counts: dict[TargetNumber, int] = field(default_factory=dict)

    def observe(
        self, former: Mapping[TargetNumber, int], calls: Mapping[TargetNumber, int], now: float
    ) -> None:
        """Count the calls that a host has begun between two reports.

        A call that began and another that ended at the same target between the reports are not
        seen; reports are much more frequent than calls of one host at one target.

        :param former: the host's calls in flight by target in its former report.
        """
        if now - self.observed_at > MAX_OBSERVATION_GAP_S:
            self.begun_at = now
        self.observed_at = now
        self.forget(now)
        for target, number in calls.items():
            begun = number - former.get(target, 0)
            if begun > 0:
                self.recent.append((now, target, begun))
                self.counts[target] = self.counts.get(target, 0) + begun

    def forget(self, now: float) -> None:
        """Drop the observations that are older than the window."""
        while self.recent and self.recent[0][0] < now - RATE_WINDOW_S:
            _, target, begun = self.recent.popleft()
            self.counts[target] -= begun
            if not self.counts[target]:
                del self.counts[target]

    def find_rate(self, targets: Iterable[TargetNumber], now: float) -> float | None:
        """Return the mean calls per second that arrive at each of *targets*.

        The mean is used, since too few calls arrive at a single target within the window. None is
        returned for no targets, or if observations do not cover the window yet.
        """
        if now - self.begun_at < RATE_WINDOW_S:
            return None
        self.forget(now)
        counts = [self.counts.get(target, 0) for target in targets]
        return sum(counts) / len(counts) / RATE_WINDOW_S if counts else None
