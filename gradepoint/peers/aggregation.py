"""What an aggregator adds up: every host's newest report, and what follows from the sums."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..routing.quota_ledger import QuotaLedger
from ..routing.suspects import ToldSuspects
from ..util.clock import monotonic
from ..util.hashing import score, short_number
from .datagrams import Report, Sums
from .results import HeardResults, ResultCount, ToldResults, take_results

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import Incarnation, OrganisationNumber, RequestKey, TargetNumber

RELIED_S = 0.6
"""Seconds after its last word that an aggregator counts a host as relying on it: two of the longest
gaps, so that the loss of one datagram changes nothing."""
RESULTS_GAP_S = 0.2
"""Seconds between digests that tell all results, of which failures are told at once: results are
two thirds of a digest, and successes only make good what failures did."""
ROOM_PARTS = 10
"""Parts of a call in which room is told: a small organisation may have one call a second."""
HUNDRED = 100
STALE_S = 0.9
"""Seconds after which a report or digest is not counted: three are missing."""


def choose_hosts_to_give_way(
    load: int, slots: int, target: TargetNumber, holders: Iterable[Incarnation]
) -> list[Incarnation]:
    """Return the hosts that take one item back from a target that has more than its slots.

    :param load: calls and items in flight there, over all hosts.
    :param holders: hosts that have an item there.
    """
    surplus = load - slots
    if surplus <= 0:
        return []
    ordered = sorted(holders, key=lambda host: score(host, str(target)), reverse=True)
    return ordered[:surplus]


def make_idle_ledger() -> QuotaLedger:
    """Return a ledger of no organisations."""
    return QuotaLedger(lambda _: None, lambda _: None, list)


@dataclass
class HeardReport:
    """The newest report of a host, when it came and from which ``IP:PORT``.

    :ivar relied_at: monotonic time at which the host last said that it relies on this one.
    :ivar unconfirmed: no digest has told the host that its last change was heard.
    """

    report: Report
    at: float
    address: str
    relied_at: float = float("-inf")
    unconfirmed: bool = True

    def says_the_same(self, report: Report) -> bool:
        """Whether *report* differs from this one at most in what it says of itself."""
        known = self.report
        same = msgspec.structs.replace(
            report, number=known.number, relies=known.relies, clock_ms=known.clock_ms
        )
        return same == known


@dataclass
class Aggregation:
    """Adds up all hosts' reports.

    :param find_slots: returns a target's slots, None for one that this host does not know.
    :param ledger: adds up what hosts granted organisations.
    :ivar results: results of all hosts since this one began, by target.
    :ivar told_failures: failures told last, by target.
    :ivar results_told_at: monotonic time at which all changed results were told last.
    :ivar changed: a report came since the sums were last told.
    :ivar heard_results: what each host said last, by target.
    :ivar tell_suspects: returns what hosts are told of requests that were on targets that ended.
    :ivar hear_suspects: takes what a host tells of them, and the clock of that host.
    """

    find_slots: Callable[[TargetNumber], int | None]
    ledger: QuotaLedger = field(default_factory=make_idle_ledger)
    reports: dict[Incarnation, HeardReport] = field(default_factory=dict)
    loads: dict[TargetNumber, int] = field(default_factory=dict)
    waiting: int = 0
    changed: bool = False
    results: dict[TargetNumber, ResultCount] = field(default_factory=dict)
    told_failures: dict[TargetNumber, int] = field(default_factory=dict)
    results_told_at: float = float("-inf")
    heard_results: dict[Incarnation, dict[TargetNumber, HeardResults]] = field(default_factory=dict)
    tell_suspects: Callable[[], ToldSuspects] = ToldSuspects
    hear_suspects: Callable[[ToldSuspects, int], None] = lambda _, __: None

    def take(self, report: Report, address: str) -> None:
        """Take a host's report."""
        former = self.reports.get(report.incarnation)
        if former is not None:
            if report.number < former.report.number:
                return
            self._add(former.report, -1)
        self._add(report, 1)
        heard = HeardReport(report, monotonic(), address)
        if former is not None:
            heard.relied_at = former.relied_at
            heard.unconfirmed = former.unconfirmed or not former.says_the_same(report)
        if report.relies:
            heard.relied_at = heard.at
        self.changed = self.changed or heard.unconfirmed
        self.reports[report.incarnation] = heard
        self._add_results(report)
        self.ledger.take(report.incarnation, report.grants, heard.at)
        self.hear_suspects(report.suspects, report.clock_ms)

    def forget_silent(self) -> None:
        """Leave out hosts that do not report any more."""
        oldest = monotonic() - STALE_S
        for life in [life for life, heard in self.reports.items() if heard.at < oldest]:
            self._add(self.reports.pop(life).report, -1)
            self.heard_results.pop(life, None)
            self.ledger.note_silent(life, monotonic())
        self.ledger.look_around(monotonic())

    def _add(self, report: Report, sign: int) -> None:
        loads = self.loads
        self.waiting += sign * report.waiting
        for counts in (report.calls, report.items):
            for target, number in counts.items():
                load = loads.get(target, 0) + sign * number
                if load:
                    loads[target] = load
                else:
                    loads.pop(target, None)

    def _add_results(self, report: Report) -> None:
        heard = self.heard_results.setdefault(report.incarnation, {})
        for target, told in report.results.items():
            good, bad = take_results(heard, target, told)
            if good or bad:
                self.results.setdefault(target, ResultCount()).add(good, bad)

    @property
    def relied_on(self) -> bool:
        """Whether any host relies on this aggregator."""
        oldest = monotonic() - RELIED_S
        return any(heard.relied_at >= oldest for heard in self.reports.values())

    def sum_up(self, own: Incarnation) -> Sums:
        """Return what is known now."""
        now = monotonic()
        tells_all = now - self.results_told_at >= RESULTS_GAP_S
        if tells_all:
            self.results_told_at = now
        return Sums(
            own,
            self.loads,
            self._find_results(tells_all=tells_all),
            self.waiting,
            self._find_hosts_to_give_way(),
            self.relied_on,
            tells_all,
            self.tell_suspects(),
            self._find_trials(),
            self._find_rooms(now),
            math.floor(self.ledger.find_heard_share(now) * HUNDRED),
        )

    def _find_rooms(self, now: float) -> dict[OrganisationNumber, int]:
        """Return the room of organisations that near their limit, in parts of a call."""
        rooms = self.ledger.tell(now)
        return {number: math.floor(room * ROOM_PARTS) for number, room in rooms.items()}

    def _find_trials(self) -> dict[RequestKey, TargetNumber]:
        """Return the targets that suspected requests have to themselves."""
        trials = {}
        for heard in self.reports.values():
            trials.update(heard.report.trials)
        return trials

    def _find_results(self, *, tells_all: bool) -> dict[TargetNumber, ToldResults]:
        """Return the results that are told now; a target that begins to fail does not wait."""
        found = {}
        for target, count in self.results.items():
            told = count.tell()
            if told is None or not (tells_all or told.bad > self.told_failures.get(target, 0)):
                continue
            self.told_failures[target] = told.bad
            found[target] = told
        return found

    def _find_hosts_to_give_way(self) -> dict[TargetNumber, list[int]]:
        chosen = {}
        for target, load in self.loads.items():
            slots = self.find_slots(target)
            if slots is None or load <= slots:
                continue
            holders = [life for life, row in self.reports.items() if target in row.report.items]
            hosts = choose_hosts_to_give_way(load, slots, target, holders)
            if hosts:
                chosen[target] = [short_number(host) for host in hosts]
        return chosen
