"""Datagrams and presence of hosts."""

from __future__ import annotations

import asyncio

import msgspec

from gradepoint.gateway.app import SWEEP_S
from gradepoint.ids import ConfigVersion, HostName, Incarnation
from gradepoint.peers.beats import (
    KEPT_S,
    LONGEST_GAP_S,
    STALE_GAPS,
    TELLER_STALE_S,
    Beats,
    needs_telling,
)
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Beat, DatagramSocket, Member, Message
from gradepoint.peers.members import MemberTable, strip_beat
from gradepoint.peers.presence import (
    LEASE_TTL_S,
    PRESENCE_PREFIX,
    HostPresence,
    HostTable,
    Presence,
)
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic

STALE_S = LONGEST_GAP_S * STALE_GAPS


def make_beat(name: str, version: int = 1, watching: bool = False) -> Beat:
    """Return a datagram."""
    life = Incarnation(name)
    return Beat(
        DATAGRAM_FORMAT, life, ConfigVersion(version), name != "cut", watching, {}, [], {}, 0
    )


class Recorder(DatagramSocket):
    """A socket that keeps what is sent."""

    def __init__(self) -> None:
        super().__init__(lambda *_: None)
        self.sent: list[str] = []

    def send(self, raw: bytes, address: str) -> None:
        """Keep the address."""
        self.sent.append(address)


def make_beats() -> Beats:
    """Return what one host hears."""
    return Beats(Recorder(), lambda: make_beat("own"))


async def sweep_for(beats: Beats, seconds: float) -> None:
    """Let time pass in which the host looks who is silent, as it does all the time."""
    until = monotonic() + seconds
    while monotonic() < until:
        await asyncio.sleep(min(SWEEP_S, until - monotonic()))
        beats.forget_silent()


def test_hosts_are_heard_and_forgotten() -> None:
    async def main() -> None:
        beats = make_beats()
        beats.hear(make_beat("a"), "127.0.0.2:9")
        beats.hear(make_beat("cut"), "127.0.0.3:9")
        assert beats.helpers() == ["127.0.0.2:9"]
        await sweep_for(beats, STALE_S * 0.8)
        beats.hear(make_beat("a"), "127.0.0.2:9")
        await sweep_for(beats, STALE_S * 0.8)
        assert beats.addresses() == {"a": "127.0.0.2:9"}

    run_virtual(main())


def test_a_host_that_was_not_known_is_answered_once() -> None:
    beats = make_beats()
    for _ in range(3):
        beats.hear(make_beat("a"), "127.0.0.2:9")
    assert beats.socket.sent == ["127.0.0.2:9"]  # type: ignore[attr-defined]


def test_the_hosts_with_a_newer_configuration_are_known() -> None:
    beats = make_beats()
    assert not beats.find_newer_config(ConfigVersion(0))
    beats.hear(make_beat("a", version=3), "127.0.0.1:9")
    beats.hear(make_beat("b", version=8), "127.0.0.2:9")
    beats.hear(make_beat("c", version=8), "127.0.0.3:9")
    assert len(beats.find_newer_config(ConfigVersion(2))) == 3
    assert beats.find_newer_config(ConfigVersion(3)) == ["127.0.0.2:9", "127.0.0.3:9"]
    assert not beats.find_newer_config(ConfigVersion(8))


def test_other_formats_and_spoiled_datagrams_are_dropped() -> None:
    heard: list[Message] = []
    socket = DatagramSocket(lambda message, _: heard.append(message))
    beat = make_beat("a")
    for raw in (beat, msgspec.structs.replace(beat, format=99)):
        socket.take(msgspec.msgpack.encode(raw), "")
    socket.take(b"not a datagram", "")
    assert heard == [beat]


def test_only_what_cannot_wait_is_told_at_once() -> None:
    beat = make_beat("own")
    assert needs_telling(beat, None)
    assert not needs_telling(make_beat("own", version=2), beat)
    assert needs_telling(make_beat("own", watching=True), beat)


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


def tell(beats: Beats, teller: str, lives: list[str], version: int = 1) -> None:
    """Have a host hear which hosts an aggregator hears."""
    table = MemberTable()
    for life in lives:
        table.put(Member(make_beat(life), f"{life}:9"))
    beats.hear_members(Incarnation(teller), table.tell(ConfigVersion(version)))


def test_a_host_lives_while_any_aggregator_hears_it() -> None:
    async def main() -> None:
        beats = make_beats()
        tell(beats, "x", ["x", "y", "a"])
        tell(beats, "y", ["x", "y", "a", "b"])
        assert set(beats.heard) == {"x", "y", "a", "b"}
        beats.told[Incarnation("x")].table.remove(Incarnation("a"))
        await sweep_for(beats, TELLER_STALE_S * 0.9)
        assert "a" in beats.heard
        beats.told[Incarnation("y")].table.remove(Incarnation("a"))
        beats.forget_silent()
        assert set(beats.heard) == {"x", "y", "b"}

    run_virtual(main())


def test_known_hosts_are_kept_until_the_next_aggregators_tell() -> None:
    async def main() -> None:
        beats = make_beats()
        tell(beats, "x", ["x", "a", "b", "c"])
        await sweep_for(beats, KEPT_S * 0.9)
        assert set(beats.heard) == {"x", "a", "b", "c"}
        # One that hears few says nothing of the others.
        tell(beats, "y", ["y"])
        assert set(beats.heard) == {"x", "a", "b", "c", "y"}
        await sweep_for(beats, KEPT_S * 0.2)
        assert not set(beats.heard) & {"x", "a", "b", "c"}

    run_virtual(main())


def test_an_aggregator_that_does_not_tell_is_not_chosen_for_a_while() -> None:
    async def main() -> None:
        beats = make_beats()
        tell(beats, "x", ["x", "y", "a"])
        beats.tellers = {Incarnation("x"): monotonic(), Incarnation("y"): monotonic()}
        await sweep_for(beats, TELLER_STALE_S / 2)
        tell(beats, "x", ["x", "y", "a"])
        await sweep_for(beats, TELLER_STALE_S / 2 + SWEEP_S)
        assert set(beats.find_tellers()) == {"x", "a"}
        # It may live all the same, and hears others' beats.
        assert set(beats.heard) == {"x", "y", "a"}

    run_virtual(main())


def test_a_host_that_stood_still_blames_nobody_and_trusts_nothing_from_before() -> None:
    async def main() -> None:
        beats = make_beats()
        tell(beats, "x", ["x", "a"])
        beats.forget_silent()
        await asyncio.sleep(5.0)
        beats.forget_silent()
        assert set(beats.heard) == {"x", "a"} and beats.stood_still
        tell(beats, "x", ["x", "a"])
        assert not beats.stood_still
        await asyncio.sleep(5.0)
        beats.forget_silent()
        # Nobody tells any more after it.
        await sweep_for(beats, KEPT_S + SWEEP_S)
        assert not beats.heard

    run_virtual(main())


def test_a_newer_configuration_is_asked_for_where_the_members_are_told() -> None:
    beats = make_beats()
    tell(beats, "x", ["x", "a"], version=4)
    assert beats.find_newer_config(ConfigVersion(3)) == ["x:9"]
    assert not beats.find_newer_config(ConfigVersion(4))


def test_what_only_a_host_itself_tells_is_kept_when_others_tell_of_it() -> None:
    beats = make_beats()
    said = msgspec.structs.replace(make_beat("a", watching=True), views={"live": 7}, jobs=[5])
    beats.hear(said, "a:9")
    changed = msgspec.structs.replace(said, number=3, reaches_store=False)
    table = MemberTable()
    table.put(Member(strip_beat(changed), "a:9"))
    beats.hear_members(Incarnation("x"), table.tell(ConfigVersion(1)))
    row = beats.heard[Incarnation("a")]
    assert not row.beat.reaches_store and not beats.helpers()
    assert (row.beat.views, row.beat.jobs) == ({"live": 7}, [5])
    assert beats.find_owner(5) == ("a", "a:9")


def test_jobs_are_told_directly_and_no_member_row_changes_for_them() -> None:
    beat = make_beat("own")
    with_job = msgspec.structs.replace(beat, jobs=[5])
    assert needs_telling(with_job, beat)
    assert strip_beat(with_job) == strip_beat(beat)
