"""A host that stood still looks again before it acts on what it knows."""

from __future__ import annotations

import time

from gradepoint.gateway.standstill import STOOD_STILL_S
from tests.support.platform import Deployment, configuration, route, run_deployment


def stand_still() -> None:
    """Stop everything in this process for a while."""
    time.sleep(STOOD_STILL_S * 1.2)


def test_a_host_that_stood_still_sends_nothing_to_a_target_that_left() -> None:
    # While a host stands still, targets say that they leave. Once it runs again, the calls that
    # waited for it may be read before that news, and would go to targets that are long gone.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        staying, leaving = deployment.targets
        gateway = deployment.gateways[0]
        # The watch tells nothing, as one does whose answer is still under way.
        await gateway.watchers.tasks.stop()
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        stand_still()
        for number in range(10):
            answer = await deployment.call(f"/plain/{number}")
            assert answer.status == 200
        assert len(staying.seen) == 10 and not leaving.seen

    run_deployment(work)


def test_a_host_that_stood_still_follows_the_newest_configuration() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        await gateway.watchers.tasks.stop()
        deployment.store.put("op/config", configuration(2, [route("new", "safe")]))
        stand_still()
        assert (await deployment.call("/plain/1")).status == 404
        assert (await deployment.call("/new/plain/1")).status == 200

    run_deployment(work)


def test_calls_go_on_while_the_store_is_away_after_a_standstill() -> None:
    # Nobody can know more than this host then, and its targets most likely are there still.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        deployment.store.server.abort()
        stand_still()
        assert (await deployment.call("/plain/1")).status == 200

    run_deployment(work)


def test_a_host_that_runs_on_does_not_look_again() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        for number in range(20):
            assert (await deployment.call(f"/plain/{number}")).status == 200
        assert gateway.standstill.looking is None

    run_deployment(work)
