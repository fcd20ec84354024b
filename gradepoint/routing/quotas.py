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

EXCESS_SHARE = 0.5
"""Share of the tolerated excess that is granted on purpose, so that calls below the limit are not
refused for a moment's difference; the rest covers what is not told yet."""
SLACK_SHARE = 0.25
"""Share of the tolerated slack that is granted on purpose, for the same reason."""
TIGHT_SHARE = 0.5
"""Share of an organisation's full room below which hosts are told of it."""
BLIND_SHARE = 0.25
"""Share of the tolerated excess that all hosts together may grant without word of each other."""
WORD_S = 0.35
"""Seconds for which a word of the room holds: those that add up speak four times a second at the
least. A host that is cut off must not go on as if all the room that comes back were its own."""
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

    :param calls_per_s: calls a second.
    :param room: calls that may come at once.
    :param blind_per_s: calls a second that all hosts may grant without word of each other.
    """

    calls_per_s: float
    room: float
    blind_per_s: float

    def part_per_s(self, hosts: int) -> float:
        """Return a host's equal part of the rate."""
        return self.calls_per_s / max(1, hosts)


def allow(quota: Quota, terms: QuotaTerms) -> Allowance:
    """Return what is granted under a quota.

    In a window of ``w`` seconds ``rate * (1 + excess / 2) * w + burst + slack / 4`` calls at the
    most; ``(rate * w + burst) * (1 + excess) + slack`` are tolerated.
    """
    tolerated = quota.calls_per_s * terms.excess * terms.window_s + terms.slack
    return Allowance(
        calls_per_s=quota.calls_per_s * (1 + terms.excess * EXCESS_SHARE),
        room=max(1.0, quota.burst + terms.slack * SLACK_SHARE),
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
class QuotaLedger:
    """What one host that adds up knows of all hosts' grants.

    A listed host that it does not hear may be cut off and go on: the room that comes back to it,
    by its usual rate or its equal part, whichever is more, is not granted here.

    :param find_allowance: returns an organisation's allowance, None without a limit.
    :param find_room: returns the room that this host was told of as any other one, None if none.
    :param list_lives: returns the lives that are listed.
    :ivar counts: grants that each life told last, by organisation.
    :ivar usual: usual rates of their grants.
    :ivar silent: usual rates of the listed lives that are not heard, as they fell silent.
    :ivar listed: how many lives are listed.
    """

    find_allowance: Callable[[OrganisationNumber], Allowance | None]
    find_room: Callable[[OrganisationNumber], float | None]
    list_lives: Callable[[], Collection[Incarnation]]
    buckets: dict[OrganisationNumber, Bucket] = field(default_factory=dict)
    counts: dict[Incarnation, dict[OrganisationNumber, int]] = field(default_factory=dict)
    usual: dict[Incarnation, dict[OrganisationNumber, UsualRate]] = field(default_factory=dict)
    silent: dict[Incarnation, dict[OrganisationNumber, float]] = field(default_factory=dict)
    listed: int = 1

    @property
    def heard_share(self) -> float:
        """Share of the listed lives that are heard."""
        return 1.0 - min(1.0, len(self.silent) / max(1, self.listed))

    def take(self, life: Incarnation, told: dict[OrganisationNumber, int], now: float) -> None:
        """Take how many calls a life has granted so far, by organisation."""
        self.silent.pop(life, None)
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

    def _spend(self, number: OrganisationNumber, count: int, now: float) -> None:
        allowance = self.find_allowance(number)
        if allowance is None:
            self.buckets.pop(number, None)
            return
        bucket = self.buckets.get(number)
        if bucket is None:
            told = self.find_room(number)
            room = allowance.room * self.heard_share if told is None else told
            bucket = self.buckets[number] = Bucket(room, now)
        bucket.fill(self._rate(number, allowance), allowance.room, now)
        bucket.room -= count

    def _rate(self, number: OrganisationNumber, allowance: Allowance) -> float:
        """Return how fast room comes back beside what silent lives may go on to grant."""
        part = allowance.part_per_s(self.listed)
        usual = (rates.get(number, 0.0) for rates in self.silent.values())
        elsewhere = sum(max(part, rate) for rate in usual)
        return max(0.0, allowance.calls_per_s - elsewhere)

    def note_silent(self, life: Incarnation, now: float) -> None:
        """Take note that a life is not heard: it may be cut off, and go on as it went."""
        self.counts.pop(life, None)
        usual = self.usual.pop(life, {})
        self.silent[life] = {number: rate.read(now) for number, rate in usual.items()}

    def look_around(self, now: float) -> None:
        """Take note of which lives are listed, and leave out what is idle or has all its room."""
        listed = self.list_lives()
        self.listed = len(listed)
        self.silent = {
            life: self.silent.get(life, {}) for life in listed if life not in self.counts
        }
        for life, rates in self.usual.items():
            for number in [row for row, rate in rates.items() if rate.at < now - LEDGER_IDLE_S]:
                del rates[number], self.counts[life][number]
        for number, bucket in list(self.buckets.items()):
            allowance = self.find_allowance(number)
            full = allowance is None or (
                bucket.fill(self._rate(number, allowance), allowance.room, now) >= allowance.room
            )
            if full:
                del self.buckets[number]

    def tell(self, now: float) -> dict[OrganisationNumber, float]:
        """Return the room of each organisation that nears its limit."""
        found = {}
        for number, bucket in self.buckets.items():
            allowance = self.find_allowance(number)
            if allowance is None:
                continue
            room = bucket.fill(self._rate(number, allowance), allowance.room, now)
            if room < allowance.room * TIGHT_SHARE:
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
    :ivar blind: room of each organisation while there is no word.
    """

    find_words: Callable[[], list[Word]]
    holds_lease: Callable[[], bool]
    count_hosts: Callable[[], int]
    spread: Callable[[], float]
    own: dict[OrganisationNumber, OwnGrants] = field(default_factory=dict)
    blind: dict[OrganisationNumber, Bucket] = field(default_factory=dict)
    blind_rates: dict[OrganisationNumber, float] = field(default_factory=dict)

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
        self.blind.pop(number, None)
        own = self.own.get(number)
        rooms = []
        for word in words:
            room = word.rooms.get(number, allowance.room * TIGHT_SHARE)
            if number in word.rooms:
                refill = min(REFILL_S, now - word.at) * allowance.calls_per_s
                room = min(allowance.room, room + refill)
            untold = 0 if own is None else own.count_since(word.covers_until, now)
            rooms.append(max(1.0, room) - untold if number not in word.rooms else room - untold)
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
        bucket = self.blind.get(number)
        if bucket is None:
            own = self.own.get(number)
            bucket = self.blind[number] = Bucket(1.0, now)
            self.blind_rates[number] = 0.0 if own is None else own.usual.read(now)
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
