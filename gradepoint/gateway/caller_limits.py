"""Limits on callers' connections: sizes, timeouts and number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..wire.http_server import ServerLimits

if TYPE_CHECKING:
    from .configuration import CallerLimits

IDLE_SLACK_S = 1.0
"""Seconds for which an idle connection is kept beyond the configured timeout, for requests that are
in transit when the timeout expires."""
CALLER_CONNECTIONS = 2000
"""Maximum number of callers' connections of one host: about half of its file descriptors."""

DEFAULT_LIMITS = ServerLimits(max_connections=CALLER_CONNECTIONS, cancel_on_disconnect=True)
"""Limits until a configuration is known."""


def read_limits(limits: CallerLimits) -> ServerLimits:
    """Convert the limits of a configuration to those of the HTTP server."""
    return ServerLimits(
        max_connections=CALLER_CONNECTIONS,
        max_header_bytes=limits.header_bytes,
        max_body_bytes=limits.body_bytes,
        idle_timeout_s=limits.idle_timeout_s,
        head_timeout_s=limits.header_timeout_s,
        keep_alive_s=limits.idle_timeout_s + IDLE_SLACK_S,
        cancel_on_disconnect=True,
    )
