"""The HTTP server of a data host, whose connections buffer little."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from ..wire.http_server import CallerProtocol, HttpServer, ServerLimits, listen
from .bounds import MAX_HEADER_BYTES, READ_BUFFER_BYTES, SOCKET_BUFFER_BYTES

if TYPE_CHECKING:
    from ..wire.http_types import Handler

KEEP_ALIVE_S = 5.0
"""Seconds that a connection may be idle; connections are scarce, and a host needs them in an outage
only."""


class SmallBufferProtocol(CallerProtocol):
    """Protocol of one connection with a small read buffer."""

    def __init__(self, server: SpoolServer) -> None:
        super().__init__(server)
        reader = asyncio.StreamReader(limit=READ_BUFFER_BYTES)
        asyncio.StreamReaderProtocol.__init__(self, reader, server.serve)


class SpoolServer(HttpServer):
    """Resets connections above the limit, instead of answering that it has too many.

    Hosts of a former version take any answer but 200 about a job for "not here". While more than
    half of the connections are in use, each is closed after its response, so that idle ones do not
    keep others out.

    :param max_connections: most open connections.
    :ivar open_count: connections that are open or whose request is still handled.
    """

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int) -> None:
        limits = ServerLimits(
            max_connections=max_connections,
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=max_body_bytes,
            keep_alive_s=KEEP_ALIVE_S,
        )
        super().__init__(handler, limits)
        self.open_count = 0
        self.may_accept = self.take_place

    async def start(self, address: str, port: int, listener: socket.socket | None = None) -> None:
        """See :meth:`HttpServer.start`."""
        self.server = await listen(lambda: SmallBufferProtocol(self), address, port, listener)
        listening = self.server.sockets[0]
        # Connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.port = listening.getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """See :meth:`HttpServer.serve`."""
        try:
            await super().serve(reader, writer)
        finally:
            self._count(-1)

    def take_place(self) -> bool:
        """Count a new connection, if there is room; it is counted until its task ends."""
        if self.open_count >= self.limits.max_connections:
            return False
        self._count(1)
        return True

    def _count(self, change: int) -> None:
        self.open_count += change
        self.draining = self.open_count > self.limits.max_connections // 2
