"""Leases in the key-value service: one holder at a time, with a fencing number.

A holder judges its own lease by the monotonic clock from before the renewal was sent,
so that it gives up earlier than the service does. A process that was paused finds its
lease over by the same rule before it sends anything.
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

    from ..kv.service import KeyValueService

PREFIX = "/gradepoint/leases/"
TTL_S = 15
RENEW_S = 5.0
ACQUIRE_S = 3.0
MARGIN_S = 1.0
"""Seconds before the service's end of a lease at which its holder stops to rely on it."""


@dataclass(frozen=True)
class HeldLease:
    """A lease as its holder knows it.

    :param valid_until: monotonic seconds.
    :param acquired_at: monotonic seconds at which this holder got it.
    """

    lease: int
    fencing: FencingNumber
    valid_until: float
    acquired_at: float

    def time_left(self, now: float) -> float:
        """Return the seconds that this lease can still be relied on."""
        return self.valid_until - now


class LeaseKeeper:
    """Tries to hold one named lease while *wanted* says so."""

    def __init__(
        self, service: KeyValueService, name: str, host: str, wanted: Callable[[], bool]
    ) -> None:
        self.service = service
        self.key = PREFIX + name
        self.host = host
        self.wanted = wanted
        self.held: HeldLease | None = None

    def current(self) -> HeldLease | None:
        """Return the lease if it can be relied on now."""
        if self.held is None or self.held.time_left(monotonic()) <= 0:
            return None
        return self.held

    async def run(self, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep) -> None:
        """Acquire and renew for ever."""
        while True:
            try:
                await self.step()
            except KvError:
                pass
            await sleep(RENEW_S if self.current() else ACQUIRE_S)

    async def step(self) -> None:
        """Acquire, renew or give up, once.

        :raises KvError: the service did not answer.
        """
        if not self.wanted():
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
        asked_at = monotonic()
        if held.time_left(asked_at) <= 0 or not await self.service.keep_lease(held.lease):
            self._lost()
            return False
        self.held = HeldLease(
            held.lease, held.fencing, asked_at + TTL_S - MARGIN_S, held.acquired_at
        )
        return True

    async def _acquire(self) -> None:
        if await self.service.get(self.key) is not None:
            return
        asked_at = monotonic()
        lease = await self.service.grant_lease(TTL_S)
        put = Put(self.key, self.host.encode(), lease)
        answer = await self.service.transact(Transaction((Expect(self.key, ABSENT),), (put,)))
        if not answer.succeeded:
            await self.service.revoke_lease(lease)
            return
        fencing = FencingNumber(answer.revision)
        self.held = HeldLease(lease, fencing, asked_at + TTL_S - MARGIN_S, monotonic())
        emit(events.LEADER_ELECTED, lease=self.key, fencing=fencing)

    async def resign(self) -> None:
        """Give the lease up."""
        held = self.held
        self._lost()
        if held is not None:
            await self.service.revoke_lease(held.lease)

    def drop(self) -> None:
        """Stop to rely on the lease, as after a pause; the service ends it by itself."""
        self._lost()

    def _lost(self) -> None:
        if self.held is not None:
            emit(events.LEADER_RESIGNED, lease=self.key)
        self.held = None
