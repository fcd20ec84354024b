"""Decodes the entries by which targets register themselves in the platform's store."""

from __future__ import annotations

import re
import socket
from enum import Enum
from typing import Annotated

import msgspec

from ..errors import DecodingError
from ..gateway.targets import ListedState, ListedTarget
from ..ids import ServiceName, SoftwareVersion, TargetName
from ..util import decoding
from ..util.numbers import read_whole_number
from ..wire.addresses import is_port

TARGETS_PREFIX = "servers/"
MAX_WHOLE_NUMBER = (1 << 53) - 1
"""Messages between hosts have integers of 64 bits, and JSON readers keep 53 of them."""
HEADER_TEXT = re.compile(r"[!-~](?:[ -~]*[!-~])?")
"""Texts that a header can carry unchanged; each call carries the name of its target."""
INCARNATION = re.compile(r".*@[0-9]+")
"""Form of a target's id. A name of this form, without a start time, equals the id of another."""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


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
    call_seq: Annotated[int, msgspec.Meta(ge=0)]
    # Start time in milliseconds; not written by targets of older deployments.
    born: WholeNumber | msgspec.UnsetType = msgspec.UNSET


def read_target_name(key: str) -> TargetName:
    """Return the name of the target whose entry has *key*."""
    return TargetName(key.removeprefix(TARGETS_PREFIX))


def decode_target(key: str, value: bytes) -> ListedTarget:
    """Decode the entry of one target.

    :raises DecodingError: *value* is not a valid entry, or *key* no key of one.
    """
    entry = decoding.decode_json(value, _Entry)
    _check_name(read_target_name(key), entry)
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


def shorten_target(value: bytes) -> bytes:
    """Return an entry without the fields of which :func:`decode_target` knows nothing.

    :raises DecodingError: *value* is not a valid entry.
    """
    return msgspec.json.encode(decoding.decode_json(value, _Entry))


def _check_name(name: TargetName, entry: _Entry) -> None:
    """Reject a name with which no call can be sent, or which is taken for another target."""
    if not HEADER_TEXT.fullmatch(name):
        raise DecodingError(f"not a name that a header can carry: {name!r}")
    if entry.born is msgspec.UNSET and INCARNATION.fullmatch(name):
        raise DecodingError(f"name has the form of another target's id: {name!r}")


def _check_address(address: str) -> None:
    """Reject an address to which no connection can be made, before a call is sent there."""
    ip, _, text = address.rpartition(":")
    port = read_whole_number(text)
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError) as error:
        raise DecodingError(f"not an IPv4 address with a port: {address!r}") from error
    if not is_port(port) or port == 0:
        raise DecodingError(f"not a port: {address!r}")
