"""Writes whose answer may be lost, settled by reading and never by assuming.

A compare-and-swap is sent again until a definite answer comes. Since it can take
effect only once, a definite "comparison failed" leaves two cases: our own earlier
send took effect, or another writer came first. The caller tells them apart by
reading what the record now says, through *is_ours*.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from ..errors import KvUnavailable, KvUncertain

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .service import KeyValueService, Transaction

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 2.0


class Settled(Enum):
    """How a write ended."""

    TOOK_EFFECT = "took-effect"
    LOST_RACE = "lost-race"


class Unsettled(Exception):
    """No definite answer came in time; the write may have taken effect.

    :param sent: False if it certainly did not.
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
    """Apply *transaction* and find out what became of it.

    :param is_ours: reads the service and tells whether the write is there.
    :returns: the end and the write's revision (0 where only reading told).
    :raises Unsettled: *tries* went by without a definite answer.
    """
    uncertain = False
    wait = FIRST_PAUSE_S
    for attempt in range(tries):
        try:
            answer = await service.transact(transaction)
            if answer.succeeded:
                return Settled.TOOK_EFFECT, answer.revision
            if uncertain and await is_ours():
                return Settled.TOOK_EFFECT, 0
            return Settled.LOST_RACE, 0
        except KvUncertain:
            uncertain = True
        except KvUnavailable:
            pass
        if attempt + 1 < tries:
            await asyncio.sleep(wait)
            wait = min(LONGEST_PAUSE_S, wait * 2)
    raise Unsettled("the key-value service gave no definite answer", sent=uncertain)
