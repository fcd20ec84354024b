"""Decodes the entries that targets keep of themselves in the platform's store."""

from __future__ import annotations

import socket
from enum import Enum
from typing import Annotated

import msgspec

from ..gateway.targets import ListedState, ListedTarget
from ..ids import ServiceName, TargetName
from ..wire.addresses import split_address

TARGETS_PREFIX = "servers/"
HIGHEST_PORT = 65_535

WholeNumber = Annotated[int, msgspec.Meta(ge=0)]


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Entry(msgspec.Struct):
    """Every field that each target writes: an entry without one of them has another writer."""

    service: str
    addr: str
    zone: str
    version: str
    slot_count: WholeNumber
    state: _State
    cold_left_ms: float
    call_seq: WholeNumber
    # Not told by the targets of older deployments.
    born: int | msgspec.UnsetType = msgspec.UNSET


def read_target_name(key: str) -> TargetName:
    """Return the target that *key* belongs to."""
    return TargetName(key.removeprefix(TARGETS_PREFIX))


def decode_target(key: str, value: bytes) -> ListedTarget:
    """Decode one entry.

    :raises msgspec.DecodeError: *value* is not one.
    """
    entry = msgspec.json.decode(value, type=_Entry)
    _check_address(entry.addr)
    return ListedTarget(
        name=read_target_name(key),
        service=ServiceName(entry.service),
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slot_count,
        state=ListedState(entry.state.value),
        born_ms=None if entry.born is msgspec.UNSET else entry.born,
    )


def _check_address(address: str) -> None:
    """Refuse what no connection can be made to, before a call is sent there."""
    try:
        ip, port = split_address(address)
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError) as error:
        raise msgspec.ValidationError(f"no address: {address!r}") from error
    if not 0 < port <= HIGHEST_PORT:
        raise msgspec.ValidationError(f"no port: {address!r}")
