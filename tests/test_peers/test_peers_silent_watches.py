"""Age of one host's configuration and target states while all other hosts learn of every change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.targets import ListedState
from gradepoint.peers import heartbeats
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, run_in_virtual_time, until
from tests.support.virtual_network import PROGRAM_INCARNATION, MemoryTransport, NetworkLoop

if TYPE_CHECKING:
    from collections.abc import Callable

    from gradepoint.gateway.app import Gateway

GATEWAYS = 8
IN_FORCE_S = 2.0
"""Seconds after the store's acknowledgement within which every host must act on a change."""
MAX_DELAY_S = 30.0
"""Seconds after which a change counts as never received."""


async def start_as_processes(deployment: Deployment) -> None:
    """Start gateways, each as a separate process, and let them agree which of them watch."""
    await deployment.start(gateways=0, targets=2)
    for number in range(GATEWAYS):
        token = PROGRAM_INCARNATION.set(f"host-{number}")
        await deployment.add_gateway(f"host-{number}")
        PROGRAM_INCARNATION.reset(token)
    await asyncio.sleep(3.0)


def find_watchers(deployment: Deployment) -> list[Gateway]:
    """Return the gateways that watch."""
    return [gateway for gateway in deployment.gateways if gateway.watchers.watching]


def mute_everything(gateway: Gateway) -> None:
    """Silence every open connection of a gateway."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    loop.mute_connections_of(gateway.settings.host)


def mute_watches(gateway: Gateway) -> None:
    """Silence the connections on which a gateway waits for watch answers of the store."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    store: Any = gateway.kv.direct
    ip, _, port = store.base_url.removeprefix("http://").rpartition(":")
    resting = {id(one.writer.transport) for one in store.http.idle.get((ip, int(port)), [])}
    for transport in loop.transports[gateway.settings.host]:
        waits = isinstance(transport, MemoryTransport) and transport.remote == (ip, int(port))
        if waits and id(transport) not in resting:
            transport.mute = transport.peer.mute = True  # type: ignore[union-attr]


async def drain_and_measure(deployment: Deployment) -> dict[str, float]:
    """Let a target announce draining; return the seconds until each host knows."""
    target: TargetStandin = deployment.targets[0]
    begun_at = monotonic()
    deployment.store.put(f"servers/{target.name}", target.entry(state="draining"))
    delays = dict.fromkeys((gateway.settings.host for gateway in deployment.gateways), MAX_DELAY_S)
    while monotonic() < begun_at + MAX_DELAY_S and MAX_DELAY_S in delays.values():
        for gateway in deployment.gateways:
            row = gateway.targets.by_id[target.name]  # type: ignore[index]
            host = gateway.settings.host
            if row.listed.state is ListedState.DRAINING and delays[host] == MAX_DELAY_S:
                delays[host] = monotonic() - begun_at
        await asyncio.sleep(0.01)
    return delays


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("silence", [mute_watches, mute_everything])
def test_watcher_with_silent_watches_gets_changes_from_others(
    silence: Callable[[Gateway], None], seed: int
) -> None:
    async def work(deployment: Deployment) -> None:
        await start_as_processes(deployment)
        # Vary the time until the next renewal of the lease.
        await asyncio.sleep(seed * 0.6)
        silenced = find_watchers(deployment)[0]
        silence(silenced)
        delays = await drain_and_measure(deployment)
        others = [after for host, after in delays.items() if host != silenced.settings.host]
        assert max(others) <= IN_FORCE_S, delays
        assert delays[silenced.settings.host] <= IN_FORCE_S, delays

    run_in_virtual_time(work, seed)


async def start_together(deployment: Deployment, gateways: int) -> None:
    """Start gateways so that all renew their leases at about the same time from then on."""
    await deployment.start(gateways=0, targets=2)

    async def start(number: int) -> None:
        PROGRAM_INCARNATION.set(f"host-{number}")
        gateway = deployment.make_gateway(f"host-{number}")
        await asyncio.sleep(0.02 * number)
        await gateway.start()
        deployment.gateways.append(gateway)

    await asyncio.gather(*(asyncio.create_task(start(number)) for number in range(gateways)))
    hosts = deployment.gateways
    await until(lambda: all(host.ready and host.presence.holds_lease for host in hosts))


@pytest.mark.parametrize("phase", range(6))
def test_changes_are_known_to_hosts_that_renew_leases_together(phase: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_together(deployment, gateways=20)
        # Vary the time between two renewals of the leases.
        await asyncio.sleep(8.0 + phase * 0.4)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        loop.mute_connections()
        await asyncio.sleep(0.2)
        delays = await drain_and_measure(deployment)
        assert max(delays.values()) <= IN_FORCE_S, delays

    run_in_virtual_time(work, phase)


LARGEST_DEPLOYMENT = 63
"""Hosts of the largest deployment; more hosts send regular heartbeats less often."""
DRAIN_S = 3.0
"""Seconds after which no call may reach a target that announced draining."""


@pytest.mark.parametrize("seed", range(4))
def test_host_without_datagrams_knows_before_calls_are_forbidden(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    per_peer_s = heartbeats.MAX_GAP_PER_PEER_S * (LARGEST_DEPLOYMENT - 1) / (GATEWAYS - 1)
    monkeypatch.setattr(heartbeats, "MAX_GAP_PER_PEER_S", per_peer_s)

    async def work(deployment: Deployment) -> None:
        await start_as_processes(deployment)
        await asyncio.sleep(seed * 0.6)
        listens = [host for host in deployment.gateways if not host.watchers.watching]
        port = listens[0].settings.peer_port
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        deliver = loop.deliver

        def lose(data: bytes, source: tuple[str, int], address: tuple[str, int]) -> None:
            if address[1] != port:
                deliver(data, source, address)

        monkeypatch.setattr(loop, "deliver", lose)
        delays = await drain_and_measure(deployment)
        assert max(delays.values()) <= DRAIN_S, delays

    run_in_virtual_time(work, seed)
