"""Operators' requests to drain a data host, and the status written in response.

Both are keys in the platform's store.
"""

from __future__ import annotations

import msgspec

from ..ids import HostName

RETIRE_PREFIX = "op/retire/"
STATUS_PREFIX = "status/retire/"


class _Status(msgspec.Struct):
    state: str


def read_retired_host(key: str) -> HostName | None:
    """Return the host that *key* asks to drain; None if *key* is no such request."""
    return HostName(key.removeprefix(RETIRE_PREFIX)) if key.startswith(RETIRE_PREFIX) else None


def status_key(host: HostName) -> str:
    """Return the key under which the drain status of *host* is written."""
    return STATUS_PREFIX + host


def encode_drained_status() -> bytes:
    """Return the status "complete": the host holds no more data that must be kept."""
    return msgspec.json.encode(_Status("complete"))
