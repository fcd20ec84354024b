"""What the whole fleet has in flight at each target.

Every host reports what it has in flight to a few aggregators, and these tell every host the
sums. Each host telling every other would cost as many datagrams as the square of the fleet.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank, score, short_number
from .datagrams import DATAGRAM_FORMAT, Digest, Report, Sums
from .results import HeardResults, ResultCount, take_results

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import Incarnation, TargetId
    from .datagrams import DatagramSocket

AGGREGATORS = 3
"""Hosts that add up: any two may be lost, cut off or slow at once."""
REPORT_GAP_S = 0.015
"""Least seconds between reports of one host: a burst brings a host one call in that time."""
REPORT_GAP_PER_PEER_S = 0.0002
"""Seconds that each peer adds to that gap: an aggregator gets five thousand reports a second
at the most, and in practice a fraction, since few hosts change in every gap."""
DIGEST_GAP_S = 0.015
"""Least seconds between digests of one aggregator."""
DIGEST_GAP_PER_PEER_S = 0.0005
"""Seconds that each peer adds to that gap: an aggregator sends two thousand digests a second
at the most, some hundredths of a core, whatever the size of the fleet."""
LONGEST_GAP_S = 0.25
"""Seconds after which a report or digest is sent though nothing changed."""
STALE_S = 0.9
"""Seconds after which a report or digest is not counted: three are missing."""
KEPT_REPORTS = 200
"""Own reports that are kept, to know what of a digest is this host's: three seconds' worth."""


@lru_cache(maxsize=8)
def choose_aggregators(lives: frozenset[Incarnation]) -> list[Incarnation]:
    """Return the lives that add up; every host that hears the same ones says the same."""
    return rank("aggregators", lives)[:AGGREGATORS]


def choose_hosts_to_give_way(
    load: int, slots: int, target: TargetId, holders: Iterable[Incarnation]
) -> list[Incarnation]:
    """Return the hosts that take one item back from a target that has more than its slots.

    :param load: calls and items in flight there, over all hosts.
    :param holders: hosts that have an item there.
    """
    surplus = load - slots
    if surplus <= 0:
        return []
    ordered = sorted(holders, key=lambda host: score(host, target), reverse=True)
    return ordered[:surplus]


@dataclass
class HeardReport:
    """The newest report of a host, when it came and from which ``IP:PORT``."""

    report: Report
    at: float
    address: str


@dataclass
class Aggregation:
    """Adds up all hosts' reports.

    :param find_slots: returns a target's slots, None for one that this host does not know.
    :ivar results: results of all hosts since this one began, by target.
    :ivar changed: a report came since the sums were last told.
    :ivar heard_results: what each host said last, by target.
    """

    find_slots: Callable[[TargetId], int | None]
    reports: dict[Incarnation, HeardReport] = field(default_factory=dict)
    loads: dict[TargetId, int] = field(default_factory=dict)
    waiting: int = 0
    changed: bool = False
    results: dict[TargetId, ResultCount] = field(default_factory=dict)
    heard_results: dict[Incarnation, dict[str, HeardResults]] = field(default_factory=dict)

    def take(self, report: Report, address: str) -> None:
        """Take a host's report."""
        former = self.reports.get(report.incarnation)
        if former is not None:
            if report.number < former.report.number:
                return
            self._add(former.report, -1)
        self._add(report, 1)
        self.changed = True
        self.reports[report.incarnation] = HeardReport(report, monotonic(), address)
        self._add_results(report)

    def forget_silent(self) -> None:
        """Leave out hosts that do not report any more."""
        oldest = monotonic() - STALE_S
        for life in [life for life, heard in self.reports.items() if heard.at < oldest]:
            self._add(self.reports.pop(life).report, -1)
            self.heard_results.pop(life, None)

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

    def sum_up(self, own: Incarnation) -> Sums:
        """Return what is known now."""
        results = {}
        for target, count in self.results.items():
            told = count.tell()
            if told is not None:
                results[target] = told
        return Sums(own, self.loads, results, self.waiting, self._find_hosts_to_give_way())

    def _find_hosts_to_give_way(self) -> dict[TargetId, list[int]]:
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


@dataclass
class HeardSums:
    """The newest sums of an aggregator.

    :ivar elsewhere: calls and items in flight by target, without this host's own.
    :ivar waiting: weight of the items that could start, without this host's own.
    """

    sums: Sums
    elsewhere: dict[TargetId, int]
    waiting: int
    at: float


@dataclass
class Occupancy:
    """What other hosts have in flight, as the aggregators say.

    :param make_report: makes this host's report with a given number.
    :param on_results: told of new successes and failures of other hosts at a target.
    :param aggregation: what this host adds up where it is an aggregator.
    :ivar heard: newest sums by aggregator.
    :ivar elsewhere: the most that any aggregator says: one that lacks a host's reports says
        too little.
    :ivar changed: set when what this host has in flight changed.
    :ivar heard_results: results that each aggregator told last, by target.
    :ivar own_results: this host's part of them.
    """

    socket: DatagramSocket
    own: Incarnation
    make_report: Callable[[int], Report]
    on_results: Callable[[TargetId, int, int], None]
    aggregation: Aggregation
    aggregators: list[Incarnation] = field(default_factory=list)
    sent: OrderedDict[int, Report] = field(default_factory=OrderedDict)
    heard: dict[Incarnation, HeardSums] = field(default_factory=dict)
    elsewhere: dict[TargetId, int] = field(default_factory=dict)
    heard_results: dict[Incarnation, dict[str, HeardResults]] = field(default_factory=dict)
    own_results: dict[Incarnation, dict[str, HeardResults]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    delay_s: float = REPORT_GAP_S + DIGEST_GAP_S

    def in_flight(self, target: TargetId) -> int:
        """Return calls and items that other hosts have at a target."""
        return self.elsewhere.get(target, 0)

    def waiting_elsewhere(self) -> int:
        """Return the weight of the items of other hosts that could start."""
        return max((heard.waiting for heard in self.heard.values()), default=0)

    def must_give_way(self, target: TargetId) -> bool:
        """Whether this host takes an item back from a target."""
        for life in self.aggregators:
            heard = self.heard.get(life)
            if heard is not None:
                return short_number(self.own) in heard.sums.giving_way.get(target, ())
        return False

    async def run_reports(self, find_addresses: Callable[[], dict[Incarnation, str]]) -> None:
        """Report to the aggregators whenever something changed, and now and then, for ever.

        :param find_addresses: returns ``IP:PORT`` of the hosts that are heard, by life.
        """
        number = 0
        sent: Report | None = None
        sent_at = 0.0
        while True:
            addresses = find_addresses()
            aggregators = choose_aggregators(frozenset({*addresses, self.own}))
            now = monotonic()
            report = self.make_report(number)
            if report != sent or aggregators != self.aggregators or now - sent_at >= LONGEST_GAP_S:
                if aggregators != self.aggregators:
                    emit(events.AGGREGATORS, aggregators=aggregators, heard=len(addresses))
                self.aggregators = aggregators
                number += 1
                sent, sent_at = msgspec.structs.replace(report, number=number), now
                self._report(sent, [addresses[life] for life in aggregators if life in addresses])
            gap_s = REPORT_GAP_S + REPORT_GAP_PER_PEER_S * len(addresses)
            digest_gap_s = DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * len(addresses)
            self.delay_s = gap_s + digest_gap_s
            await asyncio.sleep(gap_s)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(LONGEST_GAP_S):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def _report(self, report: Report, addresses: list[str]) -> None:
        self.sent[report.number] = report
        if len(self.sent) > KEPT_REPORTS:
            self.sent.popitem(last=False)
        raw = msgspec.msgpack.encode(report)
        for address in addresses:
            self.socket.send(raw, address)
        if self.own in self.aggregators:
            self.aggregation.take(report, "")

    async def run_digests(self) -> None:
        """Tell every reporting host the sums while this one is an aggregator, for ever."""
        told: bytes = b""
        told_at = 0.0
        while True:
            if self.own not in self.aggregators:
                await asyncio.sleep(LONGEST_GAP_S)
                continue
            if self.aggregation.changed or monotonic() - told_at >= LONGEST_GAP_S:
                self.aggregation.changed = False
                raw = msgspec.msgpack.encode(self.aggregation.sum_up(self.own))
                now = monotonic()
                if raw != told or now - told_at >= LONGEST_GAP_S:
                    self._tell(raw)
                    told, told_at = raw, now
            hosts = len(self.aggregation.reports)
            await asyncio.sleep(DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * hosts)

    def _tell(self, sums: bytes) -> None:
        body = msgspec.Raw(sums)
        for life, heard in self.aggregation.reports.items():
            digest = Digest(DATAGRAM_FORMAT, heard.report.number, body)
            if life == self.own:
                self.hear(digest)
            else:
                self.socket.send(msgspec.msgpack.encode(digest), heard.address)

    def hear(self, digest: Digest) -> None:
        """Take an aggregator's sums."""
        sums = msgspec.msgpack.decode(digest.sums, type=Sums)
        own = self.sent.get(digest.number)
        elsewhere = dict(sums.loads)
        for counts in (own.calls, own.items) if own is not None else ():
            for target, number in counts.items():
                elsewhere[target] = elsewhere.get(target, 0) - number
        waiting = sums.waiting - (own.waiting if own is not None else 0)
        self.heard[sums.aggregator] = HeardSums(sums, elsewhere, waiting, monotonic())
        self._merge()
        self._compare_results(sums, own)

    def forget_silent(self) -> None:
        """Leave out reports and sums that are too old."""
        self.aggregation.forget_silent()
        oldest = monotonic() - STALE_S
        for life in [life for life, heard in self.heard.items() if heard.at < oldest]:
            del self.heard[life]
            self.heard_results.pop(life, None)
            self.own_results.pop(life, None)
        self._merge()

    def _merge(self) -> None:
        rows = [heard.elsewhere for heard in self.heard.values()]
        if len(rows) == 1:
            self.elsewhere = rows[0]
            return
        merged: dict[TargetId, int] = {}
        for row in rows:
            for target, number in row.items():
                if number > merged.get(target, 0):
                    merged[target] = number
        self.elsewhere = merged

    def _compare_results(self, sums: Sums, own: Report | None) -> None:
        """Tell what is new of other hosts' results; one aggregator's word counts at a time."""
        if sums.aggregator not in self.heard_results:
            # What it told before this host heard it may be known from another aggregator.
            self.heard_results[sums.aggregator] = {
                target: HeardResults(told.good, told.bad) for target, told in sums.results.items()
            }
        heard = self.heard_results[sums.aggregator]
        own_part = self.own_results.setdefault(sums.aggregator, {})
        first = next((life for life in self.aggregators if life in self.heard), None)
        for target, told in sums.results.items():
            good, bad = take_results(heard, target, told)
            own_told = None if own is None else own.results.get(target)
            own_good, own_bad = take_results(own_part, target, own_told)
            good, bad = max(0, good - own_good), max(0, bad - own_bad)
            if first == sums.aggregator and (good or bad):
                self.on_results(target, good, bad)
