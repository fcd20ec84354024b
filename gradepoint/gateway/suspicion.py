"""What this host does with requests that were on targets that ended.

The decision stands in :mod:`~gradepoint.routing.suspects`; here it meets targets, other hosts and
the log.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..peers.datagrams import number_target
from ..routing.suspects import MILLISECONDS, Standing, Suspects, Trial
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from .choice import choose_least_loaded, get_load
from .identity import show_key
from .targets import RunningTrial

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from ..ids import RequestKey, ServiceName, TargetId, TargetNumber
    from ..peers.aggregation import Aggregation
    from ..routing.suspects import Change, ToldSuspects
    from .identity import RequestIdentity
    from .target_ends import TargetEnd, TargetEnds
    from .targets import Target, TargetSet

TRIAL_RETRY_S = 1.0
"""Seconds after which a suspected request may come back that cannot be tried now: a trial takes
about as long as an answer, and targets that ended are back within seconds."""
MIN_REMAINING_SHARE = 1 / 3
"""Share of a service's targets that is left if every trial ends its target. A good request that
was on three of six targets that ended is tried at once, and two harmful ones leave places to good
calls; with half, the good one waits until one of the three is back."""


@dataclass(frozen=True)
class SuspectRow:
    """A suspected request.

    :param ended: names of the lives that ended under it, as far as they are known here.
    :param ends: their numbers, each with the weight of the trial.
    """

    key: RequestKey
    standing: Standing
    ended: list[str]
    ends: list[tuple[TargetNumber, int]]


@dataclass
class Suspicion:
    """Requests that were on targets that ended, and their trials.

    :param elsewhere: calls that other hosts have in flight at a target.
    :param remote_trials: returns the targets that suspected requests have to themselves, as
        other hosts tell.
    :param on_update: called when there is something to tell other hosts.
    :param on_reported_end: told of a target that another host saw end.
    :param on_suspected: told of a suspected request under which this host saw one more target end,
        and *on_cleared* of one that this host got a whole answer to.
    """

    targets: TargetSet
    elsewhere: Callable[[TargetId], int]
    rng: random.Random
    remote_trials: Callable[[], dict[RequestKey, TargetNumber]] = dict
    on_update: Callable[[], None] = lambda: None
    on_suspected: Callable[[RequestIdentity, SuspectRow], None] = lambda _, __: None
    on_cleared: Callable[[RequestKey], None] = lambda _: None
    on_reported_end: Callable[[Target], None] = lambda _: None
    suspects: Suspects = field(default_factory=Suspects)

    def find_standing(self, request: RequestIdentity) -> Standing:
        """Return what is known of a request."""
        if not self.suspects.records:
            return Standing.CLEAR
        return self.suspects.find_standing(request.key, monotonic())

    def make_held_error(self, request: RequestIdentity) -> GradepointError:
        """Return the answer to a request that is held back."""
        metrics.shared().held_calls.add(1)
        key = show_key(request.key)
        message = f"Targets ended each time they ran this request ({key})."
        return GradepointError("request_held", message, request_key=key)

    def choose_trial(
        self,
        request: RequestIdentity,
        service: ServiceName,
        tried: Collection[TargetId],
        *,
        needs_slot: bool = False,
    ) -> Target | None:
        """Return a target for a suspected request, None if it cannot be tried now.

        The target is the request's alone until the call leaves it.

        :param needs_slot: it waits rather than stand behind other calls.
        """
        trials = self._find_trials()
        if request.key in trials or not self._may_start_trial(service, len(trials)):
            return None
        candidates = self.targets.candidates(service, monotonic())
        taken = {*tried, *self.find_reserved()}
        remaining = [target for target in candidates if target.id not in taken]
        target = choose_least_loaded(remaining, self.elsewhere, self.rng)
        if target is None:
            return None
        load = get_load(target, self.elsewhere)
        if needs_slot and load >= 1.0:
            return None
        target.trial = RunningTrial(request, Trial.ACCOMPANIED if load else Trial.ALONE)
        self.on_update()
        return target

    def find_reserved(self) -> set[TargetId]:
        """Return the targets that suspected requests have to themselves."""
        by_number = self.targets.by_number
        numbers = self._find_trials().values()
        return {by_number[number].id for number in numbers if number in by_number}

    def _find_trials(self) -> dict[RequestKey, TargetNumber]:
        """Return the trials that go on; what others tell may be of one that just ended its target,
        and would keep the next try of the same call away."""
        by_number = self.targets.by_number
        reported = {
            key: number
            for key, number in self.remote_trials().items()
            if number not in by_number or by_number[number].closed_at is None
        }
        return {**reported, **self.list_own_trials()}

    def _may_start_trial(self, service: ServiceName, trials: int) -> bool:
        """Whether enough of a service's targets are left if every trial ends its target."""
        known, working = self.targets.count_addresses(service, monotonic())
        minimum = max(int(known * MIN_REMAINING_SHARE), min(1, known - 1))
        return working - trials - 1 >= minimum

    def list_own_trials(self) -> dict[RequestKey, TargetNumber]:
        """Return the targets that suspected requests of this host have to themselves."""
        return {
            target.trial.request.key: number
            for number, target in self.targets.by_number.items()
            if target.trial is not None
        }

    def note_end(self, end: TargetEnd) -> None:
        """Take the end of a target that this host saw."""
        if end.planned or end.common:
            return
        incarnation = number_target(end.target.id)
        requests = [(request.key, kind) for request, kind in end.requests]
        changes = self.suspects.note_end(incarnation, requests, monotonic())
        self._log(changes)
        suspected = {row.key: row for row in self.list_suspected()}
        for request, _ in end.requests:
            if request.key in suspected:
                self.on_suspected(request, suspected.pop(request.key))
        self.on_update()

    def note_answer(self, request: RequestIdentity) -> None:
        """Take a whole answer to a request, which did not end its target."""
        self._clear(request.key)

    def _clear(self, key: RequestKey) -> None:
        changes = self.suspects.note_answer(key, monotonic())
        self._log(changes)
        if any(change.former in STANDING_EVENTS for change in changes):
            self.on_cleared(key)
        if changes:
            self.on_update()

    def note_alive(self, target: Target) -> None:
        """Take back the end of a target that lives on."""
        self._log(self.suspects.note_alive(number_target(target.id), monotonic()))

    def restore(self, key: RequestKey, ends: list[tuple[TargetNumber, int]]) -> None:
        """Take ends that the key-value service has kept of a request."""
        known = [(incarnation, Trial(kind)) for incarnation, kind in ends]
        self._log(self.suspects.restore(key, known, monotonic()))
        self._probe_reported_ends()

    def clear_request(self, key: RequestKey) -> bool:
        """Serve a request again like any other; return whether it was suspected or held back."""
        if self.suspects.find_standing(key, monotonic()) not in STANDING_EVENTS:
            return False
        self._clear(key)
        return True

    def list_suspected(self) -> list[SuspectRow]:
        """Return what is suspected or held back."""
        now = monotonic()
        standings = ((k, r, r.judge(now)) for k, r in self.suspects.records.items())
        return [
            SuspectRow(
                key,
                standing,
                self._name_incarnations(record.ends),
                [(incarnation, kind.value) for incarnation, (_, kind) in record.ends.items()],
            )
            for key, record, standing in standings
            if standing in STANDING_EVENTS
        ]

    def hear(self, reported: ToldSuspects, clock_ms: int) -> None:
        """Take what another host tells."""
        if not reported.suspects and not reported.alive:
            return
        now = monotonic()
        self._log(self.suspects.hear(reported, now - clock_ms / MILLISECONDS, now))
        self._probe_reported_ends()

    def _probe_reported_ends(self) -> None:
        """Have targets looked at that are told as ended: calls drawn to them would be lost tries,
        and trials would count them among those that are left."""
        for incarnation in self.suspects.take_told_ends():
            target = self.targets.by_number.get(incarnation)
            if target is not None:
                self.on_reported_end(target)

    def tell_own(self) -> ToldSuspects:
        """Return what this host saw lately."""
        return self.suspects.tell_own(monotonic())

    def tell_all(self) -> ToldSuspects:
        """Return what this host knows and others may not."""
        return self.suspects.tell_all(monotonic())

    def forget(self) -> None:
        """Leave out what does not count any more."""
        self.suspects.forget(monotonic())

    def _log(self, changes: Iterable[Change]) -> None:
        for change in changes:
            event = STANDING_EVENTS.get(change.standing)
            if change.standing.value < change.former.value:
                event = events.REQUEST_CLEARED if change.former in STANDING_EVENTS else None
            if event is not None:
                emit(
                    event,
                    key=show_key(change.key),
                    standing=change.standing.name.lower(),
                    ended=self._name_incarnations(change.ends),
                )
                metrics.shared().suspects.add(1, {"standing": change.standing.name.lower()})

    def _name_incarnations(self, incarnations: Iterable[TargetNumber]) -> list[str]:
        """Return the names of lives that are still listed, and the numbers of the others."""
        by_number = self.targets.by_number
        return [
            by_number[incarnation].id if incarnation in by_number else f"#{incarnation}"
            for incarnation in incarnations
        ]


STANDING_EVENTS = {
    Standing.SUSPECTED: events.REQUEST_SUSPECTED,
    Standing.HELD: events.REQUEST_HELD,
}


def connect_suspicion(suspicion: Suspicion, ends: TargetEnds, aggregation: Aggregation) -> None:
    """Let ends of targets, and what other hosts tell of them, come to *suspicion*."""
    ends.on_end = suspicion.note_end
    ends.on_alive = suspicion.note_alive
    suspicion.on_reported_end = ends.note_reported_end
    aggregation.tell_suspects = suspicion.tell_all
    aggregation.hear_suspects = suspicion.hear
