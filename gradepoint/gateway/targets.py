"""Targets as this host knows them: what is listed, what calls showed, what is in flight."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit

if TYPE_CHECKING:
    from ..ids import ServiceName, TargetId

FIRST_EJECTION_S = 0.5
"""Seconds a target is left out after it failed; about the time a crashed one takes to be
listed as gone is two heartbeats, which the doubling reaches at the second failure."""
LONGEST_EJECTION_S = 4.0
"""Seconds of the longest ejection: a target that is back is tried again within this time."""
FAILURES_TO_EJECT = 3
"""Broken or failed answers in a row before a target is left out. A target that spoils a few
per cent of its answers shows three in a row less than once in ten thousand calls."""


class ListedState(Enum):
    """What the list of targets says of one."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class ListedTarget:
    """One row of the list of targets.

    :param id: names one life of a target; a restart gives a new one.
    :param address: ``IP:PORT``.
    """

    id: TargetId
    service: ServiceName
    address: str
    failure_domain: str
    slots: int
    state: ListedState


@dataclass
class Target:
    """A listed target and what this host's calls showed of it.

    :ivar in_flight: calls of this host that it has now.
    :ivar vanished_at: when its row vanished without notice; None while it is listed.
    """

    listed: ListedTarget
    in_flight: int = 0
    failures: int = 0
    ejection_s: float = 0.0
    ejected_until: float = 0.0
    vanished_at: float | None = None

    @property
    def id(self) -> TargetId:
        """Its id."""
        return self.listed.id

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self.listed.address

    def record_success(self) -> None:
        """Take a whole answer as proof that the target works."""
        self.failures = 0
        self.ejection_s = 0.0
        self.ejected_until = 0.0

    def record_failure(self, now: float, reason: str, *, certain: bool) -> None:
        """Count a failed call.

        :param certain: the target could not be reached at all, so one failure is enough.
        """
        self.failures += 1
        if not certain and self.failures < FAILURES_TO_EJECT:
            return
        if now < self.ejected_until:
            return
        self.ejection_s = min(LONGEST_EJECTION_S, max(FIRST_EJECTION_S, self.ejection_s * 2))
        self.ejected_until = now + self.ejection_s
        emit(
            events.TARGET_EJECTED,
            target=self.id,
            reason=reason,
            failures=self.failures,
            for_s=self.ejection_s,
        )


@dataclass
class TargetSet:
    """Every target known to this host.

    :param linger_s: seconds that a target whose row vanished stays a last resort. The list
        may lose rows while its store is away, and no target may get a call later than the
        deployment's drain time after its row went.
    """

    linger_s: float
    by_id: dict[TargetId, Target] = field(default_factory=dict)
    by_service: dict[ServiceName, list[Target]] = field(default_factory=lambda: defaultdict(list))

    def put(self, listed: ListedTarget) -> None:
        """Take a new or changed row."""
        known = self.by_id.get(listed.id)
        if known is not None and known.listed.service == listed.service:
            if known.listed.state is not listed.state:
                emit(events.TARGET_STATE, target=listed.id, state=listed.state.value)
            known.listed = listed
            known.vanished_at = None
            return
        if known is not None:
            self._forget(known)
        target = Target(listed)
        self.by_id[listed.id] = target
        self.by_service[listed.service].append(target)
        emit(events.TARGET_LISTED, target=listed.id, address=listed.address)

    def vanish(self, target_id: TargetId, now: float) -> None:
        """Take note that a row is gone."""
        target = self.by_id.get(target_id)
        if target is not None and target.vanished_at is None:
            target.vanished_at = now
            emit(events.TARGET_VANISHED, target=target_id, in_flight=target.in_flight)

    def replace(self, rows: list[ListedTarget], now: float) -> None:
        """Take a whole new list."""
        listed = {row.id for row in rows}
        for row in rows:
            self.put(row)
        for target_id in [known for known in self.by_id if known not in listed]:
            self.vanish(target_id, now)

    def sweep(self, now: float) -> None:
        """Forget vanished targets whose time as a last resort is over."""
        for target in list(self.by_id.values()):
            if target.vanished_at is not None and now > target.vanished_at + self.linger_s:
                self._forget(target)

    def _forget(self, target: Target) -> None:
        self.by_id.pop(target.id, None)
        self.by_service[target.listed.service].remove(target)

    def candidates(self, service: ServiceName, now: float) -> list[Target]:
        """Return the targets of *service* that may get a call, the best kind there is.

        Listed and working ones first; else, so that a wrong sign cannot empty a service,
        ejected ones; else ones whose row has just vanished.
        """
        ready = [t for t in self.by_service[service] if t.listed.state is ListedState.READY]
        listed = [t for t in ready if t.vanished_at is None]
        working = [t for t in listed if t.ejected_until <= now]
        if working or listed:
            return working or listed
        return [t for t in ready if t.vanished_at is not None and self._lingers(t, now)]

    def _lingers(self, target: Target, now: float) -> bool:
        return target.vanished_at is not None and now <= target.vanished_at + self.linger_s
