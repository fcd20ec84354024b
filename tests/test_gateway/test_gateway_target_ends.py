"""The end of a target is told from a reset, a planned end and the loss of several at once."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.target_ends import TargetEnd
from tests.support.crashes import Crashes
from tests.support.platform import CallAnswer, Deployment, run_in_virtual_time, until


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
        assert {request.path for request in ends[0].requests} == on_it
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
        crashes = await start(deployment, 4)
        ends = record_ends(deployment)
        calls = await start_calls(deployment, 16)
        lost = [target for target in deployment.targets if target.seen][:2]
        for target in lost:
            crashes.end(target)
        await asyncio.gather(*calls)
        assert [end.common for end in ends] == [True, True]

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
