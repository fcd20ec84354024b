"""The HTTP server of a data host, whose connections buffer little."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from ..wire.http_server import CallerProtocol, HttpServer, ServerLimits, reset_connection
from .bounds import MAX_HEADER_BYTES, READ_BUFFER_BYTES, SOCKET_BUFFER_BYTES

if TYPE_CHECKING:
    from ..wire.http_types import Handler

KEEP_ALIVE_S = 5.0
"""Seconds that a connection may be idle; connections are scarce, and a host needs them in an outage
only."""


class SmallBufferProtocol(CallerProtocol):
    """Protocol of one connection with a small read buffer.

    :ivar counted: the connection counts against the limit.
    """

    def __init__(self, server: SpoolServer) -> None:
        super().__init__(server)
        reader = asyncio.StreamReader(limit=READ_BUFFER_BYTES)
        asyncio.StreamReaderProtocol.__init__(self, reader, server.serve)
        self.spool_server = server
        self.counted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`CallerProtocol.connection_made`."""
        if self.spool_server.has_room():
            self.counted = True
            self.spool_server.open_count += 1
            super().connection_made(transport)
        elif isinstance(transport, asyncio.Transport):
            reset_connection(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """See :meth:`asyncio.BaseProtocol.connection_lost`."""
        if self.counted:
            self.counted = False
            self.spool_server.open_count -= 1
            super().connection_lost(exc)


class SpoolServer(HttpServer):
    """Resets connections above the limit, instead of answering that it has too many.

    Hosts of a former version take any answer but 200 about a job for "not here".

    :param max_connections: most open connections.
    :ivar open_count: connections that are open.
    """

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int) -> None:
        limits = ServerLimits(
            # A connection may be lost before its task has ended.
            max_connections=2 * max_connections,
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=max_body_bytes,
            keep_alive_s=KEEP_ALIVE_S,
        )
        super().__init__(handler, limits)
        self.max_connections = max_connections
        self.open_count = 0

    async def start(self, address: str, port: int, listener: socket.socket | None = None) -> None:
        """See :meth:`HttpServer.start`."""
        where = {"host": address, "port": port} if listener is None else {"sock": listener}
        self.server = await asyncio.get_running_loop().create_server(
            lambda: SmallBufferProtocol(self), **where, backlog=1024
        )
        listening = self.server.sockets[0]
        # Connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.port = listening.getsockname()[1]

    def has_room(self) -> bool:
        """Whether a connection may be accepted; closes idle ones if there are too many."""
        if self.open_count < self.max_connections:
            return True
        self.close_idle()
        return False
