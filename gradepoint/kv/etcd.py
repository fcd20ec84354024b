"""Client for the JSON gateway of etcd v3 (HTTP).

The gateway uses the JSON mapping of protocol buffers: keys and values are base64 strings,
and 64-bit integers are decimal strings.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec

from .. import events
from ..errors import DecodingError, KvOverRate, KvRejected, KvUnavailable, KvUncertain
from ..telemetry import metrics
from ..util import decoding
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken
from .pace import BackgroundPace
from .service import (
    ABSENT,
    CallCounts,
    KeyValue,
    RangeResult,
    Transaction,
    TransactionResult,
    WatchEvent,
)
from .unreadable import UnreadableRows

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from ..util.decoding import BadElement
    from ..wire.http_client import ClientResponse
    from .service import Expect

T = TypeVar("T")

# A request rejected with one of these statuses had no effect. For any other failure, 503
# included, the gateway cannot tell whether the write had already been proposed to the cluster,
# so its outcome is uncertain.
REJECTED_STATUSES = range(400, 500)
STATUS_OVERLOADED = 429
"""Status of a request that may succeed later; other rejected ones would be rejected again."""


MAX_REASON_BYTES = 200
"""Most bytes of a rejection's message that are kept for the log."""


Revision = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""Number of 64 bits, as messages between hosts have."""


class _Item(msgspec.Struct):
    key: bytes
    value: bytes = b""
    mod_revision: Revision = 0
    create_revision: Revision = 0
    lease: int = 0


class _Header(msgspec.Struct, frozen=True):
    revision: Revision = 0


class _RangeAnswer(msgspec.Struct):
    header: _Header = _Header()
    kvs: list[_Item] = []


class _TransactionAnswer(msgspec.Struct):
    header: _Header = _Header()
    succeeded: bool = False


class _GrantAnswer(msgspec.Struct):
    lease: int = msgspec.field(name="ID")


class _KeepResult(msgspec.Struct):
    ttl_s: int = msgspec.field(name="TTL", default=0)


class _KeepAnswer(msgspec.Struct):
    result: _KeepResult | None = None
    ttl_s: int = msgspec.field(name="TTL", default=0)


class _RevokeAnswer(msgspec.Struct):
    header: _Header = _Header()


class _Event(msgspec.Struct):
    kv: _Item
    type: str = "PUT"


class _WatchResult(msgspec.Struct, frozen=True):
    events: list[_Event] = []


class _WatchLine(msgspec.Struct):
    result: _WatchResult = _WatchResult()


class EtcdClient:
    """Implements :class:`~gradepoint.kv.service.KeyValueService` with an etcd cluster.

    :param base_url: URL of the JSON gateway, without a path.
    :param timeout_s: seconds until the head of a response must have arrived.
    """

    def __init__(self, base_url: str, timeout_s: float = 2.0) -> None:
        self.base_url = base_url.rstrip("/")
        self.timeout_s = timeout_s
        self.http = HttpClient()
        self.counts = CallCounts()
        self.pace = BackgroundPace()
        self.unreadable = UnreadableRows()

    async def get(self, key: str) -> KeyValue | None:
        """See :meth:`KeyValueService.get`."""
        body = {"key": _encode(key)}
        answer, bad = await self._read(body)
        if bad:
            # The key exists, whatever it has.
            raise self._count_failure("range", KvUncertain(f"unreadable row: {bad[0].reason}"))
        items = self._read_items(answer.kvs)
        return items[0] if items else None

    async def range(self, prefix: str, limit: int = 0) -> RangeResult:
        """See :meth:`KeyValueService.range`."""
        body = {
            "key": _encode(prefix),
            "range_end": _encode_bytes(prefix_end(prefix)),
            "limit": str(limit),
        }
        answer, bad = await self._read(body)
        self._note_bad(bad, [])
        return RangeResult(self._read_items(answer.kvs), answer.header.revision)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        operations: list[dict[str, Any]] = []
        for put in transaction.puts:
            request = {"key": _encode(put.key), "value": _encode_bytes(put.value)}
            if put.lease:
                request["lease"] = str(put.lease)
            operations.append({"requestPut": request})
        for delete in transaction.deletes:
            operations.append({"requestDeleteRange": {"key": _encode(delete.key)}})
        body = {
            "compare": [_compare(expect) for expect in transaction.expects],
            "success": operations,
            "failure": [],
        }
        self.counts.writes += 1
        answer = await self._call("txn", "/v3/kv/txn", body, _TransactionAnswer)
        return TransactionResult(answer.succeeded, answer.header.revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :meth:`KeyValueService.grant_lease`."""
        self.counts.leases += 1
        body = {"TTL": str(ttl_s), "ID": "0"}
        return (await self._call("lease", "/v3/lease/grant", body, _GrantAnswer)).lease

    async def keep_lease(self, lease: int) -> bool:
        """See :meth:`KeyValueService.keep_lease`."""
        self.counts.leases += 1
        body = {"ID": str(lease)}
        answer = await self._call("lease", "/v3/lease/keepalive", body, _KeepAnswer)
        return (answer.ttl_s if answer.result is None else answer.result.ttl_s) > 0

    async def revoke_lease(self, lease: int) -> None:
        """See :meth:`KeyValueService.revoke_lease`."""
        self.counts.leases += 1
        await self._call("lease", "/v3/lease/revoke", {"ID": str(lease)}, _RevokeAnswer)

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchEvent]:
        """See :meth:`KeyValueService.watch`; raises when the stream breaks."""
        create = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode_bytes(prefix_end(prefix)),
                "start_revision": str(start_revision),
            }
        }
        self.counts.watches += 1
        response = await self._send("watch", "/v3/watch", create)
        if response.status != 200:
            response.close()
            raise self._count_failure("watch", KvUnavailable(f"answered {response.status}"))
        incomplete_line = b""
        try:
            async for piece in response.stream():
                incomplete_line += piece
                *lines, incomplete_line = incomplete_line.split(b"\n")
                for line in lines:
                    if line.strip():
                        for event in self._read_watch_line(line):
                            yield event
        except ResponseBroken as error:
            raise KvUnavailable(f"the watch broke: {error}") from error
        finally:
            response.close()

    def _read_items(self, items: list[_Item]) -> tuple[KeyValue, ...]:
        found = (self._read_item(item) for item in items)
        return tuple(item for item in found if item is not None)

    def _read_item(self, item: _Item) -> KeyValue | None:
        """Return a row; None if its key is no text, which this project's keys are."""
        try:
            key = item.key.decode()
        except UnicodeDecodeError as error:
            shown = item.key.decode(errors="backslashreplace")
            self.unreadable.note(events.RECORD_UNREADABLE, shown, f"key is no text: {error}")
            return None
        return KeyValue(key, item.value, item.mod_revision, item.create_revision, item.lease)

    def _read_watch_line(self, line: bytes) -> list[WatchEvent]:
        changes = []
        decoded, bad = _decode_list(line, _WatchLine, ["result", "events"], _Event)
        self._note_bad(bad, ["kv"])
        for event in decoded.result.events:
            item = self._read_item(event.kv)
            if item is not None:
                value = None if event.type == "DELETE" else item.value
                changes.append(WatchEvent(item.key, value, item.revision))
        return changes

    def _note_bad(self, rows: list[BadElement], path: Sequence[str]) -> None:
        """Log rows that cannot be decoded, and are left out.

        :param path: names of the fields that lead to the row of a key.
        """
        for row in rows:
            value = row.value
            for name in [*path, "key"]:
                value = value.get(name) if isinstance(value, dict) else None
            # Shown as it was sent: it need not be base64.
            self.unreadable.note(events.RECORD_UNREADABLE, ascii(value), row.reason)

    async def _read(self, body: dict[str, Any]) -> tuple[_RangeAnswer, list[BadElement]]:
        """Make a call that reads rows; return its answer, and the rows that it leaves out."""
        raw = await self._fetch("range", "/v3/kv/range", body)
        self.counts.reads += 1
        try:
            return _decode_list(raw, _RangeAnswer, ["kvs"], _Item)
        except KvUncertain as error:
            raise self._count_failure("range", error) from error

    async def _call(self, kind: str, path: str, body: dict[str, Any], answer_type: type[T]) -> T:
        raw = await self._fetch(kind, path, body)
        try:
            return _decode(raw, answer_type)
        except KvUncertain as error:
            raise self._count_failure(kind, error) from error

    async def _fetch(self, kind: str, path: str, body: dict[str, Any]) -> bytes:
        """Make a call and return the body of its answer."""
        response = await self._send(kind, path, body)
        try:
            raw = await response.read()
        except ResponseBroken as error:
            raise self._count_failure(kind, KvUncertain(f"answer broken: {error}")) from error
        self.counts.bytes_received += len(raw)
        if response.status == STATUS_OVERLOADED:
            self.pace.note_over_rate()
            raise self._count_failure(kind, KvOverRate(f"answered {response.status}"))
        if response.status in REJECTED_STATUSES:
            metrics.shared().kv_rejections.add(1, {"kind": kind})
            reason = (
                f"answered {response.status}: {raw[:MAX_REASON_BYTES].decode(errors='replace')}"
            )
            raise self._count_failure(
                kind, KvRejected(reason, path, len(msgspec.json.encode(body)))
            )
        if response.status != 200:
            raise self._count_failure(kind, KvUncertain(f"answered {response.status}"))
        return raw

    async def _send(self, kind: str, path: str, body: dict[str, Any]) -> ClientResponse:
        raw = msgspec.json.encode(body)
        self.counts.bytes_sent += len(raw)
        metrics.shared().kv_calls.add(1, {"kind": kind})
        try:
            return await self.http.request(
                "POST",
                self.base_url + path,
                raw,
                {"content-type": "application/json"},
                timeout_s=self.timeout_s,
            )
        except ConnectFailed as error:
            raise self._count_failure(kind, KvUnavailable(str(error))) from error
        except ResponseBroken as error:
            raise self._count_failure(kind, KvUncertain(str(error))) from error

    def _count_failure(self, kind: str, error: Exception) -> Exception:
        """Count a failed call of *kind*; return *error*, for the caller to raise."""
        self.counts.failures[kind] = self.counts.failures.get(kind, 0) + 1
        metrics.shared().kv_failures.add(1, {"kind": kind})
        return error


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive upper bound of the keys that start with *prefix*."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _compare(expect: Expect) -> dict[str, Any]:
    if expect.revision == ABSENT:
        return {
            "key": _encode(expect.key),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }
    return {
        "key": _encode(expect.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expect.revision),
    }


def _decode(raw: bytes, answer_type: type[T]) -> T:
    """Decode a JSON document, in which numbers may be strings.

    :raises KvUncertain: it is cut or has another form.
    """
    try:
        return decoding.decode_json(raw, answer_type, strict=False)
    except DecodingError as error:
        raise KvUncertain(f"answer cannot be decoded: {error}") from error


def _decode_list(
    raw: bytes, answer_type: type[T], path: Sequence[str], element: Any
) -> tuple[T, list[BadElement]]:
    """Decode a JSON document without the rows that cannot be decoded.

    :param path: names of the fields that lead to the rows.
    :param element: type of a row.
    :raises KvUncertain: it is cut or has another form.
    """
    try:
        return decoding.decode_json_list(raw, answer_type, path, element, strict=False)
    except DecodingError as error:
        raise KvUncertain(f"answer cannot be decoded: {error}") from error
