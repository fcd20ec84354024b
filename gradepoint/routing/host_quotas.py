"""Grant calls to organisations at one host, based on the aggregators' room reports, without I/O.

A host without valid room reports is called isolated.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..util.structs import Struct, field
from .quotas import (
    LEDGER_IDLE_S,
    LOW_ROOM_SHARE,
    MIN_RETRY_AFTER_S,
    ROOM_REPORT_LIFETIME_S,
    Allowance,
    AverageRate,
    Bucket,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import OrganisationNumber

MIN_HEARD_SHARE = 0.25
"""Minimum share of the listed hosts that a room report must cover. An aggregator that hears fewer
knows little of an organisation's grants; hosts then do better by themselves at their average
rates."""
MAX_REFILL_S = 0.1
"""Most seconds of refill that a host adds to reported room: about the gap between reports. All
hosts add the same refill, so more would be granted several times."""
GRANT_HISTORY_S = 5.0
"""Seconds for which a host remembers each grant: many times the delay until a report includes
it."""
HOST_IDLE_S = 2 * LEDGER_IDLE_S
"""Seconds after which the host itself drops its count of an organisation. It is longer than
:data:`LEDGER_IDLE_S`, so that aggregators never compare a restarted count with the old one."""
RETRY_JITTER_SHARE = 0.5
"""Random extra share of the time until there is room, which spreads the retries of refused
callers."""
MAX_RETRY_AFTER_S = 5.0
"""Maximum ``Retry-After`` in seconds: the organisation's load further ahead is unknown."""


class RoomReport(Struct, frozen=True):
    """The last room report of one aggregator.

    :param rooms: room by organisation, only for organisations near their limit.
    :param at: time of receipt.
    :param covers_until: time until which this host's own grants are included.
    :param heard_share: share of the listed hosts that the aggregator hears.
    """

    rooms: dict[OrganisationNumber, float]
    at: float
    covers_until: float
    heard_share: float = 1.0


class Refusal(Struct, frozen=True):
    """A refused call: it exceeds its organisation's limit.

    :param retry_after_s: seconds until there is room again.
    :param room: room as far as this host knows.
    :param isolated: this host has no valid room report.
    """

    retry_after_s: float
    room: float
    isolated: bool


class OwnGrants(Struct):
    """Calls that this host granted to one organisation.

    :ivar count: all grants less the returned ones.
    :ivar times: times of the recent grants.
    :ivar average_rate: average rate of grants.
    :ivar changed_at: time of the last change of *count*.
    """

    count: int = 0
    times: deque[float] = field(default_factory=deque)
    average_rate: AverageRate = field(default_factory=AverageRate)
    changed_at: float = float("-inf")

    def add(self, now: float) -> None:
        """Count one grant."""
        self.count += 1
        self.times.append(now)
        self.average_rate.add(1, now)
        self.changed_at = now

    def take_back(self, now: float) -> None:
        """Return one grant because no target ran the call."""
        self.count -= 1
        self.average_rate.add(-1, now)
        self.changed_at = now
        if self.times:
            self.times.pop()

    def count_since(self, since: float, now: float) -> int:
        """Return the number of remembered grants since *since*."""
        while self.times and self.times[0] < now - GRANT_HISTORY_S:
            self.times.popleft()
        return sum(1 for at in self.times if at >= since)


class HostQuotas(Struct):
    """Decides at one host whether calls are granted.

    :param find_room_reports: returns the latest room reports of the aggregators; none if the host
        is cut off.
    :param holds_lease: whether this host is certainly still listed. If it is, aggregators reserve
        its average rate for it while they do not hear it.
    :param count_hosts: returns the number of hosts, this one included.
    :param spread: returns a random number from 0 to 1.
    :ivar own: this host's grants by organisation.
    :ivar isolated_buckets: token bucket of each organisation for times without room reports.
        Buckets survive short periods with reports, so that reports that come and go do not refill
        them.
    :ivar isolated_rates: average rates at the time when the reports ended.
    :ivar isolated_since: time by organisation at which the reports ended.
    """

    find_room_reports: Callable[[], list[RoomReport]]
    holds_lease: Callable[[], bool]
    count_hosts: Callable[[], int]
    spread: Callable[[], float]
    own: dict[OrganisationNumber, OwnGrants] = field(default_factory=dict)
    isolated_buckets: dict[OrganisationNumber, Bucket] = field(default_factory=dict)
    isolated_rates: dict[OrganisationNumber, float] = field(default_factory=dict)
    isolated_since: dict[OrganisationNumber, float] = field(default_factory=dict)

    def admit(self, number: OrganisationNumber, allowance: Allowance, now: float) -> Refusal | None:
        """Grant a call and count it, or return why it is refused."""
        reports = self.find_valid_room_reports(now)
        if reports:
            room, rate = self.estimate_room(number, allowance, reports, now), allowance.calls_per_s
        else:
            room, rate = self._find_isolated_room(number, allowance, now)
        if room < 1.0:
            return Refusal(
                self._compute_retry_after_s(1.0 - room, rate), room, isolated=not reports
            )
        if not reports:
            self.isolated_buckets[number].room -= 1.0
        self.own.setdefault(number, OwnGrants()).add(now)
        return None

    def find_valid_room_reports(self, now: float) -> list[RoomReport]:
        """Return the room reports that are still valid and cover enough of the hosts."""
        return [
            report
            for report in self.find_room_reports()
            if now - report.at <= ROOM_REPORT_LIFETIME_S and report.heard_share >= MIN_HEARD_SHARE
        ]

    def take_back(self, number: OrganisationNumber, now: float) -> None:
        """Return the grant of a call that no target ran."""
        self.own.setdefault(number, OwnGrants()).take_back(now)

    def estimate_room(
        self,
        number: OrganisationNumber,
        allowance: Allowance,
        reports: Iterable[RoomReport],
        now: float,
    ) -> float:
        """Return the least room that any of *reports* leaves after this host's own later grants.

        An organisation that no report names has at least the room above which aggregators report
        nothing.
        """
        self.isolated_since.pop(number, None)
        own = self.own.get(number)
        rooms = []
        for report in reports:
            room = max(1.0, allowance.max_calls * LOW_ROOM_SHARE)
            if number in report.rooms:
                refill = min(MAX_REFILL_S, now - report.at) * allowance.calls_per_s
                room = min(allowance.max_calls, report.rooms[number] + refill)
            rooms.append(room - (0 if own is None else own.count_since(report.covers_until, now)))
        return min(rooms)

    def find_reported_room(
        self, number: OrganisationNumber, allowance: Allowance, now: float
    ) -> float | None:
        """Return the least reported room; None without a valid report."""
        reports = self.find_valid_room_reports(now)
        return self.estimate_room(number, allowance, reports, now) if reports else None

    def _find_isolated_room(
        self, number: OrganisationNumber, allowance: Allowance, now: float
    ) -> tuple[float, float]:
        """Return room and refill rate while this host is isolated.

        While the host is listed, it continues at its average rate or at its equal share, whichever
        is more; aggregators reserve that much for it. Otherwise it has its share of the tolerated
        excess.
        """
        hosts = self.count_hosts()
        bucket = self.isolated_buckets.setdefault(number, Bucket(1.0, now))
        if number not in self.isolated_since:
            self.isolated_since[number] = now
            own = self.own.get(number, OwnGrants())
            self.isolated_rates[number] = own.average_rate.read(now)
            # Grants that no report has included yet count against this bucket.
            since = max((report.covers_until for report in self.find_room_reports()), default=now)
            bucket.room -= own.count_since(since, now)
        # While the number of hosts is unknown (0), this host must not take the share of all hosts.
        rate = allowance.isolated_per_s / hosts if hosts else 0.0
        if self.holds_lease():
            average_rate = min(allowance.calls_per_s, self.isolated_rates.get(number, 0.0))
            rate = max(allowance.equal_share_per_s(hosts), average_rate)
        return bucket.fill(rate, max(1.0, rate), now), rate

    def _compute_retry_after_s(self, missing_calls: float, calls_per_s: float) -> float:
        wait = missing_calls / calls_per_s if calls_per_s > 0 else MAX_RETRY_AFTER_S
        wait *= 1.0 + RETRY_JITTER_SHARE * self.spread()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def find_recent_grants(self, now: float) -> dict[OrganisationNumber, int]:
        """Return the grant counts that changed recently, to be reported to the aggregators."""
        return {
            number: own.count
            for number, own in self.own.items()
            if now - own.changed_at < GRANT_HISTORY_S / 2
        }

    def forget(self, now: float) -> None:
        """Drop the counts of idle organisations; these restart from zero at the next grant."""
        oldest = now - HOST_IDLE_S
        for number in [number for number, own in self.own.items() if own.changed_at < oldest]:
            del self.own[number]
            self.isolated_buckets.pop(number, None)
            self.isolated_rates.pop(number, None)
            self.isolated_since.pop(number, None)
