"""Tests that a call which continues on another target avoids targets that drain."""

from __future__ import annotations

import asyncio

import pytest

from bench.platform.target import TargetFault, TargetStandin
from gradepoint.gateway.targets import ListedState
from gradepoint.kv.service import KeyValue, RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView, ViewUpdate
from tests.support.platform import Deployment, run_in_virtual_time, until
from tests.support.views import ValuesFollower


@pytest.mark.parametrize("fault", [TargetFault.SILENT, TargetFault.CUT])
def test_stream_not_resumed_on_draining_target(fault: TargetFault) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=0)
        first = TargetStandin("first", faults=[fault], event_interval_s=0.2)
        await deployment.add_target(first)
        gateway = deployment.gateways[0]
        await until(lambda: len(gateway.targets.by_id) == 1)
        call = asyncio.create_task(deployment.call("/resume/a", request_id="one"))
        await until(lambda: bool(first.seen))
        leaving = TargetStandin("leaving")
        await deployment.add_target(leaving)
        await until(lambda: len(gateway.targets.by_id) == 2)
        deployment.store.put("servers/leaving", leaving.entry(state="draining"))
        listed = gateway.targets.by_id
        await until(lambda: listed["leaving"].listed.state is ListedState.DRAINING)  # type: ignore[index]
        staying = TargetStandin("staying")
        await deployment.add_target(staying)
        answer = await call
        assert not leaving.seen
        assert answer.status == 200
        assert staying.seen

    run_in_virtual_time(work)


@pytest.mark.parametrize("whole", [True, False])
def test_older_revision_from_another_host_ignored(whole: bool) -> None:
    rows = ValuesFollower()
    view = PrefixView(rows)
    view.reset(RangeResult((KeyValue("a", b"ready", 3),), 3))
    view.change(WatchEvent("a", b"draining", 7))
    if whole:
        view.apply_update(ViewUpdate(6, True, items=[KeyValue("a", b"ready", 3)]))
    else:
        view.apply_update(ViewUpdate(6, False, events=[WatchEvent("a", b"ready", 6)]))
    view.change(WatchEvent("a", b"ready", 6))
    assert rows.values == {"a": b"draining"}
    assert view.revision == 7
