"""A view whose follower always fails hides no change of another view."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gradepoint.gateway.followers import OperatorFollower
from tests.support.platform import Deployment, configuration, run_in_virtual_time, until

if TYPE_CHECKING:
    import pytest

    from gradepoint.kv.service import RangeResult, WatchEvent


def fail_to_follow(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each follower of the operator's keys raise an exception."""

    def fail(_: OperatorFollower, _change: RangeResult | WatchEvent) -> None:
        raise ZeroDivisionError("a fault")

    monkeypatch.setattr(OperatorFollower, "reset", fail)
    monkeypatch.setattr(OperatorFollower, "change", fail)


def test_view_that_cannot_be_applied_at_the_start_hides_no_other_view(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The views are read one after another; those behind it were never read.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=0, targets=2)
        fail_to_follow(monkeypatch)
        gateway = deployment.make_gateway("host")
        deployment.gateways.append(gateway)
        await gateway.start()
        await until(lambda: len(gateway.targets.by_id) == 2 and "host" in gateway.hosts.hosts)
        assert gateway.watchers.tasks.find_failing()
        monkeypatch.undo()
        await until(lambda: gateway.ready)

    run_in_virtual_time(work)


def test_update_that_cannot_be_applied_hides_no_other_update(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A host that does not watch took no update of the views behind it from the watchers.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=5, targets=2)
        await asyncio.sleep(5.0)
        others = [gateway for gateway in deployment.gateways if not gateway.watchers.watching]
        assert others
        fail_to_follow(monkeypatch)
        deployment.store.put("op/config", configuration(2))
        deployment.store.delete("servers/t0")
        started = asyncio.get_running_loop().time()
        await until(lambda: all(len(gateway.targets.by_id) == 1 for gateway in others))
        assert asyncio.get_running_loop().time() - started < 2.0

    run_in_virtual_time(work)
