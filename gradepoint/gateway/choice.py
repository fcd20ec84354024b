"""Choice of a target for one call or item: pure, from what this host knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from ..ids import TargetId
    from .targets import Target

HOME_WEIGHT = 3.0
"""How much rather a target in this host's failure domain is chosen than one elsewhere that is
as empty: bytes stay at home mostly, while a burst at home still spreads."""


def choose_target(
    candidates: list[Target],
    failure_domain: str,
    tried: Collection[TargetId],
    elsewhere: Callable[[TargetId], int],
    rng: random.Random,
    reserved: Collection[TargetId] = (),
) -> Target | None:
    """Return a target for a caller's call, or None if there is none left.

    Targets with free slots are drawn by the square of how many they have. The emptiest would
    be the better choice for one host; but all hosts see the same loads some milliseconds late
    and would send a whole burst there. Without a free slot, the least loaded is taken.

    :param tried: targets that this call has been sent to.
    :param elsewhere: what other hosts say they have in flight at a target.
    :param reserved: targets that a request that may end them has to itself.
    """
    left = [target for target in candidates if target.id not in tried]
    left = [target for target in left if target.id not in reserved] or left
    if not left:
        return None
    weights = [
        max(0, target.listed.slots - target.in_flight - elsewhere(target.id)) ** 2
        * (HOME_WEIGHT if target.listed.failure_domain == failure_domain else 1.0)
        for target in left
    ]
    if any(weights):
        return rng.choices(left, weights)[0]
    return min(left, key=lambda target: (get_load(target, elsewhere), rng.random()))


def choose_alone(
    candidates: list[Target], elsewhere: Callable[[TargetId], int], rng: random.Random
) -> Target | None:
    """Return a target that is empty, or nearly so, or None if there is none."""
    if not candidates:
        return None
    return min(candidates, key=lambda target: (get_load(target, elsewhere), rng.random()))


def get_load(target: Target, elsewhere: Callable[[TargetId], int]) -> float:
    """Return what is in flight at a target over all hosts, by slot."""
    return (target.in_flight + elsewhere(target.id)) / max(1, target.listed.slots)
