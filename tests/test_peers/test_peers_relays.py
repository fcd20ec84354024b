"""Digests relayed by hosts, in fleets in which one host can't send them to all others."""

from __future__ import annotations

import asyncio
import math
from collections import Counter

from gradepoint.ids import CapacityClass, Incarnation
from gradepoint.peers.aggregation import STALE_S
from gradepoint.peers.datagrams import Digest, Message, RelayedDigest
from gradepoint.peers.occupancy import (
    CONFIRMATION_MARGIN_S,
    MAX_GAP_S,
    find_digest_gap_s,
)
from gradepoint.peers.relays import MAX_DIRECT_RECEIVERS, RELAY_FRESH_S, group_receivers
from gradepoint.standins.virtual_time import run_virtual
from tests.support.datagram_net import LATENCY_S
from tests.test_peers.test_peers_occupancy import NUMBER, TARGET, FaultyNet, Host, start, stop

HOSTS = 150


def find_host(hosts: list[Host], incarnation: Incarnation) -> Host:
    """Return the host of an incarnation."""
    return next(host for host in hosts if host.incarnation == incarnation)


def note_relays(hosts: list[Host]) -> Counter[str]:
    """Return a counter of the relayed digests that each host receives from now on, by its name."""
    received: Counter[str] = Counter()

    def watch(host: Host) -> None:
        take = host.socket.on_message

        def note(message: Message, address: str) -> None:
            if isinstance(message, RelayedDigest):
                received[host.name] += 1
            take(message, address)

        host.socket.on_message = note

    for host in hosts:
        watch(host)
    return received


async def find_relay(hosts: list[Host]) -> Host:
    """Return a host that relays digests of the aggregator that all rely on."""
    first = find_host(hosts, hosts[0].occupancy.aggregators[0])
    received = note_relays(hosts)
    for step in range(5):
        first.set_load(step + 1)
        await asyncio.sleep(0.15)
    first.set_load(0)
    await asyncio.sleep(0.3)
    name = received.most_common(1)[0][0]
    return next(host for host in hosts if host.name == name)


def known_at(hosts: list[Host]) -> list[int]:
    """Return the load that each host knows others to have."""
    return [host.occupancy.in_flight(TARGET) for host in hosts]


def test_every_host_knows_a_change_by_relays_within_both_gaps() -> None:
    async def main() -> None:
        _, hosts = await start(HOSTS)
        hosts[7].set_load(3)
        await asyncio.sleep(hosts[7].occupancy.delay_s + 4 * LATENCY_S)
        assert known_at(hosts) == [3] * 7 + [0] + [3] * (HOSTS - 8)
        stop(hosts)

    run_virtual(main())


def test_no_host_sends_a_digest_to_every_other() -> None:
    # An aggregator of 300 hosts sent 2.3 MB/s, more than its link took.
    async def main() -> None:
        net, hosts = await start(HOSTS)
        net.bytes_by_host.clear()
        sent: Counter[str] = Counter()
        send = net.send

        def count(source: str, raw: bytes, address: str) -> None:
            sent[source] += 1
            send(source, raw, address)

        net.send = count  # type: ignore[method-assign]
        for step in range(20):
            hosts[step].set_load(1)
            await asyncio.sleep(0.1)
        digests = 2.0 / find_digest_gap_s(HOSTS) + 2 * 2.0 / MAX_GAP_S
        assert max(sent.values()) < 2 * math.sqrt(HOSTS) * digests
        stop(hosts)

    run_virtual(main())


def test_small_fleets_have_no_relays() -> None:
    async def main() -> None:
        _, hosts = await start(MAX_DIRECT_RECEIVERS)
        received = note_relays(hosts)
        for step in range(10):
            hosts[3].set_load(step)
            await asyncio.sleep(0.1)
        assert not received
        stop(hosts)

    run_virtual(main())


def test_relays_are_of_the_highest_capacity_and_not_aggregators() -> None:
    async def main() -> None:
        net = FaultyNet()
        hosts = [Host(net, f"h{number}") for number in range(HOSTS)]
        large = {host.incarnation: CapacityClass(2) for host in hosts[:40]}
        for host in hosts:
            host.occupancy.find_capacities = lambda: large
        await asyncio.sleep(1.0)
        received = note_relays(hosts)
        await asyncio.sleep(1.0)
        aggregators = {find_host(hosts, row).name for row in hosts[0].occupancy.aggregators}
        assert len(received) >= math.ceil(math.sqrt(HOSTS)) - 1
        assert set(received) <= {host.name for host in hosts[:40]} - aggregators
        stop(hosts)

    run_virtual(main())


def test_loss_of_a_relay_delays_changes_no_more_than_a_lost_datagram() -> None:
    # If a host got all digests by one relay, it would know nothing new until the aggregator notices
    # that the relay is silent.
    async def main() -> None:
        net, hosts = await start(HOSTS)
        relay = await find_relay(hosts)
        net.silent.add(relay.name)
        others = [host for host in hosts if host is not relay]
        for step in range(1, 10):
            others[0].set_load(step)
            # The next digest is sent after MAX_GAP_S, at the next check whether one is due.
            next_digest_s = MAX_GAP_S + find_digest_gap_s(HOSTS)
            await asyncio.sleep(others[0].occupancy.delay_s + next_digest_s + 2 * LATENCY_S)
            assert known_at(others[1:]) == [step] * (HOSTS - 2)
        await asyncio.sleep(RELAY_FRESH_S)
        received = note_relays(hosts)
        first = find_host(hosts, others[0].occupancy.aggregators[0])
        chosen = first.occupancy._choose_relays(first.occupancy.aggregation.reports)
        assert relay.incarnation not in chosen
        await asyncio.sleep(MAX_GAP_S)
        assert received and relay.name not in received
        stop(hosts)

    run_virtual(main())


def test_loss_of_an_aggregator_of_a_large_fleet_hides_no_load() -> None:
    async def main() -> None:
        net, hosts = await start(HOSTS)
        first = find_host(hosts, hosts[0].occupancy.aggregators[0])
        others = [host for host in hosts if host is not first]
        net.silent.add(first.name)
        others[0].set_load(4)
        await asyncio.sleep(2 * others[0].occupancy.delay_s + 2 * CONFIRMATION_MARGIN_S)
        assert known_at(others[1:]) == [4] * (HOSTS - 2)
        others[0].set_load(0)
        await asyncio.sleep(STALE_S + 0.5)
        assert not any(known_at(others))
        stop(hosts)

    run_virtual(main())


def test_lost_datagrams_do_not_hide_load_for_longer_than_digests_are_valid() -> None:
    async def main() -> None:
        net, hosts = await start(HOSTS)
        lost = 0

        def loses(_source: str, _address: str) -> bool:
            nonlocal lost
            lost += 1
            return lost % 50 == 0

        net.loses = loses
        for step in range(1, 6):
            hosts[0].set_load(step)
            await asyncio.sleep(STALE_S)
            assert known_at(hosts[1:]) == [step] * (HOSTS - 1)
        stop(hosts)

    run_virtual(main())


def test_digest_that_a_slow_relay_passes_on_late_is_ignored() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        kept: list[Digest] = []
        take = hosts[1].socket.on_message

        def keep(message: Message, address: str) -> None:
            if isinstance(message, Digest):
                kept.append(message)
            take(message, address)

        hosts[1].socket.on_message = keep
        await asyncio.sleep(0.6)
        hosts[0].set_load(5)
        await asyncio.sleep(0.2)
        for digest in kept[:3]:
            hosts[1].occupancy.receive(digest)
        assert hosts[1].occupancy.in_flight(TARGET) == 5
        assert NUMBER in hosts[1].occupancy.remote_in_flight
        stop(hosts)

    run_virtual(main())


def test_each_receiver_has_one_relay_and_another_one_later() -> None:
    names = [Incarnation(f"h{number}") for number in range(100)]
    relays = names[5:15]
    groups = [group_receivers(names, relays, turn) for turn in (1, 2)]
    for rows in groups:
        assert sorted(name for row in rows for name in row) == sorted(set(names) - set(relays))
        assert max(map(len, rows)) == min(map(len, rows)) == 9
    assert all(not set(first) & set(second) for first, second in zip(*groups, strict=True))
