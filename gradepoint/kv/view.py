"""A host's copy of the keys below a prefix, which it can pass on to others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from .service import KeyValue, RangeResult, WatchEvent

if TYPE_CHECKING:
    from .follow import Follower

KEPT_EVENTS = 512
"""Changes kept for hosts that are behind: more than a second's worth at the busiest, and a
host that is further behind gets all keys."""

DIGESTS = 1 << 64
"""Digests that there are: two hosts that know something else take each other for equal once in
as many cases."""


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
    :ivar read_to: revision of the newest read of all keys. Empty answers of watches do not raise
        it, since a watch may not have heard of a change.
    :ivar recent_from: revision after which *recent* has every change.
    :ivar digest: stands for all keys and values: hosts with the same one know the same.
    """

    inner: Follower
    revision: int = 0
    read_to: int = 0
    items: dict[str, KeyValue] = field(default_factory=dict)
    recent: deque[WatchEvent] = field(default_factory=lambda: deque(maxlen=KEPT_EVENTS))
    recent_from: int = 0
    digest: int = 0

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`.

        A list that was read before something newer is known says what was true then, and is left
        out. One that says nothing new raises no revision, so that no host fetches it. After one
        that does, hosts that are behind are told all keys: what lies between two reads is not
        known, and they may know a part of it.
        """
        if found.revision < self.known_to:
            return
        first = not self.revision
        self.read_to = max(self.read_to, found.revision)
        if self._replace_items(found) or first:
            self.recent.clear()
            self.revision = self.recent_from = found.revision
            self.inner.reset(found)

    def _replace_items(self, found: RangeResult) -> bool:
        """Take all keys as they were read; return whether any differs from what was known."""
        read = {item.key: item for item in found.items}
        changed = [item for key, item in read.items() if self._value(key) != item.value]
        gone = [key for key in self.items if key not in read]
        for key in gone:
            self._set(key, None)
        for item in changed:
            self._set(item.key, item)
        return bool(changed or gone)

    def _value(self, key: str) -> bytes | None:
        known = self.items.get(key)
        return None if known is None else known.value

    def _set(self, key: str, item: KeyValue | None) -> None:
        """Write or remove one key of the copy."""
        known = self.items.pop(key, None)
        if known is not None:
            self.digest -= _digest(known)
        if item is not None:
            self.items[key] = item
            self.digest += _digest(item)
        self.digest %= DIGESTS

    @property
    def known_to(self) -> int:
        """Revision of the store up to which every change is known."""
        return max(self.revision, self.read_to)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`; a change that is known already is left out."""
        known_to = self.known_to
        if event.revision < known_to or (event.revision == known_to and self._has(event)):
            return
        if len(self.recent) == KEPT_EVENTS:
            self.recent_from = self.recent[0].revision
        self.recent.append(event)
        self.revision = event.revision
        item = None if event.value is None else KeyValue(event.key, event.value, event.revision)
        self._set(event.key, item)
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
        for event in part.events:
            self.change(event)
        # What it told may be known from a later read, and is not to be fetched again.
        self.revision = max(self.revision, part.revision)


def _digest(item: KeyValue) -> int:
    """Return a number that stands for one key and its value."""
    raw = b"%d %b%b" % (len(item.key), item.key.encode(), item.value)
    return int.from_bytes(blake2b(raw, digest_size=8).digest())
