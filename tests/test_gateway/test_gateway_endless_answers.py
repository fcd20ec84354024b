"""Tests of answers that never end: each is left, and the call goes on at a sound target."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from bench.platform.endless import BODIES, EndlessTarget
from bench.platform.target import TargetStandin, complete_stream, plain_response
from gradepoint.gateway.forwarding import MAX_EVENTS
from gradepoint.wire.addresses import split_address
from tests.support.platform import HOST, Deployment, item_text, job_item, run_deployment, until

EVENTS = 6
MAX_SENT_BYTES = 32 << 20
"""Bytes that a target may send on one connection, with those that sockets hold."""
TOKENS = "10,20"
"""Tokens of a prompt, and the most that an answer may have."""
TINY_EVENT = b"data: x\n\n"
MAX_TINY_EVENTS_PER_LOOP_TURN = 8192
"""Tiny events that a read of 64 KiB has, and some more."""
STREAMED = [name for name, body in BODIES.items() if "event-stream" in "".join(body.headers)]
PLAIN = [name for name in BODIES if name not in STREAMED]


async def start_targets(deployment: Deployment, body: str) -> EndlessTarget:
    """Start a target with an endless body, and a sound one."""
    await deployment.start(targets=0)
    endless = EndlessTarget("endless", body=BODIES[body])
    await deployment.add_target(endless)
    await deployment.add_target(TargetStandin("sound", events=EVENTS))
    await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)
    return endless


def check_left(endless: EndlessTarget) -> None:
    """Check that the endless target was used, and left soon."""
    sent_bytes = endless.server.sent_bytes  # type: ignore[attr-defined]
    assert sent_bytes and max(sent_bytes) <= MAX_SENT_BYTES


async def call_until_used(deployment: Deployment, endless: EndlessTarget, path: str) -> None:
    """Send calls until the endless target got one; check that each gets a whole answer."""
    for number in range(40):
        answer = await deployment.call(f"/{path}/{number}", x_token_counts=TOKENS)
        assert (answer.status, answer.broken) == (200, False)
        plain = plain_response(answer.request_id)
        whole = plain if "plain/plain" in path else complete_stream(answer.request_id, EVENTS)
        assert answer.body == whole
        if endless.ran and number > 4:
            return
    raise AssertionError("the endless target got no call")


@pytest.mark.parametrize("body", PLAIN)
def test_repeatable_call_is_served_by_the_sound_target(body: str) -> None:
    async def work(deployment: Deployment) -> None:
        endless = await start_targets(deployment, body)
        await call_until_used(deployment, endless, "plain/plain")
        check_left(endless)

    run_deployment(work)


@pytest.mark.parametrize("body", [name for name in STREAMED if not name.startswith("events")])
def test_resumable_stream_is_served_by_the_sound_target(body: str) -> None:
    async def work(deployment: Deployment) -> None:
        endless = await start_targets(deployment, body)
        await call_until_used(deployment, endless, "resume")
        check_left(endless)

    run_deployment(work)


@pytest.mark.parametrize("body", BODIES)
def test_items_are_listed_with_the_text_of_the_sound_target(body: str) -> None:
    async def work(deployment: Deployment) -> None:
        endless = await start_targets(deployment, body)
        rows = [job_item("job", index) for index in range(6)]
        for row in rows:
            row["headers"]["X-Token-Counts"] = TOKENS
        encoded = msgspec.json.encode({"items": rows})
        answer = await deployment.call("/night/job", body=encoded, request_id="job")
        assert answer.status == 202
        results = await deployment.read_all_results("job")
        assert all(row["message"] == item_text(row["id"], EVENTS) for row in results)
        check_left(endless)

    run_deployment(work)


@pytest.mark.parametrize("body", BODIES)
def test_single_attempt_ends_without_a_complete_answer(body: str) -> None:
    async def work(deployment: Deployment) -> None:
        endless = await start_targets(deployment, body)
        deployment.store.delete("servers/sound")
        await asyncio.sleep(0.2)
        answer = await deployment.call("/stream/1", x_token_counts=TOKENS)
        assert answer.broken or answer.status == 502
        check_left(endless)

    run_deployment(work)


async def start_without_end(deployment: Deployment) -> EndlessTarget:
    """Start a gateway and one target, whose streams have no numbers and no end."""
    await deployment.start(targets=0)
    endless = EndlessTarget("endless", body=BODIES["events-without-number"])
    await deployment.add_target(endless)
    await until(lambda: len(deployment.gateways[0].targets.by_id) == 1)
    return endless


@pytest.mark.parametrize("path", ["/resume/1", "/stream/1"])
def test_stream_without_end_is_left_although_its_call_states_no_tokens(path: str) -> None:
    async def work(deployment: Deployment) -> None:
        endless = await start_without_end(deployment)
        answer = await deployment.call(path)
        assert (answer.status, answer.broken) == (200, True)
        assert 0 < answer.body.count(TINY_EVENT) <= MAX_EVENTS
        [target] = deployment.gateways[0].targets.by_id.values()
        assert target.health.failure_share > 0.0
        assert not deployment.gateways[0].forwarder.answers
        check_left(endless)

    run_deployment(work)


@pytest.mark.parametrize("path", ["/resume/1", "/stream/1"])
def test_other_tasks_run_while_tiny_events_arrive(path: str) -> None:
    """A target that sends events as fast as it can does not keep the event loop to itself."""
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def work(deployment: Deployment) -> None:
        await start_without_end(deployment)
        counting = asyncio.ensure_future(count_turns())
        answer = await deployment.call(path)
        counting.cancel()
        assert answer.body.count(TINY_EVENT) <= turns * MAX_TINY_EVENTS_PER_LOOP_TURN

    run_deployment(work)


@pytest.mark.parametrize("path", ["/resume/1", "/stream/1"])
def test_stream_without_end_is_not_read_on_if_its_caller_does_not_read(path: str) -> None:
    """The host would otherwise hold what its caller has not taken."""

    async def work(deployment: Deployment) -> None:
        endless = await start_without_end(deployment)
        address = split_address(deployment.gateways[0].settings.callers_address)
        _, writer = await asyncio.open_connection(*address)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        fields = f"host: {HOST}\r\nx-attempt-id: id-1\r\ncontent-length: 0\r\n"
        writer.write(f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode())
        sent_bytes = endless.server.sent_bytes  # type: ignore[attr-defined]
        await until(lambda: bool(sent_bytes))
        known = -1
        while known != sum(sent_bytes):
            known = sum(sent_bytes)
            await asyncio.sleep(0.5)
        writer.transport.abort()
        check_left(endless)

    run_deployment(work)
