"""The decision after a failed attempt: back off and retry, or end the call with an error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError, Outcome, TargetFailure
from ..routing.retries import CallProgress, RetryBudget, Verdict, decide_after_failure
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    import random


async def back_off_or_raise(
    progress: CallProgress, failure: TargetFailure, budget: RetryBudget, rng: random.Random
) -> None:
    """Sleep for the back-off time before a retry, or raise the error that ends the call.

    :param progress: attempts and outcome of the call so far; updated by the decision.
    :param budget: limits retries to a share of the first attempts.
    :raises GradepointError: the call is not retried. Its outcome is "not run" only if no
        attempt can have reached a target, otherwise "unknown".
    """
    decision = decide_after_failure(
        progress, failure.code, not_run=failure.not_run, now=monotonic(), budget=budget, rng=rng
    )
    if decision.verdict is Verdict.RETRY:
        metrics.shared().retries.add(1, {"reason": decision.reason})
        emit(events.CALL_RETRIED, reason=decision.reason, tries=progress.tries)
        await asyncio.sleep(decision.pause_s)
        return
    outcome = Outcome.NOT_RUN
    if decision.verdict is Verdict.ANSWER_UNKNOWN:
        outcome = Outcome.UNKNOWN
        emit(events.CALL_UNKNOWN, reason=decision.reason)
    raise GradepointError(decision.reason, failure.message, outcome=outcome)
