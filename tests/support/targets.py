"""Entries of the target list, for tests."""

from __future__ import annotations

from gradepoint.gateway.targets import ListedState, ListedTarget
from gradepoint.ids import ServiceName, SoftwareVersion, TargetName

SERVICE = ServiceName("model")


def listed_target(
    name: str,
    state: ListedState = ListedState.READY,
    domain: str = "a",
    *,
    slots: int = 8,
    born_ms: int | None = None,
    version: str = "",
    address: str | None = None,
) -> ListedTarget:
    """Return one entry, whose address is by default the name with port 1."""
    return ListedTarget(
        TargetName(name),
        SERVICE,
        address or f"{name}:1",
        domain,
        slots,
        state,
        born_ms,
        SoftwareVersion(version),
    )
