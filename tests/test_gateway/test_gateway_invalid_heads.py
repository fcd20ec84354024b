"""Tests of answers whose heads are not valid HTTP: none of them reaches a caller or a job.

A target in trouble may send any bytes. Such a head promises nothing: neither its status nor its
headers count.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from bench.platform.target import SEAL, complete_stream
from gradepoint.errors import Outcome
from gradepoint.wire.http_client import MAX_INTERIM_RESPONSES, BodyFraming
from tests.support.platform import Deployment, item_text, run_in_virtual_time, until
from tests.support.scripted_target import ScriptedAnswer, ScriptedTarget

EVENTS = 6
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

STATUS_LINES = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 042 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 X",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 600 X",
    "HTTP/1.1 700 X",
    "HTTP/1.1 999 X",
    "HTTP/0.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/3.7 200 OK",
]
PROMISES = [f"HTTP/3.7 {status} X" for status in (408, 421, 429, 503)]
"""Statuses that state that nothing was run, in heads that are not valid."""
NOT_RUN_HEADER = ("x-not-run: busy",)
INVALID = [ScriptedAnswer(BodyFraming.LENGTH, status_line=line) for line in STATUS_LINES] + [
    ScriptedAnswer(BodyFraming.LENGTH, status_line=line, headers=NOT_RUN_HEADER)
    for line in PROMISES
]
FAULTY_FRAMINGS = {
    "two-lengths": ScriptedAnswer(BodyFraming.LENGTH, headers=("content-length: 3",)),
    "length-in-words": ScriptedAnswer(BodyFraming.UNTIL_CLOSE, headers=("content-length: all",)),
    "negative-length": ScriptedAnswer(BodyFraming.UNTIL_CLOSE, headers=("content-length: -1",)),
    "length-and-coding": ScriptedAnswer(BodyFraming.CHUNKED, headers=("content-length: 3",)),
    "two-codings": ScriptedAnswer(BodyFraming.CHUNKED, headers=("transfer-encoding: chunked",)),
    "unknown-coding": ScriptedAnswer(
        BodyFraming.UNTIL_CLOSE, headers=("transfer-encoding: gzip, chunked",)
    ),
    "obsolete-coding": ScriptedAnswer(
        BodyFraming.UNTIL_CLOSE, headers=("transfer-encoding: identity",)
    ),
    "coding-in-version-1.0": ScriptedAnswer(BodyFraming.CHUNKED, status_line="HTTP/1.0 200 OK"),
    "length-with-204": ScriptedAnswer(BodyFraming.LENGTH, status_line="HTTP/1.1 204 No Content"),
    "chunks-with-204": ScriptedAnswer(BodyFraming.CHUNKED, status_line="HTTP/1.1 204 No Content"),
}
FAULTY_HEADERS = {
    "control-character": ScriptedAnswer(BodyFraming.LENGTH, headers=("x-note: a\x01b",)),
    "delete": ScriptedAnswer(BodyFraming.LENGTH, headers=("x-note: a\x7fb",)),
    "nul": ScriptedAnswer(BodyFraming.LENGTH, headers=("x-note: a\x00b",)),
    "carriage-return": ScriptedAnswer(BodyFraming.LENGTH, headers=("x-note: a\rb",)),
    "space-in-name": ScriptedAnswer(BodyFraming.LENGTH, headers=("x note: a",)),
    "interim-101": ScriptedAnswer(
        BodyFraming.LENGTH, interim=b"HTTP/1.1 101 Switching Protocols\r\n\r\n"
    ),
    "interim-of-another-version": ScriptedAnswer(
        BodyFraming.LENGTH, interim=b"HTTP/3.7 100 Continue\r\n\r\n"
    ),
    "many-interim": ScriptedAnswer(
        BodyFraming.LENGTH, interim=CONTINUE * (MAX_INTERIM_RESPONSES + 1)
    ),
}
ROWS = [
    *(
        pytest.param(
            replace(answer, framing=framing), id=f"{answer.status_line[5:12]}-{framing.value}"
        )
        for answer in INVALID
        for framing in BodyFraming
    ),
    *(
        pytest.param(answer, id=name)
        for name, answer in {**FAULTY_FRAMINGS, **FAULTY_HEADERS}.items()
    ),
]
invalid_answers = pytest.mark.parametrize("invalid", ROWS)


async def start_with_answers(deployment: Deployment, *answers: ScriptedAnswer) -> None:
    """Start a gateway and two targets that share the order of *answers*."""
    await deployment.start(targets=0)
    shared = list(answers)
    for number in range(2):
        await deployment.add_target(ScriptedTarget(f"t{number}", events=EVENTS, answers=shared))
    await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)


def count_runs(deployment: Deployment, request_id: str) -> int:
    """Return how often targets got a request."""
    return sum(target.ran[request_id] for target in deployment.targets)


def check_one_target_charged(deployment: Deployment) -> None:
    """Check that the target of the invalid answer counts as failing, and no other one."""
    targets = deployment.gateways[0].targets.by_id.values()
    assert sorted(target.health.failure_share > 0.0 for target in targets) == [False, True]


@pytest.mark.parametrize("path", ["/plain/1", "/resume/1"])
@invalid_answers
def test_call_that_may_be_repeated_is_served_by_another_target(
    invalid: ScriptedAnswer, path: str
) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, invalid, ScriptedAnswer(BodyFraming.CHUNKED))
        answer = await deployment.call(path)
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        assert count_runs(deployment, answer.request_id) == 2
        check_one_target_charged(deployment)

    run_in_virtual_time(work)


@pytest.mark.parametrize("path", ["/single/1", "/stream/1"])
@invalid_answers
def test_call_that_may_not_be_repeated_gets_one_error_of_unknown_outcome(
    invalid: ScriptedAnswer, path: str
) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, invalid, ScriptedAnswer(BodyFraming.CHUNKED))
        answer = await deployment.call(path)
        assert (answer.status, answer.broken) == (502, False)
        error = msgspec.json.decode(answer.body)["error"]
        assert (error["code"], error["outcome"]) == ("target_lost", Outcome.UNKNOWN.value)
        assert SEAL not in answer.headers and "x-note" not in answer.headers
        assert count_runs(deployment, answer.request_id) == 1
        check_one_target_charged(deployment)

    run_in_virtual_time(work)


@invalid_answers
def test_item_is_served_by_another_target(invalid: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, invalid, ScriptedAnswer(BodyFraming.CHUNKED))
        await deployment.submit("job", 1)
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))
        assert count_runs(deployment, "job-0") == 2

    run_in_virtual_time(work)


VALID = {
    "version-1.0": ScriptedAnswer(BodyFraming.LENGTH, status_line="HTTP/1.0 200 OK"),
    "no-reason": ScriptedAnswer(BodyFraming.LENGTH, status_line="HTTP/1.1 200"),
    "interim": ScriptedAnswer(BodyFraming.LENGTH, interim=CONTINUE * MAX_INTERIM_RESPONSES),
    "same-length-twice": ScriptedAnswer(
        BodyFraming.LENGTH,
        headers=(f"content-length: {len(complete_stream('id-1', EVENTS))}",),
    ),
    "latin-1-and-tab": ScriptedAnswer(BodyFraming.LENGTH, headers=("x-note: \xe4\tb",)),
}


@pytest.mark.parametrize("path", ["/plain/1", "/single/1", "/resume/1", "/stream/1"])
@pytest.mark.parametrize("valid", [pytest.param(row, id=name) for name, row in VALID.items()])
def test_unusual_but_valid_answer_is_passed_on(valid: ScriptedAnswer, path: str) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, valid)
        answer = await deployment.call(path)
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        assert count_runs(deployment, answer.request_id) == 1

    run_in_virtual_time(work)


@pytest.mark.parametrize("status", [299, 302, 404, 451, 500, 599])
def test_every_status_that_http_defines_is_passed_on(status: int) -> None:
    async def work(deployment: Deployment) -> None:
        line = f"HTTP/1.1 {status} X"
        await start_with_answers(deployment, ScriptedAnswer(BodyFraming.LENGTH, status_line=line))
        assert (await deployment.call("/single/1")).status == status

    run_in_virtual_time(work)
