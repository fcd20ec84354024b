"""Decodes the entries by which targets register themselves in the platform's store."""

from __future__ import annotations

import socket
from enum import Enum
from typing import Annotated

import msgspec

from ..errors import DecodingError
from ..gateway.targets import ListedState, ListedTarget
from ..ids import ServiceName, SoftwareVersion, TargetName
from ..util import decoding
from ..wire.addresses import split_address

TARGETS_PREFIX = "servers/"
HIGHEST_PORT = 65_535

MAX_EXACT = (1 << 53) - 1
"""Largest whole number that JSON carries exactly between programs. Beyond the range of a float, a
number of slots could not be compared with others."""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT)]
Time = Annotated[int, msgspec.Meta(ge=-MAX_EXACT, le=MAX_EXACT)]


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Entry(msgspec.Struct):
    """The fields that every target writes. An entry without one of them was not written by a
    target and is rejected.
    """

    service: str
    addr: str
    zone: str
    version: str
    slot_count: WholeNumber
    state: _State
    cold_left_ms: float
    call_seq: WholeNumber
    # Start time in milliseconds; not written by targets of older deployments.
    born: Time | msgspec.UnsetType = msgspec.UNSET


def read_target_name(key: str) -> TargetName:
    """Return the name of the target whose entry has *key*."""
    return TargetName(key.removeprefix(TARGETS_PREFIX))


def decode_target(key: str, value: bytes) -> ListedTarget:
    """Decode the entry of one target.

    :raises DecodingError: *value* is not a valid entry.
    """
    entry = decoding.decode_json(value, _Entry)
    _check_address(entry.addr)
    return ListedTarget(
        name=read_target_name(key),
        service=ServiceName(entry.service),
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slot_count,
        state=ListedState(entry.state.value),
        born_ms=None if entry.born is msgspec.UNSET else entry.born,
        version=SoftwareVersion(f"{entry.service}@{entry.version}"),
    )


def _check_address(address: str) -> None:
    """Reject an address to which no connection can be made, before a call is sent there."""
    try:
        ip, port = split_address(address)
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError) as error:
        raise DecodingError(f"not an IPv4 address with a port: {address!r}") from error
    if not 0 < port <= HIGHEST_PORT:
        raise DecodingError(f"port out of range: {address!r}")
