"""A host that was suspended for seconds, in which its steady clock did not count.

What it believes is as old as the world's time says: what it heard of others, its lease, the time
that a call has left. By the steady clock a list heard 30 s ago was taken for fresh, a lease that
had run out for good, and a call went to a second target with the time that it had left before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.app import Gateway
from gradepoint.peers.presence import LEASE_TTL_S
from tests.support.platform import Deployment, configuration, route, run_in_virtual_time, until
from tests.support.virtual_network import LIFE, NetworkLoop

SUSPENDED_S = [2.0, 6.0, 30.0]
AT_ONCE_S = 0.0005
"""Seconds after it woke in which a host has had no answer from anybody."""


async def add_host(deployment: Deployment, name: str) -> Gateway:
    """Start a gateway whose host can be suspended."""
    token = LIFE.set(name)
    starting = asyncio.ensure_future(deployment.add_gateway(name))
    LIFE.reset(token)
    return await starting


async def suspend(name: str, seconds: float) -> None:
    """Suspend a host, and return as it wakes."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    loop.suspend(name, seconds)
    await asyncio.sleep(seconds + AT_ONCE_S)


def read_at(name: str, read: Callable[[], object]) -> object:
    """Return what is read by the clock of a host."""
    token = LIFE.set(name)
    try:
        return read()
    finally:
        LIFE.reset(token)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_a_call_that_came_meanwhile_goes_to_no_target_that_left(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=2)
        gateway = await add_host(deployment, "host-0")
        staying, leaving = deployment.targets
        # The watch tells nothing, as one does whose answer is still under way.
        await gateway.watchers.tasks.stop()
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        sleeping = asyncio.ensure_future(suspend("host-0", seconds))
        calls = [
            asyncio.ensure_future(deployment.call(f"/plain/{number}", x_time_left_ms="60000"))
            for number in range(8)
        ]
        await sleeping
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 8
        assert len(staying.seen) == 8 and not leaving.seen

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_a_call_is_sent_again_only_in_the_time_that_its_caller_still_waits(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=2, work_s=1.0)
        await add_host(deployment, "host-0")
        calling = asyncio.ensure_future(deployment.call("/plain/x", x_time_left_ms="4000"))
        await until(lambda: any(target.seen for target in deployment.targets))
        first = next(target for target in deployment.targets if target.seen)
        asyncio.get_running_loop().call_later(0.5, first.server.abort)
        await suspend("host-0", seconds)
        answer = await calling
        other = next(target for target in deployment.targets if target is not first)
        left_ms = [int(request.headers["x-time-left-ms"]) for request in other.seen]
        if seconds < 4.0:
            assert answer.status == 200
            assert left_ms and max(left_ms) <= 4000 - seconds * 1000
        else:
            assert answer.status == 504 and not left_ms

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_a_lease_that_ran_out_is_not_held_and_soon_renewed(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await suspend("host-0", seconds)
        held = read_at("host-0", lambda: gateway.presence.holds_lease)
        assert held == (seconds < LEASE_TTL_S - 2.4)
        await asyncio.sleep(0.5)
        assert read_at("host-0", lambda: gateway.presence.holds_lease)

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_others_are_told_the_age_of_what_it_knows(seconds: float) -> None:
    # A host that tells a view of 30 s ago as proven just now would vouch for it at all others.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await asyncio.sleep(3.0)
        await suspend("host-0", seconds)
        proven = read_at("host-0", lambda: gateway.watchers.proofs.tell())
        assert isinstance(proven, dict) and proven
        assert min(age_ms for age_ms, _ in proven.values()) >= seconds * 1000

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", [6.0, 30.0])
def test_jobs_that_another_host_took_are_run_no_further(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=0)
        first = await add_host(deployment, "host-0")
        # Two others, since a host that hears less than half of all takes itself for cut off.
        for name in ("host-1", "host-2"):
            await add_host(deployment, name)
        # One item at a time.
        await deployment.add_target(TargetStandin("t0", slots=2, event_s=0.2))
        assert (await deployment.submit("job", 8, gateway=0)).status == 202
        await until(lambda: bool(first.worker.running))
        await suspend("host-0", seconds)
        # The items that were under way are read to where they broke; nothing new is begun.
        started = read_at("host-0", lambda: dict(first.worker.fed_at))
        for _ in range(40):
            await asyncio.sleep(0.05)
            assert read_at("host-0", lambda: dict(first.worker.fed_at)) == started
        rows = await deployment.read_whole("job", gateway=1)
        assert len(rows) == 8 and {row["state"] for row in rows} == {"complete"}
        assert "job" not in first.worker.jobs

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", [2.0, 6.0])
def test_a_call_whose_caller_has_gone_is_ended_at_once(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=0)
        await add_host(deployment, "host-0")
        target = TargetStandin("t0", events=1000, event_s=0.05)
        await deployment.add_target(target)
        await until(lambda: bool(deployment.gateways[0].targets.by_id))
        calling = asyncio.ensure_future(deployment.call("/stream/x", x_time_left_ms="60000"))
        await until(lambda: target.working > 0)
        asyncio.get_running_loop().call_later(0.5, calling.cancel)
        await suspend("host-0", seconds)
        await asyncio.sleep(0.3)
        assert target.working == 0

    run_in_virtual_time(work)


def test_a_host_looks_again_before_it_follows_an_old_configuration() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await gateway.watchers.tasks.stop()
        deployment.store.put("op/config", configuration(2, [route("new", "safe")]))
        sleeping = asyncio.ensure_future(suspend("host-0", 6.0))
        old = asyncio.ensure_future(deployment.call("/plain/1", x_time_left_ms="60000"))
        await sleeping
        assert (await old).status == 404
        assert (await deployment.call("/new/plain/1")).status == 200

    run_in_virtual_time(work)


def test_a_target_that_fell_silent_meanwhile_costs_no_call_its_whole_time() -> None:
    # Open connections died without a word; new ones work.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        await add_host(deployment, "host-0")
        assert (await deployment.call("/plain/0")).status == 200
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        loop.call_later(1.0, loop.mute_open, deployment.targets[0].server.port)
        await suspend("host-0", 6.0)
        begun = loop.time()
        answer = await deployment.call("/plain/1")
        assert answer.status == 200
        assert loop.time() - begun < 0.1

    run_in_virtual_time(work)
