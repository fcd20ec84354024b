"""A fault in the work on one job is heard of, and is not repeated without a pause."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from gradepoint import events
from gradepoint.errors import KvUnavailable
from gradepoint.events import Event
from gradepoint.ids import JobId
from gradepoint.jobs.repository import StoredJob
from gradepoint.jobs.worker import COMMIT_RETRY_S, RETRY_S
from gradepoint.util import tasks
from tests.support.platform import Deployment, run_in_virtual_time, until

LOOKED_S = 1.0


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """Return the events that task groups log, as they come."""
    rows: list[Event] = []
    monkeypatch.setattr(tasks, "emit", lambda event, **_: rows.append(event))
    return rows


async def count_calls(deployment: Deployment, calls: list[float]) -> int:
    """Return how many calls of a faulty step come in a second from its first."""
    assert (await deployment.submit("job", 1)).status == 202
    await until(lambda: bool(calls))
    await asyncio.sleep(LOOKED_S)
    return len(calls)


def test_an_item_whose_run_meets_a_fault_waits_for_its_next_try(
    monkeypatch: pytest.MonkeyPatch, told: list[Event]
) -> None:
    # Nobody waits for an item's run. A fault in it would be seen nowhere, and the item would be
    # sent to a target again at each look for free slots.
    calls: list[float] = []

    async def fail(*_: Any) -> str:
        calls.append(0.0)
        raise KeyError("a fault")

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        monkeypatch.setattr("gradepoint.jobs.worker.read_item", fail)
        assert 2 <= await count_calls(deployment, calls) <= LOOKED_S / RETRY_S + 1

    run_in_virtual_time(work)
    assert told and set(told) == {events.TASK_FAILED}


def test_other_jobs_go_on_while_one_is_read_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    # A host reads a job of its own anew whose results it does not know. Where the store is slow
    # to answer, the items and commits of its other jobs must not wait for that.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        gateway = deployment.gateways[0]
        asked: list[JobId] = []

        async def never_answer(stored: StoredJob) -> Any:
            asked.append(stored.id)
            await asyncio.Event().wait()

        assert (await deployment.submit("lost", 1)).status == 202
        await deployment.read_whole("lost")
        stored = await gateway.repository.load(JobId("lost"))
        assert stored is not None
        state = msgspec.structs.replace(stored.state, listed=[])
        gateway.worker.drop(stored.id, "lost track of")
        monkeypatch.setattr(gateway.repository, "load_items", never_answer)
        gateway.worker.to_take.append(StoredJob(stored.id, state, stored.revision, stored.created))
        gateway.worker.wanted.set()
        await until(lambda: bool(asked))
        assert (await deployment.submit("other", 3)).status == 202
        assert len(await deployment.read_whole("other")) == 3
        assert len(asked) == 1

    run_in_virtual_time(work)


def test_a_job_that_cannot_be_read_is_not_asked_for_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
        gateway.worker.to_take.append(stored)
        gateway.worker.wanted.set()
        await until(lambda: bool(asked))
        await asyncio.sleep(LOOKED_S)
        assert 2 <= len(asked) <= LOOKED_S / RETRY_S + 1

    run_in_virtual_time(work)


def test_a_commit_that_meets_a_fault_waits_for_its_next_try(
    monkeypatch: pytest.MonkeyPatch, told: list[Event]
) -> None:
    calls: list[float] = []

    async def fail(*_: Any, **__: Any) -> Any:
        calls.append(0.0)
        raise KeyError("a fault")

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1)
        monkeypatch.setattr(deployment.gateways[0].repository, "commit", fail)
        assert 2 <= await count_calls(deployment, calls) <= LOOKED_S / COMMIT_RETRY_S + 1

    run_in_virtual_time(work)
    assert told and set(told) == {events.TASK_FAILED}
