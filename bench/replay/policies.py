"""Policies that a replay compares; ``gradepoint`` runs the product's own decisions."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gradepoint.routing.choice import TargetView, choose_target
from gradepoint.routing.slack import LoadReport, SlackWindow, WindowDecision

Choose = Callable[[Sequence[TargetView], str, float, random.Random, int], TargetView | None]


@dataclass
class FixedWindow:
    """Batch gets the same window whatever online work does."""

    size: int

    def observe(self, report: LoadReport, in_flight: int, now: float) -> WindowDecision:
        """Return the fixed window."""
        return WindowDecision(self.size, 0, self.size)


@dataclass(frozen=True)
class Policy:
    """One way to share a fleet.

    :param window: makes the batch window of a target with so many slots; None for no batch.
    :param priority: engine priority of batch; 0 is that of online calls.
    """

    name: str
    window: Callable[[int, float], SlackWindow | FixedWindow] | None
    priority: int = 10
    choose: Choose = choose_target
    notices: bool = True


def choose_random(
    views: Sequence[TargetView], prefix: str, now: float, rng: random.Random, most: int
) -> TargetView | None:
    """Choose any target that may be used."""
    able = [view for view in views if view.circuit.admits(now) and view.in_flight < most]
    return rng.choice(able) if able else None


def choose_least(
    views: Sequence[TargetView], prefix: str, now: float, rng: random.Random, most: int
) -> TargetView | None:
    """Choose the target with the fewest calls of this daemon."""
    able = [view for view in views if view.circuit.admits(now) and view.in_flight < most]
    return min(able, key=lambda view: (view.in_flight, rng.random())) if able else None


POLICIES: dict[str, Policy] = {
    policy.name: policy
    for policy in (
        Policy("gradepoint", SlackWindow),
        Policy("no-batch", None),
        Policy("fixed-window", lambda slots, _: FixedWindow(slots // 2), priority=0),
        Policy("priority-only", lambda slots, _: FixedWindow(slots)),
        Policy("random-choice", SlackWindow, choose=choose_random),
        Policy("least-in-flight", SlackWindow, choose=choose_least),
        Policy("reports-only", SlackWindow, notices=False),
        Policy("batch-only", lambda slots, _: FixedWindow(slots)),
    )
}
