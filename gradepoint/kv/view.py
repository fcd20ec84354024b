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
    :ivar read_to: revision of the store up to which every change is known. Empty answers of
        watches do not raise it, since a watch may not have heard of a change.
    :ivar recent_from: revision after which *recent* has every change.
    """

    inner: Follower
    revision: int = 0
    read_to: int = 0
    items: dict[str, KeyValue] = field(default_factory=dict)
    recent: deque[WatchEvent] = field(default_factory=lambda: deque(maxlen=KEPT_EVENTS))
    recent_from: int = 0

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`.

        A list that was read before the newest change that is known says what was true then, and
        is left out. One that says nothing new raises no revision, so that no host fetches it.
        """
        if not self.revision:
            self.items = {item.key: item for item in found.items}
            self.revision = self.recent_from = self.read_to = found.revision
            self.inner.reset(found)
            return
        if found.revision < self.revision:
            return
        changes = self._compare(found)
        for change in changes:
            self._keep(change)
        self.read_to = max(self.read_to, found.revision)
        if changes:
            self.inner.reset(found)

    def _compare(self, found: RangeResult) -> list[WatchEvent]:
        """Return the changes that lead to what was read, as if all had been made just then.

        A host that missed a change may know later ones, and asks only for what came after those.
        """
        revision = found.revision
        read = {item.key: item.value for item in found.items}
        known = {key: item.value for key, item in self.items.items()}
        gone = [WatchEvent(key, None, revision) for key in known if key not in read]
        written = [item for item in read.items() if known.get(item[0]) != item[1]]
        return gone + [WatchEvent(key, value, revision) for key, value in written]

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`; a change that is known already is left out."""
        if event.revision < self.revision or (event.revision == self.revision and self._has(event)):
            return
        self._keep(event)
        self.inner.change(event)

    def _keep(self, event: WatchEvent) -> None:
        """Take a change into the copy, and keep it for hosts that are behind."""
        if len(self.recent) == KEPT_EVENTS:
            self.recent_from = self.recent[0].revision
        self.recent.append(event)
        self.revision = event.revision
        self.read_to = max(self.read_to, event.revision)
        if event.value is None:
            self.items.pop(event.key, None)
        else:
            self.items[event.key] = KeyValue(event.key, event.value, event.revision)

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
        for event in part.events:
            self.change(event)
        self.revision = max(self.revision, part.revision)
        self.read_to = max(self.read_to, part.revision)
