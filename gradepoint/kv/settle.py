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

from ..errors import KvUnavailable, KvUncertain

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .service import KeyValueService, Transaction

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class Settled(Enum):
    """Definite outcome of a write."""

    TOOK_EFFECT = "took-effect"
    LOST_RACE = "lost-race"


class Unsettled(Exception):
    """All attempts were used up without a definite response.

    :param sent: True if the write may have taken effect; False if it certainly did not.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


async def settle(
    service: KeyValueService,
    transaction: Transaction,
    is_ours: Callable[[], Awaitable[bool]],
    *,
    tries: int = 3,
) -> tuple[Settled, int]:
    """Apply *transaction*, retrying until its outcome is known.

    :param is_ours: reads the record and returns whether it holds this write.
    :param tries: number of attempts.
    :returns: the outcome and the revision of the write (0 if the write lost the race, or if its
        success was only found by reading).
    :raises Unsettled: no attempt had a definite outcome.
    """
    uncertain = False
    backoff_s = INITIAL_BACKOFF_S
    for attempt in range(tries):
        try:
            result = await service.transact(transaction)
            if result.succeeded:
                return Settled.TOOK_EFFECT, result.revision
            if uncertain and await is_ours():
                return Settled.TOOK_EFFECT, 0
            return Settled.LOST_RACE, 0
        except KvUncertain:
            uncertain = True
        except KvUnavailable:
            pass
        if attempt + 1 < tries:
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
    raise Unsettled("the key-value service gave no definite answer", sent=uncertain)
