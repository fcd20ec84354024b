"""Decodes the entries that targets keep of themselves in the platform's store."""

from __future__ import annotations

import msgspec

from ..gateway.targets import ListedState, ListedTarget
from ..ids import ServiceName, TargetId

TARGETS_PREFIX = "servers/"


class _Entry(msgspec.Struct):
    service: str
    addr: str
    zone: str = ""
    slot_count: int = 0
    state: str = "ready"


def read_target_id(key: str) -> TargetId:
    """Return the target that *key* belongs to."""
    return TargetId(key.removeprefix(TARGETS_PREFIX))


def decode_target(key: str, value: bytes) -> ListedTarget:
    """Decode one entry.

    :raises msgspec.DecodeError: *value* is not one.
    """
    entry = msgspec.json.decode(value, type=_Entry)
    state = ListedState.READY if entry.state == "ready" else ListedState.DRAINING
    return ListedTarget(
        id=read_target_id(key),
        service=ServiceName(entry.service),
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slot_count,
        state=state,
    )
