"""Quotas shared by a fleet: never above what is tolerated, and what fits is served."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.quota_replay import HOT, LOADS, Fault, Load, Trouble, replay
from gradepoint.ids import Incarnation, OrganisationNumber
from gradepoint.routing.host_quotas import HostQuotas, Word
from gradepoint.routing.quota_ledger import QuotaLedger
from gradepoint.routing.quotas import WORD_S, Quota, QuotaTerms, Window, allow

HOSTS = 24
ONE = OrganisationNumber(1)
QUOTA = Quota(10.0, 10.0)
TERMS = QuotaTerms(5.0, 0.1, 20.0)
LIVES = [Incarnation(f"h{number}") for number in range(4)]


@given(
    rate=st.floats(0.1, 1000.0),
    burst=st.floats(0.0, 2000.0),
    excess=st.floats(0.0, 1.0),
    slack=st.floats(4.0, 100.0),
    window_s=st.floats(0.1, 60.0),
)
def test_what_is_granted_on_purpose_lies_between_quota_and_tolerance(
    rate: float, burst: float, excess: float, slack: float, window_s: float
) -> None:
    allowance = allow(Quota(rate, burst), QuotaTerms(window_s, excess, slack))
    within = rate * window_s + burst
    tolerated = within * (1 + excess) + slack
    assert min(within, tolerated * 0.75) <= allowance.most + 1e-9
    assert allowance.most <= tolerated


@pytest.mark.parametrize("load", ["usual", "hot", "hot, few hosts"])
def test_a_healthy_fleet_serves_what_fits_and_no_more(load: str) -> None:
    told = replay("told", LOADS[load], 1)
    assert told.used <= 1.0
    assert told.share >= 0.95


@pytest.mark.parametrize("load", ["a third cut off", "a third suspended", "all restarted"])
def test_a_fleet_in_trouble_stays_below_what_is_tolerated(load: str) -> None:
    assert replay("told", LOADS[load], 1).used <= 1.0


def test_equal_parts_leave_most_of_a_quota_unused() -> None:
    """An organisation's callers reach a few hosts of many."""
    load = LOADS["usual"]
    assert replay("equal", load, 1).share < 0.5 < replay("told", load, 1).share


def draw_troubles(rng: random.Random) -> tuple[Trouble, ...]:
    """Return faults of random hosts, in series and overlapping."""
    rows = []
    for _ in range(rng.randint(1, 4)):
        fault = rng.choice(list(Fault))
        share = rng.choice((0.05, 0.2, 0.35, 0.5, 1.0 if fault is Fault.RESTART else 0.6))
        hosts = frozenset(rng.sample(range(HOSTS), max(1, round(HOSTS * share))))
        begin = rng.uniform(2.0, 10.0)
        rows.append(Trouble(fault, hosts, begin, begin + rng.uniform(0.3, 5.0)))
    return tuple(rows)


@pytest.mark.parametrize("seed", range(12))
def test_no_mix_of_cuts_restarts_and_suspensions_grants_more_than_is_tolerated(seed: int) -> None:
    rng = random.Random(seed)
    load = Load(
        hosts=HOSTS,
        usual=(20.0, 5.0, 1.0, 0.3),
        hot=tuple((name, factor, begin - 4.0, end - 6.0) for name, factor, begin, end in HOT),
        hosts_each=rng.choice((2, 6, 12)),
        length_s=14.0,
        troubles=draw_troubles(rng),
    )
    assert replay("told", load, seed).used <= 1.0


def make_host(words: list[Word], *, holds_lease: bool = True) -> HostQuotas:
    """Return a host of four."""
    return HostQuotas(lambda: words, lambda: holds_lease, lambda: 4, lambda: 0.0)


def count_grants(host: HostQuotas, now: float, most: int = 100) -> int:
    """Return how many calls a host grants at once."""
    allowance = allow(QUOTA, TERMS)
    return next(
        (number for number in range(most) if host.admit(ONE, allowance, now) is not None), most
    )


def test_a_word_holds_for_a_moment_only() -> None:
    """A host that was suspended, or is cut off, does not go on by an old word."""
    words = [Word({ONE: 9.0}, 100.0, 100.0)]
    assert count_grants(make_host(words), 100.0) == 9
    assert count_grants(make_host(words), 100.0 + WORD_S + 0.01) <= 1


def test_a_word_of_few_hosts_is_none() -> None:
    words = [Word({}, 100.0, 100.0, heard_share=0.1)]
    assert count_grants(make_host(words), 100.0) <= 1


def test_a_host_that_is_cut_off_goes_on_at_its_usual_rate_while_it_is_listed() -> None:
    def count_blind(*, holds_lease: bool) -> int:
        words = [Word({}, 0.0, 0.0)]
        host = make_host(words, holds_lease=holds_lease)
        allowance = allow(QUOTA, TERMS)
        for number in range(100):
            words[0] = Word({}, number / 5, number / 5)
            assert host.admit(ONE, allowance, number / 5) is None
        words.clear()
        return sum(host.admit(ONE, allowance, 20.0 + number / 20) is None for number in range(200))

    assert 30 <= count_blind(holds_lease=True) <= 60
    assert count_blind(holds_lease=False) <= 5


def test_a_refused_call_says_when_there_is_room_and_spreads_those_that_return() -> None:
    words = [Word({ONE: -1.0}, 100.0, 100.0)]
    allowance = allow(QUOTA, TERMS)
    early, late = make_host(words), make_host(words)
    late.spread = lambda: 1.0
    refused = [host.admit(ONE, allowance, 100.0) for host in (early, late)]
    waits = [row.retry_after_s for row in refused if row is not None]
    assert waits[0] == pytest.approx(2.0 / allowance.calls_per_s)
    assert waits[1] == pytest.approx(waits[0] * 1.5)


def make_ledger(listed: list[Incarnation], quota: Quota = QUOTA) -> QuotaLedger:
    """Return a ledger that hears all of *listed*."""
    ledger = QuotaLedger(lambda _: allow(quota, TERMS), lambda _: None, lambda: listed)
    for life in listed:
        ledger.take(life, {ONE: 0}, 0.0)
    ledger.look_around(0.0)
    ledger.began_at = float("-inf")
    return ledger


def test_a_ledger_leaves_silent_hosts_what_they_may_go_on_to_grant() -> None:
    allowance = allow(QUOTA, TERMS)
    ledger = make_ledger(LIVES)
    ledger.take(LIVES[0], {ONE: 60}, 1.0)
    assert ledger.tell(1.0)[ONE] == pytest.approx(allowance.most - 60)
    ledger.note_silent(LIVES[3], 1.0)
    ledger.look_around(1.0)
    # Its equal part of a window, as long as it may have gone on.
    left = allowance.most - 60 - allowance.part_per_s(4) * 3.0
    assert ledger.tell(3.0)[ONE] == pytest.approx(left)


def test_a_quota_holds_in_each_window_by_itself() -> None:
    allowance = allow(QUOTA, TERMS)
    ledger = make_ledger(LIVES)
    for second in range(20):
        count = 60 * (second // 5 + 1)
        if second % 5 == 0:
            ledger.take(LIVES[0], {ONE: count}, float(second))
            assert ledger.tell(float(second))[ONE] == pytest.approx(allowance.most - 60)


def test_a_count_that_begins_anew_after_a_long_rest_gives_nothing_back() -> None:
    ledger = make_ledger(LIVES)
    ledger.take(LIVES[0], {ONE: 60}, 1.0)
    for second in range(1, 101):
        ledger.look_around(float(second))
    ledger.take(LIVES[0], {ONE: 12}, 100.0)
    assert ledger.windows[ONE].total >= 0


def test_a_window_forgets_what_is_older() -> None:
    window = Window()
    window.add(3, 0.0)
    window.add(-1, 2.0)
    assert [window.count(5.0, now) for now in (4.9, 5.0, 7.0)] == [2, -1, 0]


def test_words_that_come_and_go_let_nothing_more_through() -> None:
    words: list[Word] = []
    host = make_host(words, holds_lease=False)
    allowance = allow(QUOTA, TERMS)
    granted = 0
    for number in range(40):
        words.clear()
        granted += host.admit(ONE, allowance, number / 4) is None
        words.append(Word({ONE: -5.0}, number / 4, number / 4))
        granted += host.admit(ONE, allowance, number / 4) is None
    assert granted <= 1 + 10.0 * allowance.blind_per_s / 4


def test_a_host_that_begins_to_add_up_takes_over_what_others_told() -> None:
    """All may rely on it at once; an organisation in a small crest is not refused."""
    allowance = allow(QUOTA, TERMS)
    words = [Word({}, 0.0, 0.0)]
    host = make_host(words)
    ledger = QuotaLedger(
        lambda _: allowance, lambda _: host.find_told_room(ONE, allowance, now), lambda: LIVES
    )
    now = 0.0
    for life in LIVES:
        ledger.take(life, {ONE: 0}, now)
    ledger.look_around(now)
    # A crest of a sixth of the quota, right after the change.
    ledger.take(LIVES[0], {ONE: 10}, now)
    words[0] = Word(ledger.tell(now), now, now)
    assert host.admit(ONE, allowance, now) is None


def test_a_host_that_knows_of_no_others_takes_the_share_of_none() -> None:
    host = HostQuotas(list, lambda: False, lambda: 0, lambda: 0.0)
    allowance = allow(QUOTA, TERMS)
    assert sum(host.admit(ONE, allowance, float(second)) is None for second in range(60)) == 1
