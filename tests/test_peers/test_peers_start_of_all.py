"""All hosts start at the same time, and the store refuses calls beyond the rate they share."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from bench.platform.store import PAGE_ITEMS, PlatformStoreStandin, RateLimit
from gradepoint.ids import HostName, Incarnation
from gradepoint.kv.relay import RelayedKv
from gradepoint.kv.view import PrefixView
from gradepoint.peers.datagrams import DatagramSocket
from gradepoint.peers.heartbeats import Heartbeats
from gradepoint.peers.presence import LIVE_PREFIX, PRESENCE_PREFIX, HostPresence, Presence
from gradepoint.peers.watchers import Watchers
from gradepoint.platform.store import PlatformStore
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import HttpClient
from tests.support.virtual_network import run_on_network

READS_PER_S, WRITES_PER_S = 6000, 1200
PREFIXES = {"operator": "op/", "targets": "servers/", "live": LIVE_PREFIX}
TARGETS_PER_HOST = 45 / 68
FLOOR_FACTOR = 1.5


class IgnoredView:
    """A follower without effect."""

    def reset(self, result: object) -> None:
        """See :meth:`Follower.reset`."""

    def change(self, event: object) -> None:
        """See :meth:`Follower.change`."""


def make_host(name: str, address: str) -> tuple[Watchers, Presence]:
    """Return the parts of a host that call the store when it starts."""
    http = HttpClient()
    heartbeats = Heartbeats(DatagramSocket(lambda *_: None), lambda: None)  # type: ignore[arg-type,return-value]
    kv = RelayedKv(PlatformStore(address, 1.5, 20.0), http, list)
    own = HostPresence(HostName(name), Incarnation(f"{name}:new"), "zone-a", "127.0.0.1:1")
    views = {view: PrefixView(IgnoredView()) for view in PREFIXES}
    bounds = dict.fromkeys(PREFIXES, 4.0)
    watchers = Watchers(kv, own.incarnation, heartbeats, http, PREFIXES, views, bounds, set)
    return watchers, Presence(kv, own)


async def start_all(hosts: int, reads_per_s: float, writes_per_s: float) -> float:
    """Start all hosts after all were killed; return the seconds until each has read every view and
    is listed."""
    store = PlatformStoreStandin()
    address = await store.start()
    store.put("op/config", b"c")
    for number in range(round(hosts * TARGETS_PER_HOST)):
        store.put(f"servers/t{number}", b"t" * 150)
    made = [make_host(f"host-{number}", address) for number in range(hosts)]
    for _, presence in made:
        former = msgspec.structs.replace(presence.own, incarnation=Incarnation("former"))
        store.put(PRESENCE_PREFIX + presence.own.host, msgspec.json.encode(former))
    store.reads, store.writes = RateLimit(reads_per_s), RateLimit(writes_per_s)
    begun = monotonic()
    tasks = []
    for watchers, presence in made:
        tasks.append(asyncio.ensure_future(watchers._read_first()))
        tasks.append(asyncio.ensure_future(presence.run()))
    while not all(w.first_read.is_set() and presence.holds_lease for w, presence in made):
        await asyncio.sleep(0.005)
    took_s = monotonic() - begun
    for task in tasks:
        task.cancel()
    return took_s


@pytest.mark.parametrize("hosts", [30, 100, 300])
def test_start_of_all_hosts_is_bounded_by_the_rates_of_the_store(hosts: int) -> None:
    # Hosts that retried in step, asked for a new lease after each refused write, and read again
    # from the first page needed 1.2 s (100 hosts) and a minute (300 hosts).
    random.seed(hosts)
    unlimited_s = run_on_network(start_all(hosts, 0, 0), hosts)
    pages = sum(-(-keys // PAGE_ITEMS) for keys in (1, round(hosts * TARGETS_PER_HOST), hosts))
    floor_s = max(hosts * pages / READS_PER_S, hosts * 2 / WRITES_PER_S) + unlimited_s
    took_s = run_on_network(start_all(hosts, READS_PER_S, WRITES_PER_S), hosts)
    assert took_s <= FLOOR_FACTOR * floor_s
