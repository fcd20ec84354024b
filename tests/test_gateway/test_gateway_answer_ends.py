"""Tests of how the end of a target's answer is recognised.

The end of a connection may also end the body of an answer, so it does not show by itself whether
the answer is whole.
"""

from __future__ import annotations

import pytest

from bench.platform.target import SEAL, complete_stream, event_bytes
from gradepoint.wire.http_client import BodyFraming
from tests.support.platform import Deployment, item_text, run_in_virtual_time, until
from tests.support.scripted_target import BodyEnd, ScriptedAnswer, ScriptedTarget

EVENTS = 6
EVENT_BYTES = len(event_bytes("id-1", 0))
WHOLE = ScriptedAnswer(BodyFraming.CHUNKED)
UNTIL_CLOSE = BodyFraming.UNTIL_CLOSE


async def start_with_answers(deployment: Deployment, *answers: ScriptedAnswer) -> None:
    """Start a gateway and two targets that share the order of *answers*."""
    await deployment.start(targets=0)
    shared = list(answers)
    for number in range(2):
        await deployment.add_target(ScriptedTarget(f"t{number}", events=EVENTS, answers=shared))
    await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)


CUT_INSIDE_EVENT = [
    pytest.param(ScriptedAnswer(UNTIL_CLOSE, 0, 1), id="first-byte"),
    pytest.param(ScriptedAnswer(UNTIL_CLOSE, 2, 5), id="id-line"),
    pytest.param(ScriptedAnswer(UNTIL_CLOSE, 2, 12), id="data-line"),
    pytest.param(ScriptedAnswer(UNTIL_CLOSE, 5, EVENT_BYTES - 1), id="blank-line"),
    pytest.param(
        ScriptedAnswer(BodyFraming.CHUNKED, 2, 12, ends_regularly=True), id="regular-last-chunk"
    ),
]


@pytest.mark.parametrize("cut", CUT_INSIDE_EVENT[1:])
def test_stream_cut_inside_event_is_not_framed_as_complete(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut)
        answer = await deployment.call("/stream/1")
        assert (answer.status, answer.broken) == (200, True)
        assert complete_stream(answer.request_id, EVENTS).startswith(answer.body)

    run_in_virtual_time(work)


def test_stream_cut_inside_its_first_event_is_answered_with_an_error() -> None:
    # The head of a stream is passed on with its first event, so that the caller learns the outcome.
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, CUT_INSIDE_EVENT[0].values[0])  # type: ignore[arg-type]
        answer = await deployment.call("/stream/1")
        assert (answer.status, answer.broken) == (502, False)
        assert SEAL not in answer.headers

    run_in_virtual_time(work)


@pytest.mark.parametrize("cut", CUT_INSIDE_EVENT)
def test_resumable_stream_cut_inside_event_is_resumed(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut, WHOLE)
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)

    run_in_virtual_time(work)


@pytest.mark.parametrize("cut", CUT_INSIDE_EVENT)
def test_item_cut_inside_event_is_resumed(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut, WHOLE)
        assert (await deployment.submit("job", 1)).status == 202
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))

    run_in_virtual_time(work)


def test_answer_cut_inside_event_counts_as_failure_of_target() -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, ScriptedAnswer(UNTIL_CLOSE, 2, 5))
        for _ in range(12):
            await deployment.call("/stream/1")
        targets = deployment.gateways[0].targets.by_id.values()
        assert all(target.health.failure_share > 0.5 for target in targets)

    run_in_virtual_time(work)


@pytest.mark.parametrize("framing", BodyFraming)
@pytest.mark.parametrize("path", ["/stream/1", "/resume/1", "/plain/1", "/single/1"])
def test_whole_answer_delivered_for_every_framing(path: str, framing: BodyFraming) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, ScriptedAnswer(framing))
        answer = await deployment.call(path)
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        targets = deployment.gateways[0].targets.by_id.values()
        assert all(target.health.failure_share == 0.0 for target in targets)
        assert sum(target.ran[answer.request_id] for target in deployment.targets) == 1

    run_in_virtual_time(work)


RECOGNISABLE_CUTS = [
    ScriptedAnswer(framing, 2, partial_bytes, end)
    for framing in BodyFraming
    for end in BodyEnd
    for partial_bytes in (0, 5)
    # A close between two events ends a body without a length or chunks in order.
    if (framing, end, partial_bytes) != (UNTIL_CLOSE, BodyEnd.CLOSE, 0)
]


@pytest.mark.parametrize("cut", RECOGNISABLE_CUTS, ids=str)
def test_cut_stream_never_completed_for_caller(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut)
        answer = await deployment.call("/stream/1")
        assert (answer.status, answer.broken) == (200, True)
        assert complete_stream(answer.request_id, EVENTS).startswith(answer.body)

    run_in_virtual_time(work)


@pytest.mark.parametrize("cut", RECOGNISABLE_CUTS, ids=str)
def test_cut_stream_and_cut_item_are_resumed(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut, WHOLE, cut, WHOLE)
        answer = await deployment.call("/resume/1")
        assert not answer.broken
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        await deployment.submit("job", 1)
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))

    run_in_virtual_time(work)


@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
def test_stream_with_crlf_line_ends_is_forwarded_unchanged(path: str) -> None:
    async def work(deployment: Deployment) -> None:
        crlf = ScriptedAnswer(UNTIL_CLOSE, newline=b"\r\n")
        await start_with_answers(deployment, crlf)
        answer = await deployment.call(path)
        assert not answer.broken
        assert answer.body == complete_stream(answer.request_id, EVENTS).replace(b"\n", b"\r\n")

    run_in_virtual_time(work)


@pytest.mark.parametrize("path", ["/stream/1", "/resume/1", "/plain/1"])
def test_answer_cut_between_events_by_a_crash_is_not_completed(path: str) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, ScriptedAnswer(UNTIL_CLOSE, 2), WHOLE)
        for target in deployment.targets:
            target.crashes_at_end = True  # type: ignore[attr-defined]
        answer = await deployment.call(path)
        whole = complete_stream(answer.request_id, EVENTS)
        if path == "/stream/1":
            assert answer.broken and whole.startswith(answer.body)
        else:
            assert (answer.broken, answer.body) == (False, whole)

    run_in_virtual_time(work)


def test_item_cut_between_events_by_a_crash_is_resumed() -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, ScriptedAnswer(UNTIL_CLOSE, 2), WHOLE)
        for target in deployment.targets:
            target.crashes_at_end = True  # type: ignore[attr-defined]
        await deployment.submit("job", 1)
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))

    run_in_virtual_time(work)


EMPTY = ScriptedAnswer(UNTIL_CLOSE, stop_before=0)


@pytest.mark.parametrize(("path", "status"), [("/stream/1", 502), ("/resume/1", 200)])
def test_stream_without_any_event_is_not_completed(path: str, status: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, EMPTY, WHOLE)
        answer = await deployment.call(path)
        assert answer.status == status
        if status == 200:
            assert answer.body == complete_stream(answer.request_id, EVENTS)

    run_in_virtual_time(work)


def test_item_without_any_event_is_retried() -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, EMPTY, WHOLE)
        await deployment.submit("job", 1)
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))

    run_in_virtual_time(work)


@pytest.mark.parametrize("framing", BodyFraming)
@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
def test_document_on_streaming_route_is_forwarded_whole(path: str, framing: BodyFraming) -> None:
    """A caller may ask for its answer in one piece, which has no events."""
    document = b'{"text": "whole"}'

    async def work(deployment: Deployment) -> None:
        await start_with_answers(
            deployment,
            ScriptedAnswer(framing, content_type="application/json", document=document),
        )
        answer = await deployment.call(path)
        assert (answer.status, answer.broken, answer.body) == (200, False, document)

    run_in_virtual_time(work)


DOCUMENT = b'{"text": "a [\\"bracket\\"", "rows": [1, {"n": 2}]}'
LONG_DOCUMENT = b'{"rows": [' + b'{"text": "]"},' * 30_000 + b"{}]}"


def cut_document(document: bytes, size: int) -> ScriptedAnswer:
    """Return an answer that ends in order after the first bytes of a document."""
    return ScriptedAnswer(
        UNTIL_CLOSE, 0, size, content_type="application/json; charset=utf-8", document=document
    )


@pytest.mark.parametrize("path", ["/single/1", "/plain/1", "/stream/1", "/resume/1"])
@pytest.mark.parametrize("size", [0, 1, 20, len(DOCUMENT) - 1])
def test_document_cut_by_an_orderly_close_is_not_framed_as_complete(path: str, size: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut_document(DOCUMENT, size))
        answer = await deployment.call(path)
        assert answer.broken or answer.status == 502
        assert "content-length" not in answer.headers or answer.status == 502

    run_in_virtual_time(work)


def test_cut_document_is_requested_again_where_the_route_allows_it() -> None:
    async def work(deployment: Deployment) -> None:
        whole = ScriptedAnswer(UNTIL_CLOSE, content_type="application/json", document=DOCUMENT)
        await start_with_answers(deployment, cut_document(DOCUMENT, 20), whole)
        answer = await deployment.call("/plain/1")
        assert (answer.status, answer.body) == (200, DOCUMENT)

    run_in_virtual_time(work)


@pytest.mark.parametrize("missing", [0, 1, 3, 20, 100_000])
def test_long_document_cut_by_an_orderly_close_is_not_framed_as_complete(missing: int) -> None:
    async def work(deployment: Deployment) -> None:
        size = len(LONG_DOCUMENT) - missing
        await start_with_answers(deployment, cut_document(LONG_DOCUMENT, size))
        answer = await deployment.call("/single/1")
        assert answer.broken == bool(missing)
        assert LONG_DOCUMENT[:size] == answer.body

    run_in_virtual_time(work)


def test_answer_of_a_format_without_an_end_of_its_own_is_forwarded() -> None:
    async def work(deployment: Deployment) -> None:
        answer = ScriptedAnswer(UNTIL_CLOSE, content_type="text/plain", document=b"no json")
        await start_with_answers(deployment, answer)
        assert (await deployment.call("/single/1")).body == b"no json"

    run_in_virtual_time(work)
