"""A loopback TCP proxy that delays, resets or blocks connections in one or both directions."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from enum import Enum

from gradepoint.util.tasks import TaskGroup
from gradepoint.wire.http_server import RESET_ON_CLOSE

CHUNK_BYTES = 65536


class ProxyMode(Enum):
    """How a proxy treats the bytes of its connections.

    ``RESET`` aborts open and new connections. ``SILENCE`` holds bytes back in both directions,
    ``ONE_WAY`` only those that the target sends. Bytes held back are forwarded later; none are
    dropped. ``DYING`` accepts connections and never reads from them.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one-way"
    DYING = "dying"


@dataclass
class Proxy:
    """Forwards connections to *target*.

    :param target: IP address and port to which connections are forwarded.
    :param delay_s: seconds by which :attr:`ProxyMode.DELAY` delays each chunk.
    :ivar port: port on which the proxy listens.
    :ivar open_writers: writers of both sides of every open connection.
    """

    target: tuple[str, int]
    delay_s: float = 0.15
    mode: ProxyMode = ProxyMode.PASS
    port: int = 0
    tasks: TaskGroup = field(default_factory=TaskGroup)
    open_writers: dict[asyncio.StreamWriter, None] = field(default_factory=dict)

    async def start(self, address: str, port: int = 0) -> None:
        """Listen on *port* of *address*; 0 picks a free port."""
        self.server = await asyncio.start_server(self._serve, address, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode: ProxyMode) -> None:
        """Set how bytes are treated from now on; ``RESET`` aborts every open connection."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for writer in list(self.open_writers):
                reset(writer)

    def start_dying(self) -> None:
        """Close every connection in order, as the system does for a killed process; call
        :meth:`close` afterwards.
        """
        self.mode = ProxyMode.DYING
        for writer in list(self.open_writers):
            writer.close()

    def close(self) -> None:
        """Stop listening and abort every connection, as the exit of a process does."""
        self.server.close()
        for writer in list(self.open_writers):
            reset(writer)

    async def stop(self) -> None:
        """Stop listening, abort every connection and wait for the forwarding tasks."""
        self.server.close()
        self.set_mode(ProxyMode.RESET)
        await self.tasks.stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is ProxyMode.RESET:
            reset(writer)
            return
        if self.mode is ProxyMode.DYING:
            self.open_writers[writer] = None
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self.open_writers |= dict.fromkeys((writer, target_writer))
        forward_task = self.tasks.start(self._pump(reader, target_writer, forward=True))
        backward_task = self.tasks.start(self._pump(target_reader, writer, forward=False))
        await asyncio.wait([forward_task, backward_task])
        for end in (writer, target_writer):
            self.open_writers.pop(end, None)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        """Forward bytes; those held back by the mode are forwarded once it allows them."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.mode is ProxyMode.SILENCE or (
                    self.mode is ProxyMode.ONE_WAY and not forward
                ):
                    await asyncio.sleep(0.02)
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option, the abort of a transport closes it in order."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and not writer.is_closing():
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
