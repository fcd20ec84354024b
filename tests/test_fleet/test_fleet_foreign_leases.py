"""A lease whose key another writer has overwritten is held again, by one host at a time."""

from __future__ import annotations

import asyncio

from gradepoint.fleet.leases import LEASE_PREFIX, RENEW_PERIOD_S, TTL_S, LeaseKeeper
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

HELD_AGAIN_WITHIN_S = 2 * TTL_S
"""The lifetime of a lease, and the attempts before and after it."""


def test_overwritten_lease_is_held_again_by_one_host_at_a_time() -> None:
    """No host ever held it again, so that nobody kept house or sent orders to targets."""

    async def main() -> None:
        store = MemoryKv()
        keepers = [
            LeaseKeeper(MemoryKvClient(store), "x", f"h{number}", lambda: True)
            for number in range(3)
        ]
        tasks = [asyncio.ensure_future(keeper.run()) for keeper in keepers]
        for value in (b"\xff", b"h0", b""):
            await asyncio.sleep(HELD_AGAIN_WITHIN_S)
            holders = [keeper.current() for keeper in keepers if keeper.current()]
            assert len(holders) == 1 and holders[0] is not None
            holder = next(keeper for keeper in keepers if keeper.current())
            store.apply(Transaction((), (Put(LEASE_PREFIX + "x", value),)))
            await asyncio.sleep(RENEW_PERIOD_S + 1)
            assert holder.current() and store.keys[LEASE_PREFIX + "x"].lease
            # Now the holder ends at the moment at which the key is overwritten.
            tasks[keepers.index(holder)].cancel()
            store.apply(Transaction((), (Put(LEASE_PREFIX + "x", value),)))
            for _ in range(HELD_AGAIN_WITHIN_S * 10):
                await asyncio.sleep(0.1)
                assert len([keeper for keeper in keepers if keeper.current()]) <= 1
            held = next(keeper for keeper in keepers if keeper.current())
            assert held is not holder
            tasks[keepers.index(holder)] = asyncio.ensure_future(holder.run())
        for task in tasks:
            task.cancel()

    run_virtual(main())
