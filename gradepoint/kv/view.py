"""A host's local copy of the keys below a prefix, from which other hosts can catch up."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ..util.structs import Struct, field
from .omission import hash_row, limit_row, limit_rows, measure_value
from .service import KeyValue, RangeResult, WatchEvent

if TYPE_CHECKING:
    from .follow import Follower
    from .omission import RowLimits

MAX_RECENT_EVENTS = 512
"""Changes kept for hosts that are behind: more than one second of changes at peak load. A host
that is further behind receives all keys."""

ROW_READ_S = 3e-6
BYTE_READ_S = 2e-9
"""Processor time in seconds of a read by row and by byte of the values, measured with 50,000 rows
of 200 bytes and with 60 of 1 MB on x86-64."""

DIGEST_MODULUS = 1 << 64
"""Number of possible digests. Two hosts with different contents have the same digest, and so
take each other for equal, with a probability of one in this number."""


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a host whose view is behind the sender's has to apply to catch up.

    :param revision: revision of the sender's view; the receiver is at it afterwards.
    :param whole: True if *items* is a complete snapshot, False if *events* is the difference.
    :param items: all keys, if *whole*.
    :param events: changes after the receiver's revision, if not *whole*.
    """

    revision: int
    whole: bool
    items: list[KeyValue] = []
    events: list[WatchEvent] = []


class PrefixView(Struct):
    """Implements :class:`~gradepoint.kv.follow.Follower`: keeps a copy and informs *inner*.

    :ivar inner: follower that receives the first full read, later ones that differ from the copy,
        and every new change.
    :param limits: which values are kept, also of those that other hosts send.
    :ivar revision: revision of the newest change known; 0 before the first read.
    :ivar last_full_read_revision: revision of the newest read of all keys. An empty watch
        response does not raise it, since a watch may have missed a change.
    :ivar items: the keys as last known.
    :ivar recent: the last changes, oldest first.
    :ivar recent_start_revision: *recent* holds every change after this revision.
    :ivar is_applied: whether *inner* has received all that is known. It raised an exception
        otherwise, and receives everything with the next read.
    :ivar digest: sum of the hashes of all keys and values, modulo :data:`DIGEST_MODULUS`. Hosts
        with equal digests hold the same keys and values, although one may have omitted values that
        another has, such as a host of a former version.
    :ivar stored_bytes: bytes of all values in the service, omitted ones included.
    """

    inner: Follower
    limits: RowLimits = ()
    revision: int = 0
    last_full_read_revision: int = 0
    items: dict[str, KeyValue] = field(default_factory=dict)
    recent: deque[WatchEvent] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_EVENTS))
    recent_start_revision: int = 0
    is_applied: bool = True
    digest: int = 0
    stored_bytes: int = 0

    def reset(self, result: RangeResult) -> None:
        """See :meth:`Follower.reset`.

        A read older than what is already known is stale and ignored. A read without any difference
        does not raise *revision*, so that no other host fetches it. After a read with differences,
        hosts that are behind receive all keys: the changes between two reads are not known, and
        those hosts may have seen some of them.
        """
        if result.revision < self.known_revision:
            return
        first = not self.revision
        result = RangeResult(tuple(limit_rows(self.limits, result.items)), result.revision)
        self.last_full_read_revision = max(self.last_full_read_revision, result.revision)
        if self._replace_items(result) or first or not self.is_applied:
            self.is_applied = False
            self.recent.clear()
            self.revision = self.recent_start_revision = result.revision
            self.inner.reset(result)
            self.is_applied = True

    def _replace_items(self, result: RangeResult) -> bool:
        """Replace the copy by *result*; return whether any key or value differs."""
        read = {item.key: item for item in result.items}
        changed = [item for key, item in read.items() if self._known_value(key) != item.value]
        removed = [key for key in self.items if key not in read]
        for key in removed:
            self._set_item(key, None)
        for item in changed:
            self._set_item(item.key, item)
        return bool(changed or removed)

    def _known_value(self, key: str) -> bytes | None:
        known = self.items.get(key)
        return None if known is None else known.value

    def _set_item(self, key: str, item: KeyValue | None) -> None:
        """Set or remove one key of the copy and update the digest."""
        known = self.items.pop(key, None)
        if known is not None:
            self.digest -= _digest(known)
            self.stored_bytes -= measure_value(known.value)
        if item is not None:
            self.items[key] = item
            self.digest += _digest(item)
            self.stored_bytes += measure_value(item.value)
        self.digest %= DIGEST_MODULUS

    @property
    def read_cost_s(self) -> float:
        """Estimate of the processor time in seconds of a read of all keys."""
        return len(self.items) * ROW_READ_S + self.stored_bytes * BYTE_READ_S

    @property
    def known_revision(self) -> int:
        """Revision of the store up to which every change is known, by a change or a full read."""
        return max(self.revision, self.last_full_read_revision)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`; a change that is already known is ignored."""
        known_revision = self.known_revision
        if event.revision < known_revision or (
            event.revision == known_revision and self._contains(event)
        ):
            return
        if len(self.recent) == MAX_RECENT_EVENTS:
            self.recent_start_revision = self.recent[0].revision
        item = None
        if event.value is not None:
            item = limit_row(self.limits, KeyValue(event.key, event.value, event.revision))
            event = WatchEvent(event.key, item.value, event.revision)
        self.recent.append(event)
        self.revision = event.revision
        self._set_item(event.key, item)
        applied, self.is_applied = self.is_applied, False
        self.inner.change(event)
        self.is_applied = applied

    def _contains(self, event: WatchEvent) -> bool:
        known = self.items.get(event.key)
        if event.value is None:
            return known is None
        return known is not None and known.revision >= event.revision

    def make_update(self, revision: int, digest: int | None = None) -> ViewUpdate | None:
        """Return what a host whose view is at *revision* lacks; None if it lacks nothing.

        :param digest: digest of the host's view, if it is known. After a start of all hosts, most
            views differ in the revision of their first read only.
        """
        if not self.revision or revision >= self.revision:
            return None
        if digest == self.digest:
            return ViewUpdate(self.revision, False)
        if revision < self.recent_start_revision:
            return ViewUpdate(self.revision, True, items=list(self.items.values()))
        events = [event for event in self.recent if event.revision > revision]
        return ViewUpdate(self.revision, False, events=events)

    def apply_update(self, part: ViewUpdate) -> None:
        """Apply what another host's :meth:`make_update` returned; ignore it unless it is newer."""
        if part.revision <= self.revision and self.is_applied:
            return
        if part.whole:
            self.reset(RangeResult(tuple(part.items), part.revision))
        for event in part.events:
            self.change(event)
        # A later full read may already contain these changes, so that none of them raised the
        # revision. Raise it all the same, or this update would be fetched repeatedly.
        self.revision = max(self.revision, part.revision)


def _digest(item: KeyValue) -> int:
    """Return a 64-bit hash of one key and its value, whether the value was omitted or not."""
    return int.from_bytes(hash_row(item.key, item.value))
