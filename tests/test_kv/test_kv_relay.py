"""Watches of :class:`RelayedKv`: how many calls they make for a group of changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gradepoint.kv.relay import WATCH_BATCH_DELAY_S, RelayedKv
from gradepoint.kv.service import RangeResult, WatchEvent, WatchPage
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.wire.http_client import HttpClient

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
