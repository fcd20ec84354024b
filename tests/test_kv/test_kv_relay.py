"""Calls to the key-value service, made directly or by another host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gradepoint.kv.relay import GATHERING_S, RelayedKv
from gradepoint.kv.service import RangeResult, WatchEvent, WatchPage
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.wire.http_client import HttpClient

if TYPE_CHECKING:
    from gradepoint.kv.relay import WaitingService


class WaitingClient(MemoryKvClient):
    """A service that waits for changes and counts how often it was asked to."""

    watch_s = 10.0
    asked = 0

    async def wait_for_changes(self, prefix: str, revision: int, wait_s: float) -> WatchPage:
        """See :meth:`WaitingService.wait_for_changes`."""
        self.asked += 1
        async with asyncio.timeout(wait_s):
            while self.store.revision <= revision:
                await asyncio.sleep(0.001)
        rows = [row for row in self.store.history if row.revision > revision]
        return WatchPage(tuple(rows), self.store.revision)

    async def read_now(self, prefix: str) -> RangeResult:
        """See :meth:`WaitingService.read_now`."""
        return await self.range(prefix)


def test_changes_that_come_together_are_gathered_and_the_first_is_told_at_once() -> None:
    async def work() -> None:
        store = MemoryKv()
        client = WaitingClient(store)
        direct: WaitingService = client
        seen: list[WatchEvent] = []

        async def watch() -> None:
            async for event in RelayedKv(direct, HttpClient(), list).watch("", 2):
                seen.append(event)

        watching = asyncio.ensure_future(watch())
        await asyncio.sleep(1.0)
        for number in range(20):
            store.revision += 1
            store.history.append(WatchEvent(f"k{number}", b"", store.revision))
            await asyncio.sleep(GATHERING_S / 10)
            assert seen
        await asyncio.sleep(GATHERING_S * 2)
        assert len(seen) == 20
        assert client.asked <= 5
        watching.cancel()

    run_virtual(work())
