"""Decides which target gets the next batch item; pure functions without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..peers.datagrams import number_target
from ..routing.target_model import USUAL_PACE

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Mapping

    from ..gateway.targets import Target
    from ..ids import TargetId, TargetNumber


PACE_POWER = 4
"""Power of a target's pace in the weight with which it is drawn for an item. In a trough all items
fit on the fast targets and end before the next peak, while a call is in time on any target: with
targets of three speeds, items took 6.76 s, against 7.19 s by the pace itself and 6.70 s by its
eighth power, which preempts more of them."""


def count_spare_slots(
    targets: list[Target],
    in_flight_elsewhere: Callable[[TargetId], int],
    find_limit: Callable[[Target], int],
) -> int:
    """Return how many items could start at *targets* without making a caller wait.

    :param in_flight_elsewhere: returns the requests that other hosts have in flight at a target.
    :param find_limit: returns how many slots of a target may be in use once an item has started
        there.
    """
    return sum(
        max(
            0,
            find_limit(target) - target.in_flight - in_flight_elsewhere(target.id),
        )
        for target in targets
    )


def allot_spare_slots(spare: int, own_weight: int, other_weight: int, rng: random.Random) -> int:
    """Return how many of the *spare* slots a host may use.

    A fractional share is rounded up with a probability equal to its fraction, so that all hosts
    together fill the spare slots however small their shares are.

    :param own_weight: weight of the items that wait on this host.
    :param other_weight: weight of the items that wait on all other hosts.
    """
    if not own_weight:
        return 0
    share = spare * own_weight / (own_weight + other_weight)
    whole = int(share)
    return whole + (rng.random() < share - whole)


def choose_batch_target(
    candidates: list[Target],
    in_flight_elsewhere: Callable[[TargetId], int],
    find_limit: Callable[[Target], int],
    excluded: Collection[TargetId],
    rng: random.Random,
    paces: Mapping[TargetNumber, float] | None = None,
) -> Target | None:
    """Return a target with a spare slot, or None.

    Every host sees the same free slots. To keep the hosts from all filling the same ones before
    they learn of each other's items, targets are drawn at random, weighted by the square of their
    spare slots times a power of the pace, and a target gets one item of a host at a time.

    :param in_flight_elsewhere: returns the requests that other hosts have in flight at a target.
    :param find_limit: as of :func:`count_spare_slots`.
    :param excluded: targets that got an item of this host that the other hosts do not know of
        yet, or that are reserved for a single request.
    :param paces: paces of the targets that differ from the usual one.
    """
    remaining = [target for target in candidates if target.id not in excluded]
    weights = [
        max(
            0,
            find_limit(target) - target.in_flight - in_flight_elsewhere(target.id),
        )
        ** 2
        for target in remaining
    ]
    if not any(weights):
        return None
    if paces:
        paced = [
            weight * paces.get(number_target(target.id), USUAL_PACE) ** PACE_POWER
            for weight, target in zip(weights, remaining, strict=True)
        ]
        return rng.choices(remaining, paced)[0]
    return rng.choices(remaining, weights)[0]
