"""Decides which batch items can still end before their job is due."""

from __future__ import annotations

from gradepoint.routing.item_times import LISTING_S, ItemTimes


def test_item_counts_as_late_while_its_rest_no_longer_fits() -> None:
    # In a backlog, items that were started too late for their due time took the slots of others.
    times = ItemTimes()
    times.note_end(events=100, run_events=50, run_s=2.5)
    assert times.estimate_remaining_s(0) == 5.0
    assert times.can_end_in_time(0, 5.0 + LISTING_S)
    assert not times.can_end_in_time(0, 4.9 + LISTING_S)
    # An item that has come far still fits.
    assert times.can_end_in_time(90, 0.5 + LISTING_S)


def test_only_the_due_time_counts_until_an_item_has_ended() -> None:
    times = ItemTimes()
    assert times.can_end_in_time(0, 0.1)
    assert not times.can_end_in_time(0, -0.1)


def test_item_longer_than_usual_is_not_late_before_its_due_time() -> None:
    times = ItemTimes()
    times.note_end(events=100, run_events=100, run_s=5.0)
    assert times.can_end_in_time(150, 0.1)


def test_averages_follow_the_items() -> None:
    times = ItemTimes()
    times.note_end(events=100, run_events=100, run_s=5.0)
    for _ in range(40):
        times.note_end(events=200, run_events=100, run_s=10.0)
    assert 190 < times.events <= 200
    assert 0.09 < times.seconds_per_event <= 0.1
    times.note_end(events=200, run_events=0, run_s=1.0)
    assert times.events <= 200
