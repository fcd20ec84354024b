"""Tracking and trials of requests, and of parts of their prompts, that may have crashed targets.

:mod:`~gradepoint.routing.suspects` decides about the standing of each. This module
connects the decision to targets, to the messages of other hosts and to the log.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..peers.datagrams import number_target
from ..routing.suspects import MILLISECONDS, Standing, Suspects, Trial, Verdict
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .choice import choose_least_loaded, get_load
from .identity import format_key
from .target_crashes import CrashExtent
from .targets import RunningTrial

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from ..ids import (
        PromptPart,
        ServiceName,
        SoftwareVersion,
        SuspectKey,
        TargetId,
        TargetNumber,
    )
    from ..peers.aggregation import Aggregation
    from ..routing.suspects import Change, SuspectsMessage
    from .identity import RequestIdentity
    from .target_crashes import CrashDetector, TargetCrash
    from .targets import RunningRequest, Target, TargetSet

TRIAL_RETRY_S = 1.0
"""``Retry-After`` in seconds of a suspected request for which no trial can start now. A trial takes
about as long as an answer, and crashed targets are back within seconds."""
MIN_REMAINING_SHARE = 1 / 3
"""Fraction of a service's targets that has to remain even if every trial crashes its target. With a
third, a harmless request that was on three of six targets that crashed gets a trial at once, and
two harmful requests leave targets for other calls. With a half, the harmless request would have to
wait until one of the three is back."""
MAX_CAUSE_WRITING_S = 0.3
"""Seconds of writing an answer after which its request and its prompt did not crash the target:
several times as long as a target takes to crash once it begins to write. Streams of some seconds
run on many of the targets that crash for another reason, one after the other."""
MAX_PART_NAMES = 1024
"""Parts of prompts whose names are remembered; a crash has up to about thirty."""


class SuspectRow(Struct, frozen=True):
    """A suspected or held request or part of prompts.

    :param crashed: IDs of the target incarnations that crashed while running it, as far as they are
        listed here; ``#number`` for others.
    :param crashes: numbers of these incarnations, each with the trial.
    """

    key: SuspectKey
    standing: Standing
    crashed: list[str]
    crashes: list[tuple[TargetNumber, Trial]]


class Suspicion(Struct):
    """Requests, and parts of their prompts, that may have crashed targets, and their trials.

    A request that is suspected or has a suspected part is served only as a trial: by one host at a
    time, at a target that is reserved for it. A complete answer clears the suspects; further
    crashes make them held, and requests with them are refused.

    :param remote_in_flight: returns the number of calls that other hosts have in flight at a
        target.
    :param remote_trials: returns the trials that other hosts report, as targets by suspect.
    :param on_update: called when other hosts have to be informed.
    :param on_reported_crash: called with a target that another host reports as crashed.
    :param on_suspected: called with a request that is suspected or has a suspected part, and with
        the suspect, when this host sees one more target crash while running it.
    :param on_cleared: called with the key of a suspected or held suspect that is cleared here.
    :param find_writing: returns, by part of prompts, the longest time in seconds for which a target
        has been writing an answer to this host.
    :ivar part_names: parts of prompts that this host saw on crashed targets, by key.
    """

    targets: TargetSet
    remote_in_flight: Callable[[TargetId], int]
    rng: random.Random
    remote_trials: Callable[[], dict[SuspectKey, TargetNumber]] = dict
    on_update: Callable[[], None] = lambda: None
    on_suspected: Callable[[RequestIdentity, SuspectRow], None] = lambda _, __: None
    on_cleared: Callable[[SuspectKey], None] = lambda _: None
    on_reported_crash: Callable[[Target], None] = lambda _: None
    find_writing: Callable[[], dict[SuspectKey, float]] = dict
    suspects: Suspects = field(default_factory=Suspects)
    part_names: dict[SuspectKey, PromptPart] = field(default_factory=dict)

    def judge(self, request: RequestIdentity) -> Verdict:
        """Return how to treat a request."""
        if not self.suspects.records:
            return Verdict(Standing.CLEAR)
        return self.suspects.judge(request.suspects, monotonic())

    def find_standing(self, request: RequestIdentity) -> Standing:
        """Return the standing of a request, which is the highest one of its suspects."""
        return self.judge(request).standing

    def make_held_error(self, request: RequestIdentity) -> GradepointError:
        """Count a refused call of a held request and return its error."""
        metrics.shared().held_calls.add(1)
        held = self.judge(request).keys[0]
        key, part = format_key(held), request.suspects[held]
        if part is None:
            message = f"Targets ended each time they ran this request ({key})."
            return GradepointError("request_held", message, suspect_key=key)
        message = f"Targets ended each time they ran a prompt with the part {part} ({key})."
        return GradepointError("prompt_part_held", message, suspect_key=key)

    def make_trial_error(self, request: RequestIdentity) -> GradepointError:
        """Return the error of a call whose trial cannot start now."""
        keys = self.judge(request).keys
        key = format_key(keys[0]) if keys else None
        return GradepointError("request_suspected", retry_after=TRIAL_RETRY_S, suspect_key=key)

    def choose_trial(
        self,
        request: RequestIdentity,
        service: ServiceName,
        tried: Collection[TargetId],
        *,
        needs_slot: bool = False,
        version: SoftwareVersion | None = None,
    ) -> Target | None:
        """Reserve a target for a trial of a suspected request; None if no trial can start now.

        No other call is sent to the target until the trial ends, as long as others are available.

        :param tried: targets that this call was already sent to.
        :param needs_slot: only a target with a free slot will do, so that the trial doesn't queue.
        :param version: software version that the target must have; None for any.
        """
        suspects = self.judge(request).keys
        trials = self._find_trials()
        under_trial = len(set(trials.values()))
        if not trials.keys().isdisjoint(suspects) or not self._may_start_trial(
            service, under_trial
        ):
            return None
        candidates = self.targets.candidates(service, monotonic(), version)
        taken = {*tried, *self.find_reserved()}
        remaining = [target for target in candidates if target.id not in taken]
        target = choose_least_loaded(remaining, self.remote_in_flight, self.rng)
        if target is None:
            return None
        load = get_load(target, self.remote_in_flight)
        if needs_slot and load >= 1.0:
            return None
        kind = Trial.ACCOMPANIED if load else Trial.ALONE
        target.trial = RunningTrial(request, kind, suspects)
        self.on_update()
        return target

    def find_reserved(self) -> set[TargetId]:
        """Return the targets that are reserved for trials, by any host."""
        by_number = self.targets.by_number
        numbers = self._find_trials().values()
        return {by_number[number].id for number in numbers if number in by_number}

    def _find_trials(self) -> dict[SuspectKey, TargetNumber]:
        """Return the targets of running trials by suspect.

        A remote trial at a target whose port is closed is left out: it probably crashed the target,
        and would block the next trial of the same suspect.
        """
        by_number = self.targets.by_number
        reported = {
            key: number
            for key, number in self.remote_trials().items()
            if number not in by_number or by_number[number].closed_at is None
        }
        return {**reported, **self.list_own_trials()}

    def _may_start_trial(self, service: ServiceName, trials: int) -> bool:
        """Whether enough targets of a service remain if every trial crashes its target."""
        known, working = self.targets.count_addresses(service, monotonic())
        minimum = max(int(known * MIN_REMAINING_SHARE), min(1, known - 1))
        return working - trials - 1 >= minimum

    def list_own_trials(self) -> dict[SuspectKey, TargetNumber]:
        """Return the targets of this host's running trials by suspect."""
        return {
            key: number
            for number, target in self.targets.by_number.items()
            if target.trial is not None
            for key in target.trial.suspects
        }

    def note_crash(self, crash: TargetCrash) -> None:
        """Record the crash of a target that this host detected.

        A planned crash or a loss of power is ignored. If several targets crashed together, the
        cause is no single request, but it may be a part of several prompts. Batch items are never
        the cause, nor are requests whose answers the target had been writing for a while.
        """
        if crash.planned or crash.extent is CrashExtent.POWER_LOSS:
            return
        incarnation, now = number_target(crash.target.id), monotonic()
        trials: list[tuple[SuspectKey, Trial]] = []
        ages_s: dict[SuspectKey, float] = {}
        requests = [
            running
            for running in crash.requests
            if not running.request.is_item and running.writing_s < MAX_CAUSE_WRITING_S
        ]
        for running in requests:
            for key, part in running.request.suspects.items():
                if part is None and crash.extent is CrashExtent.SEVERAL:
                    continue
                trials.append((key, running.trial))
                ages_s[key] = min(now - running.sent_at, ages_s.get(key, math.inf))
        self._remember_parts(requests)
        changes = self.suspects.note_crash(incarnation, trials, now, ages_s)
        self._log([*changes, *self.suspects.note_writing(self.find_writing(), now)])
        suspected = {row.key: row for row in self.list_suspected()}
        for running in requests:
            for key in running.request.suspects:
                if key in suspected:
                    self.on_suspected(running.request, suspected.pop(key))
        self.on_update()

    def _remember_parts(self, requests: list[RunningRequest]) -> None:
        """Remember the parts of prompts on a crashed target, for the log and for operators."""
        for running in requests:
            for key, part in running.request.suspects.items():
                if part is not None:
                    self.part_names.pop(key, None)
                    self.part_names[key] = part
        while len(self.part_names) > MAX_PART_NAMES:
            del self.part_names[next(iter(self.part_names))]

    def note_answer(self, request: RequestIdentity, *, is_success: bool) -> None:
        """Record a complete answer to a request, which clears it.

        A successful one also clears the parts of its prompt. A target may answer with an error
        before it begins to work on the prompt.
        """
        for key, part in request.suspects.items():
            if part is None or is_success:
                self._clear(key)

    def _clear(self, key: SuspectKey) -> None:
        changes = self.suspects.note_answer(key, monotonic())
        self._log(changes)
        if any(change.former in STANDING_EVENTS for change in changes):
            self.on_cleared(key)
        if changes:
            self.on_update()

    def note_alive(self, target: Target) -> None:
        """Revoke the reported crash of a target that is still running."""
        self._log(self.suspects.note_alive(number_target(target.id), monotonic()))

    def restore(self, key: SuspectKey, crashes: list[tuple[TargetNumber, Trial]]) -> None:
        """Add the crashes of a suspect that are stored in the key-value service."""
        self._log(self.suspects.restore(key, crashes, monotonic()))
        self._probe_reported_crashes()

    def release(self, key: SuspectKey) -> bool:
        """Clear a suspect by an operator's order; return whether it was suspected or held."""
        if self.suspects.find_standing(key, monotonic()) not in STANDING_EVENTS:
            return False
        self._clear(key)
        return True

    def list_suspected(self) -> list[SuspectRow]:
        """Return the suspected and held requests and parts of prompts."""
        now = monotonic()
        standings = ((k, r, r.classify(now)) for k, r in self.suspects.records.items())
        return [
            SuspectRow(
                key,
                standing,
                self._name_incarnations(record.crashes),
                [(number, crash.trial) for number, crash in record.crashes.items()],
            )
            for key, record, standing in standings
            if standing in STANDING_EVENTS
        ]

    def receive(self, reported: SuspectsMessage, clock_ms: int) -> None:
        """Merge what another host reports.

        :param clock_ms: the sender's clock; moments in the report are converted by it.
        """
        if not reported.suspects and not reported.alive:
            return
        now = monotonic()
        self._log(self.suspects.receive(reported, now - clock_ms / MILLISECONDS, now))
        self._probe_reported_crashes()

    def _probe_reported_crashes(self) -> None:
        """Have targets probed that are reported as crashed.

        Otherwise calls to a crashed target waste attempts, and the limit on trials counts it as a
        target that remains for other calls.
        """
        for incarnation in self.suspects.take_reported_crashes():
            target = self.targets.by_number.get(incarnation)
            if target is not None:
                self.on_reported_crash(target)

    def make_own_message(self) -> SuspectsMessage:
        """Return what this host recently observed itself, for its reports to aggregators."""
        return self.suspects.make_own_message(monotonic())

    def make_relay_message(self) -> SuspectsMessage:
        """Return what this host knows and others may not know, for an aggregator's digests."""
        return self.suspects.make_relay_message(monotonic())

    def forget(self) -> None:
        """Remove records that have expired, and clear parts of prompts that long answers have."""
        now = monotonic()
        self.suspects.forget(now)
        if self.suspects.records:
            self._log(self.suspects.note_writing(self.find_writing(), now))

    def _log(self, changes: Iterable[Change]) -> None:
        for change in changes:
            record, now = change.record, monotonic()
            event = STANDING_EVENTS.get(change.standing)
            if change.standing.value < change.former.value:
                event = events.REQUEST_CLEARED if change.former in STANDING_EVENTS else None
            if event is not None:
                emit(
                    event,
                    key=format_key(change.key),
                    standing=change.standing.name.lower(),
                    part=self.part_names.get(change.key),
                    ended=self._name_incarnations(record.crashes),
                    ages_s=[round(now - crash.at, 1) for crash in record.crashes.values()],
                    trials=[crash.trial.value for crash in record.crashes.values()],
                    answered_s=record.find_answer_age_s(now),
                )
                metrics.shared().suspects.add(1, {"standing": change.standing.name.lower()})

    def _name_incarnations(self, incarnations: Iterable[TargetNumber]) -> list[str]:
        """Return the IDs of incarnations that are listed, and ``#number`` for others."""
        by_number = self.targets.by_number
        return [
            by_number[incarnation].id if incarnation in by_number else f"#{incarnation}"
            for incarnation in incarnations
        ]


STANDING_EVENTS = {
    Standing.SUSPECTED: events.REQUEST_SUSPECTED,
    Standing.HELD: events.REQUEST_HELD,
}


def connect_suspicion(
    suspicion: Suspicion, detector: CrashDetector, aggregation: Aggregation
) -> None:
    """Subscribe *suspicion* to crashes of targets, and exchange its records with other hosts."""
    detector.on_crash = suspicion.note_crash
    detector.on_alive = suspicion.note_alive
    suspicion.on_reported_crash = detector.note_reported_crash
    aggregation.make_suspects_message = suspicion.make_relay_message
    aggregation.on_suspects_message = suspicion.receive
