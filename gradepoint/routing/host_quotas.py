"""Grants of calls to organisations at one host, by what others told it: pure decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .quotas import (
    LEAST_RETRY_S,
    LEDGER_IDLE_S,
    TIGHT_SHARE,
    WORD_S,
    Allowance,
    Bucket,
    UsualRate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import OrganisationNumber

LEAST_HEARD_SHARE = 0.25
"""Share of the listed hosts that a word has to rest on. Fewer of them do better each by itself, at
its usual rate: what they know together of an organisation is little."""
REFILL_S = 0.1
"""Longest seconds after a word for which the room that comes back is counted: about a gap between
words. All hosts count the same room."""
KEPT_GRANTS_S = 5.0
"""Seconds for which a host remembers each grant: many times what a report takes to be told."""
HOST_IDLE_S = 2 * LEDGER_IDLE_S
"""Seconds after which the host itself forgets it: later, so that a count that begins anew is never
compared with the former one."""
SPREAD = 0.5
"""Share of the time until there is room by which refused callers are spread."""
LONGEST_RETRY_S = 5.0
"""Longest seconds; what an organisation does until then is not known."""


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
        """Return the least room that there is as this host was told, None without any word."""
        words = self.find_young_words(now)
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
        # A host that knows of no others could take the share of all of them.
        rate = allowance.blind_per_s / hosts if hosts else 0.0
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
