"""Datagrams between hosts: calls in flight at each target, and the configuration's version."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import ConfigVersion, Incarnation, TargetId
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .presence import HostPresence

BEAT_FORMAT = 1
"""Version of the datagram; others are dropped."""
BEAT_S = 0.1
"""Seconds between datagrams: below the time of one short answer, so that a call seldom goes
to a target that another host has just filled."""
STALE_S = 0.5
"""Seconds after which what a host said is not counted: five of its datagrams are missing."""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param calls: callers' calls in flight, by target.
    :param items: batch items in flight, by target.
    """

    format: int
    incarnation: Incarnation
    config_version: ConfigVersion
    calls: dict[TargetId, int]
    items: dict[TargetId, int]


@dataclass
class HeardBeat:
    """The newest datagram of a host, and when it came."""

    beat: Beat
    at: float


@dataclass
class Beats:
    """What other hosts say, and how this one says it.

    :param own: makes this host's datagram.
    """

    own: Callable[[], Beat]
    heard: dict[Incarnation, HeardBeat] = field(default_factory=dict)
    calls: dict[TargetId, int] = field(default_factory=dict)
    items: dict[TargetId, int] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(address, port)
        )

    def stop(self) -> None:
        """Stop to listen."""
        if self.transport is not None:
            self.transport.close()

    async def run(self, peers: Callable[[], Iterable[HostPresence]]) -> None:
        """Send this host's datagram to every peer for ever."""
        while True:
            self.send(peers())
            self.count()
            await asyncio.sleep(BEAT_S)

    def send(self, peers: Iterable[HostPresence]) -> None:
        """Send this host's datagram once."""
        beat = self.own()
        raw = msgspec.msgpack.encode(beat)
        for peer in peers:
            if self.transport is not None and peer.incarnation != beat.incarnation:
                address, _, port = peer.peer_address.rpartition(":")
                self.transport.sendto(raw, (address, int(port)))

    def hear(self, raw: bytes) -> None:
        """Take a datagram."""
        try:
            beat = msgspec.msgpack.decode(raw, type=Beat)
        except msgspec.DecodeError as error:
            emit(events.BEAT_DROPPED, reason=str(error))
            return
        if beat.format == BEAT_FORMAT:
            self.heard[beat.incarnation] = HeardBeat(beat, monotonic())

    def count(self) -> None:
        """Add up what is in flight elsewhere."""
        now = monotonic()
        self.calls = {}
        self.items = {}
        for incarnation, heard in list(self.heard.items()):
            if now - heard.at > STALE_S:
                del self.heard[incarnation]
                continue
            for target, number in heard.beat.calls.items():
                self.calls[target] = self.calls.get(target, 0) + number
            for target, number in heard.beat.items.items():
                self.items[target] = self.items.get(target, 0) + number

    def in_flight(self, target: TargetId) -> int:
        """Return calls and items that other hosts have at a target."""
        return self.calls.get(target, 0) + self.items.get(target, 0)

    def newest_config(self) -> tuple[ConfigVersion, Incarnation] | None:
        """Return the highest configuration version that a peer has, and the peer."""
        rows = [(heard.beat.config_version, name) for name, heard in self.heard.items()]
        return max(rows, default=None)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, beats: Beats) -> None:
        self.beats = beats

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.beats.hear(data)
