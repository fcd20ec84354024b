"""Tests of a host that is suspended for seconds during which its monotonic clock stops.

The age of the host's state, its lease and the remaining time of a call must include the suspension.
By a clock that stops, a list received 30 s ago counts as fresh, an expired lease counts as held,
and a call is sent to a second target with the time that it had left before the suspension.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.app import Gateway
from gradepoint.peers.presence import LEASE_TTL_S
from tests.support.platform import Deployment, configuration, route, run_in_virtual_time, until
from tests.support.virtual_network import PROGRAM_INCARNATION, NetworkLoop

SUSPENDED_S = [2.0, 6.0, 30.0]
RESUME_MARGIN_S = 0.0005
"""Seconds after the resume within which no answer can have reached the host."""


async def add_host(deployment: Deployment, name: str) -> Gateway:
    """Start a gateway on a host that can be suspended."""
    token = PROGRAM_INCARNATION.set(name)
    starting = asyncio.ensure_future(deployment.add_gateway(name))
    PROGRAM_INCARNATION.reset(token)
    return await starting


async def suspend(name: str, seconds: float) -> None:
    """Suspend a host, and return just after it resumes."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, NetworkLoop)
    loop.suspend(name, seconds)
    await asyncio.sleep(seconds + RESUME_MARGIN_S)


def read_on_host(name: str, read: Callable[[], object]) -> object:
    """Return the result of *read*, called with the clock of a host."""
    token = PROGRAM_INCARNATION.set(name)
    try:
        return read()
    finally:
        PROGRAM_INCARNATION.reset(token)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_call_received_during_suspension_avoids_drained_target(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=2)
        gateway = await add_host(deployment, "host-0")
        staying, leaving = deployment.targets
        # The watch delivers nothing, as if its answer were still in flight.
        await gateway.watchers.tasks.stop()
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        suspension = asyncio.ensure_future(suspend("host-0", seconds))
        calls = [
            asyncio.ensure_future(deployment.call(f"/plain/{number}", x_time_left_ms="60000"))
            for number in range(8)
        ]
        await suspension
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 8
        assert len(staying.seen) == 8 and not leaving.seen

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_retry_after_suspension_respects_caller_deadline(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=2, work_s=1.0)
        await add_host(deployment, "host-0")
        pending_call = asyncio.ensure_future(deployment.call("/plain/x", x_time_left_ms="4000"))
        await until(lambda: any(target.seen for target in deployment.targets))
        first = next(target for target in deployment.targets if target.seen)
        asyncio.get_running_loop().call_later(0.5, first.server.abort)
        await suspend("host-0", seconds)
        answer = await pending_call
        other = next(target for target in deployment.targets if target is not first)
        left_ms = [int(request.headers["x-time-left-ms"]) for request in other.seen]
        if seconds < 4.0:
            assert answer.status == 200
            assert left_ms and max(left_ms) <= 4000 - seconds * 1000
        else:
            assert answer.status == 504 and not left_ms

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_lease_expired_during_suspension_is_renewed(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await suspend("host-0", seconds)
        held = read_on_host("host-0", lambda: gateway.presence.holds_lease)
        assert held == (seconds < LEASE_TTL_S - 2.4)
        await asyncio.sleep(0.5)
        assert read_on_host("host-0", lambda: gateway.presence.holds_lease)

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", SUSPENDED_S)
def test_reported_age_includes_suspension(seconds: float) -> None:
    # If a host reported a view that is 30 s old as just confirmed, all others would trust it too.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await asyncio.sleep(3.0)
        await suspend("host-0", seconds)
        proven = read_on_host("host-0", lambda: gateway.watchers.proofs.list_proofs())
        assert isinstance(proven, dict) and proven
        assert min(age_ms for age_ms, _ in proven.values()) >= seconds * 1000

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", [6.0, 30.0])
def test_jobs_adopted_by_another_host_stop_after_suspension(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=0)
        first = await add_host(deployment, "host-0")
        # Two others, since a host that hears fewer than half of all considers itself isolated.
        for name in ("host-1", "host-2"):
            await add_host(deployment, name)
        # One item at a time.
        await deployment.add_target(TargetStandin("t0", slots=2, event_interval_s=0.2))
        assert (await deployment.submit("job", 8, gateway=0)).status == 202
        await until(lambda: bool(first.worker.running))
        await suspend("host-0", seconds)
        # In-flight items are read up to where their streams broke; no new item is started.
        started = read_on_host("host-0", lambda: dict(first.worker.last_started_at))
        for _ in range(40):
            await asyncio.sleep(0.05)
            assert read_on_host("host-0", lambda: dict(first.worker.last_started_at)) == started
        rows = await deployment.read_all_results("job", gateway=1)
        assert len(rows) == 8 and {row["state"] for row in rows} == {"complete"}
        assert "job" not in first.worker.jobs

    run_in_virtual_time(work)


@pytest.mark.parametrize("seconds", [2.0, 6.0])
def test_call_cancelled_after_resume_if_caller_disconnected(seconds: float) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=0)
        await add_host(deployment, "host-0")
        target = TargetStandin("t0", events=1000, event_interval_s=0.05)
        await deployment.add_target(target)
        await until(lambda: bool(deployment.gateways[0].targets.by_id))
        pending_call = asyncio.ensure_future(deployment.call("/stream/x", x_time_left_ms="60000"))
        await until(lambda: target.working > 0)
        asyncio.get_running_loop().call_later(0.5, pending_call.cancel)
        await suspend("host-0", seconds)
        await asyncio.sleep(0.3)
        assert target.working == 0

    run_in_virtual_time(work)


def test_configuration_refreshed_after_suspension() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        gateway = await add_host(deployment, "host-0")
        await gateway.watchers.tasks.stop()
        deployment.store.put("op/config", configuration(2, [route("new", "safe")]))
        suspension = asyncio.ensure_future(suspend("host-0", 6.0))
        old = asyncio.ensure_future(deployment.call("/plain/1", x_time_left_ms="60000"))
        await suspension
        assert (await old).status == 404
        assert (await deployment.call("/new/plain/1")).status == 200

    run_in_virtual_time(work)


def test_dead_connection_after_suspension_does_not_delay_call() -> None:
    # The open connections are dead without a reset; new ones work.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=1)
        await add_host(deployment, "host-0")
        assert (await deployment.call("/plain/0")).status == 200
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        loop.call_later(1.0, loop.mute_connections, deployment.targets[0].server.port)
        await suspend("host-0", 6.0)
        started_at = loop.time()
        answer = await deployment.call("/plain/1")
        assert answer.status == 200
        assert loop.time() - started_at < 0.1

    run_in_virtual_time(work)
