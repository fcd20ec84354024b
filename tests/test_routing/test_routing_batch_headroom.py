"""Tests of how many slots of a target batch items leave free for calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.crest_replay import SHAPES, STRATEGIES, replay
from gradepoint.ids import Incarnation, TargetNumber
from gradepoint.peers.aggregation import choose_hosts_to_preempt
from gradepoint.routing.batch_headroom import (
    MAX_OBSERVATION_GAP_S,
    RATE_WINDOW_S,
    CallArrivals,
    find_preemption_limit,
    find_start_limit,
)

ONE, TWO = TargetNumber(1), TargetNumber(2)
SLOTS = st.integers(1, 64)
RATES = st.none() | st.floats(0, 1000)


@given(SLOTS, RATES)
def test_an_idle_target_takes_an_item_that_is_then_kept(slots: int, rate: float | None) -> None:
    """Guards against batch that starves, and against items that are preempted without a call."""
    assert 1 <= find_start_limit(slots, rate) <= find_preemption_limit(slots, rate) <= slots


@given(SLOTS, st.floats(0, 1000), st.floats(0, 1000))
def test_headroom_rises_with_the_rate_of_calls(slots: int, one: float, two: float) -> None:
    low, high = sorted((one, two))
    for find_limit in (find_start_limit, find_preemption_limit):
        assert find_limit(slots, high) <= find_limit(slots, low)
        assert find_limit(slots, high) >= slots - max(1, slots // 4)


@given(SLOTS, RATES, st.integers(0, 200), st.integers(0, 20))
def test_no_more_items_are_preempted_than_the_surplus(
    slots: int, rate: float | None, load: int, holders: int
) -> None:
    limit = find_preemption_limit(slots, rate)
    hosts = {Incarnation(f"h{number}"): number % 3 for number in range(holders)}
    chosen = choose_hosts_to_preempt(load, limit, ONE, hosts)
    assert len(chosen) == min(holders, max(0, load - limit))


def test_rate_is_the_mean_of_the_targets_within_the_window() -> None:
    arrivals = CallArrivals()
    arrivals.observe({}, {}, 0.0)
    assert arrivals.find_rate([ONE], RATE_WINDOW_S / 2) is None
    arrivals.observe({ONE: 3, TWO: 2}, {ONE: 5, TWO: 1}, 1.0)
    assert arrivals.find_rate([ONE, TWO], 1.0) == pytest.approx(1 / RATE_WINDOW_S)
    assert arrivals.find_rate([TWO], 1.0) == 0.0
    assert arrivals.find_rate([], 1.0) is None
    assert arrivals.find_rate([ONE, TWO], 1.1 + RATE_WINDOW_S) == 0.0
    assert not arrivals.counts and not arrivals.recent


def test_rate_is_unknown_when_a_host_aggregates_again() -> None:
    """A rate of 0 from an empty window would let items fill all slots at a peak."""
    arrivals = CallArrivals()
    arrivals.observe({}, {ONE: 1}, 0.0)
    again = 2 * MAX_OBSERVATION_GAP_S
    arrivals.observe({}, {}, again)
    assert arrivals.find_rate([ONE], again + 0.9 * RATE_WINDOW_S) is None
    arrivals.observe({}, {ONE: 1}, again + RATE_WINDOW_S)
    assert arrivals.find_rate([ONE], again + 1.1 * RATE_WINDOW_S) == pytest.approx(
        1 / RATE_WINDOW_S
    )


@pytest.mark.parametrize("shape", ["A", "A, a sixth gone", "B", "B, a sixth gone"])
def test_headroom_lowers_late_calls_and_keeps_due_times(shape: str) -> None:
    """Items must meet their due times as often as without headroom, but for the noise of seeds."""
    fixed, by_rate = (
        [replay(SHAPES[shape], STRATEGIES[way], seed) for seed in (1, 2, 3)]
        for way in ("fixed, host's choice", "by rate")
    )
    late = [sum(row.late for row in rows) for rows in (fixed, by_rate)]
    done = [sum(row.done_in_time for row in rows) for rows in (fixed, by_rate)]
    assert late[1] <= 0.9 * late[0]
    assert done[1] >= 0.99 * done[0]
