"""What the fleet has in flight, added up by a few hosts and told to all."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradepoint.ids import Incarnation, TargetId, TargetNumber
from gradepoint.peers.aggregation import (
    RESULTS_GAP_S,
    STALE_S,
    Aggregation,
    choose_hosts_to_give_way,
)
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    Digest,
    Message,
    Report,
    number_target,
)
from gradepoint.peers.occupancy import AGGREGATORS, Occupancy, choose_aggregators
from gradepoint.peers.results import ResultCount
from gradepoint.standins.virtual_time import run_virtual
from tests.support.datagram_net import WAY_S, DatagramNet

TARGET = TargetId("t0")
NUMBER = number_target(TARGET)
SLOTS = 8


@dataclass
class Net(DatagramNet):
    """Carries datagrams between hosts, but for the ways that are cut."""

    hosts: dict[str, Host] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.loses = lambda source, address: (source, address) in self.cut


class Host:
    """One host with calls, items and results."""

    def __init__(self, net: Net, name: str) -> None:
        self.net = net
        self.name = name
        self.life = Incarnation(f"{name}:life")
        self.calls: dict[TargetNumber, int] = {}
        self.items: dict[TargetNumber, int] = {}
        self.results = ResultCount()
        self.told: list[tuple[int, int]] = []
        self.socket = net.add(name, self.life, self.take)
        self.occupancy = Occupancy(
            self.socket,
            self.life,
            self.report,
            lambda _, good, bad: self.told.append((good, bad)),
            Aggregation(lambda _: SLOTS),
        )
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
            asyncio.ensure_future(self.sweep()),
        ]
        net.hosts[name] = self

    def work(self, calls: int, items: int = 0) -> None:
        """Have so many calls and items in flight from now on."""
        self.calls = {NUMBER: calls} if calls else {}
        self.items = {NUMBER: items} if items else {}
        self.occupancy.changed.set()

    def end_calls(self, good: int, bad: int) -> None:
        """Have so many calls ended, which changes what is in flight as well."""
        self.results.add(good, bad)
        self.occupancy.changed.set()

    def report(self, number: int) -> Report:
        """Return what this host has in flight."""
        told = self.results.tell()
        results = {} if told is None else {NUMBER: told}
        return Report(
            DATAGRAM_FORMAT, self.life, number, dict(self.calls), dict(self.items), 0, results
        )

    def take(self, message: Message, address: str) -> None:
        """Take a datagram."""
        if isinstance(message, Digest):
            self.occupancy.hear(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def sweep(self) -> None:
        """Forget what is old."""
        while True:
            await asyncio.sleep(0.25)
            self.occupancy.forget_silent()

    def stop(self) -> None:
        """End all work."""
        for task in self.tasks:
            task.cancel()


async def start(count: int) -> tuple[Net, list[Host]]:
    """Return hosts that have had a second to hear each other."""
    net = Net()
    hosts = [Host(net, f"h{number}") for number in range(count)]
    await asyncio.sleep(1.0)
    return net, hosts


def stop(hosts: list[Host]) -> None:
    """Stop hosts."""
    for host in hosts:
        host.stop()


def test_every_host_knows_what_the_others_have_in_flight() -> None:
    async def main() -> None:
        _, hosts = await start(55)
        for host in hosts[:10]:
            host.work(2)
        hosts[20].work(0, 3)
        await asyncio.sleep(hosts[0].occupancy.delay_s + 3 * WAY_S)
        known = [host.occupancy.in_flight(TARGET) for host in hosts]
        assert known == [21] * 10 + [23] * 10 + [20] + [23] * 34
        for host in hosts:
            host.work(0)
        await asyncio.sleep(hosts[0].occupancy.delay_s + 3 * WAY_S)
        assert not any(host.occupancy.in_flight(TARGET) for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_an_own_change_is_not_taken_for_another_hosts() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        for calls in range(60):
            hosts[0].work(calls % 5)
            await asyncio.sleep(0.007)
            assert hosts[0].occupancy.in_flight(TARGET) == 0
        stop(hosts)

    run_virtual(main())


def test_datagrams_grow_with_the_fleet_and_not_with_its_square() -> None:
    async def main() -> None:
        rates = {}
        for count in (50, 100, 200):
            net, hosts = await start(count)
            net.sent = 0
            for step in range(100):
                for host in hosts:
                    host.work(step)
                await asyncio.sleep(0.01)
            stop(hosts)
            rates[count] = net.sent
        assert rates[200] < 3 * rates[50]
        assert rates[200] / 200 < 250

    run_virtual(main())


def test_a_lost_aggregator_is_not_missed() -> None:
    async def main() -> None:
        net, hosts = await start(9)
        by_life = {host.life: host for host in hosts}
        first = by_life[hosts[0].occupancy.aggregators[0]]
        others = [host for host in hosts if host is not first]
        net.silent.add(first.name)
        others[0].work(4)
        await asyncio.sleep(0.1)
        assert all(host.occupancy.in_flight(TARGET) == 4 for host in others[1:])
        others[0].work(0)
        await asyncio.sleep(STALE_S + 0.5)
        assert not any(host.occupancy.in_flight(TARGET) for host in others)
        stop(hosts)

    run_virtual(main())


def test_results_of_others_are_told_once() -> None:
    async def main() -> None:
        net, hosts = await start(6)
        hosts[0].end_calls(5, 0)
        await asyncio.sleep(0.2)
        hosts[0].end_calls(0, 2)
        hosts[1].end_calls(0, 1)
        await asyncio.sleep(0.2)
        late = Host(net, "late")
        await asyncio.sleep(3.0)
        hosts[0].end_calls(1, 0)
        await asyncio.sleep(1.0)
        totals = [tuple(map(sum, zip(*host.told, strict=True))) for host in hosts]
        assert totals == [(0, 1), (6, 2), (6, 3), (6, 3), (6, 3), (6, 3)]
        assert late.told == [(1, 0)]
        stop([*hosts, late])

    run_virtual(main())


def test_a_late_report_does_not_replace_a_newer_one() -> None:
    aggregation = Aggregation(lambda _: SLOTS)
    life = Incarnation("a")
    for number, calls in ((2, 5), (1, 3)):
        aggregation.take(Report(DATAGRAM_FORMAT, life, number, {NUMBER: calls}, {}, 0, {}), "")
    assert aggregation.loads == {NUMBER: 5}


def test_as_many_hosts_give_way_as_calls_wait() -> None:
    holders = [Incarnation(f"h{number}") for number in range(4)]
    assert choose_hosts_to_give_way(SLOTS, SLOTS, NUMBER, holders) == []
    one = choose_hosts_to_give_way(SLOTS + 1, SLOTS, NUMBER, holders)
    two = choose_hosts_to_give_way(SLOTS + 2, SLOTS, NUMBER, reversed(holders))
    assert len(one) == 1 and len(two) == 2 and one[0] in two
    assert set(choose_hosts_to_give_way(SLOTS + 9, SLOTS, NUMBER, holders)) == set(holders)


def test_hosts_hear_whether_their_item_gives_way() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        for host in hosts[:3]:
            host.work(0, 2)
        hosts[4].work(SLOTS - 5)
        await asyncio.sleep(0.1)
        giving = [host for host in hosts if host.occupancy.must_give_way(TARGET)]
        assert len(giving) == 1 and giving[0] in hosts[:3]
        giving[0].work(0, 1)
        await asyncio.sleep(0.1)
        assert not any(host.occupancy.must_give_way(TARGET) for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_aggregators_are_the_same_for_all_who_hear_the_same_hosts() -> None:
    lives = [Incarnation(f"h{number}:x") for number in range(9)]
    chosen = choose_aggregators(frozenset(lives))
    assert len(chosen) == AGGREGATORS
    assert chosen == choose_aggregators(frozenset(reversed(lives)))
    assert msgspec.msgpack.encode(chosen)


def test_only_one_aggregator_tells_every_change() -> None:
    async def main() -> None:
        _, hosts = await start(9)
        by_life = {host.life: host for host in hosts}
        tellers = [by_life[life] for life in hosts[0].occupancy.aggregators]
        told = dict.fromkeys((host.name for host in tellers), 0)
        for host in tellers:
            plain = host.socket.send

            def send(raw: bytes, address: str, plain: Any = plain, name: str = host.name) -> None:
                told[name] += 1
                plain(raw, address)

            host.socket.send = send  # type: ignore[method-assign]
        for step in range(100):
            hosts[0].work(step % 3)
            await asyncio.sleep(0.01)
        first, *others = (told[host.name] for host in tellers)
        assert all(count < first / 3 for count in others)
        assert not any(host.occupancy.distrusted_until for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_a_host_that_its_aggregator_does_not_hear_relies_on_the_next() -> None:
    async def main() -> None:
        net, hosts = await start(9)
        by_life = {host.life: host for host in hosts}
        first = by_life[hosts[0].occupancy.aggregators[0]]
        cut, *others = [host for host in hosts if host is not first]
        net.cut = {(cut.name, first.name), (first.name, cut.name)}
        cut.work(4)
        others[0].work(2)
        await asyncio.sleep(0.1)
        assert all(host.occupancy.in_flight(TARGET) >= 4 for host in others)
        await asyncio.sleep(0.3)
        assert cut.occupancy.in_flight(TARGET) == 2
        net.cut = set()
        await asyncio.sleep(3.0)
        assert cut.occupancy.relied_on == first.life
        assert others[1].occupancy.in_flight(TARGET) == 6
        stop(hosts)

    run_virtual(main())


def test_failures_are_told_at_once_and_successes_at_intervals() -> None:
    async def work() -> None:
        _, hosts = await start(4)
        told_all = 0
        told = 0
        await asyncio.sleep(RESULTS_GAP_S)
        for number in range(40):
            hosts[number % 4].work(1 + number % 3)
            hosts[0].end_calls(1, 0)
            await asyncio.sleep(0.025)
            sums = hosts[1].occupancy.heard[hosts[1].occupancy.aggregators[0]].sums
            told_all += sums.all_results
            told += bool(sums.results)
        assert told == told_all < 20
        before = sum(bad for _, bad in hosts[1].told)
        hosts[0].end_calls(0, 1)
        await asyncio.sleep(0.06)
        assert sum(bad for _, bad in hosts[1].told) == before + 1
        await asyncio.sleep(1.0)
        assert sum(good for good, _ in hosts[1].told) == 40
        assert sum(bad for _, bad in hosts[1].told) == before + 1
        stop(hosts)

    run_virtual(work())
