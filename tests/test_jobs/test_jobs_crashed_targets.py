"""Tests of batch items whose targets crash.

An accepted item is owed whatever happened to the targets that ran it. An item that had been on four
crashed targets was held back for ten minutes, and so was every item with a held part of its prompt.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.identity import hash_part
from gradepoint.ids import PromptPart, TargetNumber
from gradepoint.routing.suspects import HELD_CRASHES, Standing, Trial
from tests.support.crasher import TargetCrasher
from tests.support.platform import (
    Deployment,
    item_text,
    job_item,
    route,
    run_in_virtual_time,
    until,
)

EVENTS = 60
EVENT_INTERVAL_S = 0.02
WORK_S = EVENTS * EVENT_INTERVAL_S
LONG_WORK_S = 4.0
RESTART_DELAY_S = 0.4
PLACED_WITHIN_S = 1.0
"""Seconds after the last crash within which an item runs, if a target has room."""
LISTED_WITHIN_S = 5.0
"""Seconds in addition to its work within which it is listed."""
PART = PromptPart("3a7c91")
"""First part of the items' prompts."""


async def start_deployment(
    deployment: Deployment, hosts: int, targets: int, retention_s: float = 600.0
) -> TargetCrasher:
    """Start hosts and targets that restart under another name soon after a crash."""
    await deployment.start(gateways=hosts, targets=0)
    crasher = TargetCrasher(deployment, RESTART_DELAY_S)
    crasher.renames_on_restart = True
    await crasher.add_targets(targets, events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    routes = [
        route("night", "batch", due_ms=60_000, retention_s=retention_s, max_attempts=2),
        route("plain", "safe", max_attempts=3),
    ]
    await deployment.configure(2, None, routes)
    for gateway in deployment.gateways:
        await until(lambda gateway=gateway: len(gateway.targets.by_id) >= targets)  # type: ignore[misc]
    return crasher


async def submit(deployment: Deployment, items: int) -> list[str]:
    """Submit a job whose items share the first part of their prompts; return the items' ids."""
    rows = [job_item("job", index) for index in range(items)]
    for index, row in enumerate(rows):
        row["headers"] = {"X-Model": "m", "X-Prompt-Prefix": f"{PART}:100,{index:x}:250"}
    body = msgspec.json.encode({"items": rows})
    answer = await deployment.call("/night/job", body=body, request_id="job")
    assert answer.status == 202
    return [row["id"] for row in rows]


async def wait_for_run(deployment: Deployment, item: str) -> TargetStandin:
    """Wait until a target begins another run of an item, and return the target."""
    before = [target.ran[item] for target in deployment.targets]

    def find() -> TargetStandin | None:
        runs = zip(deployment.targets, before, strict=True)
        return next((target for target, count in runs if target.ran[item] > count), None)

    await until(lambda: find() is not None)
    target = find()
    assert target is not None
    return target


async def crash_under(
    deployment: Deployment, crasher: TargetCrasher, item: str, crashes: int
) -> None:
    """Crash the target of each run of an item at its start."""
    for _ in range(crashes):
        crasher.crash(await wait_for_run(deployment, item))


async def check_listed_soon(deployment: Deployment) -> None:
    """Check that all items are complete within the bound, from now on."""
    loop = asyncio.get_running_loop()
    calm_at = loop.time()
    rows = await deployment.read_all_results("job")
    assert loop.time() - calm_at <= WORK_S + LISTED_WITHIN_S
    assert {row["state"] for row in rows} == {"complete"}
    assert all(row["message"] == item_text(row["id"], EVENTS) for row in rows)


@pytest.mark.parametrize("targets", [1, 2, 30])
@pytest.mark.parametrize("crashes", [4, 8, 50])
def test_item_runs_soon_after_the_last_of_many_crashes_of_its_targets(
    crashes: int, targets: int
) -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2, targets)
        items = await submit(deployment, 3)
        await crash_under(deployment, crasher, items[0], crashes)
        await until(lambda: len(crasher.down) < targets)
        loop = asyncio.get_running_loop()
        calm_at = loop.time()
        await wait_for_run(deployment, items[0])
        assert loop.time() - calm_at <= PLACED_WITHIN_S
        await check_listed_soon(deployment)

    run_in_virtual_time(work)


def hold_part(deployment: Deployment) -> None:
    """Record crashes at every host that hold back requests with :data:`PART`."""
    now = asyncio.get_running_loop().time()
    for gateway in deployment.gateways:
        suspects = gateway.suspicion.suspects
        for number in range(HELD_CRASHES):
            suspects.note_crash(TargetNumber(number), [(hash_part(PART), Trial.ALONE)], now)
        assert suspects.find_standing(hash_part(PART), now) is Standing.HELD


def test_item_runs_although_a_part_of_its_prompt_is_held_back() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2, 4)
        items = await submit(deployment, 1)
        target = await wait_for_run(deployment, items[0])
        hold_part(deployment)
        crasher.crash(target)
        await check_listed_soon(deployment)

    run_in_virtual_time(work)


def test_crashes_under_items_hold_back_no_live_call() -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 2, 6)
        items = await submit(deployment, 3)
        await crash_under(deployment, crasher, items[0], 8)
        now = asyncio.get_running_loop().time()
        for gateway in deployment.gateways:
            assert not gateway.suspicion.list_suspected()
            assert gateway.suspicion.suspects.find_standing(hash_part(PART), now) is Standing.CLEAR
        answer = await deployment.call("/plain/x", x_prompt_prefix=f"{PART}:100,ff:250")
        assert answer.status == 200

    run_in_virtual_time(work)


async def crash_in_bursts(deployment: Deployment, crasher: TargetCrasher, seed: int) -> None:
    """Crash a third of the targets each 0.4 s, in three bursts of five."""
    rng = random.Random(seed)
    for _ in range(3):
        for _ in range(5):
            for target in rng.sample(deployment.targets, len(deployment.targets) // 3):
                crasher.crash(target)
            await asyncio.sleep(0.4)
        await asyncio.sleep(3.0)


async def restart_hosts(deployment: Deployment, count: int) -> None:
    """Kill hosts, the owner of the job first, and start others in their place."""
    gateways = sorted(deployment.gateways, key=lambda gateway: "job" not in gateway.worker.jobs)
    for gateway in gateways[:count]:
        await deployment.kill(gateway)
    for number in range(count):
        await deployment.add_gateway(f"host-{9 + number}")


@pytest.mark.parametrize("killed_hosts", [0, 1, 3])
@pytest.mark.parametrize("targets", [6, 12])
@pytest.mark.parametrize("seed", [0, 2, 4])
def test_all_items_are_listed_soon_after_bursts_of_crashes(
    seed: int, targets: int, killed_hosts: int
) -> None:
    async def work(deployment: Deployment) -> None:
        crasher = await start_deployment(deployment, 3, targets)
        for target in deployment.targets:
            target.event_interval_s = LONG_WORK_S / EVENTS
        await submit(deployment, 24)
        bursts = asyncio.ensure_future(crash_in_bursts(deployment, crasher, seed))
        await asyncio.sleep(4.0)
        await restart_hosts(deployment, killed_hosts)
        await bursts
        loop = asyncio.get_running_loop()
        calm_at = loop.time()
        rows = await deployment.read_all_results("job")
        assert loop.time() - calm_at <= LONG_WORK_S + LISTED_WITHIN_S
        assert {row["state"] for row in rows} == {"complete"}

    run_in_virtual_time(work, seed)
