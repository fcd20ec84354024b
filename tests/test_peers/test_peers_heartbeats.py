"""Heartbeats, the datagram decoder, and presence of hosts in the key-value service."""

from __future__ import annotations

import asyncio

import msgspec

from gradepoint.ids import ConfigVersion, HostName, Incarnation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, DatagramSocket, Heartbeat, Message
from gradepoint.peers.heartbeats import MAX_GAP_S, STALE_GAPS, Heartbeats, must_send_now
from gradepoint.peers.presence import (
    LEASE_TTL_S,
    PRESENCE_PREFIX,
    HostPresence,
    HostTable,
    Presence,
)
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

STALE_S = MAX_GAP_S * STALE_GAPS


def make_heartbeat(name: str, version: int = 1, watching: bool = False) -> Heartbeat:
    """Return a heartbeat; the host named ``cut`` does not reach the key-value service."""
    incarnation = Incarnation(name)
    return Heartbeat(
        DATAGRAM_FORMAT, incarnation, ConfigVersion(version), name != "cut", watching, {}, [], {}, 0
    )


class Recorder(DatagramSocket):
    """A socket that records the addresses it sends to."""

    def __init__(self) -> None:
        super().__init__(lambda *_: None)
        self.sent: list[str] = []

    def send(self, raw: bytes, address: str) -> None:
        """Record the address."""
        self.sent.append(address)


def make_heartbeats() -> Heartbeats:
    """Return the heartbeats of one host."""
    return Heartbeats(Recorder(), lambda: make_heartbeat("own"))


def test_silent_hosts_are_dropped() -> None:
    async def main() -> None:
        heartbeats = make_heartbeats()
        heartbeats.receive(make_heartbeat("a"), "127.0.0.2:9")
        heartbeats.receive(make_heartbeat("cut"), "127.0.0.3:9")
        assert heartbeats.helpers() == ["127.0.0.2:9"]
        await asyncio.sleep(STALE_S * 0.8)
        heartbeats.receive(make_heartbeat("a"), "127.0.0.2:9")
        await asyncio.sleep(STALE_S * 0.8)
        heartbeats.forget_silent()
        assert heartbeats.addresses() == {"a": "127.0.0.2:9"}

    run_virtual(main())


def test_new_host_is_answered_once() -> None:
    heartbeats = make_heartbeats()
    for _ in range(3):
        heartbeats.receive(make_heartbeat("a"), "127.0.0.2:9")
    assert heartbeats.socket.sent == ["127.0.0.2:9"]  # type: ignore[attr-defined]


def test_newly_listed_host_gets_a_heartbeat_at_once() -> None:
    # The regular interval is 6 s with 300 hosts; those that started together learned from each
    # other only then, and what the others have in flight later still.
    async def main() -> None:
        heartbeats = make_heartbeats()
        listed = [make_presence("own")]
        task = asyncio.ensure_future(heartbeats.run(lambda: listed))
        await asyncio.sleep(0.05)
        heartbeats.receive(make_heartbeat("heard"), "127.0.0.1:1")
        sent: list[str] = heartbeats.socket.sent  # type: ignore[attr-defined]
        sent.clear()
        listed += [make_presence("heard"), *(make_presence(f"new-{n}") for n in range(299))]
        await asyncio.sleep(0.5)
        assert len(sent) == 299
        task.cancel()

    run_virtual(main())


def test_find_hosts_with_a_newer_configuration() -> None:
    heartbeats = make_heartbeats()
    assert not heartbeats.find_newer_config(ConfigVersion(0))
    heartbeats.receive(make_heartbeat("a", version=3), "127.0.0.1:9")
    heartbeats.receive(make_heartbeat("b", version=8), "127.0.0.2:9")
    heartbeats.receive(make_heartbeat("c", version=8), "127.0.0.3:9")
    assert len(heartbeats.find_newer_config(ConfigVersion(2))) == 3
    assert heartbeats.find_newer_config(ConfigVersion(3)) == ["127.0.0.2:9", "127.0.0.3:9"]
    assert not heartbeats.find_newer_config(ConfigVersion(8))


def test_other_formats_and_malformed_datagrams_are_dropped() -> None:
    heard: list[Message] = []
    socket = DatagramSocket(lambda message, _: heard.append(message))
    heartbeat = make_heartbeat("a")
    for raw in (heartbeat, msgspec.structs.replace(heartbeat, format=99)):
        socket.take(msgspec.msgpack.encode(raw), "")
    socket.take(b"not a datagram", "")
    assert heard == [heartbeat]


def test_only_urgent_changes_are_sent_at_once() -> None:
    heartbeat = make_heartbeat("own")
    assert must_send_now(heartbeat, None)
    assert not must_send_now(make_heartbeat("own", version=2), heartbeat)
    assert must_send_now(make_heartbeat("own", watching=True), heartbeat)


def make_presence(name: str) -> HostPresence:
    """Return a host's presence with *name* as its incarnation."""
    return HostPresence(HostName("host"), Incarnation(name), "a", "127.0.0.1:1")


def test_lease_is_renewed_expires_and_is_obtained_again() -> None:
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


def test_lease_is_used_although_the_first_write_was_refused() -> None:
    # A new lease for each refused write doubled the writes of hosts that start together.
    async def main() -> None:
        store = MemoryKv()
        refused = [KvFault.DOWN, KvFault.DOWN]
        client = MemoryKvClient(
            store, lambda kind: refused.pop() if kind == "txn" and refused else KvFault.NONE
        )
        presence = Presence(client, make_presence("life"))
        task = asyncio.ensure_future(presence.run())
        await asyncio.sleep(1.0)
        assert presence.holds_lease and len(store.leases) == 1
        assert presence.valid_until <= store.leases[presence.lease][1]
        task.cancel()

    run_virtual(main())


def test_host_table_follows_hosts_and_incarnations() -> None:
    table = HostTable()
    key = PRESENCE_PREFIX + "host"
    table.put(key, msgspec.json.encode(make_presence("host:one")))
    table.put(key, msgspec.json.encode(make_presence("host:two")))
    assert table.incarnations == {"host:two"}
    table.remove(key)
    table.remove(key)
    assert not table.hosts
