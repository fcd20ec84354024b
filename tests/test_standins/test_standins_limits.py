"""The stand-ins of the key-value service refuse what the service refuses.

A fault that shows only beyond such a limit is invisible to every test whose stand-in has none.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.platform.store import PAGE_BYTES, PlatformStoreStandin
from gradepoint.errors import KvError, KvRejected
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import Delete, Expect, Put, Transaction
from gradepoint.platform.store import PlatformStore
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.virtual_network import run_on_network

LIMITS = KvLimits()


def write_value(excess: int) -> Transaction:
    """Return a write whose value is *excess* bytes larger than the limit."""
    return Transaction((), (Put("k", bytes(LIMITS.value_bytes + excess)),))


def write_key(excess: int) -> Transaction:
    """Return a write whose key is *excess* bytes longer than the limit; 'ü' takes two bytes."""
    return Transaction((), (Put("ü" + "k" * (LIMITS.key_bytes - 2 + excess), b""),))


def write_entries(excess: int) -> Transaction:
    """Return a transaction of all kinds of entries, *excess* more than the limit."""
    puts = tuple(Put(f"k{number}", b"") for number in range(LIMITS.entries - 2 + excess))
    return Transaction((Expect("other", 0),), puts, (Delete("gone"),))


BOUNDARIES = pytest.mark.parametrize(
    ("excess", "accepted"), [(-1, True), (0, True), (1, False)], ids=["below", "at", "above"]
)
WRITES = pytest.mark.parametrize("make", [write_value, write_key, write_entries])


@WRITES
@BOUNDARIES
def test_memory_store_refuses_what_exceeds_a_limit(
    make: Callable[[int], Transaction], excess: int, accepted: bool
) -> None:
    async def work() -> None:
        store = MemoryKv()
        client = MemoryKvClient(store)
        if accepted:
            assert (await client.transact(make(excess))).succeeded
            return
        with pytest.raises(KvRejected) as caught:
            await client.transact(make(excess))
        assert caught.value.size == (caught.value.limit or 0) + 1
        assert not store.keys

    run_virtual(work())


@WRITES
@BOUNDARIES
def test_platform_store_refuses_what_exceeds_a_limit(
    make: Callable[[int], Transaction], excess: int, accepted: bool
) -> None:
    async def work() -> None:
        store = PlatformStoreStandin()
        client = PlatformStore(await store.start(), 1.5, 20.0)
        if accepted:
            assert (await client.transact(make(excess))).succeeded
        else:
            with pytest.raises(KvError):
                await client.transact(make(excess))
            assert not store.keys.keys
        client.http.close()
        store.server.abort()

    run_on_network(work(), 1)


def test_platform_store_refuses_writes_to_keys_of_others() -> None:
    async def work() -> None:
        store = PlatformStoreStandin()
        client = PlatformStore(await store.start(), 1.5, 20.0)
        for key in ("op/config", "servers/t0"):
            with pytest.raises(KvError):
                await client.transact(Transaction((), (Put(key, b""),)))
        assert not store.keys.keys
        client.http.close()
        store.server.abort()

    run_on_network(work(), 1)


def test_page_of_a_range_read_is_limited_by_bytes() -> None:
    """A reader that takes the first page for all keys loses the others."""

    async def work() -> None:
        store = PlatformStoreStandin()
        for number in range(3):
            store.put(f"p/{number}", bytes(PAGE_BYTES // 2))
        client = PlatformStore(await store.start(), 1.5, 20.0)
        assert len((await client.range("p/")).items) == 3
        assert store.calls["/api/kv-range"] == 2
        client.http.close()
        store.server.abort()

    run_on_network(work(), 1)
