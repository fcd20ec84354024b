"""Retries writes whose response may be lost, and reads the record to learn their outcome.

A compare-and-swap is retried until there is a definite response. It can take effect only once,
so a failed comparison after an uncertain attempt has two possible causes: the earlier attempt
took effect, or another writer came first. The caller distinguishes them by reading the record,
through *is_ours*; the outcome is never assumed.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from ..errors import KvRejected, KvUnavailable, KvUncertain

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .service import KeyValueService, Transaction

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class WriteOutcome(Enum):
    """Definite outcome of a write."""

    TOOK_EFFECT = "took-effect"
    LOST_RACE = "lost-race"


class WriteOutcomeUnknown(Exception):
    """All attempts were used up without a definite response.

    :param may_have_applied: True if the write may have taken effect; False if it certainly did not.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


async def settle(
    service: KeyValueService,
    transaction: Transaction,
    is_ours: Callable[[], Awaitable[bool]],
    *,
    max_attempts: int = 3,
) -> tuple[WriteOutcome, int]:
    """Apply *transaction*, retrying until its outcome is known.

    :param is_ours: reads the record and returns whether it holds this write.
    :param max_attempts: number of attempts.
    :returns: the outcome and the revision of the write (0 if the write lost the race, or if its
        success was only found by reading).
    :raises WriteOutcomeUnknown: no attempt had a definite outcome.
    :raises KvRejected: the service refuses the write.
    """
    uncertain = False
    backoff_s = INITIAL_BACKOFF_S
    for attempt in range(max_attempts):
        try:
            result = await service.transact(transaction)
            if result.succeeded:
                return WriteOutcome.TOOK_EFFECT, result.revision
            if uncertain and await is_ours():
                return WriteOutcome.TOOK_EFFECT, 0
            return WriteOutcome.LOST_RACE, 0
        except KvUncertain:
            uncertain = True
        except KvUnavailable:
            pass
        except KvRejected:
            if not uncertain:
                raise
            break
        if attempt + 1 < max_attempts:
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
    raise WriteOutcomeUnknown(
        "the key-value service gave no definite answer", may_have_applied=uncertain
    )
