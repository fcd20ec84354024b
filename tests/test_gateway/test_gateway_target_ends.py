"""The end of a target is told from a reset, a planned end and the loss of several at once."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.target_ends import TargetEnd
from tests.support.crashes import Crashes
from tests.support.platform import CallAnswer, Deployment, run_in_virtual_time, until
from tests.support.virtual_network import NetworkLoop


async def start_calls(deployment: Deployment, count: int) -> list[asyncio.Task[CallAnswer]]:
    """Start calls that run for a while, and wait until targets have them all."""
    calls = [
        asyncio.ensure_future(deployment.call(f"/single/plain/{number}")) for number in range(count)
    ]
    await until(lambda: sum(len(t.seen) for t in deployment.targets) == count)
    return calls


def record_ends(deployment: Deployment) -> list[TargetEnd]:
    """Return the list to which the first gateway's ends are added."""
    ends: list[TargetEnd] = []
    deployment.gateways[0].target_ends.on_end = ends.append
    return ends


async def start(deployment: Deployment, targets: int) -> Crashes:
    """Start a gateway before targets whose answers take half a second."""
    await deployment.start(gateways=1, targets=0)
    crashes = Crashes(deployment)
    await crashes.add_targets(targets, work_s=0.5)
    await until(lambda: len(deployment.gateways[0].targets.by_id) == targets)
    return crashes


def test_an_end_names_every_call_of_the_target_and_no_other() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 2)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 6)
        ended, other = deployment.targets
        on_it = {request.path for request in ended.seen}
        assert on_it and other.seen
        crashes.end(ended)
        answers = await asyncio.gather(*calls)
        assert len(ends) == 1 and not ends[0].planned and not ends[0].common
        assert ends[0].target.name == ended.name
        assert {request.path for request, _ in ends[0].requests} == on_it
        assert sorted(answer.status for answer in answers) == [200] * len(other.seen) + [502] * len(
            on_it
        )

    run_in_virtual_time(work)


def test_connections_that_are_reset_are_no_end() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 2)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 6)
        crashes.reset_connections(deployment.targets[0])
        await asyncio.gather(*calls)
        await asyncio.sleep(5.0)
        assert not ends

    run_in_virtual_time(work)


def test_a_target_that_is_back_at_once_has_ended() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 1)
        crashes.back_s = 0.0
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 2)
        crashes.end(deployment.targets[0])
        await asyncio.gather(*calls)
        await until(lambda: bool(ends))
        assert len(ends) == 1 and len(ends[0].requests) == 2

    run_in_virtual_time(work)


def test_targets_that_end_together_are_told_as_such() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 6)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 24)
        lost = [target for target in deployment.targets if target.seen][:4]
        for target in lost:
            crashes.end(target)
        await asyncio.gather(*calls)
        assert [end.common for end in ends] == [True] * 4

    run_in_virtual_time(work)


def test_a_target_that_ends_with_idle_ones_ended_for_no_request() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 6)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 1)
        busy = next(target for target in deployment.targets if target.seen)
        idle = [target for target in deployment.targets if target is not busy][:2]
        for target in (busy, *idle):
            crashes.end(target)
        await asyncio.gather(*calls)
        await until(lambda: bool(ends))
        assert [end.common for end in ends] == [True]

    run_in_virtual_time(work)


def test_two_targets_that_end_at_once_may_each_have_had_the_cause() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 6)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 24)
        for target in [target for target in deployment.targets if target.seen][:2]:
            crashes.end(target)
        await asyncio.gather(*calls)
        assert [end.common for end in ends] == [False] * 2

    run_in_virtual_time(work)


def test_the_end_of_a_target_that_leaves_is_planned() -> None:
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 2)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 6)
        leaving = next(target for target in deployment.targets if target.seen)
        deployment.store.put(f"servers/{leaving.name}", leaving.entry("draining"))
        await asyncio.sleep(0.2)
        crashes.end(leaving, comes_back=False)
        await asyncio.gather(*calls)
        assert len(ends) == 1 and ends[0].planned

    run_in_virtual_time(work)


def test_targets_that_have_ended_get_no_calls_while_others_are_there() -> None:
    # Calls were drawn to ended targets until their entries lapsed 3.6 s later: 206 tries at closed
    # ports within 14 s, and calls refused after four of them while other targets had room.
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 12)
        for target in deployment.targets[:11]:
            crashes.end(target, comes_back=False)
        answers = [await deployment.call(f"/single/plain/{number}") for number in range(8)]
        # The first calls find out, and each closed port is found out once.
        assert [answer.status for answer in answers[4:]] == [200] * 4

    run_in_virtual_time(work)


def test_a_target_that_was_cut_off_gets_calls_soon_after() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment, 1)
        target = deployment.targets[0]
        port = target.server.port
        target.server.abort()
        assert (await deployment.call("/single/plain/1")).status == 503
        await target.start(port=port)
        await asyncio.sleep(1.0)
        assert (await deployment.call("/single/plain/2")).status == 200

    run_in_virtual_time(work)


def test_a_call_s_next_try_does_not_wait_for_a_target_that_says_nothing() -> None:
    # Its connection is cut, and a look at it takes a quarter of a second.
    async def work(deployment: Deployment) -> None:
        crashes = await start(deployment, 2)
        calling = asyncio.ensure_future(deployment.call("/plain/x"))
        await until(lambda: any(target.seen for target in deployment.targets))
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        first, second = sorted(deployment.targets, key=lambda target: -len(target.seen))
        crashes.reset_connections(first)
        await asyncio.sleep(0.0015)
        loop.silent.add(first.server.port)
        begun = loop.time()
        await until(lambda: bool(second.seen))
        assert loop.time() - begun < 0.1
        assert (await calling).status == 200

    run_in_virtual_time(work)
