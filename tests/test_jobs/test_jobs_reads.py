"""Calls to the key-value service by readers of a job whose owner was lost."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from gradepoint.cmd.gateway_program import PLATFORM
from gradepoint.ids import Incarnation, JobId
from gradepoint.jobs.adoption import LOST_AFTER_S, SWEEP_RETRY_S
from gradepoint.jobs.records import ItemOutcome, JobState, Result
from gradepoint.jobs.repository import CommittedWork
from gradepoint.util.clock import monotonic
from tests.support.platform import HOST, ITEM_TOKENS, Deployment, job_item, run_in_virtual_time
from tests.support.store_calls import CountingStore, prepare_hosts

READERS = 4
"""Clients that read the same job, each at another host."""
FIRST_TEXT = "first"


async def create_orphan(deployment: Deployment) -> None:
    """Store a job of three items, one of them listed, whose owner is not listed."""
    repository = deployment.gateways[0].repository
    items = PLATFORM.job_dialect.decode_submission(
        msgspec.json.encode({"items": [job_item("job", index) for index in range(3)]})
    )
    ids = [item.id for item in items]
    state = JobState("night", HOST, Incarnation("gone:x"), 0, ids, [ITEM_TOKENS] * 3)
    submission = await repository.accept(JobId("job"), state, items, 0)
    assert submission.job is not None
    listed = Result(0, ItemOutcome.COMPLETE, FIRST_TEXT)
    await repository.commit(submission.job, CommittedWork([listed]))


@pytest.mark.parametrize("hosts", [6, 70])
def test_readers_without_new_results_do_not_read_results_again(hosts: int) -> None:
    # Each read of a job without a known owner read the state and all results, also those that the
    # reader has, and a reader that waited did not notice the new owner: 17 reads of keys and new
    # results after 2.0 s, with 1 s for the takeover.
    async def work(deployment: Deployment) -> None:
        await prepare_hosts(deployment, hosts, 1)
        store = deployment.store
        assert isinstance(store, CountingStore)
        await create_orphan(deployment)
        store.counted.clear()
        created_at = monotonic()

        async def read(gateway: int) -> int:
            polls, position = 0, 1
            while position == 1:
                page = await deployment.read_results("job", 1, gateway=gateway)
                polls += 1
                position += len(page["results"])
            assert page["next_token"] == position
            first = await deployment.read_results("job", 0, gateway=gateway)
            assert first["results"][0]["message"] == FIRST_TEXT
            return polls

        polls = await asyncio.gather(*(read(number) for number in range(READERS)))
        assert store.counted["key gp/job"] <= sum(polls)
        assert store.counted["key gp/result/job"] <= 1, "the new owner reads them once"
        assert monotonic() - created_at < LOST_AFTER_S + SWEEP_RETRY_S

    run_in_virtual_time(work)
