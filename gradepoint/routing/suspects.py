"""Decide which requests end the targets that run them, without I/O or clocks.

A target *ends* when its process dies. Each request that it was running may be the cause; most are
not. Sending them again tells them apart: the cause ends the next target as well, while the others
get their answers. Ends are therefore counted first, and then suspected requests are tried alone.

- Each request collects the ends of targets that ran it. One complete answer clears it.
- After :data:`SUSPECTED_ENDS` ends it is suspected. It is still served, but in trials: by one host
  at a time, and if possible at a target that runs nothing else.
- After :data:`HELD_ENDS` ends, trials among them, it is held back. Ends before the suspicion never
  suffice: a request that many callers send at once may run on many targets that end for another
  reason.

Hosts exchange ends and complete answers. Both are only ever added, so updates may arrive late,
twice and in any order.
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
"""Ends after which a request is tried alone. A request that ran beside the cause has one end; it
gets a second one only if both meet again on one target."""
HELD_ENDS = 4
"""Ends after which a request is held back, if trials are among them. A harmless request that ran on
three targets that ended is still tried and answered."""
HELD_TRIAL_WEIGHT = 2
"""Total weight of the trials among these ends: one trial alone, or two beside other calls."""
CRASH_LIFETIME_S = 600.0
"""Seconds for which an end counts. Afterwards a request that was held back is tried again: this
costs one target in ten minutes, and shows whether a new version or new weights can run it."""
ANSWERED_S = 5.0
"""Seconds after a complete answer in which the request is not blamed for an end. A request that
many callers send runs on every target that ends. The time is limited because new weights may make a
harmless request harmful."""
MAX_RECORDS = 4096
"""Requests whose ends are remembered: 5.9 MB when full (``tracemalloc``). Those with the fewest and
oldest ends are evicted first, so that a flood of different requests never evicts one that ended
targets repeatedly."""
EVICTION_DIVISOR = 16
"""One in this many records is evicted at a time, so that a flood causes one sort per some hundred
requests."""
MAX_ANSWERED = 2048
"""Requests whose last complete answer is remembered: more than the number of widely sent requests
that a host gets within :data:`ANSWERED_S`."""
MAX_ENDS_PER_REQUEST = 8
"""Ends kept for one request: twice the number that counts, since some may be taken back."""
MAX_REPORTED = 24
"""Requests in one message: with eight slots per target, those of three ends, in at most 2.2 KB."""
RELAY_CHANGES_S = 2.0
"""Seconds for which aggregators relay a change: at least eight messages, of which some may be
lost."""
REPORT_OWN_S = 10.0
"""Seconds for which a host reports its own observations; it may be cut off for part of them."""
REPEAT_GAP_S = 1.0
"""Seconds between messages that repeat suspected requests, for hosts that have just started."""
SAME_MOMENT_S = 0.05
"""Seconds by which two times must differ to count as different: transmission delays vary by
less."""
MILLISECONDS = 1000


class Standing(Enum):
    """State of a request, by rising suspicion.

    ``CLEAR``: no counted ends. ``SEEN``: some ends, too few for a suspicion. ``SUSPECTED``: served
    only in trials. ``HELD``: held back. A complete answer leads back to ``CLEAR``; ends expire
    after :data:`CRASH_LIFETIME_S`.
    """

    CLEAR = 0
    SEEN = 1
    SUSPECTED = 2
    HELD = 3


class Trial(Enum):
    """How a request ran on a target that ended; the value is its weight.

    ``NONE``: no trial. ``ACCOMPANIED``: a trial beside other calls. ``ALONE``: a trial with no
    other call at the target.
    """

    NONE = 0
    ACCOMPANIED = 1
    ALONE = 2


class ReportedEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a target's incarnation under a request.

    :param incarnation: short number of the target's incarnation.
    :param at_ms: time of the end in milliseconds, by the sender's clock.
    :param trial: value of :class:`Trial`.
    """

    incarnation: TargetNumber
    at_ms: int
    trial: int


class ReportedSuspect(msgspec.Struct, frozen=True, array_like=True):
    """One request in a message between hosts.

    :param answered_ms: time of its last complete answer by the sender's clock; None if there is
        none.
    """

    key: RequestKey
    answered_ms: int | None
    ends: list[ReportedEnd]


class SuspectsMessage(msgspec.Struct, frozen=True, array_like=True):
    """A host's message about requests.

    :param alive: target incarnations that were reported as ended but have answered since.
    """

    suspects: list[ReportedSuspect] = []
    alive: list[TargetNumber] = []


@dataclass(frozen=True)
class Change:
    """A change of a request's standing.

    :param ends: target incarnations that ended under the request.
    """

    key: RequestKey
    former: Standing
    standing: Standing
    ends: tuple[TargetNumber, ...]


@dataclass
class Record:
    """Ends and answers of one request.

    :ivar ends: time and trial by target incarnation that ended.
    :ivar answered_at: time of its last complete answer.
    :ivar standing: standing at the last update, for detecting changes.
    :ivar changed_at: time of the last change.
    :ivar observed_at: time of the last change that this host observed itself.
    """

    ends: dict[TargetNumber, tuple[float, Trial]] = field(default_factory=dict)
    answered_at: float = float("-inf")
    standing: Standing = Standing.CLEAR
    changed_at: float = float("-inf")
    observed_at: float = float("-inf")

    def find_counted_ends(self, now: float) -> list[tuple[float, Trial]]:
        """Return the ends that count: neither expired nor just after a complete answer."""
        oldest = max(now - CRASH_LIFETIME_S, self.answered_at + ANSWERED_S)
        return [end for end in self.ends.values() if end[0] > oldest]

    def classify(self, now: float) -> Standing:
        """Return the request's standing at time *now*."""
        ends = self.find_counted_ends(now)
        weight = sum(trial.value for _, trial in ends)
        if len(ends) >= HELD_ENDS and weight >= HELD_TRIAL_WEIGHT:
            return Standing.HELD
        if len(ends) >= SUSPECTED_ENDS:
            return Standing.SUSPECTED
        return Standing.SEEN if ends else Standing.CLEAR

    def add(self, incarnation: TargetNumber, at: float, trial: Trial) -> bool:
        """Add an end; return whether it adds information.

        Of several times for one incarnation the earliest is kept, and of several trials the
        heaviest.
        """
        former_at, former_trial = self.ends.get(incarnation, (float("inf"), None))
        known = former_trial is not None
        if former_trial is not None and former_trial.value > trial.value:
            trial = former_trial
        self.ends[incarnation] = min(at, former_at), trial
        if len(self.ends) > MAX_ENDS_PER_REQUEST:
            del self.ends[min(self.ends, key=lambda other: (self.ends[other][0], other))]
        return not known or trial is not former_trial


@dataclass
class Suspects:
    """All requests that this host knows to have run on targets that ended.

    :ivar records: ends and answers by request.
    :ivar answered: times of the last complete answers, the oldest first.
    :ivar alive: time by target incarnation that was reported as ended but has answered since.
    :ivar reported_ends: incarnations that other hosts reported as ended, until
        :meth:`take_reported_ends` takes them.
    :ivar repeated_at: time at which suspected requests were last repeated.
    :ivar repeat_position: position in the suspected requests from which the next message repeats
        them.
    """

    records: dict[RequestKey, Record] = field(default_factory=dict)
    answered: dict[RequestKey, float] = field(default_factory=dict)
    alive: dict[TargetNumber, float] = field(default_factory=dict)
    reported_ends: set[TargetNumber] = field(default_factory=set)
    repeated_at: float = float("-inf")
    repeat_position: int = 0

    def find_standing(self, key: RequestKey, now: float) -> Standing:
        """Return a request's standing at time *now*."""
        record = self.records.get(key)
        return Standing.CLEAR if record is None else record.classify(now)

    def note_end(
        self, incarnation: TargetNumber, requests: Iterable[tuple[RequestKey, Trial]], now: float
    ) -> list[Change]:
        """Record the end of a target that ran *requests*, observed by this host."""
        changes = []
        for key, trial in requests:
            record = self._get_or_create(key)
            if record.add(incarnation, now, trial):
                record.observed_at = now
            changes += self._update(key, record, now)
        return changes

    def note_answer(self, key: RequestKey, now: float) -> list[Change]:
        """Record a complete answer that this host got."""
        self.answered.pop(key, None)
        self.answered[key] = now
        if len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        record = self.records.get(key)
        if record is None:
            return []
        if now > record.answered_at + SAME_MOMENT_S:
            record.answered_at = now
            record.observed_at = now
        return self._update(key, record, now)

    def note_alive(self, incarnation: TargetNumber, now: float) -> list[Change]:
        """Take back the end of an incarnation that has answered a call sent after it."""
        if not self.has_ended(incarnation):
            return []
        self.alive[incarnation] = now
        changes = []
        for key, record in list(self.records.items()):
            if record.ends.pop(incarnation, None) is not None:
                changes += self._update(key, record, now)
        return changes

    def has_ended(self, incarnation: TargetNumber) -> bool:
        """Whether an incarnation is recorded as ended under any request."""
        return any(incarnation in record.ends for record in self.records.values())

    def restore(
        self, key: RequestKey, ends: Iterable[tuple[TargetNumber, Trial]], now: float
    ) -> list[Change]:
        """Add ends that were stored before this host started."""
        record = self._get_or_create(key)
        for incarnation, trial in ends:
            if incarnation not in record.ends and incarnation not in self.alive:
                record.add(incarnation, now, trial)
                self.reported_ends.add(incarnation)
        return self._update(key, record, now)

    def find(self, standing: Standing, now: float) -> list[RequestKey]:
        """Return the requests with the given standing."""
        return [key for key, record in self.records.items() if record.classify(now) is standing]

    def forget(self, now: float) -> None:
        """Drop records that no longer count and need not be reported."""
        self.alive = {
            incarnation: at for incarnation, at in self.alive.items() if now - at < REPORT_OWN_S
        }
        for key, record in list(self.records.items()):
            must_report = now - record.changed_at < REPORT_OWN_S
            if record.classify(now) is Standing.CLEAR and not must_report:
                del self.records[key]

    def make_own_message(self, now: float) -> SuspectsMessage:
        """Return a message with this host's own recent observations."""
        keys = [
            key for key, record in self.records.items() if now - record.observed_at < REPORT_OWN_S
        ]
        keys.sort(key=lambda key: self.records[key].observed_at, reverse=True)
        return self._build_report(keys[:MAX_REPORTED])

    def make_relay_message(self, now: float) -> SuspectsMessage:
        """Return a message with recent changes and, from time to time, suspected requests in
        rotation."""
        keys = [
            key for key, record in self.records.items() if now - record.changed_at < RELAY_CHANGES_S
        ]
        keys.sort(key=lambda key: self.records[key].changed_at, reverse=True)
        if now - self.repeated_at >= REPEAT_GAP_S:
            self.repeated_at = now
            keys = list(dict.fromkeys([*keys[: MAX_REPORTED // 2], *self._next_suspected(now)]))
        return self._build_report(keys[:MAX_REPORTED])

    def _next_suspected(self, now: float) -> list[RequestKey]:
        """Return the next suspected requests in rotation."""
        least = Standing.SUSPECTED.value
        keys = [key for key, record in self.records.items() if record.classify(now).value >= least]
        if not keys:
            return []
        start = self.repeat_position % len(keys)
        self.repeat_position = start + MAX_REPORTED // 2
        return [*keys[start:], *keys[:start]][: MAX_REPORTED // 2]

    def _build_report(self, keys: Iterable[RequestKey]) -> SuspectsMessage:
        return SuspectsMessage(
            [_encode_record(key, self.records[key]) for key in keys], [*self.alive]
        )

    def receive(self, message: SuspectsMessage, offset_s: float, now: float) -> list[Change]:
        """Merge another host's message.

        :param offset_s: difference that converts the sender's clock to this host's.
        """
        changes = []
        for incarnation in message.alive:
            if incarnation not in self.alive:
                changes += self.note_alive(incarnation, now)
        for suspect in message.suspects:
            record = self._get_or_create(suspect.key)
            is_changed = False
            for end in suspect.ends:
                if end.incarnation not in self.alive:
                    at = min(now, end.at_ms / MILLISECONDS + offset_s)
                    if end.incarnation not in record.ends:
                        self.reported_ends.add(end.incarnation)
                    is_changed = record.add(end.incarnation, at, Trial(end.trial)) or is_changed
            if suspect.answered_ms is not None:
                at = min(now, suspect.answered_ms / MILLISECONDS + offset_s)
                if at > record.answered_at + SAME_MOMENT_S:
                    record.answered_at, is_changed = at, True
            if is_changed:
                changes += self._update(suspect.key, record, now)
        return changes

    def take_reported_ends(self) -> set[TargetNumber]:
        """Return the incarnations that other hosts reported as ended since the last call."""
        reported, self.reported_ends = self.reported_ends, set()
        return reported

    def _get_or_create(self, key: RequestKey) -> Record:
        record = self.records.get(key)
        if record is None:
            answered_at = self.answered.get(key)
            record = self.records[key] = Record()
            if answered_at is not None:
                # The answer has not been reported to other hosts yet.
                record.answered_at = record.observed_at = answered_at
            if len(self.records) > MAX_RECORDS:
                self._make_room(key)
        return record

    def _make_room(self, newest: RequestKey) -> None:
        """Evict the records with the least evidence, several at once because this requires a
        sort."""
        others = [key for key in self.records if key != newest]
        others.sort(key=lambda key: _eviction_key(self.records[key]))
        for key in others[: MAX_RECORDS // EVICTION_DIVISOR]:
            del self.records[key]

    def _update(self, key: RequestKey, record: Record, now: float) -> list[Change]:
        record.changed_at = now
        former, record.standing = record.standing, record.classify(now)
        if former is record.standing:
            return []
        return [Change(key, former, record.standing, tuple(record.ends))]


def _eviction_key(record: Record) -> tuple[int, float]:
    """Return the sort key for eviction; the records with the least evidence come first."""
    newest = max((at for at, _ in record.ends.values()), default=float("-inf"))
    return len(record.ends), newest


def _encode_record(key: RequestKey, record: Record) -> ReportedSuspect:
    answered = record.answered_at
    return ReportedSuspect(
        key,
        None if answered == float("-inf") else round(answered * MILLISECONDS),
        [
            ReportedEnd(incarnation, round(at * MILLISECONDS), trial.value)
            for incarnation, (at, trial) in record.ends.items()
        ],
    )
