"""Operator's orders to empty a data host, and the answer to them."""

from __future__ import annotations

import msgspec

from ..ids import HostName

RETIRE_PREFIX = "op/retire/"
STATUS_PREFIX = "status/retire/"


class _Status(msgspec.Struct):
    state: str


def read_retired_host(key: str) -> HostName | None:
    """Return the host that an operator's key asks to be emptied, or None."""
    return HostName(key.removeprefix(RETIRE_PREFIX)) if key.startswith(RETIRE_PREFIX) else None


def status_key(host: HostName) -> str:
    """Return the key of the answer."""
    return STATUS_PREFIX + host


def encode_emptied() -> bytes:
    """Return the answer that the host holds nothing that must last."""
    return msgspec.json.encode(_Status("complete"))
