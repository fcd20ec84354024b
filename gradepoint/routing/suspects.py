"""Decide what crashes the targets, without I/O or clocks: a request, or a part of prompts.

A target *crashes* when its process dies. Each request that it was running may be the cause, and so
may each part of its prompt that other prompts share; most are not. These *suspects* are separated
by later requests that have them: the cause crashes the next target as well, while the others get
their answers. Crashes are therefore counted first, and then requests with a suspect are tried
alone.

- Each suspect collects the crashes of targets that ran a request with it. One complete answer to
  such a request clears it.
- After :data:`SUSPECTED_CRASHES` crashes it is suspected. Requests with it are still served, but in
  trials: by one host at a time, and if possible at a target that runs nothing else.
- After :data:`HELD_CRASHES` crashes, trials among them, requests with it are held back. Crashes
  from before it was suspected never suffice: a request that many callers send at once may run on
  many targets that crash for another reason.
- A part of prompts is also cleared by an answer that a target has been writing for longer than the
  crashed ones had their requests. Where answers are long, the first complete one comes too late for
  the parts that all prompts have.
- A crash that a held suspect explains is not counted against another suspect in a request without
  the held one. Suspects that always come together are held together; a request that has only one of
  them is tried.

Hosts exchange crashes and complete answers. Both are only ever added, so updates may arrive late,
twice and in any order.
"""

from __future__ import annotations

import math
from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ..ids import SuspectKey, TargetNumber
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

SUSPECTED_CRASHES = 2
"""Crashes after which a suspect is tried alone. One that ran beside the cause has one crash; it
gets a second one only if both run on the same target again."""
HELD_CRASHES = 4
"""Crashes after which a suspect is held back, if trials are among them. A harmless request that ran
on three targets that crashed is still tried and answered."""
HELD_TRIAL_WEIGHT = 2
"""Minimum total weight of the trials among these crashes: one trial alone, or two beside other
calls."""
CRASH_LIFETIME_S = 600.0
"""Seconds for which a crash counts. Afterwards a suspect that was held back is tried again: this
costs one target in ten minutes, and shows whether a new version or new weights can run it."""
ANSWERED_S = 5.0
"""Seconds after a complete answer in which a suspect is not blamed for a crash. A request that many
callers send runs on every target that crashes, and so does a part of many prompts. The time is
limited because new weights may make a harmless one harmful."""
MAX_RECORDS = 4096
"""Suspects whose crashes are remembered: 7.2 MB when full (``tracemalloc``). Those with the fewest
and oldest crashes are evicted first, so that a flood of different requests never evicts one that
crashed targets repeatedly."""
EVICTION_DIVISOR = 16
"""One in this many records is evicted at a time, so that a flood causes one sort per some hundred
requests."""
MAX_ANSWERED = 2048
"""Suspects whose last complete answer is remembered: more than the number of widely sent requests
and widely used parts of prompts that a host gets within :data:`ANSWERED_S`."""
MAX_CRASHES_PER_SUSPECT = 8
"""Crashes kept for one suspect: twice the number that counts, since some may be revoked."""
MAX_REPORTED = 24
"""Maximum suspects in one message, in at most 2.8 KB. Messages take turns if there are more, and
those that were sent longest ago come first."""
MAX_ALIVE = 256
"""Target incarnations whose revoked crashes are remembered and sent, 5 bytes each: those of a
failure domain whose targets were all taken for crashed. Beyond that the oldest is dropped, and
its crash counts again where another host still reports it."""
RELAY_CHANGES_S = 2.0
"""Seconds for which aggregators relay a change: at least eight messages, of which some may be
lost."""
REPORT_OWN_S = 10.0
"""Seconds for which a host reports its own observations; it may be cut off for part of them."""
REPEAT_GAP_S = 1.0
"""Seconds between messages that repeat suspected ones, for hosts that have just started."""
WRITING_MARGIN_S = 0.5
"""Seconds by which the writing of an answer must outlast the requests on crashed targets to clear
the parts of its prompt: several times the variation of the time until the first event."""
SAME_MOMENT_S = 0.05
"""Seconds by which two times must differ to count as different: transmission delays vary by
less."""
MILLISECONDS = 1000


class Standing(Enum):
    """State of a suspect, by rising suspicion.

    ``CLEAR``: no counted crashes. ``SEEN``: some crashes, too few for a suspicion. ``SUSPECTED``:
    served only in trials. ``HELD``: held back. A complete answer leads back to ``CLEAR``; crashes
    expire after :data:`CRASH_LIFETIME_S`.
    """

    CLEAR = 0
    SEEN = 1
    SUSPECTED = 2
    HELD = 3


class Trial(Enum):
    """How a request with a suspect ran on a target that crashed; the value is its weight.

    ``NONE``: no trial. ``ACCOMPANIED``: a trial beside other calls. ``ALONE``: a trial with no
    other call at the target.
    """

    NONE = 0
    ACCOMPANIED = 1
    ALONE = 2


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a target's incarnation while it ran a request with a suspect.

    :param incarnation: short number of the target's incarnation.
    :param at_ms: time of the crash in milliseconds, by the sender's clock.
    :param trial: value of :class:`Trial`.
    :param age_ms: milliseconds since the newest request with the suspect was sent there; None if
        unknown.
    """

    incarnation: TargetNumber
    at_ms: int
    trial: int
    age_ms: int | None = None


class Crash(NamedTuple):
    """The crash of a target that ran requests with a suspect.

    :param age_s: seconds since the newest of them was sent there; infinite if unknown.
    """

    at: float
    trial: Trial
    age_s: float = math.inf


class ReportedSuspect(msgspec.Struct, frozen=True, array_like=True):
    """One suspect in a message between hosts.

    :param answered_ms: time of its last complete answer by the sender's clock; None if there is
        none.
    """

    key: SuspectKey
    answered_ms: int | None
    crashes: list[ReportedCrash]


class SuspectsMessage(msgspec.Struct, frozen=True, array_like=True):
    """A host's message about suspects.

    :param alive: target incarnations that were reported as crashed but have answered since.
    """

    suspects: list[ReportedSuspect] = []
    alive: list[TargetNumber] = []


class Change(Struct, frozen=True):
    """A change of a suspect's standing.

    :param record: the crashes and answers that decide it.
    """

    key: SuspectKey
    former: Standing
    standing: Standing
    record: Record


class Verdict(Struct, frozen=True):
    """How a request has to be treated.

    :param standing: highest standing of its suspects.
    :param keys: the suspects that have this standing.
    """

    standing: Standing
    keys: tuple[SuspectKey, ...] = ()


class Record(Struct):
    """Crashes and answers of one suspect.

    :ivar crashes: crashes by target incarnation.
    :ivar answered_at: time of its last complete answer.
    :ivar standing: standing at the last update, for detecting changes.
    :ivar changed_at: time of the last change.
    :ivar observed_at: time of the last change that this host observed itself.
    :ivar reported_at: time at which it was last in a message of own observations.
    :ivar relayed_at: time at which it was last in a relayed message.
    """

    crashes: dict[TargetNumber, Crash] = field(default_factory=dict)
    answered_at: float = float("-inf")
    standing: Standing = Standing.CLEAR
    changed_at: float = float("-inf")
    observed_at: float = float("-inf")
    reported_at: float = float("-inf")
    relayed_at: float = float("-inf")

    def find_counted_crashes(self, now: float) -> dict[TargetNumber, Crash]:
        """Return the crashes that count: neither expired nor just after a complete answer."""
        oldest = max(now - CRASH_LIFETIME_S, self.answered_at + ANSWERED_S)
        return {number: crash for number, crash in self.crashes.items() if crash.at > oldest}

    def classify(self, now: float) -> Standing:
        """Return the suspect's standing at time *now*."""
        return classify_crashes(self.find_counted_crashes(now).values())

    @property
    def newest_crash_at(self) -> float:
        """Time of the newest crash."""
        return max((crash.at for crash in self.crashes.values()), default=float("-inf"))

    def find_answer_age_s(self, now: float) -> float | None:
        """Return the seconds since its last complete answer; None if there is none."""
        return None if self.answered_at == float("-inf") else round(now - self.answered_at, 1)

    def note_answer(self, at: float) -> bool:
        """Take a complete answer into account; return whether it refutes any crash.

        Where all crashes are refuted already, further answers need not be reported. A common part
        of prompts has many.
        """
        if at <= self.answered_at + SAME_MOMENT_S or self.newest_crash_at <= self.answered_at:
            return False
        self.answered_at = at
        return True

    def add(self, incarnation: TargetNumber, crash: Crash) -> bool:
        """Add a crash; return whether it adds information.

        Of several times for one incarnation the earliest is kept, of several trials the heaviest,
        and of several ages the lowest.
        """
        former = self.crashes.get(incarnation)
        if former is not None:
            crash = Crash(
                min(crash.at, former.at),
                max(crash.trial, former.trial, key=lambda trial: trial.value),
                min(crash.age_s, former.age_s),
            )
        self.crashes[incarnation] = crash
        if len(self.crashes) > MAX_CRASHES_PER_SUSPECT:
            del self.crashes[min(self.crashes, key=lambda other: (self.crashes[other].at, other))]
        return former is None or crash[1:] != former[1:]


def weigh_trials(crashes: Iterable[Crash]) -> int:
    """Return the total weight of the trials among some crashes."""
    return sum(crash.trial.value for crash in crashes)


def classify_crashes(crashes: Collection[Crash]) -> Standing:
    """Return the standing of a suspect after some crashes."""
    if len(crashes) >= HELD_CRASHES and weigh_trials(crashes) >= HELD_TRIAL_WEIGHT:
        return Standing.HELD
    if len(crashes) >= SUSPECTED_CRASHES:
        return Standing.SUSPECTED
    return Standing.SEEN if crashes else Standing.CLEAR


class Suspects(Struct):
    """All suspects that this host knows to have been on targets that crashed.

    :ivar records: crashes and answers by suspect.
    :ivar held: crashes of the suspects that are held back.
    :ivar answered: times of the last complete answers, the oldest first.
    :ivar alive: time by target incarnation that was reported as crashed but has answered since.
    :ivar reported_crashes: incarnations that other hosts reported as crashed, until
        :meth:`take_reported_crashes` takes them.
    :ivar repeated_at: time at which suspected ones were last repeated.
    :ivar repeat_position: position in the suspected ones from which the next message repeats them.
    """

    records: dict[SuspectKey, Record] = field(default_factory=dict)
    held: dict[SuspectKey, frozenset[TargetNumber]] = field(default_factory=dict)
    answered: dict[SuspectKey, float] = field(default_factory=dict)
    alive: dict[TargetNumber, float] = field(default_factory=dict)
    reported_crashes: set[TargetNumber] = field(default_factory=set)
    repeated_at: float = float("-inf")
    repeat_position: int = 0

    def find_standing(self, key: SuspectKey, now: float) -> Standing:
        """Return a suspect's standing at time *now*."""
        record = self.records.get(key)
        return Standing.CLEAR if record is None else record.classify(now)

    def judge(self, keys: Collection[SuspectKey], now: float) -> Verdict:
        """Decide how to treat a request that has the suspects *keys*."""
        standings = {
            key: self._judge_suspect(self.records[key], keys, now)
            for key in keys
            if key in self.records
        }
        worst = max(standings.values(), key=lambda standing: standing.value, default=Standing.CLEAR)
        return Verdict(worst, tuple(key for key in standings if standings[key] is worst))

    def _judge_suspect(self, record: Record, keys: Collection[SuspectKey], now: float) -> Standing:
        """Return the standing of one suspect of a request that has the suspects *keys*."""
        crashes = record.find_counted_crashes(now)
        standing = classify_crashes(crashes.values())
        if standing.value < Standing.SUSPECTED.value:
            return standing
        explained: set[TargetNumber] = set()
        for key, incarnations in self.held.items():
            if key not in keys:
                explained |= incarnations
        rest = [crash for incarnation, crash in crashes.items() if incarnation not in explained]
        if standing is Standing.HELD:
            # The suspect may have been held for crashes of the other one; a trial decides.
            is_confirmed = weigh_trials(rest) >= HELD_TRIAL_WEIGHT
            return Standing.HELD if is_confirmed else Standing.SUSPECTED
        return classify_crashes(rest)

    def note_crash(
        self,
        incarnation: TargetNumber,
        suspects: Iterable[tuple[SuspectKey, Trial]],
        now: float,
        ages_s: Mapping[SuspectKey, float] = MappingProxyType({}),
    ) -> list[Change]:
        """Record the crash of a target, observed by this host.

        :param suspects: suspects of the requests that it ran, each with the kind of trial.
        :param ages_s: seconds since the newest request with a suspect was sent there.
        """
        changes = []
        for key, trial in suspects:
            if key not in self.records and now < self._find_answered_at(key) + ANSWERED_S:
                # Most parts of prompts are in use all the time, and need no record.
                continue
            record = self._get_or_create(key)
            if record.add(incarnation, Crash(now, trial, ages_s.get(key, math.inf))):
                record.observed_at = now
            record.note_answer(self._find_answered_at(key))
            changes += self._update(key, record, now)
        return changes

    def note_answer(self, key: SuspectKey, now: float) -> list[Change]:
        """Record a complete answer that this host got to a request with a suspect."""
        self.answered.pop(key, None)
        self.answered[key] = now
        if len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        record = self.records.get(key)
        if record is None or not record.note_answer(now):
            return []
        record.observed_at = now
        return self._update(key, record, now)

    def note_writing(self, writing_s: Mapping[SuspectKey, float], now: float) -> list[Change]:
        """Clear parts of prompts that are not the cause, as answers that are being written show.

        :param writing_s: by part, the seconds for which a target has been writing an answer to a
            prompt with it; the longest.
        """
        changes = []
        for key, seconds in writing_s.items():
            record = self.records.get(key)
            if record is None:
                continue
            crashes = record.find_counted_crashes(now).values()
            if crashes and seconds > max(crash.age_s for crash in crashes) + WRITING_MARGIN_S:
                changes += self.note_answer(key, now)
        return changes

    def note_alive(self, incarnation: TargetNumber, now: float) -> list[Change]:
        """Revoke the crash of an incarnation that has answered a call sent after it."""
        if not self.has_crashed(incarnation):
            return []
        self.alive[incarnation] = now
        if len(self.alive) > MAX_ALIVE:
            del self.alive[next(iter(self.alive))]
        changes = []
        for key, record in list(self.records.items()):
            if record.crashes.pop(incarnation, None) is not None:
                changes += self._update(key, record, now)
        return changes

    def has_crashed(self, incarnation: TargetNumber) -> bool:
        """Whether an incarnation is recorded as crashed under any suspect."""
        return any(incarnation in record.crashes for record in self.records.values())

    def restore(
        self, key: SuspectKey, crashes: Iterable[tuple[TargetNumber, Trial]], now: float
    ) -> list[Change]:
        """Add crashes that were stored before this host started."""
        record = self._get_or_create(key)
        for incarnation, trial in crashes:
            if incarnation not in record.crashes and incarnation not in self.alive:
                record.add(incarnation, Crash(now, trial))
                self.reported_crashes.add(incarnation)
        return self._update(key, record, now)

    def find(self, standing: Standing, now: float) -> list[SuspectKey]:
        """Return the suspects with the given standing."""
        return [key for key, record in self.records.items() if record.classify(now) is standing]

    def forget(self, now: float) -> None:
        """Drop records that no longer count and need not be reported."""
        self.alive = {
            incarnation: at for incarnation, at in self.alive.items() if now - at < REPORT_OWN_S
        }
        for key, record in list(self.records.items()):
            must_report = now - record.changed_at < REPORT_OWN_S
            standing = record.classify(now)
            if standing is Standing.CLEAR and not must_report:
                del self.records[key]
            if standing is not Standing.HELD:
                self.held.pop(key, None)

    def make_own_message(self, now: float) -> SuspectsMessage:
        """Return a message with this host's own recent observations."""
        keys = [
            key for key, record in self.records.items() if now - record.observed_at < REPORT_OWN_S
        ]
        keys.sort(key=lambda key: _rank(self.records[key], self.records[key].reported_at))
        chosen = keys[:MAX_REPORTED]
        for key in chosen:
            self.records[key].reported_at = now
        return self._build_report(chosen)

    def make_relay_message(self, now: float) -> SuspectsMessage:
        """Return a message with recent changes and, from time to time, suspected ones in
        rotation."""
        keys = [
            key for key, record in self.records.items() if now - record.changed_at < RELAY_CHANGES_S
        ]
        keys.sort(key=lambda key: _rank(self.records[key], self.records[key].relayed_at))
        if now - self.repeated_at >= REPEAT_GAP_S:
            self.repeated_at = now
            keys = list(dict.fromkeys([*keys[: MAX_REPORTED // 2], *self._next_suspected(now)]))
        chosen = keys[:MAX_REPORTED]
        for key in chosen:
            self.records[key].relayed_at = now
        return self._build_report(chosen)

    def _next_suspected(self, now: float) -> list[SuspectKey]:
        """Return the next suspected ones in rotation."""
        least = Standing.SUSPECTED.value
        keys = [key for key, record in self.records.items() if record.classify(now).value >= least]
        if not keys:
            return []
        start = self.repeat_position % len(keys)
        self.repeat_position = start + MAX_REPORTED // 2
        return [*keys[start:], *keys[:start]][: MAX_REPORTED // 2]

    def _build_report(self, keys: Iterable[SuspectKey]) -> SuspectsMessage:
        return SuspectsMessage(
            [_encode_record(key, self.records[key]) for key in sorted(keys)], [*self.alive]
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
            for crash in suspect.crashes:
                if crash.incarnation not in self.alive:
                    at = min(now, crash.at_ms / MILLISECONDS + offset_s)
                    if crash.incarnation not in record.crashes:
                        self.reported_crashes.add(crash.incarnation)
                    age_s = math.inf if crash.age_ms is None else crash.age_ms / MILLISECONDS
                    added = record.add(crash.incarnation, Crash(at, Trial(crash.trial), age_s))
                    is_changed = added or is_changed
            if suspect.answered_ms is not None:
                at = min(now, suspect.answered_ms / MILLISECONDS + offset_s)
                is_changed = record.note_answer(at) or is_changed
            if record.note_answer(self._find_answered_at(suspect.key)):
                # Other hosts have not been told of this answer yet.
                record.observed_at, is_changed = now, True
            if is_changed:
                changes += self._update(suspect.key, record, now)
        return changes

    def take_reported_crashes(self) -> set[TargetNumber]:
        """Return the incarnations that other hosts reported as crashed since the last call."""
        reported, self.reported_crashes = self.reported_crashes, set()
        return reported

    def _find_answered_at(self, key: SuspectKey) -> float:
        """Return the time of the last complete answer that this host got."""
        return self.answered.get(key, float("-inf"))

    def _get_or_create(self, key: SuspectKey) -> Record:
        record = self.records.get(key)
        if record is None:
            record = self.records[key] = Record()
            if len(self.records) > MAX_RECORDS:
                self._make_room(key)
        return record

    def _make_room(self, newest: SuspectKey) -> None:
        """Evict the records with the least evidence, several at once because this requires a
        sort."""
        others = [key for key in self.records if key != newest]
        others.sort(key=lambda key: _eviction_key(self.records[key]))
        for key in others[: MAX_RECORDS // EVICTION_DIVISOR]:
            del self.records[key]
            self.held.pop(key, None)

    def _update(self, key: SuspectKey, record: Record, now: float) -> list[Change]:
        record.changed_at = now
        former, record.standing = record.standing, record.classify(now)
        if record.standing is Standing.HELD:
            self.held[key] = frozenset(record.find_counted_crashes(now))
        else:
            self.held.pop(key, None)
        if former is record.standing:
            return []
        return [Change(key, former, record.standing, record)]


def _eviction_key(record: Record) -> tuple[int, float]:
    """Return the sort key for eviction; the records with the least evidence come first."""
    return len(record.crashes), record.newest_crash_at


def _rank(record: Record, sent_at: float) -> tuple[float, int]:
    """Return the sort key for messages: what was sent longest ago first, then most crashes."""
    return sent_at, -len(record.crashes)


def _encode_record(key: SuspectKey, record: Record) -> ReportedSuspect:
    answered = record.answered_at
    return ReportedSuspect(
        key,
        None if answered == float("-inf") else round(answered * MILLISECONDS),
        [
            ReportedCrash(
                incarnation,
                round(crash.at * MILLISECONDS),
                crash.trial.value,
                None if crash.age_s == math.inf else round(crash.age_s * MILLISECONDS),
            )
            for incarnation, crash in record.crashes.items()
        ],
    )
