"""Tests that an order to retire a data host is processed once, however often it is read."""

from __future__ import annotations

import asyncio

from tests.support.platform import Deployment, run_deployment, until

ORDER = "op/retire/storage-1"
STATUS = "status/retire/storage-1"


def test_retirement_order_read_again_is_not_repeated() -> None:
    # Orders stay in the store after they are answered. A host that reads all keys again must not
    # ask the data host and write to the store each time, nor start another polling loop, which
    # would run until the data host is empty.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        deployment.store.put(ORDER, b'{"deadline_s":10}')
        await until(lambda: deployment.store.read(STATUS) is not None)
        await until(lambda: not gateway.retirement.tasks.tasks)
        writes = gateway.kv.counts.writes
        view = gateway.watchers.views["operator"]
        for _ in range(3):
            view.inner.reset(await gateway.kv.range(gateway.watchers.prefixes["operator"]))
        assert not gateway.retirement.tasks.tasks
        await asyncio.sleep(0.1)
        assert gateway.kv.counts.writes == writes

    run_deployment(work)


def test_later_retirement_order_for_same_host_is_answered() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        for _ in range(2):
            deployment.store.put(ORDER, b'{"deadline_s":10}')
            await until(lambda: deployment.store.read(STATUS) is not None)
            deployment.store.delete(STATUS)

    run_deployment(work)
