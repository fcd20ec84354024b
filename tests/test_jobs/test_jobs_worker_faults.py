"""An exception in one item, job or step of the worker takes nothing from the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from gradepoint.jobs.owned import OwnedJob
from gradepoint.jobs.worker import Worker
from tests.support.platform import Deployment, run_in_virtual_time

if TYPE_CHECKING:
    import pytest

BAD = "a-job"


async def check_jobs_end(deployment: Deployment, *job_ids: str) -> None:
    """Submit jobs of two items, the bad one first, and check that the others get their results."""
    await deployment.start(gateways=2, targets=1)
    for job_id in (BAD, *job_ids):
        assert (await deployment.submit(job_id, 2)).status == 202
    for job_id in job_ids:
        rows = await deployment.read_all_results(job_id)
        assert [row["state"] for row in rows] == ["complete"] * 2


def test_item_that_cannot_be_started_stops_no_other_item(monkeypatch: pytest.MonkeyPatch) -> None:
    # The worker began each turn with the same item and raised the same exception.
    identify = OwnedJob.request_identity

    def identify_unless_bad(self: OwnedJob, index: int) -> Any:
        if self.id == BAD and index == 0:
            raise ZeroDivisionError("a fault")
        return identify(self, index)

    monkeypatch.setattr(OwnedJob, "request_identity", identify_unless_bad)

    async def work(deployment: Deployment) -> None:
        await check_jobs_end(deployment, "b-job", "c-job")
        assert len((await deployment.read_results(BAD))["results"]) == 1
        # The other loops of the host go on as well, so that no other host takes over its jobs.
        await asyncio.sleep(10.0)
        assert all(len(gateway.heartbeats.heard) == 1 for gateway in deployment.gateways)

    run_in_virtual_time(work)


def test_job_that_cannot_be_checked_for_a_commit_stops_no_other_commit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wants_commit = Worker._wants_commit

    def wants_commit_unless_bad(self: Worker, job: OwnedJob, now: float) -> bool:
        if job.id == BAD:
            raise ZeroDivisionError("a fault")
        return wants_commit(self, job, now)

    monkeypatch.setattr(Worker, "_wants_commit", wants_commit_unless_bad)
    run_in_virtual_time(lambda deployment: check_jobs_end(deployment, "b-job", "c-job"))


def test_step_that_always_fails_stops_no_later_step(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_: Worker) -> None:
        raise ZeroDivisionError("a fault")

    monkeypatch.setattr(Worker, "_preempt_items", fail)
    monkeypatch.setattr(Worker, "_report_waiting_items", fail)
    run_in_virtual_time(lambda deployment: check_jobs_end(deployment, "b-job"))
