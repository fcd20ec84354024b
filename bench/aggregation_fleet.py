"""Traffic and memory of a fleet that aggregates: ``python -m bench.aggregation_fleet``.

A fleet runs in virtual time with the product's :class:`~gradepoint.peers.occupancy.Occupancy`,
:class:`~gradepoint.peers.aggregation.Aggregation`, :class:`~gradepoint.peers.heartbeats.Heartbeats`
and :class:`~gradepoint.peers.datagrams.DatagramSocket`. Only the transport is simulated: each host
has a link of limited rate, a socket buffer of fixed size, and behind it the buffer of asyncio.

The output is one JSON object per fleet size: bytes sent and received per second by the kind of
message, the delay from a change at one host until all hosts know of it, and the size of each store
of the busiest host.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import tracemalloc
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from gradepoint.ids import ConfigVersion, HostName, Incarnation, OrganisationNumber, TargetId
from gradepoint.peers import occupancy
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.capacity import classify_capacity
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    DatagramSocket,
    Digest,
    Heartbeat,
    Message,
    Report,
    number_target,
)
from gradepoint.peers.heartbeats import Heartbeats
from gradepoint.peers.occupancy import Occupancy
from gradepoint.peers.presence import HostPresence
from gradepoint.peers.results import ResultCount
from gradepoint.routing.host_quotas import HostQuotas
from gradepoint.routing.quota_ledger import QuotaLedger
from gradepoint.routing.quotas import Allowance
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gradepoint.ids import TargetNumber

LATENCY_S = 0.001
"""Latency between two hosts in seconds."""
SOCKET_BUFFER_BYTES = 106_000
"""Payload that the socket holds before it takes no more: 212,992 bytes (the default of Linux), of
which a datagram of 1.2 KB uses twice its size."""
HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""
CALL_S = 0.7
"""Seconds of a call in a slot."""
ITEM_S = 5.0
"""Seconds of a batch item in a slot."""
ITEMS_PER_HOST = 0.25
"""Batch items in flight per host."""
SLOTS = 8
CONFIRMED_DIGEST = 2
"""Digests from one until a report that confirms it: a host reports four times a second at least,
and after each change."""
FULL_DIGEST = 10
"""One in this many digests would be sent in full if only changes were sent otherwise."""
MEMORY_MB = 400.0
"""Memory of each host in MB."""
ARRAY_16 = 0xDC
"""First byte of a msgpack array of 16 or more elements."""
SWEEP_S = 0.25
KINDS = {"beat": "heartbeats", "report": "reports", "digest": "digests", "relay": "relayed"}


@dataclass
class Load:
    """Load of a fleet.

    :param targets: number of targets.
    :param organisations: number of organisations; a third of the calls is from five of them.
    :param calls_per_s: calls per second of one host.
    """

    targets: int
    organisations: int
    calls_per_s: float

    def draw_organisation(self, rng: random.Random) -> OrganisationNumber:
        """Return the organisation of a call."""
        few = 5 if rng.random() < 1 / 3 else self.organisations
        return OrganisationNumber(2**31 + rng.randrange(few))


@dataclass
class Net:
    """Delivers datagrams and counts their bytes.

    :ivar hosts: hosts by address.
    :ivar down: addresses of hosts that neither send nor receive.
    :ivar loss: share of the datagrams that are lost.
    :ivar sent: bytes by address and kind of message since the counters were reset.
    :ivar recorded: datagrams delivered to *watched*, with time and source.
    """

    rng: random.Random
    hosts: dict[str, Host] = field(default_factory=dict)
    down: set[str] = field(default_factory=set)
    loss: float = 0.0
    sent: dict[str, Counter[str]] = field(default_factory=dict)
    received: dict[str, Counter[str]] = field(default_factory=dict)
    datagrams: Counter[str] = field(default_factory=Counter)
    largest: int = 0
    watched: str = ""
    recorded: list[tuple[float, bytes, str]] = field(default_factory=list)

    def reset(self) -> None:
        """Start counting again."""
        self.sent, self.received, self.datagrams = {}, {}, Counter()
        self.largest = 0

    def carry(self, source: str, raw: bytes, address: str) -> None:
        """Count and deliver a datagram that left its host."""
        kind = read_kind(raw)
        size = len(raw) + HEADER_BYTES
        self.largest = max(self.largest, size)
        self.sent.setdefault(source, Counter())[kind] += size
        self.datagrams[source] += 1
        if self.rng.random() >= self.loss and not self.down & {source, address}:
            asyncio.get_running_loop().call_later(LATENCY_S, self.deliver, source, raw, address)

    def deliver(self, source: str, raw: bytes, address: str) -> None:
        """Pass a datagram to its receiver."""
        host = self.hosts.get(address)
        if host is None or address in self.down:
            return
        self.received.setdefault(address, Counter())[read_kind(raw)] += len(raw) + HEADER_BYTES
        if address == self.watched:
            self.recorded.append((monotonic(), raw, source))
        host.socket.take(raw, source)


def read_kind(raw: bytes) -> str:
    """Return the tag of an encoded message."""
    start = 3 if raw[0] == ARRAY_16 else 1
    return raw[start + 1 : start + 1 + (raw[start] & 0x1F)].decode()


@dataclass
class Link:
    """Stands in for asyncio's datagram transport on a link of limited rate.

    :param bytes_per_s: rate of the link.
    :ivar buffer: datagrams that the socket does not take yet, as in asyncio.
    :ivar free_at: time at which the link has sent what the socket holds.
    """

    net: Net
    address: str
    bytes_per_s: float
    buffer: deque[tuple[bytes, tuple[str, int]]] = field(default_factory=deque)
    buffered_bytes: int = 0
    max_buffered_bytes: int = 0
    free_at: float = 0.0
    draining: bool = False

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """See :meth:`asyncio.DatagramTransport.sendto`."""
        if self.buffer or not self._socket_takes(data):
            self.buffer.append((data, addr))
            self.buffered_bytes += len(data)
            self.max_buffered_bytes = max(self.max_buffered_bytes, self.buffered_bytes)
            if not self.draining:
                self.draining = True
                self._schedule()
            return
        self._send(data, addr)

    def get_write_buffer_size(self) -> int:
        """See :meth:`asyncio.WriteTransport.get_write_buffer_size`."""
        return self.buffered_bytes

    def close(self) -> None:
        """Drop what is buffered."""
        self.buffer.clear()

    def _socket_takes(self, raw: bytes) -> bool:
        waiting_s = max(0.0, self.free_at - monotonic())
        return waiting_s * self.bytes_per_s + len(raw) <= SOCKET_BUFFER_BYTES

    def _send(self, raw: bytes, address: tuple[str, int]) -> None:
        now = monotonic()
        self.free_at = max(now, self.free_at) + (len(raw) + HEADER_BYTES) / self.bytes_per_s
        ip, port = address
        asyncio.get_running_loop().call_at(
            self.free_at, self.net.carry, self.address, raw, f"{ip}:{port}"
        )

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_later(0.002, self._drain)

    def _drain(self) -> None:
        while self.buffer and self._socket_takes(self.buffer[0][0]):
            raw, address = self.buffer.popleft()
            self.buffered_bytes -= len(raw)
            self._send(raw, address)
        self.draining = bool(self.buffer)
        if self.draining:
            self._schedule()


class Host:
    """One host with its load and its peers' messages.

    :ivar received_at: times at which digests arrived, by aggregator.
    """

    def __init__(
        self, net: Net, number: int, load: Load, link_bytes_per_s: float, seed: int
    ) -> None:
        self.net, self.load, self.number = net, load, number
        self.rng = random.Random(seed)
        self.address = make_address(number)
        self.presence = HostPresence(
            HostName(f"host-{number}"),
            Incarnation(f"host-{number}:{self.rng.getrandbits(40):010x}"),
            f"zone-{number % 3}",
            self.address,
        )
        self.incarnation = self.presence.incarnation
        self.calls: Counter[TargetNumber] = Counter()
        self.items: Counter[TargetNumber] = Counter()
        self.results: dict[TargetNumber, ResultCount] = {}
        self.socket = DatagramSocket(self.take)
        self.link = Link(net, self.address, link_bytes_per_s)
        self.socket.transport = self.link
        self.capacity = classify_capacity(link_bytes_per_s / 125_000, MEMORY_MB)
        self.heartbeats = Heartbeats(self.socket, self.make_heartbeat)
        self.quotas = HostQuotas(
            lambda: self.occupancy.find_room_reports(),
            lambda: True,
            lambda: len(net.hosts),
            self.rng.random,
        )
        quota = 1.6 * load.calls_per_s * 5.0
        self.large = lambda: Allowance(quota * len(net.hosts) / 15, 5.0, 1.0)
        self.small = lambda: Allowance(
            max(2.0, quota * len(net.hosts) / load.organisations), 5.0, 1.0
        )
        self.occupancy = Occupancy(
            self.socket,
            self.incarnation,
            self.make_report,
            lambda *_: None,
            Aggregation(
                lambda _: SLOTS,
                QuotaLedger(
                    self.find_allowance,
                    lambda _: None,
                    lambda: {host.incarnation for host in net.hosts.values()},
                ),
            ),
            lambda: {**self.heartbeats.capacities(), self.incarnation: self.capacity},
        )
        self.tasks: list[asyncio.Future[None]] = []
        net.hosts[self.address] = self

    def find_allowance(self, number: OrganisationNumber) -> Allowance:
        """Return the allowance of an organisation."""
        return self.large() if number < 2**31 + 5 else self.small()

    def start(self, *, loaded: bool = True) -> None:
        """Start the loops of this host."""
        peers = [host.presence for host in self.net.hosts.values()]
        loops = [
            self.heartbeats.run(lambda: [peer for peer in peers if peer is not self.presence]),
            self.occupancy.run_reports(self.heartbeats.addresses),
            self.occupancy.run_digests(),
            self.sweep(),
        ]
        if loaded:
            loops += [self.send_calls(), self.run_items()]
        self.tasks = [asyncio.ensure_future(loop) for loop in loops]

    def stop(self) -> None:
        """Stop the loops."""
        for task in self.tasks:
            task.cancel()

    def make_heartbeat(self) -> Heartbeat:
        """Return this host's heartbeat."""
        return Heartbeat(
            format=DATAGRAM_FORMAT,
            incarnation=self.incarnation,
            config_version=ConfigVersion(1),
            reaches_store=True,
            watching=False,
            views={},
            jobs=[1],
            proven={},
            proofs=0,
            capacity=self.capacity,
        )

    def make_report(self, number: int) -> Report:
        """Return this host's report."""
        changes = ((target, count.report_changes()) for target, count in self.results.items())
        return Report(
            DATAGRAM_FORMAT,
            self.incarnation,
            number,
            {target: count for target, count in self.calls.items() if count},
            {target: count for target, count in self.items.items() if count},
            2,
            {target: reported for target, reported in changes if reported is not None},
            grants=self.quotas.find_recent_grants(monotonic()),
        )

    def take(self, message: Message, address: str) -> None:
        """Dispatch a datagram as the gateway does."""
        if isinstance(message, Heartbeat):
            self.heartbeats.receive(message, address)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)
        elif isinstance(message, Digest):
            self.occupancy.receive(message)
        else:
            self.occupancy.relay(message)

    async def sweep(self) -> None:
        """Drop outdated state as the gateway does."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.heartbeats.forget_silent()
            self.occupancy.forget_silent()
            self.quotas.forget(monotonic())

    async def send_calls(self) -> None:
        """Send calls of random organisations to random targets."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.load.calls_per_s))
            organisation = self.load.draw_organisation(self.rng)
            allowance = self.find_allowance(organisation)
            if self.quotas.admit(organisation, allowance, monotonic()) is None:
                asyncio.get_running_loop().call_later(
                    CALL_S * (0.5 + self.rng.random()), self.end_call, self.begin(self.calls)
                )

    async def run_items(self) -> None:
        """Run batch items at random targets."""
        while True:
            await asyncio.sleep(self.rng.expovariate(ITEMS_PER_HOST / ITEM_S))
            target = self.begin(self.items)
            asyncio.get_running_loop().call_later(ITEM_S, self.end, self.items, target)

    def begin(self, counts: Counter[TargetNumber]) -> TargetNumber:
        """Count a new call or item at the less loaded of two targets and return the target."""
        drawn = [TargetId(f"t{self.rng.randrange(self.load.targets)}") for _ in range(2)]
        target = number_target(min(drawn, key=self.occupancy.in_flight))
        counts[target] += 1
        self.occupancy.changed.set()
        return target

    def end(self, counts: Counter[TargetNumber], target: TargetNumber) -> None:
        """Count the end of a call or item."""
        counts[target] -= 1
        self.results.setdefault(target, ResultCount()).add(1, 0)
        self.occupancy.changed.set()

    def end_call(self, target: TargetNumber) -> None:
        """Count the end of a call."""
        self.end(self.calls, target)


def make_address(number: int) -> str:
    """Return the address of a host."""
    return f"10.{number // 250}.0.{number % 250 + 1}:9000"


def make_fleet(count: int, load: Load, seed: int, slow_link: float, fast_link: float) -> Net:
    """Return a fleet; every other host has the slow link."""
    net = Net(random.Random(seed))
    for number in range(count):
        link = fast_link if number % 2 else slow_link
        Host(net, number, load, link, seed * 1000 + number)
    return net


def find_aggregator(net: Net) -> Host:
    """Return the host that aggregates first according to most hosts."""
    votes = Counter(
        host.occupancy.aggregators[0] for host in net.hosts.values() if host.occupancy.aggregators
    )
    first = votes.most_common(1)[0][0]
    return next(host for host in net.hosts.values() if host.incarnation == first)


def walk(value: Any, seen: set[int]) -> Iterator[int]:
    """Yield the sizes of a value and of what it refers to; each object once."""
    if id(value) in seen or isinstance(value, type) or callable(value):
        return
    seen.add(id(value))
    yield sys.getsizeof(value)
    if isinstance(value, dict):
        for key, row in value.items():
            yield from walk(key, seen)
            yield from walk(row, seen)
    elif isinstance(value, list | tuple | set | frozenset | deque):
        for row in value:
            yield from walk(row, seen)
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            yield from walk(getattr(value, name), seen)
    elif hasattr(value, "__dict__"):
        yield from walk(vars(value), seen)
    for name in getattr(type(value), "__slots__", ()):
        if not isinstance(value, msgspec.Struct) and hasattr(value, name):
            yield from walk(getattr(value, name), seen)


def measure_stores(host: Host) -> dict[str, int]:
    """Return the bytes of each store of a host."""
    own, aggregation = host.occupancy, host.occupancy.aggregation
    ledger = aggregation.ledger
    stores = {
        "transport buffer": host.link.buffer,
        "heartbeats": host.heartbeats.heard,
        "reports": aggregation.reports,
        "results by host": aggregation.known_results,
        "results of all": (aggregation.results, aggregation.sent_failures),
        "received sums": own.heard,
        "results by aggregator": (own.known_results, own.own_results),
        "own reports": own.sent,
        "grant counts": ledger.counts,
        "grant rates": ledger.average_rates,
        "grant windows": ledger.windows,
        "silent hosts": ledger.silent,
    }
    return {name: sum(walk(store, set())) for name, store in stores.items()}


def count_entries(host: Host) -> dict[str, int]:
    """Return the number of entries of the stores with two keys."""
    aggregation = host.occupancy.aggregation
    ledger = aggregation.ledger
    return {
        "reports": len(aggregation.reports),
        "results by host": sum(map(len, aggregation.known_results.values())),
        "grant counts": sum(map(len, ledger.counts.values())),
        "grants in windows": sum(len(row.grants) for row in ledger.windows.values()),
        "transport buffer": len(host.link.buffer),
    }


@dataclass
class Deltas:
    """Estimates the bytes of digests that contain only what changed.

    :ivar full: bytes of the sums that were sent, once for all hosts.
    :ivar changed: bytes of what changed since the digest that a host has confirmed.
    :ivar former: the last sums of each aggregator.
    """

    full: int = 0
    changed: int = 0
    former: dict[Incarnation, deque[list[Any]]] = field(default_factory=dict)

    def watch(self, host: Host) -> None:
        """Count the digests of a host."""
        send = host.occupancy._send_digests

        def count(sums: bytes, *, sends_all: bool) -> None:
            send(sums, sends_all=sends_all)
            if sends_all:
                self.add(host.incarnation, sums)

        host.occupancy._send_digests = count  # type: ignore[method-assign]

    def add(self, aggregator: Incarnation, raw: bytes) -> None:
        """Count one digest; every :data:`FULL_DIGEST`-th is sent in full."""
        sums = msgspec.msgpack.decode(raw, strict=False)
        former = self.former.setdefault(aggregator, deque(maxlen=CONFIRMED_DIGEST))
        if len(former) == CONFIRMED_DIGEST:
            rows = [drop_same(row, known) for row, known in zip(sums, former[0], strict=True)]
            size = len(msgspec.msgpack.encode(rows))
            self.changed += round((size * (FULL_DIGEST - 1) + len(raw)) / FULL_DIGEST)
            self.full += len(raw)
        former.append(sums)


def drop_same(row: Any, known: Any) -> Any:
    """Return what changed of one field of sums; entries that vanished are sent as None."""
    if not isinstance(row, dict):
        return None if row == known else row
    gone = dict.fromkeys(known.keys() - row.keys())
    return {key: value for key, value in row.items() if known.get(key) != value} | gone


async def measure_delays(net: Net, samples: int) -> list[float]:
    """Return the seconds from a change at a random host until all hosts know of it, by sample."""
    found = []
    for sample in range(samples):
        target = number_target(TargetId(f"probe-{sample}"))
        host = net.rng.choice([row for row in net.hosts.values() if row.address not in net.down])
        host.calls[target] += 1
        host.occupancy.changed.set()
        begun = monotonic()
        missing = [
            row for row in net.hosts.values() if row is not host and row.address not in net.down
        ]
        while missing and monotonic() - begun < 5.0:
            await asyncio.sleep(0.002)
            missing = [row for row in missing if not row.occupancy.remote_in_flight.get(target, 0)]
        found.append(monotonic() - begun)
        del host.calls[target]
        await asyncio.sleep(0.05)
    return found


def summarise_bytes(rows: dict[str, Counter[str]], hosts: int, took_s: float) -> dict[str, Any]:
    """Return kB per second of the busiest and the median host."""
    totals = sorted(sum(row.values()) / took_s / 1000 for row in rows.values())
    totals = [0.0] * (hosts - len(totals)) + totals
    busiest = max(rows.values(), key=lambda row: sum(row.values()))
    return {
        "busiest": round(totals[-1], 1),
        "median": round(statistics.median(totals), 1),
        "busiest_by_kind": {
            KINDS[kind]: round(size / took_s / 1000, 1) for kind, size in busiest.items()
        },
    }


async def run_fleet(arguments: argparse.Namespace, count: int) -> dict[str, Any]:
    """Run one fleet and return its figures."""
    load = Load(arguments.targets, arguments.organisations, arguments.calls_per_s)
    slow, fast = arguments.slow_link * 125_000, arguments.fast_link * 125_000
    net = make_fleet(count, load, arguments.seed, slow, fast)
    deltas = Deltas()
    for host in net.hosts.values():
        host.start()
        deltas.watch(host)
    await asyncio.sleep(arguments.warm_s)
    start = {"sent": summarise_bytes(net.sent, count, arguments.warm_s)}
    net.reset()
    deltas.full, deltas.changed = 0, 0
    net.loss = arguments.loss
    begun = monotonic()
    await asyncio.sleep(arguments.run_s)
    took_s = monotonic() - begun
    aggregator = find_aggregator(net)
    figures = {
        "hosts": count,
        "start": start,
        "sent": summarise_bytes(net.sent, count, took_s),
        "received": summarise_bytes(net.received, count, took_s),
        "delta_share": round(deltas.changed / max(1, deltas.full), 2),
        "datagrams_per_s": round(max(net.datagrams.values()) / took_s),
        "largest_datagram": net.largest,
        "first_aggregator": aggregator.number,
        "aggregator_link_kB_per_s": aggregator.link.bytes_per_s / 1000,
        "max_buffered_kB": round(
            max(host.link.max_buffered_bytes for host in net.hosts.values()) / 1000
        ),
        "stores_kB": {
            name: round(size / 1000, 1) for name, size in measure_stores(aggregator).items()
        },
        "entries": count_entries(aggregator),
    }
    if arguments.cut:
        figures["stores_kB_while_cut"] = await measure_cut(net, aggregator)
    delays = sorted(await measure_delays(net, arguments.delays))
    if delays:
        figures["delay_ms"] = {
            "median": round(statistics.median(delays) * 1000),
            "longest": round(delays[-1] * 1000),
        }
        figures["delay_ms_after_loss"] = await measure_losses(net, arguments.delays)
    for host in net.hosts.values():
        host.stop()
    return figures


async def measure_cut(net: Net, aggregator: Host) -> dict[str, float]:
    """Return the stores of an aggregator after a third of the hosts was cut off for 3 s; they come
    back after that."""
    others = [host for host in net.hosts.values() if host is not aggregator]
    net.down = {host.address for host in others[::3]}
    await asyncio.sleep(3.0)
    stores = {name: round(size / 1000, 1) for name, size in measure_stores(aggregator).items()}
    net.down = set()
    await asyncio.sleep(1.0)
    return stores


async def measure_losses(net: Net, samples: int) -> dict[str, list[int]]:
    """Return the milliseconds until all hosts know of changes after a relay or the first aggregator
    is lost, in the order of the changes."""
    found = {}
    first = find_aggregator(net)
    relays = first.occupancy._choose_relays(first.occupancy.aggregation.reports)
    for name, lost in (("relay", relays[:1]), ("aggregator", [first.incarnation])):
        net.down |= {host.address for host in net.hosts.values() if host.incarnation in lost}
        delays = await measure_delays(net, samples)
        found[name] = [round(delay * 1000) for delay in delays]
    return found


async def record(arguments: argparse.Namespace, count: int) -> tuple[Net, str]:
    """Run a fleet and record what its first aggregator receives."""
    load = Load(arguments.targets, arguments.organisations, arguments.calls_per_s)
    net = make_fleet(count, load, arguments.seed, 1e9, 1e9)
    for host in net.hosts.values():
        host.start()
    await asyncio.sleep(3.0)
    net.watched = find_aggregator(net).address
    for host in net.hosts.values():
        host.heartbeats.send(host.make_heartbeat(), [net.hosts[net.watched].presence])
    await asyncio.sleep(arguments.run_s)
    for host in net.hosts.values():
        host.stop()
    return net, net.watched


async def replay(arguments: argparse.Namespace, net: Net, address: str) -> list[str]:
    """Replay the recorded datagrams to one host and return its allocations by site."""
    former = net.hosts[address]
    alone = Net(random.Random(1))
    load = Load(arguments.targets, arguments.organisations, arguments.calls_per_s)
    host = Host(alone, former.number, load, arguments.slow_link * 125_000, 1)
    host.presence, host.incarnation = former.presence, former.incarnation
    host.occupancy.own = former.incarnation
    host.find_allowance = former.find_allowance  # type: ignore[method-assign]
    host.occupancy.aggregation.ledger.find_allowance = former.find_allowance
    host.occupancy.aggregation.ledger.list_incarnations = lambda: {
        row.incarnation for row in net.hosts.values()
    }
    alone.hosts = {host.address: host}
    tracemalloc.start(6)
    before = tracemalloc.take_snapshot()
    host.start(loaded=False)
    begun, first = monotonic(), net.recorded[0][0]
    for at, raw, source in net.recorded:
        if (wait_s := begun + at - first - monotonic()) > 0:
            await asyncio.sleep(wait_s)
        host.socket.take(raw, source)
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    rows = after.compare_to(before, "lineno")
    kept = [row for row in rows if row.size_diff > 10_000]
    total = sum(row.size_diff for row in rows)
    host.stop()
    return [f"total {total / 1000:.0f} kB", *map(str, kept[:25])]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[9, 75, 165, 300, 400])
    parser.add_argument("--targets", type=int, default=45)
    parser.add_argument("--organisations", type=int, default=73)
    parser.add_argument("--calls-per-s", type=float, default=1.0, help="calls of each host")
    parser.add_argument("--slow-link", type=float, default=15.0, help="Mbit/s of every other host")
    parser.add_argument("--fast-link", type=float, default=100.0, help="Mbit/s of the others")
    parser.add_argument("--loss", type=float, default=0.0, help="share of lost datagrams")
    parser.add_argument("--warm-s", type=float, default=4.0, help="seconds until measuring begins")
    parser.add_argument("--run-s", type=float, default=6.0, help="measured seconds")
    parser.add_argument("--delays", type=int, default=10, help="measured changes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cut", action="store_true", help="cut off a third of the hosts for 3 s")
    parser.add_argument("--direct", action="store_true", help="no relays, as up to 80 hosts")
    parser.add_argument(
        "--long-gaps", action="store_true", help="relays, with the gaps of --direct"
    )
    parser.add_argument("--sites", action="store_true", help="allocations of the first aggregator")
    return parser


def main() -> None:
    """Run the fleets of the command line."""
    arguments = make_parser().parse_args()
    logger.remove()
    if arguments.direct:
        occupancy.MAX_DIRECT_RECEIVERS = 10**9
    if arguments.direct or arguments.long_gaps:
        occupancy.find_digest_gap_s = lambda hosts: (
            occupancy.DIGEST_GAP_S + occupancy.DIGEST_GAP_PER_PEER_S * hosts
        )
    for count in arguments.hosts:
        if arguments.sites:
            net, address = run_virtual(record(arguments, count))
            print("\n".join(run_virtual(replay(arguments, net, address))), flush=True)
        else:
            figures = run_virtual(run_fleet(arguments, count))
            print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
