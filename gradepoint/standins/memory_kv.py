"""In-memory key-value service without a network, with injected faults.

:class:`MemoryKv` is the store. Each simulated process gets a :class:`MemoryKvClient` with its
own faults. Tests and benchmarks use it in virtual time.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..errors import KvUnavailable, KvUncertain
from ..kv.limits import KvLimits, check_transaction
from ..kv.pace import BackgroundPace
from ..kv.service import (
    CallCounts,
    KeyValue,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchEvent,
)
from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable


ETCD_LIMITS = KvLimits(value_bytes=1536 << 10, key_bytes=1536 << 10, entries=128)
"""Limits that etcd v3 has by default; it bounds the size of a request, not of a key or value."""


class KvFault(Enum):
    """How one call fails.

    ``DOWN``: refused before it takes effect. ``LOST_BEFORE``: the outcome is unknown and the
    call took no effect. ``LOST_AFTER``: the outcome is unknown and a write took effect.
    ``LATE``: the outcome is unknown and a write takes effect later. Calls other than
    transactions take no effect in any of these cases. Any fault ends a watch.
    """

    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    LATE = "late"


@dataclass
class MemoryKv:
    """Store of keys with revisions, leases and a history of changes for watches.

    :param limits: limits of the transactions that clients send.
    :ivar leases: lifetime in seconds and monotonic expiry time of each lease.
    """

    keys: dict[str, KeyValue] = field(default_factory=dict)
    revision: int = 1
    history: list[WatchEvent] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    next_lease: int = 100
    limits: KvLimits = field(default_factory=KvLimits)

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction atomically and return its result."""
        self.expire()
        for expect in transaction.expects:
            item = self.keys.get(expect.key)
            if (item.revision if item else 0) != expect.revision:
                keys = [row.key for row in transaction.expects]
                current = tuple(self.keys[key] for key in keys if key in self.keys)
                return TransactionResult(False, self.revision, current)
        if transaction.puts or transaction.deletes:
            self.revision += 1
        for put in transaction.puts:
            old = self.keys.get(put.key)
            created = old.created if old else self.revision
            item = KeyValue(put.key, put.value, self.revision, created, put.lease)
            self.keys[put.key] = item
            self.history.append(WatchEvent(put.key, put.value, self.revision))
        for delete in transaction.deletes:
            self.remove(delete.key)
        return TransactionResult(True, self.revision)

    def remove(self, key: str) -> None:
        """Delete a key at the current revision."""
        if self.keys.pop(key, None) is not None:
            self.history.append(WatchEvent(key, None, self.revision))

    def expire(self) -> None:
        """Revoke expired leases."""
        now = monotonic()
        for lease in [lease for lease, (_, expires_at) in self.leases.items() if expires_at <= now]:
            self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        if self.leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [key for key, item in self.keys.items() if item.lease == lease]:
            self.remove(key)


class MemoryKvClient:
    """Client of a :class:`MemoryKv` for one simulated process.

    :param fault: returns the fault of the next call, by its kind (``get``, ``range``, ``txn``,
        ``lease``, ``watch``).
    :param delay_s: seconds that each call takes.
    :param gate: returns an event that calls wait for, so that clearing it pauses the process;
        it is awaited before each call takes effect, and again before the result of a get,
        range or transaction is returned.
    :ivar late_s: seconds after which a write with :attr:`KvFault.LATE` takes effect.
    """

    def __init__(
        self,
        store: MemoryKv,
        fault: Callable[[str], KvFault] = lambda _: KvFault.NONE,
        delay_s: float = 0.002,
        gate: Callable[[], asyncio.Event] | None = None,
    ) -> None:
        self.store = store
        self.fault = fault
        self.delay_s = delay_s
        self.gate = gate
        self.late_s = 1.0
        self.counts = CallCounts()
        self.pace = BackgroundPace()

    async def get(self, key: str) -> KeyValue | None:
        """See :meth:`KeyValueService.get`."""
        self.counts.reads += 1
        await self._simulate_request("get")
        self.store.expire()
        found = self.store.keys.get(key)
        await self._wait_for_gate()
        return found

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """See :meth:`KeyValueService.range`."""
        self.counts.reads += 1
        await self._simulate_request("range")
        self.store.expire()
        names = sorted(key for key in self.store.keys if key.startswith(prefix))
        items = tuple(self.store.keys[key] for key in (names[:limit] if limit else names))
        self.counts.bytes_received += sum(len(item.value) for item in items)
        found = RangeResult(items, self.store.revision)
        await self._wait_for_gate()
        return found

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        self.counts.writes += 1
        self.counts.bytes_sent += sum(len(put.value) for put in transaction.puts)
        fault = self.fault("txn")
        await self._delay()
        if fault is KvFault.DOWN:
            raise KvUnavailable("down")
        if fault is KvFault.LOST_BEFORE:
            raise KvUncertain("lost before the write")
        check_transaction(transaction, self.store.limits)
        if fault is KvFault.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self.store.apply, transaction)
            raise KvUncertain("the write comes late")
        result = self.store.apply(transaction)
        await self._wait_for_gate()
        if fault is KvFault.LOST_AFTER:
            raise KvUncertain("lost after the write")
        return result

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """See :meth:`KeyValueService.watch`; it polls the history."""
        self.counts.watches += 1
        position = 0
        while True:
            if self.fault("watch") is not KvFault.NONE:
                raise KvUnavailable("the watch broke")
            while position < len(self.store.history):
                event = self.store.history[position]
                position += 1
                if event.key.startswith(prefix) and event.revision >= start_revision:
                    yield event
            await asyncio.sleep(0.01)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :meth:`KeyValueService.grant_lease`."""
        self.counts.leases += 1
        await self._simulate_request("lease")
        self.store.next_lease += 1
        self.store.leases[self.store.next_lease] = (ttl_s, monotonic() + ttl_s)
        return self.store.next_lease

    async def keep_lease(self, lease: int) -> bool:
        """See :meth:`KeyValueService.keep_lease`."""
        self.counts.leases += 1
        await self._simulate_request("lease")
        self.store.expire()
        if lease not in self.store.leases:
            return False
        ttl = self.store.leases[lease][0]
        self.store.leases[lease] = (ttl, monotonic() + ttl)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`KeyValueService.revoke_lease`."""
        self.counts.leases += 1
        await self._simulate_request("lease")
        self.store.drop_lease(lease)

    async def _simulate_request(self, kind: str) -> None:
        fault = self.fault(kind)
        await self._delay()
        if fault is KvFault.DOWN:
            raise KvUnavailable("down")
        if fault is not KvFault.NONE:
            raise KvUncertain("answer lost")

    async def _delay(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.gate is not None:
            await self.gate().wait()

    async def _wait_for_gate(self) -> None:
        if self.gate is not None:
            await self.gate().wait()
