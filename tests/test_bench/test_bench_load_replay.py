"""Tests of admission in the replay of loads with fixed seeds; bounds from the requirements."""

from __future__ import annotations

import pytest

from bench.load_replay import SCENARIOS, Tally, Way, replay

SEEDS = (1, 2)
MANY_SEEDS = (1, 2, 3, 4, 5, 6)
"""Seeds where small differences count: in deployment A, the late calls of two seeds differ by up to
2 per 100."""


def run(name: str, way: Way, part: str = "whole", seeds: tuple[int, ...] = SEEDS) -> list[Tally]:
    """Return the outcomes of all seeds."""
    return [getattr(replay(SCENARIOS[name], way, seed), part) for seed in seeds]


def worth(tallies: list[Tally]) -> float:
    """Return the sum of the mean worth of a call."""
    return sum(tally.worth for tally in tallies)


@pytest.mark.parametrize("name", ["A", "B"])
def test_no_call_refused_where_targets_have_room(name: str) -> None:
    on, off = (run(name, way, seeds=MANY_SEEDS) for way in (Way.ON, Way.OFF))
    assert not sum(tally.refused for tally in on)
    calls = sum(tally.calls for tally in on)
    # Where no call is refused, half of a call per 100 is noise.
    assert sum(tally.late for tally in on) <= sum(tally.late for tally in off) + 0.005 * calls


def test_no_more_late_calls_on_the_first_two_seeds() -> None:
    # The check above with the seeds it was first written for. An earlier form of admission did not
    # pass it: 54 more of 9,678 calls were late, which is more than half of a call per 100.
    on, off = run("A", Way.ON), run("A", Way.OFF)
    calls = sum(tally.calls for tally in on)
    assert sum(tally.late for tally in on) <= sum(tally.late for tally in off) + 0.005 * calls


@pytest.mark.parametrize("name", ["A, a third gone", "B, a third gone"])
def test_refusals_serve_more_calls_in_time_than_late_answers(name: str) -> None:
    on, off = run(name, Way.ON), run(name, Way.OFF)
    assert not sum(tally.refused_twice for tally in on)
    # A refusal is of use only if its caller is then served in time.
    assert 2 * sum(tally.returned for tally in on) > sum(tally.refused for tally in on)
    # Refused callers need not be in time at first, but no others may be late instead.
    late_on, late_off = (sum(tally.late for tally in row) for row in (on, off))
    assert 2 * late_on < late_off
    assert worth(on) > worth(off)


@pytest.mark.parametrize("name", ["A, after an outage", "B, after an outage"])
def test_late_calls_of_an_outage_displace_fewer_fresh_calls(name: str) -> None:
    on, off = (run(name, way, "after") for way in (Way.ON, Way.OFF))
    assert sum(tally.late for tally in on) < sum(tally.late for tally in off)
    assert worth(on) > worth(off)
