"""The port to the platform's key-value service.

The methods follow the etcd v3 calls that gradepoint needs. Every implementation
raises only :class:`~gradepoint.errors.KvUnavailable` (nothing took effect) and
:class:`~gradepoint.errors.KvUncertain` (the call may have taken effect).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ABSENT = 0
"""Revision that stands for "the key does not exist" in a comparison."""


@dataclass(frozen=True)
class KeyValue:
    """One key as read.

    :param revision: modification revision, for comparisons.
    :param created: creation revision; used as fencing number for lease keys.
    """

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


@dataclass(frozen=True)
class Expect:
    """Comparison: *key* still has modification *revision* (:data:`ABSENT`: no such key)."""

    key: str
    revision: int


@dataclass(frozen=True)
class Put:
    """Write within a transaction."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Delete:
    """Deletion within a transaction."""

    key: str


@dataclass(frozen=True)
class Transaction:
    """Writes that take effect together, if every expectation holds."""

    expects: tuple[Expect, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


@dataclass(frozen=True)
class TransactionResult:
    """Answer to a transaction.

    :param revision: that of its writes.
    :param current: after a failed comparison, the compared keys that exist, where the
        service tells them.
    """

    succeeded: bool
    revision: int
    current: tuple[KeyValue, ...] = ()


@dataclass(frozen=True)
class RangeResult:
    """Keys in order; *revision* is the store's at the time of reading."""

    items: tuple[KeyValue, ...] = ()
    revision: int = 0


@dataclass(frozen=True)
class WatchEvent:
    """A change: *value* is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class WatchPage:
    """Changes found by one waiting call.

    :param revision: the store's; a next call goes on after it.
    """

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass
class CallCounts:
    """Calls made on the service, a waiting watch counted as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    failures: dict[str, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """All calls together."""
        return self.reads + self.writes + self.watches + self.leases


class KeyValueService(Protocol):
    """What gradepoint asks of the key-value service."""

    @property
    def counts(self) -> CallCounts:
        """Calls made so far."""

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or None."""

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """Return the keys that start with *prefix*, in order."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes below *prefix* from *start_revision* on.

        :raises KvHistoryLost: the service no longer has them; read the keys anew.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease that lapses *ttl_s* seconds after its last renewal."""

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
