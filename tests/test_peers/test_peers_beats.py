"""Datagrams and presence of hosts."""

from __future__ import annotations

import asyncio

import msgspec

from gradepoint.ids import ConfigVersion, HostName, Incarnation, TargetId
from gradepoint.peers.beats import BEAT_FORMAT, LONGEST_GAP_S, STALE_GAPS, Beat, Beats
from gradepoint.peers.presence import (
    LEASE_TTL_S,
    PRESENCE_PREFIX,
    HostPresence,
    HostTable,
    Presence,
)
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

TARGET = TargetId("t0")
STALE_S = LONGEST_GAP_S * STALE_GAPS


def make_beat(name: str, version: int = 1, calls: int = 0, items: int = 0) -> Beat:
    """Return a datagram."""
    return Beat(
        BEAT_FORMAT,
        Incarnation(name),
        ConfigVersion(version),
        name != "cut",
        False,
        {},
        [],
        {TARGET: calls},
        {TARGET: items},
        {},
    )


def hear(beats: Beats, beat: Beat) -> None:
    """Let *beats* hear a datagram."""
    beats.hear(msgspec.msgpack.encode(beat))


def test_what_hosts_have_in_flight_is_added_up_and_forgotten() -> None:
    async def main() -> None:
        beats = Beats(lambda: make_beat("own"))
        hear(beats, make_beat("a", calls=2, items=1))
        hear(beats, make_beat("b", calls=4))
        assert beats.in_flight(TARGET) == 7
        assert beats.items_by_host(TARGET) == {"a": 1, "b": 0}
        await asyncio.sleep(STALE_S * 0.8)
        hear(beats, make_beat("a", calls=1))
        assert beats.in_flight(TARGET) == 5
        await asyncio.sleep(STALE_S * 0.8)
        beats.forget_silent()
        assert beats.in_flight(TARGET) == 1

    run_virtual(main())


def test_the_newest_configuration_is_known_and_other_formats_are_dropped() -> None:
    beats = Beats(lambda: make_beat("own"))
    assert beats.newest_config() is None
    hear(beats, make_beat("a", version=3))
    beats.hear(msgspec.msgpack.encode(make_beat("b", version=8)), "127.0.0.2:9")
    beats.hear(b"not a datagram")
    beats.hear(msgspec.msgpack.encode(msgspec.structs.replace(make_beat("c", 9), format=99)))
    assert beats.newest_config() == (8, "127.0.0.2:9")


def make_presence(name: str) -> HostPresence:
    """Return a host."""
    return HostPresence(HostName("host"), Incarnation(name), "a", "127.0.0.1:1")


def test_a_lease_is_kept_lapses_and_is_taken_anew() -> None:
    async def main() -> None:
        store = MemoryKv()
        faults = [KvFault.NONE]
        client = MemoryKvClient(store, lambda _: faults[0])
        presence = Presence(client, make_presence("life"))
        task = asyncio.ensure_future(presence.run())
        await asyncio.sleep(LEASE_TTL_S * 3)
        assert presence.holds_lease
        assert PRESENCE_PREFIX + "host" in store.keys
        faults[0] = KvFault.DOWN
        await asyncio.sleep(LEASE_TTL_S + 1)
        assert not presence.holds_lease
        store.expire()
        assert not store.keys
        faults[0] = KvFault.NONE
        await asyncio.sleep(2)
        assert presence.holds_lease and PRESENCE_PREFIX + "host" in store.keys
        task.cancel()
        await presence.withdraw()
        assert not store.keys and not presence.holds_lease

    run_virtual(main())


def test_the_table_follows_hosts_and_their_lives() -> None:
    table = HostTable()
    key = PRESENCE_PREFIX + "host"
    table.put(key, msgspec.json.encode(make_presence("one")))
    table.put(key, msgspec.json.encode(make_presence("two")))
    assert table.incarnations == {"two"}
    table.remove(key)
    table.remove(key)
    assert not table.hosts


def test_new_results_are_told_once() -> None:
    told: list[tuple[str, int, int]] = []
    beats = Beats(lambda: make_beat("own"), lambda *row: told.append(row))
    for good, bad in ((5, 1), (7, 1), (7, 1), (8, 4)):
        results = {TARGET: (good, bad)}
        hear(beats, msgspec.structs.replace(make_beat("a"), results=results))
    assert told == [(TARGET, 2, 0), (TARGET, 0, 0), (TARGET, 1, 3)]
