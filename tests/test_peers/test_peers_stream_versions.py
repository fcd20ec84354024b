"""Tests of the exchange of streams' software versions between hosts, in virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest

from gradepoint.ids import (
    HostName,
    Incarnation,
    RequestId,
    SoftwareVersion,
    StreamKey,
    StreamRequest,
)
from gradepoint.peers.datagrams import Message, StreamNotice, StreamQuery
from gradepoint.peers.presence import HostPresence
from gradepoint.peers.stream_versions import MAX_LOOKUP_S, StreamVersions
from gradepoint.routing.stream_versions import (
    HOLDERS,
    make_stream_key,
    make_stream_request,
)
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.datagram_net import DatagramNet

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
LIFETIME_S = 5.0
STREAMS = 100


Stream = tuple[StreamRequest, StreamKey]


def make_stream(name: str, path: str = "") -> Stream:
    """Return the identifiers of a stream; each name has a request of its own without *path*."""
    request = make_stream_request("host", "POST", path or f"/{name}", b"body")
    return request, make_stream_key(RequestId(name))


class Fleet:
    """Hosts that exchange versions over a network in memory."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        rng = random.Random(1)
        self.net = DatagramNet(lambda _, __: rng.random() < loss)
        self.hosts: dict[HostName, HostPresence] = {}
        self.nodes: dict[HostName, StreamVersions] = {}
        for number in range(count):
            self.add(HostName(f"h{number}"), f"d{number % 3}")

    def add(self, host: HostName, domain: str = "d0") -> None:
        """Add a host, or start it again without its records."""

        def take(message: Message, address: str) -> None:
            if isinstance(message, StreamNotice):
                self.nodes[host].receive(message, address)
            elif isinstance(message, StreamQuery):
                self.nodes[host].answer(message, address)

        incarnation = Incarnation(f"{host}:1")
        self.hosts[host] = HostPresence(host, incarnation, domain, host)
        self.nodes[host] = StreamVersions(
            self.net.add(host, incarnation, take),
            host,
            self.hosts.values,
            lambda: self.hosts.keys() - self.net.silent,
        )

    def begin_streams(self) -> list[Stream]:
        """Begin a stream at each host in turn."""
        streams = [make_stream(f"call-{number}") for number in range(STREAMS)]
        nodes = list(self.nodes.values())
        for number, stream in enumerate(streams):
            nodes[number % len(nodes)].record(*stream, V1, LIFETIME_S)
        return streams

    async def find_all(
        self, streams: list[Stream], *, named: bool = True
    ) -> list[SoftwareVersion | None]:
        """Ask for each stream at another host than the one that began it."""
        nodes = [node for host, node in self.nodes.items() if host not in self.net.silent]
        return [
            await nodes[(number + 1) % len(nodes)].find(request, key if named else None)
            for number, (request, key) in enumerate(streams)
        ]


@pytest.mark.parametrize("count", [2, 6, 45])
def test_every_host_finds_the_version_of_a_stream(count: int) -> None:
    async def main() -> None:
        fleet = Fleet(count)
        requests = fleet.begin_streams()
        await asyncio.sleep(0.01)
        assert await fleet.find_all(requests) == [V1] * STREAMS
        assert await fleet.find_all(requests, named=False) == [V1] * STREAMS
        assert await fleet.nodes[HostName("h0")].find(*make_stream("another")) is None

    run_virtual(main())


def test_version_is_found_after_the_loss_of_several_hosts() -> None:
    async def main() -> None:
        fleet = Fleet(12)
        requests = fleet.begin_streams()
        await asyncio.sleep(0.01)
        fleet.net.silent |= {f"h{number}" for number in range(HOLDERS)}
        assert await fleet.find_all(requests) == [V1] * STREAMS

    run_virtual(main())


def test_version_is_found_although_datagrams_are_lost() -> None:
    async def main() -> None:
        fleet = Fleet(9, loss=0.2)
        requests = fleet.begin_streams()
        await asyncio.sleep(0.01)
        found = await fleet.find_all(requests)
        assert set(found) <= {V1, None}
        assert found.count(V1) >= STREAMS - 1

    run_virtual(main())


def test_lookup_of_an_isolated_host_ends_in_time_and_finds_nothing() -> None:
    async def main() -> None:
        fleet = Fleet(6)
        requests = fleet.begin_streams()
        await asyncio.sleep(0.01)
        node = fleet.nodes[HostName("h0")]
        node.records.records.clear()
        fleet.net.silent.add("h0")
        started_at = monotonic()
        found = await asyncio.gather(*(node.find(*stream) for stream in requests))
        assert found == [None] * STREAMS
        assert monotonic() - started_at <= MAX_LOOKUP_S + 0.1
        assert not node.lookups

    run_virtual(main())


def test_lookup_ends_at_once_if_all_hosts_answer_that_they_have_no_record() -> None:
    async def main() -> None:
        fleet = Fleet(6)
        started_at = monotonic()
        assert await fleet.nodes[HostName("h0")].find(*make_stream("unknown")) is None
        assert monotonic() - started_at < 0.01

    run_virtual(main())


def test_cancelled_lookup_leaves_nothing_behind() -> None:
    async def main() -> None:
        fleet = Fleet(6)
        fleet.net.silent.add("h0")
        node = fleet.nodes[HostName("h0")]
        calls = [asyncio.create_task(node.find(*make_stream("same"))) for _ in range(3)]
        await asyncio.sleep(0.01)
        calls[0].cancel()
        assert (await asyncio.gather(*calls[1:])) == [None, None]
        assert not node.lookups

    run_virtual(main())


def test_record_expires_at_every_holder() -> None:
    async def main() -> None:
        fleet = Fleet(6)
        requests = fleet.begin_streams()
        await asyncio.sleep(LIFETIME_S - 0.1)
        assert (await fleet.find_all(requests[:10])) == [V1] * 10
        await asyncio.sleep(0.2)
        assert (await fleet.find_all(requests)) == [None] * STREAMS

    run_virtual(main())


@pytest.mark.parametrize("count", [3, 12])
def test_unnamed_stream_has_no_version_if_streams_of_its_request_differ(count: int) -> None:
    async def main() -> None:
        fleet = Fleet(count)
        first, second = make_stream("first", "/same"), make_stream("second", "/same")
        assert first[0] == second[0]
        fleet.nodes[HostName("h0")].record(*first, V1, LIFETIME_S)
        await asyncio.sleep(0.01)
        assert await fleet.nodes[HostName("h1")].find(first[0], None) == V1
        fleet.nodes[HostName("h1")].record(*second, V2, LIFETIME_S)
        await asyncio.sleep(0.01)
        for node in fleet.nodes.values():
            assert await node.find(*first) == V1
            assert await node.find(*second) == V2
            assert await node.find(first[0], None) is None

    run_virtual(main())
