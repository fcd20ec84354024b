"""Tests of the delays of items under which targets crash."""

from __future__ import annotations

import random

import pytest

from gradepoint.ids import SuspectKey, TargetNumber
from gradepoint.routing.crash_backoff import (
    EARLY_CRASH_S,
    RETRY_DELAY_S,
    TRIAL_LIFETIME_S,
    CrashBackoff,
)

ITEMS = [(SuspectKey(number), SuspectKey(100 + number % 3)) for number in range(8)]
"""Keys of items, each with a part that other items share."""


@pytest.mark.parametrize("seed", range(200))
def test_any_item_may_start_soon_after_any_history_of_crashes(seed: int) -> None:
    rng, backoff, now = random.Random(seed), CrashBackoff(), 0.0
    for number in range(rng.randint(1, 200)):
        now += rng.choice([0.01, 0.1, 0.5, 2.0])
        keys = rng.choice(ITEMS)
        if not backoff.may_start(keys, now):
            continue
        backoff.note_start(keys, now)
        end = now + rng.choice([0.01, 0.1, EARLY_CRASH_S + 1.0])
        if rng.random() < 0.8:
            backoff.note_crash(TargetNumber(number), keys, now, end)
        elif end - now >= EARLY_CRASH_S:
            backoff.note_running(keys, end)
        backoff.note_end(keys, now)
        now = end
    now += RETRY_DELAY_S + 0.001
    for keys in ITEMS:
        assert backoff.may_start(keys, now)
        backoff.note_start(keys, now)
        backoff.note_running(keys, now + EARLY_CRASH_S)
        backoff.note_end(keys, now)
    assert all(backoff.may_start(keys, now + EARLY_CRASH_S) for keys in ITEMS)


def test_items_with_a_crashing_part_start_one_after_the_other() -> None:
    backoff, now = CrashBackoff(), 0.0
    for number, keys in enumerate(ITEMS[0::3]):
        backoff.note_crash(TargetNumber(number), keys, now, now + 0.1)
    first, second = ITEMS[0], ITEMS[3]
    assert backoff.may_start(first, 1.0) and backoff.may_start(ITEMS[1], 1.0)
    backoff.note_start(first, 1.0)
    assert not backoff.may_start(second, 1.1) and backoff.may_start(ITEMS[1], 1.1)
    backoff.note_crash(TargetNumber(9), first, 1.0, 1.1)
    backoff.note_end(first, 1.0)
    assert not backoff.may_start(second, 1.1 + RETRY_DELAY_S / 2)
    assert backoff.may_start(second, 1.11 + RETRY_DELAY_S)


def test_late_crash_does_not_count() -> None:
    backoff = CrashBackoff()
    for number in range(9):
        backoff.note_crash(TargetNumber(number), ITEMS[0], 0.0, EARLY_CRASH_S)
    assert backoff.may_start(ITEMS[0], EARLY_CRASH_S)


def test_trial_that_never_ends_holds_nothing_back() -> None:
    backoff = CrashBackoff()
    for number in range(2):
        backoff.note_crash(TargetNumber(number), ITEMS[0], 0.0, 0.1)
    backoff.note_start(ITEMS[0], 1.0)
    assert not backoff.may_start(ITEMS[3], 1.1)
    assert backoff.may_start(ITEMS[3], 1.11 + TRIAL_LIFETIME_S)
