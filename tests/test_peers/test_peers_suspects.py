"""Exchange of requests that crash their targets: how soon all hosts know them, and how many bytes
it takes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from gradepoint.ids import Incarnation, SuspectKey, TargetNumber
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Digest, Message, RelayedDigest, Report
from gradepoint.peers.occupancy import Occupancy
from gradepoint.routing.suspects import HELD_CRASHES, MILLISECONDS, Standing, Suspects, Trial
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.datagram_net import DatagramNet

SIZES = [9, 55, 165, 400]
DOMAINS = 5
LATENCY_S = 0.001
LOSS_SHARE = 0.01
LOSSY_SHARE = 0.3
"""Share of the datagrams that a lossy failure domain loses, in both directions."""
MAX_SPREAD_S = 1.5
"""Seconds within which every host must know: half of what the requirement for callers allows."""
KEY = SuspectKey(7)


class Host:
    """A host that exchanges messages about suspected requests."""

    def __init__(self, cluster: Cluster, number: int, incarnation: int = 1) -> None:
        self.cluster = cluster
        self.name = f"host-{number}"
        self.incarnation = Incarnation(f"{self.name}:{incarnation}")
        self.suspects = Suspects()
        self.socket = cluster.net.add(self.name, self.incarnation, self.take)
        aggregation = Aggregation(lambda _: 8)
        aggregation.make_suspects_message = lambda: self.suspects.make_relay_message(monotonic())
        aggregation.on_suspects_message = lambda busy, clock_ms: self.suspects.receive(
            busy, monotonic() - clock_ms / MILLISECONDS, monotonic()
        )
        self.occupancy = Occupancy(
            self.socket, self.incarnation, self.report, lambda *_: None, aggregation
        )
        cluster.hosts[self.name] = self
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(cluster.net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
            asyncio.ensure_future(self.sweep()),
        ]

    def report(self, number: int) -> Report:
        """Return this host's report."""
        suspects = self.suspects.make_own_message(monotonic())
        return Report(DATAGRAM_FORMAT, self.incarnation, number, {}, {}, 0, {}, suspects=suspects)

    def take(self, message: Message, address: str) -> None:
        """Process a datagram."""
        if isinstance(message, Digest):
            self.occupancy.receive(message)
        elif isinstance(message, RelayedDigest):
            self.occupancy.relay(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def sweep(self) -> None:
        """Drop outdated reports and records, as the gateway does."""
        while True:
            await asyncio.sleep(0.25)
            self.occupancy.forget_silent()
            self.suspects.forget(monotonic())

    def note_crash(
        self, incarnation: int, trial: Trial = Trial.ALONE, key: SuspectKey = KEY
    ) -> None:
        """Record the crash of a target under a request at this host."""
        self.suspects.note_crash(TargetNumber(incarnation), [(key, trial)], monotonic())
        self.occupancy.changed.set()

    def stop(self) -> None:
        """Stop the host."""
        del self.cluster.hosts[self.name]
        self.cluster.net.remove(self.name)
        for task in self.tasks:
            task.cancel()

    @property
    def holds(self) -> bool:
        """Whether the host holds :data:`KEY` back."""
        return self.suspects.find_standing(KEY, monotonic()) is Standing.HELD


@dataclass
class Cluster:
    """Hosts in failure domains, on a network that loses some datagrams."""

    rng: random.Random
    lossy: int = -1
    net: DatagramNet = field(default_factory=DatagramNet)
    hosts: dict[str, Host] = field(default_factory=dict)

    def loses(self, source: str, address: str) -> bool:
        """Whether a datagram is lost."""
        domains = {int(name.rpartition("-")[2]) % DOMAINS for name in (source, address)}
        return self.rng.random() < (LOSSY_SHARE if self.lossy in domains else LOSS_SHARE)


async def start(size: int, seed: int, lossy: int = -1) -> Cluster:
    """Start hosts and let them find their aggregators."""
    cluster = Cluster(random.Random(seed), lossy)
    cluster.net.loses = cluster.loses
    for number in range(size):
        Host(cluster, number)
    await asyncio.sleep(1.0)
    return cluster


async def crash_targets(cluster: Cluster) -> None:
    """Let targets crash under one request at different hosts, in quick succession."""
    names = cluster.rng.sample(sorted(cluster.hosts), HELD_CRASHES)
    for incarnation, name in enumerate(names):
        await asyncio.sleep(0.1)
        cluster.hosts[name].note_crash(incarnation)


async def until_known(cluster: Cluster) -> float:
    """Return the seconds until every host holds the request back."""
    begun_at = monotonic()
    while not all(host.holds for host in cluster.hosts.values()):
        assert monotonic() - begun_at < 10.0, "never known everywhere"
        await asyncio.sleep(0.01)
    return monotonic() - begun_at


@pytest.mark.parametrize("lossy", [-1, 2])
@pytest.mark.parametrize("size", SIZES)
def test_every_host_learns_of_held_requests_despite_lost_datagrams(size: int, lossy: int) -> None:
    async def work() -> None:
        cluster = await start(size, size, lossy)
        await crash_targets(cluster)
        took = await until_known(cluster)
        print(f"{size} hosts, lossy domain {lossy}: known everywhere after {took:.2f} s")
        assert took <= MAX_SPREAD_S

    run_virtual(work())


@pytest.mark.parametrize("size", [9, 165])
def test_started_and_reconnected_hosts_learn_of_held_requests(size: int) -> None:
    async def work() -> None:
        cluster = await start(size, size)
        cut = sorted(cluster.hosts)[: size // 3]
        cluster.net.silent.update(cut)
        await crash_targets(cluster)
        await asyncio.sleep(5.0)
        cluster.net.silent.clear()
        for number in range(size - 2, size + 2):
            if f"host-{number}" in cluster.hosts:
                cluster.hosts[f"host-{number}"].stop()
            Host(cluster, number, incarnation=2)
        assert await until_known(cluster) <= 2 * MAX_SPREAD_S

    run_virtual(work())


def test_bytes_per_host_do_not_grow_with_the_number_of_hosts() -> None:
    # Compares the bytes per host and second with 40 suspected requests to those without.
    # Aggregators are left out: they send to every host, so all their traffic grows with the number
    # of hosts.
    def measure(size: int, suspected: int) -> float:
        async def work() -> float:
            cluster = await start(size, size)
            for key in range(suspected):
                for incarnation in range(HELD_CRASHES):
                    name = f"host-{(key + incarnation) % size}"
                    cluster.hosts[name].note_crash(100 * key + incarnation, key=SuspectKey(key))
            await asyncio.sleep(12.0)
            cluster.net.bytes_by_host.clear()
            await asyncio.sleep(3.0)
            aggregators = cluster.hosts["host-0"].occupancy.aggregators
            others = [h.name for h in cluster.hosts.values() if h.incarnation not in aggregators]
            return sum(cluster.net.bytes_by_host[name] for name in others) / len(others) / 3.0

        return run_virtual(work())

    idle = {size: measure(size, 0) for size in (9, 55)}
    busy = {size: measure(size, 40) for size in (9, 55)}
    print(f"bytes a host and second at rest {idle}, with 40 suspected requests {busy}")
    assert busy[55] <= busy[9] * 1.1 and busy[55] <= idle[55] * 1.1
