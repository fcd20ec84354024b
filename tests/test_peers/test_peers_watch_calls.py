"""Watch calls, and the age of views, when many hosts start at the same time."""

from __future__ import annotations

import asyncio

import pytest

from bench.platform.store import StoreFault
from gradepoint.peers.watchers import WATCHER_COUNT, choose_watchers
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, configuration, run_in_virtual_time, until
from tests.support.store_calls import (
    SETTLE_S,
    CountingStore,
    prepare_hosts,
    restart_hosts,
)

IN_FORCE_S = 2.0
"""Seconds within which a configuration must be in force."""
AWAY_S = 1.0
OUTAGE_S = 5.0
PROOF_GAP_S = 1.0
"""Seconds between two proofs of the targets by one watcher."""
STAND_INS = 3
"""Hosts at most that watch for a moment in the place of chosen ones that do not return."""


def open_watches(deployment: Deployment) -> int:
    """Return the number of watches of the targets, of which none changes."""
    assert isinstance(deployment.store, CountingStore)
    return deployment.store.counted["watch servers/"]


@pytest.mark.parametrize(("hosts", "seed"), [(9, 1), (9, 2), (9, 3), (70, 1)])
def test_restart_of_all_hosts_opens_the_watches_of_three(hosts: int, seed: int) -> None:
    # Hosts that chose watchers among the few that they heard opened watches and closed them again:
    # 5 to 11 watches of each view in place of 3.
    async def work(deployment: Deployment) -> None:
        settings = await prepare_hosts(deployment, hosts, seed)
        deployment.store.counted.clear()  # type: ignore[attr-defined]
        await restart_hosts(deployment, settings, AWAY_S, seed)
        await asyncio.sleep(SETTLE_S)
        assert open_watches(deployment) == WATCHER_COUNT
        assert sum(gateway.watchers.watching for gateway in deployment.gateways) == WATCHER_COUNT

    run_in_virtual_time(work, seed)


@pytest.mark.parametrize("change_after_s", [0.1, 0.5, 0.9, 1.4])
@pytest.mark.parametrize("missing", [0, WATCHER_COUNT])
def test_change_during_a_restart_of_all_hosts_is_in_force_in_time(
    change_after_s: float, missing: int
) -> None:
    # Hosts that start wait before they watch. The bound on the age of views must hold meanwhile,
    # also if the chosen hosts are listed but do not return.
    async def work(deployment: Deployment) -> None:
        settings = await prepare_hosts(deployment, 9, 1)
        gone = choose_watchers(frozenset(own.host for own in settings))[:missing]
        for gateway in [g for g in deployment.gateways if g.own.host in gone]:
            await deployment.kill(gateway)
        rest = [own for own in settings if own.host not in gone]
        started = asyncio.ensure_future(restart_hosts(deployment, rest, AWAY_S, 1))
        await asyncio.sleep(AWAY_S + change_after_s)
        deployment.store.put("op/config", configuration(2))
        changed_at = monotonic()
        await until(lambda: started.done())
        deployment.store.counted.clear()  # type: ignore[attr-defined]
        for gateway in deployment.gateways:
            await until(lambda g=gateway: g.configuration.current.version == 2)  # type: ignore[misc]
        assert monotonic() - changed_at <= IN_FORCE_S
        await asyncio.sleep(SETTLE_S)
        assert open_watches(deployment) <= WATCHER_COUNT + STAND_INS

    run_in_virtual_time(work)


@pytest.mark.parametrize("seed", [1, 4, 5])
def test_hosts_that_reach_the_service_again_open_no_additional_watches(seed: int) -> None:
    # The hosts that reached the service again first chose watchers among themselves: 18 watches of
    # the targets in place of 3. Hosts whose leases had expired were forgotten at once: 70 watches.
    async def work(deployment: Deployment) -> None:
        await prepare_hosts(deployment, 70, seed)
        former = {g.own.host for g in deployment.gateways if g.watchers.watching}
        deployment.store.fault = StoreFault.BUSY
        await asyncio.sleep(OUTAGE_S)
        deployment.store.counted.clear()  # type: ignore[attr-defined]
        deployment.store.fault = StoreFault.NONE
        deployment.store.put("op/config", configuration(2))
        changed_at = monotonic()
        for gateway in deployment.gateways:
            await until(lambda g=gateway: g.configuration.current.version == 2)  # type: ignore[misc]
        assert monotonic() - changed_at <= IN_FORCE_S
        await asyncio.sleep(SETTLE_S)
        assert open_watches(deployment) <= WATCHER_COUNT
        assert {g.own.host for g in deployment.gateways if g.watchers.watching} == former

    run_in_virtual_time(work, seed)


def test_only_watchers_read_views_while_the_service_refuses() -> None:
    # A watch that began before the outage delivered a change and showed the service as available.
    # All 70 hosts, whose proofs were overdue, then read all views at once: 78 reads of the targets.
    async def work(deployment: Deployment) -> None:
        await prepare_hosts(deployment, 70, 1)
        store = deployment.store
        assert isinstance(store, CountingStore)
        store.counted.clear()
        store.fault = StoreFault.BUSY
        await asyncio.sleep(OUTAGE_S)
        assert store.counted["range servers/"] <= WATCHER_COUNT * (OUTAGE_S / PROOF_GAP_S + 1)
        store.counted.clear()
        store.fault = StoreFault.NONE
        await asyncio.sleep(IN_FORCE_S)
        ages = [g.watchers.proofs.age_s("targets", monotonic()) for g in deployment.gateways]
        assert max(ages) <= IN_FORCE_S
        assert store.counted["range servers/"] <= WATCHER_COUNT * (IN_FORCE_S / PROOF_GAP_S + 1)

    run_in_virtual_time(work)
