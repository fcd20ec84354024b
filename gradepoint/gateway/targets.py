"""The targets that this host knows: their listed rows, health and calls in flight.

A target that restarts under its name is a new incarnation with an ID of its own, and starts with
fresh health and counts.
"""

from __future__ import annotations

import math
from collections import defaultdict
from enum import Enum
from functools import cached_property
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import SoftwareVersion, TargetId
from ..peers.datagrams import number_target
from ..peers.results import ResultCount
from ..routing.suspects import Trial
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .health import TargetHealth

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..ids import ServiceName, SuspectKey, TargetName, TargetNumber
    from ..peers.results import ReportedResults
    from .identity import RequestIdentity

MIN_CANDIDATE_SHARE = 0.5
"""Fraction of a service's listed targets that stay candidates however unhealthy they are. A wrong
health signal, or an overload that delays all answers, must not leave a service without targets."""
REPLACED_RETRY_S = 5.0
"""Seconds for which a target gets no calls after another incarnation was found at its address. Its
row is usually deleted within this time; otherwise it is tried again."""


class ListedState(Enum):
    """State of a target in the platform's list of targets.

    A target gets calls only while READY. A row that can't be decoded makes it UNREADABLE.
    """

    READY = "ready"
    DRAINING = "draining"
    UNREADABLE = "unreadable"


class ListedTarget(Struct, frozen=True):
    """One row of the list of targets.

    :param address: ``IP:PORT``.
    :param slots: calls that the target works on at once; 0 if unknown.
    :param born_ms: start of the target in Unix milliseconds, None if the row doesn't contain it. It
        only distinguishes incarnations and is never compared with a clock.
    :param version: version of the target's software; empty if unknown.
    """

    name: TargetName
    service: ServiceName
    address: str
    failure_domain: str
    slots: int
    state: ListedState
    born_ms: int | None = None
    version: SoftwareVersion = SoftwareVersion("")

    @cached_property
    def id(self) -> TargetId:
        """ID of this incarnation: the name, with ``@born_ms`` if that is known."""
        return TargetId(self.name if self.born_ms is None else f"{self.name}@{self.born_ms}")


def is_same_target(first: ListedTarget, second: ListedTarget) -> bool:
    """Whether two rows describe the same incarnation of a target."""
    return (first.id, first.service, first.version) == (second.id, second.service, second.version)


class RunningTrial(Struct, frozen=True):
    """A trial that is under way: a suspected request that runs alone at a reserved target.

    :param kind: whether the target was empty when the trial began.
    :param suspects: keys of the request or parts of its prompt that are suspected.
    """

    request: RequestIdentity
    kind: Trial
    suspects: tuple[SuspectKey, ...] = ()


class RunningRequest(Struct, frozen=True):
    """A request of this host at a target.

    :param trial: kind of its trial.
    :param sent_at: monotonic time at which it was sent there.
    :param writing_s: seconds for which the target has been writing events of its answer.
    """

    request: RequestIdentity
    trial: Trial
    sent_at: float
    writing_s: float = 0.0


class Target(Struct):
    """One incarnation of a target, as listed and as observed by this host's calls.

    :param on_change: called when this host's calls in flight or its trial at the target change.
    :ivar in_flight: number of this host's calls and items at the target.
    :ivar running: the requests among these that were sent, with the monotonic time of that.
    :ivar writing: those of them whose answers have events, with the monotonic time of the first.
    :ivar results: successes and failures of this host's calls.
    :ivar vanished_at: monotonic time at which its row vanished from the list; None while it is
        listed.
    :ivar closed_at: monotonic time at which its port was found closed; it gets no calls until the
        port is open again, which sets None.
    :ivar crash_doubted: it was reported as crashed, but its port is open, so that an answer from it
        revokes the report.
    :ivar replaced_at: monotonic time at which another incarnation was found at its address; it gets
        no calls for :data:`REPLACED_RETRY_S` then.
    :ivar last_call_ended_at: monotonic time at which the last call of this host ended there.
    :ivar trial: the trial of this host that the target is reserved for.
    """

    listed: ListedTarget
    in_flight: int = 0
    health: TargetHealth = field(default_factory=TargetHealth)
    results: ResultCount = field(default_factory=ResultCount)
    on_change: Callable[[], None] = lambda: None
    vanished_at: float | None = None
    running: dict[RequestIdentity, float] = field(default_factory=dict)
    writing: dict[RequestIdentity, float] = field(default_factory=dict)
    closed_at: float | None = None
    crash_doubted: bool = False
    replaced_at: float | None = None
    last_call_ended_at: float = float("-inf")
    trial: RunningTrial | None = None

    @property
    def id(self) -> TargetId:
        """ID of this incarnation."""
        return self.listed.id

    @property
    def name(self) -> TargetName:
        """Name in the list, which later incarnations share."""
        return self.listed.name

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self.listed.address

    def is_replaced(self, now: float) -> bool:
        """Whether another incarnation was found at the target's address lately."""
        return self.replaced_at is not None and now - self.replaced_at < REPLACED_RETRY_S

    def begin(self, request: RequestIdentity | None = None) -> None:
        """Count a call or item of this host as in flight.

        :param request: its identity; None if it is only about to be sent.
        """
        self.in_flight += 1
        if request is not None:
            self.running[request] = monotonic()
        self.on_change()

    def end(self, request: RequestIdentity | None = None) -> None:
        """Count a call or item of this host as ended, with its trial if it had one.

        :param request: the identity that was given to :meth:`begin`.
        """
        self.in_flight -= 1
        self.last_call_ended_at = monotonic()
        if request is not None:
            self.running.pop(request, None)
            self.writing.pop(request, None)
            self.end_trial(request)
        self.on_change()

    def end_trial(self, request: RequestIdentity) -> None:
        """Release the target if it is reserved for a trial of *request*."""
        if self.trial is not None and self.trial.request is request:
            self.trial = None
            self.on_change()

    def list_running(self) -> list[RunningRequest]:
        """Return the running requests of this host."""
        trial_request, kind = (None, Trial.NONE)
        if self.trial is not None:
            trial_request, kind = self.trial.request, self.trial.kind
        now = monotonic()
        return [
            RunningRequest(
                request,
                kind if request is trial_request else Trial.NONE,
                sent_at,
                now - self.writing.get(request, now),
            )
            for request, sent_at in self.running.items()
        ]

    def note_writing(self, request: RequestIdentity) -> None:
        """Note the first event of the answer to a running request."""
        if request in self.running:
            self.writing[request] = monotonic()

    def record_success(self) -> None:
        """Count a complete answer to a call of this host."""
        self.results.add(1, 0)
        self.health.record_success()

    def record_failure(self, reason: str, *, unreachable: bool = False) -> None:
        """Count a failed call of this host.

        :param reason: text for the log if the failure ejects the target.
        :param unreachable: no connection could be made, which ejects the target at once.
        """
        now = monotonic()
        self.results.add(0, 1)
        record = self.health.record_unreachable if unreachable else self.health.record_failure
        if record(now):
            self._log_ejection(reason)

    def record_remote_results(self, good: int, bad: int) -> None:
        """Count results that other hosts report; they affect health and aren't sent on."""
        for _ in range(good):
            self.health.record_success()
        for _ in range(bad):
            if self.health.record_failure(monotonic()):
                self._log_ejection("failures reported by other hosts")

    def _log_ejection(self, reason: str) -> None:
        emit(
            events.TARGET_EJECTED,
            target=self.id,
            reason=reason,
            failing=round(self.health.failure_share, 2),
            for_s=self.health.ejection_s,
        )


class TargetSet(Struct):
    """All targets known to this host.

    :param last_resort_s: seconds for which a target whose row vanished stays a last resort. The
        list may lose rows while its store is unavailable. The time has to be shorter than the
        deployment's drain time, after which a target without a row may get no call.
    :param on_change: called when this host's calls in flight or its trial at any target change.
    :param on_replaced: called with the former row of a target that has restarted, whose health and
        calls in flight don't apply to the new incarnation.
    :ivar by_address: targets by address, in the order in which they were listed.
    :ivar by_number: targets by the hash of their ID that hosts send each other.
    :ivar known_since: monotonic time since which all changes of the list are known.
    :ivar former_versions: by service, monotonic time at which the last target of each software
        version was removed.
    """

    last_resort_s: float
    on_change: Callable[[], None] = lambda: None
    on_replaced: Callable[[ListedTarget], None] = lambda _: None
    by_id: dict[TargetId, Target] = field(default_factory=dict)
    by_name: dict[TargetName, Target] = field(default_factory=dict)
    by_service: dict[ServiceName, list[Target]] = field(default_factory=lambda: defaultdict(list))
    by_address: dict[str, list[Target]] = field(default_factory=lambda: defaultdict(list))
    by_number: dict[TargetNumber, Target] = field(default_factory=dict)
    known_since: float = float("inf")
    former_versions: dict[ServiceName, dict[SoftwareVersion, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def put(self, listed: ListedTarget) -> None:
        """Add a new row or update a changed one.

        A row with another ID, service or software version replaces the known target of this name.
        """
        known = self.by_name.get(listed.name)
        if known is not None and is_same_target(known.listed, listed):
            if known.listed.state is not listed.state:
                emit(events.TARGET_STATE, target=listed.id, state=listed.state.value)
            if known.address != listed.address:
                self._remove_address(known)
                self.by_address[listed.address].append(known)
            known.listed = listed
            known.vanished_at = None
            return
        if known is not None:
            self._forget(known)
            emit(events.TARGET_REPLACED, target=listed.id, former=known.id)
            self.on_replaced(known.listed)
        target = Target(listed, on_change=self.on_change)
        self.by_id[listed.id] = target
        self.by_name[listed.name] = target
        self.by_number[number_target(listed.id)] = target
        self.by_service[listed.service].append(target)
        self.by_address[listed.address].append(target)
        emit(
            events.TARGET_LISTED,
            target=listed.id,
            address=listed.address,
            version=listed.version,
        )

    def add(self, listed: ListedTarget, now: float) -> None:
        """Add or update a row that has just been written.

        If it is new, other targets at its address have been replaced: two processes cannot listen
        there, and the row of a crashed one stays for some seconds.
        """
        is_new = listed.id not in self.by_id
        self.put(listed)
        if is_new:
            for target in self.by_address[listed.address]:
                if target.id != listed.id:
                    target.replaced_at = now

    def note_other_instance(self, target: Target) -> None:
        """Handle the answer that another incarnation has the address of a target.

        It is believed if another row has the address, or if the port was closed before. A call may
        also be rejected for what its caller expects of the target.
        """
        others = [t for t in self.by_address.get(target.address, ()) if t is not target]
        if others or target.crash_doubted:
            target.replaced_at = monotonic()
            for other in others:
                other.replaced_at = None

    def _mark_replaced(self, former: Collection[TargetId], now: float) -> None:
        """Mark the *former* targets that have a newer one at their address as replaced."""
        for targets in self.by_address.values():
            if any(target.id not in former for target in targets):
                for target in targets:
                    if target.id in former:
                        target.replaced_at = now

    def _remove_address(self, target: Target) -> None:
        targets = self.by_address[target.address]
        targets.remove(target)
        if not targets:
            del self.by_address[target.address]

    def mark_vanished(self, name: TargetName, now: float) -> None:
        """Mark a target whose row was deleted; for *last_resort_s* seconds it is a last resort."""
        target = self.by_name.get(name)
        if target is not None and target.vanished_at is None:
            target.vanished_at = now
            emit(events.TARGET_VANISHED, target=target.id, in_flight=target.in_flight)

    def mark_unreadable(self, name: TargetName) -> None:
        """Mark a target whose row can't be decoded; it gets no calls, not even as a last resort."""
        target = self.by_name.get(name)
        if target is not None:
            target.listed = msgspec.structs.replace(target.listed, state=ListedState.UNREADABLE)
            target.vanished_at = None

    def replace(
        self, rows: list[ListedTarget], now: float, unreadable: Collection[TargetName] = ()
    ) -> None:
        """Replace the whole list; targets that it lacks count as vanished.

        :param unreadable: names of rows that cannot be read.
        """
        self.known_since = min(self.known_since, now)
        listed = {row.name for row in rows}.union(unreadable)
        former = set(self.by_id)
        for row in rows:
            self.put(row)
        self._mark_replaced(former, now)
        for name in unreadable:
            self.mark_unreadable(name)
        for name in [known for known in self.by_name if known not in listed]:
            self.mark_vanished(name, now)

    def sweep(self, now: float) -> None:
        """Remove vanished targets whose time as a last resort is over."""
        for target in list(self.by_id.values()):
            if target.vanished_at is not None and now > target.vanished_at + self.last_resort_s:
                self._forget(target)

    def _forget(self, target: Target) -> None:
        self.by_id.pop(target.id, None)
        self.by_name.pop(target.name, None)
        self.by_number.pop(number_target(target.id), None)
        self.by_service[target.listed.service].remove(target)
        self._remove_address(target)
        self.former_versions[target.listed.service][target.listed.version] = monotonic()

    def find_only_version(
        self, services: Iterable[ServiceName], since: float
    ) -> SoftwareVersion | None:
        """Return the software version of all targets that services have had since a time.

        None if there were several or none, or if the list isn't known since then.
        """
        if self.known_since > since:
            return None
        versions: set[SoftwareVersion] = set()
        for service in services:
            former = self.former_versions[service].items()
            versions.update(target.listed.version for target in self.by_service[service])
            versions.update(version for version, removed_at in former if removed_at >= since)
        return versions.pop() if len(versions) == 1 else None

    def find_service(
        self, services: Iterable[ServiceName], version: SoftwareVersion
    ) -> ServiceName | None:
        """Return the service among *services* that has targets of a software version."""
        for service in services:
            if any(target.listed.version == version for target in self.by_service[service]):
                return service
        return None

    def candidates(
        self, service: ServiceName, now: float, version: SoftwareVersion | None = None
    ) -> list[Target]:
        """Return the targets of *service* that may get a call.

        These are the ready, listed targets that aren't ejected. If they are less than
        :data:`MIN_CANDIDATE_SHARE` of the listed ones, the healthiest of all listed targets are
        returned up to this share. If no target is listed, those whose rows vanished recently are
        the last resort. A target whose port is closed is never returned, nor one that was
        replaced at its address.

        :param version: software version that the targets must have; None for any.
        """
        ready = [
            t
            for t in self.by_service[service]
            if t.listed.state is ListedState.READY
            and t.closed_at is None
            and not t.is_replaced(now)
            and version in (None, t.listed.version)
        ]
        listed = [t for t in ready if t.vanished_at is None]
        working = [t for t in listed if t.health.ejected_until <= now]
        minimum = math.ceil(len(listed) * MIN_CANDIDATE_SHARE)
        if len(working) < minimum:
            working = sorted(listed, key=lambda t: t.health.failure_share)[:minimum]
        if working:
            return working
        return [t for t in ready if t.vanished_at is not None and self._is_last_resort(t, now)]

    def find_other_targets(self, target: Target) -> list[Target]:
        """Return the other ready targets of the same service, same failure domain first."""
        others = [
            other
            for other in self.by_service[target.listed.service]
            if other.address != target.address
            and other.listed.state is ListedState.READY
            and other.vanished_at is None
        ]
        domain = target.listed.failure_domain
        return sorted(others, key=lambda other: other.listed.failure_domain != domain)

    def count_addresses(self, service: ServiceName, now: float) -> tuple[int, int]:
        """Return the number of addresses of a service's ready targets, and of its candidates.

        Addresses are counted since two incarnations of a restarted target may be listed at once.
        """
        listed = [t for t in self.by_service[service] if t.listed.state is ListedState.READY]
        working = self.candidates(service, now)
        return len({t.address for t in listed}), len({t.address for t in working})

    def find_closed(self) -> list[Target]:
        """Return the targets whose ports were found closed."""
        return [target for target in self.by_id.values() if target.closed_at is not None]

    def has_successor(self, target: Target) -> bool:
        """Whether another incarnation of a target, or a later target at its address, is listed."""
        known = self.by_name.get(target.name)
        if known is not None and known.id != target.id:
            return True
        ids = list(self.by_id)
        later = ids[ids.index(target.id) + 1 :] if target.id in self.by_id else ids
        return any(self.by_id[other].address == target.address for other in later)

    def working(self, now: float) -> list[Target]:
        """Return the targets of all services that may get a call."""
        return [target for service in self.by_service for target in self.candidates(service, now)]

    def number_by_service(self, now: float) -> dict[ServiceName, list[TargetNumber]]:
        """Return the numbers of the targets of each service that may get a call."""
        return {
            service: [number_target(target.id) for target in self.candidates(service, now)]
            for service in self.by_service
        }

    def find_slots(self, number: TargetNumber) -> int | None:
        """Return a target's slots, at least 1; None for an unknown target."""
        target = self.by_number.get(number)
        return None if target is None else max(1, target.listed.slots)

    def recent_results(self) -> dict[TargetNumber, ReportedResults]:
        """Return the results of this host's calls to targets where they changed recently."""
        reported = (
            (number, target.results.report_changes()) for number, target in self.by_number.items()
        )
        return {number: results for number, results in reported if results is not None}

    def record_remote_results(self, number: TargetNumber, good: int, bad: int) -> None:
        """Count results that other hosts report of a target; ignore an unknown target."""
        target = self.by_number.get(number)
        if target is not None:
            target.record_remote_results(good, bad)

    def _is_last_resort(self, target: Target, now: float) -> bool:
        return target.vanished_at is not None and now <= target.vanished_at + self.last_resort_s
