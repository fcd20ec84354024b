"""Hosts tell each other of requests that end their targets: how soon, and in how many bytes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from gradepoint.ids import Incarnation, RequestKey, TargetNumber
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Digest, Message, Report
from gradepoint.peers.occupancy import Occupancy
from gradepoint.routing.suspects import HELD_ENDS, MILLISECONDS, Standing, Suspects, Trial
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.datagram_net import DatagramNet

SIZES = [9, 55, 165, 400]
DOMAINS = 5
WAY_S = 0.001
LOSS = 0.01
LOSSY = 0.3
"""Share of the datagrams that a lossy failure domain loses, in and out."""
KNOWN_S = 1.5
"""Seconds in which every host has to know, half of what the callers' side allows."""
KEY = RequestKey(7)


class Host:
    """One host, as far as it tells and hears of requests."""

    def __init__(self, fleet: Fleet, number: int, life: int = 1) -> None:
        self.fleet = fleet
        self.name = f"host-{number}"
        self.life = Incarnation(f"{self.name}:{life}")
        self.suspects = Suspects()
        self.socket = fleet.net.add(self.name, self.life, self.take)
        aggregation = Aggregation(lambda _: 8)
        aggregation.tell_suspects = lambda: self.suspects.tell_all(monotonic())
        aggregation.hear_suspects = lambda told, clock_ms: self.suspects.hear(
            told, monotonic() - clock_ms / MILLISECONDS, monotonic()
        )
        self.occupancy = Occupancy(
            self.socket, self.life, self.report, lambda *_: None, aggregation
        )
        fleet.hosts[self.name] = self
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(fleet.net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
            asyncio.ensure_future(self.sweep()),
        ]

    def report(self, number: int) -> Report:
        """Return what this host tells."""
        suspects = self.suspects.tell_own(monotonic())
        return Report(DATAGRAM_FORMAT, self.life, number, {}, {}, 0, {}, suspects=suspects)

    def take(self, message: Message, address: str) -> None:
        """Take a datagram."""
        if isinstance(message, Digest):
            self.occupancy.hear(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def sweep(self) -> None:
        """Forget silent hosts, as the product does."""
        while True:
            await asyncio.sleep(0.25)
            self.occupancy.forget_silent()
            self.suspects.forget(monotonic())

    def note_end(self, life: int, trial: Trial = Trial.ALONE, key: RequestKey = KEY) -> None:
        """Have a target end under a request at this host."""
        self.suspects.note_end(TargetNumber(life), [(key, trial)], monotonic())
        self.occupancy.changed.set()

    def stop(self) -> None:
        """End the host."""
        del self.fleet.hosts[self.name]
        self.fleet.net.remove(self.name)
        for task in self.tasks:
            task.cancel()

    @property
    def holds(self) -> bool:
        """Whether the host holds the request back."""
        return self.suspects.find_standing(KEY, monotonic()) is Standing.HELD


@dataclass
class Fleet:
    """Hosts in failure domains, on a net that loses some datagrams."""

    rng: random.Random
    lossy: int = -1
    net: DatagramNet = field(default_factory=DatagramNet)
    hosts: dict[str, Host] = field(default_factory=dict)

    def loses(self, source: str, address: str) -> bool:
        """Whether a datagram is lost."""
        domains = {int(name.rpartition("-")[2]) % DOMAINS for name in (source, address)}
        return self.rng.random() < (LOSSY if self.lossy in domains else LOSS)


async def start(size: int, seed: int, lossy: int = -1) -> Fleet:
    """Start a fleet that has found its aggregators."""
    fleet = Fleet(random.Random(seed), lossy)
    fleet.net.loses = fleet.loses
    for number in range(size):
        Host(fleet, number)
    await asyncio.sleep(1.0)
    return fleet


async def end_everywhere(fleet: Fleet) -> None:
    """Have targets end under one request at different hosts, one soon after the other."""
    names = fleet.rng.sample(sorted(fleet.hosts), HELD_ENDS)
    for life, name in enumerate(names):
        await asyncio.sleep(0.1)
        fleet.hosts[name].note_end(life)


async def until_known(fleet: Fleet) -> float:
    """Return the seconds until every host holds the request back."""
    begun = monotonic()
    while not all(host.holds for host in fleet.hosts.values()):
        assert monotonic() - begun < 10.0, "never known everywhere"
        await asyncio.sleep(0.01)
    return monotonic() - begun


@pytest.mark.parametrize("lossy", [-1, 2])
@pytest.mark.parametrize("size", SIZES)
def test_every_host_knows_soon_though_datagrams_are_lost(size: int, lossy: int) -> None:
    async def work() -> None:
        fleet = await start(size, size, lossy)
        await end_everywhere(fleet)
        took = await until_known(fleet)
        print(f"{size} hosts, lossy domain {lossy}: known everywhere after {took:.2f} s")
        assert took <= KNOWN_S

    run_virtual(work())


@pytest.mark.parametrize("size", [9, 165])
def test_hosts_that_start_or_come_back_from_a_cut_know_soon(size: int) -> None:
    async def work() -> None:
        fleet = await start(size, size)
        cut = sorted(fleet.hosts)[: size // 3]
        fleet.net.silent.update(cut)
        await end_everywhere(fleet)
        await asyncio.sleep(5.0)
        fleet.net.silent.clear()
        for number in range(size - 2, size + 2):
            if f"host-{number}" in fleet.hosts:
                fleet.hosts[f"host-{number}"].stop()
            Host(fleet, number, life=2)
        assert await until_known(fleet) <= 2 * KNOWN_S

    run_virtual(work())


def test_bytes_of_a_host_do_not_grow_with_the_fleet() -> None:
    # What hosts tell of 40 suspected requests, beside what they tell at rest, in bytes a host and
    # second: aggregators tell everybody, so theirs grow with the fleet as all their news does.
    def measure(size: int, suspected: int) -> float:
        async def work() -> float:
            fleet = await start(size, size)
            for key in range(suspected):
                for life in range(HELD_ENDS):
                    name = f"host-{(key + life) % size}"
                    fleet.hosts[name].note_end(100 * key + life, key=RequestKey(key))
            await asyncio.sleep(12.0)
            fleet.net.bytes_by_host.clear()
            await asyncio.sleep(3.0)
            aggregators = fleet.hosts["host-0"].occupancy.aggregators
            others = [h.name for h in fleet.hosts.values() if h.life not in aggregators]
            return sum(fleet.net.bytes_by_host[name] for name in others) / len(others) / 3.0

        return run_virtual(work())

    rest = {size: measure(size, 0) for size in (9, 55)}
    told = {size: measure(size, 40) for size in (9, 55)}
    print(f"bytes a host and second at rest {rest}, with 40 suspected requests {told}")
    assert told[55] <= told[9] * 1.1 and told[55] <= rest[55] * 1.1
