"""What a host does while it does not know what the other hosts have in flight.

That is so after its start, without recent digests, and after a suspension. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

DIGEST_LIFETIME_S = 0.5
"""Age in seconds at which the newest digest no longer counts: two regular digests of a fleet of 300
hosts are missing. In that time a peak can fill all slots."""
CONTENT_LIFETIME_S = 1.0
"""Age in seconds at which the host's own report in a digest is too old for the digest to count.
Digests that waited in the socket's buffer during a suspension arrive late, and nothing else shows
it. Without a suspension the age is the sum of two regular gaps, 0.8 s at most."""
MIN_COVERED_SHARE = 0.5
"""Share of the listed hosts that a digest must cover. An aggregator that has just started, or is
cut off, knows the calls of a few hosts only."""
OWN_PART_FACTOR = 2
"""Number of equal parts of the slots that a host may use. Callers are not spread evenly, and twice
the mean covers almost all hosts of a fleet."""
MIN_PART = 2
"""Smallest equal part: with fewer slots than hosts, a host still has to serve some calls."""
MIN_RETURN_S = 0.3
MAX_RETURN_S = 0.6
"""Shortest and longest ``Retry-After`` in seconds. Digests arrive in that time, and the spread
prevents that all refused callers return at once."""
REFUSAL_MEMORY_S = 0.5
"""Seconds after a refusal for lack of room in which no item starts: refused callers return after
0.3 s or more, and an item would take the slot that they return for."""
CROWDED_OCCUPANCY = 0.5
"""Calls in flight per slot of a service from which refusals hold its items back. Below it, refused
callers that return find slots without calls, and an item there is preempted within their goal.
Without this limit, a host that refuses a call every 0.9 s would stop all items of the fleet."""
MAX_ITEM_WAIT_S = 2.0
"""Seconds without knowledge after which items start all the same, so that a host that hears nobody
does not stop its jobs. Hosts that start together hear each other within a second."""
ASKING_GAP_S = 0.5
"""Seconds between two questions after which :class:`ItemStarts` does not know whether occupancy was
known in between; a host with jobs asks many times in that time."""


def is_occupancy_known(digest_age_s: float, content_age_s: float, covered_share: float) -> bool:
    """Whether a digest tells what the other hosts have in flight.

    :param digest_age_s: seconds since the digest arrived.
    :param content_age_s: seconds since this host sent the report that the digest includes; infinite
        if it includes none.
    :param covered_share: share of the listed hosts whose reports it includes, from 0 to 1.
    """
    return (
        digest_age_s <= DIGEST_LIFETIME_S
        and content_age_s <= CONTENT_LIFETIME_S
        and covered_share >= MIN_COVERED_SHARE
    )


def choose_turn(position: int, hosts: int, sent: int, targets: int) -> int:
    """Return the index of the target to use while occupancy is unknown.

    Hosts that start together take the targets in turn, each from another one on. With targets
    drawn at random, a sixth of them would get more calls than slots while others are half empty.

    :param position: position of this host among all hosts.
    :param hosts: number of hosts.
    :param sent: calls that this host has sent so before.
    :param targets: number of targets.
    """
    step = next(step for step in range(hosts, hosts + targets + 1) if math.gcd(step, targets) == 1)
    return (position + sent * step) % targets


class RecoveryLimits(Struct):
    """Limits a host's calls by its own calls in flight while occupancy is unknown.

    :param draw: returns a random number from 0 to 1.
    """

    draw: Callable[[], float]

    def may_admit(self, own_in_flight: int, slots: int, hosts: int) -> bool:
        """Whether this host may send one more call.

        :param own_in_flight: calls that this host has in flight.
        :param slots: slots of all candidates.
        :param hosts: number of listed hosts, this one included.
        """
        part = max(MIN_PART, slots / max(1, hosts))
        return own_in_flight < OWN_PART_FACTOR * part

    def retry_after_s(self) -> float:
        """Return the seconds after which a refused caller may return."""
        return MIN_RETURN_S + self.draw() * (MAX_RETURN_S - MIN_RETURN_S)


class ItemStarts(Struct):
    """Decides when batch items may start.

    :ivar refused_at: monotonic time of the last refusal for lack of room, at any host.
    :ivar unknown_since: monotonic time since which occupancy is unknown; None if it is known.
    :ivar asked_at: monotonic time of the last question.
    """

    refused_at: float = float("-inf")
    unknown_since: float | None = None
    asked_at: float = float("-inf")

    def note_refusal(self, now: float) -> None:
        """Record a refusal for lack of room, on this host or according to a digest."""
        self.refused_at = now

    def may_start(self, now: float, *, known: bool) -> bool:
        """Whether enough is known of the other hosts to start items.

        :param known: whether occupancy is known.
        """
        if known or now - self.asked_at > ASKING_GAP_S:
            self.unknown_since = None
        self.asked_at = now
        if known:
            return True
        if self.unknown_since is None:
            self.unknown_since = now
        return now - self.unknown_since >= MAX_ITEM_WAIT_S

    def are_held_back(self, now: float, find_occupancy: Callable[[], float]) -> bool:
        """Whether the items of a service have to leave the slots to refused callers that return.

        :param find_occupancy: returns the service's calls in flight per slot; infinite if unknown.
        """
        return now - self.refused_at < REFUSAL_MEMORY_S and find_occupancy() >= CROWDED_OCCUPANCY
