"""Datagrams between hosts in virtual time, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gradepoint.ids import Incarnation
from gradepoint.peers.datagrams import DatagramSocket, Message

WAY_S = 0.001


@dataclass
class DatagramNet:
    """Carries datagrams between hosts, each a little later.

    :param loses: whether a datagram from one host to another is lost.
    :ivar silent: hosts that nothing reaches, and that reach nobody.
    :ivar sent: datagrams sent so far.
    """

    loses: Callable[[str, str], bool] = lambda _, __: False
    sockets: dict[str, DatagramSocket] = field(default_factory=dict)
    lives: dict[str, Incarnation] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    sent: int = 0
    bytes_by_host: dict[str, int] = field(default_factory=dict)

    def add(
        self, name: str, life: Incarnation, take: Callable[[Message, str], None]
    ) -> DatagramSocket:
        """Return the socket of a new host, whose messages go to *take*."""
        self.sockets[name] = NetSocket(take, self, name)
        self.lives[name] = life
        return self.sockets[name]

    def remove(self, name: str) -> None:
        """End a host."""
        del self.sockets[name], self.lives[name]

    def send(self, source: str, raw: bytes, address: str) -> None:
        """Deliver a datagram a little later, or lose it."""
        self.sent += 1
        self.bytes_by_host[source] = self.bytes_by_host.get(source, 0) + len(raw)
        if not self.silent & {source, address} and not self.loses(source, address):
            asyncio.get_running_loop().call_later(WAY_S, self.deliver, source, raw, address)

    def deliver(self, source: str, raw: bytes, address: str) -> None:
        """Hand a datagram to its receiver, if there is one."""
        if address in self.sockets:
            self.sockets[address].take(raw, source)

    def reachable(self) -> dict[Incarnation, str]:
        """Return the hosts that are heard."""
        return {life: name for name, life in self.lives.items() if name not in self.silent}


class NetSocket(DatagramSocket):
    """A socket on a net."""

    def __init__(self, take: Callable[[Message, str], None], net: DatagramNet, name: str) -> None:
        super().__init__(take)
        self.net = net
        self.name = name

    def send(self, raw: bytes, address: str) -> None:
        """See :meth:`DatagramSocket.send`."""
        self.net.send(self.name, raw, address)
