"""Calls that still come to a host that is being stopped."""

from __future__ import annotations

import asyncio

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.app import STOP_LISTENING_S
from gradepoint.util.clock import monotonic
from tests.support.platform import Deployment, run_in_virtual_time, until

GRACE_S = 8.0


EVENTS = 6
EVENT_S = 0.6
"""Seconds between events: a call takes half of the time in which a host has to end."""


@pytest.mark.parametrize("after_s", [STOP_LISTENING_S + 0.1, 5.5])
def test_a_call_that_a_stopping_host_cannot_end_is_refused_at_once(after_s: float) -> None:
    """Such a host may get calls until its end, where most hosts of its failure domain stop."""

    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"grace_s": GRACE_S}
        await deployment.start(targets=0)
        target = TargetStandin("t0", events=EVENTS, event_s=EVENT_S)
        await deployment.add_target(target)
        gateway = deployment.gateways[0]
        await until(lambda: bool(gateway.targets.by_id))
        stopping = asyncio.create_task(gateway.stop())
        early = [asyncio.create_task(deployment.call("/stream/early"))]
        await asyncio.sleep(STOP_LISTENING_S - 0.3)
        early.append(asyncio.create_task(deployment.call("/stream/early")))
        await asyncio.sleep(after_s - (STOP_LISTENING_S - 0.3))
        begun = monotonic()
        answer = await deployment.call("/stream/late")
        assert (answer.status, answer.broken) == (503, False)
        assert monotonic() - begun < 0.1
        assert float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"
        assert len(target.seen) == len(early)
        for call in early:
            whole = await call
            assert (whole.status, whole.broken) == (200, False)
        await stopping

    run_in_virtual_time(work)
