"""Which requests end the targets that run them: a pure decision, without clocks of its own.

When a target ends, each request that it had may be the cause, and most are not. What tells them
apart is what happens when they are sent again: the cause ends the next target as well, and its
neighbours get their answers. So counting comes first, then a trial.

- Each request collects the ends of targets that it was on. One whole answer clears it.
- With :data:`SUSPECTED_ENDS` it is suspected. It is still served, but tried: by one host at a
  time, at a target where it is alone, as far as there is one.
- It is held back once :data:`HELD_ENDS` targets have ended under it, trials among them. Ends before
  it was suspected never suffice: a request that many callers send at once may lie on many targets
  that end for another reason.

Hosts tell each other ends and whole answers. Both only add up, so that they may come late, twice
and in any order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..ids import RequestKey, TargetNumber

if TYPE_CHECKING:
    from collections.abc import Iterable

SUSPECTED_ENDS = 2
"""Ends after which a request is tried alone. A neighbour of the cause has one; it meets the cause
again with the chance of two calls to meet on one target."""
HELD_ENDS = 4
"""Ends after which a request is held back, if trials are among them. A good one that was on three
targets that ended is tried and answered."""
HELD_WEIGHT = 2
"""Weight of the trials among them: that of one trial alone, or of two beside other calls."""
MEMORY_S = 600.0
"""Seconds for which an end counts. After them a request that was held back is tried once more: that
costs one target in ten minutes, and shows whether a new version or new weights bear it."""
ANSWERED_S = 5.0
"""Seconds after a whole answer in which the request is not the cause of an end. A request that
many callers send lies on every target that ends; new weights make one harmful that was not."""
MOST_RECORDS = 4096
"""Requests that are remembered with their ends: 5.9 MB when full (``tracemalloc``). Those with the
fewest and oldest ends make room first: a flood of different requests pushes out none that ended
targets again and again."""
ROOM_PARTS = 16
"""One of so many records makes room at a time: a flood costs a sort for some hundred requests."""
MOST_ANSWERED = 2048
"""Requests whose last whole answer is remembered: more than a host is sent within
:data:`ANSWERED_S` of those that many callers send."""
MOST_ENDS = 8
"""Ends kept of one request: twice what is counted, since some may turn out not to be ends."""
MOST_TOLD = 24
"""Requests in one message: with eight slots a target, what three ends bring, in 2.2 KB at most."""
TOLD_S = 2.0
"""Seconds for which hosts that add up tell a change: eight messages at the least, some of which may
be lost."""
TOLD_OWN_S = 10.0
"""Seconds for which a host tells what it saw itself: it may be cut off for some of them."""
TOLD_ANEW_S = 1.0
"""Seconds between messages that tell suspected requests again, for hosts that have just started."""
SAME_S = 0.05
"""Seconds by which a moment is later than another one: the ways of two messages differ by less."""
MILLISECONDS = 1000


class Standing(Enum):
    """What is known of a request, by rising suspicion."""

    CLEAR = 0
    SEEN = 1
    SUSPECTED = 2
    HELD = 3


class Trial(Enum):
    """How a request was on a target that ended; its value is its weight."""

    NONE = 0
    ACCOMPANIED = 1
    ALONE = 2


class ToldEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a target's life under a request.

    :param at_ms: when, by the clock of the host that tells it.
    """

    life: TargetNumber
    at_ms: int
    trial: int


class ToldSuspect(msgspec.Struct, frozen=True, array_like=True):
    """One request as hosts tell it.

    :param answered_ms: its last whole answer by the clock of the host that tells it; None if there
        was none.
    """

    key: RequestKey
    answered_ms: int | None
    ends: list[ToldEnd]


class ToldSuspects(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells of requests.

    :param alive: lives that were told as ended and have answered since.
    """

    suspects: list[ToldSuspect] = []
    alive: list[TargetNumber] = []


@dataclass(frozen=True)
class Change:
    """A request whose standing has changed."""

    key: RequestKey
    former: Standing
    standing: Standing
    ends: tuple[TargetNumber, ...]


@dataclass
class Record:
    """What is known of one request.

    :ivar ends: moment and kind by the life that ended.
    :ivar answered_at: its last whole answer.
    :ivar standing: at the last look, to tell changes.
    :ivar changed_at: when it last changed, and *own_at* by what this host saw itself.
    """

    ends: dict[TargetNumber, tuple[float, Trial]] = field(default_factory=dict)
    answered_at: float = float("-inf")
    standing: Standing = Standing.CLEAR
    changed_at: float = float("-inf")
    own_at: float = float("-inf")

    def counted(self, now: float) -> list[tuple[float, Trial]]:
        """Return the ends that count."""
        oldest = max(now - MEMORY_S, self.answered_at + ANSWERED_S)
        return [end for end in self.ends.values() if end[0] > oldest]

    def judge(self, now: float) -> Standing:
        """Return what is known of the request."""
        ends = self.counted(now)
        weight = sum(trial.value for _, trial in ends)
        if len(ends) >= HELD_ENDS and weight >= HELD_WEIGHT:
            return Standing.HELD
        if len(ends) >= SUSPECTED_ENDS:
            return Standing.SUSPECTED
        return Standing.SEEN if ends else Standing.CLEAR

    def add(self, life: TargetNumber, at: float, trial: Trial) -> bool:
        """Take an end; return whether it is news."""
        former_at, former_trial = self.ends.get(life, (float("inf"), None))
        known = former_trial is not None
        if former_trial is not None and former_trial.value > trial.value:
            trial = former_trial
        self.ends[life] = min(at, former_at), trial
        if len(self.ends) > MOST_ENDS:
            del self.ends[min(self.ends, key=lambda other: (self.ends[other][0], other))]
        return not known or trial is not former_trial


@dataclass
class Suspects:
    """What this host knows of requests that were on targets that ended.

    :ivar answered: moments of the last whole answers, the oldest first.
    :ivar alive: lives that were told as ended and answered since, with the moment.
    :ivar told_ends: lives that other hosts told as ended, until who looks after targets takes them.
    :ivar told_anew_at: when suspected requests were last told again.
    """

    records: dict[RequestKey, Record] = field(default_factory=dict)
    answered: dict[RequestKey, float] = field(default_factory=dict)
    alive: dict[TargetNumber, float] = field(default_factory=dict)
    told_ends: set[TargetNumber] = field(default_factory=set)
    told_anew_at: float = float("-inf")
    told_anew_from: int = 0

    def find_standing(self, key: RequestKey, now: float) -> Standing:
        """Return what is known of a request."""
        record = self.records.get(key)
        return Standing.CLEAR if record is None else record.judge(now)

    def note_end(
        self, life: TargetNumber, requests: Iterable[tuple[RequestKey, Trial]], now: float
    ) -> list[Change]:
        """Take the end of a target that had *requests*, seen by this host."""
        changes = []
        for key, trial in requests:
            record = self._open(key)
            if record.add(life, now, trial):
                record.own_at = now
            changes += self._update(key, record, now)
        return changes

    def note_answer(self, key: RequestKey, now: float) -> list[Change]:
        """Take a whole answer that this host got."""
        self.answered.pop(key, None)
        self.answered[key] = now
        if len(self.answered) > MOST_ANSWERED:
            del self.answered[next(iter(self.answered))]
        record = self.records.get(key)
        if record is None:
            return []
        if now > record.answered_at + SAME_S:
            record.answered_at = now
            record.own_at = now
        return self._update(key, record, now)

    def note_alive(self, life: TargetNumber, now: float) -> list[Change]:
        """Take back the end of a life, since it has answered a call that was sent after it."""
        if not self.has_ended(life):
            return []
        self.alive[life] = now
        changes = []
        for key, record in list(self.records.items()):
            if record.ends.pop(life, None) is not None:
                changes += self._update(key, record, now)
        return changes

    def has_ended(self, life: TargetNumber) -> bool:
        """Whether a life is told as ended under any request."""
        return any(life in record.ends for record in self.records.values())

    def restore(
        self, key: RequestKey, ends: Iterable[tuple[TargetNumber, Trial]], now: float
    ) -> list[Change]:
        """Take ends that were kept from before this host started."""
        record = self._open(key)
        for life, trial in ends:
            if life not in record.ends and life not in self.alive:
                record.add(life, now, trial)
                self.told_ends.add(life)
        return self._update(key, record, now)

    def find(self, standing: Standing, now: float) -> list[RequestKey]:
        """Return the requests of a standing."""
        return [key for key, record in self.records.items() if record.judge(now) is standing]

    def forget(self, now: float) -> None:
        """Leave out what does not count any more."""
        self.alive = {life: at for life, at in self.alive.items() if now - at < TOLD_OWN_S}
        for key, record in list(self.records.items()):
            told = now - record.changed_at < TOLD_OWN_S
            if record.judge(now) is Standing.CLEAR and not told:
                del self.records[key]

    def tell_own(self, now: float) -> ToldSuspects:
        """Return what this host saw itself lately."""
        keys = [key for key, record in self.records.items() if now - record.own_at < TOLD_OWN_S]
        keys.sort(key=lambda key: self.records[key].own_at, reverse=True)
        return self._tell(keys[:MOST_TOLD])

    def tell_all(self, now: float) -> ToldSuspects:
        """Return what changed lately, and now and then all suspected requests in turn."""
        keys = [key for key, record in self.records.items() if now - record.changed_at < TOLD_S]
        keys.sort(key=lambda key: self.records[key].changed_at, reverse=True)
        if now - self.told_anew_at >= TOLD_ANEW_S:
            self.told_anew_at = now
            keys = list(dict.fromkeys([*keys[: MOST_TOLD // 2], *self._next_suspected(now)]))
        return self._tell(keys[:MOST_TOLD])

    def _next_suspected(self, now: float) -> list[RequestKey]:
        """Return the suspected requests whose turn it is."""
        least = Standing.SUSPECTED.value
        keys = [key for key, record in self.records.items() if record.judge(now).value >= least]
        if not keys:
            return []
        start = self.told_anew_from % len(keys)
        self.told_anew_from = start + MOST_TOLD // 2
        return [*keys[start:], *keys[:start]][: MOST_TOLD // 2]

    def _tell(self, keys: Iterable[RequestKey]) -> ToldSuspects:
        return ToldSuspects([_tell_record(key, self.records[key]) for key in keys], [*self.alive])

    def hear(self, told: ToldSuspects, offset_s: float, now: float) -> list[Change]:
        """Take what another host tells.

        :param offset_s: what turns its clock into this host's.
        """
        changes = []
        for life in told.alive:
            if life not in self.alive:
                changes += self.note_alive(life, now)
        for suspect in told.suspects:
            record = self._open(suspect.key)
            news = False
            for end in suspect.ends:
                if end.life not in self.alive:
                    at = min(now, end.at_ms / MILLISECONDS + offset_s)
                    if end.life not in record.ends:
                        self.told_ends.add(end.life)
                    news = record.add(end.life, at, Trial(end.trial)) or news
            if suspect.answered_ms is not None:
                at = min(now, suspect.answered_ms / MILLISECONDS + offset_s)
                if at > record.answered_at + SAME_S:
                    record.answered_at, news = at, True
            if news:
                changes += self._update(suspect.key, record, now)
        return changes

    def take_told_ends(self) -> set[TargetNumber]:
        """Return the lives that were told as ended since this was last asked."""
        told, self.told_ends = self.told_ends, set()
        return told

    def _open(self, key: RequestKey) -> Record:
        record = self.records.get(key)
        if record is None:
            answered_at = self.answered.get(key)
            record = self.records[key] = Record()
            if answered_at is not None:
                # Other hosts do not know of it yet.
                record.answered_at = record.own_at = answered_at
            if len(self.records) > MOST_RECORDS:
                self._make_room(key)
        return record

    def _make_room(self, newest: RequestKey) -> None:
        """Drop the records that say least, several at once since they have to be sorted."""
        others = [key for key in self.records if key != newest]
        others.sort(key=lambda key: _weigh(self.records[key]))
        for key in others[: MOST_RECORDS // ROOM_PARTS]:
            del self.records[key]

    def _update(self, key: RequestKey, record: Record, now: float) -> list[Change]:
        record.changed_at = now
        former, record.standing = record.standing, record.judge(now)
        if former is record.standing:
            return []
        return [Change(key, former, record.standing, tuple(record.ends))]


def _weigh(record: Record) -> tuple[int, float]:
    """Return by what records are kept: the least says least."""
    newest = max((at for at, _ in record.ends.values()), default=float("-inf"))
    return len(record.ends), newest


def _tell_record(key: RequestKey, record: Record) -> ToldSuspect:
    answered = record.answered_at
    return ToldSuspect(
        key,
        None if answered == float("-inf") else round(answered * MILLISECONDS),
        [
            ToldEnd(life, round(at * MILLISECONDS), trial.value)
            for life, (at, trial) in record.ends.items()
        ],
    )
