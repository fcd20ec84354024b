"""A job that cannot be taken over costs itself only: the sweep goes on with the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from gradepoint.errors import KvError, KvRejected, KvUnavailable, KvUncertain
from gradepoint.jobs.adoption import MAX_SWEEP_RETRY_S, STUCK_AFTER_S, SWEEP_RETRY_S
from gradepoint.jobs.records import job_key
from gradepoint.jobs.repository import JobRepository
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, run_in_virtual_time, until

if TYPE_CHECKING:
    from gradepoint.jobs.repository import StoredJob

BAD = "a-job"
"""Comes first in the list of jobs."""


async def check_others_are_done(deployment: Deployment) -> None:
    """Submit jobs, kill all hosts, and check that one which starts runs all jobs but the bad one.

    :param deployment: stopped targets answer once the hosts are killed.
    """
    for job_id in ("b-job", "c-job"):
        assert (await deployment.submit(job_id, 2)).status == 202
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    deployment.targets[0].event_interval_s = 0.0
    gateway = deployment.make_gateway("new")
    await gateway.start()
    deployment.gateways.append(gateway)
    await until(lambda: gateway.ready)
    for job_id in ("b-job", "c-job"):
        rows = await deployment.read_all_results(job_id)
        assert [row["state"] for row in rows] == ["complete"] * 2


def test_job_without_its_input_stops_no_other_adoption() -> None:
    # "0 of 1 parts found" counted as an outage of the service and ended each sweep at this job.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1, event_interval_s=5.0)
        assert (await deployment.submit("job", 1)).status == 202
        copied = deployment.store.keys.keys[job_key("job")].value  # type: ignore[arg-type]
        deployment.store.put(job_key(BAD), copied)  # type: ignore[arg-type]
        await check_others_are_done(deployment)

    run_in_virtual_time(work)


@pytest.mark.parametrize(
    "error",
    [ZeroDivisionError("a fault"), KvRejected("too large", "key", 1, 1), KvUncertain("no answer")],
)
def test_job_that_raises_an_exception_stops_no_other_adoption(
    monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    # Any exception but KvUnreadable ended each sweep at this job, for as long as it existed.
    load = JobRepository.load_items

    async def load_unless_bad(self: JobRepository, job: StoredJob) -> Any:
        if job.id == BAD:
            raise error
        return await load(self, job)

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1, event_interval_s=5.0)
        assert (await deployment.submit(BAD, 1)).status == 202
        monkeypatch.setattr(JobRepository, "load_items", load_unless_bad)
        await check_others_are_done(deployment)

    run_in_virtual_time(work)


def test_job_that_cannot_be_read_is_taken_over_once_it_can(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    adopt = JobRepository.adopt
    errors: list[KvError | Exception] = [ZeroDivisionError("a fault"), KvUncertain("no answer")]

    async def adopt_later(self: JobRepository, job: StoredJob, owner: Any) -> Any:
        if job.id == BAD and errors:
            raise errors.pop()
        return await adopt(self, job, owner)

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1, event_interval_s=5.0)
        assert (await deployment.submit(BAD, 1)).status == 202
        monkeypatch.setattr(JobRepository, "adopt", adopt_later)
        await check_others_are_done(deployment)
        assert len(await deployment.read_all_results(BAD)) == 1

    run_in_virtual_time(work)


def test_job_that_no_host_can_take_over_costs_few_listings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each host listed all jobs twice a second, for as long as the job existed.
    adopt = JobRepository.adopt

    async def adopt_unless_bad(self: JobRepository, job: StoredJob, owner: Any) -> Any:
        if job.id == BAD:
            raise KvRejected("too large", "key", 1, 1)
        return await adopt(self, job, owner)

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=3, targets=1, event_interval_s=5.0)
        owner, lost, left = deployment.gateways
        assert (await deployment.submit(BAD, 1)).status == 202
        monkeypatch.setattr(JobRepository, "adopt", adopt_unless_bad)
        await deployment.kill(owner)
        await asyncio.sleep(2 * STUCK_AFTER_S)
        before, watched_s = left.adoption.sweeps, 10 * MAX_SWEEP_RETRY_S
        await asyncio.sleep(watched_s)
        assert left.adoption.sweeps - before <= watched_s / MAX_SWEEP_RETRY_S
        # The loss of another host is noticed as soon as before.
        deployment.targets[0].event_interval_s = 0.0
        assert (await deployment.submit("b-job", 2)).status == 202
        await deployment.kill(lost)
        assert len(await deployment.read_all_results("b-job")) == 2

    run_in_virtual_time(work)


def test_sweep_that_failed_is_repeated_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    # The pause for jobs that no host can take over was made after each sweep that failed.
    list_jobs = JobRepository.list_jobs
    listed_at: list[float] = []

    async def fail_first(self: JobRepository) -> Any:
        listed_at.append(monotonic())
        if len(listed_at) == 1:
            raise KvUnavailable("no answer")
        return await list_jobs(self)

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        await until(lambda: all(gateway.adoption.shared is None for gateway in deployment.gateways))
        monkeypatch.setattr(JobRepository, "list_jobs", fail_first)
        await deployment.kill(deployment.gateways[0])
        await until(lambda: len(listed_at) > 1)
        assert listed_at[1] - listed_at[0] <= 2 * SWEEP_RETRY_S

    run_in_virtual_time(work)
