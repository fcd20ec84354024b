"""Failures of background tasks are logged, and background loops are restarted."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import ANY

import pytest

from gradepoint import events
from gradepoint.events import Event
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util import tasks
from gradepoint.util.clock import monotonic
from gradepoint.util.tasks import RESTART_DELAY_S, STEADY_S, TaskGroup
from gradepoint.wire.ports import PortState
from tests.support.platform import Deployment, run_deployment, run_in_virtual_time, until

LoggedEvents = list[tuple[Event, dict[str, Any]]]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> LoggedEvents:
    """Return the list to which events logged by task groups are appended."""
    rows: LoggedEvents = []
    monkeypatch.setattr(tasks, "emit", lambda event, **fields: rows.append((event, fields)))
    return rows


async def fail() -> None:
    """Raise an exception."""
    raise KeyError("a fault")


def test_failure_of_a_background_task_is_logged(logged: LoggedEvents) -> None:
    # Nothing awaits a background task. If its exception is not logged, the data it maintains
    # becomes stale without any sign of the reason.
    async def work() -> None:
        TaskGroup().start(fail())
        await asyncio.sleep(0.1)

    run_virtual(work())
    [(event, fields)] = logged
    assert event is events.TASK_FAILED
    assert fields["task"] == "fail" and "a fault" in fields["reason"]
    assert "test_util_tasks.py" in fields["where"]


def test_failure_of_an_awaited_task_is_not_logged(logged: LoggedEvents) -> None:
    async def work() -> None:
        with pytest.raises(KeyError):
            await TaskGroup().start(fail(), awaited=True)

    run_virtual(work())
    assert not logged


def test_background_loop_is_restarted_after_a_failure(logged: LoggedEvents) -> None:
    # If a background loop ended silently at its first exception, the host would act on the data
    # that the loop maintained last until the process ends.
    started_at: list[float] = []

    async def loop() -> None:
        started_at.append(monotonic())
        await asyncio.sleep(1.0)
        await fail()

    async def work() -> None:
        group = TaskGroup()
        group.start_loop("a loop", loop)
        await asyncio.sleep(10.0)
        assert started_at == pytest.approx(
            [0.0, 1.0 + RESTART_DELAY_S, 2 * (1.0 + RESTART_DELAY_S), 4.5, 6.0, 7.5, 9.0]
        )
        await group.stop()
        assert not group.tasks

    run_virtual(work())
    assert {event for event, _ in logged} == {events.LOOP_FAILED}
    assert {fields["task"] for _, fields in logged} == {"a loop"}


def test_loop_that_always_fails_is_logged_after_growing_pauses(logged: LoggedEvents) -> None:
    # Two lines a second for each of several loops displaced the lines that tell the reason.
    async def work() -> None:
        group = TaskGroup()
        group.start_loop("a loop", fail)
        await asyncio.sleep(300.0)
        assert group.find_failing() == {"a loop": ANY}
        assert group.read_failing_s() == {(("loop", "a loop"),): pytest.approx(300.0)}
        await group.stop()

    run_virtual(work())
    assert 8 <= len(logged) <= 12
    counts = [fields["failures"] for _, fields in logged]
    assert counts[:3] == [1, 3, 7] and counts[-1] - counts[-2] == 60.0 / RESTART_DELAY_S


def test_loop_that_works_again_counts_as_working(logged: LoggedEvents) -> None:
    faults = [KeyError("a fault"), KeyError("a fault")]

    async def loop() -> None:
        if faults:
            raise faults.pop()
        await asyncio.sleep(100.0)
        await fail()

    async def work() -> None:
        group = TaskGroup()
        group.start_loop("a loop", loop)
        await asyncio.sleep(1.5)
        assert group.find_failing()
        await asyncio.sleep(STEADY_S)
        assert not group.find_failing()
        await asyncio.sleep(100.0)
        assert group.read_failing_s()[("loop", "a loop"),] < 20.0
        await group.stop()

    run_virtual(work())
    assert [fields["failures"] for _, fields in logged] == [1, 1]


def test_host_that_is_not_ready_names_the_loop_that_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    # The log said "missing: targets" for ever, and nothing why.
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "gradepoint.gateway.readiness.emit",
        lambda event, **fields: lines.append({"event": event, **fields}),
    )

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0)
        gateway = deployment.make_gateway("host")
        monkeypatch.setattr(gateway.target_follower, "reset", lambda _: 1 // 0)
        await gateway.start()
        deployment.gateways.append(gateway)
        await asyncio.sleep(12.0)
        assert not gateway.ready

    run_in_virtual_time(work)
    last = [row for row in lines if row["event"] is events.HOST_NOT_READY][-1]
    assert "ZeroDivisionError" in last["failing_loops"]["first read of targets"]


def test_gateway_sweep_continues_after_a_failure(
    monkeypatch: pytest.MonkeyPatch, logged: LoggedEvents
) -> None:
    # The sweep removes deleted targets and silent hosts. If one exception ended it, both would
    # stay eligible forever.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]

        sweep = gateway.heartbeats.forget_silent
        faults = [KeyError("a fault")]

        def forget_silent() -> None:
            if faults:
                raise faults.pop()
            sweep()

        monkeypatch.setattr(gateway.heartbeats, "forget_silent", forget_silent)
        await until(lambda: not faults)
        deployment.store.delete("servers/t0")
        await until(lambda: len(gateway.targets.by_id) == 1)

    run_deployment(work)


def test_step_of_the_sweep_that_always_fails_stops_no_later_step(
    monkeypatch: pytest.MonkeyPatch, logged: LoggedEvents
) -> None:
    # Silent hosts were never noticed, and the log did not say that the host was not ready.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=3, targets=1)
        lost, left, _ = deployment.gateways
        monkeypatch.setattr(left.targets, "sweep", lambda _: 1 // 0)
        await deployment.kill(lost)
        await until(lambda: lost.own.incarnation in left.adoption.silent)
        await until(lambda: len(left.heartbeats.heard) == 1)
        left.stopping = True
        await until(lambda: bool(left.readiness.missing))

    run_in_virtual_time(work)
    assert {fields["task"] for _, fields in logged} == {"sweep of targets"}


def test_probe_that_fails_hides_no_other_target(monkeypatch: pytest.MonkeyPatch) -> None:
    # All closed ports were probed together, and none was used again.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]
        bad, other = gateway.targets.by_id.values()
        probe = gateway.crash_detector.probe

        async def probe_unless_bad(address: str) -> PortState:
            if address == bad.address:
                raise ZeroDivisionError("a fault")
            return await probe(address)

        monkeypatch.setattr(gateway.crash_detector, "probe", probe_unless_bad)
        for target in (bad, other):
            gateway.crash_detector.note_closed(target)
        await until(lambda: other.closed_at is None)
        assert bad.closed_at is not None

    run_in_virtual_time(work)
