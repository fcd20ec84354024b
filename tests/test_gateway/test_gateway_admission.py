"""Tests of admission on the way of a call through gateways."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from gradepoint.cmd.explain import describe_refusal
from gradepoint.gateway.live import SLOW_FIRST_EVENT_GOALS
from gradepoint.ids import OrganisationNumber, ServiceName, TargetId
from gradepoint.peers.occupancy import MAX_GAP_S
from gradepoint.routing.admission import WAIT_SHARE
from gradepoint.telemetry.timeline import LogLine
from gradepoint.util.clock import monotonic
from gradepoint.util.hashing import hash32
from tests.support.platform import (
    CallAnswer,
    Deployment,
    organisation,
    route,
    run_in_virtual_time,
    until,
)

GOAL_S = 0.4
SERVICE = ServiceName("model")
ROUTES = [route("plain", "safe", timeout_ms=4000, max_attempts=3)]
"""The callers of these tests have 4 s, so that their calls are not late."""
RUNNING: set[asyncio.Task[CallAnswer]] = set()
"""Calls of :func:`fill`. The event loop refers to tasks weakly, and a collected task frees its slot
in the middle of a test."""
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
    for task in tasks:
        RUNNING.add(task)
        task.add_done_callback(RUNNING.discard)
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


def test_decision_looks_at_each_target_once() -> None:
    # At a peak, half of the calls look at all targets on half a core. A refusal looked up the load
    # of each target four times.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=6, slots=1, work_s=LONG_S)
        await deployment.configure(2, None, ROUTES)
        gateway = deployment.gateways[0]
        await until(gateway.knows_occupancy)
        for number in range(6):
            await fill(deployment, 1)
            # A random choice of two does not find the last free targets.
            for target in gateway.targets.by_id.values():
                target.closed_at = monotonic() if target.in_flight else None
            assert sum(target.in_flight for target in gateway.targets.by_id.values()) == number + 1
        for target in gateway.targets.by_id.values():
            target.closed_at = None
        occupancy = gateway.occupancy
        looked_up: list[TargetId] = []
        find = occupancy.items_in_flight

        def record(target: TargetId) -> int:
            looked_up.append(target)
            return find(target)

        occupancy.items_in_flight = record  # type: ignore[method-assign]
        assert (await deployment.call("/plain/x")).status == 503
        # The drawn target is looked at before.
        assert 6 <= len(looked_up) <= 8

    run_in_virtual_time(work)


def test_goal_shorter_than_the_time_to_a_first_event_refuses_nobody() -> None:
    # Every call of such a route was refused by an idle fleet, and so was a call after a pause of
    # the process that used up its goal.
    async def work(deployment: Deployment) -> None:
        await start(deployment, work_s=0.1)
        await deployment.configure(3, None, [route("plain", "safe", timeout_ms=4000, goal_ms=50)])
        assert (await deployment.call("/plain/1")).status == 200
        deployment.gateways[0].admission.memory.add_own(77, monotonic())
        assert (await deployment.call("/plain/2")).status == 200

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
        # Until a room report includes these two, they count twice. The next one is sent within
        # MAX_GAP_S, and the organisation has room for two more calls without it.
        await asyncio.sleep(MAX_GAP_S + 0.1)
        answers = [
            await deployment.call("/plain/x", body=bytes([n]), x_credential="k") for n in range(9)
        ]
        assert {answer.status for answer in answers} == {503}
        assert len(gate.memory.requests) == 9
        assert {answer.status for answer in await asyncio.gather(*running)} == {200}

    run_in_virtual_time(work)


def test_call_whose_caller_left_before_it_was_sent_is_not_charged_to_the_quota() -> None:
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        await deployment.configure(3, [organisation("small", "k", rate=9.0, burst=9.0)], ROUTES)
        gateway = deployment.gateways[0]
        number = OrganisationNumber(hash32("small"))
        running = [
            asyncio.ensure_future(deployment.call(f"/plain/{n}", x_credential="k"))
            for n in range(2)
        ]
        await asyncio.sleep(0.2)
        assert gateway.quotas.host.own[number].count == 2
        waiting = asyncio.ensure_future(deployment.call("/plain/x", x_credential="k"))
        await until(lambda: bool(gateway.admission.waiting))
        assert gateway.quotas.host.own[number].count == 3
        waiting.cancel()
        await until(lambda: not gateway.admission.waiting)
        assert gateway.quotas.host.own[number].count == 2
        # These calls run, so they stay charged.
        for call in running:
            call.cancel()
        await asyncio.sleep(0.2)
        assert gateway.quotas.host.own[number].count == 2

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


def test_organisation_above_its_share_refused_only_where_room_is_short() -> None:
    # Shares come up to a second late. Before the occupancy was checked, calls beyond them were
    # refused while all slots were free.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        rows = [organisation("large", "k"), organisation("small", "s")]
        await deployment.configure(3, rows, ROUTES)
        gate = deployment.gateways[0].admission
        asked: list[OrganisationNumber] = []

        def refuse_share(number: OrganisationNumber) -> bool:
            asked.append(number)
            return False

        gate.allows = refuse_share
        gate.memory.add_own(77, monotonic())
        assert (await deployment.call("/plain/1", x_credential="k")).status == 200
        assert not asked
        running = [
            asyncio.ensure_future(deployment.call(f"/plain/{n}", x_credential="s"))
            for n in range(2)
        ]
        await asyncio.sleep(0.2)
        # With calls this short, the full target can begin another one in time.
        deployment.gateways[0].loads.call_seconds[SERVICE] = 0.1
        sent = asyncio.ensure_future(deployment.call("/plain/2", x_credential="k"))
        await asyncio.sleep(0.1)
        assert not sent.done()
        gate.memory.add_own(78, monotonic())
        assert (await deployment.call("/plain/3", x_credential="k")).status == 503
        assert len(asked) == 1
        assert {answer.status for answer in await asyncio.gather(sent, *running)} == {200}

    run_in_virtual_time(work)


def test_returning_call_above_the_share_waits_behind_others() -> None:
    # Returning calls are never refused, so those of a large organisation filled all slots in a
    # shortage that lasts.
    async def work(deployment: Deployment) -> None:
        await start(deployment)
        rows = [organisation("large", "k"), organisation("small", "s")]
        await deployment.configure(3, rows, ROUTES)
        gateway = deployment.gateways[0]
        gate = gateway.admission
        running = [
            asyncio.ensure_future(deployment.call(f"/plain/{n}", x_credential="s"))
            for n in range(2)
        ]
        await asyncio.sleep(0.2)
        assert (await deployment.call("/plain/x", x_credential="k")).status == 503
        limited = hash32("large")
        gate.is_limited = lambda number: number == limited
        gateway.loads.call_seconds[SERVICE] = 0.1
        back = asyncio.ensure_future(
            deployment.call("/plain/x", x_credential="k", request_id="back")
        )
        await asyncio.sleep(0.05)
        assert gate.waiting
        other = asyncio.ensure_future(
            deployment.call("/plain/y", x_credential="s", request_id="other")
        )
        await asyncio.sleep(0.05)
        assert len(gate.waiting) == 1
        assert {answer.status for answer in await asyncio.gather(other, back, *running)} == {200}
        assert list(deployment.targets[0].ran)[-2:] == ["other", "back"]

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
