"""Follows the keys below a prefix: reads all of them once, then watches for changes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from .. import events
from ..errors import KvError, KvHistoryLost
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct

if TYPE_CHECKING:
    from .service import KeyValueService, RangeResult, WatchEvent

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
"""Longest delay between retries, in seconds. It bounds the time until a recovered store is
noticed and limits the calls made to an unavailable one, since refused calls count too."""


class Follower(Protocol):
    """Receives the keys below a prefix and their changes."""

    def reset(self, result: RangeResult) -> None:
        """Replace all known keys with *result*, a complete read of the prefix."""

    def change(self, event: WatchEvent) -> None:
        """Apply one change."""


class Backoff(Struct):
    """Retry delay for the calls on one prefix, with an event when they start and stop failing.

    The delay doubles with each failure up to *max_delay_s* and is reset by a success.

    :param max_delay_s: longest delay in seconds.
    :ivar failing_since: monotonic time of the first failure; None while calls succeed.
    :ivar delay_s: upper bound of the next delay in seconds; half of it is the lower bound.
    """

    prefix: str
    max_delay_s: float = MAX_BACKOFF_S
    failing_since: float | None = None
    delay_s: float = INITIAL_BACKOFF_S

    def record_success(self) -> None:
        """Reset the delay after a successful call."""
        if self.failing_since is not None:
            away_s = round(monotonic() - self.failing_since, 2)
            emit(events.KV_RECOVERED, prefix=self.prefix, away_s=away_s)
        self.failing_since = None
        self.delay_s = INITIAL_BACKOFF_S

    async def wait_after_failure(self, error: KvError) -> None:
        """Record a failed call and sleep until the next one may be made."""
        if self.failing_since is None:
            self.failing_since = monotonic()
            emit(events.KV_FAILING, prefix=self.prefix, reason=str(error))
        await asyncio.sleep(self.delay_s * random.uniform(0.5, 1.0))
        self.delay_s = min(self.max_delay_s, self.delay_s * 2)


async def read_snapshot(
    kv: KeyValueService, prefix: str, follower: Follower, max_backoff_s: float = MAX_BACKOFF_S
) -> int:
    """Pass all keys to *follower* and return their revision; retry until the read succeeds.

    :param max_backoff_s: longest delay between retries, in seconds.
    """
    backoff = Backoff(prefix, max_backoff_s)
    while True:
        try:
            result = await kv.range(prefix)
        except KvError as error:
            await backoff.wait_after_failure(error)
            continue
        follower.reset(result)
        backoff.record_success()
        return result.revision


async def follow(kv: KeyValueService, prefix: str, follower: Follower, revision: int = 0) -> None:
    """Keep *follower* up to date until cancelled.

    A watch that fails is restarted after the last change seen. If the service no longer has the
    changes after it, all keys are read again.

    :param revision: revision up to which *follower* already has all changes; 0 if it has none.
    """
    backoff = Backoff(prefix)
    while True:
        try:
            if not revision:
                revision = await read_snapshot(kv, prefix, follower)
            async for event in kv.watch(prefix, revision + 1):
                follower.change(event)
                revision = max(revision, event.revision)
                backoff.record_success()
        except KvHistoryLost as error:
            emit(events.KV_HISTORY_LOST, prefix=prefix, reason=str(error))
            revision = 0
        except KvError as error:
            await backoff.wait_after_failure(error)
