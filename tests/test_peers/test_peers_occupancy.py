"""Load of all hosts, added up by the aggregators and sent to every host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradepoint.ids import Incarnation, ServiceName, TargetId, TargetNumber
from gradepoint.peers.aggregation import (
    RESULTS_GAP_S,
    STALE_S,
    Aggregation,
    choose_hosts_to_preempt,
)
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    Digest,
    Message,
    RelayedDigest,
    Report,
    number_target,
)
from gradepoint.peers.occupancy import AGGREGATOR_COUNT, Occupancy, choose_aggregators
from gradepoint.peers.results import ResultCount
from gradepoint.routing.batch_headroom import RATE_WINDOW_S
from gradepoint.standins.virtual_time import run_virtual
from tests.support.datagram_net import LATENCY_S, DatagramNet

TARGET = TargetId("t0")
NUMBER = number_target(TARGET)
SLOTS = 8


@dataclass
class FaultyNet(DatagramNet):
    """Carries datagrams between hosts, except on the routes that are cut."""

    hosts: dict[str, Host] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.loses = lambda source, address: (source, address) in self.cut


class Host:
    """A host with calls, items and results."""

    def __init__(self, net: FaultyNet, name: str) -> None:
        self.net = net
        self.name = name
        self.incarnation = Incarnation(f"{name}:life")
        self.calls: dict[TargetNumber, int] = {}
        self.items: dict[TargetNumber, int] = {}
        self.results = ResultCount()
        self.received_results: list[tuple[int, int]] = []
        self.socket = net.add(name, self.incarnation, self.take)
        self.occupancy = Occupancy(
            self.socket,
            self.incarnation,
            self.report,
            lambda _, good, bad: self.received_results.append((good, bad)),
            Aggregation(lambda _: SLOTS),
        )
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
            asyncio.ensure_future(self.sweep()),
        ]
        net.hosts[name] = self

    def set_load(self, calls: int, items: int = 0) -> None:
        """Set the calls and items in flight."""
        self.calls = {NUMBER: calls} if calls else {}
        self.items = {NUMBER: items} if items else {}
        self.occupancy.changed.set()

    def end_calls(self, good: int, bad: int) -> None:
        """Record ended calls, which also changes what is in flight."""
        self.results.add(good, bad)
        self.occupancy.changed.set()

    def report(self, number: int) -> Report:
        """Return this host's report."""
        received_results = self.results.report_changes()
        results = {} if received_results is None else {NUMBER: received_results}
        return Report(
            DATAGRAM_FORMAT,
            self.incarnation,
            number,
            dict(self.calls),
            dict(self.items),
            0,
            results,
        )

    def take(self, message: Message, address: str) -> None:
        """Process a datagram."""
        if isinstance(message, Digest):
            self.occupancy.receive(message)
        elif isinstance(message, RelayedDigest):
            self.occupancy.relay(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def sweep(self) -> None:
        """Drop outdated reports regularly."""
        while True:
            await asyncio.sleep(0.25)
            self.occupancy.forget_silent()

    def stop(self) -> None:
        """Stop all tasks of the host."""
        for task in self.tasks:
            task.cancel()


async def start(count: int) -> tuple[FaultyNet, list[Host]]:
    """Return hosts that have had a second to hear each other."""
    net = FaultyNet()
    hosts = [Host(net, f"h{number}") for number in range(count)]
    await asyncio.sleep(1.0)
    return net, hosts


def stop(hosts: list[Host]) -> None:
    """Stop all hosts."""
    for host in hosts:
        host.stop()


def test_every_host_knows_the_others_load() -> None:
    async def main() -> None:
        _, hosts = await start(55)
        for host in hosts[:10]:
            host.set_load(2)
        hosts[20].set_load(0, 3)
        await asyncio.sleep(hosts[0].occupancy.delay_s + 3 * LATENCY_S)
        known = [host.occupancy.in_flight(TARGET) for host in hosts]
        assert known == [21] * 10 + [23] * 10 + [20] + [23] * 34
        for host in hosts:
            host.set_load(0)
        await asyncio.sleep(hosts[0].occupancy.delay_s + 3 * LATENCY_S)
        assert not any(host.occupancy.in_flight(TARGET) for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_hosts_tell_the_items_of_others_from_their_calls() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        hosts[0].set_load(2, 3)
        hosts[1].set_load(1, 1)
        await asyncio.sleep(0.2)
        assert [host.occupancy.items_in_flight(TARGET) for host in hosts] == [1, 3, 4, 4, 4, 4]
        assert [host.occupancy.in_flight(TARGET) for host in hosts[:3]] == [2, 5, 7]
        stop(hosts)

    run_virtual(main())


def test_own_load_is_not_counted_as_another_hosts() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        for calls in range(60):
            hosts[0].set_load(calls % 5)
            await asyncio.sleep(0.007)
            assert hosts[0].occupancy.in_flight(TARGET) == 0
        stop(hosts)

    run_virtual(main())


def test_datagrams_grow_linearly_with_the_number_of_hosts() -> None:
    async def main() -> None:
        rates = {}
        for count in (50, 100, 200):
            net, hosts = await start(count)
            net.sent = 0
            for step in range(100):
                for host in hosts:
                    host.set_load(step)
                await asyncio.sleep(0.01)
            stop(hosts)
            rates[count] = net.sent
        assert rates[200] < 3 * rates[50]
        assert rates[200] / 200 < 250

    run_virtual(main())


def test_loss_of_an_aggregator_hides_no_load() -> None:
    async def main() -> None:
        net, hosts = await start(9)
        by_incarnation = {host.incarnation: host for host in hosts}
        first = by_incarnation[hosts[0].occupancy.aggregators[0]]
        others = [host for host in hosts if host is not first]
        net.silent.add(first.name)
        others[0].set_load(4)
        await asyncio.sleep(0.1)
        assert all(host.occupancy.in_flight(TARGET) == 4 for host in others[1:])
        others[0].set_load(0)
        await asyncio.sleep(STALE_S + 0.5)
        assert not any(host.occupancy.in_flight(TARGET) for host in others)
        stop(hosts)

    run_virtual(main())


def test_results_of_others_are_passed_on_once() -> None:
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
        totals = [tuple(map(sum, zip(*host.received_results, strict=True))) for host in hosts]
        assert totals == [(0, 1), (6, 2), (6, 3), (6, 3), (6, 3), (6, 3)]
        assert late.received_results == [(1, 0)]
        stop([*hosts, late])

    run_virtual(main())


def test_late_report_does_not_replace_a_newer_one() -> None:
    aggregation = Aggregation(lambda _: SLOTS)
    incarnation = Incarnation("a")
    for number, calls in ((2, 5), (1, 3)):
        aggregation.take(
            Report(DATAGRAM_FORMAT, incarnation, number, {NUMBER: calls}, {}, 0, {}), ""
        )
    assert aggregation.loads == {NUMBER: 5}


def test_as_many_hosts_preempt_as_the_surplus_requires() -> None:
    names = [Incarnation(f"h{number}") for number in range(4)]
    holders = dict.fromkeys(names, 7)
    assert choose_hosts_to_preempt(SLOTS, SLOTS, NUMBER, holders) == []
    one = choose_hosts_to_preempt(SLOTS + 1, SLOTS, NUMBER, holders)
    two = choose_hosts_to_preempt(SLOTS + 2, SLOTS, NUMBER, dict.fromkeys(reversed(names), 7))
    assert len(one) == 1 and len(two) == 2 and one[0] in two
    assert set(choose_hosts_to_preempt(SLOTS + 9, SLOTS, NUMBER, holders)) == set(holders)


def test_the_least_urgent_items_are_preempted_first() -> None:
    """Otherwise items of old jobs lose their slots and end after they are due."""
    created = {"a": 5, "b": 9, "c": 7}
    holders = {Incarnation(name): revision for name, revision in created.items()}
    assert choose_hosts_to_preempt(SLOTS + 2, SLOTS, NUMBER, holders) == ["b", "c"]


def test_hosts_learn_that_they_must_preempt_an_item() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        for host in hosts[:3]:
            host.set_load(0, 2)
        hosts[4].set_load(SLOTS - 5)
        await asyncio.sleep(0.1)
        preempting = [host for host in hosts if host.occupancy.must_preempt(TARGET)]
        assert len(preempting) == 1 and preempting[0] in hosts[:3]
        preempting[0].set_load(0, 1)
        await asyncio.sleep(0.1)
        assert not any(host.occupancy.must_preempt(TARGET) for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_items_release_slots_when_calls_arrive_faster() -> None:
    """At a rising peak a target has to have a free slot before the calls arrive that need it."""

    async def main() -> None:
        _, hosts = await start(6)
        service = ServiceName("model")
        for host in hosts:
            host.occupancy.aggregation.number_by_service = lambda: {service: [NUMBER]}
        hosts[0].set_load(0, SLOTS - 3)
        await asyncio.sleep(1.0)
        assert {host.occupancy.find_call_rate(service) for host in hosts} == {0.0}
        assert not hosts[0].occupancy.must_preempt(TARGET)
        for host in hosts[1:4]:
            host.set_load(1)
        await asyncio.sleep(0.1)
        rates = {host.occupancy.find_call_rate(service) for host in hosts}
        assert rates == {3 / RATE_WINDOW_S}
        assert hosts[0].occupancy.must_preempt(TARGET)
        await asyncio.sleep(1.0)
        assert not hosts[0].occupancy.must_preempt(TARGET)
        stop(hosts)

    run_virtual(main())


def test_hosts_that_hear_the_same_choose_the_same_aggregators() -> None:
    incarnations = [Incarnation(f"h{number}:x") for number in range(9)]
    chosen = choose_aggregators(frozenset(incarnations))
    assert len(chosen) == AGGREGATOR_COUNT
    assert chosen == choose_aggregators(frozenset(reversed(incarnations)))
    assert msgspec.msgpack.encode(chosen)


def test_only_one_aggregator_sends_every_change() -> None:
    async def main() -> None:
        _, hosts = await start(9)
        by_incarnation = {host.incarnation: host for host in hosts}
        aggregators = [
            by_incarnation[incarnation] for incarnation in hosts[0].occupancy.aggregators
        ]
        sent_count = dict.fromkeys((host.name for host in aggregators), 0)
        for host in aggregators:
            plain = host.socket.send

            def send(raw: bytes, address: str, plain: Any = plain, name: str = host.name) -> None:
                sent_count[name] += 1
                plain(raw, address)

            host.socket.send = send  # type: ignore[method-assign]
        for step in range(100):
            hosts[0].set_load(step % 3)
            await asyncio.sleep(0.01)
        first, *others = (sent_count[host.name] for host in aggregators)
        assert all(count < first / 3 for count in others)
        assert not any(host.occupancy.distrusted_until for host in hosts)
        stop(hosts)

    run_virtual(main())


def test_host_not_heard_by_its_aggregator_relies_on_the_next() -> None:
    async def main() -> None:
        net, hosts = await start(9)
        by_incarnation = {host.incarnation: host for host in hosts}
        first = by_incarnation[hosts[0].occupancy.aggregators[0]]
        cut, *others = [host for host in hosts if host is not first]
        net.cut = {(cut.name, first.name), (first.name, cut.name)}
        cut.set_load(4)
        others[0].set_load(2)
        await asyncio.sleep(0.1)
        assert all(host.occupancy.in_flight(TARGET) >= 4 for host in others)
        await asyncio.sleep(0.3)
        assert cut.occupancy.in_flight(TARGET) == 2
        net.cut = set()
        await asyncio.sleep(3.0)
        assert cut.occupancy.relied_on == first.incarnation
        assert others[1].occupancy.in_flight(TARGET) == 6
        stop(hosts)

    run_virtual(main())


def test_failures_are_sent_at_once_and_successes_at_intervals() -> None:
    async def main() -> None:
        _, hosts = await start(4)
        digests_with_all = 0
        digests_with_results = 0
        await asyncio.sleep(RESULTS_GAP_S)
        for number in range(40):
            hosts[number % 4].set_load(1 + number % 3)
            hosts[0].end_calls(1, 0)
            await asyncio.sleep(0.025)
            sums = hosts[1].occupancy.heard[hosts[1].occupancy.aggregators[0]].sums
            digests_with_all += sums.all_results
            digests_with_results += bool(sums.results)
        assert digests_with_results == digests_with_all < 20
        before = sum(bad for _, bad in hosts[1].received_results)
        hosts[0].end_calls(0, 1)
        await asyncio.sleep(0.06)
        assert sum(bad for _, bad in hosts[1].received_results) == before + 1
        await asyncio.sleep(1.0)
        assert sum(good for good, _ in hosts[1].received_results) == 40
        assert sum(bad for _, bad in hosts[1].received_results) == before + 1
        stop(hosts)

    run_virtual(main())
