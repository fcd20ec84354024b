"""Tests of unexpected exceptions in the work on one job.

They must be logged, must not be repeated without a delay, and must not affect other jobs.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from bench.platform.target import TargetFault, TargetStandin
from gradepoint import events
from gradepoint.errors import KvUnavailable
from gradepoint.events import Event
from gradepoint.ids import JobId
from gradepoint.jobs.repository import StoredJob
from gradepoint.jobs.worker import COMMIT_RETRY_S, ITEM_RETRY_S
from gradepoint.util import tasks
from tests.support.platform import Deployment, run_in_virtual_time, until

OBSERVATION_S = 1.0


@pytest.fixture
def logged_events(monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """Return a list that collects the events that task groups log."""
    rows: list[Event] = []
    monkeypatch.setattr(tasks, "emit", lambda event, **_: rows.append(event))
    return rows


async def count_calls(deployment: Deployment, calls: list[float]) -> int:
    """Submit a job; return the number of calls of a failing step within a second of the first."""
    assert (await deployment.submit("job", 1)).status == 202
    await until(lambda: bool(calls))
    await asyncio.sleep(OBSERVATION_S)
    return len(calls)


def test_item_retry_is_delayed_after_unexpected_exception(
    monkeypatch: pytest.MonkeyPatch, logged_events: list[Event]
) -> None:
    """Nothing awaits the task of an item's run. An exception in it would go unnoticed, and the
    item would be sent to a target again at each check for free slots.
    """
    calls: list[float] = []

    async def fail(*_: Any) -> str:
        calls.append(0.0)
        raise KeyError("a fault")

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        monkeypatch.setattr("gradepoint.jobs.worker.run_item", fail)
        assert 2 <= await count_calls(deployment, calls) <= OBSERVATION_S / ITEM_RETRY_S + 1

    run_in_virtual_time(work)
    assert logged_events and set(logged_events) == {events.TASK_FAILED}


def test_reload_of_one_job_does_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host reloads an own job whose listed results it does not know. If the store is slow to
    answer, the items and commits of its other jobs must not wait for it.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        gateway = deployment.gateways[0]
        asked: list[JobId] = []

        async def never_answer(stored: StoredJob) -> Any:
            asked.append(stored.id)
            await asyncio.Event().wait()

        assert (await deployment.submit("lost", 1)).status == 202
        await deployment.read_all_results("lost")
        stored = await gateway.repository.load(JobId("lost"))
        assert stored is not None
        state = msgspec.structs.replace(stored.state, listed=[])
        gateway.worker.drop(stored.id, "lost track of")
        monkeypatch.setattr(gateway.repository, "load_items", never_answer)
        gateway.worker.jobs_to_reload.append(
            StoredJob(stored.id, state, stored.revision, stored.created)
        )
        gateway.worker.work_available.set()
        await until(lambda: bool(asked))
        assert (await deployment.submit("other", 3)).status == 202
        assert len(await deployment.read_all_results("other")) == 3
        assert len(asked) == 1

    run_in_virtual_time(work)


def test_failed_reload_is_retried_after_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise a failing store would get a read at each iteration of the worker."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        gateway = deployment.gateways[0]
        asked: list[JobId] = []

        async def fail(stored: StoredJob) -> Any:
            asked.append(stored.id)
            raise KvUnavailable("away")

        assert (await deployment.submit("lost", 1)).status == 202
        await until(lambda: JobId("lost") in gateway.worker.jobs)
        stored = gateway.worker.jobs[JobId("lost")].stored
        gateway.worker.drop(stored.id, "lost track of")
        monkeypatch.setattr(gateway.repository, "load_items", fail)
        gateway.worker.jobs_to_reload.append(stored)
        gateway.worker.work_available.set()
        await until(lambda: bool(asked))
        await asyncio.sleep(OBSERVATION_S)
        assert 2 <= len(asked) <= OBSERVATION_S / ITEM_RETRY_S + 1

    run_in_virtual_time(work)


def test_commit_retry_is_delayed_after_unexpected_exception(
    monkeypatch: pytest.MonkeyPatch, logged_events: list[Event]
) -> None:
    """Otherwise the failing commit would be repeated at each iteration of the worker, unnoticed."""
    calls: list[float] = []

    async def fail(*_: Any, **__: Any) -> Any:
        calls.append(0.0)
        raise KeyError("a fault")

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        monkeypatch.setattr(deployment.gateways[0].repository, "commit", fail)
        assert 2 <= await count_calls(deployment, calls) <= OBSERVATION_S / COMMIT_RETRY_S + 1

    run_in_virtual_time(work)
    assert logged_events and set(logged_events) == {events.TASK_FAILED}


def test_item_of_a_silent_target_goes_on_elsewhere() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=0)
        for name, fault in (("silent", TargetFault.SILENT), ("sound", TargetFault.NONE)):
            await deployment.add_target(TargetStandin(name, faults=[fault]))
        await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)
        assert (await deployment.submit("job", 4)).status == 202
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        rows = await deployment.read_all_results("job")
        assert {row["state"] for row in rows} == {"complete"}
        assert deployment.targets[0].seen
        assert loop.time() - started_at < 10.0

    run_in_virtual_time(work)


def test_item_whose_task_is_cancelled_before_it_begins_leaves_no_slot_in_use() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=0)
        assert (await deployment.submit("job", 1)).status == 202
        worker = deployment.gateways[0].worker
        await until(lambda: bool(worker.jobs))
        [job] = worker.jobs.values()
        await deployment.add_target(TargetStandin("t0"))
        worker.start_allowance, worker._start_items = 0, lambda: None  # type: ignore[method-assign]
        await until(lambda: bool(worker.forwarder.targets.by_id))
        [target] = worker.forwarder.targets.by_id.values()
        worker._start(job, 0, target, 1)
        job.stop()
        await asyncio.sleep(0.1)
        assert not worker.running and not job.running and target.in_flight == 0

    run_in_virtual_time(work)
