"""Tests of the detection of target crashes.

A crash is told from a connection reset, a planned exit and the loss of several targets at once.
"""

from __future__ import annotations

import asyncio

from gradepoint.gateway.target_crashes import TargetCrash
from tests.support.crasher import TargetCrasher
from tests.support.platform import CallAnswer, Deployment, run_in_virtual_time, until
from tests.support.virtual_network import NetworkLoop


async def start_calls(deployment: Deployment, count: int) -> list[asyncio.Task[CallAnswer]]:
    """Start long-running calls, and wait until targets have received them all."""
    calls = [
        asyncio.ensure_future(deployment.call(f"/single/plain/{number}")) for number in range(count)
    ]
    await until(lambda: sum(len(t.seen) for t in deployment.targets) == count)
    return calls


def record_crashes(deployment: Deployment) -> list[TargetCrash]:
    """Return a list to which the first gateway appends the target crashes that it detects."""
    crashes: list[TargetCrash] = []
    deployment.gateways[0].crash_detector.on_crash = crashes.append
    return crashes


async def start_deployment(deployment: Deployment, targets: int) -> TargetCrasher:
    """Start a gateway and then targets, whose answers take half a second."""
    await deployment.start(gateways=1, targets=0)
    crasher = TargetCrasher(deployment)
    await crasher.add_targets(targets, work_s=0.5)
    await until(lambda: len(deployment.gateways[0].targets.by_id) == targets)
    return crasher


def test_crash_reports_exactly_the_calls_of_its_target() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 6)
        crashed, other = deployment.targets
        on_it = {request.path for request in crashed.seen}
        assert on_it and other.seen
        crasher.crash(crashed)
        answers = await asyncio.gather(*calls)
        assert len(crashes) == 1 and not crashes[0].planned and not crashes[0].common
        assert crashes[0].target.name == crashed.name
        assert {running.request.path for running in crashes[0].requests} == on_it
        assert sorted(answer.status for answer in answers) == [200] * len(other.seen) + [502] * len(
            on_it
        )

    run_in_virtual_time(work)


def test_connection_reset_is_not_a_crash() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 6)
        crasher.reset_connections(deployment.targets[0])
        await asyncio.gather(*calls)
        await asyncio.sleep(5.0)
        assert not crashes

    run_in_virtual_time(work)


def test_crash_detected_when_target_restarts_at_once() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 1)
        crasher.restart_delay_s = 0.0
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 2)
        crasher.crash(deployment.targets[0])
        await asyncio.gather(*calls)
        await until(lambda: bool(crashes))
        assert len(crashes) == 1 and len(crashes[0].requests) == 2

    run_in_virtual_time(work)


def test_simultaneous_crashes_reported_as_common() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 6)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 24)
        lost = [target for target in deployment.targets if target.seen][:4]
        for target in lost:
            crasher.crash(target)
        await asyncio.gather(*calls)
        assert [crash.common for crash in crashes] == [True] * 4

    run_in_virtual_time(work)


def test_crash_together_with_idle_targets_is_common() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 6)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 1)
        busy = next(target for target in deployment.targets if target.seen)
        idle = [target for target in deployment.targets if target is not busy][:2]
        for target in (busy, *idle):
            crasher.crash(target)
        await asyncio.gather(*calls)
        await until(lambda: bool(crashes))
        assert [crash.common for crash in crashes] == [True]

    run_in_virtual_time(work)


def test_two_simultaneous_crashes_are_not_common() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 6)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 24)
        for target in [target for target in deployment.targets if target.seen][:2]:
            crasher.crash(target)
        await asyncio.gather(*calls)
        assert [crash.common for crash in crashes] == [False] * 2

    run_in_virtual_time(work)


def test_exit_of_draining_target_is_planned() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2)
        crashes = record_crashes(deployment)
        calls = await start_calls(deployment, 6)
        leaving = next(target for target in deployment.targets if target.seen)
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        await asyncio.sleep(0.2)
        crasher.crash(leaving, restarts=False)
        await asyncio.gather(*calls)
        assert len(crashes) == 1 and crashes[0].planned

    run_in_virtual_time(work)


def test_crashed_targets_avoided_while_others_are_up() -> None:
    # The entry of a crashed target lapses only after 3.6 s. If calls were sent to it until then,
    # there could be 206 attempts at closed ports within 14 s, and calls would fail after four such
    # attempts while other targets had free slots.
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 12)
        for target in deployment.targets[:11]:
            crasher.crash(target, restarts=False)
        answers = [await deployment.call(f"/single/plain/{number}") for number in range(8)]
        # The first calls detect the closed ports, each of which is detected once.
        assert [answer.status for answer in answers[4:]] == [200] * 4

    run_in_virtual_time(work)


def test_unreachable_target_used_again_soon_after_recovery() -> None:
    async def work(deployment: Deployment) -> None:
        await start_deployment(deployment, 1)
        target = deployment.targets[0]
        port = target.server.port
        target.server.abort()
        assert (await deployment.call("/single/plain/1")).status == 503
        await target.start(port=port)
        await asyncio.sleep(1.0)
        assert (await deployment.call("/single/plain/2")).status == 200

    run_in_virtual_time(work)


def test_retry_does_not_wait_for_unresponsive_target_check() -> None:
    # The connection is reset, and the check whether the target is up takes a quarter of a second.
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2)
        pending_call = asyncio.ensure_future(deployment.call("/plain/x"))
        await until(lambda: any(target.seen for target in deployment.targets))
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        first, second = sorted(deployment.targets, key=lambda target: -len(target.seen))
        crasher.reset_connections(first)
        await asyncio.sleep(0.0015)
        loop.silent.add(first.server.port)
        started_at = loop.time()
        await until(lambda: bool(second.seen))
        assert loop.time() - started_at < 0.1
        assert (await pending_call).status == 200

    run_in_virtual_time(work)
