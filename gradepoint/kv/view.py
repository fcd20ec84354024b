"""A host's copy of the keys below a prefix, which it can pass on to others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .service import KeyValue, RangeResult, WatchEvent

if TYPE_CHECKING:
    from .follow import Follower

KEPT_EVENTS = 512
"""Changes kept for hosts that are behind: more than a second's worth at the busiest, and a
host that is further behind gets all keys."""


class ViewPart(msgspec.Struct, frozen=True, array_like=True):
    """What a host that is behind has to be told of one prefix.

    :param whole: *items* are all keys there are, not only changes.
    :param items: keys as written; events where *whole* is false.
    """

    revision: int
    whole: bool
    items: list[KeyValue] = []
    events: list[WatchEvent] = []


@dataclass
class PrefixView:
    """Implements :class:`~gradepoint.kv.follow.Follower`: keeps a copy, passes everything on.

    :ivar revision: that of the newest change known; 0 before the first read.
    """

    inner: Follower
    revision: int = 0
    items: dict[str, KeyValue] = field(default_factory=dict)
    recent: deque[WatchEvent] = field(default_factory=lambda: deque(maxlen=KEPT_EVENTS))
    recent_from: int = 0

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        self.items = {item.key: item for item in found.items}
        self.recent.clear()
        self.recent_from = found.revision
        self.revision = found.revision
        self.inner.reset(found)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`; a change that is known already is left out."""
        if event.revision < self.revision or (event.revision == self.revision and self._has(event)):
            return
        if len(self.recent) == KEPT_EVENTS:
            self.recent_from = self.recent[0].revision
        self.recent.append(event)
        self.revision = event.revision
        if event.value is None:
            self.items.pop(event.key, None)
        else:
            self.items[event.key] = KeyValue(event.key, event.value, event.revision)
        self.inner.change(event)

    def _has(self, event: WatchEvent) -> bool:
        known = self.items.get(event.key)
        if event.value is None:
            return known is None
        return known is not None and known.revision >= event.revision

    def tell(self, revision: int) -> ViewPart | None:
        """Return what a host at *revision* lacks; None if nothing."""
        if not self.revision or revision >= self.revision:
            return None
        if revision < self.recent_from:
            return ViewPart(self.revision, True, items=list(self.items.values()))
        events = [event for event in self.recent if event.revision > revision]
        return ViewPart(self.revision, False, events=events)

    def take(self, part: ViewPart) -> None:
        """Take what another host told."""
        if part.revision <= self.revision:
            return
        if part.whole:
            self.reset(RangeResult(tuple(part.items), part.revision))
            return
        for event in part.events:
            self.change(event)
        self.revision = max(self.revision, part.revision)
