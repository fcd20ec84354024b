"""What callers may send, how long they may rest, and how many there may be."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..wire.http_server import ServerLimits

if TYPE_CHECKING:
    from .configuration import CallerLimits

IDLE_SLACK_S = 1.0
"""Seconds that a resting connection is kept beyond the configured time, for requests that
are under way when it ends."""
CALLER_CONNECTIONS = 2000
"""Callers' connections that one host holds, about half of its descriptors."""

DEFAULT_LIMITS = ServerLimits(max_connections=CALLER_CONNECTIONS, cancel_when_gone=True)
"""What holds until a configuration is known."""


def read_limits(limits: CallerLimits) -> ServerLimits:
    """Return the limits that a configuration puts in force."""
    return ServerLimits(
        max_connections=CALLER_CONNECTIONS,
        max_header_bytes=limits.header_bytes,
        max_body_bytes=limits.body_bytes,
        idle_timeout_s=limits.idle_timeout_s,
        head_timeout_s=limits.header_timeout_s,
        keep_alive_s=limits.idle_timeout_s + IDLE_SLACK_S,
        cancel_when_gone=True,
    )
