"""Who lives, at all sizes of fleet, while datagrams are lost and hosts stall."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradepoint.gateway.app import SWEEP_S
from gradepoint.ids import ConfigVersion, HostName, Incarnation
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.beats import Beats
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    Beat,
    DatagramSocket,
    Digest,
    Member,
    Message,
    Report,
)
from gradepoint.peers.members import MOST_TOLD, MemberTable, MissingMembers, strip_beat
from gradepoint.peers.occupancy import Occupancy
from gradepoint.peers.presence import HostPresence
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_types import Request

DOMAINS = 5
LOSS = 0.01
LOSSY_DOMAIN_LOSS = 0.025
KNOWN_S = 1.5
"""Seconds in which every host has to know of a host's loss."""
WRONGLY_LOST_S = 1.0
"""Seconds for which a living host may be taken for lost."""
HEALED_S = 2.0
"""Seconds in which all hosts have to be heard again after a restart of half of them."""
SETTLED_S = 3.0
"""Seconds after which a fleet that started at once is looked at."""
WAY_S = 0.001
MOST_BYTES = 500
"""Bytes that members add to a digest: an aggregator sends it to every host ten times a second while
calls come, over a link that may carry two megabytes."""


async def one_piece(body: bytes) -> AsyncIterator[bytes]:
    """Yield a whole body."""
    yield body


@dataclass
class Fleet:
    """Hosts on a network that loses datagrams, in virtual time.

    :ivar listed: what the key-value service lists: hosts, also lost ones for a while.
    :ivar stalled_until: until when a host neither hears nor looks who is silent, by address.
    :ivar sent: bytes by address of their sender.
    :ivar wrongly_lost_s: longest time by address for which a living host was taken for lost.
    """

    rng: random.Random
    hosts: dict[str, Host] = field(default_factory=dict)
    listed: dict[str, HostPresence] = field(default_factory=dict)
    stalled_until: dict[str, float] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    wrongly_lost_s: dict[str, float] = field(default_factory=dict)

    def send(self, source: str, raw: bytes, address: str) -> None:
        """Deliver a datagram a little later, or lose it."""
        self.sent[source] = self.sent.get(source, 0) + len(raw)
        lossy = any(self.domain(one) == 0 for one in (source, address))
        if self.rng.random() >= (LOSSY_DOMAIN_LOSS if lossy else LOSS):
            asyncio.get_running_loop().call_later(WAY_S, self.deliver, source, raw, address)

    def domain(self, address: str) -> int:
        """Return the failure domain of an address."""
        return int(address.partition(":")[2]) % DOMAINS

    def deliver(self, source: str, raw: bytes, address: str) -> None:
        """Hand a datagram to its receiver, once that goes on."""
        wait_s = self.stalled_until.get(address, 0.0) - monotonic()
        if wait_s > 0:
            asyncio.get_running_loop().call_later(wait_s, self.deliver, source, raw, address)
        elif address in self.hosts:
            self.hosts[address].socket.take(raw, source)

    async def until_awake(self, address: str) -> None:
        """Wait while a host is stalled."""
        wait_s = self.stalled_until.get(address, 0.0) - monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def start(self, number: int, life: int = 1) -> Host:
        """Start a host; it is listed at once."""
        host = Host(self, number, life)
        self.hosts[host.address] = host
        self.listed[host.address] = host.presence
        return host

    def kill(self, host: Host) -> None:
        """End a host without a word; it stays listed."""
        host.stop()
        del self.hosts[host.address]

    def count_unheard(self) -> dict[str, int]:
        """Return how many hosts do not hear each living host."""
        living = list(self.hosts.values())
        return {
            host.address: sum(
                host.life not in other.beats.heard for other in living if other is not host
            )
            for host in living
        }


class FleetSocket(DatagramSocket):
    """A socket on such a network."""

    def __init__(self, host: Host) -> None:
        super().__init__(host.take)
        self.host = host

    def send(self, raw: bytes, address: str) -> None:
        """See :meth:`DatagramSocket.send`."""
        self.host.fleet.send(self.host.address, raw, address)


class Host:
    """One host that beats, reports and adds up."""

    def __init__(self, fleet: Fleet, number: int, life: int) -> None:
        self.fleet = fleet
        self.address = f"host:{number}"
        self.life = Incarnation(f"host-{number}:{life}")
        self.presence = HostPresence(
            HostName(f"host-{number}"), self.life, f"domain-{number % DOMAINS}", self.address
        )
        self.version = ConfigVersion(1)
        self.socket = FleetSocket(self)
        self.beats = Beats(self.socket, self.make_beat)
        self.beats._fetch_missing = self.fetch_missing  # type: ignore[method-assign]
        self.occupancy = Occupancy(
            self.socket,
            self.life,
            lambda number: Report(DATAGRAM_FORMAT, self.life, number, {}, {}, 0, {}),
            lambda *_: None,
            Aggregation(lambda _: None),
            self.beats.find_digest,
            lambda: self.beats.tell_members(self.version),
            self.beats.hear_members,
        )
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (
                self.beats.run(
                    lambda: list(fleet.listed.values()),
                    lambda: self.occupancy.aggregators,
                    self.address,
                ),
                self.occupancy.run_reports(self.beats.find_tellers),
                self.occupancy.run_digests(),
                self.sweep(),
            )
        ]

    def make_beat(self) -> Beat:
        """Return what others hear of this host."""
        return Beat(DATAGRAM_FORMAT, self.life, self.version, True, False, {}, [], {}, 0)

    async def fetch_missing(self, teller: Incarnation, asked: bytes) -> object:
        """Ask an aggregator as over HTTP."""
        other = next((h for h in self.fleet.hosts.values() if h.life == teller), None)
        await asyncio.sleep(2 * WAY_S)
        if other is None:
            return None
        await self.fleet.until_awake(other.address)
        request = Request("POST", "/members", {}, lambda: one_piece(asked), len(asked))
        response = await other.beats.answer_members(request)
        return msgspec.msgpack.decode(response.body, type=MissingMembers)

    def take(self, message: Message, address: str) -> None:
        """Take a datagram."""
        if isinstance(message, Digest):
            self.occupancy.hear(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)
        else:
            self.beats.hear(message, address)

    async def sweep(self) -> None:
        """Look who is silent."""
        while True:
            await asyncio.sleep(SWEEP_S)
            await self.fleet.until_awake(self.address)
            self.beats.forget_silent()
            self.occupancy.forget_silent()

    def stop(self) -> None:
        """End all work."""
        for task in self.tasks:
            task.cancel()


async def start_fleet(count: int, seed: int) -> Fleet:
    """Return a fleet that has started at once."""
    fleet = Fleet(random.Random(seed))
    for number in range(count):
        fleet.start(number)
    await asyncio.sleep(SETTLED_S)
    return fleet


def stop_fleet(fleet: Fleet) -> None:
    """End all hosts."""
    for host in fleet.hosts.values():
        host.stop()


async def note_wrong_losses(fleet: Fleet) -> None:
    """Take note, for ever, of living hosts that others take for lost."""
    since: dict[str, float] = {}
    longest = fleet.wrongly_lost_s
    while True:
        now = monotonic()
        unheard = {address for address, count in fleet.count_unheard().items() if count}
        for address in unheard:
            # A stalled host says nothing; it is wrongly lost from its wakening on.
            begun = max(since.setdefault(address, now), fleet.stalled_until.get(address, 0.0))
            longest[address] = max(longest.get(address, 0.0), now - begun)
        for address in set(since) - unheard:
            del since[address]
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("count", [9, 55, 165, 400])
def test_losses_are_known_soon_and_no_living_host_is_taken_for_lost(count: int) -> None:
    async def work() -> None:
        fleet = await start_fleet(count, seed=count)
        assert not any(fleet.count_unheard().values())
        noting = asyncio.ensure_future(note_wrong_losses(fleet))
        # A third of the hosts stall for a while, at times of their own.
        rng = random.Random(1)
        for host in rng.sample(list(fleet.hosts.values()), count // 3):
            fleet.stalled_until[host.address] = monotonic() + rng.uniform(0.2, 0.9)
        lost = rng.sample(list(fleet.hosts.values()), max(1, count // 40))
        for host in lost:
            fleet.kill(host)
        await asyncio.sleep(KNOWN_S)
        believed = [
            (host.address, other.life)
            for host in fleet.hosts.values()
            for other in lost
            if other.life in host.beats.heard
        ]
        assert not believed
        await asyncio.sleep(3.0)
        noting.cancel()
        assert max(fleet.wrongly_lost_s.values(), default=0.0) <= WRONGLY_LOST_S
        assert not any(fleet.count_unheard().values())
        stop_fleet(fleet)

    run_virtual(work())


@pytest.mark.parametrize("count", [9, 55, 165])
@pytest.mark.parametrize("which", ["aggregators", "half"])
def test_a_restart_of_many_hosts_is_healed_soon(count: int, which: str) -> None:
    async def work() -> None:
        fleet = await start_fleet(count, seed=count)
        hosts = list(fleet.hosts.values())
        aggregators = set(hosts[0].occupancy.aggregators)
        chosen = [host for host in hosts if host.life in aggregators]
        if which == "half":
            chosen += [host for host in hosts if host not in chosen][: count // 2 - len(chosen)]
        for host in chosen:
            fleet.kill(host)
        await asyncio.sleep(0.6)
        for host in chosen:
            fleet.start(int(host.address.partition(":")[2]), life=2)
        await asyncio.sleep(HEALED_S)
        assert not any(fleet.count_unheard().values())
        # A life is told from the former one, however soon it comes after it.
        former = {host.life for host in chosen}
        assert not any(former & set(host.beats.heard) for host in fleet.hosts.values())
        stop_fleet(fleet)

    run_virtual(work())


def test_a_host_that_is_cut_off_knows_before_others_take_its_jobs() -> None:
    async def work() -> None:
        fleet = await start_fleet(55, seed=1)
        cut = fleet.hosts["host:7"]
        deliver = fleet.deliver

        def lose(source: str, raw: bytes, address: str) -> None:
            if cut.address not in (source, address):
                deliver(source, raw, address)

        fleet.deliver = lose  # type: ignore[method-assign]
        begun = monotonic()
        while len(cut.beats.heard) > 27:
            await asyncio.sleep(0.01)
        assert monotonic() - begun < 2.0
        stop_fleet(fleet)

    run_virtual(work())


def test_what_a_host_sends_at_rest_does_not_grow_with_the_fleet() -> None:
    async def work() -> None:
        rates = {}
        for count in (55, 400):
            fleet = await start_fleet(count, seed=3)
            aggregators = {
                life for host in fleet.hosts.values() for life in host.occupancy.aggregators
            }
            fleet.sent.clear()
            await asyncio.sleep(2.0)
            rates[count] = max(
                fleet.sent[host.address] / 2.0
                for host in fleet.hosts.values()
                if host.life not in aggregators
            )
            stop_fleet(fleet)
        assert rates[400] < 1.2 * rates[55]
        assert rates[400] < 4096

    run_virtual(work())


def make_member(number: int, beat: int) -> Member:
    """Return a member."""
    life = Incarnation(f"host-{number}:1")
    row = Beat(DATAGRAM_FORMAT, life, ConfigVersion(1), True, False, {}, [], {}, 0, beat)
    return Member(strip_beat(row), f"host:{number}")


CHANGES = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3), st.booleans()), max_size=30)


@given(CHANGES, CHANGES)
def test_the_difference_of_two_tables_makes_them_the_same(
    of_teller: list[tuple[int, int, bool]], of_listener: list[tuple[int, int, bool]]
) -> None:
    teller, listener = MemberTable(), MemberTable()
    for table, changes in ((teller, of_teller), (listener, of_listener)):
        for number, beat, stays in changes:
            if stays:
                table.put(make_member(number, beat))
            else:
                table.remove(Incarnation(f"host-{number}:1"))
    # What the listener knows of newer beats, the teller has not heard yet.
    newer = [
        life
        for life, row in listener.rows.items()
        if life in teller.rows and row.beat.number > teller.rows[life].beat.number
    ]
    missing = teller.find_missing(listener.describe([]))
    listener.take_missing(missing, [])
    assert set(listener.rows) == set(teller.rows)
    assert newer or listener.digest == teller.digest


def test_no_datagram_tells_of_a_whole_fleet() -> None:
    table = MemberTable()
    for number in range(400):
        table.put(make_member(number, 1))
    news = table.tell(ConfigVersion(1))
    assert len(news.rows) == MOST_TOLD
    assert len(msgspec.msgpack.encode(news)) < MOST_BYTES
    listener = MemberTable()
    assert not listener.take(news)
    listener.take_missing(table.find_missing(listener.describe([])), [])
    assert listener.take(table.tell(ConfigVersion(1)))
