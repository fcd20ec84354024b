"""Tests of the pool of RPC clients."""

from __future__ import annotations

import asyncio

from gradepoint.wire.rpc import Failed, RpcPool


def test_pool_does_not_close_the_client_that_it_returns() -> None:
    async def main() -> None:
        pool = RpcPool(Failed, max_clients=1)
        busy = pool.client("127.0.0.1", 1)
        busy.pending[b"1"] = asyncio.get_running_loop().create_future()
        made = pool.client("127.0.0.1", 2)
        assert not made.socket.closed
        assert pool.client("127.0.0.1", 2) is made
        busy.pending.clear()
        another = pool.client("127.0.0.1", 3)
        assert not another.socket.closed
        assert busy.socket.closed and made.socket.closed
        pool.close()

    asyncio.run(main())
