"""Orders to targets, planned from their desired and observed state, without I/O.

An order is a command to a target, such as to load a model or to drain. Orders are
idempotent: each states the desired end state, so a duplicated or delayed order does no harm,
and the effect of a stale one is repaired at the next comparison.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from ..config.document import TargetState
from ..config.resolve import models_to_load

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..config.document import Document, Target
    from .leases import HeldLease


class OrderKind(Enum):
    """Kind of an order.

    Load or unload a model, change the role, stop taking new work (drain), stop, or take work
    again (activate).
    """

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"
    DRAIN = "drain"
    STOP = "stop"
    ACTIVATE = "activate"


class Order(msgspec.Struct, frozen=True):
    """An order as sent to a target.

    :param fencing: fencing number of the sender's lease.
    :param model: model to load or unload; empty for other kinds.
    :param role: role to take; empty for other kinds.
    """

    kind: OrderKind
    fencing: int
    model: str = ""
    role: str = ""


class ObservedState(msgspec.Struct, frozen=True):
    """State that a target reports of itself.

    :param in_progress: requests that the target is processing.
    :param fencing: highest fencing number that the target has received.
    """

    models: tuple[str, ...]
    role: str
    draining: bool
    stopped: bool
    in_progress: int
    fencing: int = 0


@dataclass(frozen=True)
class FleetReport:
    """What the hosts report about a target that is to be drained or stopped.

    :param out_of_rotation: whether every live host has the configuration version that takes
        the target out of rotation, so that none selects it for new calls.
    :param in_flight: calls that the hosts have in progress at the target.
    """

    out_of_rotation: bool
    in_flight: int


@dataclass
class LoadRateLimiter:
    """Limits the rate of model loads to what the weight store allows.

    :param next_at: time from which the next load is allowed.
    """

    loads_per_minute: float
    next_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Return whether a load is allowed now, and reserve the following interval if so."""
        if now < self.next_at:
            return False
        self.next_at = now + 60.0 / self.loads_per_minute
        return True


def plan_order(
    document: Document,
    target: Target,
    observed: ObservedState,
    report: FleetReport,
    load_counts: Mapping[str, int],
    fencing: int,
) -> Order | None:
    """Return the next order for a target, or None if it is in its desired state or must wait.

    :param load_counts: number of targets that have each model loaded; of several missing
        models the one with the fewest is loaded first.
    :param fencing: fencing number of the sender's lease.
    """
    if target.state is TargetState.ACTIVE:
        return _plan_active(document, target, observed, load_counts, fencing)
    if observed.stopped:
        return None
    if not observed.draining:
        # A draining target refuses new calls, so it is drained only when no host selects it.
        return Order(OrderKind.DRAIN, fencing) if report.out_of_rotation else None
    idle = report.out_of_rotation and report.in_flight == 0 and observed.in_progress == 0
    if target.state is TargetState.STOPPED and idle:
        return Order(OrderKind.STOP, fencing)
    return None


def _plan_active(
    document: Document,
    target: Target,
    observed: ObservedState,
    load_counts: Mapping[str, int],
    fencing: int,
) -> Order | None:
    if observed.stopped or observed.draining:
        return Order(OrderKind.ACTIVATE, fencing)
    if observed.role != target.role.value:
        return Order(OrderKind.ROLE, fencing, role=target.role.value)
    desired = models_to_load(document, target)
    missing = [name for name in desired if name not in observed.models]
    if missing:
        return Order(
            OrderKind.LOAD,
            fencing,
            model=min(missing, key=lambda name: (load_counts.get(name, 0), desired.index(name))),
        )
    surplus = [name for name in observed.models if name not in desired]
    # Another host may still send calls for this model here, so it stays until the target is idle.
    if surplus and observed.in_progress == 0:
        return Order(OrderKind.UNLOAD, fencing, model=surplus[0])
    return None


def may_send(target: Target, lease: HeldLease | None, ttl_s: float, now: float) -> bool:
    """Return whether an order may be sent now; to be checked immediately before sending.

    A target that checks fencing numbers refuses the orders of a stale lease holder itself.
    For a target that ignores them, an order must end within the sender's lease, and a new
    holder first waits until no order of the previous one can still be in progress.

    :param ttl_s: lifetime of a lease in seconds.
    """
    if lease is None or lease.time_left(now) <= 0:
        return False
    if target.checks_fencing:
        return True
    if lease.time_left(now) < target.longest_order_s:
        return False
    return now - lease.acquired_at >= ttl_s + target.longest_order_s


def count_targets_per_model(states: Sequence[ObservedState]) -> dict[str, int]:
    """Return the number of targets that have each model loaded."""
    counts: dict[str, int] = {}
    for state in states:
        for name in state.models:
            counts[name] = counts.get(name, 0) + 1
    return counts
