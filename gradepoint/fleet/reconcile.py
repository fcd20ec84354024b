"""The order-giver: brings the targets of one failure domain to their wanted state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

from .. import events
from ..errors import KvError, TargetFailure
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..wire.target_client import TargetClient
from .leases import TTL_S, LeaseKeeper
from .messages import StatusAnswer
from .orders import (
    FleetReport,
    LoadPacer,
    Order,
    OrderKind,
    SeenState,
    count_loaded,
    may_send,
    plan_order,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from ..config.document import Document, Target
    from ..config.versions import InForce
    from ..kv.service import KeyValueService
    from .messages import Member

STEP_S = 1.0
SETTLED_S = 30.0
"""Seconds between two looks at a target that is as wanted."""
CANDIDATES = 2
STATE_TIMEOUT_S = 2.0


class TargetControl(Protocol):
    """Port to a target's orders."""

    async def read_state(self, target: Target) -> SeenState | None:
        """Return what a target says of itself, or None."""

    async def send(self, target: Target, order: Order) -> bool:
        """Send an order; return whether the target took it."""


class HttpTargetControl:
    """Orders over HTTP."""

    def __init__(self) -> None:
        self.client = TargetClient()

    async def read_state(self, target: Target) -> SeenState | None:
        """See :meth:`TargetControl.read_state`."""
        try:
            answer = await self.client.call("GET", f"{target.url}/state", b"", {}, STATE_TIMEOUT_S)
            return msgspec.json.decode(answer.body, type=SeenState)
        except (TargetFailure, msgspec.MsgspecError):
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
    """Return the hosts that may give orders in a failure domain, its own hosts first."""
    near = [member.host for member in live if member.failure_domain == domain]
    return rank(f"orders:{domain}", near or [member.host for member in live])[:CANDIDATES]


class OrderGiver:
    """Gives orders to the targets of one failure domain while it holds the lease.

    :param fleet_status: asks every live host for its state.
    """

    def __init__(
        self,
        service: KeyValueService,
        host: str,
        domain: str,
        config: InForce,
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
        self.pacer = LoadPacer(1.0)
        self.settled: dict[str, tuple[int, float]] = {}
        self.announced: set[str] = set()

    async def run(self) -> None:
        """Hold the lease and reconcile for ever."""
        await asyncio.gather(self.lease.run(), self._reconcile_loop())

    async def _reconcile_loop(self) -> None:
        while True:
            if self.lease.current() is not None and self.config.record is not None:
                try:
                    await self.step()
                except KvError:
                    pass
            await asyncio.sleep(STEP_S)

    async def step(self) -> None:
        """Compare every target that may have changed and send what it needs."""
        document = self.config.document
        domains = {target.failure_domain for target in document.targets}
        self.pacer.loads_per_minute = document.weight_store.loads_per_minute / len(domains)
        due = [
            target
            for target in document.targets
            if target.failure_domain == self.domain and self._is_due(target)
        ]
        states = await asyncio.gather(*(self.control.read_state(target) for target in due))
        seen = {target.name: state for target, state in zip(due, states, strict=True) if state}
        if not seen:
            return
        reports = await self._fleet_reports(document)
        loaded = count_loaded(list(seen.values()))
        for target in due:
            if target.name in seen:
                await self._bring(
                    document,
                    target,
                    seen[target.name],
                    reports.get(target.name, FleetReport(False, 0)),
                    loaded,
                )

    def _is_due(self, target: Target) -> bool:
        version, until = self.settled.get(target.name, (0, 0.0))
        return version != self.config.version or monotonic() >= until

    async def _fleet_reports(self, document: Document) -> dict[str, FleetReport]:
        leaving = [target.name for target in document.targets if target.state.value != "active"]
        if not leaving:
            return {}
        answers = await self.fleet_status()
        confirmed = all(
            isinstance(answer, StatusAnswer) and answer.config_version >= self.config.version
            for answer in answers
        )
        counts = {name: 0 for name in leaving}
        for answer in answers:
            if isinstance(answer, StatusAnswer):
                for name, count in answer.in_flight.items():
                    counts[name] = counts.get(name, 0) + count
        return {name: FleetReport(confirmed, counts[name]) for name in leaving}

    async def _bring(
        self,
        document: Document,
        target: Target,
        seen: SeenState,
        report: FleetReport,
        loaded: dict[str, int],
    ) -> None:
        lease = self.lease.current()
        if lease is None:
            return
        order = plan_order(document, target, seen, report, loaded, lease.fencing)
        if order is None:
            self._note_settled(target, seen)
            return
        if order.kind is OrderKind.LOAD and not self.pacer.take(monotonic()):
            return
        await self._send(target, order)

    def _note_settled(self, target: Target, seen: SeenState) -> None:
        finished = target.state.value == "active" or seen.stopped
        if target.state.value == "draining" and seen.draining and seen.in_progress == 0:
            finished = True
            if target.name not in self.announced:
                emit(events.TARGET_DRAINED, target=target.name)
                self.announced.add(target.name)
        if finished:
            self.settled[target.name] = (self.config.version, monotonic() + SETTLED_S)

    async def _send(self, target: Target, order: Order) -> None:
        if not target.checks_fencing:
            # The order has to end within the lease, so the lease is renewed first.
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
