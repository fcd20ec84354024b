"""The reported outcome of online calls matches what the targets did, under any failure.

Guards against a call that is reported as not run although a target ran it, and against a second
run of a call that is not repeatable.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from gradepoint.errors import GradepointError, Outcome
from gradepoint.online.execute import CallContext, CallExecutor, StreamState
from gradepoint.online.requests import check_completion
from gradepoint.online.targets import TargetPool
from gradepoint.routing.retries import CallProgress, RetryBudget
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.calls import FakeTargets, expected_answer, make_config

CALLS = 40


def make_executor(seed: int) -> tuple[CallExecutor, FakeTargets]:
    """Return an executor over fake targets, with a retry budget that rarely runs out."""
    rng = random.Random(seed)
    targets = FakeTargets(rng)
    pool = TargetPool(make_config(), "daemon", 8, 8, rng)
    executor = CallExecutor(pool, rng)
    executor.client = targets  # type: ignore[assignment]
    executor.budget = RetryBudget(ratio=1.0, burst=50.0)
    return executor, targets


def make_call(executor: CallExecutor, prompt: str, *, repeatable: bool) -> CallContext:
    """Return a call whose deadline is in five seconds."""
    body = {"model": "m", "prompt": prompt, "stream": True}
    request = check_completion("/v1/completions", body, executor.pool.config.document)
    return CallContext(request, "org", CallProgress(repeatable, monotonic() + 5.0), 0)


async def run_unary(executor: CallExecutor, call: CallContext) -> Outcome:
    """Run a call without streaming and check its answer."""
    try:
        answer = await executor.run_unary(call)
    except GradepointError as error:
        return error.outcome
    assert answer.body.decode() == expected_answer(call.request.body["prompt"])
    return Outcome.COMPLETE


async def run_stream(executor: CallExecutor, call: CallContext) -> Outcome:
    """Run a streamed call and check that each token comes exactly once and in order."""
    text = ""
    prompt = call.request.body["prompt"]
    try:
        async for payload in executor.run_stream(call, StreamState("id")):
            assert isinstance(payload, bytes)
            text += msgspec.json.decode(payload)["choices"][0]["text"]
    except GradepointError as error:
        assert expected_answer(prompt).startswith(text.strip())
        return error.outcome
    assert text.strip() == expected_answer(prompt)
    return Outcome.COMPLETE


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("stream", [False, True])
def test_reported_outcomes_match_what_ran(seed: int, stream: bool) -> None:
    async def main() -> None:
        executor, targets = make_executor(seed)
        run = run_stream if stream else run_unary
        outcomes: dict[str, tuple[bool, Outcome]] = {}

        async def one(number: int) -> None:
            repeatable = number % 2 == 0
            prompt = f"p{number}"
            call = make_call(executor, prompt, repeatable=repeatable)
            outcomes[prompt] = repeatable, await run(executor, call)

        await asyncio.gather(*(one(number) for number in range(CALLS)))
        for prompt, (repeatable, outcome) in outcomes.items():
            ran = targets.ran[prompt]
            if outcome is Outcome.NOT_RUN:
                assert ran == 0, f"{prompt} ran, but was refused as not run"
            if outcome is Outcome.COMPLETE:
                assert ran >= 1
            if not repeatable:
                assert ran <= 1, f"not-repeatable {prompt} ran {ran} times"
        done = [outcome for _, outcome in outcomes.values() if outcome is Outcome.COMPLETE]
        assert done, "no call completed, so the checks above covered nothing"
        assert all(view.in_flight == 0 for view in executor.pool.views.values())

    run_virtual(main())


def test_retries_stay_within_a_tenth_of_the_calls() -> None:
    async def main() -> None:
        executor, targets = make_executor(1)
        targets.failure_rate = 1.0
        executor.budget = RetryBudget()
        calls = 600
        for number in range(calls):
            call = make_call(executor, f"p{number}", repeatable=True)
            assert await run_unary(executor, call) is not Outcome.COMPLETE
            for view in executor.pool.views.values():
                view.circuit.succeeded()
            assert call.progress.tries <= 4
        spent = calls * 0.1 + 10.0 - executor.budget.tokens
        assert spent <= calls * 0.1 + 10.0

    run_virtual(main())


def test_call_without_usable_target_is_refused_at_once_with_retry_after() -> None:
    async def main() -> None:
        executor, _ = make_executor(2)
        for view in executor.pool.candidates(
            make_call(executor, "p", repeatable=True).request.model
        ):
            for _ in range(3):
                view.circuit.failed(monotonic())
        started = monotonic()
        with pytest.raises(GradepointError) as refused:
            await executor.run_unary(make_call(executor, "p", repeatable=True))
        assert refused.value.outcome is Outcome.NOT_RUN
        assert refused.value.retry_after is not None
        assert monotonic() == started

    run_virtual(main())


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("stream", [False, True])
def test_most_calls_complete_when_few_attempts_fail(seed: int, stream: bool) -> None:
    async def main() -> None:
        executor, targets = make_executor(seed)
        targets.failure_rate = 0.1
        run = run_stream if stream else run_unary
        outcomes = await asyncio.gather(
            *(run(executor, make_call(executor, f"p{n}", repeatable=True)) for n in range(CALLS))
        )
        assert outcomes.count(Outcome.COMPLETE) > CALLS // 2

    run_virtual(main())
