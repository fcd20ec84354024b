"""Calls and batch items that all hosts have in flight at each target.

Every host sends reports of what it has in flight to a few aggregators, and these send every host
digests with the sums. If each host reported to every other, the number of datagrams would grow with
the square of the number of hosts.

Each host relies on one aggregator, the first that answers. The other aggregators receive reports
and send digests too, but at long intervals, so that one of them can take over at once.
"""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict, deque
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import DecodingError
from ..routing.host_quotas import RoomReport
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import hash32
from ..util.structs import Struct, field
from .aggregation import (
    PERCENT,
    RATE_UNITS_PER_CALL,
    ROOM_UNITS_PER_CALL,
    STALE_S,
    Aggregation,
    add_counts,
)
from .datagrams import DATAGRAM_FORMAT, Digest, RelayedDigest, Report, Sums, number_target
from .relays import (
    MAX_DIRECT_RECEIVERS,
    RELAY_FRESH_S,
    count_relays,
    group_receivers,
    rank_by_capacity,
    rank_relays,
)
from .results import KnownResults, forget_old_results, merge_results

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import (
        CapacityClass,
        Incarnation,
        OrganisationNumber,
        ServiceName,
        SuspectKey,
        TargetId,
        TargetNumber,
    )
    from .aggregation import ReceivedReport
    from .datagrams import DatagramSocket

AGGREGATOR_COUNT = 3
"""Number of aggregators: any two may be lost, cut off or slow at the same time."""
REPORT_GAP_S = 0.015
"""Minimum seconds between two reports of one host. In a burst, a host gets about one call in that
time."""
REPORT_GAP_PER_PEER_S = 0.0002
"""Seconds that each peer adds to that gap. It limits an aggregator to 5,000 received reports per
second; usually it receives far fewer, since few hosts change in every gap."""
DIGEST_GAP_S = 0.015
"""Minimum seconds between two digests of one aggregator."""
DIGEST_GAP_PER_PEER_S = 0.0005
"""Seconds that each peer adds to that gap. It limits an aggregator to 2,000 sent digests per
second, which cost a few hundredths of a core, whatever the number of hosts."""
MAX_GAP_S = 0.25
"""Seconds after which a report or digest is sent even if nothing changed; also the interval at
which an aggregator gets reports and sends digests while nobody relies on it."""
CONFIRMATION_MARGIN_S = 0.015
"""Seconds on top of both gaps by which a digest must include a report, for transmission and a busy
aggregator. After that the host relies on the next aggregator."""
DISTRUST_S = 1.0
"""Seconds for which a host does not rely on an aggregator that left out a report."""
SHARES_LIFETIME_S = 1.0
"""Seconds for which the shares of a digest are valid. Without newer ones nothing is known of the
demands, and no organisation is limited."""
MILLISECONDS = 1000
MAX_SENT_REPORTS = 200
"""Own reports that are kept to subtract this host's part from a digest: those of three seconds at
the shortest gap."""
SENT_REPORT_LIFETIME_S = 3.0
"""Seconds for which they are kept: several times :data:`STALE_S`. In large fleets, whose gaps are
longer, 200 reports were those of 15 s."""


@lru_cache(maxsize=8)
def choose_aggregators(
    incarnations: frozenset[Incarnation],
    capacities: frozenset[tuple[Incarnation, CapacityClass]] = frozenset(),
) -> list[Incarnation]:
    """Return the incarnations that aggregate: those of the highest capacity class, in a fixed order
    within a class. All hosts that hear the same hosts compute the same.

    :param capacities: classes of these hosts; a host without one counts as the smallest.
    """
    return rank_by_capacity("aggregators", incarnations, dict(capacities))[:AGGREGATOR_COUNT]


def find_digest_gap_s(hosts: int) -> float:
    """Return the minimum seconds between two digests of one aggregator.

    Where digests are relayed, it grows with the square root of the number of hosts, as the number
    of digests that a relay sends each time: a relay sends the same number per second in each fleet.
    """
    direct = min(hosts, MAX_DIRECT_RECEIVERS)
    gap_s = DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * direct
    return gap_s * math.sqrt(max(1.0, hosts / MAX_DIRECT_RECEIVERS))


def merge_highest(rows: list[dict[TargetNumber, int]]) -> dict[TargetNumber, int]:
    """Return the highest positive number of each target; a single row is returned as it is."""
    if len(rows) == 1:
        return rows[0]
    merged: dict[TargetNumber, int] = {}
    for row in rows:
        for target, number in row.items():
            if number > merged.get(target, 0):
                merged[target] = number
    return merged


def read_clock_ms() -> int:
    """Return this host's monotonic clock in milliseconds, as sent along with times."""
    return round(monotonic() * MILLISECONDS)


class ReceivedGaps(Struct, frozen=True):
    """Gaps between the events of an answer, as received from an aggregator.

    :param gaps: median gap by target, in tenths of a millisecond.
    :param at: monotonic time of receipt.
    """

    gaps: dict[TargetNumber, int]
    at: float


class ReceivedSums(Struct):
    """The newest sums of an aggregator.

    :ivar remote_in_flight: calls and items in flight by target, without this host's own.
    :ivar remote_items: items among these.
    :ivar waiting: weight of the items that could start, without this host's own.
    :ivar at: monotonic time of receipt.
    :ivar room_report: their report on organisations near their limit.
    :ivar clock_ms: the aggregator's clock when it sent them.
    :ivar gaps: gaps between events of the last sums that contained them; None before.
    """

    sums: Sums
    remote_in_flight: dict[TargetNumber, int]
    remote_items: dict[TargetNumber, int]
    waiting: int
    at: float
    room_report: RoomReport
    gaps: ReceivedGaps | None
    clock_ms: int = 0


class Occupancy(Struct):
    """What other hosts have in flight according to the aggregators.

    :param own: this host's incarnation.
    :param make_report: returns this host's report with the given number.
    :param on_results: called with a target and the numbers of other hosts' new successes and
        failures there.
    :param aggregation: the sums that this host computes while it is an aggregator.
    :param find_capacities: returns the capacity classes of this host and of those that are heard.
    :param on_sums: called after each digest with the numbers of the requests that hosts refused for
        lack of room.
    :ivar aggregators: current aggregators, the preferred first.
    :ivar sent: this host's recent reports by number.
    :ivar heard: newest sums by aggregator.
    :ivar remote_in_flight: by target, the maximum over the sums of aggregators on which some host
        relies. An aggregator that lacks a host's reports gives too low a number.
    :ivar remote_items: the same of batch items.
    :ivar known_results: last results received from each aggregator, by target.
    :ivar own_results: this host's own part of these.
    :ivar changed: set when what this host has in flight has changed.
    :ivar is_aggregator: set while this host is an aggregator.
    :ivar unconfirmed: number and monotonic send time of the reports that no digest of the
        aggregator this host relies on has included yet.
    :ivar distrusted_until: monotonic time until which an aggregator is not relied on.
    :ivar number: number of the last own report. It only ever rises, also when the report loop
        restarts.
    :ivar delay_s: seconds from a report until a digest that includes it is due.
    :ivar first_receiver: the host that the next digest is sent to first; None for any order.
    :ivar relay_turn: number of the last digest that was sent by relays.
    """

    socket: DatagramSocket
    own: Incarnation
    make_report: Callable[[int], Report]
    on_results: Callable[[TargetNumber, int, int], None]
    aggregation: Aggregation
    find_capacities: Callable[[], dict[Incarnation, CapacityClass]] = dict
    on_sums: Callable[[list[int]], None] = lambda _: None
    aggregators: list[Incarnation] = field(default_factory=list)
    sent: OrderedDict[int, Report] = field(default_factory=OrderedDict)
    heard: dict[Incarnation, ReceivedSums] = field(default_factory=dict)
    remote_in_flight: dict[TargetNumber, int] = field(default_factory=dict)
    remote_items: dict[TargetNumber, int] = field(default_factory=dict)
    known_results: dict[Incarnation, dict[TargetNumber, KnownResults]] = field(default_factory=dict)
    own_results: dict[Incarnation, dict[TargetNumber, KnownResults]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_aggregator: asyncio.Event = field(default_factory=asyncio.Event)
    unconfirmed: deque[tuple[int, float]] = field(default_factory=deque)
    distrusted_until: dict[Incarnation, float] = field(default_factory=dict)
    number: int = 0
    delay_s: float = REPORT_GAP_S + DIGEST_GAP_S
    first_receiver: Incarnation | None = None
    relay_turn: int = 0

    @property
    def relied_on(self) -> Incarnation | None:
        """The aggregator that this host relies on; None before the first one is known."""
        now = monotonic()
        for incarnation in self.aggregators:
            if now >= self.distrusted_until.get(incarnation, 0.0):
                return incarnation
        return self.aggregators[0] if self.aggregators else None

    def in_flight(self, target: TargetId) -> int:
        """Return the calls and items that other hosts have in flight at a target."""
        return self.remote_in_flight.get(number_target(target), 0)

    def items_in_flight(self, target: TargetId) -> int:
        """Return the batch items that other hosts have in flight at a target."""
        return self.remote_items.get(number_target(target), 0)

    def find_gaps(self) -> ReceivedGaps | None:
        """Return the newest gaps between events; None if no aggregator that is heard sent any."""
        heard = self.heard.get(self._find_authoritative_aggregator() or self.own)
        return None if heard is None else heard.gaps

    def digest_age_s(self) -> float:
        """Return the seconds since the newest digest; infinite if none was received lately."""
        return monotonic() - max((heard.at for heard in self.heard.values()), default=-math.inf)

    def remote_waiting(self) -> int:
        """Return the weight of the items of other hosts that could start."""
        return max((heard.waiting for heard in self._find_relevant_sums()), default=0)

    def find_call_rate(self, service: ServiceName) -> float | None:
        """Return the mean calls per second that arrive at each target of a service.

        None is returned if no aggregator has measured it.
        """
        heard = self.heard.get(self._find_authoritative_aggregator() or self.own)
        rate = None if heard is None else heard.sums.call_rates.get(service)
        return None if rate is None else rate / RATE_UNITS_PER_CALL

    def find_room_reports(self) -> list[RoomReport]:
        """Return the room reports on organisations near their limit."""
        return [heard.room_report for heard in self._find_relevant_sums()]

    def find_shares(self) -> dict[OrganisationNumber, int]:
        """Return the percentage of its new calls that each limited organisation may send."""
        heard = self._find_authoritative_sums()
        return {} if heard is None else heard.sums.shares

    def hears_shortage(self) -> bool:
        """Whether a host refused calls for lack of room lately, or organisations are limited."""
        heard = self._find_authoritative_sums()
        return heard is not None and bool(heard.sums.refused or heard.sums.shares)

    def _find_authoritative_sums(self) -> ReceivedSums | None:
        heard = self.heard.get(self._find_authoritative_aggregator() or self.own)
        return heard if heard and monotonic() - heard.at <= SHARES_LIFETIME_S else None

    def find_trials(self) -> dict[SuspectKey, TargetNumber]:
        """Return the targets that are reserved for trials of suspected requests, at any host."""
        trials: dict[SuspectKey, TargetNumber] = {}
        for heard in self._find_relevant_sums():
            trials.update(heard.sums.trials)
        return trials

    def must_preempt(self, target: TargetId) -> bool:
        """Whether this host must preempt an item at a target that has more work than slots."""
        heard = self.heard.get(self._find_authoritative_aggregator() or self.own)
        if heard is None:
            return False
        return hash32(self.own) in heard.sums.preempting.get(number_target(target), ())

    def _find_authoritative_aggregator(self) -> Incarnation | None:
        """Return the aggregator to follow where sums of several cannot be combined.

        It is the first in rank that sent a digest within :data:`MAX_GAP_S`.
        """
        oldest = monotonic() - MAX_GAP_S
        fresh = (incarnation for incarnation, heard in self.heard.items() if heard.at >= oldest)
        return min(fresh, key=self._rank_aggregator, default=self.relied_on)

    def _rank_aggregator(self, incarnation: Incarnation) -> int:
        if incarnation in self.aggregators:
            return self.aggregators.index(incarnation)
        return len(self.aggregators)

    async def run_reports(self, find_addresses: Callable[[], dict[Incarnation, str]]) -> None:
        """Report to the aggregators after every change and at regular intervals, forever.

        :param find_addresses: returns ``IP:PORT`` by incarnation of the hosts that are heard.
        """
        sent: Report | None = None
        sent_all_at = float("-inf")
        while True:
            addresses = find_addresses()
            aggregators = choose_aggregators(
                frozenset({*addresses, self.own}), frozenset(self.find_capacities().items())
            )
            if aggregators != self.aggregators:
                emit(events.AGGREGATORS, aggregators=aggregators, heard=len(addresses))
                self.aggregators = aggregators
                self.unconfirmed.clear()
                sent = None
                if self.own in aggregators:
                    self.is_aggregator.set()
                else:
                    self.is_aggregator.clear()
            now = monotonic()
            has_distrusted = self._distrust_unresponsive(now)
            report = self.make_report(self.number)
            # Paces change with each event, so they alone do not make a report worth sending.
            unpaced = msgspec.structs.replace(report, paces={})
            changed = unpaced != sent or has_distrusted
            sends_all = now - sent_all_at >= MAX_GAP_S or sent is None
            if changed or sends_all:
                self.number += 1
                sent = msgspec.structs.replace(unpaced, number=self.number)
                sent_all_at = now if sends_all else sent_all_at
                outgoing = msgspec.structs.replace(report, number=self.number)
                self._send_report(outgoing, addresses, sends_all=sends_all)
                if changed and self.relied_on != self.own:
                    self.unconfirmed.append((self.number, now))
            gap_s = REPORT_GAP_S + REPORT_GAP_PER_PEER_S * len(addresses)
            self.delay_s = gap_s + find_digest_gap_s(len(addresses))
            await asyncio.sleep(gap_s)
            await self._wait_for_change()

    def _distrust_unresponsive(self, now: float) -> bool:
        """Stop relying on an aggregator that left a report out; return whether this happened."""
        limit_s = self.delay_s + CONFIRMATION_MARGIN_S
        if not self.unconfirmed or now - self.unconfirmed[0][1] < limit_s:
            return False
        silent = self.relied_on
        self.unconfirmed.clear()
        if silent is None or silent == self.own:
            return False
        self.distrusted_until[silent] = now + DISTRUST_S
        return True

    async def _wait_for_change(self) -> None:
        wait_s = MAX_GAP_S
        if self.unconfirmed:
            due = self.unconfirmed[0][1] + self.delay_s + CONFIRMATION_MARGIN_S
            wait_s = max(0.0, min(wait_s, due - monotonic()))
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def _send_report(
        self, report: Report, addresses: dict[Incarnation, str], *, sends_all: bool
    ) -> None:
        # Rounded up: rounded down, calls granted in the same millisecond before the report would
        # count as granted after it, and a small organisation would be refused below its quota.
        sent_ms = math.ceil(monotonic() * MILLISECONDS)
        self.sent[report.number] = msgspec.structs.replace(report, clock_ms=sent_ms)
        self._forget_sent_reports()
        relied_on = self.relied_on
        # Other hosts may still rely on aggregators that this host distrusts, so these get every
        # report too.
        count = self.aggregators.index(relied_on) + 1 if relied_on in self.aggregators else 0
        for incarnation in self.aggregators if sends_all else self.aggregators[:count]:
            outgoing = msgspec.structs.replace(
                report, relies=incarnation == relied_on, clock_ms=read_clock_ms()
            )
            if incarnation == self.own:
                self.aggregation.take(outgoing, "")
            elif incarnation in addresses:
                self.socket.send(msgspec.msgpack.encode(outgoing), addresses[incarnation])

    def _forget_sent_reports(self) -> None:
        oldest_ms = read_clock_ms() - SENT_REPORT_LIFETIME_S * MILLISECONDS
        while self.sent:
            oldest = next(iter(self.sent.values()))
            if len(self.sent) <= MAX_SENT_REPORTS and oldest.clock_ms >= oldest_ms:
                break
            self.sent.popitem(last=False)

    async def run_digests(self) -> None:
        """Send digests to every reporting host while this host is an aggregator, forever."""
        last_sent: bytes = b""
        last_sent_at = 0.0
        while True:
            await self.is_aggregator.wait()
            self.aggregation.close_samples()
            changed = self.aggregation.changed and self.aggregation.relied_on
            if changed or monotonic() - last_sent_at >= MAX_GAP_S:
                self.aggregation.changed = False
                raw = msgspec.msgpack.encode(self.aggregation.sum_up(self.own))
                now = monotonic()
                sends_all = raw != last_sent or now - last_sent_at >= MAX_GAP_S
                self._send_digests(raw, sends_all=sends_all)
                if sends_all:
                    last_sent, last_sent_at = raw, now
            hosts = len(self.aggregation.reports)
            await asyncio.sleep(find_digest_gap_s(hosts))

    def _send_digests(self, sums: bytes, *, sends_all: bool) -> None:
        """Send the sums to all hosts, or only to those whose report is still unconfirmed."""
        body = msgspec.Raw(sums)
        receivers = {
            incarnation: heard
            for incarnation, heard in self._rotate_receivers()
            if sends_all or heard.unconfirmed
        }
        if len(receivers) > MAX_DIRECT_RECEIVERS:
            receivers = self._send_by_relays(body, receivers)
        for incarnation, heard in receivers.items():
            digest = Digest(DATAGRAM_FORMAT, heard.report.number, body, read_clock_ms())
            if incarnation == self.own:
                self.receive(digest)
                heard.unconfirmed = False
            elif self.socket.send_digest(msgspec.msgpack.encode(digest), heard.address):
                heard.unconfirmed = False
            else:
                self.first_receiver = self.first_receiver or incarnation

    def _send_by_relays(
        self, body: msgspec.Raw, receivers: dict[Incarnation, ReceivedReport]
    ) -> dict[Incarnation, ReceivedReport]:
        """Send the sums to hosts that relay them; return the hosts that remain."""
        relays = self._choose_relays(receivers)
        if not relays:
            return receivers
        others = [incarnation for incarnation in receivers if incarnation != self.own]
        self.relay_turn += 1
        groups = group_receivers(others, relays, self.relay_turn)
        for relay, group in zip(relays, groups, strict=True):
            members = [receivers[incarnation] for incarnation in group]
            rows = [(heard.address, heard.report.number) for heard in members]
            number = receivers[relay].report.number
            message = RelayedDigest(DATAGRAM_FORMAT, number, body, read_clock_ms(), rows)
            raw = msgspec.msgpack.encode(message)
            if self.socket.send_digest(raw, receivers[relay].address):
                for heard in (receivers[relay], *members):
                    heard.unconfirmed = False
        return {self.own: receivers[self.own]} if self.own in receivers else {}

    def _choose_relays(self, receivers: dict[Incarnation, ReceivedReport]) -> list[Incarnation]:
        """Return the receivers of the highest capacity that reported just now."""
        ranked = rank_relays(
            self.own,
            frozenset(self.aggregation.reports),
            frozenset(self.find_capacities().items()),
        )
        oldest = monotonic() - RELAY_FRESH_S
        usable = [
            incarnation
            for incarnation in ranked
            if incarnation in receivers
            and incarnation not in self.aggregators
            and receivers[incarnation].at >= oldest
        ]
        return usable[: count_relays(len(receivers))]

    def relay(self, message: RelayedDigest) -> None:
        """Pass a digest on to the hosts that its aggregator names, and process it."""
        for address, number in message.receivers:
            digest = Digest(DATAGRAM_FORMAT, number, message.sums, message.clock_ms)
            self.socket.send_digest(msgspec.msgpack.encode(digest), address)
        self.receive(Digest(DATAGRAM_FORMAT, message.number, message.sums, message.clock_ms))

    def _rotate_receivers(self) -> list[tuple[Incarnation, ReceivedReport]]:
        """Return the reporting hosts, first the one whose last digest was dropped and those after
        it, so that a slow link does not leave out the same hosts each time."""
        rows = [*self.aggregation.reports.items()]
        first, self.first_receiver = self.first_receiver, None
        if first not in self.aggregation.reports:
            return rows
        start = [*self.aggregation.reports].index(first)
        return [*rows[start:], *rows[:start]]

    def receive(self, digest: Digest) -> None:
        """Process a digest from an aggregator."""
        try:
            sums = decoding.decode_msgpack(digest.sums, Sums)
        except DecodingError as error:
            emit(events.BEAT_DROPPED, reason=str(error), member="")
            return
        known = self.heard.get(sums.aggregator)
        if known is not None and digest.clock_ms < known.clock_ms:
            # A relay was slow or suspended; a newer digest came by another one.
            return
        own = self.sent.get(digest.number)
        remote_in_flight, remote_items = dict(sums.loads), dict(sums.items)
        if own is not None:
            add_counts(remote_in_flight, own.calls, -1)
            add_counts(remote_in_flight, own.items, -1)
            add_counts(remote_items, own.items, -1)
        waiting = sums.waiting - (own.waiting if own is not None else 0)
        now = monotonic()
        room_report = RoomReport(
            {number: parts / ROOM_UNITS_PER_CALL for number, parts in sums.rooms.items()},
            now,
            float("-inf") if own is None else own.clock_ms / MILLISECONDS,
            sums.heard_percent / PERCENT,
        )
        former = self.heard.get(sums.aggregator)
        gaps = None if former is None else former.gaps
        if sums.all_paces:
            gaps = ReceivedGaps(sums.paces, now)
        elif gaps is not None and sums.paces:
            gaps = ReceivedGaps({**gaps.gaps, **sums.paces}, gaps.at)
        self.heard[sums.aggregator] = ReceivedSums(
            sums,
            remote_in_flight,
            remote_items,
            waiting,
            now,
            room_report,
            gaps,
            digest.clock_ms,
        )
        if sums.aggregator == self.relied_on:
            while self.unconfirmed and self.unconfirmed[0][0] <= digest.number:
                self.unconfirmed.popleft()
        self._merge()
        self._notify_new_results(sums, own)
        self.aggregation.on_suspects_message(sums.suspects, digest.clock_ms)
        self.on_sums(sums.refused)

    def forget_silent(self) -> None:
        """Drop outdated reports and sums, and distrust that has expired."""
        self.aggregation.forget_silent()
        now = monotonic()
        self.distrusted_until = {
            incarnation: until
            for incarnation, until in self.distrusted_until.items()
            if until > now
        }
        for known in (*self.known_results.values(), *self.own_results.values()):
            forget_old_results(known)
        oldest = now - STALE_S
        for incarnation in [
            incarnation for incarnation, heard in self.heard.items() if heard.at < oldest
        ]:
            del self.heard[incarnation]
            self.known_results.pop(incarnation, None)
            self.own_results.pop(incarnation, None)
        self._merge()

    def _find_relevant_sums(self) -> list[ReceivedSums]:
        """Return the sums of the aggregators that some host relies on, or all sums if there are
        none."""
        relied_on = [heard for heard in self.heard.values() if heard.sums.relied_on]
        return relied_on or list(self.heard.values())

    def _merge(self) -> None:
        relevant = self._find_relevant_sums()
        self.remote_in_flight = merge_highest([heard.remote_in_flight for heard in relevant])
        self.remote_items = merge_highest([heard.remote_items for heard in relevant])

    def _notify_new_results(self, sums: Sums, own: Report | None) -> None:
        """Pass on new results of other hosts, from one aggregator at a time."""
        if sums.aggregator not in self.known_results and not sums.all_results:
            return
        if sums.aggregator not in self.known_results:
            # Another aggregator may have reported these results to this host already.
            self.known_results[sums.aggregator] = {
                target: KnownResults(reported.good, reported.bad)
                for target, reported in sums.results.items()
            }
        heard = self.known_results[sums.aggregator]
        own_part = self.own_results.setdefault(sums.aggregator, {})
        authoritative = next(
            (incarnation for incarnation in self.aggregators if incarnation in self.heard), None
        )
        for target, reported in sums.results.items():
            good, bad = merge_results(heard, target, reported)
            own_reported = None if own is None else own.results.get(target)
            own_good, own_bad = merge_results(own_part, target, own_reported)
            good, bad = max(0, good - own_good), max(0, bad - own_bad)
            if authoritative == sums.aggregator and (good or bad):
                self.on_results(target, good, bad)
