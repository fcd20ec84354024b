"""Hosts with a faster link and more memory aggregate, and all hosts choose the same ones."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from gradepoint.ids import CapacityClass, ConfigVersion, Incarnation
from gradepoint.peers.capacity import MAX_CLASS, classify_capacity
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, DatagramSocket, Heartbeat, Message
from gradepoint.peers.heartbeats import Heartbeats
from gradepoint.peers.occupancy import AGGREGATOR_COUNT, choose_aggregators
from gradepoint.standins.virtual_time import run_virtual
from tests.support.platform import Deployment, run_in_virtual_time

HOSTS = frozenset(Incarnation(f"h{number}:x") for number in range(60))


@pytest.mark.parametrize(
    ("link_mbps", "memory_mb", "expected"),
    [
        (0.0, 0.0, 0),
        (100.0, 0.0, 0),
        (0.0, 552.0, 0),
        (11.0, 552.0, 1),
        (15.0, 160.0, 1),
        (100.0, 200.0, 2),
        (100.0, 552.0, 3),
        (10_000.0, 64_000.0, MAX_CLASS),
    ],
)
def test_class_follows_from_the_smaller_limit(
    link_mbps: float, memory_mb: float, expected: int
) -> None:
    assert classify_capacity(link_mbps, memory_mb) == expected


def test_hosts_of_the_highest_class_aggregate() -> None:
    # An aggregator of 300 hosts sent more than its link of 15 Mbit/s took while others had 100.
    rng = random.Random(1)
    for _ in range(50):
        classes = {host: CapacityClass(rng.randrange(4)) for host in sorted(HOSTS)}
        chosen = choose_aggregators(HOSTS, frozenset(classes.items()))
        assert {classes[host] for host in chosen} == {CapacityClass(3)}
        assert len(chosen) == AGGREGATOR_COUNT


def test_hosts_of_one_class_keep_their_order_without_classes() -> None:
    without = choose_aggregators(HOSTS)
    for capacity in range(3):
        same = frozenset((host, CapacityClass(capacity)) for host in HOSTS)
        assert choose_aggregators(HOSTS, same) == without


def test_host_of_unknown_capacity_counts_as_the_smallest() -> None:
    known = sorted(HOSTS)[:AGGREGATOR_COUNT]
    classes = frozenset((host, CapacityClass(1)) for host in known)
    assert set(choose_aggregators(HOSTS, classes)) == set(known)


def test_capacity_is_told_in_heartbeats_and_missing_in_those_of_former_programs() -> None:
    heartbeat = Heartbeat(
        DATAGRAM_FORMAT, Incarnation("h:1"), ConfigVersion(1), True, False, {}, [], {}, 0,
        CapacityClass(2),
    )  # fmt: skip
    raw = msgspec.msgpack.encode(heartbeat)
    former = msgspec.msgpack.encode(msgspec.msgpack.decode(raw)[:-1])
    taken: list[Message] = []
    socket = DatagramSocket(lambda message, _: taken.append(message))
    for received in (raw, former):
        socket.take(received, "127.0.0.2:9")

    async def main() -> None:
        heartbeats = Heartbeats(socket, lambda: heartbeat)
        for message, expected in zip(taken, (2, 0), strict=True):
            assert isinstance(message, Heartbeat)
            heartbeats.receive(message, "127.0.0.2:9")
            assert heartbeats.capacities() == {"h:1": expected}

    run_virtual(main())


def test_gateways_with_more_capacity_aggregate_for_those_with_less() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=4)
        deployment.gateway_settings = {"link_mbps": 100, "memory_mb": 552}
        large = {(await deployment.add_gateway(f"large-{n}")).own.incarnation for n in range(3)}
        await asyncio.sleep(2.0)
        for gateway in deployment.gateways:
            assert set(gateway.occupancy.aggregators) == large

    run_in_virtual_time(work)
