"""Stand-in for the platform's metadata store: its HTTP API over an in-memory store.

Attributes inject faults into the calls of all clients.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec

from gradepoint.errors import KvRejected
from gradepoint.kv.limits import check_transaction
from gradepoint.kv.service import Delete, Expect, KeyValue, Put, Transaction, WatchEvent
from gradepoint.standins.memory_kv import MemoryKv
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import JSON_TYPE, Request, Response, json_response

WATCH_POLL_S = 0.01
"""Seconds between two looks of a waiting watch at the history."""
PAGE_ITEMS = 50
"""Keys in one page of a range read."""
PAGE_BYTES = 1_000_000
"""Most bytes of values in one page of a range read, unless its first value is larger."""
WRITES_PER_S, READS_PER_S = 400.0, 2000.0
"""Default rates of the calls of all clients together."""
FOREIGN_PREFIXES = ("op/", "servers/")
"""Prefixes below which only the operator and the targets may write."""
LEASE_LOOK_S = 0.05
READ_PATHS = frozenset({"/api/kv-key", "/api/kv-range", "/api/kv-watch"})
RENEWAL_PATH = "/api/kv-keep/"
"""Beginning of the path of a lease renewal, which counts as a read."""


RATE_BURST_S = 0.1
"""Seconds of unused rate that calls may use at once."""


class RateLimit:
    """Token bucket of the calls of one kind.

    :param per_s: calls per second; 0 for no limit.
    :ivar most: most calls that may be made at once.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.most = max(1.0, per_s * RATE_BURST_S)
        self.left = self.most
        self.at = monotonic()

    def take(self) -> bool:
        """Count a call; return whether it is within the rate."""
        now = monotonic()
        refilled = self.left + (now - self.at) * self.per_s
        self.left, self.at = min(self.most, refilled), now
        if self.per_s and self.left < 1:
            return False
        self.left -= 1
        return True


class StoreFault(Enum):
    """How the store treats a call.

    ``BUSY`` answers 503 and ``MANY`` 429; neither has an effect. ``SILENT`` never answers.
    ``LOSE_RESPONSE`` executes the call and resets the connection. ``LATE`` resets the connection at
    once and applies a transaction :attr:`PlatformStoreStandin.late_s` later.
    """

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    LOSE_RESPONSE = "lose-answer"
    LATE = "late"


@dataclass
class PlatformStoreStandin:
    """The stand-in of the store.

    :param keys: the in-memory store behind the HTTP API.
    :ivar fault: fault that is injected into calls.
    :ivar only_transactions: whether the fault affects transactions alone.
    :ivar delay_s: seconds by which every call is delayed.
    :ivar late_s: seconds after which :attr:`StoreFault.LATE` applies a transaction.
    :ivar compacted_revision: changes up to this revision are compacted: a watch that starts from an
        older one gets 410.
    :ivar watches_muted: whether watches get no events, including watches that start now. Afterwards
        a watch gets the events it missed, or 410 if they are compacted, only at the next change
        below its prefix or when its wait time ends.
    :ivar reset_count: number of calls of :meth:`reset_watches`.
    :ivar calls: number of calls by path, refused ones included.
    :ivar reads: limit of the rate of reads, watches and renewals; calls beyond it get 429.
    :ivar writes: limit of the rate of all other calls.
    :ivar replaced_fields: by key, what answers say of a row in place of its fields.
    :ivar rejected: transactions that were refused because they exceed a limit, in order.
    """

    keys: MemoryKv = field(default_factory=MemoryKv)
    fault: StoreFault = StoreFault.NONE
    only_transactions: bool = False
    delay_s: float = 0.0
    late_s: float = 1.0
    compacted_revision: int = 0
    watches_muted: bool = False
    reset_count: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    reads: RateLimit = field(default_factory=lambda: RateLimit(READS_PER_S))
    writes: RateLimit = field(default_factory=lambda: RateLimit(WRITES_PER_S))
    replaced_fields: dict[str, dict[str, Any]] = field(default_factory=dict)
    rejected: list[KvRejected] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = HttpServer(self.handle)

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening; return ``IP:PORT``. Port 0 picks a free one."""
        await self.server.start(address, port)
        return f"{address}:{self.server.port}"

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or a target does, without the HTTP API and its faults."""
        self.keys.apply(Transaction((), (Put(key, value),)))

    def delete(self, key: str) -> None:
        """Delete a key as the operator or a target does, without the HTTP API and its faults."""
        self.keys.revision += 1
        self.keys.remove(key)

    def read(self, key: str) -> bytes | None:
        """Return the value of a key, or None if the key does not exist."""
        item = self.keys.keys.get(key)
        return None if item is None else item.value

    def compact_history(self) -> None:
        """Compact the history: watches from an older revision get 410."""
        self.compacted_revision = self.keys.revision

    def reset_watches(self) -> None:
        """Reset the connections of all waiting watches."""
        self.reset_count += 1

    async def handle(self, request: Request) -> Response:
        """Handle one HTTP call, subject to the injected fault."""
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        is_read = path in READ_PATHS or path.startswith(RENEWAL_PATH)
        limit = self.reads if is_read else self.writes
        if not limit.take():
            return Response(429)
        body = await request.read_body()
        await asyncio.sleep(self.delay_s)
        fault = self.fault
        if self.only_transactions and path != "/api/kv-txn":
            fault = StoreFault.NONE
        if fault is StoreFault.BUSY:
            return Response(503)
        if fault is StoreFault.MANY:
            return Response(429)
        if fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        if fault is StoreFault.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._apply_late, request, body)
            raise ConnectionResetError
        answer = await self._answer(request, body)
        if fault is StoreFault.LOSE_RESPONSE:
            raise ConnectionResetError
        return answer

    def _apply_late(self, request: Request, body: bytes) -> None:
        if request.path == "/api/kv-txn":
            self._transact(body)

    async def _answer(self, request: Request, body: bytes) -> Response:
        self.keys.expire()
        path, query = request.path, _read_query(request)
        if path == "/api/kv-key":
            return self._get(query["key_path"])
        if path == "/api/kv-range":
            return self._range(query["path_prefix"], query.get("after_rev", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            return self._grant_lease(msgspec.json.decode(body)["ttl_ms"])
        if path.startswith(RENEWAL_PATH):
            return self._renew_lease(int(path.rpartition("/")[2]))
        if path.startswith("/api/kv-lease-end/"):
            self.keys.drop_lease(int(path.rpartition("/")[2]))
            return json_response({})
        return Response(404)

    def _get(self, key: str) -> Response:
        item = self.keys.keys.get(key)
        if item is None:
            return Response(404)
        return _json_response({**self._row(item), "timestamp": self.keys.revision})

    def _range(self, prefix: str, after: str) -> Response:
        names = sorted(name for name in self.keys.keys if name.startswith(prefix) and name > after)
        items = [self.keys.keys[name] for name in names[:PAGE_ITEMS]]
        sizes = itertools.accumulate(len(item.value) for item in items)
        fitting = sum(size <= PAGE_BYTES for size in sizes)
        rows = [self._row(item) for item in items[: max(1, fitting)]]
        more = len(names) > len(rows)
        return _json_response({"items": rows, "has_more": more, "timestamp": self.keys.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after_rev"])
        until = monotonic() + int(query["wait_ms"]) / 1000
        reset_count = self.reset_count
        missed_revision = 0
        while True:
            self.keys.expire()
            if self.reset_count != reset_count:
                raise ConnectionResetError
            timed_out = monotonic() >= until
            if self.watches_muted:
                missed_revision = self.keys.revision
                if timed_out:
                    return json_response({"events": [], "timestamp": missed_revision})
                await asyncio.sleep(WATCH_POLL_S)
                continue
            events = [
                event
                for event in self.keys.history
                if event.revision > after and event.key.startswith(query["path_prefix"])
            ]
            has_new_events = any(event.revision > missed_revision for event in events)
            if after < self.compacted_revision and (
                has_new_events or timed_out or not missed_revision
            ):
                return Response(410)
            if has_new_events or timed_out:
                rows = [{**_event_row(event), **self._replaced(event.key)} for event in events]
                return _json_response({"events": rows, "timestamp": self.keys.revision})
            await asyncio.sleep(WATCH_POLL_S)

    def _transact(self, body: bytes) -> Response:
        call = msgspec.json.decode(body)
        puts = tuple(
            Put(row["key_path"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in call["puts"]
        )
        if any(put.lease and put.lease not in self.keys.leases for put in puts):
            return Response(404)
        expects = tuple(Expect(row["key_path"], row["rev"]) for row in call["expect_rev"])
        deletes = tuple(Delete(key) for key in call["remove"])
        if any(row.key.startswith(FOREIGN_PREFIXES) for row in (*puts, *deletes)):
            return Response(403)
        transaction = Transaction(expects, puts, deletes)
        try:
            check_transaction(transaction, self.keys.limits)
        except KvRejected as error:
            self.rejected.append(error)
            return Response(413 if error.reason == "value too large" else 400)
        result = self.keys.apply(transaction)
        if result.succeeded:
            return json_response({"rev": result.revision})
        return _json_response({"items": [self._row(item) for item in result.current]}, 412)

    def _row(self, item: KeyValue) -> dict[str, Any]:
        return {**_row(item), **self._replaced(item.key)}

    def _replaced(self, key: str) -> dict[str, Any]:
        return self.replaced_fields.get(key, {})

    def _grant_lease(self, ttl_ms: int) -> Response:
        self.keys.next_lease += 1
        self.keys.leases[self.keys.next_lease] = (ttl_ms / 1000, monotonic() + ttl_ms / 1000)
        return json_response({"lease": self.keys.next_lease, "ttl_ms": ttl_ms})

    def _renew_lease(self, lease: int) -> Response:
        if lease not in self.keys.leases:
            return Response(404)
        ttl = self.keys.leases[lease][0]
        self.keys.leases[lease] = (ttl, monotonic() + ttl)
        return json_response({"ttl_ms": int(ttl * 1000)})


def _read_query(request: Request) -> dict[str, str]:
    """Return the fields of a query, in which keys need not be Unicode text."""
    query = urlsplit(request.target).query
    return dict(parse_qsl(query, keep_blank_values=True, errors="surrogatepass"))


def _json_response(value: dict[str, Any], status: int = 200) -> Response:
    """Return *value* as JSON, in which half of a surrogate pair is escaped."""
    try:
        return json_response(value, status)
    except UnicodeEncodeError:
        return Response(status, {"content-type": JSON_TYPE}, json.dumps(value).encode())


def _row(item: KeyValue) -> dict[str, Any]:
    return {
        "key_path": item.key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _event_row(event: WatchEvent) -> dict[str, Any]:
    if event.value is None:
        return {"key_path": event.key, "rev": event.revision, "is_deleted": True}
    value = base64.b64encode(event.value).decode()
    return {"key_path": event.key, "value": value, "rev": event.revision, "created": 0, "lease": 0}
