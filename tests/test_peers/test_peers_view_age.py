"""Age of the configuration and target states that hosts act on when their source falls silent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.platform.store import StoreFault
from gradepoint.gateway.targets import ListedState
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, configuration, run_in_virtual_time, until
from tests.support.virtual_network import NetworkLoop

IN_FORCE_S = 2.0
"""Seconds after the store's acknowledgement within which every host must act on a change."""


def network() -> NetworkLoop:
    """Return the network loop of the test."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    return loop


async def start_settled(deployment: Deployment, gateways: int = 6) -> None:
    """Start gateways and give them time to agree which of them watch."""
    await deployment.start(gateways=gateways, targets=2)
    await asyncio.sleep(2.0)


async def measure_delay(holds: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds."""
    begun_at = monotonic()
    await until(holds)
    return monotonic() - begun_at


def all_use_version(deployment: Deployment, version: int) -> bool:
    """Whether every gateway uses a version of the configuration."""
    current = [gateway.configuration.current for gateway in deployment.gateways]
    return all(
        version_in_use is not None and version_in_use.version == version
        for version_in_use in current
    )


def all_see_draining(deployment: Deployment, name: str) -> bool:
    """Whether every gateway knows that a target is draining."""
    rows = [gateway.targets.by_id[name] for gateway in deployment.gateways]  # type: ignore[index]
    return all(row.listed.state is ListedState.DRAINING for row in rows)


def announce_draining(deployment: Deployment, number: int) -> str:
    """Let a target announce that it is draining; return its name."""
    target = deployment.targets[number]
    deployment.store.put(f"servers/{target.name}", target.entry(state="draining"))
    return target.name


SilenceFault = Callable[[Deployment], Awaitable[None]]


async def mute_store(deployment: Deployment) -> None:
    """Silence the open connections to the store: they carry no more data, without an error."""
    network().mute_connections(deployment.store.server.port)


async def mute_everything(_: Deployment) -> None:
    """Silence every open connection."""
    network().mute_connections()


@pytest.mark.parametrize("silence", [mute_store, mute_everything])
def test_changes_are_known_although_open_connections_fell_silent(silence: SilenceFault) -> None:
    """Silent connections of the watchers must not hide changes from all hosts.

    Three hosts watch the store and inform the others. If their open connections fall silent without
    an error, a watch waits for 14 s and another 3 s until it counts as broken. All three are
    affected alike, and nobody checks the age of the data. Two hosts acted on an older version at
    8.4 and 9.7 s although a newer one had been acknowledged at 4.135 s, and a target got a request
    3,851 ms after it had announced draining. In this test, hosts then learned of a change only
    after 2.2 to 3.9 s, when the renewal of a lease happened to fail.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment)
        await silence(deployment)
        deployment.store.put("op/config", configuration(2))
        leaving = announce_draining(deployment, 0)
        assert await measure_delay(lambda: all_use_version(deployment, 2)) <= IN_FORCE_S
        assert await measure_delay(lambda: all_see_draining(deployment, leaving)) <= IN_FORCE_S

    run_in_virtual_time(work)


def test_change_withheld_from_watches_is_found() -> None:
    """A change that the store withheld from watches must be found.

    Before it compacts its history, a store may report no changes to watches for a second. A watch
    whose wait ended in that time got an empty answer with the newest revision, and the next watch
    started after it. No host learned of the change in between until another one came.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=3)
        store = deployment.store
        # The wait of the watches ends while the store withholds changes from them.
        wait_s = deployment.gateways[0].kv.direct.watch_s
        store.put("op/config", configuration(2))
        await asyncio.sleep(wait_s - 0.5)
        store.watches_muted = True
        store.put("op/config", configuration(3))
        leaving = announce_draining(deployment, 0)
        await asyncio.sleep(1.2)
        store.watches_muted = False
        store.compact_history()
        assert await measure_delay(lambda: all_use_version(deployment, 3)) <= IN_FORCE_S
        assert await measure_delay(lambda: all_see_draining(deployment, leaving)) <= IN_FORCE_S

    run_in_virtual_time(work)


def test_watches_never_answered_by_a_silent_store_are_restarted() -> None:
    """A watch that a silent store never answered must be restarted.

    A call that a silent store has not answered is never answered, even after the store is back.
    Hosts considered the store available again because of their other calls, while their watches
    kept waiting: a change made as the store came back was in force after 6.9 s.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=3)
        store = deployment.store
        network().mute_connections(store.server.port)
        store.fault = StoreFault.SILENT
        await asyncio.sleep(4.0)
        store.put("op/config", configuration(2))
        leaving = announce_draining(deployment, 0)
        store.fault = StoreFault.NONE
        assert await measure_delay(lambda: all_use_version(deployment, 2)) <= IN_FORCE_S
        assert await measure_delay(lambda: all_see_draining(deployment, leaving)) <= IN_FORCE_S

    run_in_virtual_time(work)


@pytest.mark.parametrize("silent_s", [1.1, 3.3, 5.7])
@pytest.mark.parametrize("before_end_s", [0.01, 0.3])
def test_calls_at_the_end_of_a_silent_outage_hide_no_change(
    silent_s: float, before_end_s: float
) -> None:
    """Calls at the end of a silent outage, which are never answered, must not hide later changes.

    A host that starts in the last moments of the outage makes all its first calls then.
    """

    async def work(deployment: Deployment) -> None:
        await start_settled(deployment, gateways=3)
        store = deployment.store
        network().mute_connections(store.server.port)
        store.fault = StoreFault.SILENT
        await asyncio.sleep(silent_s - before_end_s)
        starting = asyncio.ensure_future(deployment.add_gateway("late"))
        await asyncio.sleep(before_end_s)
        store.fault = StoreFault.NONE
        await starting
        for version, number in ((2, 0), (3, 1)):
            store.put("op/config", configuration(version))
            leaving = announce_draining(deployment, number)
            assert (
                await measure_delay(lambda version=version: all_use_version(deployment, version))
                <= IN_FORCE_S
            )  # type: ignore[misc]
            assert (
                await measure_delay(lambda leaving=leaving: all_see_draining(deployment, leaving))
                <= IN_FORCE_S
            )  # type: ignore[misc]
            await asyncio.sleep(1.0)

    run_in_virtual_time(work)
