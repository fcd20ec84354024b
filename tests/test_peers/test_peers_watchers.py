"""Which hosts watch the key-value service, and what updates the others get."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from gradepoint.peers.watchers import WATCHER_COUNT, choose_watchers
from gradepoint.util.clock import monotonic
from tests.support.platform import (
    WAIT_S,
    Deployment,
    configuration,
    run_deployment,
    run_in_virtual_time,
    until,
)

if TYPE_CHECKING:
    from gradepoint.gateway.app import Gateway

WATCH_CALL = "/api/kv-watch"
VIEWS = 3
"""Watches per host."""
SETTLE_S = 0.8
"""Seconds after which hosts that reach the store again have restarted their watches."""
UNDELIVERED_S = 0.05
"""Seconds from a change until watches deliver again: several checks."""
IN_FORCE_S = 2.0
"""Seconds within which a configuration must be in force."""


def is_chosen(gateway: Gateway, gateways: list[Gateway]) -> bool:
    """Whether a gateway is one of the chosen watchers."""
    return gateway.own.host in choose_watchers(frozenset(other.own.host for other in gateways))


def test_starting_host_does_not_watch_if_others_do() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=WATCHER_COUNT, targets=1)
        await until(lambda: all(gateway.watchers.watching for gateway in deployment.gateways))
        listening = []
        while len(listening) < 2:
            gateway = await deployment.add_gateway(f"host-{len(deployment.gateways)}")
            if not is_chosen(gateway, deployment.gateways):
                listening.append(gateway)
        deployment.store.put("op/config", configuration(2))
        for gateway in listening:
            await until(lambda gateway=gateway: gateway.configuration.current.version == 2)  # type: ignore[misc]
            assert gateway.kv.counts.watches == 0

    run_deployment(work)


def test_host_that_hears_no_watcher_watches() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        await until(lambda: gateway.watchers.watching)
        deployment.store.put("op/config", configuration(2))
        await until(lambda: gateway.configuration.current.version == 2)  # type: ignore[union-attr]

    run_deployment(work)


async def until_in_force(deployment: Deployment, version: int) -> None:
    """Wait until every gateway uses a version, at most as long as it may take."""
    async with asyncio.timeout(IN_FORCE_S):
        await until(
            lambda: all(
                gateway.configuration.current is not None
                and gateway.configuration.current.version == version
                for gateway in deployment.gateways
            )
        )


async def until_settled(deployment: Deployment) -> None:
    """Let gateways that lost the store call it, as lease renewals do, until all reach it."""
    calm_from = monotonic()
    async with asyncio.timeout(WAIT_S):
        while monotonic() - calm_from < SETTLE_S:
            for gateway in deployment.gateways:
                if not gateway.kv.reaches_store:
                    await gateway.kv.get("op/config")
                    calm_from = monotonic()
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("changed", ["before the cut", "after the cut"])
def test_change_missed_by_all_watches_before_compaction_is_known(
    changed: str,
) -> None:
    """A change must be known although every watch is cut and sent again while the store withholds
    changes, and the store then compacts its history."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=WATCHER_COUNT + 1, targets=1)
        store = deployment.store
        await until(lambda: sum(g.watchers.watching for g in deployment.gateways) == WATCHER_COUNT)
        store.watches_muted = True
        if changed == "before the cut":
            store.put("op/config", configuration(2))
        before = store.calls[WATCH_CALL]
        store.reset_watches()
        await until(lambda: store.calls[WATCH_CALL] >= before + WATCHER_COUNT * VIEWS)
        await until_settled(deployment)
        if changed == "after the cut":
            store.put("op/config", configuration(2))
            await asyncio.sleep(UNDELIVERED_S)
        store.compact_history()
        store.watches_muted = False
        await until_in_force(deployment, 2)

    run_in_virtual_time(work)


def test_new_watcher_misses_no_change_while_its_watch_is_unanswered() -> None:
    """A change must not be lost when all watchers are lost while the store withholds changes, and
    the host that takes over gets no answer to its watch."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=WATCHER_COUNT + 1, targets=1)
        store = deployment.store
        await until(lambda: sum(g.watchers.watching for g in deployment.gateways) == WATCHER_COUNT)
        store.watches_muted = True
        store.put("op/config", configuration(2))
        for gateway in [row for row in deployment.gateways if row.watchers.watching]:
            await deployment.kill(gateway)
        [left] = deployment.gateways
        assert left.configuration.current is not None
        assert left.configuration.current.version == 1
        before = store.calls[WATCH_CALL]
        await until(lambda: left.watchers.watching and store.calls[WATCH_CALL] > before + 2)
        store.compact_history()
        store.watches_muted = False
        await until_in_force(deployment, 2)

    run_in_virtual_time(work)
