"""Each batch item gets exactly one result, under crashes, pauses and outages.

Real workers run in virtual time over fake ports. The tests guard against lost and duplicate
results, and against a second run of an item that is not repeatable, when a chunk changes its
holder or replies of the key-value service are lost.
"""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from gradepoint.batch.records import JobState
from gradepoint.batch.repository import Repository
from gradepoint.standins.memory_kv import MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.fleet import TOKENS, Fleet

SEEDS = int(os.environ.get("GRADEPOINT_SEEDS", "25"))
"""Number of seeds; ``GRADEPOINT_SEEDS=1000 make test`` runs more than CI does."""

ITEMS = 48
NOT_REPEATABLE = frozenset(range(0, ITEMS, 5))


def check_result(job_id: str, index: int, row: dict[str, Any]) -> None:
    """Check that a result is complete and belongs to its item."""
    assert row["custom_id"] == f"c{index}"
    if row["response"] is None:
        assert index in NOT_REPEATABLE or row["error"]["code"] == "target_lost"
        return
    prompt = f"{job_id}/{index}"
    wanted = "".join(f"{prompt}-{number} " for number in range(TOKENS))
    assert row["response"]["body"]["choices"][0]["text"] == wanted


@pytest.mark.parametrize("seed", range(SEEDS))
def test_every_item_gets_one_result_under_failures(seed: int) -> None:
    async def main() -> None:
        fleet = Fleet(seed)
        await fleet.start()
        job = await fleet.accept_job("job", ITEMS, not_repeatable=NOT_REPEATABLE)
        await fleet.inject_faults(12.0)
        ended = await fleet.wait_finished(job.job_id, 600.0)
        assert ended.state is JobState.COMPLETED
        results = await fleet.results("job")
        assert sorted(results) == list(range(ITEMS))
        for index, row in results.items():
            check_result("job", index, row)
        for index in NOT_REPEATABLE:
            assert fleet.ran(f"job/{index}") <= 1, f"item {index} ran twice"
        assert ended.completed + ended.failed == ITEMS
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(max(3, SEEDS // 5)))
def test_cancelled_job_stops_and_keeps_its_results(seed: int) -> None:
    async def main() -> None:
        fleet = Fleet(1000 + seed)
        await fleet.start()
        await fleet.accept_job("job", ITEMS)
        await fleet.inject_faults(1.0)
        repository = Repository(MemoryKvClient(fleet.store))
        ended = await repository.cancel("org", "job")
        before = await fleet.results("job")
        await fleet.inject_faults(6.0)
        assert await fleet.results("job") == before, "a result was counted after the cancellation"
        job, _ = await repository.job("org", "job")
        assert job is not None and job.state is ended.state
        assert all(not host.worker.shared.chunks for host in fleet.hosts)
        await fleet.stop()

    run_virtual(main())


def test_item_that_crashes_targets_fails_and_the_rest_completes() -> None:
    async def main() -> None:
        fleet = Fleet(7)
        for target in fleet.targets.values():
            target.crashing_text = "killer"
        await fleet.start()
        await fleet.accept_job("job", ITEMS, crashing_item=13)
        ended = await fleet.wait_finished("job", 300.0)
        assert (ended.completed, ended.failed) == (ITEMS - 1, 1)
        results = await fleet.results("job")
        assert results[13]["error"]["code"] == "target_lost"
        assert fleet.ran("job/13/killer") == 3
        await fleet.stop()

    run_virtual(main())


def test_resent_job_is_one_job_despite_lost_replies() -> None:
    async def main() -> None:
        fleet = Fleet(11)
        fleet.fault_rate = 0.6
        first = await fleet.accept_job("job", 16)
        second = await fleet.accept_job("job", 16)
        assert first == second
        fleet.fault_rate = 0.0
        await fleet.start()
        ended = await fleet.wait_finished("job", 60.0)
        assert ended.completed == 16
        assert all(fleet.ran(f"job/{index}") == 1 for index in range(16))
        await fleet.stop()

    run_virtual(main())


def test_outage_of_an_hour_loses_nothing_and_causes_no_retry_storm() -> None:
    async def main() -> None:
        fleet = Fleet(13)
        await fleet.start()
        await fleet.accept_job("job", ITEMS)
        await fleet.inject_faults(0.6)
        fleet.service_down = True
        calls = sum(host.kv.counts.total for host in fleet.hosts)
        await asyncio.sleep(3600.0)
        spent = sum(host.kv.counts.total for host in fleet.hosts) - calls
        assert spent / 3600.0 / len(fleet.hosts) < 12, (
            "too many calls per second and host during the outage"
        )
        fleet.service_down = False
        ended = await fleet.wait_finished("job", 120.0)
        assert ended.completed == ITEMS
        await fleet.stop()

    run_virtual(main())


def test_many_small_jobs_keep_every_host_busy() -> None:
    async def main() -> float:
        fleet = Fleet(17, hosts=9, targets=9)
        await asyncio.gather(*(fleet.accept_job(f"job{n:03d}", 8) for n in range(90)))
        await fleet.start()
        loop = asyncio.get_running_loop()
        started = loop.time()
        for number in range(90):
            await fleet.wait_finished(f"job{number:03d}", 600.0)
        took = loop.time() - started
        await fleet.stop()
        return took

    # 720 items of 0.2 s in 36 slots take 4 s; claims and polls may take another 4 s.
    assert run_virtual(main()) < 12.0
