"""Which target takes one more batch item, and which host's item gives way: pure decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import score

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Mapping

    from ..gateway.targets import Target
    from ..ids import Incarnation, TargetId

RESERVED_SLOTS = 1
"""Slots of a target that batch leaves free: the next caller finds one, and an item gives way
for the one after it within a beat of the hosts' datagrams."""


def batch_slots(slots: int) -> int:
    """Return how many of a target's slots may be in use at the most beside a batch item."""
    return max(1, slots - RESERVED_SLOTS)


def choose_batch_target(
    candidates: list[Target],
    elsewhere: Callable[[TargetId], int],
    just_fed: Collection[TargetId],
    rng: random.Random,
) -> Target | None:
    """Return a target with a slot to spare, or None.

    Every host sees the same free slots. So that they do not all fill the same ones before
    they hear of each other, targets are drawn by the square of their spare slots, and a
    target gets one item of a host at a time.

    :param just_fed: targets that got an item of this host since the others last heard of it.
    """
    left = [target for target in candidates if target.id not in just_fed]
    weights = [
        max(0, batch_slots(max(1, target.listed.slots)) - target.in_flight - elsewhere(target.id))
        ** 2
        for target in left
    ]
    return rng.choices(left, weights)[0] if any(weights) else None


def must_give_way(
    load: int, slots: int, own: Incarnation, target: TargetId, items: Mapping[Incarnation, int]
) -> bool:
    """Whether one of this host's items at a target gives way.

    One host at a time is picked, in an order that all hosts agree on; the others look again
    when they have heard of it.

    :param load: everything in flight at the target, over all hosts.
    :param items: items that each host has there.
    """
    if load <= slots:
        return False
    holders = [host for host, count in items.items() if count]
    return bool(holders) and max(holders, key=lambda host: score(host, target)) == own
