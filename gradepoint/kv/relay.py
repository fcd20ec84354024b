"""Relays calls to the key-value service through another host while this one cannot reach it.

The service may refuse some hosts and serve others. A call from a refused host then takes one
more hop; its outcome (no effect, or uncertain) is reported like that of a direct call.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from .. import events
from ..errors import (
    DecodingError,
    GradepointError,
    KvHistoryLost,
    KvLeaseLapsed,
    KvOverRate,
    KvRejected,
    KvUnavailable,
    KvUncertain,
)
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.rng import new_rng
from ..util.structs import Struct, field
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
    from .pace import BackgroundPace

DIRECT_RETRY_INTERVAL_S = 1.0
"""Seconds between direct calls while they fail. It bounds the time until a recovered service is
noticed and limits the calls made to an unavailable one."""
PEER_TIMEOUT_S = 1.0
"""Seconds until a relayed call times out, in addition to the time it may wait for a change."""
RECENT_OUTAGE_S = 3.0
"""Seconds after a recovery during which the outage counts as recent. Jobs that were accepted
during the outage are written to the service within one or two seconds of the recovery."""
WATCH_BATCH_DELAY_S = 0.05
"""Seconds between a change and the next watch call. Changes often come in groups, and every call
has a cost, so one call should return a whole group. The strictest limit on the time in which a
change must arrive is many times longer."""
RELAYED_WATCH_WAIT_S = 5.0
"""Seconds that a relayed watch waits; short, so that it ends soon after the service recovers."""
MAX_RELAY_ATTEMPTS = 2
"""Number of other hosts that one call is relayed to before it fails."""
REFUSED_S = 1.0
"""Seconds for which all calls of this host must have been refused as above the service's rate until
it counts as cut off: a service may refuse one host's calls with any status. Where the rate is
exceeded, some calls of each host get through."""
MIN_REFUSED_CALLS = 5
"""Fewest such calls."""
OVER_RATE_BODY = b"over-rate"
"""Body of an answer with :data:`STATUS_NOT_APPLIED` if the call exceeded the service's rate. Hosts
of a former version ignore it."""
STATUS_NOT_APPLIED = 503
STATUS_UNCERTAIN = 504
STATUS_HISTORY_LOST = 410
STATUS_LEASE_EXPIRED = 404
STATUS_REJECTED = 422
"""HTTP statuses of the answer to a relayed call, one for each error that the caller raises."""


class LongPollService(KeyValueService, Protocol):
    """A key-value service whose watches are long-polling calls.

    :ivar watch_s: seconds that one watch call waits for a change.
    """

    watch_s: float

    async def wait_for_changes(self, prefix: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after *revision*, or none if *wait_s* seconds pass without any."""

    async def read_over_new_connection(self, prefix: str) -> RangeResult:
        """Return all keys below *prefix*, read over a new connection.

        The read proves that this host can reach the service now. Connections that are already
        open may have stopped delivering data without an error.
        """


class Rejection(msgspec.Struct, frozen=True):
    """A :class:`~gradepoint.errors.KvRejected` in the answer to a relayed call."""

    reason: str
    key: str
    size: int
    limit: int | None


class GetCall(msgspec.Struct, tag="get"):
    """Relayed form of :meth:`KeyValueService.get`."""

    key: str


class RangeCall(msgspec.Struct, tag="range"):
    """Relayed form of :meth:`KeyValueService.range`."""

    prefix: str
    limit: int


class ReadNowCall(msgspec.Struct, tag="read-now"):
    """Relayed form of :meth:`LongPollService.read_over_new_connection`."""

    prefix: str


class TransactCall(msgspec.Struct, tag="transact"):
    """Relayed form of :meth:`KeyValueService.transact`."""

    transaction: Transaction


class WaitForChangesCall(msgspec.Struct, tag="wait"):
    """Relayed form of :meth:`LongPollService.wait_for_changes`."""

    prefix: str
    revision: int
    wait_s: float


class GrantCall(msgspec.Struct, tag="grant"):
    """Relayed form of :meth:`KeyValueService.grant_lease`."""

    ttl_s: int


class KeepCall(msgspec.Struct, tag="keep"):
    """Relayed form of :meth:`KeyValueService.keep_lease`."""

    lease: int


class RevokeCall(msgspec.Struct, tag="revoke"):
    """Relayed form of :meth:`KeyValueService.revoke_lease`."""

    lease: int


WRITES = (TransactCall, GrantCall, RevokeCall)
"""Calls that are not repeated through another host after an uncertain outcome."""
Call = (
    GetCall
    | RangeCall
    | ReadNowCall
    | TransactCall
    | WaitForChangesCall
    | GrantCall
    | KeepCall
    | RevokeCall
)


class RelayedKv(Struct):
    """Implements :class:`~gradepoint.kv.service.KeyValueService` with direct and relayed calls.

    Calls are made directly. While direct calls fail, calls are relayed through other hosts, and
    one call every :data:`DIRECT_RETRY_INTERVAL_S` is tried directly first.

    :param direct: service that is called directly.
    :param http: client for calls to other hosts.
    :param helpers: returns the addresses (``IP:PORT``) of the hosts that reach the service.
    :ivar failing_since: monotonic time of the first failed direct call; None while they succeed.
    :ivar direct_retried_at: monotonic time of the last direct call made during an outage.
    :ivar recovered_at: monotonic time at which direct calls last succeeded again.
    :ivar refused_since: monotonic time of the first direct call since the last success that was
        above the service's rate; None without one.
    :ivar refused_calls: number of these calls.
    """

    direct: LongPollService
    http: HttpClient
    helpers: Callable[[], list[str]]
    failing_since: float | None = None
    direct_retried_at: float = 0.0
    recovered_at: float = float("-inf")
    refused_since: float | None = None
    refused_calls: int = 0
    rng: random.Random = field(default_factory=new_rng)

    @property
    def counts(self) -> CallCounts:
        """Numbers of the calls made directly."""
        return self.direct.counts

    @property
    def pace(self) -> BackgroundPace:
        """Rate of the calls for background work."""
        return self.direct.pace

    @property
    def reaches_store(self) -> bool:
        """Whether direct calls of this host succeed."""
        return self.failing_since is None

    @property
    def is_available(self) -> bool:
        """Whether calls are expected to succeed, directly or through another host."""
        return self.reaches_store or bool(self.helpers())

    @property
    def had_recent_outage(self) -> bool:
        """Whether other hosts may hold jobs that are not yet written to the service."""
        return not self.reaches_store or monotonic() - self.recovered_at < RECENT_OUTAGE_S

    async def get(self, key: str) -> KeyValue | None:
        """See :meth:`KeyValueService.get`."""
        return await self._execute(GetCall(key), KeyValue | None)

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """See :meth:`KeyValueService.range`."""
        return await self._execute(RangeCall(prefix, limit), RangeResult)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        return await self._execute(TransactCall(transaction), TransactionResult)

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """See :meth:`KeyValueService.watch`; each call continues after the last change received.

        The revision in a response without changes does not prove that there were none: a watch may
        end while the service delivers no changes to it.
        """
        revision = start_revision - 1
        while True:
            wait_s = self.direct.watch_s if self.reaches_store else RELAYED_WATCH_WAIT_S
            page = await self._execute(WaitForChangesCall(prefix, revision, wait_s), WatchPage)
            for event in page.events:
                yield event
            former, revision = revision, page.find_next_start(revision)
            if page.events or revision > former:
                await asyncio.sleep(WATCH_BATCH_DELAY_S)

    async def read_over_new_connection(self, prefix: str) -> RangeResult:
        """See :meth:`LongPollService.read_over_new_connection`."""
        return await self._execute(ReadNowCall(prefix), RangeResult)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :meth:`KeyValueService.grant_lease`."""
        return await self._execute(GrantCall(ttl_s), int)

    async def keep_lease(self, lease: int) -> bool:
        """See :meth:`KeyValueService.keep_lease`."""
        return await self._execute(KeepCall(lease), bool)

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`KeyValueService.revoke_lease`."""
        await self._execute(RevokeCall(lease), None)

    async def _execute(self, call: Call, result_type: Any) -> Any:
        """Make a call directly, or through another host while direct calls fail."""
        if self._should_try_direct(call):
            try:
                return await self._execute_directly(call)
            except (KvUnavailable, KvUncertain) as error:
                if isinstance(error, KvOverRate) and self.reaches_store:
                    # The call of another host would count against the same rate.
                    raise
                # A write that may have taken effect is not repeated here: its caller has to find
                # out its outcome.
                repeatable = isinstance(error, KvUnavailable) or not isinstance(call, WRITES)
                if not repeatable or not self.helpers():
                    raise
        return await self._relay(call, result_type)

    def _should_try_direct(self, call: Call) -> bool:
        if self.reaches_store or not self.helpers():
            return True
        now = monotonic()
        if now - self.direct_retried_at < DIRECT_RETRY_INTERVAL_S:
            return False
        if not isinstance(call, WaitForChangesCall):
            # A watch is not answered before something changes, so it does not show an outage's end.
            self.direct_retried_at = now
        return True

    async def _execute_directly(self, call: Call) -> Any:
        try:
            result = await self._call_store(call)
        except (KvUnavailable, KvUncertain) as error:
            if self.failing_since is None and not self._is_only_over_rate(error):
                self.failing_since = monotonic()
                emit(events.STORE_LOST, reason=str(error), helpers=len(self.helpers()))
            raise
        self.refused_since = None
        if self.failing_since is not None:
            emit(events.STORE_REGAINED, away_s=round(monotonic() - self.failing_since, 2))
            self.failing_since = None
            self.recovered_at = monotonic()
        return result

    def _is_only_over_rate(self, error: Exception) -> bool:
        """Record a failed direct call; return whether it is no sign of an outage."""
        if not isinstance(error, KvOverRate):
            return False
        if self.refused_since is None:
            self.refused_since, self.refused_calls = monotonic(), 0
        self.refused_calls += 1
        is_long = monotonic() - self.refused_since >= REFUSED_S
        return not is_long or self.refused_calls < MIN_REFUSED_CALLS

    async def _call_store(self, call: Call) -> Any:
        """Make a direct call.

        :raises KvHistoryLost: a watch call broke off, but the service answers a read. Only the
            connection of the watch was cut or silent, and it may have missed a change. Without
            this check, watchers whose calls are all cut at once would report an outage although
            the service answers.
        """
        try:
            return await dispatch_call(self.direct, call)
        except KvUncertain as error:
            if not isinstance(call, WaitForChangesCall):
                raise
            await self.direct.read_over_new_connection(call.prefix)
            raise KvHistoryLost("the watch broke off") from error

    async def _relay(self, call: Call, result_type: Any) -> Any:
        helpers = self.helpers()
        raw = msgspec.msgpack.encode(call)
        wait_s = call.wait_s if isinstance(call, WaitForChangesCall) else 0.0
        for address in self.rng.sample(helpers, min(MAX_RELAY_ATTEMPTS, len(helpers))):
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
                return _decode(body, result_type)
            if response.status == STATUS_HISTORY_LOST:
                raise KvHistoryLost("changes are forgotten")
            if response.status == STATUS_LEASE_EXPIRED:
                raise KvLeaseLapsed("the lease of a write has lapsed")
            if response.status == STATUS_REJECTED:
                found: Rejection = _decode(body, Rejection)
                raise KvRejected(found.reason, found.key, found.size, found.limit)
            if response.status == STATUS_NOT_APPLIED and body == OVER_RATE_BODY:
                self.pace.note_over_rate()
                raise KvOverRate("another host's call exceeded the rate")
            if response.status != STATUS_NOT_APPLIED:
                raise KvUncertain("the host that relayed the call got no answer")
        raise KvUnavailable("neither this host nor another reaches the service")

    async def answer_peer(self, request: Request) -> Response:
        """Make a call for another host, directly only, and report its outcome as a status."""
        try:
            call = decoding.decode_msgpack(await request.read_body(), Call)
        except DecodingError as error:
            raise GradepointError("bad_request", f"The call cannot be read: {error}.") from error
        if not self.reaches_store:
            return Response(STATUS_NOT_APPLIED)
        try:
            result = await self._execute_directly(call)
        except KvHistoryLost:
            return Response(STATUS_HISTORY_LOST)
        except KvLeaseLapsed:
            return Response(STATUS_LEASE_EXPIRED)
        except KvRejected as error:
            found = Rejection(error.reason, error.key, error.size, error.limit)
            return Response(STATUS_REJECTED, body=msgspec.msgpack.encode(found))
        except KvOverRate:
            return Response(STATUS_NOT_APPLIED, body=OVER_RATE_BODY)
        except KvUnavailable:
            return Response(STATUS_NOT_APPLIED)
        except KvUncertain:
            return Response(STATUS_UNCERTAIN)
        return Response(200, body=msgspec.msgpack.encode(result))


def _decode(body: bytes, kind: Any) -> Any:
    """Decode the answer of the host that relayed a call.

    :raises KvUncertain: it cannot be read.
    """
    try:
        return decoding.decode_msgpack(body, kind)
    except DecodingError as error:
        raise KvUncertain(f"the relaying host's answer cannot be read: {error}") from error


async def dispatch_call(service: LongPollService, call: Call) -> Any:
    """Call the method of *service* that *call* stands for."""
    work: Awaitable[Any]
    if isinstance(call, GetCall):
        work = service.get(call.key)
    elif isinstance(call, RangeCall):
        work = service.range(call.prefix, call.limit)
    elif isinstance(call, ReadNowCall):
        work = service.read_over_new_connection(call.prefix)
    elif isinstance(call, TransactCall):
        work = service.transact(call.transaction)
    elif isinstance(call, WaitForChangesCall):
        work = service.wait_for_changes(call.prefix, call.revision, call.wait_s)
    elif isinstance(call, GrantCall):
        work = service.grant_lease(call.ttl_s)
    elif isinstance(call, KeepCall):
        work = service.keep_lease(call.lease)
    else:
        work = service.revoke_lease(call.lease)
    return await work
