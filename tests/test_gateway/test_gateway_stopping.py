"""Tests of calls that arrive at a host while it stops."""

from __future__ import annotations

import asyncio
from contextlib import closing

import pytest

from bench.platform.target import TargetStandin
from gradepoint.gateway.app import STOP_LISTENING_S
from gradepoint.util.clock import monotonic
from gradepoint.wire.addresses import split_address
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken
from tests.support.platform import HOST, Deployment, run_in_virtual_time, until

GRACE_S = 8.0


EVENTS = 6
EVENT_S = 0.6
"""Seconds between events: a call takes about half of the grace period."""


@pytest.mark.parametrize("after_s", [STOP_LISTENING_S + 0.1, 5.5])
def test_late_call_to_stopping_host_rejected_at_once(after_s: float) -> None:
    """A host may get calls until it exits if most hosts of its failure domain stop together."""

    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"grace_s": GRACE_S}
        await deployment.start(targets=0)
        target = TargetStandin("t0", events=EVENTS, event_interval_s=EVENT_S)
        await deployment.add_target(target)
        gateway = deployment.gateways[0]
        await until(lambda: bool(gateway.targets.by_id))
        stopping = asyncio.create_task(gateway.stop())
        early = [asyncio.create_task(deployment.call("/stream/early"))]
        await asyncio.sleep(STOP_LISTENING_S - 0.3)
        early.append(asyncio.create_task(deployment.call("/stream/early")))
        await asyncio.sleep(after_s - (STOP_LISTENING_S - 0.3))
        started_at = monotonic()
        answer = await deployment.call("/stream/late")
        assert (answer.status, answer.broken) == (503, False)
        assert monotonic() - started_at < 0.1
        assert float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"
        assert len(target.seen) == len(early)
        for call in early:
            whole = await call
            assert (whole.status, whole.broken) == (200, False)
        await stopping

    run_in_virtual_time(work)


@pytest.mark.parametrize("hosts", [1, 3])
@pytest.mark.parametrize(("work_s", "gap_s"), [(0.05, 0.02), (0.4, 0.1), (1.3, 0.25)])
def test_no_answer_lost_while_callers_keep_using_a_stopping_host(
    hosts: int, work_s: float, gap_s: float
) -> None:
    """Callers keep using open connections, and open new ones, until the process has exited.

    Every call that reached a target is answered, however late it arrived.
    """

    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"grace_s": GRACE_S}
        await deployment.start(gateways=hosts, targets=0)
        target = TargetStandin("t0", work_s=work_s, slots=64)
        await deployment.add_target(target)
        gateway = deployment.gateways[0]
        await until(lambda: all(bool(g.targets.by_id) for g in deployment.gateways))
        lost: list[str] = []
        answered = 0

        async def keep_calling(caller: int) -> None:
            nonlocal answered
            address = split_address(gateway.settings.callers_address)
            with closing(HttpClient()) as http:
                for number in range(200):
                    name = f"cling-{caller}-{number}"
                    headers = [
                        ("host", HOST),
                        ("x-attempt-id", name),
                        ("x-time-left-ms", "4000"),
                    ]
                    try:
                        response = await http.send(
                            address, "POST", "/single/plain/x", name.encode(), headers
                        )
                        await response.read()
                        answered += 1
                    except ConnectFailed:
                        return
                    except ResponseBroken:
                        if target.ran[name]:
                            lost.append(name)
                    await asyncio.sleep(gap_s)

        callers = [asyncio.ensure_future(keep_calling(number)) for number in range(6)]
        await asyncio.sleep(1.0)
        await gateway.stop()
        await asyncio.gather(*callers)
        assert not lost
        assert answered > 6

    run_in_virtual_time(work)
