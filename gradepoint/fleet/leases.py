"""Leases in the key-value service: one holder at a time, with a fencing number.

A holder counts the lifetime of its lease on the monotonic clock from before it sent the grant
or renewal request, so that the lease ends for the holder before it ends in the service. By
the same rule a process that was paused finds its lease expired before it sends anything.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError
from ..ids import FencingNumber
from ..kv.service import ABSENT, Expect, Put, Transaction
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..kv.service import KeyValue, KeyValueService

LEASE_PREFIX = "/gradepoint/leases/"
NO_LEASE = 0
"""Lease of a key that was written without one, which programs of this project never do."""
TTL_S = 15
"""Lifetime of a lease in seconds, counted from its grant or last renewal."""

RENEW_PERIOD_S = 5.0
"""Seconds between renewals."""

ACQUIRE_RETRY_S = 3.0
"""Seconds between attempts to acquire a lease that is not held here."""

EXPIRY_MARGIN_S = 1.0
"""Seconds before the service expires a lease at which its holder stops relying on it."""


@dataclass(frozen=True)
class HeldLease:
    """A lease from its holder's point of view.

    :param lease: identifier of the lease in the key-value service.
    :param fencing: revision of the key at acquisition; higher for each later holder.
    :param valid_until: monotonic seconds after which the holder must not rely on the lease.
    :param acquired_at: monotonic seconds at which this holder acquired it.
    """

    lease: int
    fencing: FencingNumber
    valid_until: float
    acquired_at: float

    def time_left(self, now: float) -> float:
        """Return the seconds for which the holder can still rely on this lease."""
        return self.valid_until - now


class LeaseKeeper:
    """Acquires and renews one named lease.

    :param host: name of this host, stored as the value of the lease's key.
    :param is_eligible: returns whether this host may hold the lease now; when it may not,
        the lease is given up.
    :ivar foreign_revision: revision of the key as another writer has overwritten it.
    :ivar foreign_since: monotonic time at which this host has first read that.
    """

    def __init__(
        self, service: KeyValueService, name: str, host: str, is_eligible: Callable[[], bool]
    ) -> None:
        self.service = service
        self.key = LEASE_PREFIX + name
        self.host = host
        self.is_eligible = is_eligible
        self.held: HeldLease | None = None
        self.foreign_revision = ABSENT
        self.foreign_since = 0.0

    def current(self) -> HeldLease | None:
        """Return the lease if it is held and has not expired, else None."""
        if self.held is None or self.held.time_left(monotonic()) <= 0:
            return None
        return self.held

    async def run(self, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep) -> None:
        """Acquire and renew the lease in an endless loop."""
        while True:
            try:
                await self.step()
            except KvError:
                pass
            await sleep(RENEW_PERIOD_S if self.current() else ACQUIRE_RETRY_S)

    async def step(self) -> None:
        """Acquire, renew or give up the lease once.

        :raises KvError: the service did not answer.
        """
        if not self.is_eligible():
            await self.resign()
            return
        if self.held is not None:
            await self.renew()
        if self.held is None:
            await self._acquire()

    async def renew(self) -> bool:
        """Renew the lease; return whether it is still held."""
        held = self.held
        if held is None:
            return False
        requested_at = monotonic()
        is_valid = held.time_left(requested_at) > 0 and await self._restore_key(held)
        if not is_valid or not await self.service.keep_lease(held.lease):
            self._clear_held()
            return False
        self.held = HeldLease(
            held.lease, held.fencing, requested_at + TTL_S - EXPIRY_MARGIN_S, held.acquired_at
        )
        return True

    async def _restore_key(self, held: HeldLease) -> bool:
        """Return whether the key is this holder's, after writing it anew if another writer has
        overwritten it."""
        item = await self.service.get(self.key)
        if item is None or item.lease not in (held.lease, NO_LEASE):
            return False
        if item.lease == held.lease:
            return True
        emit(events.RECORD_UNREADABLE, key=self.key, reason="overwritten by another writer")
        put = Put(self.key, self.host.encode(), held.lease)
        expect = Expect(self.key, item.revision)
        return (await self.service.transact(Transaction((expect,), (put,)))).succeeded

    def _may_replace(self, item: KeyValue) -> bool:
        """Return whether the key is another writer's, and its former holder must have noticed.

        A holder that still reads its own key relies on its lease for less than :data:`TTL_S`.
        """
        if item.lease != NO_LEASE:
            return False
        now = monotonic()
        if item.revision != self.foreign_revision:
            self.foreign_revision = item.revision
            self.foreign_since = now
        return now - self.foreign_since >= TTL_S

    async def _acquire(self) -> None:
        item = await self.service.get(self.key)
        if item is not None and not self._may_replace(item):
            return
        revision = ABSENT if item is None else item.revision
        requested_at = monotonic()
        lease = await self.service.grant_lease(TTL_S)
        put = Put(self.key, self.host.encode(), lease)
        answer = await self.service.transact(Transaction((Expect(self.key, revision),), (put,)))
        if not answer.succeeded:
            await self.service.revoke_lease(lease)
            return
        fencing = FencingNumber(answer.revision)
        self.held = HeldLease(lease, fencing, requested_at + TTL_S - EXPIRY_MARGIN_S, monotonic())
        emit(events.LEADER_ELECTED, lease=self.key, fencing=fencing)

    async def resign(self) -> None:
        """Give up the lease and revoke it in the service, so that another host can acquire it."""
        held = self.held
        self._clear_held()
        if held is not None:
            await self.service.revoke_lease(held.lease)

    def drop(self) -> None:
        """Stop relying on the lease without revoking it, as after a pause; it expires by itself."""
        self._clear_held()

    def _clear_held(self) -> None:
        if self.held is not None:
            emit(events.LEADER_RESIGNED, lease=self.key)
        self.held = None
