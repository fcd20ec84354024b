"""Which hosts are heard, and what each of them can be asked for."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import ConfigVersion, Incarnation
    from .datagrams import Beat, DatagramSocket
    from .presence import HostPresence

LOOK_S = 0.1
"""Seconds between looks whether this host's beat changed: far below the time in which other
hosts miss a job's owner or a way to the key-value service."""
NEWS_LOOK_S = 0.03
"""Seconds between looks on a host that watches: news of the service is announced that much
later, a hundredth of the shortest bound on it."""
LONGEST_GAP_S = 0.2
"""Seconds after which a beat is sent though nothing changed, to show that the host lives."""
LONGEST_GAP_PER_PEER_S = 0.02
"""Seconds that each peer adds to that gap, so that a host hears fifty beats a second at the
most while nothing changes, whatever the size of the fleet."""
STALE_GAPS = 2.5
"""Longest gaps after which a host is not heard any more: two beats are missing."""


@dataclass
class HeardBeat:
    """The newest beat of a host, when it came and from which ``IP:PORT``."""

    beat: Beat
    at: float
    address: str


@dataclass
class Beats:
    """What other hosts say of themselves, and how this one says it.

    :param own: makes this host's beat.
    :param on_beat: called after each beat that was heard.
    """

    socket: DatagramSocket
    own: Callable[[], Beat]
    on_beat: Callable[[Beat], None] = lambda _: None
    heard: dict[Incarnation, HeardBeat] = field(default_factory=dict)
    longest_gap_s: float = LONGEST_GAP_S

    async def run(self, peers: Callable[[], Iterable[HostPresence]]) -> None:
        """Send this host's beat to every peer, whenever it changed and now and then, for ever."""
        sent: Beat | None = None
        sent_at = 0.0
        while True:
            beat = self.own()
            now = monotonic()
            others = list(peers())
            self.longest_gap_s = LONGEST_GAP_S + LONGEST_GAP_PER_PEER_S * len(others)
            if needs_telling(beat, sent) or now - sent_at >= self.longest_gap_s:
                self.send(beat, others)
                sent, sent_at = beat, now
            await asyncio.sleep(NEWS_LOOK_S if beat.watching else LOOK_S)

    def send(self, beat: Beat, peers: Iterable[HostPresence]) -> None:
        """Send a beat of this host once."""
        raw = msgspec.msgpack.encode(beat)
        for peer in peers:
            if peer.incarnation != beat.incarnation:
                self.socket.send(raw, peer.peer_address)

    def hear(self, beat: Beat, address: str) -> None:
        """Take another host's beat; one that was not known is answered at once."""
        known = beat.incarnation in self.heard
        self.heard[beat.incarnation] = HeardBeat(beat, monotonic(), address)
        if not known:
            self.socket.send(msgspec.msgpack.encode(self.own()), address)
        self.on_beat(beat)

    def forget_silent(self) -> None:
        """Leave out hosts that are not heard any more."""
        oldest = monotonic() - self.longest_gap_s * STALE_GAPS
        for life in [life for life, heard in self.heard.items() if heard.at < oldest]:
            del self.heard[life]

    def helpers(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts that reach the key-value service."""
        return [heard.address for heard in self.heard.values() if heard.beat.reaches_store]

    def find_owners(self, job: int) -> list[tuple[Incarnation, str]]:
        """Return life and ``IP:PORT`` of the hosts that say that they have a job."""
        heard = self.heard.items()
        return [(life, row.address) for life, row in heard if job in row.beat.jobs]

    def find_owner(self, job: int) -> tuple[Incarnation, str] | None:
        """Return the life and ``IP:PORT`` of the host that runs a job, by its short hash.

        None where several say that they have it: one was taken for lost and does not know it
        yet, or holds it until it can write it.
        """
        owners = self.find_owners(job)
        return owners[0] if len(owners) == 1 else None

    def find_address(self, life: Incarnation) -> str | None:
        """Return ``IP:PORT`` of a host that is heard."""
        heard = self.heard.get(life)
        return None if heard is None else heard.address

    def addresses(self) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of every host that is heard."""
        return {life: heard.address for life, heard in self.heard.items()}

    def find_newer_config(self, version: ConfigVersion) -> list[str]:
        """Return ``IP:PORT`` of the peers whose configuration is newer than *version*."""
        heard = self.heard.values()
        return [row.address for row in heard if row.beat.config_version > version]


def needs_telling(beat: Beat, sent: Beat | None) -> bool:
    """Whether a beat says something that cannot wait for the next regular one.

    A newer configuration can: every host has it at about the same time, from the watchers. So can
    the ages of views, which always grow; a new proof of them cannot.
    """
    if sent is None:
        return True
    same = msgspec.structs.replace(beat, config_version=sent.config_version, proven=sent.proven)
    return same != sent
