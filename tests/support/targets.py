"""Rows of the list of targets, for tests."""

from __future__ import annotations

from gradepoint.gateway.targets import ListedState, ListedTarget
from gradepoint.ids import ServiceName, TargetName

SERVICE = ServiceName("model")


def listed(
    name: str,
    state: ListedState = ListedState.READY,
    domain: str = "a",
    *,
    slots: int = 8,
    born_ms: int | None = None,
) -> ListedTarget:
    """Return one row."""
    return ListedTarget(TargetName(name), SERVICE, f"{name}:1", domain, slots, state, born_ms)
