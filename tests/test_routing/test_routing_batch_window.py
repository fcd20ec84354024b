"""The batch window shrinks at once, refills fast and never takes slots that online calls need."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gradepoint.routing.batch_window import BatchWindow, LoadReport
from gradepoint.routing.notices import NOTICE_LIFETIME_S, InFlightNotice, InFlightTable

SLOTS = 48


def idle(online: int = 0) -> LoadReport:
    """Return a load report with some online calls and no batch."""
    return LoadReport(online, 0, online, 0, 0.1)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    preference=st.floats(0, 1),
    steps=st.lists(st.tuples(st.integers(0, SLOTS), st.integers(0, SLOTS)), max_size=60),
)
def test_batch_never_holds_a_slot_that_online_calls_need(
    preference: float, steps: list[tuple[int, int]]
) -> None:
    window = BatchWindow(SLOTS, preference)
    now = 0.0
    for online, in_flight in steps:
        now += 0.05
        decision = window.observe(idle(online), in_flight, now)
        left = in_flight - decision.cancel
        assert left + online <= SLOTS or left == 0
        assert 0 <= decision.limit <= SLOTS - online
        assert decision.cancel >= 0


def test_window_shrinks_at_the_first_report_of_a_burst() -> None:
    window = BatchWindow(SLOTS, 0.5)
    window.observe(idle(2), 40, 0.0)
    decision = window.observe(idle(40), 40, 0.05)
    assert decision.cancel == 40 - (SLOTS - 40)


def test_window_refills_within_two_seconds() -> None:
    window = BatchWindow(SLOTS, 0.0)
    in_flight = 0
    now = 0.0
    while now < 2.0:
        now += 0.05
        decision = window.observe(idle(), in_flight, now)
        in_flight = min(decision.limit, in_flight + decision.starts)
    assert in_flight >= 0.9 * SLOTS


def test_entries_counts_replace_a_late_report() -> None:
    table = InFlightTable()
    late_report = idle(0)
    assert table.merge("t", late_report, 0.0) == late_report
    table.take(InFlightNotice("e1", {"t": 5}), 0.0)
    table.take(InFlightNotice("e2", {"t": 3, "u": 1}), 0.0)
    assert table.merge("t", late_report, 0.1).online_running == 8
    table.take(InFlightNotice("e1", {"t": 0}), 0.2)
    assert table.merge("t", late_report, 0.3).online_running == 3
    assert table.merge("t", late_report, NOTICE_LIFETIME_S + 1.0) == late_report
