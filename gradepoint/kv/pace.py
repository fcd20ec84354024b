"""Rate of the calls that a program makes to the key-value service for work of its own.

All hosts share the service's rates. Background work (entering owed jobs, adopting, listing) follows
what the service lets through: the rate is halved when the service refuses a call as one above its
rate, and raised by a share of itself while it does not. Leases, proofs, watches, first reads and
callers' own calls do not wait here.
"""

from __future__ import annotations

import asyncio
import random

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field

MAX_RATE_PER_S = 100.0
"""Most background calls per second of one program: a fraction of what a service accepts."""
MIN_RATE_PER_S = 0.5
"""Fewest of them: 300 hosts then make 150 calls per second, below the rates of a service."""
RAISE_SHARE_PER_S = 0.25
"""Share of the rate by which it rises in each second without a refusal. A step that doesn't depend
on the rate would be too large for hundreds of hosts or too small for a few."""
MAX_RAISE_S = 10.0
"""Longest time in seconds that counts for one rise."""
REDUCTION_GAP_S = 0.1
"""Seconds within which several refusals halve the rate once: the calls were made together."""
JITTER = 0.3
"""Largest deviation of a pause, as a share of it. It keeps hosts from calling in step."""


class BackgroundPace(Struct):
    """When the next background call of this program may be made.

    :ivar rate_per_s: calls per second, as of :attr:`rated_at`.
    :ivar called_at: monotonic time of the last background call.
    :ivar reduced_at: monotonic time at which the rate was last halved.
    :ivar turn: held by the task that waits for the next call.
    """

    rate_per_s: float = MAX_RATE_PER_S
    rated_at: float = float("-inf")
    called_at: float = float("-inf")
    reduced_at: float = float("-inf")
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def find_rate(self) -> float:
        """Return the calls per second that may be made now."""
        now = monotonic()
        raised = self.rate_per_s * (1 + RAISE_SHARE_PER_S * min(MAX_RAISE_S, now - self.rated_at))
        self.rate_per_s, self.rated_at = min(MAX_RATE_PER_S, raised), now
        return self.rate_per_s

    def note_over_rate(self) -> None:
        """Lower the rate after a call of any kind that was above the service's rate."""
        now = monotonic()
        if now - self.reduced_at < REDUCTION_GAP_S:
            return
        self.rate_per_s = max(MIN_RATE_PER_S, self.find_rate() / 2)
        self.reduced_at = self.called_at = now
        emit(events.BACKGROUND_SLOWED, rate_per_s=round(self.rate_per_s, 1))

    async def wait(self) -> None:
        """Return once the next background call may be made; callers get their turns in order."""
        async with self.turn:
            while True:
                called_at = self.called_at
                if monotonic() - called_at >= (1 + JITTER) / self.find_rate():
                    break
                pause_s = random.uniform(1 - JITTER, 1 + JITTER) / self.find_rate()
                await asyncio.sleep(max(0.0, called_at + pause_s - monotonic()))
                # A refusal while this call waited makes it wait anew, at the lower rate.
                if self.called_at == called_at:
                    break
            self.called_at = monotonic()
