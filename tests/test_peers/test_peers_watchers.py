"""Which hosts watch the key-value service, and what that costs the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gradepoint.peers.watchers import WATCHERS, choose_watchers
from tests.support.platform import Deployment, configuration, run_deployment, until

if TYPE_CHECKING:
    from gradepoint.gateway.app import Gateway


def is_chosen(gateway: Gateway, gateways: list[Gateway]) -> bool:
    """Whether a gateway is one of those that watch."""
    lives = frozenset(other.own.incarnation for other in gateways)
    return gateway.own.incarnation in choose_watchers(lives)


def test_a_starting_host_that_others_tell_never_watches() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=WATCHERS, targets=1)
        await until(lambda: all(gateway.watchers.watching for gateway in deployment.gateways))
        told = []
        while len(told) < 2:
            gateway = await deployment.add_gateway(f"host-{len(deployment.gateways)}")
            if not is_chosen(gateway, deployment.gateways):
                told.append(gateway)
        deployment.store.put("op/config", configuration(2))
        for gateway in told:
            await until(lambda gateway=gateway: gateway.configuration.current.version == 2)  # type: ignore[misc]
            assert gateway.kv.counts.watches == 0

    run_deployment(work)


def test_a_host_that_hears_of_no_watcher_watches() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        await until(lambda: gateway.watchers.watching)
        deployment.store.put("op/config", configuration(2))
        await until(lambda: gateway.configuration.current.version == 2)  # type: ignore[union-attr]

    run_deployment(work)
