"""Follows the keys below a prefix: one read of all, then a watch, for ever."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from .. import events
from ..errors import KvError, KvHistoryLost
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    from .service import KeyValueService, RangeResult, WatchEvent

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
"""Seconds of the longest pause between tries: a store that is back is noticed within it, and
a store that is away is asked little, since refused calls count too."""


class Follower(Protocol):
    """What is told of the keys below a prefix."""

    def reset(self, found: RangeResult) -> None:
        """Take all keys as they are now."""

    def change(self, event: WatchEvent) -> None:
        """Take one change."""


async def follow(kv: KeyValueService, prefix: str, follower: Follower) -> None:
    """Keep *follower* up to date; runs until it is cancelled."""
    revision = 0
    pause = FIRST_PAUSE_S
    failing_since: float | None = None
    while True:
        try:
            if not revision:
                found = await kv.range(prefix)
                follower.reset(found)
                revision = found.revision
                _note_recovered(prefix, failing_since)
                failing_since = None
                pause = FIRST_PAUSE_S
            async for event in kv.watch(prefix, revision + 1):
                follower.change(event)
                revision = max(revision, event.revision)
                _note_recovered(prefix, failing_since)
                failing_since = None
                pause = FIRST_PAUSE_S
        except KvHistoryLost as error:
            emit(events.KV_HISTORY_LOST, prefix=prefix, reason=str(error))
            revision = 0
        except KvError as error:
            if failing_since is None:
                failing_since = monotonic()
                emit(events.KV_FAILING, prefix=prefix, reason=str(error))
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(LONGEST_PAUSE_S, pause * 2)


def _note_recovered(prefix: str, failing_since: float | None) -> None:
    if failing_since is not None:
        away_s = round(monotonic() - failing_since, 2)
        emit(events.KV_RECOVERED, prefix=prefix, away_s=away_s)
