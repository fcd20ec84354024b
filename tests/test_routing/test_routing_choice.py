"""Choice of a target: subsets, prefix affinity, bounded load, slow and failing targets."""

from __future__ import annotations

import random
from collections import Counter

from gradepoint.config.document import Target
from gradepoint.routing.choice import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    Circuit,
    CircuitState,
    TargetView,
    choose_subset,
    choose_target,
)


def make_targets(count: int, domains: int = 5) -> list[Target]:
    """Return *count* targets spread over failure domains."""
    return [
        Target(f"t{n}", f"http://10.0.0.1:{n + 1}", f"d{n % domains}", ["m"]) for n in range(count)
    ]


def make_views(count: int) -> list[TargetView]:
    """Return views of idle targets."""
    return [TargetView(f"t{n}", 16, "d") for n in range(count)]


def test_subset_spreads_over_domains_and_daemons() -> None:
    targets = make_targets(40)
    users: Counter[str] = Counter()
    for daemon in range(400):
        subset = choose_subset(f"daemon-{daemon}", targets, 8)
        assert len({target.failure_domain for target in subset}) == 5
        users.update(target.name for target in subset)
    assert min(users.values()) > 40
    assert max(users.values()) < 130


def test_subset_changes_little_when_a_target_is_removed() -> None:
    targets = make_targets(40)
    before = {target.name for target in choose_subset("d1", targets, 8)}
    left = [target for target in targets if target.name != min(before)]
    after = {target.name for target in choose_subset("d1", left, 8)}
    assert len(before & after) >= 6


def test_prefix_leaves_its_target_if_that_is_overloaded_or_slow() -> None:
    rng = random.Random(1)
    views = make_views(6)
    first = choose_target(views, "prefix", 0.0, rng, 64)
    assert first is not None
    assert all(choose_target(views, "prefix", 0.0, rng, 64) is first for _ in range(20))
    first.in_flight = 4
    assert choose_target(views, "prefix", 0.0, rng, 64) is not first
    first.in_flight = 0
    for view in views:
        view.first_token_s = 0.1
    first.first_token_s = 1.0
    assert choose_target(views, "prefix", 0.0, rng, 64) is not first


def test_failing_target_is_ejected_then_probed_by_one_call() -> None:
    circuit = Circuit()
    for _ in range(FAILURES_TO_EJECT):
        assert circuit.admits(0.0)
        circuit.failed(0.0)
    assert circuit.state(0.0) is CircuitState.OPEN
    later = FIRST_EJECTION_S + 0.1
    assert circuit.state(later) is CircuitState.HALF_OPEN
    circuit.begin(later)
    assert not circuit.admits(later)
    circuit.failed(later)
    assert not circuit.admits(later + FIRST_EJECTION_S)
    circuit.succeeded()
    assert circuit.state(later) is CircuitState.CLOSED


def test_no_target_is_chosen_beyond_its_in_flight_limit() -> None:
    views = make_views(2)
    for view in views:
        view.in_flight = 4
    assert choose_target(views, "p", 0.0, random.Random(1), 4) is None
