"""Tests of admission on the way of a call through gateways."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from gradepoint.cmd.explain import describe_refusal
from gradepoint.gateway.live import SLOW_FIRST_EVENT_GOALS
from gradepoint.ids import ServiceName
from gradepoint.routing.admission import WAIT_SHARE
from gradepoint.telemetry.timeline import LogLine
from gradepoint.util.clock import monotonic
from tests.support.platform import (
    CallAnswer,
    Deployment,
    organisation,
    route,
    run_in_virtual_time,
    until,
)

GOAL_S = 0.4
ROUTES = [route("plain", "safe", timeout_ms=4000, max_attempts=3)]
"""The callers of these tests have 4 s, so that their calls are not late."""
LONG_S = 1.5
"""Seconds of a call that keeps its slot for the rest of a test."""


@dataclass
class FakeLimits:
    """Limits while occupancy is unknown.

    :ivar asked: arguments of each question.
    """

    admits: bool = False
    asked: list[tuple[int, int, int]] = field(default_factory=list)

    def may_admit(self, own_in_flight: int, slots: int, hosts: int) -> bool:
        """Record the question and answer it."""
        self.asked.append((own_in_flight, slots, hosts))
        return self.admits

    def retry_after_s(self) -> float:
        """Return a fixed time."""
        return 0.45


async def start(deployment: Deployment, gateways: int = 1, work_s: float = LONG_S) -> None:
    """Start gateways with one target that has two slots."""
    await deployment.start(gateways=gateways, targets=1, slots=2, work_s=work_s)
    await deployment.configure(2, None, ROUTES)
    await until(lambda: all(gateway.knows_occupancy() for gateway in deployment.gateways))


async def fill(deployment: Deployment, count: int = 2) -> list[asyncio.Task[CallAnswer]]:
    """Start calls that take the slots of the target."""
    tasks = [asyncio.ensure_future(deployment.call(f"/plain/{n}")) for n in range(count)]
    await asyncio.sleep(0.2)
    return tasks


def test_refused_call_reached_no_target_and_returns_with_success() -> None:
    # A 503 promises that the call has not run; a second refusal would leave the caller without an
    # answer.
    async def work(deployment: Deployment) -> None:
        await start(deployment, gateways=2)
        await fill(deployment)
        refused_at = monotonic()
        refused = await deployment.call("/plain/x", body=b"other", request_id="first")
        waited_s = monotonic() - refused_at
        assert refused.status == 503
        assert b"no_room" in refused.body
        assert waited_s <= GOAL_S / 4
        assert "first" not in deployment.targets[0].ran
        return_s = float(refused.headers["retry-after"])
        assert 0.3 <= return_s <= 4.0 / 3
        await asyncio.sleep(0.3)
        back = await deployment.call("/plain/x", body=b"other", request_id="second", gateway=1)
        assert back.status == 200
        assert deployment.targets[0].ran["second"] == 1

    run_in_virtual_time(work)


def test_free_drawn_target_used_without_looking_at_others() -> None:
    # Where there is room, a call takes the way that it takes without admission.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        gate = deployment.gateways[0].admission
        find, asked = gate.find_candidates, []
        gate.find_candidates = lambda service: asked.append(service) or find(service)  # type: ignore[func-returns-value]
        assert (await deployment.call("/plain/1")).status == 200
        assert not asked
        await fill(deployment)
        assert (await deployment.call("/plain/2")).status == 503
        assert asked

    run_in_virtual_time(work)


def test_waiting_call_sent_as_soon_as_a_slot_is_free() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment, work_s=0.23)
        await fill(deployment)
        answer = await deployment.call("/plain/x")
        assert answer.status == 200
        assert not deployment.gateways[0].admission.memory.requests

    run_in_virtual_time(work)


def test_waiting_call_decides_again_after_each_digest() -> None:
    # Most of the calls that end are those of other hosts.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        gate, decided_at = deployment.gateways[0].admission, []
        await fill(deployment)
        wait = gate.wait

        async def record_wait(service: ServiceName, until: float) -> None:
            decided_at.append(monotonic())
            await wait(service, until)

        gate.wait = record_wait  # type: ignore[method-assign]
        call = asyncio.ensure_future(deployment.call("/plain/x"))
        await until(lambda: bool(decided_at))
        gate.take_sums([])
        await until(lambda: len(decided_at) > 1)
        assert decided_at[-1] - decided_at[0] < WAIT_SHARE * GOAL_S / 2
        await call

    run_in_virtual_time(work)


def test_call_whose_caller_left_stops_waiting() -> None:
    # Otherwise, it would take a slot for an answer that nobody reads.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        await fill(deployment)
        gate = deployment.gateways[0].admission
        call = asyncio.ensure_future(deployment.call("/plain/x", request_id="left"))
        await until(lambda: bool(gate.waiting))
        call.cancel()
        await until(lambda: not gate.waiting)
        await asyncio.sleep(WAIT_SHARE * GOAL_S)
        assert not gate.memory.requests
        assert "left" not in deployment.targets[0].ran

    run_in_virtual_time(work)


def test_refused_calls_are_not_charged_to_the_quota() -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"quota_excess": 0.1, "quota_slack": 0.0}
        await start(deployment)
        await deployment.configure(3, [organisation("small", "k", rate=1.0, burst=6.0)], ROUTES)
        await asyncio.sleep(6.0)
        gate = deployment.gateways[0].admission
        running = [
            asyncio.ensure_future(deployment.call(f"/plain/{n}", x_credential="k"))
            for n in range(2)
        ]
        await asyncio.sleep(0.1)
        answers = [
            await deployment.call("/plain/x", body=bytes([n]), x_credential="k") for n in range(9)
        ]
        assert {answer.status for answer in answers} == {503}
        assert len(gate.memory.requests) == 9
        assert {answer.status for answer in await asyncio.gather(*running)} == {200}

    run_in_virtual_time(work)


def test_late_call_waits_for_room_without_blaming_the_target() -> None:
    # Its earlier attempt met a host that was down. The time that it waited is not the target's.
    async def work(deployment: Deployment) -> None:
        await start(deployment, work_s=1.2)
        routes = [*ROUTES, route("stream", "streaming", max_attempts=1)]
        await deployment.configure(3, None, routes)
        await fill(deployment)
        begun_at = monotonic()
        answer = await deployment.call("/stream/x", request_id="late")
        assert answer.status == 200
        # So long an answer of a target counts as a failure.
        assert monotonic() - begun_at > GOAL_S * SLOW_FIRST_EVENT_GOALS - 0.1
        assert not deployment.gateways[0].admission.memory.requests
        target = next(iter(deployment.gateways[0].targets.by_id.values()))
        assert target.health.failure_share == 0

    run_in_virtual_time(work)


def test_every_call_sent_at_once_without_admission() -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"admission": False}
        await start(deployment)
        await fill(deployment)
        assert (await deployment.call("/plain/x")).status == 200

    run_in_virtual_time(work)


def test_host_without_digests_uses_its_own_limits() -> None:
    # A host that is cut off does not know the other hosts' calls.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        gate = deployment.gateways[0].admission
        limits = gate.recovery = FakeLimits()
        assert (await deployment.call("/plain/1")).status == 200
        assert not limits.asked
        gate.knows_occupancy = lambda: False
        refused = await deployment.call("/plain/2")
        assert (refused.status, refused.headers["retry-after"]) == (503, "0.45")
        assert limits.asked == [(0, 2, 1)]
        # It recognises the callers that it refused itself.
        assert (await deployment.call("/plain/2")).status == 200

    run_in_virtual_time(work)


def test_refusals_known_to_all_hosts_after_the_loss_of_an_aggregator() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment, gateways=4)
        first = deployment.gateways[0].occupancy.aggregators[0]
        lost = next(row for row in deployment.gateways if row.own.incarnation == first)
        await deployment.kill(lost)
        deployment.gateways[0].admission.memory.add_own(77, monotonic())
        deployment.gateways[0].occupancy.changed.set()
        await asyncio.sleep(0.3)
        for gateway in deployment.gateways[1:]:
            assert 77 in gateway.admission.memory.requests

    run_in_virtual_time(work)


def test_restarted_host_refuses_nothing_on_former_data() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        await fill(deployment)
        assert (await deployment.call("/plain/x")).status == 503
        await deployment.kill(deployment.gateways[0])
        gateway = await deployment.add_gateway("host-0")
        assert not gateway.admission.memory.requests
        assert (await deployment.call("/plain/y")).status == 200

    run_in_virtual_time(work)


def test_organisation_above_its_share_refused_in_a_shortage_only() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        await deployment.configure(3, [organisation("large", "k")], ROUTES)
        gate = deployment.gateways[0].admission
        gate.allows = lambda _: False
        assert (await deployment.call("/plain/1", x_credential="k")).status == 200
        gate.memory.add_own(77, monotonic())
        assert (await deployment.call("/plain/2", x_credential="k")).status == 503
        await asyncio.sleep(1.1)
        assert (await deployment.call("/plain/3", x_credential="k")).status == 200

    run_in_virtual_time(work)


def test_explanation_names_the_cause_and_the_return() -> None:
    fields = {"key": "9f", "reason": "room", "delay_ms": 291, "goal_left_ms": 238}
    refusal = LogLine(
        "2026-05-12T16:21:28.750",
        "h1",
        "INFO",
        "no_room",
        fields | {"return_ms": 900, "age_ms": 44, "occupancy": 1.3, "waited_ms": 61},
    )
    back = LogLine(
        "2026-05-12T16:21:29.700", "h2", "INFO", "call_returned", {"key": "9f", "request": "2"}
    )
    text = describe_refusal(refusal, [refusal, back])
    assert "291 ms, with 238 ms left" in text
    assert "at 2026-05-12T16:21:29.650000" in text
    assert "returned at 2026-05-12T16:21:29.700 to h2 as 2" in text
    assert "no return" in describe_refusal(refusal, [refusal])
