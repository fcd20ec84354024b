"""Quotas of organisations over all hosts together: the calls a quota allows, and counters.

The quotas have to hold while an organisation sends many times its usual load to any of a hundred or
more hosts, and while hosts restart or are cut off. Hosts report their grants to the aggregators
(:mod:`.quota_ledger`). The aggregators answer with room reports: *room* is the number of calls that
may still be granted. They report only organisations that are near their limit. The calls that hosts
grant (:mod:`.host_quotas`) before they know of each other's grants are covered by the tolerated
excess.
"""

from __future__ import annotations

import math
from collections import deque

from ..util.structs import Struct, field

MARGIN_SHARE = 0.1
"""Share of the tolerated excess that is granted deliberately, so that a small timing difference
does not refuse a call below the limit. The rest covers grants that hosts do not yet know of each
other."""
MAX_GRANTED_SHARE = 0.75
"""Largest share of quota plus tolerated excess that is granted deliberately. The rest covers grants
that other hosts do not know of: 0.18 of the total where a third of 51 hosts is cut off within a
second of an organisation's load rising sharply (``python -m bench.quota_replay``)."""
LOW_ROOM_SHARE = 0.25
"""Share of an organisation's full room below which its room is reported to hosts. Eight times the
usual calls of an organisation that uses two thirds of its quota need three reports to use up that
much."""
ISOLATED_EXCESS_SHARE = 0.25
"""Share of the tolerated excess that all hosts together may grant without room reports."""
ROOM_REPORT_LIFETIME_S = 0.35
"""Seconds for which a room report is valid; aggregators send at least four a second. A host that is
cut off must not grant all the room that is freed over time, because other hosts grant it too."""
RATE_TIME_CONSTANT_S = 10.0
"""Time constant in seconds of a host's average grant rate: two windows of a limit."""
SPREAD_PARTS = 10
"""Number of equal parts in which grants of unknown time leave their window, one after the other."""
SPREAD_STEPS = 40
"""Times in a window at which such parts leave: a part leaves up to a fortieth of the window late.
Parts that leave at the same time are one entry. With an entry for each part, 50 hosts that were
silent and came back took 85 MB with 1,500 organisations."""
LEDGER_IDLE_S = 3 * RATE_TIME_CONSTANT_S
"""Seconds after a host's last grant to an organisation until aggregators drop the count. The
average rate has decayed to a twentieth by then."""
MIN_RETRY_AFTER_S = 0.05
"""Minimum ``Retry-After`` of a refused call in seconds."""


class QuotaTerms(Struct, frozen=True):
    """Calls that are tolerated beyond a quota in any window.

    :param window_s: length of the window in seconds.
    :param excess: tolerated share of the quota.
    :param slack: tolerated number of calls on top of that share.
    """

    window_s: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


class Quota(Struct, frozen=True):
    """Quota of one organisation.

    :param calls_per_s: calls per second, above 0.
    :param burst: additional calls in any window.
    """

    calls_per_s: float
    burst: float


class Allowance(Struct, frozen=True):
    """Calls that all hosts together grant an organisation deliberately.

    :param max_calls: calls in any window of *window_s* seconds.
    :param isolated_per_s: calls per second that all hosts together may grant without room reports.
    """

    max_calls: float
    window_s: float
    isolated_per_s: float

    @property
    def calls_per_s(self) -> float:
        """The sustained rate of calls."""
        return self.max_calls / self.window_s

    def equal_share_per_s(self, hosts: int) -> float:
        """Return the rate of one host if all hosts share equally."""
        return self.calls_per_s / max(1, hosts)


def compute_allowance(quota: Quota, terms: QuotaTerms) -> Allowance:
    """Return the allowance of a quota.

    The maximum is ``rate * window + burst`` plus a small share of the tolerated excess. For large
    quotas it is less than the quota: the fixed number of tolerated calls is small compared to them,
    so part of the quota itself has to cover grants that hosts do not know of.
    """
    within = quota.calls_per_s * terms.window_s + quota.burst
    tolerated = within * terms.excess + terms.slack
    return Allowance(
        max_calls=max(
            1.0,
            min(within + tolerated * MARGIN_SHARE, (within + tolerated) * MAX_GRANTED_SHARE),
        ),
        window_s=terms.window_s,
        isolated_per_s=tolerated * ISOLATED_EXCESS_SHARE / terms.window_s,
    )


class AverageRate(Struct):
    """A rate with exponential decay over :data:`RATE_TIME_CONSTANT_S` seconds.

    :ivar per_s: the average per second at the time *at*.
    :ivar at: time of the last count.
    """

    per_s: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the rate at time *now*."""
        return self.per_s * math.exp(-max(0.0, now - self.at) / RATE_TIME_CONSTANT_S)

    def add(self, count: int, now: float) -> None:
        """Add *count* events."""
        self.per_s = self.read(now) + count / RATE_TIME_CONSTANT_S
        self.at = now


class Bucket(Struct):
    """Token bucket: room that refills with time.

    :ivar room: calls that may be granted now; negative if more were granted than there was room
        for.
    :ivar at: time of the last refill.
    """

    room: float
    at: float

    def fill(self, calls_per_s: float, max_calls: float, now: float) -> float:
        """Refill up to *now*, cap at *max_calls*, and return the room."""
        if now > self.at:
            self.room = min(max_calls, self.room + (now - self.at) * calls_per_s)
            self.at = now
        self.room = min(max_calls, self.room)
        return self.room


class Window(Struct):
    """Sliding window of grants.

    A quota applies to every window separately. A token bucket does not implement that: it allows
    another burst only after the organisation has been idle.

    :ivar grants: time and number of grants, the oldest first; negative numbers for returned grants.
    :ivar spread: number of grants of unknown time by the step at which they leave, counted from
        time 0 in steps of a window's length divided by :data:`SPREAD_STEPS`.
    :ivar total: sum of the numbers in *grants* and *spread*.
    """

    grants: deque[tuple[float, float]] = field(default_factory=deque)
    spread: dict[int, float] = field(default_factory=dict)
    total: float = 0.0

    def add(self, count: float, now: float, step_s: float = 0.0) -> None:
        """Add *count* grants at time *now*, to the last entry if that is less than *step_s* old."""
        if self.grants and 0 <= now - self.grants[-1][0] < step_s:
            at, former = self.grants.pop()
            self.grants.append((at, former + count))
        else:
            self.grants.append((now, count))
        self.total += count

    def add_spread(self, count: float, window_s: float, now: float) -> None:
        """Add grants whose times within the last window are unknown, spread evenly over it."""
        step_s = window_s / SPREAD_STEPS
        for part in range(1, SPREAD_PARTS + 1):
            step = math.ceil((now + window_s * part / SPREAD_PARTS) / step_s)
            self.spread[step] = self.spread.get(step, 0.0) + count / SPREAD_PARTS
        self.total += count

    def count(self, window_s: float, now: float) -> float:
        """Return the number of grants in the last *window_s* seconds."""
        while self.grants and self.grants[0][0] <= now - window_s:
            self.total -= self.grants.popleft()[1]
        if self.spread:
            reached = now / (window_s / SPREAD_STEPS)
            for step in [step for step in self.spread if step <= reached]:
                self.total -= self.spread.pop(step)
        return self.total if self.grants or self.spread else 0.0
