"""Background work that meets a fault is heard of, and what has to go on goes on."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gradepoint import events
from gradepoint.events import Event
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util import tasks
from gradepoint.util.clock import monotonic
from gradepoint.util.tasks import GO_ON_S, TaskGroup
from tests.support.platform import Deployment, run_deployment, until

Told = list[tuple[Event, dict[str, Any]]]


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> Told:
    """Return the events that task groups log, as they come."""
    rows: Told = []
    monkeypatch.setattr(tasks, "emit", lambda event, **fields: rows.append((event, fields)))
    return rows


async def fail() -> None:
    """End by a fault."""
    raise KeyError("a fault")


def test_background_work_that_ends_by_a_fault_is_logged(told: Told) -> None:
    # Nobody waits for background work. Where its error is not logged, what it kept up to date
    # grows old and nothing tells why.
    async def work() -> None:
        TaskGroup().start(fail())
        await asyncio.sleep(0.1)

    run_virtual(work())
    [(event, fields)] = told
    assert event is events.TASK_FAILED
    assert fields["task"] == "fail" and "a fault" in fields["reason"]
    assert "test_util_tasks.py" in fields["where"]


def test_an_error_that_its_starter_takes_is_not_logged(told: Told) -> None:
    async def work() -> None:
        with pytest.raises(KeyError):
            await TaskGroup().start(fail(), awaited=True)

    run_virtual(work())
    assert not told


def test_a_loop_goes_on_after_a_fault(told: Told) -> None:
    # A loop that looks after something for ever must not end unseen at the first fault: the
    # host would act on what the loop knew last, for as long as its process lives.
    begun: list[float] = []

    async def loop() -> None:
        begun.append(monotonic())
        await asyncio.sleep(1.0)
        await fail()

    async def work() -> None:
        group = TaskGroup()
        group.keep("a loop", loop)
        await asyncio.sleep(10.0)
        assert begun == pytest.approx([0.0, 1.0 + GO_ON_S, 2 * (1.0 + GO_ON_S), 4.5, 6.0, 7.5, 9.0])
        await group.stop()
        assert not group.tasks

    run_virtual(work())
    assert {event for event, _ in told} == {events.LOOP_FAILED}
    assert {fields["task"] for _, fields in told} == {"a loop"}


def test_a_gateway_sweeps_on_after_a_fault(monkeypatch: pytest.MonkeyPatch, told: Told) -> None:
    # The sweep forgets targets that are gone and hosts that are silent. Had one fault ended it,
    # both would stay in choice for ever.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]

        sweep = gateway.beats.forget_silent
        faults = [KeyError("a fault")]

        def forget_silent() -> None:
            if faults:
                raise faults.pop()
            sweep()

        monkeypatch.setattr(gateway.beats, "forget_silent", forget_silent)
        await until(lambda: not faults)
        deployment.store.delete("servers/t0")
        await until(lambda: len(gateway.targets.by_id) == 1)

    run_deployment(work)
