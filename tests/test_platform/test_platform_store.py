"""The store's client against a stand-in server: outcomes of calls, leases and watches."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.platform.store import PAGE_ITEMS, PlatformStoreStandin, StoreFault
from gradepoint.errors import (
    KvError,
    KvHistoryLost,
    KvLeaseLapsed,
    KvRejected,
    KvUnavailable,
    KvUncertain,
)
from gradepoint.kv.follow import follow, read_snapshot
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import ABSENT, Delete, Expect, Put, RangeResult, Transaction, WatchEvent
from gradepoint.platform.store import PlatformStore
from gradepoint.wire.http_types import Request, Response
from tests.support.platform import until
from tests.support.virtual_network import run_on_network

Work = Callable[[PlatformStoreStandin, PlatformStore], Awaitable[None]]


def with_store(work: Work, timeout_s: float = 0.3) -> None:
    """Run *work* in virtual time with a stand-in server and a client of it."""

    async def main() -> None:
        store = PlatformStoreStandin()
        client = PlatformStore(await store.start(), timeout_s, 20.0)
        try:
            await work(store, client)
        finally:
            client.http.close()
            store.server.abort()

    run_on_network(main(), seed=1)


def write(key: str, value: bytes, revision: int = ABSENT, lease: int = 0) -> Transaction:
    """Return a write of *key* that is conditional on its *revision*."""
    return Transaction((Expect(key, revision),), (Put(key, value, lease),))


def test_keys_are_written_compared_read_and_deleted() -> None:
    async def work(_: PlatformStoreStandin, client: PlatformStore) -> None:
        first = await client.transact(write("a/ü", b"\x00one"))
        assert first.succeeded
        again = await client.transact(write("a/ü", b"two"))
        assert not again.succeeded
        assert [(row.key, row.value) for row in again.current] == [("a/ü", b"\x00one")]
        found = await client.get("a/ü")
        assert found is not None and found.revision == first.revision
        assert await client.get("none") is None
        deletion = Transaction((Expect("a/ü", first.revision),), (), (Delete("a/ü"),))
        assert (await client.transact(deletion)).succeeded
        assert await client.get("a/ü") is None

    with_store(work)


def test_a_range_reads_every_page() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        for number in range(PAGE_ITEMS * 2 + 3):
            store.put(f"p/{number:04d}", b"x")
        store.put("q/other", b"x")
        found = await client.range("p/")
        assert [item.key for item in found.items] == [f"p/{n:04d}" for n in range(103)]
        assert len((await client.range("p/", 7)).items) == 7

    with_store(work)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (StoreFault.BUSY, KvUnavailable),
        (StoreFault.MANY, KvUnavailable),
        (StoreFault.LOSE_RESPONSE, KvUncertain),
        (StoreFault.LATE, KvUncertain),
        (StoreFault.SILENT, KvUncertain),
    ],
)
def test_calls_without_effect_and_uncertain_calls_raise_different_errors(
    fault: StoreFault, error: type[Exception]
) -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        store.fault = fault
        with pytest.raises(error):
            await client.transact(write("k", b"v"))
        with pytest.raises((KvUnavailable, KvUncertain)):
            await client.get("k")

    with_store(work)


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, KvRejected),
        (403, KvRejected),
        (408, KvRejected),
        (413, KvRejected),
        (422, KvRejected),
        (429, KvUnavailable),
        (503, KvUnavailable),
        (500, KvUncertain),
        (502, KvUncertain),
    ],
)
def test_status_tells_final_from_passing_refusals(status: int, error: type[KvError]) -> None:
    """A refusal that is final was taken for an outage, and the same call was made again forever."""

    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        async def refuse(_: Request) -> Response:
            return Response(status)

        store.server.handler = refuse
        puts = (Put("small", b"1"), Put("large", b"12345"))
        with pytest.raises(error) as caught:
            await client.transact(Transaction((), puts))
        if isinstance(caught.value, KvRejected):
            assert (caught.value.key, caught.value.size) == ("large", 5)
            assert str(status) in caught.value.reason
        with pytest.raises(error):
            await client.get("k")

    with_store(work)


def test_write_above_the_known_limit_is_not_sent() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        client.limits = KvLimits(value_bytes=4)
        with pytest.raises(KvRejected) as caught:
            await client.transact(write("k", b"12345"))
        assert caught.value.log_fields == {
            "reason": "value too large",
            "key": "k",
            "size": 5,
            "limit": 4,
        }
        assert not store.calls

    with_store(work)


def test_call_to_an_unreachable_store_has_no_effect() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        store.server.abort()
        with pytest.raises(KvUnavailable):
            await client.transact(write("k", b"v"))

    with_store(work)


def test_revoked_lease_deletes_its_keys() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        lease = await client.grant_lease(5)
        await client.transact(write("k", b"v", lease=lease))
        assert await client.keep_lease(lease)
        await client.revoke_lease(lease)
        assert await client.get("k") is None
        assert not await client.keep_lease(lease)
        with pytest.raises(KvLeaseLapsed):
            await client.transact(write("k", b"v", lease=lease))

    with_store(work)


def test_watch_returns_changes_and_raises_when_history_is_lost() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        store.put("w/a", b"1")
        start = store.keys.revision
        store.put("w/b", b"2")
        store.delete("w/a")
        watch = client.watch("w/", start + 1)
        events = [await anext(watch), await anext(watch)]
        assert [(event.key, event.value) for event in events] == [("w/b", b"2"), ("w/a", None)]
        store.put("w/c", b"3")
        assert (await anext(watch)).key == "w/c"
        store.compact_history()
        with pytest.raises(KvHistoryLost):
            await anext(client.watch("w/", start))

    with_store(work)


class RecordingFollower:
    """A follower that records the keys that exist, and every full read."""

    def __init__(self) -> None:
        self.resets: list[set[str]] = []
        self.keys: set[str] = set()

    def reset(self, found: RangeResult) -> None:
        """Replace all keys."""
        self.keys = {item.key for item in found.items}
        self.resets.append(self.keys)

    def change(self, event: WatchEvent) -> None:
        """Apply one change."""
        if event.value is None:
            self.keys.discard(event.key)
        else:
            self.keys.add(event.key)


def test_following_continues_after_an_outage_and_after_lost_history() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        follower = RecordingFollower()
        store.fault = StoreFault.BUSY
        task = asyncio.ensure_future(follow(client, "f/", follower))
        await until(lambda: sum(store.calls.values()) > 1)
        store.put("f/a", b"1")
        store.fault = StoreFault.NONE
        await until(lambda: follower.keys == {"f/a"})
        store.put("f/b", b"1")
        await until(lambda: follower.keys == {"f/a", "f/b"})
        store.delete("f/a")
        store.put("f/c", b"1")
        store.compact_history()
        await until(lambda: follower.keys == {"f/b", "f/c"})
        task.cancel()

    with_store(work)


def test_following_from_a_known_revision_does_not_read_all_keys_again() -> None:
    async def work(store: PlatformStoreStandin, client: PlatformStore) -> None:
        follower = RecordingFollower()
        store.put("f/a", b"1")
        revision = await read_snapshot(client, "f/", follower)
        store.put("f/b", b"1")
        task = asyncio.ensure_future(follow(client, "f/", follower, revision))
        await until(lambda: follower.keys == {"f/a", "f/b"})
        assert len(follower.resets) == 1
        assert client.counts.reads == 1
        task.cancel()

    with_store(work)
