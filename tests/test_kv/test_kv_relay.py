"""Watches of :class:`RelayedKv`, and refused calls that it relays."""

from __future__ import annotations

import asyncio
from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from bench.platform.store import PlatformStoreStandin
from gradepoint.errors import KvRejected
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.relay import WATCH_BATCH_DELAY_S, RelayedKv
from gradepoint.kv.service import Put, RangeResult, Transaction, WatchEvent, WatchPage
from gradepoint.platform.store import PlatformStore
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_server import HttpServer
from tests.support.virtual_network import run_on_network

if TYPE_CHECKING:
    from gradepoint.kv.relay import LongPollService


class LongPollClient(MemoryKvClient):
    """A long-polling service that counts its watch calls."""

    watch_s = 10.0
    call_count = 0

    async def wait_for_changes(self, prefix: str, revision: int, wait_s: float) -> WatchPage:
        """See :meth:`LongPollService.wait_for_changes`."""
        self.call_count += 1
        async with asyncio.timeout(wait_s):
            while self.store.revision <= revision:
                await asyncio.sleep(0.001)
        rows = [row for row in self.store.history if row.revision > revision]
        return WatchPage(tuple(rows), self.store.revision)

    async def read_over_new_connection(self, prefix: str) -> RangeResult:
        """See :meth:`LongPollService.read_over_new_connection`."""
        return await self.range(prefix)


def test_first_change_of_a_group_is_delivered_at_once_and_the_rest_are_batched() -> None:
    """Every watch call has a price. Without the delay between calls, each change of a group costs
    a call of its own; a delay before the first call would hold back the first change.
    """

    async def work() -> None:
        store = MemoryKv()
        client = LongPollClient(store)
        direct: LongPollService = client
        seen: list[WatchEvent] = []

        async def watch() -> None:
            async for event in RelayedKv(direct, HttpClient(), list).watch("", 2):
                seen.append(event)

        watching = asyncio.ensure_future(watch())
        await asyncio.sleep(1.0)
        for number in range(20):
            store.revision += 1
            store.history.append(WatchEvent(f"k{number}", b"", store.revision))
            await asyncio.sleep(WATCH_BATCH_DELAY_S / 10)
            assert seen
        await asyncio.sleep(WATCH_BATCH_DELAY_S * 2)
        assert len(seen) == 20
        assert client.call_count <= 5
        watching.cancel()

    run_virtual(work())


def test_relayed_watch_goes_on_behind_a_change_that_cannot_be_read() -> None:
    """Without the revision of that change, the host does not know where the watch goes on."""

    async def work() -> None:
        store = PlatformStoreStandin()
        direct = PlatformStore(await store.start(), 0.3, 20.0)
        server = HttpServer(RelayedKv(direct, HttpClient(), list).answer_peer)
        await server.start("127.0.0.1", 0)
        seen: list[str] = []

        async def watch(kv: RelayedKv) -> None:
            async for event in kv.watch("p/", 1):
                seen.append(event.key)

        with closing(direct.http), closing(HttpClient()) as http:
            unreachable = PlatformStore("127.0.0.1:9", 0.3, 20.0)
            cut_off = RelayedKv(unreachable, http, lambda: [f"127.0.0.1:{server.port}"])
            watching = asyncio.ensure_future(watch(cut_off))
            for key in ("p/a", "p/\ud83d", "p/b"):
                store.put(key, b"x")
                await asyncio.sleep(1.0)
            store.put("p/\ud83d", b"y")
            await asyncio.sleep(1.0)
            assert not cut_off.reaches_store
            assert seen == ["p/a", "p/b"]
            assert store.calls["/api/kv-watch"] < 10
            watching.cancel()
        server.abort()
        store.server.abort()

    run_on_network(work(), 1)


def test_refused_write_is_not_an_outage_and_keeps_its_key_through_a_relay() -> None:
    """A host that took a refusal for an outage sent all of its calls through other hosts."""

    async def work() -> None:
        store = MemoryKv(limits=KvLimits(value_bytes=4))
        helper = RelayedKv(LongPollClient(store), HttpClient(), list)
        server = HttpServer(helper.answer_peer)
        await server.start("127.0.0.1", 0)
        with closing(HttpClient()) as http:
            cut_off = RelayedKv(
                LongPollClient(store, lambda _: KvFault.DOWN),
                http,
                lambda: [f"127.0.0.1:{server.port}"],
            )
            large = Transaction((), (Put("k", b"12345"),))
            for caller in (helper, cut_off):
                with pytest.raises(KvRejected) as caught:
                    await caller.transact(large)
                assert (caught.value.key, caught.value.size, caught.value.limit) == ("k", 5, 4)
            assert helper.reaches_store
            assert (await cut_off.transact(Transaction((), (Put("k", b"1234"),)))).succeeded
        server.abort()

    run_on_network(work(), 1)
