"""How often an organisation may call, over all hosts together: pure decisions.

The load this answers: an organisation sends many times its usual to any of some hundred hosts,
while hosts restart or are cut off. Hosts tell what they granted to those that add up, and these
tell how much room is left, but only for organisations that near their limit: others need no word.
What hosts grant before they hear of each other is covered by the tolerated excess.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..ids import Incarnation, OrganisationNumber

MARGIN_SHARE = 0.1
"""Share of what is tolerated beyond a quota that is granted on purpose, so that no call below the
limit is refused for a moment's difference. The rest covers what hosts do not know of each other."""
MOST_GRANTED_SHARE = 0.75
"""Share of a quota with all that is tolerated that is granted on purpose at the most. The rest is
for what is granted unknown to others: 0.18 of it where a third of 51 hosts was cut off within a
second of an organisation turning hot (``python -m bench.quota_replay``)."""
TIGHT_SHARE = 0.25
"""Share of an organisation's full room below which hosts are told of it: eight times the usual
calls of one that uses two thirds of its quota take three words to use that up."""
BLIND_SHARE = 0.25
"""Share of the tolerated excess that all hosts together may grant without word of each other."""
WORD_S = 0.35
"""Seconds for which a word holds: those that add up speak four times a second at the least. A host
that is cut off must not go on as if all the room that comes back were its own."""
LEAST_HEARD_SHARE = 0.25
"""Share of the listed hosts that a word has to rest on. Fewer of them do better each by itself, at
its usual rate: what they know together of an organisation is little."""
REFILL_S = 0.1
"""Longest seconds after a word for which the room that comes back is counted: about a gap between
words. All hosts count the same room."""
USUAL_S = 10.0
"""Seconds over which a host's usual rate of grants is averaged: two windows of a limit."""
KEPT_GRANTS_S = 5.0
"""Seconds for which a host remembers each grant: many times what a report takes to be told."""
UNNOTICED_S = 1.0
"""Seconds for which a life may be cut off before that is noticed: a little more than what counts as
silence."""
UNKNOWN_SHARE = 0.1
"""Share of an organisation's full room that is there at first where nobody knows what was granted:
a small one has a call, and all of a quota that was just used up stays below what is tolerated."""
UNKNOWN_PARTS = 10
"""Parts in which what was granted before a host added up leaves its window, one after the other."""
LEDGER_IDLE_S = 3 * USUAL_S
"""Seconds after its last grant that a host's count for an organisation is forgotten by those that
add up: its usual rate has become a twentieth."""
HOST_IDLE_S = 2 * LEDGER_IDLE_S
"""Seconds after which the host itself forgets it: later, so that a count that begins anew is never
compared with the former one."""
SPREAD = 0.5
"""Share of the time until there is room by which refused callers are spread."""
LEAST_RETRY_S = 0.05
"""Least seconds after which a refused caller comes back."""
LONGEST_RETRY_S = 5.0
"""Longest seconds; what an organisation does until then is not known."""


@dataclass(frozen=True)
class QuotaTerms:
    """What is tolerated beyond a quota in any window of time.

    :param window_s: length of the window in seconds.
    :param excess: share of the quota, and *slack* a number of calls.
    """

    window_s: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True)
class Quota:
    """How often an organisation may call.

    :param calls_per_s: calls a second, above 0.
    :param burst: calls on top.
    """

    calls_per_s: float
    burst: float


@dataclass(frozen=True)
class Allowance:
    """What the fleet grants an organisation on purpose.

    :param most: calls in any window of *window_s* seconds.
    :param blind_per_s: calls a second that all hosts may grant without word of each other.
    """

    most: float
    window_s: float
    blind_per_s: float

    @property
    def calls_per_s(self) -> float:
        """The rate at which calls may come for long."""
        return self.most / self.window_s

    def part_per_s(self, hosts: int) -> float:
        """Return a host's equal part of the rate."""
        return self.calls_per_s / max(1, hosts)


def allow(quota: Quota, terms: QuotaTerms) -> Allowance:
    """Return what is granted under a quota.

    ``rate * window + burst`` calls in a window and a little of what is tolerated beyond that, but
    of large quotas less: the fixed part of what is tolerated is a small one of theirs.
    """
    within = quota.calls_per_s * terms.window_s + quota.burst
    tolerated = within * terms.excess + terms.slack
    return Allowance(
        most=max(
            1.0,
            min(within + tolerated * MARGIN_SHARE, (within + tolerated) * MOST_GRANTED_SHARE),
        ),
        window_s=terms.window_s,
        blind_per_s=tolerated * BLIND_SHARE / terms.window_s,
    )


@dataclass
class UsualRate:
    """A rate averaged over :data:`USUAL_S` seconds, the older the less.

    :ivar at: time of the last count.
    """

    per_s: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the rate as of *now*."""
        return self.per_s * math.exp(-max(0.0, now - self.at) / USUAL_S)

    def add(self, count: int, now: float) -> None:
        """Count what came."""
        self.per_s = self.read(now) + count / USUAL_S
        self.at = now


@dataclass
class Bucket:
    """Room that fills with time.

    :ivar room: calls that may come now; below 0 where more came than there was room for.
    """

    room: float
    at: float

    def fill(self, calls_per_s: float, most: float, now: float) -> float:
        """Return the room as of *now*."""
        if now > self.at:
            self.room = min(most, self.room + (now - self.at) * calls_per_s)
            self.at = now
        self.room = min(most, self.room)
        return self.room


@dataclass
class Window:
    """Grants of the last seconds.

    A bucket that fills with time would let an organisation have its burst only after a rest; a
    quota holds in each window by itself.

    :ivar grants: time and number of grants, the oldest first; taken back ones are below 0.
    :ivar total: their sum.
    """

    grants: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, count: float, now: float) -> None:
        """Count grants."""
        self.grants.append((now, count))
        self.total += count

    def add_spread(self, count: float, window_s: float, now: float) -> None:
        """Count grants of which it is not known when in the last window they were."""
        parts = [
            (now - window_s * (1 - part / UNKNOWN_PARTS), count / UNKNOWN_PARTS)
            for part in range(1, UNKNOWN_PARTS + 1)
        ]
        self.grants = deque(sorted((*self.grants, *parts)))
        self.total += count

    def count(self, window_s: float, now: float) -> float:
        """Return the grants of the last *window_s* seconds."""
        while self.grants and self.grants[0][0] <= now - window_s:
            self.total -= self.grants.popleft()[1]
        return self.total if self.grants else 0.0


@dataclass(frozen=True)
class SilentLife:
    """A listed life that is not heard.

    :param since: time at which it fell silent, and *usual* its usual rates by organisation then.
    :param was_heard: it was heard before; else it has just been listed.
    """

    since: float
    usual: dict[OrganisationNumber, float]
    was_heard: bool = True

    def count_most(
        self, number: OrganisationNumber, allowance: Allowance, hosts: int, now: float
    ) -> float:
        """Return the calls that it may have granted in the last window: at its usual rate or its
        equal part, whichever is more."""
        rate = max(allowance.part_per_s(hosts), self.usual.get(number, 0.0))
        return rate * min(allowance.window_s, now - self.since + UNNOTICED_S)


@dataclass
class QuotaLedger:
    """What one host that adds up knows of all hosts' grants.

    A listed host that it does not hear may be cut off and go on: what it may grant in a window, by
    its usual rate or its equal part, whichever is more, is not granted here.

    :param find_allowance: returns an organisation's allowance, None without a limit.
    :param find_room: returns the room that this host was told of as any other one, None if none.
    :param list_lives: returns the lives that are listed.
    :ivar counts: grants that each life told last, by organisation.
    :ivar usual: usual rates of their grants, and *heard_at* when each was last heard.
    :ivar windows: what all hosts granted in the last window, by organisation.
    :ivar silent: the listed lives that are not heard.
    :ivar listed: how many lives are listed.
    :ivar began_at: time from which this host has added up without a gap.
    :ivar looked_at: time of the last look around, and *few_heard* whether no more than half of the
        listed lives were heard then.
    """

    find_allowance: Callable[[OrganisationNumber], Allowance | None]
    find_room: Callable[[OrganisationNumber], float | None]
    list_lives: Callable[[], Collection[Incarnation]]
    windows: dict[OrganisationNumber, Window] = field(default_factory=dict)
    counts: dict[Incarnation, dict[OrganisationNumber, int]] = field(default_factory=dict)
    usual: dict[Incarnation, dict[OrganisationNumber, UsualRate]] = field(default_factory=dict)
    heard_at: dict[Incarnation, float] = field(default_factory=dict)
    silent: dict[Incarnation, SilentLife] = field(default_factory=dict)
    listed: int = 1
    began_at: float = float("-inf")
    looked_at: float = float("inf")
    few_heard: bool = False

    def find_heard_share(self, now: float) -> float:
        """Return the share of the listed lives that were heard just now.

        A host that is cut off has to see that before it has granted much by its own sums.
        """
        lately = sum(1 for at in self.heard_at.values() if now - at <= WORD_S)
        return min(1.0, lately / max(1, self.listed))

    def take(self, life: Incarnation, told: dict[OrganisationNumber, int], now: float) -> None:
        """Take how many calls a life has granted so far, by organisation."""
        if not self.counts:
            self.began_at = now
        self.heard_at[life] = now
        silent = self.silent.pop(life, None)
        if silent is not None and silent.was_heard:
            self._take_back_silent(silent, now)
        known = life in self.counts
        counts = self.counts.setdefault(life, {})
        usual = self.usual.setdefault(life, {})
        for number, count in told.items():
            # What a life granted before it was first heard was told to others.
            new = count - counts.get(number, count - (1 if known else 0))
            counts[number] = count
            usual.setdefault(number, UsualRate(at=now))
            if new:
                usual[number].add(new, now)
                self._spend(number, new, now)

    def _take_back_silent(self, life: SilentLife, now: float) -> None:
        """Count what a life may have granted while it was not heard, until that is out of the
        window."""
        for number, window in self.windows.items():
            allowance = self.find_allowance(number)
            if allowance is not None:
                count = life.count_most(number, allowance, self.listed, now)
                window.add_spread(count, allowance.window_s, now)

    def _spend(self, number: OrganisationNumber, count: int, now: float) -> None:
        allowance = self.find_allowance(number)
        if allowance is None:
            self.windows.pop(number, None)
            return
        window = self.windows.get(number)
        if window is None:
            window = self.windows[number] = self._begin_window(number, allowance, now)
        window.add(count, now)

    def _begin_window(self, number: OrganisationNumber, allowance: Allowance, now: float) -> Window:
        """Return a window with what may have been granted before this host added up.

        After a restart of all hosts, or where all that added up are cut off, nobody knows.
        """
        window = Window()
        if now - self.began_at >= allowance.window_s:
            return window
        told = self.find_room(number)
        room = allowance.most * UNKNOWN_SHARE if told is None else told
        window.add_spread(max(0.0, allowance.most - room), allowance.window_s, now)
        return window

    def _find_room(self, number: OrganisationNumber, allowance: Allowance, now: float) -> float:
        """Return the calls that there is room for beside what silent lives may grant."""
        elsewhere = sum(
            life.count_most(number, allowance, self.listed, now) for life in self.silent.values()
        )
        granted = self.windows[number].count(allowance.window_s, now)
        return allowance.most - granted - elsewhere

    def note_silent(self, life: Incarnation, now: float) -> None:
        """Take note that a life is not heard: it may be cut off, and go on as it went."""
        self.counts.pop(life, None)
        self.heard_at.pop(life, None)
        usual = self.usual.pop(life, {})
        self.silent[life] = SilentLife(now, {row: rate.read(now) for row, rate in usual.items()})

    def look_around(self, now: float) -> None:
        """Take note of which lives are listed, and leave out organisations that are idle."""
        if now - self.looked_at > UNNOTICED_S:
            # This host stood still, and what the others granted meanwhile is not of this moment.
            self.counts.clear()
            self.heard_at.clear()
            self.usual.clear()
            self.windows.clear()
        self.looked_at = now
        listed = self.list_lives()
        self.listed = len(listed)
        if len(self.counts) * 2 <= self.listed:
            self.few_heard = True
            self.began_at = now
        elif self.few_heard:
            # What the others granted while few were heard is not known.
            self.few_heard = False
            self.windows.clear()
        self.silent = {
            life: self.silent.get(life) or SilentLife(now, {}, was_heard=False)
            for life in listed
            if life not in self.counts
        }
        for life, rates in self.usual.items():
            for number in [row for row, rate in rates.items() if rate.at < now - LEDGER_IDLE_S]:
                del rates[number], self.counts[life][number]
        for number, window in list(self.windows.items()):
            allowance = self.find_allowance(number)
            if allowance is None or not window.count(allowance.window_s, now):
                del self.windows[number]

    def tell(self, now: float) -> dict[OrganisationNumber, float]:
        """Return the room of each organisation that nears its limit."""
        found = {}
        for number in self.windows:
            allowance = self.find_allowance(number)
            if allowance is None:
                continue
            room = self._find_room(number, allowance, now)
            if room < allowance.most * TIGHT_SHARE:
                found[number] = room
        return found


@dataclass(frozen=True)
class Word:
    """What one host that adds up told last.

    :param rooms: room by organisation, of those that near their limit.
    :param at: time at which it came.
    :param covers_until: time until which this host's own grants are taken into account.
    :param heard_share: share of the listed hosts that are heard by who tells this.
    """

    rooms: dict[OrganisationNumber, float]
    at: float
    covers_until: float
    heard_share: float = 1.0


@dataclass(frozen=True)
class Refused:
    """A call beyond its organisation's limit.

    :param retry_after_s: seconds after which there is room again.
    :param room: calls that there is room for, as far as this host knows.
    :param blind: this host had no word of the others.
    """

    retry_after_s: float
    room: float
    blind: bool


@dataclass
class OwnGrants:
    """What this host granted one organisation.

    :ivar count: all of them, less those that were given back.
    :ivar times: times of the last ones.
    :ivar changed_at: time of the last change of *count*.
    """

    count: int = 0
    times: deque[float] = field(default_factory=deque)
    usual: UsualRate = field(default_factory=UsualRate)
    changed_at: float = float("-inf")

    def add(self, now: float) -> None:
        """Count a grant."""
        self.count += 1
        self.times.append(now)
        self.usual.add(1, now)
        self.changed_at = now

    def take_back(self, now: float) -> None:
        """Count a grant that no target got."""
        self.count -= 1
        self.usual.add(-1, now)
        self.changed_at = now
        if self.times:
            self.times.pop()

    def count_since(self, since: float, now: float) -> int:
        """Return the grants from *since* on, of those that are remembered."""
        while self.times and self.times[0] < now - KEPT_GRANTS_S:
            self.times.popleft()
        return sum(1 for at in self.times if at >= since)


@dataclass
class HostQuotas:
    """Grants calls at one host.

    :param find_words: returns what hosts that add up told lately; none where this host is cut off.
    :param holds_lease: whether this host is still listed, so that others leave it its usual rate.
    :param count_hosts: returns how many hosts there are, this one included.
    :param spread: returns a random share from 0 to 1.
    :ivar blind: room of each organisation while there is no word; it stays over short ones, so that
        words that come and go let nothing more through.
    :ivar blind_rates: usual rates when the words ended, and *blind_since* when that was.
    """

    find_words: Callable[[], list[Word]]
    holds_lease: Callable[[], bool]
    count_hosts: Callable[[], int]
    spread: Callable[[], float]
    own: dict[OrganisationNumber, OwnGrants] = field(default_factory=dict)
    blind: dict[OrganisationNumber, Bucket] = field(default_factory=dict)
    blind_rates: dict[OrganisationNumber, float] = field(default_factory=dict)
    blind_since: dict[OrganisationNumber, float] = field(default_factory=dict)

    def admit(self, number: OrganisationNumber, allowance: Allowance, now: float) -> Refused | None:
        """Grant a call and count it, or return why not."""
        words = self.find_young_words(now)
        if words:
            room, rate = self.estimate(number, allowance, words, now), allowance.calls_per_s
        else:
            room, rate = self._find_blind_room(number, allowance, now)
        if room < 1.0:
            return Refused(self._wait_s(1.0 - room, rate), room, blind=not words)
        if not words:
            self.blind[number].room -= 1.0
        self.own.setdefault(number, OwnGrants()).add(now)
        return None

    def find_young_words(self, now: float) -> list[Word]:
        """Return the words that hold yet and rest on enough of the hosts."""
        return [
            word
            for word in self.find_words()
            if now - word.at <= WORD_S and word.heard_share >= LEAST_HEARD_SHARE
        ]

    def take_back(self, number: OrganisationNumber, now: float) -> None:
        """Return a grant of a call that no target ran."""
        self.own.setdefault(number, OwnGrants()).take_back(now)

    def estimate(
        self, number: OrganisationNumber, allowance: Allowance, words: Iterable[Word], now: float
    ) -> float:
        """Return the least room that any of *words* leaves; an organisation that none of them
        names has as much as is not worth a word."""
        self.blind_since.pop(number, None)
        own = self.own.get(number)
        rooms = []
        for word in words:
            room = max(1.0, allowance.most * TIGHT_SHARE)
            if number in word.rooms:
                refill = min(REFILL_S, now - word.at) * allowance.calls_per_s
                room = min(allowance.most, word.rooms[number] + refill)
            rooms.append(room - (0 if own is None else own.count_since(word.covers_until, now)))
        return min(rooms)

    def find_told_room(
        self, number: OrganisationNumber, allowance: Allowance, now: float
    ) -> float | None:
        """Return the room that this host was told of, None without any word of it."""
        words = [word for word in self.find_young_words(now) if number in word.rooms]
        return self.estimate(number, allowance, words, now) if words else None

    def _find_blind_room(
        self, number: OrganisationNumber, allowance: Allowance, now: float
    ) -> tuple[float, float]:
        """Return the room of a host without word of the others, and how fast it comes back.

        It goes on at its usual rate or its equal part, which those that add up leave to it while it
        is listed, and else at its share of the tolerated excess.
        """
        hosts = self.count_hosts()
        bucket = self.blind.setdefault(number, Bucket(1.0, now))
        if number not in self.blind_since:
            self.blind_since[number] = now
            own = self.own.get(number, OwnGrants())
            self.blind_rates[number] = own.usual.read(now)
            # What it granted since others last heard of it counts here.
            since = max((word.covers_until for word in self.find_words()), default=now)
            bucket.room -= own.count_since(since, now)
        rate = allowance.blind_per_s / max(1, hosts)
        if self.holds_lease():
            usual = min(allowance.calls_per_s, self.blind_rates.get(number, 0.0))
            rate = max(allowance.part_per_s(hosts), usual)
        return bucket.fill(rate, max(1.0, rate), now), rate

    def _wait_s(self, lacking: float, calls_per_s: float) -> float:
        wait = lacking / calls_per_s if calls_per_s > 0 else LONGEST_RETRY_S
        wait *= 1.0 + SPREAD * self.spread()
        return min(LONGEST_RETRY_S, max(LEAST_RETRY_S, wait))

    def tell(self, now: float) -> dict[OrganisationNumber, int]:
        """Return the counts of grants that changed lately."""
        return {
            number: own.count
            for number, own in self.own.items()
            if now - own.changed_at < KEPT_GRANTS_S / 2
        }

    def forget(self, now: float) -> None:
        """Leave out organisations that are idle; their counts begin anew."""
        oldest = now - HOST_IDLE_S
        for number in [number for number, own in self.own.items() if own.changed_at < oldest]:
            del self.own[number]
            self.blind.pop(number, None)
            self.blind_rates.pop(number, None)
            self.blind_since.pop(number, None)
