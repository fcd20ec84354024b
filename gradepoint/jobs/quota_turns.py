"""Turns of creations that compare and swap the same quota record.

Creations of one host would only race each other, so they take turns. Those of other hosts are met
with a random pause after each lost race, whose bound doubles with each loss and halves with each
success: the more hosts contend for a record, the fewer tries each of them makes.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

FIRST_PAUSE_S = 0.01
"""Bound in seconds of the pause after a lost race: a few round trips to the key-value service."""
MAX_PAUSE_S = 1.28
"""Largest bound of that pause in seconds. 300 hosts that contend for one record then make about 500
tries per second, so that one in a few succeeds at a round trip of some milliseconds."""
MAX_TURN_WAIT_S = 0.25
"""Seconds without the end of any turn after which the next creation no longer waits for its turn:
the service does not answer, and one creation after the other would run into its time-out."""


class QuotaTurns(Struct):
    """Turns at one quota record.

    :ivar ended: number of turns that have ended.
    :ivar pause_s: bound of the pause in seconds after the last lost race; 0 without contention.
    """

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    ended: int = 0
    pause_s: float = 0.0

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Wait for a turn, as long as the turns before it end; it lasts for the block."""
        holds_lock = False
        ended = -1
        while not holds_lock and ended != self.ended:
            ended = self.ended
            try:
                async with asyncio.timeout(MAX_TURN_WAIT_S):
                    holds_lock = await self.lock.acquire()
            except TimeoutError:
                continue
        try:
            yield
        finally:
            self.ended += 1
            if holds_lock:
                self.lock.release()

    def note_success(self) -> None:
        """Record a creation that lost no further race."""
        self.pause_s = self.pause_s / 2 if self.pause_s > FIRST_PAUSE_S else 0.0

    async def pause_after_loss(self, max_pause_s: float = MAX_PAUSE_S) -> None:
        """Record a lost race, and wait before the next try."""
        self.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, self.pause_s * 2))
        await asyncio.sleep(random.uniform(0.0, min(max_pause_s, self.pause_s)))
