"""Which target takes one more batch item, and when one must give way: pure decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..gateway.targets import Target
    from ..ids import TargetId

RESERVED_SHARE = 0.25
"""Share of a target's slots that batch leaves free for callers who arrive within one beat of
the hosts' datagrams."""


def batch_slots(slots: int) -> int:
    """Return how many of a target's slots may be in use for batch to add one more."""
    return max(1, slots - max(1, round(slots * RESERVED_SHARE)))


def choose_batch_target(
    candidates: list[Target],
    elsewhere: Callable[[TargetId], int],
    rng: random.Random,
) -> Target | None:
    """Return the emptiest target with a slot to spare, or None."""
    best: Target | None = None
    best_cost = (0.0, 0.0)
    for target in candidates:
        slots = max(1, target.listed.slots)
        load = target.in_flight + elsewhere(target.id)
        if load >= batch_slots(slots):
            continue
        cost = (load / slots, rng.random())
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def count_to_preempt(load: int, slots: int, own_items: int) -> int:
    """Return how many of this host's items at a target give way.

    :param load: everything in flight at the target, over all hosts.
    """
    return min(own_items, max(0, load - slots))
