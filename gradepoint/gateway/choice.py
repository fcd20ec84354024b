"""Target selection for one call or batch item.

The functions are pure: they decide from the arguments alone and read no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from ..peers.datagrams import number_target
from ..routing.target_model import USUAL_PACE

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from ..ids import TargetId
    from .target_loads import TargetLoads
    from .targets import Target

T = TypeVar("T")

SAMPLED_TARGETS = 2
"""Targets that are sampled, of which the least loaded is used. With a larger sample, all hosts pick
the same targets at the same time."""
SAME_DOMAIN_WEIGHT = 3.0
"""Sampling weight of a target in this host's failure domain; other targets have weight 1. Most
traffic stays within the failure domain, while a burst still spreads to the others."""


def choose_target(
    candidates: list[Target],
    failure_domain: str,
    tried: Collection[TargetId],
    remote_in_flight: Callable[[TargetId], int],
    rng: random.Random,
    reserved: Collection[TargetId] = (),
    loads: TargetLoads | None = None,
) -> Target | None:
    """Return a target for a caller's call, or None if no candidate remains.

    Uses the power of two choices (Mitzenmacher, 2001): samples two targets and returns the less
    loaded one, even if it is full. All hosts see the same loads with a delay of some hundredths of
    a second, so picking the least loaded target of all would send a whole burst to it. With 51
    hosts in front of 30 targets under square-wave load, 0.51 of 100 calls are late with two
    choices, 2.4 if targets are sampled by the square of their free slots and 22.5 if the least
    loaded is picked. With a fifth of the targets gone, 4.0 of 100 are late, and 10.7 by the square
    (``python -m bench.crest_replay``).

    :param tried: targets that this call was already sent to; they are excluded.
    :param remote_in_flight: returns the number of calls that other hosts report in flight at a
        target.
    :param reserved: targets that run a suspected request alone, since it may crash them. They are
        used only if there is no other target.
    :param loads: pace and expected delay of the targets. While the paces differ, targets are
        sampled by pace and the one with the smaller expected delay is returned. Without it, targets
        count as alike.
    """
    remaining = [target for target in candidates if target.id not in tried]
    remaining = [target for target in remaining if target.id not in reserved] or remaining
    if not remaining:
        return None
    weights = [
        SAME_DOMAIN_WEIGHT if target.listed.failure_domain == failure_domain else 1.0
        for target in remaining
    ]
    paces = loads.find_unusual_paces() if loads is not None else {}
    if loads is not None and paces:
        # A target of half the pace completes half as many calls, so it has to get half as many.
        weights = [
            weight * paces.get(number_target(target.id), USUAL_PACE)
            for weight, target in zip(weights, remaining, strict=True)
        ]
        return loads.choose(sample_weighted(remaining, weights, SAMPLED_TARGETS, rng))
    drawn = sample_weighted(remaining, weights, SAMPLED_TARGETS, rng)
    # ``min`` returns the first of equally loaded targets. The first one drawn is more likely to be
    # in this host's failure domain.
    return min(drawn, key=lambda target: get_load(target, remote_in_flight))


def sample_weighted(
    names: list[T], weights: list[float], count: int, rng: random.Random
) -> list[T]:
    """Return a weighted random sample of *count* distinct *names*, in the order of drawing.

    If there are fewer than *count* names, all of them are returned.
    """
    found: list[T] = []
    while len(found) < min(count, len(names)):
        drawn = rng.choices(names, weights)[0]
        if drawn not in found:
            found.append(drawn)
    return found


def choose_least_loaded(
    candidates: list[Target], remote_in_flight: Callable[[TargetId], int], rng: random.Random
) -> Target | None:
    """Return the least loaded candidate, or None if there is none; ties are broken at random."""
    if not candidates:
        return None
    return min(candidates, key=lambda target: (get_load(target, remote_in_flight), rng.random()))


def get_load(target: Target, remote_in_flight: Callable[[TargetId], int]) -> float:
    """Return a target's calls in flight from all hosts, divided by its slots; 1.0 means full."""
    return (target.in_flight + remote_in_flight(target.id)) / max(1, target.listed.slots)
