"""How often an organisation may call, over all hosts together: what a quota allows, and counts.

The load this answers: an organisation sends many times its usual to any of some hundred hosts,
while hosts restart or are cut off. Hosts tell what they granted to those that add up
(:mod:`.quota_ledger`), and these tell how much room is left, but only for organisations that near
their limit: others need no word. What hosts grant (:mod:`.host_quotas`) before they hear of each
other is covered by the tolerated excess.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

MARGIN_SHARE = 0.1
"""Share of what is tolerated beyond a quota that is granted on purpose, so that no call below the
limit is refused for a moment's difference. The rest covers what hosts do not know of each other."""
MOST_GRANTED_SHARE = 0.75
"""Share of a quota with all that is tolerated that is granted on purpose at the most. The rest is
for what is granted unknown to others: 0.18 of it where a third of 51 hosts was cut off within a
second of an organisation turning hot (``python -m bench.quota_replay``)."""
TIGHT_SHARE = 0.25
"""Share of an organisation's full room below which hosts are told of it: eight times the usual
calls of one that uses two thirds of its quota take three words to use that up."""
BLIND_SHARE = 0.25
"""Share of the tolerated excess that all hosts together may grant without word of each other."""
WORD_S = 0.35
"""Seconds for which a word holds: those that add up speak four times a second at the least. A host
that is cut off must not go on as if all the room that comes back were its own."""
USUAL_S = 10.0
"""Seconds over which a host's usual rate of grants is averaged: two windows of a limit."""
UNKNOWN_PARTS = 10
"""Parts in which what was granted before a host added up leaves its window, one after the other."""
LEDGER_IDLE_S = 3 * USUAL_S
"""Seconds after its last grant that a host's count for an organisation is forgotten by those that
add up: its usual rate has become a twentieth."""
LEAST_RETRY_S = 0.05
"""Least seconds after which a refused caller comes back."""


@dataclass(frozen=True)
class QuotaTerms:
    """What is tolerated beyond a quota in any window of time.

    :param window_s: length of the window in seconds.
    :param excess: share of the quota, and *slack* a number of calls.
    """

    window_s: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True)
class Quota:
    """How often an organisation may call.

    :param calls_per_s: calls a second, above 0.
    :param burst: calls on top.
    """

    calls_per_s: float
    burst: float


@dataclass(frozen=True)
class Allowance:
    """What the fleet grants an organisation on purpose.

    :param most: calls in any window of *window_s* seconds.
    :param blind_per_s: calls a second that all hosts may grant without word of each other.
    """

    most: float
    window_s: float
    blind_per_s: float

    @property
    def calls_per_s(self) -> float:
        """The rate at which calls may come for long."""
        return self.most / self.window_s

    def part_per_s(self, hosts: int) -> float:
        """Return a host's equal part of the rate."""
        return self.calls_per_s / max(1, hosts)


def allow(quota: Quota, terms: QuotaTerms) -> Allowance:
    """Return what is granted under a quota.

    ``rate * window + burst`` calls in a window and a little of what is tolerated beyond that, but
    of large quotas less: the fixed part of what is tolerated is a small one of theirs.
    """
    within = quota.calls_per_s * terms.window_s + quota.burst
    tolerated = within * terms.excess + terms.slack
    return Allowance(
        most=max(
            1.0,
            min(within + tolerated * MARGIN_SHARE, (within + tolerated) * MOST_GRANTED_SHARE),
        ),
        window_s=terms.window_s,
        blind_per_s=tolerated * BLIND_SHARE / terms.window_s,
    )


@dataclass
class UsualRate:
    """A rate averaged over :data:`USUAL_S` seconds, the older the less.

    :ivar at: time of the last count.
    """

    per_s: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the rate as of *now*."""
        return self.per_s * math.exp(-max(0.0, now - self.at) / USUAL_S)

    def add(self, count: int, now: float) -> None:
        """Count what came."""
        self.per_s = self.read(now) + count / USUAL_S
        self.at = now


@dataclass
class Bucket:
    """Room that fills with time.

    :ivar room: calls that may come now; below 0 where more came than there was room for.
    """

    room: float
    at: float

    def fill(self, calls_per_s: float, most: float, now: float) -> float:
        """Return the room as of *now*."""
        if now > self.at:
            self.room = min(most, self.room + (now - self.at) * calls_per_s)
            self.at = now
        self.room = min(most, self.room)
        return self.room


@dataclass
class Window:
    """Grants of the last seconds.

    A bucket that fills with time would let an organisation have its burst only after a rest; a
    quota holds in each window by itself.

    :ivar grants: time and number of grants, the oldest first; taken back ones are below 0.
    :ivar total: their sum.
    """

    grants: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, count: float, now: float) -> None:
        """Count grants."""
        self.grants.append((now, count))
        self.total += count

    def add_spread(self, count: float, window_s: float, now: float) -> None:
        """Count grants of which it is not known when in the last window they were."""
        parts = [
            (now - window_s * (1 - part / UNKNOWN_PARTS), count / UNKNOWN_PARTS)
            for part in range(1, UNKNOWN_PARTS + 1)
        ]
        self.grants = deque(sorted((*self.grants, *parts)))
        self.total += count

    def count(self, window_s: float, now: float) -> float:
        """Return the grants of the last *window_s* seconds."""
        while self.grants and self.grants[0][0] <= now - window_s:
            self.total -= self.grants.popleft()[1]
        return self.total if self.grants else 0.0
