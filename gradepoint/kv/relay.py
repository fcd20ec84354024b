"""Reaches the key-value service through another host while it turns this one away.

The service may refuse some hosts and serve the others. A call of a refused host then takes
one more hop; whether it took effect is told as for a call of its own.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from .. import events
from ..errors import KvHistoryLost, KvLeaseLapsed, KvUnavailable, KvUncertain
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.chance import new_rng
from ..util.clock import monotonic
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken
from ..wire.http_types import Response
from .service import (
    CallCounts,
    KeyValue,
    KeyValueService,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchEvent,
    WatchPage,
)

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Awaitable, Callable

    from ..wire.http_types import Request

PROBE_S = 1.0
"""Seconds between calls that try the direct way while it fails: a service that is back is
noticed within them, and one that is away is asked little."""
PEER_TIMEOUT_S = 1.0
"""Seconds that another host has for a relayed call, beside the time it may wait for a change."""
AWAY_LATELY_S = 3.0
"""Seconds after its return for which the service counts as having been away lately: what was
accepted meanwhile is entered within one or two."""
GATHERING_S = 0.05
"""Seconds after a change until the next watch begins: changes often come in groups, each
call is priced, and the shortest bound on news is many times longer."""
RELAYED_WATCH_S = 5.0
"""Seconds that a relayed watch waits: short, so that it ends soon after the direct way works."""
PEERS_TRIED = 2
"""Other hosts that one call is relayed to, until it counts as not possible."""
NOT_DONE = 503
PERHAPS_DONE = 504
HISTORY_LOST = 410
LEASE_LAPSED = 404


class WaitingService(KeyValueService, Protocol):
    """A key-value service whose watches are calls that wait."""

    watch_s: float

    async def wait_for_changes(self, prefix: str, revision: int, wait_s: float) -> WatchPage:
        """Return changes after *revision*, or none after *wait_s* seconds."""

    async def read_now(self, prefix: str) -> RangeResult:
        """Return all keys below *prefix*, read on a new connection: it is asked to prove that
        the service is heard, and connections that have been open may have fallen silent."""


class GetCall(msgspec.Struct, tag="get"):
    """See :meth:`KeyValueService.get`."""

    key: str


class RangeCall(msgspec.Struct, tag="range"):
    """See :meth:`KeyValueService.range`."""

    prefix: str
    limit: int


class ReadNowCall(msgspec.Struct, tag="read-now"):
    """See :meth:`WaitingService.read_now`."""

    prefix: str


class TransactCall(msgspec.Struct, tag="transact"):
    """See :meth:`KeyValueService.transact`."""

    transaction: Transaction


class WaitCall(msgspec.Struct, tag="wait"):
    """See :meth:`WaitingService.wait_for_changes`."""

    prefix: str
    revision: int
    wait_s: float


class GrantCall(msgspec.Struct, tag="grant"):
    """See :meth:`KeyValueService.grant_lease`."""

    ttl_s: int


class KeepCall(msgspec.Struct, tag="keep"):
    """See :meth:`KeyValueService.keep_lease`."""

    lease: int


class RevokeCall(msgspec.Struct, tag="revoke"):
    """See :meth:`KeyValueService.revoke_lease`."""

    lease: int


WRITES = (TransactCall, GrantCall, RevokeCall)
Call = (
    GetCall | RangeCall | ReadNowCall | TransactCall | WaitCall | GrantCall | KeepCall | RevokeCall
)


@dataclass
class RelayedKv:
    """Implements :class:`~gradepoint.kv.service.KeyValueService` over another one.

    :param helpers: returns ``IP:PORT`` of hosts that reach the service.
    :ivar failing_since: when the direct way began to fail; None while it works.
    :ivar regained_at: when the direct way last worked again.
    """

    direct: WaitingService
    http: HttpClient
    helpers: Callable[[], list[str]]
    failing_since: float | None = None
    probed_at: float = 0.0
    regained_at: float = float("-inf")
    rng: random.Random = field(default_factory=new_rng)

    @property
    def counts(self) -> CallCounts:
        """Calls made the direct way."""
        return self.direct.counts

    @property
    def reaches_store(self) -> bool:
        """Whether this host's own calls are answered."""
        return self.failing_since is None

    @property
    def answers(self) -> bool:
        """Whether calls are answered, directly or through another host, as far as is known."""
        return self.reaches_store or bool(self.helpers())

    @property
    def was_away_lately(self) -> bool:
        """Whether other hosts may know of jobs that the service does not have yet."""
        return not self.reaches_store or monotonic() - self.regained_at < AWAY_LATELY_S

    async def get(self, key: str) -> KeyValue | None:
        """See :meth:`KeyValueService.get`."""
        return await self._do(GetCall(key), KeyValue | None)

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """See :meth:`KeyValueService.range`."""
        return await self._do(RangeCall(prefix, limit), RangeResult)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        return await self._do(TransactCall(transaction), TransactionResult)

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """See :meth:`KeyValueService.watch`; goes on after the last change that it was told.

        The revision that an answer without changes names is no proof that there was none: a watch
        may end while the service tells it of nothing.
        """
        revision = start_revision - 1
        while True:
            wait_s = self.direct.watch_s if self.reaches_store else RELAYED_WATCH_S
            page = await self._do(WaitCall(prefix, revision, wait_s), WatchPage)
            for event in page.events:
                yield event
                revision = max(revision, event.revision)
            if page.events:
                await asyncio.sleep(GATHERING_S)

    async def read_now(self, prefix: str) -> RangeResult:
        """See :meth:`WaitingService.read_now`."""
        return await self._do(ReadNowCall(prefix), RangeResult)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :meth:`KeyValueService.grant_lease`."""
        return await self._do(GrantCall(ttl_s), int)

    async def keep_lease(self, lease: int) -> bool:
        """See :meth:`KeyValueService.keep_lease`."""
        return await self._do(KeepCall(lease), bool)

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`KeyValueService.revoke_lease`."""
        await self._do(RevokeCall(lease), None)

    async def _do(self, call: Call, kind: Any) -> Any:
        """Make a call the direct way, or through another host while that fails."""
        if self._goes_direct():
            try:
                return await self._do_directly(call)
            except (KvUnavailable, KvUncertain) as error:
                # A write that may have been done is not made again here: its maker has to
                # settle it.
                repeatable = isinstance(error, KvUnavailable) or not isinstance(call, WRITES)
                if not repeatable or not self.helpers():
                    raise
        return await self._relay(call, kind)

    def _goes_direct(self) -> bool:
        if self.reaches_store or not self.helpers():
            return True
        now = monotonic()
        if now - self.probed_at < PROBE_S:
            return False
        self.probed_at = now
        return True

    async def _do_directly(self, call: Call) -> Any:
        try:
            result = await self._make(call)
        except (KvUnavailable, KvUncertain) as error:
            if self.failing_since is None:
                self.failing_since = monotonic()
                emit(events.STORE_LOST, reason=str(error), helpers=len(self.helpers()))
            raise
        if self.failing_since is not None:
            emit(events.STORE_REGAINED, away_s=round(monotonic() - self.failing_since, 2))
            self.failing_since = None
            self.regained_at = monotonic()
        return result

    async def _make(self, call: Call) -> Any:
        """Make a call the direct way.

        :raises KvHistoryLost: it waited and broke off, but the service answers. Only its
            connection was cut or silent, and it may have missed a change. Else watchers whose
            waiting calls are cut at once take a service for lost that answers them.
        """
        try:
            return await make_call(self.direct, call)
        except KvUncertain as error:
            if not isinstance(call, WaitCall):
                raise
            await self.direct.read_now(call.prefix)
            raise KvHistoryLost("the watch broke off") from error

    async def _relay(self, call: Call, kind: Any) -> Any:
        helpers = self.helpers()
        raw = msgspec.msgpack.encode(call)
        wait_s = call.wait_s if isinstance(call, WaitCall) else 0.0
        for address in self.rng.sample(helpers, min(PEERS_TRIED, len(helpers))):
            metrics.shared().kv_calls.add(1, {"kind": "relayed"})
            try:
                async with asyncio.timeout(PEER_TIMEOUT_S + wait_s):
                    response = await self.http.send(split_address(address), "POST", "/kv", raw)
                    body = await response.read()
            except ConnectFailed:
                continue
            except (ResponseBroken, TimeoutError) as error:
                raise KvUncertain(f"the relaying host fell silent: {error!r}") from error
            if response.status == 200:
                return msgspec.msgpack.decode(body, type=kind)
            if response.status == HISTORY_LOST:
                raise KvHistoryLost("changes are forgotten")
            if response.status == LEASE_LAPSED:
                raise KvLeaseLapsed("the lease of a write has lapsed")
            if response.status != NOT_DONE:
                raise KvUncertain("the host that relayed the call got no answer")
        raise KvUnavailable("neither this host nor another reaches the service")

    async def answer_peer(self, request: Request) -> Response:
        """Make a call for another host, the direct way only."""
        call = msgspec.msgpack.decode(await request.read_body(), type=Call)
        if not self.reaches_store:
            return Response(NOT_DONE)
        try:
            result = await self._do_directly(call)
        except KvHistoryLost:
            return Response(HISTORY_LOST)
        except KvLeaseLapsed:
            return Response(LEASE_LAPSED)
        except KvUnavailable:
            return Response(NOT_DONE)
        except KvUncertain:
            return Response(PERHAPS_DONE)
        return Response(200, body=msgspec.msgpack.encode(result))


async def make_call(service: WaitingService, call: Call) -> Any:
    """Make *call* at *service*."""
    work: Awaitable[Any]
    if isinstance(call, GetCall):
        work = service.get(call.key)
    elif isinstance(call, RangeCall):
        work = service.range(call.prefix, call.limit)
    elif isinstance(call, ReadNowCall):
        work = service.read_now(call.prefix)
    elif isinstance(call, TransactCall):
        work = service.transact(call.transaction)
    elif isinstance(call, WaitCall):
        work = service.wait_for_changes(call.prefix, call.revision, call.wait_s)
    elif isinstance(call, GrantCall):
        work = service.grant_lease(call.ttl_s)
    elif isinstance(call, KeepCall):
        work = service.keep_lease(call.lease)
    else:
        work = service.revoke_lease(call.lease)
    return await work
