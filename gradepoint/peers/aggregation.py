"""Sums over the newest reports of all hosts, computed by an aggregator."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..routing.admission import RefusedNumbers
from ..routing.batch_headroom import CallArrivals, find_preemption_limit
from ..routing.fair_shares import compute_shares
from ..routing.quota_ledger import QuotaLedger
from ..routing.suspects import SuspectsMessage
from ..routing.target_model import GapHistories
from ..util.clock import monotonic
from ..util.hashing import hash32, score
from ..util.structs import Struct, field
from .datagrams import Report, Sums
from .results import (
    COUNT_LIFETIME_S,
    KnownResults,
    ReportedResults,
    ResultCount,
    forget_old_results,
    merge_results,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping

    from ..ids import Incarnation, OrganisationNumber, ServiceName, SuspectKey, TargetNumber

Number = TypeVar("Number", bound=int)

RELIANCE_LIFETIME_S = 0.6
"""Seconds after its last report that a host still counts as relying on this aggregator: more than
two of the longest report gaps, so that the loss of one datagram changes nothing."""
RESULTS_GAP_S = 0.2
"""Seconds between digests that contain all changed results; new failures are sent at once. Results
are two thirds of a digest, and successes only undo the effect of failures, so they can wait."""
ROOM_UNITS_PER_CALL = 10
"""Units per call in which room is sent; a small organisation may have one call per second."""
RATE_UNITS_PER_CALL = 10
"""Units per call in which the rate of calls per target is sent; in a trough it is about one."""
PERCENT = 100
DEMAND_UNITS_PER_SLOT = 10
"""Units per slot in which demands are sent. A host's part of an organisation's demand is often less
than one slot."""
STALE_S = 0.9
"""Seconds after which a report or digest is outdated: at least three are missing then."""
MAX_REPORTING_HOSTS = 2048
"""Hosts whose reports are kept, 2 KB each: several times the largest fleet, since each restart of a
host counts as another one for :data:`STALE_S`. Beyond that the oldest report is dropped, as if
its host were silent."""


def choose_hosts_to_preempt(
    load: int, limit: int, target: TargetNumber, holders: Mapping[Incarnation, int]
) -> list[Incarnation]:
    """Return the hosts that must each preempt one item at an overloaded target.

    The hosts with the least urgent items come first, so that old jobs meet their due times.

    :param load: calls and items in flight there, over all hosts.
    :param limit: calls and items in flight above which items are preempted.
    :param holders: hosts that have an item there, with the creation revision of the least urgent
        job.
    """
    surplus = load - limit
    if surplus <= 0:
        return []
    ordered = sorted(
        holders, key=lambda host: (holders[host], score(host, str(target))), reverse=True
    )
    return ordered[:surplus]


def add_counts(sums: dict[Number, int], counts: dict[Number, int], sign: int) -> None:
    """Add *counts* times *sign* to *sums*, which has no entries of zero."""
    for key, number in counts.items():
        total = sums.get(key, 0) + sign * number
        if total:
            sums[key] = total
        else:
            sums.pop(key, None)


def make_empty_ledger() -> QuotaLedger:
    """Return a quota ledger without organisations."""
    return QuotaLedger(lambda _: None, lambda _: None, list)


class ReceivedReport(Struct):
    """The newest report of a host, with its time of receipt and the ``IP:PORT`` it came from.

    :ivar relied_at: monotonic time at which the host last reported that it relies on this one.
    :ivar unconfirmed: the host's last change has not been confirmed by a digest yet.
    """

    report: Report
    at: float
    address: str
    relied_at: float = float("-inf")
    unconfirmed: bool = True

    def has_same_content(self, report: Report) -> bool:
        """Whether *report* has the same content, apart from number, reliance, clock and paces.

        Paces change with each event. They are sent with the next change, or at the usual intervals.
        """
        known = self.report
        same = msgspec.structs.replace(
            report,
            number=known.number,
            relies=known.relies,
            clock_ms=known.clock_ms,
            paces=known.paces,
        )
        return same == known


class Aggregation(Struct):
    """Computes the sums over all hosts' reports.

    :param find_slots: returns a target's slots; None for a target that this host does not know.
    :param ledger: adds up the calls that hosts granted to organisations.
    :param number_by_service: returns the targets of each service that may get a call.
    :param find_room: returns the slots that all targets together offer to calls; infinite if
        that is unknown, and then no organisation is limited.
    :ivar reports: newest report by host.
    :ivar loads: calls and items in flight by target.
    :ivar items: items among these.
    :ivar gaps: recent gaps between events by target.
    :ivar arrivals: calls that hosts have begun lately.
    :ivar demands: demand by organisation in 1/:data:`DEMAND_UNITS_PER_SLOT` slots.
    :ivar waiting: weight of the items that could start.
    :ivar changed: a report has changed since the last digest.
    :ivar results: results of all hosts by target since this aggregator started.
    :ivar sent_failures: number of failures last sent, by target.
    :ivar results_sent_at: monotonic time at which all changed results were last sent.
    :ivar known_results: last reported results of each host, by target.
    :ivar make_suspects_message: returns the message about requests that ran on targets
        that crashed.
    :ivar on_suspects_message: takes a host's message about them, and that host's clock
        in milliseconds.
    :ivar refused: numbers of the requests that hosts refused for lack of room.
    """

    find_slots: Callable[[TargetNumber], int | None]
    ledger: QuotaLedger = field(default_factory=make_empty_ledger)
    number_by_service: Callable[[], dict[ServiceName, list[TargetNumber]]] = dict
    find_room: Callable[[], float] = lambda: math.inf
    reports: dict[Incarnation, ReceivedReport] = field(default_factory=dict)
    loads: dict[TargetNumber, int] = field(default_factory=dict)
    items: dict[TargetNumber, int] = field(default_factory=dict)
    gaps: GapHistories = field(default_factory=GapHistories)
    arrivals: CallArrivals = field(default_factory=CallArrivals)
    demands: dict[OrganisationNumber, int] = field(default_factory=dict)
    waiting: int = 0
    changed: bool = False
    results: dict[TargetNumber, ResultCount] = field(default_factory=dict)
    sent_failures: dict[TargetNumber, int] = field(default_factory=dict)
    results_sent_at: float = float("-inf")
    known_results: dict[Incarnation, dict[TargetNumber, KnownResults]] = field(default_factory=dict)
    make_suspects_message: Callable[[], SuspectsMessage] = SuspectsMessage
    on_suspects_message: Callable[[SuspectsMessage, int], None] = lambda _, __: None
    refused: RefusedNumbers = field(default_factory=RefusedNumbers)

    def take(self, report: Report, address: str) -> None:
        """Replace a host's report; older reports that arrive late are ignored."""
        former = self.reports.get(report.incarnation)
        if former is not None:
            if report.number < former.report.number:
                return
            self._add(former.report, -1)
            self.arrivals.observe(former.report.calls, report.calls, monotonic())
        self._add(report, 1)
        heard = ReceivedReport(report, monotonic(), address)
        if former is not None:
            heard.relied_at = former.relied_at
            heard.unconfirmed = former.unconfirmed or not former.has_same_content(report)
        if report.relies:
            heard.relied_at = heard.at
        self.changed = self.changed or heard.unconfirmed
        if former is None and len(self.reports) >= MAX_REPORTING_HOSTS:
            self._forget(min(self.reports, key=lambda host: self.reports[host].at))
        self.reports[report.incarnation] = heard
        self._add_results(report)
        self.gaps.add(report.paces, heard.at)
        self.ledger.take(report.incarnation, report.grants, heard.at)
        self.refused.take(report.refused, heard.at)
        self.on_suspects_message(report.suspects, report.clock_ms)

    def forget_silent(self) -> None:
        """Drop hosts whose reports are outdated."""
        oldest = monotonic() - STALE_S
        for incarnation in [
            incarnation for incarnation, heard in self.reports.items() if heard.at < oldest
        ]:
            self._forget(incarnation)
        self.ledger.refresh_listed(monotonic())
        self._forget_old_results()

    def _forget(self, incarnation: Incarnation) -> None:
        self._add(self.reports.pop(incarnation).report, -1)
        self.known_results.pop(incarnation, None)
        self.ledger.note_silent(incarnation, monotonic())

    def _forget_old_results(self) -> None:
        for known in self.known_results.values():
            forget_old_results(known)
        oldest = monotonic() - COUNT_LIFETIME_S
        for target in [row for row, count in self.results.items() if count.changed_at < oldest]:
            del self.results[target]
            self.sent_failures.pop(target, None)

    def _add(self, report: Report, sign: int) -> None:
        self.waiting += sign * report.waiting
        add_counts(self.loads, report.calls, sign)
        add_counts(self.loads, report.items, sign)
        add_counts(self.items, report.items, sign)
        add_counts(self.demands, report.demands, sign)

    def _add_results(self, report: Report) -> None:
        heard = self.known_results.setdefault(report.incarnation, {})
        for target, reported in report.results.items():
            good, bad = merge_results(heard, target, reported)
            if good or bad:
                self.results.setdefault(target, ResultCount()).add(good, bad)

    @property
    def relied_on(self) -> bool:
        """Whether any host relies on this aggregator."""
        oldest = monotonic() - RELIANCE_LIFETIME_S
        return any(heard.relied_at >= oldest for heard in self.reports.values())

    def close_samples(self) -> None:
        """Complete samples of the targets' gaps that are due; a large change is sent at once."""
        self.changed = self.gaps.close(monotonic()) or self.changed

    def sum_up(self, own: Incarnation) -> Sums:
        """Return the current sums."""
        now = monotonic()
        sends_all = now - self.results_sent_at >= RESULTS_GAP_S
        if sends_all:
            self.results_sent_at = now
        sends_all_paces = sends_all and self.gaps.must_send_all(now)
        rates = self._find_call_rates(now)
        return Sums(
            own,
            self.loads,
            self._find_results(sends_all=sends_all),
            self.waiting,
            self._find_hosts_to_preempt(rates),
            self.relied_on,
            sends_all,
            self.make_suspects_message(),
            self._find_trials(),
            self._find_rooms(now),
            math.floor(self.ledger.find_heard_share(now) * PERCENT),
            refused=self.refused.list_summed(now),
            items=self.items,
            paces=self.gaps.take_gaps(now, sends_all=sends_all_paces),
            all_paces=sends_all_paces,
            call_rates={
                service: round(rate * RATE_UNITS_PER_CALL) for service, (rate, _) in rates.items()
            },
            shares=self._find_shares(),
        )

    def _find_shares(self) -> dict[OrganisationNumber, int]:
        """Return the percentage of its new calls that each organisation above its fair share may
        send."""
        if not self.demands:
            return {}
        return compute_shares(
            {number: units / DEMAND_UNITS_PER_SLOT for number, units in self.demands.items()},
            self.find_room(),
        )

    def _find_call_rates(self, now: float) -> dict[ServiceName, tuple[float, list[TargetNumber]]]:
        """Return the mean calls per second at each target of a service, and these targets."""
        found = {}
        for service, targets in self.number_by_service().items():
            rate = self.arrivals.find_rate(targets, now)
            if rate is not None:
                found[service] = rate, targets
        return found

    def _find_rooms(self, now: float) -> dict[OrganisationNumber, int]:
        """Return the room of organisations near their limit, in units of
        1/:data:`ROOM_UNITS_PER_CALL` call."""
        rooms = self.ledger.find_low_rooms(now)
        return {number: math.floor(room * ROOM_UNITS_PER_CALL) for number, room in rooms.items()}

    def _find_trials(self) -> dict[SuspectKey, TargetNumber]:
        """Return the targets that are reserved for trials of suspected requests."""
        trials = {}
        for heard in self.reports.values():
            trials.update(heard.report.trials)
        return trials

    def _find_results(self, *, sends_all: bool) -> dict[TargetNumber, ReportedResults]:
        """Return the results to send now: all recent changes, or only targets with new failures."""
        found = {}
        for target, count in self.results.items():
            reported = count.report_changes()
            if reported is None or not (
                sends_all or reported.bad > self.sent_failures.get(target, 0)
            ):
                continue
            self.sent_failures[target] = reported.bad
            found[target] = reported
        return found

    def _find_hosts_to_preempt(
        self, rates: dict[ServiceName, tuple[float, list[TargetNumber]]]
    ) -> dict[TargetNumber, list[int]]:
        """Return short numbers of the hosts that must preempt an item, by target.

        :param rates: as of :meth:`_find_call_rates`.
        """
        rate_by_target = {target: rate for rate, targets in rates.values() for target in targets}
        limits = {}
        for target, load in self.loads.items():
            slots = self.find_slots(target)
            if slots is None:
                continue
            limit = find_preemption_limit(slots, rate_by_target.get(target))
            if load > limit:
                limits[target] = limit
        holders = self._find_holders(limits)
        chosen = {}
        for target, limit in limits.items():
            load = self.loads[target]
            hosts = choose_hosts_to_preempt(load, limit, target, holders.get(target, {}))
            if hosts:
                chosen[target] = [hash32(host) for host in hosts]
        return chosen

    def _find_holders(
        self, targets: Container[TargetNumber]
    ) -> dict[TargetNumber, dict[Incarnation, int]]:
        """Return the hosts that have an item at each of *targets* where any host has one, with the
        creation revision of the least urgent job."""
        holders: dict[TargetNumber, dict[Incarnation, int]] = {}
        for incarnation, heard in self.reports.items():
            for target in heard.report.items:
                if target in targets:
                    revision = heard.report.newest_jobs.get(target, 0)
                    holders.setdefault(target, {})[incarnation] = revision
        return holders
