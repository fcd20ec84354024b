"""Tests of the quotas of organisations, which gateways enforce together."""

from __future__ import annotations

import asyncio
import itertools

import msgspec
import pytest

from bench.platform.target import TargetFault
from gradepoint.admin.client import AdminAnswer
from gradepoint.cmd.quota import show_quotas
from gradepoint.gateway.quota_page import answer_quotas
from tests.support.platform import Deployment, organisation, run_in_virtual_time

RATE = 4.0
BURST = 6.0
QUOTA_SETTINGS = {"quota_excess": 0.1, "quota_slack": 4.0, "quota_window_s": 5.0}
SMALL = organisation("small", "small-key", rate=RATE, burst=BURST)
FREE = organisation("free", "free-key")


async def call_many(
    deployment: Deployment, count: int, key: str, gateways: int, interval_s: float = 0.02
) -> list[tuple[int, float]]:
    """Send calls to all gateways in turn; return status and Retry-After of each call."""
    rows = []
    for number in range(count):
        answer = await deployment.call("/plain/1", gateway=number % gateways, x_credential=key)
        rows.append((answer.status, float(answer.headers.get("retry-after", "0"))))
        await asyncio.sleep(interval_s)
    return rows


def test_quota_shared_by_gateways_without_limiting_other_organisations() -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = QUOTA_SETTINGS
        await deployment.start(gateways=3, targets=2)
        await deployment.configure(2, [SMALL, FREE])
        await asyncio.sleep(1.0)
        rows = await call_many(deployment, 250, "small-key", 3)
        served = [status for status, _ in rows].count(200)
        window_s = 250 * 0.02
        # At least the quota is served, and no more than the quota with its tolerated excess.
        assert RATE * window_s + BURST <= served
        assert served <= (RATE * window_s + BURST) * 1.1 + 4.0 + RATE
        refused = [(status, wait_s) for status, wait_s in rows if status != 200]
        assert {status for status, _ in refused} == {429}
        waits = {wait_s for _, wait_s in refused}
        assert min(waits) > 0
        assert len(waits) > len(refused) / 4
        free = await call_many(deployment, 60, "free-key", 3)
        assert {status for status, _ in free} == {200}

    run_in_virtual_time(work)


def test_refused_calls_return_at_the_rate_at_which_room_is_freed() -> None:
    # Calls that all return as soon as one of them has room are refused again.
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = QUOTA_SETTINGS
        await deployment.start(targets=2)
        await deployment.configure(2, [SMALL])
        await asyncio.sleep(6.0)
        rows = await call_many(deployment, 60, "small-key", 1, 0.01)
        returns = [wait_s for status, wait_s in rows if status != 200]
        assert len(returns) > 20
        # Callers honour a third of the time they have left.
        assert max(returns) <= 5.0 / 3
        # The first ones are apart by the time in which a call has room; the rest are spread.
        gaps = [after - before for before, after in itertools.pairwise(returns)]
        assert sum(gap > 0.5 / RATE for gap in gaps[:3]) == 3
        assert sum(wait_s > 0.5 for wait_s in returns) > len(returns) / 2

    run_in_virtual_time(work)


def test_calls_that_did_not_run_are_not_charged() -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = QUOTA_SETTINGS
        await deployment.start(targets=1)
        await deployment.configure(2, [SMALL])
        # Wait for a full quota window: usage before the start is unknown.
        await asyncio.sleep(6.0)
        deployment.targets[0].faults = [TargetFault.BUSY]
        rows = await call_many(deployment, 40, "small-key", 1, 0.0)
        assert {status for status, _ in rows} == {503}
        deployment.targets[0].faults = [TargetFault.NONE]
        rows = await call_many(deployment, int(BURST), "small-key", 1, 0.0)
        assert {status for status, _ in rows} == {200}

    run_in_virtual_time(work)


def test_raised_quota_applies_at_once_and_lowered_quota_within_window() -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = QUOTA_SETTINGS
        await deployment.start(gateways=2, targets=2)
        await deployment.configure(2, [SMALL])
        await asyncio.sleep(1.0)
        assert 429 in {status for status, _ in await call_many(deployment, 60, "small-key", 2)}
        await deployment.configure(3, [organisation("small", "small-key", rate=500, burst=500)])
        await asyncio.sleep(0.5)
        rows = await call_many(deployment, 60, "small-key", 2)
        assert {status for status, _ in rows} == {200}
        await deployment.configure(4, [organisation("small", "small-key", rate=1, burst=1)])
        await call_many(deployment, 50, "small-key", 2)
        rows = await call_many(deployment, 250, "small-key", 2)
        assert [status for status, _ in rows].count(200) <= (1 * 5 + 1) * 1.1 + 4

    run_in_virtual_time(work)


def test_quota_command_shows_usage(capsys: pytest.CaptureFixture[str]) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = QUOTA_SETTINGS
        await deployment.start(targets=1)
        await deployment.configure(2, [SMALL, FREE])
        await asyncio.sleep(1.0)
        await call_many(deployment, 30, "small-key", 1)
        gate = deployment.gateways[0].quotas

        def ask(_method: str, path: str) -> AdminAnswer:
            name = path.partition("=")[2]
            return AdminAnswer(200, msgspec.json.decode(answer_quotas(gate, name).body))

        assert show_quotas(ask, "", as_json=False)
        assert show_quotas(ask, "small", as_json=False)
        assert not show_quotas(ask, "free", as_json=False)

    run_in_virtual_time(work)
    printed = capsys.readouterr().out
    assert printed.count("small: 4 a second and 6 at once; room for") == 2
