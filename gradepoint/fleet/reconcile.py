"""The reconciler, which brings the targets of one failure domain to their desired state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

from .. import events
from ..errors import DecodingError, KvError, TargetFailure
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from ..wire.target_client import TargetClient
from .leases import TTL_S, LeaseKeeper
from .messages import StatusAnswer
from .orders import (
    FleetReport,
    LoadRateLimiter,
    ObservedState,
    Order,
    OrderKind,
    count_targets_per_model,
    may_send,
    plan_order,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from ..config.document import Document, Target
    from ..config.versions import ConfigInForce
    from ..kv.service import KeyValueService
    from .messages import Member

RECONCILE_PERIOD_S = 1.0
"""Seconds between comparisons of desired and observed state."""

CONVERGED_RECHECK_S = 30.0
"""Seconds between checks of a target that is in its desired state."""

CANDIDATE_COUNT = 2
"""Number of hosts that try to acquire a lease."""

STATE_TIMEOUT_S = 2.0
"""Seconds to wait for a target to report its state."""


class TargetControl(Protocol):
    """Interface for reading the state of targets and sending them orders."""

    async def read_state(self, target: Target) -> ObservedState | None:
        """Return the state that a target reports, or None if it cannot be read."""

    async def send(self, target: Target, order: Order) -> bool:
        """Send an order; return whether the target accepted it.

        False also means that the outcome is unknown, as after a timeout.
        """


class HttpTargetControl:
    """Target control over HTTP: ``GET /state`` and ``POST /orders``."""

    def __init__(self) -> None:
        self.client = TargetClient()

    async def read_state(self, target: Target) -> ObservedState | None:
        """See :meth:`TargetControl.read_state`."""
        try:
            answer = await self.client.call("GET", f"{target.url}/state", b"", {}, STATE_TIMEOUT_S)
            return decoding.decode_json(answer.body, ObservedState)
        except (TargetFailure, DecodingError):
            return None

    async def send(self, target: Target, order: Order) -> bool:
        """See :meth:`TargetControl.send`."""
        try:
            async with asyncio.timeout(target.longest_order_s):
                answer = await self.client.call(
                    "POST",
                    f"{target.url}/orders",
                    msgspec.json.encode(order),
                    {},
                    target.longest_order_s,
                    fresh=True,
                )
        except (TargetFailure, TimeoutError):
            return False
        return answer.status == 200


def candidates(live: Sequence[Member], domain: str) -> list[str]:
    """Return the hosts that may hold the lease on the orders of a failure domain.

    They are hosts of that domain; hosts of any domain if it has no live host.
    """
    domain_hosts = [member.host for member in live if member.failure_domain == domain]
    return rank(f"orders:{domain}", domain_hosts or [member.host for member in live])[
        :CANDIDATE_COUNT
    ]


class TargetReconciler:
    """Sends orders to the targets of one failure domain while it holds the domain's lease.

    :param live: returns the live members.
    :param fleet_status: returns the status of every live host, or the name of a host that
        did not answer.
    :param control: access to the targets; over HTTP by default.
    :ivar converged: for each target in its desired state, the configuration version and the
        monotonic time at which it is checked again.
    :ivar drain_logged: targets whose drain was logged as finished.
    """

    def __init__(
        self,
        service: KeyValueService,
        host: str,
        domain: str,
        config: ConfigInForce,
        live: Callable[[], Sequence[Member]],
        fleet_status: Callable[[], Awaitable[Sequence[StatusAnswer | str]]],
        control: TargetControl | None = None,
    ) -> None:
        self.domain = domain
        self.config = config
        self.fleet_status = fleet_status
        self.control = control or HttpTargetControl()
        self.lease = LeaseKeeper(
            service, f"orders/{domain}", host, lambda: host in candidates(live(), domain)
        )
        self.load_limiter = LoadRateLimiter(1.0)
        self.converged: dict[str, tuple[int, float]] = {}
        self.drain_logged: set[str] = set()

    async def run(self) -> None:
        """Keep trying to hold the lease, and reconcile while it is held, in endless loops."""
        tasks = TaskGroup()
        lease = tasks.start_loop(f"lease of {self.domain}", self.lease.run)
        orders = tasks.start_loop(f"orders of {self.domain}", self._reconcile_loop)
        try:
            await asyncio.gather(lease, orders)
        finally:
            await tasks.stop()

    async def _reconcile_loop(self) -> None:
        while True:
            if self.lease.current() is not None and self.config.record is not None:
                try:
                    await self.step()
                except KvError:
                    pass
            await asyncio.sleep(RECONCILE_PERIOD_S)

    async def step(self) -> None:
        """Compare each target that is due for a check with its desired state and send an order."""
        document = self.config.document
        domains = {target.failure_domain for target in document.targets}
        self.load_limiter.loads_per_minute = document.weight_store.loads_per_minute / len(domains)
        due = [
            target
            for target in document.targets
            if target.failure_domain == self.domain and self._is_due(target)
        ]
        states = await asyncio.gather(*(self.control.read_state(target) for target in due))
        observed = {target.name: state for target, state in zip(due, states, strict=True) if state}
        if not observed:
            return
        reports = await self._fleet_reports(document)
        load_counts = count_targets_per_model(list(observed.values()))
        for target in due:
            if target.name in observed:
                await self._reconcile_target(
                    document,
                    target,
                    observed[target.name],
                    reports.get(target.name, FleetReport(False, 0)),
                    load_counts,
                )

    def _is_due(self, target: Target) -> bool:
        version, recheck_at = self.converged.get(target.name, (0, 0.0))
        return version != self.config.version or monotonic() >= recheck_at

    async def _fleet_reports(self, document: Document) -> dict[str, FleetReport]:
        inactive = [target.name for target in document.targets if target.state.value != "active"]
        if not inactive:
            return {}
        answers = await self.fleet_status()
        confirmed = all(
            isinstance(answer, StatusAnswer) and answer.config_version >= self.config.version
            for answer in answers
        )
        counts = {name: 0 for name in inactive}
        for answer in answers:
            if isinstance(answer, StatusAnswer):
                for name, count in answer.in_flight.items():
                    counts[name] = counts.get(name, 0) + count
        return {name: FleetReport(confirmed, counts[name]) for name in inactive}

    async def _reconcile_target(
        self,
        document: Document,
        target: Target,
        observed: ObservedState,
        report: FleetReport,
        load_counts: dict[str, int],
    ) -> None:
        lease = self.lease.current()
        if lease is None:
            return
        order = plan_order(document, target, observed, report, load_counts, lease.fencing)
        if order is None:
            self._note_converged(target, observed)
            return
        if order.kind is OrderKind.LOAD and not self.load_limiter.try_acquire(monotonic()):
            return
        await self._send(target, order)

    def _note_converged(self, target: Target, observed: ObservedState) -> None:
        is_converged = target.state.value == "active" or observed.stopped
        if target.state.value == "draining" and observed.draining and observed.in_progress == 0:
            is_converged = True
            if target.name not in self.drain_logged:
                emit(events.TARGET_DRAINED, target=target.name)
                self.drain_logged.add(target.name)
        if is_converged:
            self.converged[target.name] = (self.config.version, monotonic() + CONVERGED_RECHECK_S)

    async def _send(self, target: Target, order: Order) -> None:
        if not target.checks_fencing:
            # The order must end within the lease, so the lease is renewed first.
            await self.lease.renew()
        if not may_send(target, self.lease.current(), TTL_S, monotonic()):
            metrics.shared().orders.add(1, {"kind": order.kind.value, "result": "withheld"})
            emit(events.ORDER_WITHHELD, target=target.name, kind=order.kind.value)
            return
        taken = await self.control.send(target, order)
        result = "taken" if taken else "refused"
        metrics.shared().orders.add(1, {"kind": order.kind.value, "result": result})
        event = events.ORDER_SENT if taken else events.ORDER_REFUSED
        emit(event, target=target.name, kind=order.kind.value, model=order.model)
