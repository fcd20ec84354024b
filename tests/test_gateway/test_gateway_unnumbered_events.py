"""Tests of streams whose events have no numbers, on a route whose streams can be resumed.

Another target could only begin such a stream anew, and its caller would get events twice.
"""

from __future__ import annotations

import pytest

from bench.platform.target import complete_stream
from gradepoint.wire.http_client import BodyFraming
from tests.support.platform import (
    Deployment,
    item_text,
    run_in_virtual_time,
    until,
)
from tests.support.scripted_target import BodyEnd, ScriptedAnswer, ScriptedTarget

EVENTS = 6
WHOLE = ScriptedAnswer(BodyFraming.CHUNKED)


async def start_with_answers(deployment: Deployment, *answers: ScriptedAnswer) -> None:
    """Start a gateway and two targets that share the order of *answers*."""
    await deployment.start(targets=0)
    shared = list(answers)
    for number in range(2):
        await deployment.add_target(ScriptedTarget(f"t{number}", events=EVENTS, answers=shared))
    await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)


CUTS = [
    pytest.param(
        ScriptedAnswer(framing, stop, partial, end, unnumbered_from=first),
        id=f"{framing.value}-{stop}-{partial}-{end.value}-from-{first}",
    )
    for framing in BodyFraming
    for stop, first in ((2, 0), (4, 0), (4, 3))
    for partial in (0, 5)
    for end in BodyEnd
    # A close between two events ends a body without a length or chunks in order.
    if (framing, end, partial) != (BodyFraming.UNTIL_CLOSE, BodyEnd.CLOSE, 0)
]


@pytest.mark.parametrize("cut", CUTS)
def test_caller_gets_no_event_twice_after_a_cut(cut: ScriptedAnswer) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, cut, WHOLE)
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.broken) == (200, True)
        whole = b"".join(cut.events(answer.request_id, 0, EVENTS))
        assert answer.body and whole.startswith(answer.body)
        assert sum(target.ran[answer.request_id] for target in deployment.targets) == 1
        targets = deployment.gateways[0].targets.by_id.values()
        assert sorted(target.health.failure_share > 0.0 for target in targets) == [False, True]

    run_in_virtual_time(work)


@pytest.mark.parametrize("framing", BodyFraming)
def test_stream_cut_before_its_first_event_is_served_by_another_target(
    framing: BodyFraming,
) -> None:
    async def work(deployment: Deployment) -> None:
        cut = ScriptedAnswer(framing, 0, 5, BodyEnd.RESET, unnumbered_from=0)
        await start_with_answers(deployment, cut, WHOLE)
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)

    run_in_virtual_time(work)


@pytest.mark.parametrize("framing", BodyFraming)
def test_cut_after_a_numbered_event_is_resumed_there(framing: BodyFraming) -> None:
    async def work(deployment: Deployment) -> None:
        cut = ScriptedAnswer(framing, 2, 5, BodyEnd.RESET, unnumbered_from=4)
        await start_with_answers(deployment, cut, WHOLE)
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)

    run_in_virtual_time(work)


@pytest.mark.parametrize("first", [0, 3, 5])
@pytest.mark.parametrize("framing", BodyFraming)
def test_whole_stream_is_passed_on_unchanged(framing: BodyFraming, first: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_with_answers(deployment, ScriptedAnswer(framing, unnumbered_from=first))
        answer = await deployment.call("/resume/1")
        whole = ScriptedAnswer(framing, unnumbered_from=first).events(answer.request_id, 0, EVENTS)
        assert (answer.status, answer.broken, answer.body) == (200, False, b"".join(whole))

    run_in_virtual_time(work)


def test_item_is_begun_anew_after_a_cut() -> None:
    async def work(deployment: Deployment) -> None:
        cut = ScriptedAnswer(BodyFraming.CHUNKED, 2, 5, BodyEnd.RESET, unnumbered_from=0)
        await start_with_answers(deployment, cut, WHOLE)
        await deployment.submit("job", 1)
        [result] = await deployment.read_all_results("job")
        assert (result["state"], result["message"]) == ("complete", item_text("job-0", EVENTS))

    run_in_virtual_time(work)
