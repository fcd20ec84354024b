"""Decide whether a failed attempt is retried: outcome rule and retry budget, without I/O.

An attempt is "not run" only if no byte of the request can have reached the target or if the target
said so itself. Every other attempt without a complete answer is "unknown", and only a repeatable
call may be retried after it (docs/design/outcomes.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MAX_ATTEMPTS = 4
BUDGET_RATIO = 0.1
"""Retries per first attempt over the long run; limits load amplification to a factor of 1.1."""
BUDGET_BURST = 10.0
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
MIN_TIME_LEFT_S = 0.05


class RetryBudget:
    """A token bucket that first attempts fill, so that retries stay a fixed share of the load."""

    def __init__(self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def first_try(self) -> None:
        """Add the fraction of a retry that one first attempt earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Verdict(Enum):
    """What to do after a failed attempt.

    ``RETRY``: try again. ``ANSWER_NOT_RUN``: tell the caller that the call did not run.
    ``ANSWER_UNKNOWN``: tell the caller that it may have run.
    """

    RETRY = "retry"
    ANSWER_NOT_RUN = "answer-not-run"
    ANSWER_UNKNOWN = "answer-unknown"


@dataclass
class CallProgress:
    """State of one call that retry decisions depend on.

    :param repeatable: whether the call may safely run more than once.
    :param deadline: time by which the call must be answered.
    :param tries: attempts so far.
    :param sent: whether any attempt so far may have reached a target.
    """

    repeatable: bool
    deadline: float
    tries: int = 0
    sent: bool = False


@dataclass(frozen=True)
class RetryDecision:
    """A verdict with its error code, and the pause before a retry in seconds."""

    verdict: Verdict
    reason: str
    pause_s: float = 0.0


def decide_after_failure(
    progress: CallProgress,
    code: str,
    *,
    not_run: bool,
    now: float,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryDecision:
    """Decide what to do after an attempt that ended without a complete answer.

    Sets ``progress.sent`` if the attempt may have reached the target, and takes a retry from
    *budget* for a retry.

    :param code: error code of the failure.
    :param not_run: whether the attempt certainly did not run.
    """
    if not not_run:
        progress.sent = True
    if progress.sent and not progress.repeatable:
        return RetryDecision(Verdict.ANSWER_UNKNOWN, code)
    final_verdict = Verdict.ANSWER_UNKNOWN if progress.sent else Verdict.ANSWER_NOT_RUN
    if progress.tries >= MAX_ATTEMPTS:
        return RetryDecision(final_verdict, code)
    pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** max(0, progress.tries - 1))
    pause *= rng.uniform(0.5, 1.0)
    if now + pause + MIN_TIME_LEFT_S >= progress.deadline:
        return RetryDecision(final_verdict, "deadline_exceeded" if progress.sent else code)
    if not budget.take():
        return RetryDecision(final_verdict, code if progress.sent else "retry_budget")
    return RetryDecision(Verdict.RETRY, code, pause)
