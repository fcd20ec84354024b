"""Client of the platform's metadata store; implements the key-value interface."""

from __future__ import annotations

import asyncio
import base64
import binascii
import random
import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Annotated, TypeVar
from urllib.parse import urlencode

import msgspec

from .. import events
from ..errors import (
    DecodingError,
    KvHistoryLost,
    KvLeaseLapsed,
    KvOverRate,
    KvRejected,
    KvTooLarge,
    KvUnavailable,
    KvUncertain,
)
from ..kv.limits import KvLimits, check_transaction
from ..kv.omission import RowReader, omit_value
from ..kv.pace import BackgroundPace
from ..kv.service import (
    CallCounts,
    KeyValue,
    PartialRange,
    Put,
    RangeResult,
    TransactionResult,
    WatchEvent,
    WatchPage,
)
from ..kv.unreadable import UnreadableRows
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from ..kv.omission import RowLimits
    from ..kv.service import Transaction
    from ..util.decoding import BadElement

T = TypeVar("T")

STATUS_OVER_RATE = 429
"""Status of a call above the rate that all hosts share; it had no effect."""
STATUS_UNAVAILABLE = 503
"""Status of a call that had no effect and may succeed later."""
REJECTED_STATUSES = range(400, 500)
"""Other statuses in this range mean that a call had no effect and would be refused again. The
protocol specifies a few of them only. After any other error the outcome is uncertain."""
PAGE_RETRY_S = (0.04, 0.08)
"""Shortest and longest delay in seconds until a refused page is read again. 300 hosts that each
wait for one page then make 5,000 calls per second, below the store's rate of 6,000 reads."""
MAX_PAGE_RETRIES = 10
"""Retries of one page, 0.6 s in total; after that the store counts as unavailable."""
MAX_WATCH_WAIT_S = 30.0
"""Longest time in seconds that the store lets a watch wait for a change."""
WATCH_WAIT_SHARE_OF_HISTORY = 0.7
"""Share of the store's history (a time span) that a watch may wait. One that waits longer
is refused, since the changes after its revision leave the history meanwhile, and all keys must
be read again."""
RANGE_SHARE_OF_HISTORY = 0.5
"""Share of the store's history that may pass from the first page of a read to a later one. A watch
continues from the revision of the first page, and the rest of the history is left to start it."""
WATCH_TIMEOUT_MARGIN_S = 1.5
"""Seconds after the end of a watch's wait until the call times out; several times the response
time of a slow store."""
MAX_ANSWER_BYTES = 4 << 20
"""Maximum bytes of one answer where values are small; a page has about a megabyte of values, which
are a third larger in base64."""
MAX_ANSWER_VALUES = 4
"""The same as a number of the largest values, where that is more."""
ROW_BYTES = 300
"""Bytes of memory that a row takes beside its key and value."""
MAX_IDLE_CONNECTIONS = 6
"""Idle connections kept to the store; a host has two or three calls in flight at once."""
CONNECT_TIMEOUT_S = 1.0
"""Connect timeout in seconds; the store answers within milliseconds."""
DEFAULT_LIMITS = KvLimits()
TCP_USER_TIMEOUT_MS = 2_000
"""Milliseconds that sent data may stay unacknowledged until the connection counts as broken."""

MAX_NUMBER = (1 << 63) - 1
"""Messages between hosts have integers of 64 bits."""
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""Revision, or id of a lease."""


class _Item(msgspec.Struct):
    key_path: str
    value: str = ""
    rev: Number = 0
    created: Number = 0
    lease: Number = 0
    is_deleted: bool = False


class _ItemAnswer(_Item):
    timestamp: Number = 0


class _RangeAnswer(msgspec.Struct):
    items: list[_Item]
    has_more: bool = False
    # The revision of the store, in spite of the name.
    timestamp: Number = 0


class _WatchAnswer(msgspec.Struct):
    events: list[_Item] = []
    timestamp: Number = 0


class _Expect(msgspec.Struct):
    key_path: str
    rev: int


class _Put(msgspec.Struct, omit_defaults=True):
    key_path: str
    value: str
    lease: int = 0


class _TransactionCall(msgspec.Struct):
    expect_rev: list[_Expect]
    puts: list[_Put]
    remove: list[str]


class _TransactionAnswer(msgspec.Struct):
    rev: Number = 0


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _LeaseCall(msgspec.Struct):
    ttl_ms: int


class _LeaseAnswer(msgspec.Struct):
    lease: Number = 0
    ttl_ms: int = 0


class PlatformStore:
    """Implements :class:`~gradepoint.kv.service.KeyValueService`.

    :param address: ``IP:PORT`` of the store.
    :param timeout_s: seconds after which a call times out; its outcome is uncertain then.
    :param history_s: seconds for which the store keeps changes for watches.
    :param limits: limits of the store; a transaction that exceeds them is not sent.
    :param max_answer_bytes: most bytes of one answer; 0 for those of a few of the largest values.
    :param max_range_bytes: most bytes of the keys and kept values of one range together.
    :param row_limits: which values of ranges and watches are kept.
    :ivar watch_s: seconds that a watch call waits for a change.
    :ivar max_range_s: seconds from the first page of a read within which a later page continues it.
    :ivar unreadable: rows of answers that cannot be decoded.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float,
        history_s: float,
        limits: KvLimits = DEFAULT_LIMITS,
        max_answer_bytes: int = 0,
        max_range_bytes: int = sys.maxsize,
        row_limits: RowLimits = (),
    ) -> None:
        self.base_url = f"http://{address}"
        self.origin = split_address(address)
        self.timeout_s = timeout_s
        self.watch_s = min(MAX_WATCH_WAIT_S, history_s * WATCH_WAIT_SHARE_OF_HISTORY)
        self.max_range_s = history_s * RANGE_SHARE_OF_HISTORY
        self.http = HttpClient(
            CONNECT_TIMEOUT_S,
            TCP_USER_TIMEOUT_MS,
            MAX_IDLE_CONNECTIONS,
            max_answer_bytes or max(MAX_ANSWER_BYTES, MAX_ANSWER_VALUES * limits.value_bytes),
        )
        self.max_range_bytes = max_range_bytes
        self.rows = RowReader(row_limits)
        self.unreadable = UnreadableRows()
        self.limits = limits
        self.counts = CallCounts()
        self.pace = BackgroundPace()

    async def get(self, key: str) -> KeyValue | None:
        """See :meth:`KeyValueService.get`."""
        self.counts.reads += 1
        query = urlencode({"key_path": key})
        status, body = await self._call("get", "GET", f"/api/kv-key?{query}")
        if status == 404:
            return None
        self._check_status(status, 200, "get", key)
        return self._read_item(_decode(body, _ItemAnswer))

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """See :meth:`KeyValueService.range`; *revision* is that of the first page.

        Changes made while later pages are read may or may not be contained.
        """
        return await self._read_pages(PartialRange(prefix), limit)

    async def read_over_new_connection(self, prefix: str) -> RangeResult:
        """See :meth:`~gradepoint.kv.relay.LongPollService.read_over_new_connection`."""
        return await self._read_pages(PartialRange(prefix), fresh=True)

    async def read_on(self, read: PartialRange) -> RangeResult:
        """See :meth:`~gradepoint.kv.service.PagedService.read_on`."""
        if monotonic() - read.begun_at > self.max_range_s:
            read.clear()
        return await self._read_pages(read)

    async def _read_pages(
        self, read: PartialRange, limit: int = 0, *, fresh: bool = False
    ) -> RangeResult:
        found = read.items
        query: dict[str, str | bytes] = {"path_prefix": read.prefix}
        while True:
            if read.cursors:
                # In spite of its name, this field takes the last key of the page before.
                query["after_rev"] = read.cursors[-1]
            else:
                read.begun_at = monotonic()
            target = f"/api/kv-range?{urlencode(query)}"
            # Only the first page needs a new connection: it is idle then, and the client takes
            # the most recently used idle connection for the next page.
            status, body = await self._read_page(target, fresh=fresh and not read.cursors)
            retries = 0
            while status == STATUS_OVER_RATE and read.cursors and retries < MAX_PAGE_RETRIES:
                # Reading from the first page again would cost the calls of all pages before.
                retries += 1
                await asyncio.sleep(random.uniform(*PAGE_RETRY_S))
                status, body = await self._read_page(target)
            self._check_status(status, 200, "range", read.prefix)
            page, bad = self._decode_rows(body, _RangeAnswer, "items")
            items, size = self._read_rows(page.items, read.size)
            if size > self.max_range_bytes:
                reason = f"more than {self.max_range_bytes} bytes below {read.prefix}"
                raise self._count_failure("range", KvTooLarge(reason))
            read.revision, read.size = read.revision or page.timestamp, size
            found.extend(items)
            is_empty = not page.items and not bad
            if not page.has_more or is_empty or (limit and len(found) >= limit):
                return RangeResult(tuple(found[:limit] if limit else found), read.revision)
            cursor = _find_cursor(page.items, bad, body)
            if not cursor or cursor in read.cursors:
                read.clear()
                reason = f"the pages below {read.prefix} do not go on behind {cursor!r}"
                raise self._count_failure("range", KvUncertain(reason))
            read.cursors.append(cursor)

    def _read_rows(self, rows: list[_Item], size: int) -> tuple[list[KeyValue], int]:
        """Decode and limit the rows of a page.

        :param size: bytes of the rows of former pages.
        :returns: the rows, and the bytes of all rows so far.
        """
        items = []
        for row in rows:
            item = self.rows.find_omitted(row.key_path, row.rev)
            if item is None:
                item = self._read_item(row, size)
            size += len(item.key) + len(item.value) + ROW_BYTES
            items.append(item)
        return items, size

    def _read_event(self, row: _Item) -> WatchEvent:
        if row.is_deleted:
            self.unreadable.clear(row.key_path)
            return WatchEvent(row.key_path, None, row.rev)
        item = self._read_item(row, 0)
        return WatchEvent(item.key, item.value, item.revision)

    def _decode_rows(self, body: bytes, kind: type[T], field: str) -> tuple[T, list[BadElement]]:
        """Decode an answer without the rows in *field* that cannot be decoded; log these.

        :raises KvUncertain: the answer cannot be decoded for another reason.
        """
        try:
            answer, bad = decoding.decode_json_list(body, kind, [field], _Item)
        except DecodingError as error:
            raise KvUncertain(f"the store's answer cannot be read: {error}") from error
        for row in bad:
            key = _read_key(row)
            shown = key.encode(errors="backslashreplace").decode()
            reason = row.reason if shown == key else "key is no text"
            self.unreadable.note(events.RECORD_UNREADABLE, shown, reason)
        return answer, bad

    def _read_item(self, row: _Item, kept_bytes: int | None = None) -> KeyValue:
        """Return a row; a value that is no base64 is omitted, so that no reader accepts it.

        :param kept_bytes: see :func:`~gradepoint.kv.omission.limit_row`; None to limit no value.
        """
        try:
            value = binascii.a2b_base64(row.value, strict_mode=True)
        except ValueError as error:
            self.unreadable.note(events.RECORD_UNREADABLE, row.key_path, f"value: {error}")
            return omit_value(_make_item(row, row.value.encode()))
        if self.unreadable.reasons:
            self.unreadable.clear(row.key_path)
        item = _make_item(row, value)
        return item if kept_bytes is None else self.rows.read(item, kept_bytes)

    async def _read_page(self, target: str, *, fresh: bool = False) -> tuple[int, bytes]:
        self.counts.reads += 1
        return await self._call("range", "GET", target, fresh=fresh)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        try:
            check_transaction(transaction, self.limits)
        except KvRejected as error:
            raise self._count_rejection("txn", error) from error
        self.counts.writes += 1
        call = _TransactionCall(
            expect_rev=[_Expect(row.key, row.revision) for row in transaction.expects],
            puts=[_Put(put.key, _encode(put.value), put.lease) for put in transaction.puts],
            remove=[row.key for row in transaction.deletes],
        )
        status, body = await self._call("txn", "POST", "/api/kv-txn", msgspec.json.encode(call))
        if status == 412:
            rows = self._decode_rows(body, _Conflict, "items")[0].items
            current = tuple(self._read_item(row) for row in rows if not row.is_deleted and row.rev)
            return TransactionResult(False, 0, current)
        if status == 404:
            raise KvLeaseLapsed("the lease of a write has lapsed")
        if status != 200:
            largest = max(transaction.puts, key=lambda put: len(put.value), default=Put("", b""))
            self._check_status(status, 200, "txn", largest.key, len(largest.value))
        return TransactionResult(True, _decode(body, _TransactionAnswer).rev)

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """See :meth:`KeyValueService.watch`; makes one long-polling call after another.

        A response without changes does not prove that there were none, so that the next call
        continues after the last change received, not after the revision of the response.
        """
        revision = start_revision - 1
        while True:
            page = await self.wait_for_changes(prefix, revision, self.watch_s)
            for event in page.events:
                yield event
            revision = page.find_next_start(revision)

    async def wait_for_changes(self, prefix: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes below *prefix* after *revision* as soon as there are any.

        :param wait_s: seconds after which the store answers without changes.
        :raises KvHistoryLost: the store no longer has the changes after *revision*, or it is not
            known where the next call continues.
        """
        self.counts.watches += 1
        query = {"path_prefix": prefix, "after_rev": revision, "wait_ms": round(wait_s * 1000)}
        status, body = await self._call(
            "watch",
            "GET",
            f"/api/kv-watch?{urlencode(query)}",
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if status == 410:
            raise KvHistoryLost(f"changes after revision {revision} are forgotten")
        self._check_status(status, 200, "watch", prefix)
        answer, bad = self._decode_rows(body, _WatchAnswer, "events")
        changes = tuple(map(self._read_event, answer.events))
        last_change = max(map(_read_revision, bad), default=0)
        if bad and not changes:
            last_change = last_change or answer.timestamp
        page = WatchPage(changes, answer.timestamp, last_change)
        if bad and page.find_next_start(revision) <= revision:
            # The same changes would be returned again at once.
            raise KvHistoryLost("changes cannot be read and have no revision")
        return page

    async def grant_lease(self, ttl_s: int) -> int:
        """See :meth:`KeyValueService.grant_lease`."""
        self.counts.leases += 1
        raw = msgspec.json.encode(_LeaseCall(ttl_s * 1000))
        status, body = await self._call("lease", "POST", "/api/kv-lease", raw)
        self._check_status(status, 200, "lease")
        return _decode(body, _LeaseAnswer).lease

    async def keep_lease(self, lease: int) -> bool:
        """See :meth:`KeyValueService.keep_lease`."""
        self.counts.leases += 1
        status, _ = await self._call("keep", "POST", f"/api/kv-keep/{lease}")
        if status == 404:
            return False
        self._check_status(status, 200, "keep")
        return True

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`KeyValueService.revoke_lease`."""
        self.counts.leases += 1
        status, _ = await self._call("revoke", "DELETE", f"/api/kv-lease-end/{lease}")
        if status != 404:
            self._check_status(status, 200, "revoke")

    def _check_status(
        self, status: int, expected: int, kind: str, key: str = "", size: int = 0
    ) -> None:
        """Raise the error that *status* stands for, unless it is *expected*.

        :param key: the key or prefix of the call; the one with the largest value of a transaction.
        :param size: size of that value in bytes.
        """
        if status == expected:
            return
        if status == STATUS_OVER_RATE:
            self.pace.note_over_rate()
            raise self._count_failure(kind, KvOverRate(f"answered {status}"))
        if status == STATUS_UNAVAILABLE:
            raise self._count_failure(kind, KvUnavailable(f"answered {status}"))
        if status in REJECTED_STATUSES:
            raise self._count_rejection(kind, KvRejected(f"answered {status}", key, size))
        raise self._count_failure(kind, KvUncertain(f"answered {status}"))

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float | None = None,
        *,
        fresh: bool = False,
    ) -> tuple[int, bytes]:
        metrics.shared().kv_calls.add(1, {"kind": kind})
        self.counts.bytes_sent += len(body)
        headers = {"content-type": "application/json"} if body else {}
        try:
            async with asyncio.timeout(timeout_s or self.timeout_s):
                response = await self.http.request(
                    method, self.base_url + target, body, headers, fresh=fresh
                )
                raw = await response.read()
        except ConnectFailed as error:
            raise self._count_failure(kind, KvUnavailable(str(error))) from error
        except (ResponseBroken, TimeoutError) as error:
            # Idle connections may have stopped delivering data for the same reason, and every call
            # that reused one would run into its timeout.
            self.http.close_idle(self.origin)
            raise self._count_failure(kind, KvUncertain(f"no answer: {error!r}")) from error
        self.counts.bytes_received += len(raw)
        return response.status, raw

    def _count_failure(self, kind: str, error: Exception) -> Exception:
        """Count a failed call of *kind*; return *error*, for the caller to raise."""
        self.counts.failures[kind] = self.counts.failures.get(kind, 0) + 1
        metrics.shared().kv_failures.add(1, {"kind": kind})
        return error

    def _count_rejection(self, kind: str, error: KvRejected) -> KvRejected:
        """Count and log a call that the store refuses for good; return *error*."""
        emit(events.KV_REJECTED, kind=kind, **error.log_fields)
        metrics.shared().kv_rejections.add(1, {"kind": kind})
        return error


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return decoding.decode_json(body, kind)
    except DecodingError as error:
        raise KvUncertain(f"the store's answer cannot be read: {error}") from error


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _make_item(row: _Item, value: bytes) -> KeyValue:
    return KeyValue(row.key_path, value, row.rev, row.created, row.lease)


def _find_cursor(rows: Sequence[_Item], bad: Sequence[BadElement], body: bytes) -> bytes:
    """Return the key behind which the page after that of *body* begins; empty if no row has a key.

    It is the last one that is text, since a store may reject any other in a query. The rows behind
    it are read twice.
    """
    if rows:
        return rows[-1].key_path.encode()
    return _encode_key(next(filter(None, map(_read_key, reversed(bad))), ""), body)


def _read_key(row: BadElement) -> str:
    """Return the key of a row that cannot be decoded; empty without one."""
    key = row.value.get("key_path") if isinstance(row.value, dict) else None
    return key if isinstance(key, str) else ""


def _encode_key(key: str, body: bytes) -> bytes:
    """Return a key, which may have surrogates, as it stands in the answer with *body*."""
    try:
        body.decode()
    except UnicodeDecodeError:
        # Surrogates stand for bytes that are not UTF-8, unless the answer has escaped ones, too.
        with suppress(UnicodeEncodeError):
            return key.encode(errors="surrogateescape")
    return key.encode(errors="surrogatepass")


def _read_revision(row: BadElement) -> int:
    """Return the revision of a row that cannot be decoded; 0 if it has none."""
    revision = row.value.get("rev") if isinstance(row.value, dict) else None
    return revision if isinstance(revision, int) and 0 < revision <= MAX_NUMBER else 0
