"""Heartbeats between hosts: which hosts are heard, and what each of them can be asked for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import CapacityClass, ConfigVersion, Incarnation
    from .datagrams import DatagramSocket, Heartbeat
    from .presence import HostPresence

CHECK_GAP_S = 0.1
"""Seconds between checks whether this host's heartbeat changed: far less than the time after which
a missing job owner or path to the key-value service is noticed."""
WATCHER_CHECK_GAP_S = 0.03
"""Seconds between these checks on a host that watches. Changes in the service are announced up to
that much later: a hundredth of the shortest bound on its delay."""
MAX_GAP_S = 0.2
"""Seconds after which a heartbeat is sent even if nothing changed, to show that the host is
alive."""
MAX_GAP_PER_PEER_S = 0.02
"""Seconds that each peer adds to that gap. It limits a host to 50 received heartbeats per second
while nothing changes, whatever the number of hosts."""
STALE_GAPS = 2.5
"""A host counts as silent after this many of the longest gaps: two heartbeats are missing."""
MAX_HEARD = 2048
"""Hosts whose heartbeats are kept, about 0.7 KB each: several times the largest fleet, since former
incarnations of restarted hosts stay until they count as silent. Beyond that the oldest is
dropped."""


class ReceivedHeartbeat(Struct):
    """The newest heartbeat of a host, with its time of receipt and the ``IP:PORT`` it came from."""

    heartbeat: Heartbeat
    at: float
    address: str


class Heartbeats(Struct):
    """Sends this host's heartbeats and keeps those of other hosts.

    :param own: returns this host's current heartbeat.
    :param on_heartbeat: called after each received heartbeat.
    :ivar heard: newest heartbeat by host.
    :ivar max_gap_s: current longest gap between two heartbeats of one host.
    """

    socket: DatagramSocket
    own: Callable[[], Heartbeat]
    on_heartbeat: Callable[[Heartbeat], None] = lambda _: None
    heard: dict[Incarnation, ReceivedHeartbeat] = field(default_factory=dict)
    max_gap_s: float = MAX_GAP_S

    async def run(self, peers: Callable[[], Iterable[HostPresence]]) -> None:
        """Send this host's heartbeat to every peer, after changes and at regular intervals,
        forever.

        A peer that is newly listed and not heard yet gets it at once. The interval grows with the
        number of peers to 6 s, and hosts that start together would not hear each other until then.
        """
        sent: Heartbeat | None = None
        sent_at = 0.0
        sent_to: set[Incarnation] = set()
        while True:
            heartbeat = self.own()
            now = monotonic()
            others = list(peers())
            # Hosts whose leases expired in an outage of the service are heard, but not listed.
            self.max_gap_s = MAX_GAP_S + MAX_GAP_PER_PEER_S * max(len(others), len(self.heard))
            if must_send_now(heartbeat, sent) or now - sent_at >= self.max_gap_s:
                self.send(heartbeat, others)
                sent, sent_at = heartbeat, now
            else:
                known = sent_to.union(self.heard)
                self.send(heartbeat, [peer for peer in others if peer.incarnation not in known])
            sent_to = {peer.incarnation for peer in others}
            await asyncio.sleep(WATCHER_CHECK_GAP_S if heartbeat.watching else CHECK_GAP_S)

    def send(self, heartbeat: Heartbeat, peers: Iterable[HostPresence]) -> None:
        """Send one heartbeat of this host."""
        raw = msgspec.msgpack.encode(heartbeat)
        for peer in peers:
            if peer.incarnation != heartbeat.incarnation:
                self.socket.send(raw, peer.peer_address)

    def receive(self, heartbeat: Heartbeat, address: str) -> None:
        """Process another host's heartbeat; a host not known before is answered at once."""
        known = heartbeat.incarnation in self.heard
        if not known and len(self.heard) >= MAX_HEARD:
            del self.heard[min(self.heard, key=lambda host: self.heard[host].at)]
        self.heard[heartbeat.incarnation] = ReceivedHeartbeat(heartbeat, monotonic(), address)
        if not known:
            self.socket.send(msgspec.msgpack.encode(self.own()), address)
        self.on_heartbeat(heartbeat)

    def forget_silent(self) -> None:
        """Drop hosts that are no longer heard."""
        oldest = monotonic() - self.max_gap_s * STALE_GAPS
        for incarnation in [
            incarnation for incarnation, heard in self.heard.items() if heard.at < oldest
        ]:
            del self.heard[incarnation]

    def helpers(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts that reach the key-value service and can relay calls to
        it."""
        return [heard.address for heard in self.heard.values() if heard.heartbeat.reaches_store]

    def find_owners(self, job: int) -> list[tuple[Incarnation, str]]:
        """Return incarnation and ``IP:PORT`` of all hosts that claim a job, by its short hash."""
        heard = self.heard.items()
        return [
            (incarnation, row.address) for incarnation, row in heard if job in row.heartbeat.jobs
        ]

    def find_owner(self, job: int) -> tuple[Incarnation, str] | None:
        """Return incarnation and ``IP:PORT`` of the host that runs a job, by its short hash.

        None if several hosts claim it: one of them counted as lost and does not know it yet, or
        keeps the job until it can write it.
        """
        owners = self.find_owners(job)
        return owners[0] if len(owners) == 1 else None

    def count_announced_jobs(self, incarnation: Incarnation) -> int:
        """Return the number of jobs that a host announces; 0 if it is not heard."""
        heard = self.heard.get(incarnation)
        return 0 if heard is None else len(heard.heartbeat.jobs)

    def find_address(self, incarnation: Incarnation) -> str | None:
        """Return ``IP:PORT`` of a host; None if it is not heard."""
        heard = self.heard.get(incarnation)
        return None if heard is None else heard.address

    def addresses(self) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of every host that is heard, by incarnation."""
        return {incarnation: heard.address for incarnation, heard in self.heard.items()}

    def capacities(self) -> dict[Incarnation, CapacityClass]:
        """Return the capacity class of every host that is heard, by incarnation."""
        return {host: heard.heartbeat.capacity for host, heard in self.heard.items()}

    def find_newer_config(self, version: ConfigVersion) -> list[str]:
        """Return ``IP:PORT`` of the peers whose configuration is newer than *version*."""
        heard = self.heard.values()
        return [row.address for row in heard if row.heartbeat.config_version > version]


def must_send_now(heartbeat: Heartbeat, sent: Heartbeat | None) -> bool:
    """Whether a heartbeat has changes that cannot wait for the next regular one.

    A newer configuration can wait: every host gets it from the watchers at about the same time. The
    ages of views can wait too, since they always grow; a new proof of a view cannot.
    """
    if sent is None:
        return True
    same = msgspec.structs.replace(
        heartbeat, config_version=sent.config_version, proven=sent.proven
    )
    return same != sent
