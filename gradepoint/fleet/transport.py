"""UDP datagrams of the membership protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import msgspec

from .messages import Gossip

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DATAGRAM = 8192


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives :class:`Gossip`; what cannot be read is dropped."""

    def __init__(self, receive: Callable[[Gossip], None]) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.decoder = msgspec.msgpack.Decoder(Gossip)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.blocked: set[tuple[str, int]] = set()

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # CPython 3.11's selector transport is no subclass of DatagramTransport.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and hand on."""
        if addr[:2] in self.blocked:
            return
        self.bytes_received += len(data)
        try:
            message = self.decoder.decode(data[:MAX_DATAGRAM])
        except msgspec.MsgspecError:
            return
        self.receive(message)

    def send(self, address: str, port: int, message: Gossip) -> None:
        """Send one datagram; it may be lost."""
        if self.transport is None or self.transport.is_closing():
            return
        if (address, port) in self.blocked:
            return
        data = msgspec.msgpack.encode(message)
        self.bytes_sent += len(data)
        self.transport.sendto(data, (address, port))

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
