"""Tests of the paces, expected delays and choices of the target model."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.ids import TargetNumber
from gradepoint.routing.target_model import (
    COUNTED_S,
    MAX_COUNT_AGE_S,
    MAX_PACE,
    MAX_SAMPLE_AGE_S,
    MIN_PACE,
    PREEMPTION_S,
    SAMPLE_S,
    GapHistories,
    GapHistory,
    TargetLoad,
    choose_load,
    compute_paces,
    estimate_delay_s,
)

FAST, USUAL, SLOW, NEW = (TargetNumber(number) for number in range(4))
COUNTS = st.tuples(st.integers(0, 20), st.integers(0, 20), st.integers(1, 16))


def test_pace_is_relative_to_the_median_and_bounded() -> None:
    assert compute_paces({FAST: 200, USUAL: 320, SLOW: 640}) == {FAST: 1.6, USUAL: 1.0, SLOW: 0.5}
    assert compute_paces({FAST: 1, USUAL: 330, SLOW: 99_999}) == {
        FAST: MAX_PACE,
        USUAL: 1.0,
        SLOW: MIN_PACE,
    }
    assert compute_paces({}) == {}


@given(st.lists(st.floats(0.93, 1.07), min_size=1, max_size=12))
def test_targets_that_differ_by_noise_count_as_alike(noise: list[float]) -> None:
    gaps = {TargetNumber(index): round(330 * factor) for index, factor in enumerate(noise)}
    assert set(compute_paces(gaps).values()) == {1.0}


@given(st.lists(COUNTS, min_size=1, max_size=4), st.floats(MIN_PACE, MAX_PACE))
def test_targets_of_equal_pace_are_chosen_by_load_alone(
    counts: list[tuple[int, int, int]], pace: float
) -> None:
    loads = [TargetLoad(*numbers, pace) for numbers in counts]
    shares = [(calls + items) / slots for calls, items, slots in counts]
    assert choose_load(loads, 0.7) == shares.index(min(shares))


def test_expected_delay_counts_preemption_and_the_calls_ahead() -> None:
    assert estimate_delay_s(TargetLoad(5, 2, 8, 0.5), 0.7) == 0.0
    assert estimate_delay_s(TargetLoad(5, 3, 8, 0.5), 0.7) == PREEMPTION_S
    assert estimate_delay_s(TargetLoad(8, 0, 8, 0.5), 0.8) == pytest.approx(0.2)
    assert estimate_delay_s(TargetLoad(9, 1, 8, 0.5), 0.8) == pytest.approx(0.4 + PREEMPTION_S)


def test_slow_target_with_a_free_slot_is_preferred_to_a_full_fast_one() -> None:
    loads = [TargetLoad(8, 0, 8, 1.6), TargetLoad(7, 0, 8, 0.6)]
    assert choose_load(loads, 0.7) == 1
    assert choose_load([TargetLoad(4, 0, 8, 0.5), TargetLoad(6, 0, 8, 1.6)], 0.7) == 1


def feed(gaps: GapHistories, target: TargetNumber, begin: float, end: float, gap_ms: int) -> None:
    """Count the events of four answers of a target in each sample from *begin* to *end*."""
    for step in range(round((end - begin) / SAMPLE_S)):
        now = begin + (step + 1) * SAMPLE_S
        gaps.add({target: (round(4000 * SAMPLE_S / gap_ms), round(4000 * SAMPLE_S))}, now)
        gaps.close(now)


def test_measurements_expire_and_leave_no_state() -> None:
    gaps = GapHistories()
    feed(gaps, USUAL, 0.0, 0.2, 25)
    assert gaps.gaps == {}, "a short time is no measurement"
    feed(gaps, USUAL, 0.2, 3.0, 25)
    feed(gaps, SLOW, 3.0, 2.4 + MAX_SAMPLE_AGE_S, 100)
    assert gaps.gaps == {USUAL: 250, SLOW: 1000}, "no new measurement is no evidence"
    feed(gaps, SLOW, 2.4 + MAX_SAMPLE_AGE_S, 4.0 + MAX_SAMPLE_AGE_S, 100)
    assert set(gaps.gaps) == set(gaps.by_target) == {SLOW}


def test_memory_of_samples_is_bounded() -> None:
    gaps = GapHistories()
    feed(gaps, USUAL, 0.0, 60.0, 25)
    assert len(gaps.by_target[USUAL].samples) <= COUNTED_S / SAMPLE_S + 1


def test_counts_of_a_former_target_are_forgotten_although_their_sample_is_incomplete() -> None:
    """Guards against one history for each former incarnation that an aggregator never drops."""
    histories = GapHistories()
    histories.add({USUAL: (3, 100)}, 0.0)
    histories.close(SAMPLE_S)
    assert histories.by_target
    histories.close(MAX_SAMPLE_AGE_S + SAMPLE_S)
    assert not histories.by_target


def test_counts_from_before_a_break_do_not_count_as_the_present_gap() -> None:
    """A host that aggregates again after a minute would take old counts for a present pause."""
    histories = GapHistories()
    histories.add({USUAL: (1, 4_000)}, 0.0)
    histories.add({USUAL: (10, 330)}, 60.0)
    histories.close(60.0)
    assert [sample.gap for sample in histories.by_target[USUAL].samples] == [330]


def test_incomplete_sample_of_a_slow_target_counts_as_long_as_events_arrive() -> None:
    """Guards against a target that is too slow to complete a sample and then counts as usual."""
    history = GapHistory(gap=4_000)
    for step in range(24):
        now = step * MAX_COUNT_AGE_S
        history.add(step % 2, 250, now)
        history.close(now)
        assert history.samples or history.ms >= min(250 * (step + 1), MAX_SAMPLE_AGE_S * 1000)
