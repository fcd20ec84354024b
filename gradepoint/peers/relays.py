"""Which hosts relay an aggregator's digests to the others in a large fleet, without I/O.

An aggregator that sends each digest to every host sends bytes in proportion to the hosts. In a
large fleet it sends them to about as many relays as the square root of the number of hosts, and
each relay passes them on to as many hosts. The aggregator chooses the relays and names their
receivers in each message, so hosts need not agree on them and relays keep no state.
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import TYPE_CHECKING

from ..util.hashing import rank
from .capacity import UNKNOWN_CLASS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..ids import CapacityClass, Incarnation

MAX_DIRECT_RECEIVERS = 80
"""Hosts to which an aggregator sends a digest itself: 1.5 MB/s at most, which fits into the slowest
link of 15 Mbit/s, and one hop and one host less on which a digest depends."""
RELAY_FRESH_S = 0.4
"""Seconds after its last report that a host may relay digests: somewhat more than the longest gap
between two reports. A host that is lost or suspended relays nothing from then on."""


def rank_by_capacity(
    key: str, incarnations: Iterable[Incarnation], capacities: dict[Incarnation, CapacityClass]
) -> list[Incarnation]:
    """Return hosts by descending capacity class, and within a class by rank for *key*."""
    return sorted(
        rank(key, incarnations),
        key=lambda incarnation: capacities.get(incarnation, UNKNOWN_CLASS),
        reverse=True,
    )


@lru_cache(maxsize=2)
def rank_relays(
    own: Incarnation,
    incarnations: frozenset[Incarnation],
    capacities: frozenset[tuple[Incarnation, CapacityClass]],
) -> list[Incarnation]:
    """Return the hosts in the order in which an aggregator prefers them as relays.

    Each aggregator has another order within a class, so that the loss of a relay rarely affects
    the digests of two of them.
    """
    return rank_by_capacity(f"relays of {own}", incarnations, dict(capacities))


def count_relays(receivers: int) -> int:
    """Return the number of relays for a number of receivers: an aggregator and a relay then send
    about the same number of datagrams."""
    return math.ceil(math.sqrt(receivers))


def group_receivers(
    receivers: Iterable[Incarnation], relays: Sequence[Incarnation], turn: int
) -> list[list[Incarnation]]:
    """Return the receivers of each relay.

    :param turn: number of the digest. The next digest reaches each receiver by another relay, so a
        relay that is lost or slow costs a host one digest at a time, as a lost datagram does.
    """
    groups: list[list[Incarnation]] = [[] for _ in relays]
    chosen = set(relays)
    others = [receiver for receiver in receivers if receiver not in chosen]
    for index, receiver in enumerate(others):
        groups[(index + turn) % len(relays)].append(receiver)
    return groups
