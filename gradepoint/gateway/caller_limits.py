"""Limits on callers' connections: sizes, timeouts and number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..wire.http_server import ServerLimits

if TYPE_CHECKING:
    from .configuration import CallerLimits

IDLE_SLACK_S = 1.0
"""Seconds for which an idle connection is kept beyond the configured timeout, for requests that are
in transit when the timeout expires."""
MAX_CONNECTIONS = 2000
"""Maximum number of callers' connections of one host: about half of its file descriptors."""
READ_BYTES = 8192
"""Bytes that are taken from a caller's socket at once."""
CONNECTION_BYTES = 4 * READ_BYTES
"""Most memory in bytes of a connection without a request: twice the bytes of a read wait to be
parsed, one read is of the next request, and the objects take less than another."""
CONNECTIONS_MEMORY_SHARE = 0.3
"""Share of a process's memory that callers' connections may take, without their requests."""


def make_limits(memory_bytes: float) -> ServerLimits:
    """Return the limits of a process with that much memory until a configuration is known."""
    fitting = int(memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES)
    return ServerLimits(
        max_connections=min(MAX_CONNECTIONS, fitting),
        cancel_on_disconnect=True,
        read_bytes=READ_BYTES,
    )


def read_limits(limits: CallerLimits, defaults: ServerLimits) -> ServerLimits:
    """Convert the limits of a configuration to those of the HTTP server.

    :param defaults: has those that no configuration sets.
    """
    return ServerLimits(
        max_connections=defaults.max_connections,
        max_header_bytes=limits.header_bytes,
        max_body_bytes=limits.body_bytes,
        idle_timeout_s=limits.idle_timeout_s,
        head_timeout_s=limits.header_timeout_s,
        keep_alive_s=limits.idle_timeout_s + IDLE_SLACK_S,
        cancel_on_disconnect=True,
        read_bytes=defaults.read_bytes,
    )
