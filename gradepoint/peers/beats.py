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
LEAST_GAP_S = 0.02
"""Least seconds between datagrams of one host: a call's choice looks this far back at most,
in which a whole burst brings each host one call or two."""
GAP_PER_PEER_S = 0.001
"""Seconds that each peer adds to that gap: a host gets a thousand datagrams a second at the
most, some hundredths of a core, whatever the size of the fleet."""
LONGEST_GAP_S = 0.2
"""Seconds after which a datagram is sent though nothing changed, to show that the host lives."""
LONGEST_GAP_PER_PEER_S = 0.004
"""Seconds that each peer adds to that gap."""
STALE_GAPS = 3.5
"""Longest gaps after which what a host said is not counted: three datagrams are missing."""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param reaches_store: the host's own calls to the key-value service are answered.
    :param watching: it watches the service and tells others the news.
    :param views: revision of each of its views.
    :param jobs: short hashes of the jobs that it runs or ran last.
    :param calls: callers' calls in flight, by target.
    :param items: batch items in flight, by target.
    :param results: successes and failures of the host's calls in this life, by target, where
        they changed lately.
    """

    format: int
    incarnation: Incarnation
    config_version: ConfigVersion
    reaches_store: bool
    watching: bool
    views: dict[str, int]
    jobs: list[int]
    calls: dict[TargetId, int]
    items: dict[TargetId, int]
    results: dict[TargetId, tuple[int, int]]


@dataclass
class HeardBeat:
    """The newest datagram of a host, when it came and from which ``IP:PORT``."""

    beat: Beat
    at: float
    address: str


@dataclass
class Beats:
    """What other hosts say, and how this one says it.

    :param own: makes this host's datagram.
    :param on_results: told of new successes and failures at a target.
    """

    own: Callable[[], Beat]
    on_results: Callable[[TargetId, int, int], None] = lambda *_: None
    heard: dict[Incarnation, HeardBeat] = field(default_factory=dict)
    elsewhere: dict[TargetId, int] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    gap_s: float = LEAST_GAP_S
    longest_gap_s: float = LONGEST_GAP_S

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
        """Send this host's datagram to every peer, whenever it changed, for ever."""
        sent: Beat | None = None
        sent_at = 0.0
        while True:
            beat = self.own()
            now = monotonic()
            others = list(peers())
            self.longest_gap_s = LONGEST_GAP_S + LONGEST_GAP_PER_PEER_S * len(others)
            if beat != sent or now - sent_at >= self.longest_gap_s:
                self.send(beat, others)
                sent, sent_at = beat, now
            self.gap_s = LEAST_GAP_S + GAP_PER_PEER_S * len(others)
            await asyncio.sleep(self.gap_s)

    def send(self, beat: Beat, peers: Iterable[HostPresence]) -> None:
        """Send a datagram of this host once."""
        raw = msgspec.msgpack.encode(beat)
        for peer in peers:
            if self.transport is not None and peer.incarnation != beat.incarnation:
                address, _, port = peer.peer_address.rpartition(":")
                self.transport.sendto(raw, (address, int(port)))

    def hear(self, raw: bytes, address: str = "") -> None:
        """Take a datagram."""
        try:
            beat = msgspec.msgpack.decode(raw, type=Beat)
        except msgspec.DecodeError as error:
            emit(events.BEAT_DROPPED, reason=str(error))
            return
        if beat.format != BEAT_FORMAT:
            return
        former = self.heard.get(beat.incarnation)
        if former is not None:
            self._add(former.beat, -1)
        self._add(beat, 1)
        self._compare_results(beat, former.beat if former else None)
        self.heard[beat.incarnation] = HeardBeat(beat, monotonic(), address)

    def _compare_results(self, beat: Beat, former: Beat | None) -> None:
        """Tell what is new; results that were not told just before are not compared."""
        for target, (good, bad) in beat.results.items():
            known = former.results.get(target) if former else None
            if known is not None:
                self.on_results(target, max(0, good - known[0]), max(0, bad - known[1]))

    def forget_silent(self) -> None:
        """Leave out what hosts said that are not heard any more."""
        now = monotonic()
        stale_s = self.longest_gap_s * STALE_GAPS
        for name in [name for name, heard in self.heard.items() if now - heard.at > stale_s]:
            self._add(self.heard.pop(name).beat, -1)

    def _add(self, beat: Beat, sign: int) -> None:
        for counts in (beat.calls, beat.items):
            for target, number in counts.items():
                self.elsewhere[target] = self.elsewhere.get(target, 0) + sign * number
                if not self.elsewhere[target]:
                    del self.elsewhere[target]

    def in_flight(self, target: TargetId) -> int:
        """Return calls and items that other hosts have at a target."""
        return self.elsewhere.get(target, 0)

    def items_by_host(self, target: TargetId) -> dict[Incarnation, int]:
        """Return the items that other hosts have at a target."""
        return {name: heard.beat.items.get(target, 0) for name, heard in self.heard.items()}

    def helpers(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts that reach the key-value service."""
        return [heard.address for heard in self.heard.values() if heard.beat.reaches_store]

    def find_owner(self, job: int) -> tuple[Incarnation, str] | None:
        """Return the life and ``IP:PORT`` of the host that runs a job, by its short hash."""
        for life, heard in self.heard.items():
            if job in heard.beat.jobs:
                return life, heard.address
        return None

    def find_address(self, life: Incarnation) -> str | None:
        """Return ``IP:PORT`` of a host that is heard."""
        heard = self.heard.get(life)
        return None if heard is None else heard.address

    def newest_config(self) -> tuple[ConfigVersion, str] | None:
        """Return the highest configuration version that a peer has, and the peer's address."""
        rows = [(heard.beat.config_version, heard.address) for heard in self.heard.values()]
        return max(rows, default=None)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, beats: Beats) -> None:
        self.beats = beats

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        ip, port = addr
        self.beats.hear(data, f"{ip}:{port}")
