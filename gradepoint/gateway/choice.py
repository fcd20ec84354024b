"""Choice of a target for one call: pure, from what this host knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from ..ids import TargetId
    from .targets import Target

OTHER_DOMAIN_COST = 0.5
"""What a target in another failure domain costs, in calls in flight: less than one, so that
an idle target elsewhere goes before a busy one nearby, and bytes stay at home otherwise."""


def choose_target(
    candidates: list[Target],
    failure_domain: str,
    tried: Collection[TargetId],
    elsewhere: Callable[[TargetId], int],
    rng: random.Random,
) -> Target | None:
    """Return the target with the least work in flight, or None if there is none left.

    :param tried: targets that this call has been sent to.
    :param elsewhere: calls that other hosts say they have in flight at a target.
    """
    best: Target | None = None
    best_cost = (0.0, 0.0)
    for target in candidates:
        if target.id in tried:
            continue
        slots = max(1, target.listed.slots)
        load = target.in_flight + elsewhere(target.id)
        distance = 0.0 if target.listed.failure_domain == failure_domain else OTHER_DOMAIN_COST
        cost = ((load + distance) / slots, rng.random())
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best
