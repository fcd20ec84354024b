"""How old the beliefs of one host may be while all others hear of every change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.targets import ListedState
from gradepoint.peers import beats
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, run_in_virtual_time, until
from tests.support.virtual_network import LIFE, MemoryTransport, NetworkLoop

if TYPE_CHECKING:
    from collections.abc import Callable

    from gradepoint.gateway.app import Gateway

GATEWAYS = 8
IN_FORCE_S = 2.0
"""Seconds from the store's acknowledgement in which every host acts on a change."""
LONGEST_S = 30.0
"""Seconds after which a change counts as never heard."""


async def start_apart(deployment: Deployment) -> None:
    """Start gateways, each as a program of its own, and let them agree who watches."""
    await deployment.start(gateways=0, targets=2)
    for number in range(GATEWAYS):
        token = LIFE.set(f"host-{number}")
        await deployment.add_gateway(f"host-{number}")
        LIFE.reset(token)
    await asyncio.sleep(3.0)


def find_watchers(deployment: Deployment) -> list[Gateway]:
    """Return the gateways that watch."""
    return [gateway for gateway in deployment.gateways if gateway.watchers.watching]


def mute_everything(gateway: Gateway) -> None:
    """Let every open connection of a gateway carry nothing more."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    loop.mute_open_of(gateway.settings.host)


def mute_watches(gateway: Gateway) -> None:
    """Let the connections on which a gateway waits for the store carry nothing more."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    store: Any = gateway.kv.direct
    ip, _, port = store.base_url.removeprefix("http://").rpartition(":")
    resting = {id(one.writer.transport) for one in store.http.idle.get((ip, int(port)), [])}
    for transport in loop.transports[gateway.settings.host]:
        waits = isinstance(transport, MemoryTransport) and transport.other == (ip, int(port))
        if waits and id(transport) not in resting:
            transport.mute = transport.peer.mute = True  # type: ignore[union-attr]


async def leave_and_measure(deployment: Deployment) -> dict[str, float]:
    """Have a target say that it leaves; return after how many seconds each host knows."""
    target: TargetStandin = deployment.targets[0]
    begun = monotonic()
    deployment.store.put(f"servers/{target.name}", target.entry(state="draining"))
    late = dict.fromkeys((gateway.settings.host for gateway in deployment.gateways), LONGEST_S)
    while monotonic() < begun + LONGEST_S and LONGEST_S in late.values():
        for gateway in deployment.gateways:
            row = gateway.targets.by_id[target.name]  # type: ignore[index]
            host = gateway.settings.host
            if row.listed.state is ListedState.DRAINING and late[host] == LONGEST_S:
                late[host] = monotonic() - begun
        await asyncio.sleep(0.01)
    return late


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("silence", [mute_watches, mute_everything])
def test_a_watcher_that_hears_nothing_is_told_by_the_others(
    silence: Callable[[Gateway], None], seed: int
) -> None:
    async def work(deployment: Deployment) -> None:
        await start_apart(deployment)
        # Renewals of the lease come at any time after that.
        await asyncio.sleep(seed * 0.6)
        deaf = find_watchers(deployment)[0]
        silence(deaf)
        late = await leave_and_measure(deployment)
        others = [after for host, after in late.items() if host != deaf.settings.host]
        assert max(others) <= IN_FORCE_S, late
        assert late[deaf.settings.host] <= IN_FORCE_S, late

    run_in_virtual_time(work, seed)


async def start_at_once(deployment: Deployment, gateways: int) -> None:
    """Start gateways so that all renew their leases at about the same time from then on."""
    await deployment.start(gateways=0, targets=2)

    async def start(number: int) -> None:
        LIFE.set(f"host-{number}")
        gateway = deployment.make_gateway(f"host-{number}")
        await asyncio.sleep(0.02 * number)
        await gateway.start()
        deployment.gateways.append(gateway)

    await asyncio.gather(*(asyncio.create_task(start(number)) for number in range(gateways)))
    hosts = deployment.gateways
    await until(lambda: all(host.ready and host.presence.holds_lease for host in hosts))


@pytest.mark.parametrize("phase", range(6))
def test_hosts_that_started_at_once_hear_though_open_connections_fell_silent(phase: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_at_once(deployment, gateways=20)
        # Some time between two renewals of the leases.
        await asyncio.sleep(8.0 + phase * 0.4)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        loop.mute_open()
        await asyncio.sleep(0.2)
        late = await leave_and_measure(deployment)
        assert max(late.values()) <= IN_FORCE_S, late

    run_in_virtual_time(work, phase)


FLEET = 63
"""Hosts of the largest deployment: the more there are, the rarer are their regular beats."""
DRAIN_S = 3.0
"""Seconds after which no call may reach a target that said that it leaves."""


@pytest.mark.parametrize("seed", range(4))
def test_a_host_that_no_datagram_reaches_hears_before_calls_are_forbidden(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    per_peer_s = beats.LONGEST_GAP_PER_PEER_S * (FLEET - 1) / (GATEWAYS - 1)
    monkeypatch.setattr(beats, "LONGEST_GAP_PER_PEER_S", per_peer_s)

    async def work(deployment: Deployment) -> None:
        await start_apart(deployment)
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
        late = await leave_and_measure(deployment)
        assert max(late.values()) <= DRAIN_S, late

    run_in_virtual_time(work, seed)
