"""Targets as this host knows them: what is listed, what calls showed, what is in flight."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..ids import TargetId
from ..peers.datagrams import number_target
from ..peers.results import ResultCount
from ..routing.suspects import Trial
from ..telemetry.logs import emit
from ..util.clock import monotonic
from .health import TargetHealth

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..ids import ServiceName, TargetName, TargetNumber
    from ..peers.results import ToldResults
    from .identity import RequestIdentity

MIN_CANDIDATE_SHARE = 0.5
"""Share of a service's targets that stay in choice whatever their health says: a bad signal,
or an overload that makes all answers late, must not empty a service."""


class ListedState(Enum):
    """What the list of targets says of one."""

    READY = "ready"
    DRAINING = "draining"
    UNREADABLE = "unreadable"


@dataclass(frozen=True)
class ListedTarget:
    """One row of the list of targets.

    :param address: ``IP:PORT``.
    :param born_ms: Unix milliseconds of the target's start, None where it does not tell. A target
        that starts again under its name is told from its former life by it. It is never compared
        with a clock.
    :ivar id: names this life of the target.
    """

    name: TargetName
    service: ServiceName
    address: str
    failure_domain: str
    slots: int
    state: ListedState
    born_ms: int | None = None
    id: TargetId = field(init=False)

    def __post_init__(self) -> None:
        incarnation = self.name if self.born_ms is None else f"{self.name}@{self.born_ms}"
        object.__setattr__(self, "id", TargetId(incarnation))


@dataclass(frozen=True)
class RunningTrial:
    """A suspected request that has a target to itself.

    :param kind: whether it found the target empty.
    """

    request: RequestIdentity
    kind: Trial


@dataclass
class Target:
    """A listed target and what this host's calls showed of it.

    :param on_change: called when what this host has in flight changes.
    :ivar in_flight: calls of this host that it has now.
    :ivar running: what these ask for, where they were sent.
    :ivar results: of this host's calls, in this life.
    :ivar vanished_at: when its row vanished without notice; None while it is listed.
    :ivar closed_at: monotonic time at which nothing listened at its address any more; it gets no
        calls. None while something does.
    :ivar end_doubted: it was told as ended, but its port is open: an answer shows that it lives.
    :ivar last_call_ended_at: monotonic time at which a call of this host last left it.
    :ivar trial: the suspected request of this host that has it to itself.
    """

    listed: ListedTarget
    in_flight: int = 0
    health: TargetHealth = field(default_factory=TargetHealth)
    results: ResultCount = field(default_factory=ResultCount)
    on_change: Callable[[], None] = lambda: None
    vanished_at: float | None = None
    running: set[RequestIdentity] = field(default_factory=set)
    closed_at: float | None = None
    end_doubted: bool = False
    last_call_ended_at: float = float("-inf")
    trial: RunningTrial | None = None

    @property
    def id(self) -> TargetId:
        """Names this life of it."""
        return self.listed.id

    @property
    def name(self) -> TargetName:
        """Its name in the list."""
        return self.listed.name

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self.listed.address

    def begin(self, request: RequestIdentity | None = None) -> None:
        """Count a call or item of this host that is sent now.

        :param request: what it asks for; None where it is only about to be sent.
        """
        self.in_flight += 1
        if request is not None:
            self.running.add(request)
        self.on_change()

    def end(self, request: RequestIdentity | None = None) -> None:
        """Take note that a call or item of this host is not at the target any more."""
        self.in_flight -= 1
        self.last_call_ended_at = monotonic()
        if request is not None:
            self.running.discard(request)
            self.end_trial(request)
        self.on_change()

    def end_trial(self, request: RequestIdentity) -> None:
        """Leave the target to others again, if it is *request* that has it to itself."""
        if self.trial is not None and self.trial.request is request:
            self.trial = None
            self.on_change()

    def list_running(self) -> list[tuple[RequestIdentity, Trial]]:
        """Return what this host has there, and how."""
        trial_request, kind = (None, Trial.NONE)
        if self.trial is not None:
            trial_request, kind = self.trial.request, self.trial.kind
        return [
            (request, kind if request is trial_request else Trial.NONE) for request in self.running
        ]

    def record_success(self) -> None:
        """Count a whole answer of this host's calls."""
        self.results.add(1, 0)
        self.health.record_success()

    def record_failure(self, reason: str, *, unreachable: bool = False) -> None:
        """Count a failed call of this host.

        :param unreachable: no connection was made, so one failure is enough.
        """
        now = monotonic()
        self.results.add(0, 1)
        record = self.health.record_unreachable if unreachable else self.health.record_failure
        if record(now):
            self._log_ejection(reason)

    def record_elsewhere(self, good: int, bad: int) -> None:
        """Count results of other hosts' calls."""
        for _ in range(good):
            self.health.record_success()
        for _ in range(bad):
            if self.health.record_failure(monotonic()):
                self._log_ejection("other hosts' calls")

    def _log_ejection(self, reason: str) -> None:
        emit(
            events.TARGET_EJECTED,
            target=self.id,
            reason=reason,
            failing=round(self.health.failure_share, 2),
            for_s=self.health.ejection_s,
        )


@dataclass
class TargetSet:
    """Every target known to this host.

    :param linger_s: seconds that a target whose row vanished stays a last resort. The list
        may lose rows while its store is away, and no target may get a call later than the
        deployment's drain time after its row went.
    :param on_change: called when what this host has in flight at a target changes.
    :param on_replaced: called with what was listed of a target that has started again. What calls
        showed of its former life, and what these have in flight, says nothing of the new one.
    """

    linger_s: float
    on_change: Callable[[], None] = lambda: None
    on_replaced: Callable[[ListedTarget], None] = lambda _: None
    by_id: dict[TargetId, Target] = field(default_factory=dict)
    by_name: dict[TargetName, Target] = field(default_factory=dict)
    by_service: dict[ServiceName, list[Target]] = field(default_factory=lambda: defaultdict(list))
    by_number: dict[TargetNumber, Target] = field(default_factory=dict)

    def put(self, listed: ListedTarget) -> None:
        """Take a new or changed row."""
        known = self.by_name.get(listed.name)
        same_incarnation = known is not None and known.id == listed.id
        if known is not None and same_incarnation and known.listed.service == listed.service:
            if known.listed.state is not listed.state:
                emit(events.TARGET_STATE, target=listed.id, state=listed.state.value)
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
        emit(events.TARGET_LISTED, target=listed.id, address=listed.address)

    def vanish(self, name: TargetName, now: float) -> None:
        """Take note that a row is gone."""
        target = self.by_name.get(name)
        if target is not None and target.vanished_at is None:
            target.vanished_at = now
            emit(events.TARGET_VANISHED, target=target.id, in_flight=target.in_flight)

    def put_unreadable(self, name: TargetName) -> None:
        """Take note that a row names no target to use any more, not as a last resort either."""
        target = self.by_name.get(name)
        if target is not None:
            target.listed = replace(target.listed, state=ListedState.UNREADABLE)
            target.vanished_at = None

    def replace(
        self, rows: list[ListedTarget], now: float, unreadable: Collection[TargetName] = ()
    ) -> None:
        """Take a whole new list.

        :param unreadable: names of rows that cannot be read.
        """
        listed = {row.name for row in rows}.union(unreadable)
        for row in rows:
            self.put(row)
        for name in unreadable:
            self.put_unreadable(name)
        for name in [known for known in self.by_name if known not in listed]:
            self.vanish(name, now)

    def sweep(self, now: float) -> None:
        """Forget vanished targets whose time as a last resort is over."""
        for target in list(self.by_id.values()):
            if target.vanished_at is not None and now > target.vanished_at + self.linger_s:
                self._forget(target)

    def _forget(self, target: Target) -> None:
        self.by_id.pop(target.id, None)
        self.by_name.pop(target.name, None)
        self.by_number.pop(number_target(target.id), None)
        self.by_service[target.listed.service].remove(target)

    def candidates(self, service: ServiceName, now: float) -> list[Target]:
        """Return the targets of *service* that may get a call, the best kind there is.

        Listed ones that are not ejected, and the healthiest of the others where these are
        less than half; else ones whose row has just vanished. None whose port is closed.
        """
        ready = [
            t
            for t in self.by_service[service]
            if t.listed.state is ListedState.READY and t.closed_at is None
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
        """Return the other listed targets of a target's service, those of its failure domain
        first."""
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
        """Return at how many addresses targets of *service* are listed, and at how many of these
        one may get a call. Of a target that started again, both lives may be listed."""
        listed = [t for t in self.by_service[service] if t.listed.state is ListedState.READY]
        working = self.candidates(service, now)
        return len({t.address for t in listed}), len({t.address for t in working})

    def find_closed(self) -> list[Target]:
        """Return the targets whose ports were closed."""
        return [target for target in self.by_id.values() if target.closed_at is not None]

    def has_successor(self, target: Target) -> bool:
        """Whether another life has come to a target's address since it was listed."""
        known = self.by_name.get(target.name)
        if known is not None and known.id != target.id:
            return True
        ids = list(self.by_id)
        later = ids[ids.index(target.id) + 1 :] if target.id in self.by_id else ids
        return any(self.by_id[other].address == target.address for other in later)

    def working(self, now: float) -> list[Target]:
        """Return the targets of all services that may get a call."""
        return [target for service in self.by_service for target in self.candidates(service, now)]

    def find_slots(self, number: TargetNumber) -> int | None:
        """Return how many calls a target works on at once, None if it is not known."""
        target = self.by_number.get(number)
        return None if target is None else max(1, target.listed.slots)

    def recent_results(self) -> dict[TargetNumber, ToldResults]:
        """Return the results of this host's calls where they changed lately."""
        reported = ((number, target.results.tell()) for number, target in self.by_number.items())
        return {number: results for number, results in reported if results is not None}

    def record_elsewhere(self, number: TargetNumber, good: int, bad: int) -> None:
        """Count results of other hosts' calls."""
        target = self.by_number.get(number)
        if target is not None:
            target.record_elsewhere(good, bad)

    def _is_last_resort(self, target: Target, now: float) -> bool:
        return target.vanished_at is not None and now <= target.vanished_at + self.linger_s
