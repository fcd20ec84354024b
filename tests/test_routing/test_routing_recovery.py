"""Decisions of a host that does not know what the other hosts have in flight."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.routing.recovery import (
    CROWDED_OCCUPANCY,
    MAX_ITEM_WAIT_S,
    OWN_PART_FACTOR,
    REFUSAL_MEMORY_S,
    ItemStarts,
    RecoveryLimits,
    choose_turn,
    is_occupancy_known,
)


@pytest.mark.parametrize(("slots", "hosts"), [(240, 74), (360, 68), (40, 300), (8, 1), (8, 0)])
def test_hosts_that_know_nothing_of_each_other_use_all_slots_and_not_many_more(
    slots: int, hosts: int
) -> None:
    # Without the limit, hosts that restart together at a peak send every call at once.
    limits = RecoveryLimits(random.Random(1).random)
    admitted = 0
    while limits.may_admit(admitted, slots, hosts):
        admitted += 1
    count = max(1, hosts)
    assert admitted * count >= slots
    assert admitted == 4 or (admitted - 1) * count < OWN_PART_FACTOR * slots


def test_refused_callers_return_at_different_times_in_which_digests_arrive() -> None:
    limits = RecoveryLimits(random.Random(1).random)
    times = [limits.retry_after_s() for _ in range(100)]
    assert 0.3 <= min(times) < 0.35 and 0.55 < max(times) <= 0.6


@pytest.mark.parametrize(
    ("digest_age_s", "content_age_s", "covered", "known"),
    [
        (0.4, 0.8, 0.5, True),
        (0.6, 0.8, 1.0, False),
        # A digest that waited in the socket's buffer during a suspension.
        (0.0, 2.0, 1.0, False),
        (0.0, float("inf"), 1.0, False),
        # An aggregator that has just started.
        (0.0, 0.1, 0.4, False),
    ],
)
def test_old_and_partial_digests_do_not_tell_occupancy(
    digest_age_s: float, content_age_s: float, covered: float, known: bool
) -> None:
    assert is_occupancy_known(digest_age_s, content_age_s, covered) is known


def test_items_wait_for_knowledge_but_not_for_ever() -> None:
    starts = ItemStarts()
    asked = [step * 0.03 for step in range(200)]
    first = next(now for now in asked if starts.may_start(now, known=False))
    assert MAX_ITEM_WAIT_S <= first < MAX_ITEM_WAIT_S + 0.05
    assert starts.may_start(first + 0.1, known=True)
    assert not starts.may_start(first + 0.2, known=False)
    # Not asked for a minute, in which occupancy was known.
    assert not starts.may_start(first + 60.0, known=False)


def test_items_wait_after_a_refusal_where_calls_take_the_slots() -> None:
    starts = ItemStarts()
    starts.note_refusal(10.0)
    assert starts.are_held_back(10.0 + REFUSAL_MEMORY_S * 0.9, lambda: CROWDED_OCCUPANCY)
    assert starts.are_held_back(10.0 + REFUSAL_MEMORY_S * 0.9, lambda: math.inf)
    assert not starts.are_held_back(10.0 + REFUSAL_MEMORY_S, lambda: math.inf)
    # A host that refuses a call now and then must not stop the items of the whole fleet.
    assert not starts.are_held_back(10.0, lambda: CROWDED_OCCUPANCY * 0.9)


@given(st.integers(1, 80), st.integers(1, 60), st.integers(1, 8))
def test_hosts_that_take_targets_in_turn_use_them_evenly(
    hosts: int, targets: int, calls: int
) -> None:
    # Targets drawn at random got up to twice their slots in the first calls after an outage.
    counts = Counter(
        choose_turn(position, hosts, sent, targets)
        for position in range(hosts)
        for sent in range(calls)
    )
    used = [counts[index] for index in range(targets)]
    assert max(used) - min(used) <= calls + 1
    # A host with more calls than the others spreads them too.
    own = {choose_turn(0, hosts, sent, targets) for sent in range(targets)}
    assert len(own) == targets
