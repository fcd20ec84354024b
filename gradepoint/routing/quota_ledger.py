"""An aggregator's ledger of all hosts' grants to organisations, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.structs import Struct, field
from .quotas import (
    LEDGER_IDLE_S,
    LOW_ROOM_SHARE,
    ROOM_REPORT_LIFETIME_S,
    Allowance,
    AverageRate,
    Window,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..ids import Incarnation, OrganisationNumber

DETECTION_DELAY_S = 1.0
"""Seconds for which an incarnation may be cut off before that is detected: slightly more than the
time after which a host counts as silent."""
LISTING_DELAY_S = 0.3
"""Seconds for which an incarnation may grant calls before an aggregator finds it listed. What was
granted before an aggregator started counts as unknown use of each window. Reserving
:data:`DETECTION_DELAY_S` as well for each host that is not heard yet left organisations without
room for the first second after a restart of all hosts."""
INITIAL_ROOM_SHARE = 0.1
"""Initial share of an organisation's full room where earlier grants are unknown. It gives a small
organisation one call, and keeps one that has just used all of its quota below the tolerated
excess."""

MAX_COUNTS = 1 << 16
"""Grant counts of all incarnations together, 0.3 KB each with their average rate. Hosts that grant
3.5 calls per second to as many organisations have 42,000 at 400 hosts in :data:`LEDGER_IDLE_S`."""
MIN_COUNTS_PER_HOST = 64
"""Grant counts that each incarnation may have at least, whatever the number of incarnations."""
MAX_LOW_ROOMS = 256
"""Organisations whose room is reported in one message, 7 bytes each: 1.8 KB. After a restart of all
hosts every organisation is near its limit, and 3,900 would take 27 KB in each message."""
GRANT_STEP_S = 0.01
"""Seconds within which grants count as simultaneous: a window has 500 entries of 0.1 KB per
organisation at most. Grants leave their window that much earlier, a five-hundredth of it."""


class SilentIncarnation(Struct, frozen=True):
    """A listed incarnation that is not heard.

    :param since: time since which it is silent.
    :param average_rates: its average grant rates by organisation at that time.
    :param was_heard: False if it was listed but never heard.
    """

    since: float
    average_rates: dict[OrganisationNumber, float]
    was_heard: bool = True

    def count_seconds(self, window_s: float, now: float) -> float:
        """Return the seconds of the last window in which it may have granted calls unheard."""
        delay_s = DETECTION_DELAY_S if self.was_heard else LISTING_DELAY_S
        return min(window_s, now - self.since + delay_s)


class QuotaLedger(Struct):
    """All hosts' grants as one aggregator knows them.

    A listed host that is not heard may be cut off and still grant calls. The ledger reserves what
    such a host may grant in a window: its average rate or its equal share, whichever is more.

    :param find_allowance: returns an organisation's allowance; None without a limit.
    :param find_room: returns the room that was last reported to this host; None without a valid
        report.
    :param list_incarnations: returns the listed incarnations.
    :ivar windows: grants of all hosts in the last window, by organisation.
    :ivar counts: last reported grant counts by incarnation and organisation.
    :ivar average_rates: average grant rates by incarnation and organisation.
    :ivar heard_at: time of the last report by incarnation.
    :ivar silent: listed incarnations that are not heard.
    :ivar returned: incarnations that were silent, and when they were heard again, until
        :meth:`find_low_rooms` or :meth:`refresh_listed` counts what they may have granted.
    :ivar listed: number of listed incarnations.
    :ivar aggregating_since: time since which this host has aggregated without a gap.
    :ivar refreshed_at: time of the last :meth:`refresh_listed`.
    :ivar minority_heard: at most half of the listed incarnations were heard at that time.
    """

    find_allowance: Callable[[OrganisationNumber], Allowance | None]
    find_room: Callable[[OrganisationNumber], float | None]
    list_incarnations: Callable[[], Collection[Incarnation]]
    windows: dict[OrganisationNumber, Window] = field(default_factory=dict)
    counts: dict[Incarnation, dict[OrganisationNumber, int]] = field(default_factory=dict)
    average_rates: dict[Incarnation, dict[OrganisationNumber, AverageRate]] = field(
        default_factory=dict
    )
    heard_at: dict[Incarnation, float] = field(default_factory=dict)
    silent: dict[Incarnation, SilentIncarnation] = field(default_factory=dict)
    returned: list[tuple[SilentIncarnation, float]] = field(default_factory=list)
    listed: int = 1
    aggregating_since: float = float("-inf")
    refreshed_at: float = float("inf")
    minority_heard: bool = False

    def find_heard_share(self, now: float) -> float:
        """Return the share of the listed incarnations that were heard just now.

        An aggregator that is cut off must notice it before hosts grant many calls based on
        its sums.
        """
        lately = sum(1 for at in self.heard_at.values() if now - at <= ROOM_REPORT_LIFETIME_S)
        return min(1.0, lately / max(1, self.listed))

    def take(
        self, incarnation: Incarnation, received: dict[OrganisationNumber, int], now: float
    ) -> None:
        """Add an incarnation's report: its grants so far by organisation."""
        if not self.counts:
            self.aggregating_since = now
        self.heard_at[incarnation] = now
        silent = self.silent.pop(incarnation, None)
        if silent is not None and silent.was_heard:
            self.returned.append((silent, now))
        known = incarnation in self.counts
        counts = self.counts.setdefault(incarnation, {})
        average_rates = self.average_rates.setdefault(incarnation, {})
        for number, count in received.items():
            # The first report of an unknown incarnation adds nothing, since its earlier grants were
            # reported to other aggregators. The first count of an organisation from a known
            # incarnation adds one grant, since such a count starts with its first grant.
            new = count - counts.get(number, count - (1 if known else 0))
            if number not in counts:
                self._make_room_for_count(counts, average_rates)
            counts[number] = count
            average_rates.setdefault(number, AverageRate(at=now))
            if new:
                average_rates[number].add(new, now)
                self._record_grants(number, new, now)

    def _make_room_for_count(
        self,
        counts: dict[OrganisationNumber, int],
        average_rates: dict[OrganisationNumber, AverageRate],
    ) -> None:
        """Drop the organisation that an incarnation has not granted a call for longest, if it has
        its share of :data:`MAX_COUNTS`.

        Its next count then adds one grant, and no average rate is reserved for it.
        """
        if len(counts) >= max(MIN_COUNTS_PER_HOST, MAX_COUNTS // len(self.counts)):
            oldest = min(counts, key=lambda number: average_rates[number].at)
            del counts[oldest], average_rates[oldest]

    def _charge_silent_periods(self, now: float) -> None:
        """Count what incarnations that are heard again may have granted while they were silent,
        spread over the last window; all of them at once, since many may come back together."""
        if not self.returned:
            return
        count_max_grants = self._sum_max_grants(self.returned)
        self.returned = []
        for number, window in self.windows.items():
            allowance = self.find_allowance(number)
            if allowance is not None:
                window.add_spread(count_max_grants(number, allowance), allowance.window_s, now)

    def _record_grants(self, number: OrganisationNumber, count: int, now: float) -> None:
        allowance = self.find_allowance(number)
        if allowance is None:
            self.windows.pop(number, None)
            return
        window = self.windows.get(number)
        if window is None:
            window = self.windows[number] = self._create_window(number, allowance, now)
        window.add(count, now, GRANT_STEP_S)

    def _create_window(
        self, number: OrganisationNumber, allowance: Allowance, now: float
    ) -> Window:
        """Return a window that includes an estimate of grants made before this host aggregated.

        Nobody knows these after a restart of all hosts, or if all aggregators are cut off; then
        :data:`INITIAL_ROOM_SHARE` applies.
        """
        window = Window()
        if now - self.aggregating_since >= allowance.window_s:
            return window
        reported_room = self.find_room(number)
        room = allowance.max_calls * INITIAL_ROOM_SHARE if reported_room is None else reported_room
        window.add_spread(max(0.0, allowance.max_calls - room), allowance.window_s, now)
        return window

    def _sum_max_grants(
        self, silent: Collection[tuple[SilentIncarnation, float]]
    ) -> Callable[[OrganisationNumber, Allowance], float]:
        """Return a function that adds up the most calls that silent incarnations may have granted
        in the last window.

        The rate of each is its average rate or its equal share, whichever is more. The equal shares
        are added up once for all organisations, and only incarnations with an average rate are
        counted one by one: counting all of them for each organisation took 0.13 s of a core per
        digest while half of 300 hosts were not heard yet.

        :param silent: the incarnations, and the times until which they count.
        """
        by_number: dict[OrganisationNumber, list[tuple[SilentIncarnation, float]]] = {}
        for row, until in silent:
            for number in row.average_rates:
                by_number.setdefault(number, []).append((row, until))
        seconds: dict[float, float] = {}

        def count(number: OrganisationNumber, allowance: Allowance) -> float:
            window_s = allowance.window_s
            if window_s not in seconds:
                seconds[window_s] = sum(row.count_seconds(window_s, until) for row, until in silent)
            share = allowance.equal_share_per_s(self.listed)
            return share * seconds[window_s] + sum(
                max(0.0, row.average_rates[number] - share) * row.count_seconds(window_s, until)
                for row, until in by_number.get(number, ())
            )

        return count

    def note_silent(self, incarnation: Incarnation, now: float) -> None:
        """Mark an incarnation as silent: it may be cut off and still grant calls at its average
        rates."""
        self.counts.pop(incarnation, None)
        self.heard_at.pop(incarnation, None)
        average_rates = self.average_rates.pop(incarnation, {})
        self.silent[incarnation] = SilentIncarnation(
            now, {row: rate.read(now) for row, rate in average_rates.items()}
        )

    def refresh_listed(self, now: float) -> None:
        """Update the listed and silent incarnations, and drop idle organisations."""
        if now - self.refreshed_at > DETECTION_DELAY_S:
            # This process was suspended, so the counts are out of date.
            self.counts.clear()
            self.heard_at.clear()
            self.average_rates.clear()
            self.windows.clear()
            self.returned.clear()
        self.refreshed_at = now
        self._charge_silent_periods(now)
        listed = self.list_incarnations()
        self.listed = len(listed)
        if len(self.counts) * 2 <= self.listed:
            self.minority_heard = True
            self.aggregating_since = now
        elif self.minority_heard:
            # Grants made while few hosts were heard are unknown.
            self.minority_heard = False
            self.windows.clear()
        self.silent = {
            incarnation: self.silent.get(incarnation) or SilentIncarnation(now, {}, was_heard=False)
            for incarnation in listed
            if incarnation not in self.counts
        }
        for incarnation, rates in self.average_rates.items():
            for number in [row for row, rate in rates.items() if rate.at < now - LEDGER_IDLE_S]:
                del rates[number], self.counts[incarnation][number]
        for number, window in list(self.windows.items()):
            allowance = self.find_allowance(number)
            if allowance is None or not window.count(allowance.window_s, now):
                del self.windows[number]

    def find_low_rooms(self, now: float) -> dict[OrganisationNumber, float]:
        """Return the room of the organisations that are near their limits, at most
        :data:`MAX_LOW_ROOMS` of those with the least share of room.

        Hosts take an organisation that is not reported to have room for a quarter of its limit.
        """
        found: dict[OrganisationNumber, float] = {}
        shares: dict[OrganisationNumber, float] = {}
        self._charge_silent_periods(now)
        count_reserved = self._sum_max_grants([(row, now) for row in self.silent.values()])
        for number, window in self.windows.items():
            allowance = self.find_allowance(number)
            if allowance is None:
                continue
            granted = window.count(allowance.window_s, now)
            room = allowance.max_calls - granted - count_reserved(number, allowance)
            if room < allowance.max_calls * LOW_ROOM_SHARE:
                found[number] = room
                shares[number] = room / allowance.max_calls
        if len(found) <= MAX_LOW_ROOMS:
            return found
        lowest = sorted(found, key=lambda number: shares[number])[:MAX_LOW_ROOMS]
        return {number: found[number] for number in lowest}
