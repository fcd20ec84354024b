"""Follows the keys below a prefix: one read of all, then a watch, for ever."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
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


@dataclass
class Outage:
    """How long the calls for one prefix have failed, and how long to pause before the next."""

    prefix: str
    since: float | None = None
    pause_s: float = FIRST_PAUSE_S

    def end(self) -> None:
        """Take note of an answer."""
        if self.since is not None:
            away_s = round(monotonic() - self.since, 2)
            emit(events.KV_RECOVERED, prefix=self.prefix, away_s=away_s)
        self.since = None
        self.pause_s = FIRST_PAUSE_S

    async def pause(self, error: KvError) -> None:
        """Take note of a failed call, and wait until the next one may be made."""
        if self.since is None:
            self.since = monotonic()
            emit(events.KV_FAILING, prefix=self.prefix, reason=str(error))
        await asyncio.sleep(self.pause_s * random.uniform(0.5, 1.0))
        self.pause_s = min(LONGEST_PAUSE_S, self.pause_s * 2)


async def read_whole(kv: KeyValueService, prefix: str, follower: Follower) -> int:
    """Tell *follower* all keys, however long the service is away; return their revision."""
    outage = Outage(prefix)
    while True:
        try:
            found = await kv.range(prefix)
        except KvError as error:
            await outage.pause(error)
            continue
        follower.reset(found)
        outage.end()
        return found.revision


async def follow(kv: KeyValueService, prefix: str, follower: Follower, revision: int = 0) -> None:
    """Keep *follower* up to date; runs until it is cancelled.

    :param revision: the one up to which *follower* knows all changes; 0 if it knows none.
    """
    outage = Outage(prefix)
    while True:
        try:
            if not revision:
                revision = await read_whole(kv, prefix, follower)
            async for event in kv.watch(prefix, revision + 1):
                follower.change(event)
                revision = max(revision, event.revision)
                outage.end()
        except KvHistoryLost as error:
            emit(events.KV_HISTORY_LOST, prefix=prefix, reason=str(error))
            revision = 0
        except KvError as error:
            await outage.pause(error)
