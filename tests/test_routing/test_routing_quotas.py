"""Quotas shared by many hosts: grants never exceed the tolerated excess, and calls that fit the
quota are granted."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.quota_replay import HOT_PERIODS, LOADS, Fault, FaultPeriod, Load, replay
from gradepoint.ids import Incarnation, OrganisationNumber
from gradepoint.routing.host_quotas import HostQuotas, RoomReport
from gradepoint.routing.quota_ledger import INITIAL_ROOM_SHARE, QuotaLedger
from gradepoint.routing.quotas import (
    ROOM_REPORT_LIFETIME_S,
    Quota,
    QuotaTerms,
    Window,
    compute_allowance,
)

HOSTS = 24
ORGANISATION = OrganisationNumber(1)
QUOTA = Quota(10.0, 10.0)
TERMS = QuotaTerms(5.0, 0.1, 20.0)
INCARNATIONS = [Incarnation(f"h{number}") for number in range(4)]


@given(
    rate=st.floats(0.1, 1000.0),
    burst=st.floats(0.0, 2000.0),
    excess=st.floats(0.0, 1.0),
    slack=st.floats(4.0, 100.0),
    window_s=st.floats(0.1, 60.0),
)
def test_allowance_lies_between_quota_and_tolerated_excess(
    rate: float, burst: float, excess: float, slack: float, window_s: float
) -> None:
    allowance = compute_allowance(Quota(rate, burst), QuotaTerms(window_s, excess, slack))
    within = rate * window_s + burst
    tolerated = within * (1 + excess) + slack
    assert min(within, tolerated * 0.75) <= allowance.max_calls + 1e-9
    assert allowance.max_calls <= tolerated


@pytest.mark.parametrize("load", ["usual", "hot", "hot, few hosts"])
def test_healthy_hosts_grant_the_quota_and_not_more_than_tolerated(load: str) -> None:
    result = replay("told", LOADS[load], 1)
    assert result.used <= 1.0
    assert result.share >= 0.95


@pytest.mark.parametrize("load", ["a third cut off", "a third suspended", "all restarted"])
def test_grants_stay_tolerated_while_hosts_are_faulty(load: str) -> None:
    assert replay("told", LOADS[load], 1).used <= 1.0


def test_equal_shares_leave_most_of_a_quota_unused() -> None:
    """Dividing a quota equally wastes it because an organisation's callers reach few of many
    hosts."""
    load = LOADS["usual"]
    assert replay("equal", load, 1).share < 0.5 < replay("told", load, 1).share


def draw_faults(rng: random.Random) -> tuple[FaultPeriod, ...]:
    """Return consecutive and overlapping faults of random hosts."""
    rows = []
    for _ in range(rng.randint(1, 4)):
        fault = rng.choice(list(Fault))
        share = rng.choice((0.05, 0.2, 0.35, 0.5, 1.0 if fault is Fault.RESTART else 0.6))
        hosts = frozenset(rng.sample(range(HOSTS), max(1, round(HOSTS * share))))
        begin = rng.uniform(2.0, 10.0)
        rows.append(FaultPeriod(fault, hosts, begin, begin + rng.uniform(0.3, 5.0)))
    return tuple(rows)


@pytest.mark.parametrize("seed", range(12))
def test_random_cuts_restarts_and_suspensions_stay_tolerated(seed: int) -> None:
    rng = random.Random(seed)
    load = Load(
        hosts=HOSTS,
        usual=(20.0, 5.0, 1.0, 0.3),
        hot=tuple(
            (name, factor, begin - 4.0, end - 6.0) for name, factor, begin, end in HOT_PERIODS
        ),
        hosts_each=rng.choice((2, 6, 12)),
        length_s=14.0,
        fault_periods=draw_faults(rng),
    )
    assert replay("told", load, seed).used <= 1.0


def make_host(reports: list[RoomReport], *, holds_lease: bool = True) -> HostQuotas:
    """Return a host that knows of four hosts."""
    return HostQuotas(lambda: reports, lambda: holds_lease, lambda: 4, lambda: 0.0)


def count_grants(host: HostQuotas, now: float, most: int = 100) -> int:
    """Return how many calls a host grants at one moment."""
    allowance = compute_allowance(QUOTA, TERMS)
    return next(
        (number for number in range(most) if host.admit(ORGANISATION, allowance, now) is not None),
        most,
    )


def test_room_report_expires() -> None:
    """A host that was suspended or cut off must not grant calls by an outdated report."""
    reports = [RoomReport({ORGANISATION: 9.0}, 100.0, 100.0)]
    assert count_grants(make_host(reports), 100.0) == 9
    assert count_grants(make_host(reports), 100.0 + ROOM_REPORT_LIFETIME_S + 0.01) <= 1


def test_room_report_that_covers_few_hosts_is_ignored() -> None:
    reports = [RoomReport({}, 100.0, 100.0, heard_share=0.1)]
    assert count_grants(make_host(reports), 100.0) <= 1


def test_isolated_host_keeps_its_average_rate_while_listed() -> None:
    def count_isolated_grants(*, holds_lease: bool) -> int:
        reports = [RoomReport({}, 0.0, 0.0)]
        host = make_host(reports, holds_lease=holds_lease)
        allowance = compute_allowance(QUOTA, TERMS)
        for number in range(100):
            reports[0] = RoomReport({}, number / 5, number / 5)
            assert host.admit(ORGANISATION, allowance, number / 5) is None
        reports.clear()
        return sum(
            host.admit(ORGANISATION, allowance, 20.0 + number / 20) is None for number in range(200)
        )

    assert 30 <= count_isolated_grants(holds_lease=True) <= 60
    assert count_isolated_grants(holds_lease=False) <= 5


def test_refusal_tells_when_to_retry_with_jitter() -> None:
    reports = [RoomReport({ORGANISATION: -1.0}, 100.0, 100.0)]
    allowance = compute_allowance(QUOTA, TERMS)
    without_jitter, with_jitter = make_host(reports), make_host(reports)
    with_jitter.spread = lambda: 1.0
    refused = [host.admit(ORGANISATION, allowance, 100.0) for host in (without_jitter, with_jitter)]
    waits = [row.retry_after_s for row in refused if row is not None]
    assert waits[0] == pytest.approx(2.0 / allowance.calls_per_s)
    assert waits[1] == pytest.approx(waits[0] * 1.5)


def make_ledger(listed: list[Incarnation], quota: Quota = QUOTA) -> QuotaLedger:
    """Return a ledger that has heard all of *listed*."""
    ledger = QuotaLedger(lambda _: compute_allowance(quota, TERMS), lambda _: None, lambda: listed)
    for incarnation in listed:
        ledger.take(incarnation, {ORGANISATION: 0}, 0.0)
    ledger.refresh_listed(0.0)
    ledger.aggregating_since = float("-inf")
    return ledger


def test_ledger_reserves_possible_grants_of_silent_hosts() -> None:
    allowance = compute_allowance(QUOTA, TERMS)
    ledger = make_ledger(INCARNATIONS)
    ledger.take(INCARNATIONS[0], {ORGANISATION: 60}, 1.0)
    assert ledger.find_low_rooms(1.0)[ORGANISATION] == pytest.approx(allowance.max_calls - 60)
    ledger.note_silent(INCARNATIONS[3], 1.0)
    ledger.refresh_listed(1.0)
    # The silent host's equal share of the rate: two seconds of silence and one until detection.
    left = allowance.max_calls - 60 - allowance.equal_share_per_s(4) * 3.0
    assert ledger.find_low_rooms(3.0)[ORGANISATION] == pytest.approx(left)


def test_quota_is_restored_in_each_window() -> None:
    allowance = compute_allowance(QUOTA, TERMS)
    ledger = make_ledger(INCARNATIONS)
    for second in range(20):
        count = 60 * (second // 5 + 1)
        if second % 5 == 0:
            ledger.take(INCARNATIONS[0], {ORGANISATION: count}, float(second))
            assert ledger.find_low_rooms(float(second))[ORGANISATION] == pytest.approx(
                allowance.max_calls - 60
            )


def test_restarted_count_after_idle_time_gives_nothing_back() -> None:
    ledger = make_ledger(INCARNATIONS)
    ledger.take(INCARNATIONS[0], {ORGANISATION: 60}, 1.0)
    for second in range(1, 101):
        ledger.refresh_listed(float(second))
    ledger.take(INCARNATIONS[0], {ORGANISATION: 12}, 100.0)
    assert ledger.windows[ORGANISATION].total >= 0


def test_window_drops_older_grants() -> None:
    window = Window()
    window.add(3, 0.0)
    window.add(-1, 2.0)
    assert [window.count(5.0, now) for now in (4.9, 5.0, 7.0)] == [2, -1, 0]


def test_intermittent_room_reports_do_not_refill_the_isolated_bucket() -> None:
    reports: list[RoomReport] = []
    host = make_host(reports, holds_lease=False)
    allowance = compute_allowance(QUOTA, TERMS)
    granted = 0
    for number in range(40):
        reports.clear()
        granted += host.admit(ORGANISATION, allowance, number / 4) is None
        reports.append(RoomReport({ORGANISATION: -5.0}, number / 4, number / 4))
        granted += host.admit(ORGANISATION, allowance, number / 4) is None
    assert granted <= 1 + 10.0 * allowance.isolated_per_s / 4


def test_new_aggregator_starts_from_reported_room() -> None:
    """A new aggregator must not refuse organisations below their limit; all hosts may rely on it at
    once."""
    allowance = compute_allowance(QUOTA, TERMS)
    reports = [RoomReport({}, 0.0, 0.0)]
    host = make_host(reports)
    ledger = QuotaLedger(
        lambda _: allowance,
        lambda _: host.find_reported_room(ORGANISATION, allowance, now),
        lambda: INCARNATIONS,
    )
    now = 0.0
    for incarnation in INCARNATIONS:
        ledger.take(incarnation, {ORGANISATION: 0}, now)
    ledger.refresh_listed(now)
    # A burst of a sixth of the quota right after the change.
    ledger.take(INCARNATIONS[0], {ORGANISATION: 10}, now)
    reports[0] = RoomReport(ledger.find_low_rooms(now), now, now)
    assert host.admit(ORGANISATION, allowance, now) is None


def test_host_that_knows_no_hosts_grants_no_isolated_rate() -> None:
    host = HostQuotas(list, lambda: False, lambda: 0, lambda: 0.0)
    allowance = compute_allowance(QUOTA, TERMS)
    assert (
        sum(host.admit(ORGANISATION, allowance, float(second)) is None for second in range(60)) == 1
    )


def test_hosts_that_were_never_heard_take_no_room_of_the_time_before_the_start() -> None:
    # After a restart of all hosts, the aggregator reserved a second of grants for each listed host
    # that it had not heard yet, on top of the use that it assumes of unknown windows.
    allowance = compute_allowance(QUOTA, TERMS)
    listed = [Incarnation(f"h{number}:x") for number in range(60)]
    ledger = QuotaLedger(lambda _: allowance, lambda _: None, lambda: listed)
    ledger.refresh_listed(0.0)
    for incarnation in listed[:31]:
        ledger.take(incarnation, {ORGANISATION: 0}, 0.05)
    ledger.refresh_listed(0.1)
    ledger.take(listed[0], {ORGANISATION: 1}, 0.1)
    room = ledger.find_low_rooms(0.15)[ORGANISATION]
    assert 0 < room < allowance.max_calls * INITIAL_ROOM_SHARE
