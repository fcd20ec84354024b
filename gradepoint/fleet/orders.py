"""Which orders a target needs: pure decisions from wanted and seen state.

Orders state the wanted end, so that a doubled or late one does no harm, and what a
stale one did is repaired by the next comparison.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..config.document import TargetState
from ..config.resolve import wanted_loads

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..config.document import Document, Target
    from .leases import HeldLease


class OrderKind(Enum):
    """Kinds of orders that engines take."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"
    DRAIN = "drain"
    STOP = "stop"
    ACTIVATE = "activate"


class Order(msgspec.Struct, frozen=True):
    """An order as sent; *fencing* is the number of its giver's lease."""

    kind: OrderKind
    fencing: int
    model: str = ""
    role: str = ""


class SeenState(msgspec.Struct, frozen=True):
    """What an engine says of itself."""

    models: tuple[str, ...]
    role: str
    draining: bool
    stopped: bool
    in_progress: int
    fencing: int = 0


@dataclass(frozen=True)
class FleetReport:
    """What the hosts say of a target.

    :param out_of_choice: every live host has the version that takes the target out.
    :param in_flight: calls that hosts have in progress there.
    """

    out_of_choice: bool
    in_flight: int


@dataclass
class LoadPacer:
    """Paces loads to the weight store's limit."""

    loads_per_minute: float
    next_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one load if it is due."""
        if now < self.next_at:
            return False
        self.next_at = now + 60.0 / self.loads_per_minute
        return True


def plan_order(
    document: Document,
    target: Target,
    seen: SeenState,
    report: FleetReport,
    loaded: Mapping[str, int],
    fencing: int,
) -> Order | None:
    """Return the next order for a target, or None if it is as wanted or must wait.

    :param loaded: how many targets have each model, to load the most wanted first.
    """
    if target.state is TargetState.ACTIVE:
        return _plan_active(document, target, seen, loaded, fencing)
    if seen.stopped:
        return None
    if not seen.draining:
        # Only once no host chooses it any more, a drain refuses nobody.
        return Order(OrderKind.DRAIN, fencing) if report.out_of_choice else None
    quiet = report.out_of_choice and report.in_flight == 0 and seen.in_progress == 0
    if target.state is TargetState.STOPPED and quiet:
        return Order(OrderKind.STOP, fencing)
    return None


def _plan_active(
    document: Document, target: Target, seen: SeenState, loaded: Mapping[str, int], fencing: int
) -> Order | None:
    if seen.stopped or seen.draining:
        return Order(OrderKind.ACTIVATE, fencing)
    if seen.role != target.role.value:
        return Order(OrderKind.ROLE, fencing, role=target.role.value)
    wanted = wanted_loads(document, target)
    missing = [name for name in wanted if name not in seen.models]
    if missing:
        return Order(
            OrderKind.LOAD,
            fencing,
            model=min(missing, key=lambda name: (loaded.get(name, 0), wanted.index(name))),
        )
    extra = [name for name in seen.models if name not in wanted]
    # A model that another host may still choose here stays until its calls are over.
    if extra and seen.in_progress == 0:
        return Order(OrderKind.UNLOAD, fencing, model=extra[0])
    return None


def may_send(target: Target, lease: HeldLease | None, ttl_s: float, now: float) -> bool:
    """Return whether an order may leave now; checked right before sending.

    A target that checks fencing refuses a stale giver by itself. For one that ignores
    the number, an order must end within the giver's lease, and a new giver first waits
    until no order of an old one can still be under way.
    """
    if lease is None or lease.time_left(now) <= 0:
        return False
    if target.checks_fencing:
        return True
    if lease.time_left(now) < target.longest_order_s:
        return False
    return now - lease.acquired_at >= ttl_s + target.longest_order_s


def count_loaded(states: Sequence[SeenState]) -> dict[str, int]:
    """Return how many targets have each model loaded."""
    counts: dict[str, int] = {}
    for state in states:
        for name in state.models:
            counts[name] = counts.get(name, 0) + 1
    return counts
