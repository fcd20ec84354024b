"""Retries: the outcome rule and the budget, as pure decisions.

The rule (docs/design/outcomes.md): a try is "not run" only if no byte of the request
can have reached the target or the target said so itself. Everything else without a
full answer is "unknown", which only a repeatable call may try again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MOST_TRIES = 4
BUDGET_RATIO = 0.1
"""Retries per first try over the long run, which bounds amplification to 1.1."""
BUDGET_BURST = 10.0
FIRST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 0.5
LEAST_TIME_LEFT_S = 0.05


class RetryBudget:
    """A token bucket fed by first tries, so that retries stay a share of the load."""

    def __init__(self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def first_try(self) -> None:
        """Earn a share of a retry."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Verdict(Enum):
    """What follows a failed try."""

    RETRY = "retry"
    ANSWER_NOT_RUN = "answer-not-run"
    ANSWER_UNKNOWN = "answer-unknown"


@dataclass
class CallProgress:
    """What matters about a call for its next decision.

    :param sent: whether any try so far may have reached a target.
    """

    repeatable: bool
    deadline: float
    tries: int = 0
    sent: bool = False


@dataclass(frozen=True)
class RetryDecision:
    """A verdict with its reason code, and the pause before a retry."""

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
    """Decide what follows a try that ended without a full answer.

    :param code: error code of the failure.
    :param not_run: whether the try certainly did not run.
    """
    if not not_run:
        progress.sent = True
    if progress.sent and not progress.repeatable:
        return RetryDecision(Verdict.ANSWER_UNKNOWN, code)
    give_up = Verdict.ANSWER_UNKNOWN if progress.sent else Verdict.ANSWER_NOT_RUN
    if progress.tries >= MOST_TRIES:
        return RetryDecision(give_up, code)
    pause = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** max(0, progress.tries - 1))
    pause *= rng.uniform(0.5, 1.0)
    if now + pause + LEAST_TIME_LEFT_S >= progress.deadline:
        return RetryDecision(give_up, "deadline_exceeded" if progress.sent else code)
    if not budget.take():
        return RetryDecision(give_up, code if progress.sent else "retry_budget")
    return RetryDecision(Verdict.RETRY, code, pause)
