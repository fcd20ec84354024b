"""Datagrams between hosts in virtual time, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gradepoint.ids import Incarnation
from gradepoint.peers.datagrams import DatagramSocket, Message

LATENCY_S = 0.001
"""Latency of a datagram, in seconds."""


@dataclass
class DatagramNet:
    """Carries datagrams between hosts, each :data:`LATENCY_S` after it was sent.

    :param loses: whether a datagram from one host to another is lost.
    :ivar incarnations: the incarnation of each host by its name, which is also its address.
    :ivar silent: isolated hosts, which neither send nor receive.
    :ivar sent: the number of datagrams sent so far, including lost ones.
    """

    loses: Callable[[str, str], bool] = lambda _, __: False
    sockets: dict[str, DatagramSocket] = field(default_factory=dict)
    incarnations: dict[str, Incarnation] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    sent: int = 0
    bytes_by_host: dict[str, int] = field(default_factory=dict)

    def add(
        self, name: str, incarnation: Incarnation, take: Callable[[Message, str], None]
    ) -> DatagramSocket:
        """Add a host and return its socket, which passes received messages to *take*."""
        self.sockets[name] = NetSocket(take, self, name)
        self.incarnations[name] = incarnation
        return self.sockets[name]

    def remove(self, name: str) -> None:
        """Remove a host; datagrams in flight to it are dropped."""
        del self.sockets[name], self.incarnations[name]

    def send(self, source: str, raw: bytes, address: str) -> None:
        """Schedule the delivery of a datagram, unless it is lost."""
        self.sent += 1
        self.bytes_by_host[source] = self.bytes_by_host.get(source, 0) + len(raw)
        if not self.silent & {source, address} and not self.loses(source, address):
            asyncio.get_running_loop().call_later(LATENCY_S, self.deliver, source, raw, address)

    def deliver(self, source: str, raw: bytes, address: str) -> None:
        """Pass a datagram to its receiver, if there is one."""
        if address in self.sockets:
            self.sockets[address].take(raw, source)

    def reachable(self) -> dict[Incarnation, str]:
        """Return the name of each incarnation that is not isolated."""
        return {
            incarnation: name
            for name, incarnation in self.incarnations.items()
            if name not in self.silent
        }


class NetSocket(DatagramSocket):
    """The socket of one host of a :class:`DatagramNet`."""

    def __init__(self, take: Callable[[Message, str], None], net: DatagramNet, name: str) -> None:
        super().__init__(take)
        self.net = net
        self.name = name

    def send(self, raw: bytes, address: str) -> None:
        """See :meth:`DatagramSocket.send`."""
        self.net.send(self.name, raw, address)
