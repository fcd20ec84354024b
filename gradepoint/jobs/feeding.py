"""Which target takes one more batch item: a pure decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from ..gateway.targets import Target
    from ..ids import TargetId

RESERVED_SLOTS = 1
"""Slots of a target that batch leaves free: the next caller finds one, and an item gives way
for the one after it within a beat of the hosts' datagrams."""


def batch_slots(slots: int) -> int:
    """Return how many of a target's slots may be in use at the most beside a batch item."""
    return max(1, slots - RESERVED_SLOTS)


def count_spare_slots(targets: list[Target], elsewhere: Callable[[TargetId], int]) -> int:
    """Return how many items could start at *targets* without keeping a caller waiting."""
    return sum(
        max(0, batch_slots(max(1, target.listed.slots)) - target.in_flight - elsewhere(target.id))
        for target in targets
    )


def share_of_slots(spare: int, own: int, others: int, rng: random.Random) -> int:
    """Return how many of *spare* slots fall to a host.

    A part of a slot falls to it as often as that part says, so that all hosts together fill
    the spare slots however small their shares are.

    :param own: weight of the items that wait on this host, and *others* on all other hosts.
    """
    if not own:
        return 0
    share = spare * own / (own + others)
    whole = int(share)
    return whole + (rng.random() < share - whole)


def choose_batch_target(
    candidates: list[Target],
    elsewhere: Callable[[TargetId], int],
    taken: Collection[TargetId],
    rng: random.Random,
) -> Target | None:
    """Return a target with a slot to spare, or None.

    Every host sees the same free slots. So that they do not all fill the same ones before
    they hear of each other, targets are drawn by the square of their spare slots, and a
    target gets one item of a host at a time.

    :param taken: targets that got an item of this host since the others last heard of it, or that
        one request has to itself.
    """
    left = [target for target in candidates if target.id not in taken]
    weights = [
        max(0, batch_slots(max(1, target.listed.slots)) - target.in_flight - elsewhere(target.id))
        ** 2
        for target in left
    ]
    return rng.choices(left, weights)[0] if any(weights) else None
