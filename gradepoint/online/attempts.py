"""What follows a failed try of a call: a pause before the next, or the final answer."""

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


async def pause_or_give_up(
    progress: CallProgress, failure: TargetFailure, budget: RetryBudget, rng: random.Random
) -> None:
    """Pause before another try, or give the call up at once.

    :raises GradepointError: the call is given up; its outcome follows the outcome rule.
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
