"""UDP transport of the membership protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import msgspec

from ..errors import DecodingError
from ..util import decoding
from ..wire.addresses import is_ip
from .messages import Gossip

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DATAGRAM_BYTES = 8192
"""Bytes of a received datagram that are decoded; a longer one is dropped as unreadable."""


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives :class:`Gossip` datagrams; datagrams that cannot be decoded are dropped.

    :param receive: called with each message received.
    :ivar blocked: addresses whose datagrams are dropped in both directions.
    """

    def __init__(self, receive: Callable[[Gossip], None]) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.decode = decoding.make_msgpack_decoder(Gossip)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.blocked: set[tuple[str, int]] = set()

    async def start(self, address: str, port: int) -> None:
        """Open the UDP socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that asyncio created."""
        # The selector transport of CPython 3.11 is not a subclass of DatagramTransport.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the message to the receiver."""
        if addr[:2] in self.blocked:
            return
        self.bytes_received += len(data)
        try:
            message = self.decode(data[:MAX_DATAGRAM_BYTES])
        except DecodingError:
            return
        self.receive(message)

    def send(self, address: str, port: int, message: Gossip) -> None:
        """Send one datagram; delivery is not guaranteed.

        Nothing is sent to a name, whose look-up would block the process, or to port 0.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if (address, port) in self.blocked or not is_ip(address) or not port:
            return
        data = msgspec.msgpack.encode(message)
        self.bytes_sent += len(data)
        self.transport.sendto(data, (address, port))

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
