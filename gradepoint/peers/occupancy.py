"""What the whole fleet has in flight at each target.

Every host reports what it has in flight to a few aggregators, and these tell every host the
sums. Each host telling every other would cost as many datagrams as the square of the fleet.
Each host relies on one aggregator, the first of them that answers; the others hear and tell the
same at long intervals, so that one of them can take over at once.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..routing.host_quotas import Word
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank, short_number
from .aggregation import HUNDRED, ROOM_PARTS, STALE_S, Aggregation
from .datagrams import DATAGRAM_FORMAT, Digest, Report, Sums, number_target
from .results import HeardResults, take_results

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import Incarnation, RequestKey, TargetId, TargetNumber
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
"""Seconds after which a report or digest is sent though nothing changed, or nobody relies on the
aggregator."""
CONFIRM_SLACK_S = 0.015
"""Seconds beside both gaps in which a digest has to include a report: for the way and a busy
aggregator. After them the host relies on the next one."""
DISTRUST_S = 1.0
"""Seconds for which an aggregator that did not answer is not relied on."""
MILLISECONDS = 1000
KEPT_REPORTS = 200
"""Own reports that are kept, to know what of a digest is this host's: three seconds' worth."""


@lru_cache(maxsize=8)
def choose_aggregators(lives: frozenset[Incarnation]) -> list[Incarnation]:
    """Return the lives that add up; every host that hears the same ones says the same."""
    return rank("aggregators", lives)[:AGGREGATORS]


def read_clock_ms() -> int:
    """Return this host's clock as it is told beside moments."""
    return round(monotonic() * MILLISECONDS)


@dataclass
class HeardSums:
    """The newest sums of an aggregator.

    :ivar elsewhere: calls and items in flight by target, without this host's own.
    :ivar waiting: weight of the items that could start, without this host's own.
    :ivar word: what they say of organisations that near their limit.
    """

    sums: Sums
    elsewhere: dict[TargetNumber, int]
    waiting: int
    at: float
    word: Word


@dataclass
class Occupancy:
    """What other hosts have in flight, as the aggregators say.

    :param make_report: makes this host's report with a given number.
    :param on_results: told of new successes and failures of other hosts at a target.
    :param aggregation: what this host adds up where it is an aggregator.
    :ivar heard: newest sums by aggregator.
    :ivar elsewhere: the most that any aggregator says on which some host relies: one that lacks
        a host's reports says too little.
    :ivar unconfirmed: numbers of reports that no digest of the aggregator that this host relies
        on includes yet, each with the monotonic time of its sending.
    :ivar distrusted_until: monotonic time until which an aggregator is not relied on.
    :ivar number: that of the last own report; it only rises, also where the loop begins anew.
    :ivar changed: set when what this host has in flight changed.
    :ivar chosen: set while this host is an aggregator.
    :ivar heard_results: results that each aggregator told last, by target.
    :ivar own_results: this host's part of them.
    """

    socket: DatagramSocket
    own: Incarnation
    make_report: Callable[[int], Report]
    on_results: Callable[[TargetNumber, int, int], None]
    aggregation: Aggregation
    aggregators: list[Incarnation] = field(default_factory=list)
    sent: OrderedDict[int, Report] = field(default_factory=OrderedDict)
    heard: dict[Incarnation, HeardSums] = field(default_factory=dict)
    elsewhere: dict[TargetNumber, int] = field(default_factory=dict)
    heard_results: dict[Incarnation, dict[TargetNumber, HeardResults]] = field(default_factory=dict)
    own_results: dict[Incarnation, dict[TargetNumber, HeardResults]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    chosen: asyncio.Event = field(default_factory=asyncio.Event)
    unconfirmed: deque[tuple[int, float]] = field(default_factory=deque)
    distrusted_until: dict[Incarnation, float] = field(default_factory=dict)
    number: int = 0
    delay_s: float = REPORT_GAP_S + DIGEST_GAP_S

    @property
    def relied_on(self) -> Incarnation | None:
        """The aggregator that this host relies on."""
        now = monotonic()
        for life in self.aggregators:
            if now >= self.distrusted_until.get(life, 0.0):
                return life
        return self.aggregators[0] if self.aggregators else None

    def in_flight(self, target: TargetId) -> int:
        """Return calls and items that other hosts have at a target."""
        return self.elsewhere.get(number_target(target), 0)

    def waiting_elsewhere(self) -> int:
        """Return the weight of the items of other hosts that could start."""
        return max((heard.waiting for heard in self._find_told()), default=0)

    def find_words(self) -> list[Word]:
        """Return what is told of organisations that near their limit."""
        return [heard.word for heard in self._find_told()]

    def find_trials(self) -> dict[RequestKey, TargetNumber]:
        """Return the targets that suspected requests have to themselves, at any host."""
        trials: dict[RequestKey, TargetNumber] = {}
        for heard in self._find_told():
            trials.update(heard.sums.trials)
        return trials

    def must_give_way(self, target: TargetId) -> bool:
        """Whether this host takes an item back from a target."""
        heard = self.heard.get(self._find_teller() or self.own)
        if heard is None:
            return False
        return short_number(self.own) in heard.sums.giving_way.get(number_target(target), ())

    def _find_teller(self) -> Incarnation | None:
        """Return the aggregator whose word counts where only one's can: the first that told
        something lately."""
        oldest = monotonic() - LONGEST_GAP_S
        fresh = (life for life, heard in self.heard.items() if heard.at >= oldest)
        return min(fresh, key=self._rank_aggregator, default=self.relied_on)

    def _rank_aggregator(self, life: Incarnation) -> int:
        if life in self.aggregators:
            return self.aggregators.index(life)
        return len(self.aggregators)

    async def run_reports(self, find_addresses: Callable[[], dict[Incarnation, str]]) -> None:
        """Report to the aggregators whenever something changed, and now and then, for ever.

        :param find_addresses: returns ``IP:PORT`` of the hosts that are heard, by life.
        """
        sent: Report | None = None
        told_all_at = float("-inf")
        while True:
            addresses = find_addresses()
            aggregators = choose_aggregators(frozenset({*addresses, self.own}))
            if aggregators != self.aggregators:
                emit(events.AGGREGATORS, aggregators=aggregators, heard=len(addresses))
                self.aggregators = aggregators
                self.unconfirmed.clear()
                sent = None
                if self.own in aggregators:
                    self.chosen.set()
                else:
                    self.chosen.clear()
            now = monotonic()
            distrusts = self._distrust_silent(now)
            report = self.make_report(self.number)
            changed = report != sent or distrusts
            tells_all = now - told_all_at >= LONGEST_GAP_S or sent is None
            if changed or tells_all:
                self.number += 1
                sent = msgspec.structs.replace(report, number=self.number)
                told_all_at = now if tells_all else told_all_at
                self._report(sent, addresses, tells_all=tells_all)
                if changed and self.relied_on != self.own:
                    self.unconfirmed.append((self.number, now))
            gap_s = REPORT_GAP_S + REPORT_GAP_PER_PEER_S * len(addresses)
            digest_gap_s = DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * len(addresses)
            self.delay_s = gap_s + digest_gap_s
            await asyncio.sleep(gap_s)
            await self._wait_for_change()

    def _distrust_silent(self, now: float) -> bool:
        """Rely on the next aggregator where this one left a report out; return whether."""
        limit_s = self.delay_s + CONFIRM_SLACK_S
        if not self.unconfirmed or now - self.unconfirmed[0][1] < limit_s:
            return False
        silent = self.relied_on
        self.unconfirmed.clear()
        if silent is None or silent == self.own:
            return False
        self.distrusted_until[silent] = now + DISTRUST_S
        return True

    async def _wait_for_change(self) -> None:
        wait_s = LONGEST_GAP_S
        if self.unconfirmed:
            due = self.unconfirmed[0][1] + self.delay_s + CONFIRM_SLACK_S
            wait_s = max(0.0, min(wait_s, due - monotonic()))
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def _report(
        self, report: Report, addresses: dict[Incarnation, str], *, tells_all: bool
    ) -> None:
        self.sent[report.number] = msgspec.structs.replace(report, clock_ms=read_clock_ms())
        if len(self.sent) > KEPT_REPORTS:
            self.sent.popitem(last=False)
        relied_on = self.relied_on
        # One that is not relied on may be well and tell other hosts, so it hears all as well.
        count = self.aggregators.index(relied_on) + 1 if relied_on in self.aggregators else 0
        for life in self.aggregators if tells_all else self.aggregators[:count]:
            told = msgspec.structs.replace(
                report, relies=life == relied_on, clock_ms=read_clock_ms()
            )
            if life == self.own:
                self.aggregation.take(told, "")
            elif life in addresses:
                self.socket.send(msgspec.msgpack.encode(told), addresses[life])

    async def run_digests(self) -> None:
        """Tell every reporting host the sums while this one is an aggregator, for ever."""
        told: bytes = b""
        told_at = 0.0
        while True:
            await self.chosen.wait()
            changed = self.aggregation.changed and self.aggregation.relied_on
            if changed or monotonic() - told_at >= LONGEST_GAP_S:
                self.aggregation.changed = False
                raw = msgspec.msgpack.encode(self.aggregation.sum_up(self.own))
                now = monotonic()
                tells_all = raw != told or now - told_at >= LONGEST_GAP_S
                self._tell(raw, tells_all=tells_all)
                if tells_all:
                    told, told_at = raw, now
            hosts = len(self.aggregation.reports)
            await asyncio.sleep(DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * hosts)

    def _tell(self, sums: bytes, *, tells_all: bool) -> None:
        """Send the sums, at the least to hosts that wait to hear that their report came."""
        body = msgspec.Raw(sums)
        for life, heard in self.aggregation.reports.items():
            if not tells_all and not heard.unconfirmed:
                continue
            heard.unconfirmed = False
            digest = Digest(DATAGRAM_FORMAT, heard.report.number, body, read_clock_ms())
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
        now = monotonic()
        word = Word(
            {number: parts / ROOM_PARTS for number, parts in sums.rooms.items()},
            now,
            float("-inf") if own is None else own.clock_ms / MILLISECONDS,
            sums.heard_percent / HUNDRED,
        )
        self.heard[sums.aggregator] = HeardSums(sums, elsewhere, waiting, now, word)
        if sums.aggregator == self.relied_on:
            while self.unconfirmed and self.unconfirmed[0][0] <= digest.number:
                self.unconfirmed.popleft()
        self._merge()
        self._compare_results(sums, own)
        self.aggregation.hear_suspects(sums.suspects, digest.clock_ms)

    def forget_silent(self) -> None:
        """Leave out reports and sums that are too old, and distrust that is over."""
        self.aggregation.forget_silent()
        now = monotonic()
        self.distrusted_until = {
            life: until for life, until in self.distrusted_until.items() if until > now
        }
        oldest = now - STALE_S
        for life in [life for life, heard in self.heard.items() if heard.at < oldest]:
            del self.heard[life]
            self.heard_results.pop(life, None)
            self.own_results.pop(life, None)
        self._merge()

    def _find_told(self) -> list[HeardSums]:
        """Return the sums that count: those of aggregators that some host relies on."""
        relied_on = [heard for heard in self.heard.values() if heard.sums.relied_on]
        return relied_on or list(self.heard.values())

    def _merge(self) -> None:
        rows = [heard.elsewhere for heard in self._find_told()]
        if len(rows) == 1:
            self.elsewhere = rows[0]
            return
        merged: dict[TargetNumber, int] = {}
        for row in rows:
            for target, number in row.items():
                if number > merged.get(target, 0):
                    merged[target] = number
        self.elsewhere = merged

    def _compare_results(self, sums: Sums, own: Report | None) -> None:
        """Tell what is new of other hosts' results; one aggregator's word counts at a time."""
        if sums.aggregator not in self.heard_results and not sums.all_results:
            return
        if sums.aggregator not in self.heard_results:
            # What it told before this host heard it may be known from another aggregator.
            self.heard_results[sums.aggregator] = {
                target: HeardResults(told.good, told.bad) for target, told in sums.results.items()
            }
        heard = self.heard_results[sums.aggregator]
        own_part = self.own_results.setdefault(sums.aggregator, {})
        teller = next((life for life in self.aggregators if life in self.heard), None)
        for target, told in sums.results.items():
            good, bad = take_results(heard, target, told)
            own_told = None if own is None else own.results.get(target)
            own_good, own_bad = take_results(own_part, target, own_told)
            good, bad = max(0, good - own_good), max(0, bad - own_bad)
            if teller == sums.aggregator and (good or bad):
                self.on_results(target, good, bad)
