"""Interface to the platform's key-value service.

The methods follow the etcd v3 calls that gradepoint needs. A call that fails raises
:class:`~gradepoint.errors.KvUnavailable` (it had no effect and may succeed later),
:class:`~gradepoint.errors.KvUncertain` (it may have taken effect) or
:class:`~gradepoint.errors.KvRejected` (it had no effect and would be refused again).
:class:`~gradepoint.errors.KvHistoryLost` and :class:`~gradepoint.errors.KvLeaseLapsed` report
watches and writes that cannot succeed by retrying.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .pace import BackgroundPace

ABSENT = 0
"""Revision that means "the key does not exist" in a comparison."""


class KeyValue(Struct, frozen=True):
    """One key as read.

    :param revision: revision of the last modification, for comparisons.
    :param created: revision of the creation; the fencing token of keys with a lease.
    :param lease: lease that the key is deleted with; 0 if it has none.
    """

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


class Expect(Struct, frozen=True):
    """Condition that *key* was last modified at *revision* (:data:`ABSENT`: does not exist)."""

    key: str
    revision: int


class Put(Struct, frozen=True):
    """Write of one key within a transaction; *lease* 0 means that the key has no lease."""

    key: str
    value: bytes
    lease: int = 0


class Delete(Struct, frozen=True):
    """Deletion of one key within a transaction."""

    key: str


class Transaction(Struct, frozen=True):
    """Writes and deletions applied atomically, if every condition in *expects* holds."""

    expects: tuple[Expect, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()

    @property
    def value_bytes(self) -> int:
        """Size of all values in bytes."""
        return sum(len(put.value) for put in self.puts)


class TransactionResult(Struct, frozen=True):
    """Result of a transaction.

    :param succeeded: False if a condition did not hold; nothing was written then.
    :param revision: revision of its writes.
    :param current: after a failed condition, the compared keys that exist, if the service
        returns them.
    """

    succeeded: bool
    revision: int
    current: tuple[KeyValue, ...] = ()


class RangeResult(Struct, frozen=True):
    """Keys in order; *revision* is the revision of the store at the time of the read."""

    items: tuple[KeyValue, ...] = ()
    revision: int = 0


class PartialRange(Struct):
    """The pages of a range read so far, from which a refused read goes on.

    :ivar items: keys of the pages read so far, in order.
    :ivar cursors: keys behind which the second and each later page begins, as the service sent
        them.
    :ivar revision: revision of the store at the first page; 0 before it.
    :ivar size: bytes of the keys and kept values of these pages, and of their records.
    :ivar begun_at: monotonic time at which the first page was asked for. The keys contain every
        change up to it.
    """

    prefix: str
    items: list[KeyValue] = field(default_factory=list)
    cursors: list[bytes] = field(default_factory=list)
    revision: int = 0
    size: int = 0
    begun_at: float = float("-inf")

    def clear(self) -> None:
        """Forget all pages."""
        self.items.clear()
        self.cursors.clear()
        self.revision = self.size = 0


class WatchEvent(Struct, frozen=True):
    """A change of one key; *value* is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class WatchPage(Struct, frozen=True):
    """Changes returned by one long-polling call.

    :param revision: revision of the store. It does not prove that there was no other change up
        to it: a watch may miss one, so the next call continues after the last change.
    :param last_change: revision of the last change that was received, also if it is left out of
        *events* because it cannot be read; 0 if nothing was left out.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    last_change: int = 0

    def find_next_start(self, revision: int) -> int:
        """Return the revision after which the next call continues; *revision* is that of this
        call."""
        return max(revision, self.last_change, *(event.revision for event in self.events))


class CallCounts(Struct):
    """Numbers of calls made to the service; a long poll counts as one call.

    :ivar failures: failed calls by kind.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    failures: dict[str, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Total number of calls."""
        return self.reads + self.writes + self.watches + self.leases


class PagedService(Protocol):
    """A key-value service that returns a range in several pages, each of which may be refused."""

    async def read_on(self, read: PartialRange) -> RangeResult:
        """Read the pages that *read* lacks and return all keys; *read* keeps its pages if one is
        refused.

        The pages are read anew if the service may no longer have the changes since the first.
        """


class KeyValueService(Protocol):
    """Calls that gradepoint makes to the key-value service."""

    @property
    def counts(self) -> CallCounts:
        """Numbers of the calls made so far."""

    @property
    def pace(self) -> BackgroundPace:
        """Rate of the calls for background work."""

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or None."""

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Return the keys that start with *prefix*, in order; *limit* 0 means all of them."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction atomically."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes below *prefix* from *start_revision* on, for ever.

        :raises KvHistoryLost: the service no longer has these changes; read all keys again.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease that expires *ttl_s* seconds after its last renewal."""

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
