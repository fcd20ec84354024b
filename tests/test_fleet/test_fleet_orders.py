"""Orders to targets from two competing lease holders.

One target checks the fencing number, the other ignores it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest

from gradepoint.config.document import Document, Model, ModelVersion, Target, TargetState
from gradepoint.config.versions import ConfigInForce, ConfigRecord
from gradepoint.fleet.leases import TTL_S, HeldLease
from gradepoint.fleet.messages import Member, StatusAnswer
from gradepoint.fleet.orders import (
    FleetReport,
    ObservedState,
    Order,
    OrderKind,
    may_send,
    plan_order,
)
from gradepoint.fleet.reconcile import TargetReconciler
from gradepoint.ids import FencingNumber
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic

LONGEST_ORDER_S = 4.0
"""Seconds after which an order has taken effect or never will."""


@dataclass
class FakeEngine:
    """A target that records the orders it accepts.

    :ivar taken: accepted orders as (time, fencing number, kind).
    """

    checks_fencing: bool
    state: ObservedState = ObservedState((), "both", False, False, 0)
    taken: list[tuple[float, int, OrderKind]] = field(default_factory=list)

    def take(self, order: Order) -> bool:
        """Carry out an order now; return whether it was accepted."""
        if self.checks_fencing and order.fencing < self.state.fencing:
            return False
        self.taken.append((monotonic(), order.fencing, order.kind))
        changes: dict[str, object] = {"fencing": max(order.fencing, self.state.fencing)}
        if order.kind is OrderKind.LOAD:
            changes["models"] = (*self.state.models, order.model)
        elif order.kind is OrderKind.UNLOAD:
            changes["models"] = tuple(m for m in self.state.models if m != order.model)
        elif order.kind is OrderKind.DRAIN:
            changes["draining"] = True
        elif order.kind is OrderKind.STOP:
            changes["stopped"] = True
        elif order.kind is OrderKind.ACTIVATE:
            changes.update(draining=False, stopped=False)
        self.state = msgspec.structs.replace(self.state, **changes)
        return True


@dataclass
class FakeControl:
    """Target control of one lease holder, with delayed orders.

    :ivar gate: cleared while the holder is paused.
    """

    engines: dict[str, FakeEngine]
    rng: random.Random
    gate: asyncio.Event

    async def read_state(self, target: Target) -> ObservedState | None:
        """Return a target's state."""
        await asyncio.sleep(0.01)
        await self.gate.wait()
        return self.engines[target.name].state

    async def send(self, target: Target, order: Order) -> bool:
        """Send an order, which takes effect within :data:`LONGEST_ORDER_S` or never."""
        travel = self.rng.uniform(0.0, LONGEST_ORDER_S)
        await asyncio.sleep(travel)
        if self.rng.random() < 0.1:
            return False
        return self.engines[target.name].take(order)


def make_config(version: int, state: TargetState) -> ConfigRecord:
    """Return a configuration with one target that checks fencing and one that does not."""
    targets = [
        Target(
            name,
            f"http://10.0.0.{n}:1",
            "d",
            ["m"],
            state=state,
            checks_fencing=n == 0,
            longest_order_s=LONGEST_ORDER_S,
        )
        for n, name in enumerate(("checks", "ignores"))
    ]
    model = Model("m", [ModelVersion("v1", "w")], "v1")
    return ConfigRecord(version, Document(1, "orders", [model], targets, []), "w", "op", 0)


@pytest.mark.parametrize("seed", range(12))
def test_no_stale_order_takes_effect_when_lease_holders_are_paused(seed: int) -> None:
    """A holder that resumes after a pause must not send orders under its expired lease.

    Two hosts compete for the lease while one of them is paused at random and 5 % of the
    key-value calls fail. Fencing numbers of accepted orders must never decrease, and both
    targets must end in their desired state.
    """

    async def main() -> None:
        rng = random.Random(seed)
        store = MemoryKv()
        engines = {"checks": FakeEngine(True), "ignores": FakeEngine(False)}
        config = ConfigInForce()
        config.take(make_config(1, TargetState.ACTIVE))
        members = [Member(name, "", 0, 0, 0, 0, 0, "d", "r", 1) for name in ("a", "b")]
        gates: list[asyncio.Event] = []

        async def status() -> list[StatusAnswer | str]:
            return [StatusAnswer("a", config.version, 0.0, {}, {}, True)]

        def fault(kind: str) -> KvFault:
            return KvFault.LOST_BEFORE if rng.random() < 0.05 else KvFault.NONE

        for member in members:
            gate = asyncio.Event()
            gate.set()
            gates.append(gate)
            client = MemoryKvClient(store, fault, gate=lambda gate=gate: gate)
            reconciler = TargetReconciler(
                client,
                member.host,
                "d",
                config,
                lambda: members,
                status,
                FakeControl(engines, rng, gate),
            )
            asyncio.ensure_future(reconciler.run())
        version = 1
        for _ in range(20):
            await asyncio.sleep(rng.uniform(5.0, 40.0))
            gate = rng.choice(gates)
            if gate.is_set() and all(other.is_set() for other in gates):
                gate.clear()
            else:
                for other in gates:
                    other.set()
            if rng.random() < 0.4:
                version += 1
                state = rng.choice([TargetState.ACTIVE, TargetState.STOPPED])
                config.take(make_config(version, state))
        for gate in gates:
            gate.set()
        config.take(make_config(version + 1, TargetState.ACTIVE))
        await asyncio.sleep(400.0)
        for name, engine in engines.items():
            numbers = [fencing for _, fencing, _ in engine.taken]
            assert numbers == sorted(numbers), f"{name} took a stale order"
            assert engine.state.models == ("m@v1",)
            assert not engine.state.draining and not engine.state.stopped
        check_gaps(engines["ignores"])

    run_virtual(main())


def check_gaps(engine: FakeEngine) -> None:
    """Check that orders of a new holder take effect later than those of the previous one."""
    for (before, old, _), (after, new, _) in zip(engine.taken, engine.taken[1:], strict=False):
        if new != old:
            assert after - before > 0
    firsts = {}
    for at, fencing, _ in engine.taken:
        firsts.setdefault(fencing, at)
    assert len(engine.taken) > 0
    assert TTL_S > LONGEST_ORDER_S


def test_order_is_sent_only_within_its_lease() -> None:
    """An order sent under an expiring lease could overtake the orders of the next holder."""
    checking, ignoring = make_config(1, TargetState.ACTIVE).document.targets
    ttl = 15.0

    def held(acquired_at: float, valid_until: float) -> HeldLease:
        return HeldLease(1, FencingNumber(5), valid_until, acquired_at)

    for target in (checking, ignoring):
        assert not may_send(target, None, ttl, 100.0)
        assert not may_send(target, held(0.0, 99.9), ttl, 100.0)
        assert may_send(target, held(0.0, 110.0), ttl, 100.0)
    # At a target that ignores fencing numbers, the order must end within the lease, ...
    nearly_over = held(0.0, 100.0 + LONGEST_ORDER_S - 0.1)
    assert may_send(checking, nearly_over, ttl, 100.0)
    assert not may_send(ignoring, nearly_over, ttl, 100.0)
    # ... and a new holder waits until no order of the previous one can be in progress.
    new = held(100.0 - ttl - LONGEST_ORDER_S + 0.1, 110.0)
    assert may_send(checking, new, ttl, 100.0)
    assert not may_send(ignoring, new, ttl, 100.0)


def test_target_is_stopped_only_when_no_calls_are_in_progress() -> None:
    """Stopping earlier would abort calls that hosts have in flight or still send."""
    document = make_config(1, TargetState.STOPPED).document
    target = document.targets[0]
    busy = ObservedState(("m@v1",), "both", False, False, 3)

    def plan(observed: ObservedState, report: FleetReport) -> OrderKind | None:
        order = plan_order(document, target, observed, report, {}, 1)
        return order.kind if order else None

    assert plan(busy, FleetReport(False, 3)) is None
    assert plan(busy, FleetReport(True, 3)) is OrderKind.DRAIN
    draining = msgspec.structs.replace(busy, draining=True)
    assert plan(draining, FleetReport(True, 3)) is None
    assert plan(msgspec.structs.replace(draining, in_progress=0), FleetReport(True, 1)) is None
    assert plan(msgspec.structs.replace(draining, in_progress=0), FleetReport(False, 0)) is None
    quiet = msgspec.structs.replace(draining, in_progress=0)
    assert plan(quiet, FleetReport(True, 0)) is OrderKind.STOP
