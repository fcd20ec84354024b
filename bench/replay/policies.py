"""Policies that a replay compares; ``gradepoint`` uses gradepoint's own decision code."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gradepoint.routing.batch_window import BatchWindow, LoadReport, WindowDecision
from gradepoint.routing.choice import TargetView, choose_target

Choose = Callable[[Sequence[TargetView], str, float, random.Random, int], TargetView | None]


@dataclass
class FixedWindow:
    """A batch window of constant size, independent of the online load."""

    size: int

    def observe(self, report: LoadReport, in_flight: int, now: float) -> WindowDecision:
        """Return the constant window; no item is ever cancelled."""
        return WindowDecision(self.size, 0, self.size)


@dataclass(frozen=True)
class Policy:
    """One way to share a fleet between online calls and batch.

    :param window: creates the batch window of a target from its number of slots and the tail
        preference; None runs no batch.
    :param priority: engine priority of batch items; online calls have 0.
    :param choose: chooses the target of an online call.
    :param uses_notices: whether the feeder of a target uses the entries' notices of calls that
        begin or end there, besides the target's load reports.
    """

    name: str
    window: Callable[[int, float], BatchWindow | FixedWindow] | None
    priority: int = 10
    choose: Choose = choose_target
    uses_notices: bool = True


def choose_random(
    views: Sequence[TargetView], prefix: str, now: float, rng: random.Random, max_in_flight: int
) -> TargetView | None:
    """Choose a random target whose circuit admits calls and that is below the in-flight limit."""
    eligible = [
        view for view in views if view.circuit.admits(now) and view.in_flight < max_in_flight
    ]
    return rng.choice(eligible) if eligible else None


def choose_least_in_flight(
    views: Sequence[TargetView], prefix: str, now: float, rng: random.Random, max_in_flight: int
) -> TargetView | None:
    """Choose the eligible target with the fewest calls in flight from this entry."""
    eligible = [
        view for view in views if view.circuit.admits(now) and view.in_flight < max_in_flight
    ]
    return min(eligible, key=lambda view: (view.in_flight, rng.random())) if eligible else None


POLICIES: dict[str, Policy] = {
    policy.name: policy
    for policy in (
        Policy("gradepoint", BatchWindow),
        Policy("no-batch", None),
        Policy("fixed-window", lambda slots, _: FixedWindow(slots // 2), priority=0),
        Policy("priority-only", lambda slots, _: FixedWindow(slots)),
        Policy("random-choice", BatchWindow, choose=choose_random),
        Policy("least-in-flight", BatchWindow, choose=choose_least_in_flight),
        Policy("reports-only", BatchWindow, uses_notices=False),
        Policy("batch-only", lambda slots, _: FixedWindow(slots)),
    )
}
