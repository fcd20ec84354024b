"""Tests that a host refreshes its state after its event loop stalled."""

from __future__ import annotations

import time

from gradepoint.gateway.stall import MAX_LOOP_GAP_S
from tests.support.platform import Deployment, configuration, route, run_deployment


def block_event_loop() -> None:
    """Block the event loop for longer than the stall threshold."""
    time.sleep(MAX_LOOP_GAP_S * 1.2)


def test_no_call_to_drained_target_after_stall() -> None:
    # Targets may drain while a host is stalled. When it runs again, it may read the waiting calls
    # before that update, and would send them to targets that have exited.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        staying, leaving = deployment.targets
        gateway = deployment.gateways[0]
        # The watch delivers nothing, as if its answer were still in flight.
        await gateway.watchers.tasks.stop()
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        block_event_loop()
        for number in range(10):
            answer = await deployment.call(f"/plain/{number}")
            assert answer.status == 200
        assert len(staying.seen) == 10 and not leaving.seen

    run_deployment(work)


def test_newest_configuration_used_after_stall() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        await gateway.watchers.tasks.stop()
        deployment.store.put("op/config", configuration(2, [route("new", "safe")]))
        block_event_loop()
        assert (await deployment.call("/plain/1")).status == 404
        assert (await deployment.call("/new/plain/1")).status == 200

    run_deployment(work)


def test_calls_served_after_stall_during_store_outage() -> None:
    # No other host has newer state during an outage, and the targets are most likely still up.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        deployment.store.server.abort()
        block_event_loop()
        assert (await deployment.call("/plain/1")).status == 200

    run_deployment(work)


def test_no_refresh_without_stall() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        for number in range(20):
            assert (await deployment.call(f"/plain/{number}")).status == 200
        assert gateway.stall_detector.refresh_task is None

    run_deployment(work)
