"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from .messages import Answer, Request, answer_json, serve

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_S = 0.004
MAX_ENTRIES = 32
MAX_KEY_BYTES = 200


@dataclass
class Row:
    """One key."""

    value: bytes
    rev: int
    created: int
    lease: int = 0


@dataclass
class Lease:
    """One lease; *until* is its end on the steady clock."""

    ttl_s: float
    until: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Store:
    """The store.

    :ivar down: every call is answered with 503, and nothing is done ("busy").
    :ivar delay_s: seconds until a call is answered.
    :ivar refused: calls that were answered 400 or 413, with the reason.
    """

    value_bytes: int = 1_048_576
    writes_per_s: int = 400
    history_s: float = 20.0
    rows: dict[str, Row] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: list[tuple[float, dict[str, object]]] = field(default_factory=list)
    compacted: int = 0
    rev: int = 0
    down: bool = False
    delay_s: float = ANSWER_S
    refused: list[tuple[float, str]] = field(default_factory=list)
    writes: list[float] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""

    async def start(self, ip: str) -> str:
        """Listen on a free port of *ip*; return ``IP:PORT``."""
        server = await asyncio.start_server(
            lambda reader, writer: serve(self.handle, reader, writer), ip, 0, limit=1 << 24
        )
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        return self.address

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; leases wait meanwhile."""
        now = time.monotonic()
        if down:
            self.down_since = now
        elif self.down:
            for lease in self.leases.values():
                lease.until += now - self.down_since
        self.down = down

    def put(self, key: str, document: object) -> None:
        """Write a key as the operator or a runner does."""
        self._write(key, json.dumps(document).encode(), 0, self.rev + 1)
        self.rev += 1
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key as the platform does when a runner's entry goes."""
        if key in self.rows:
            self.rev += 1
            self._remove(key, self.rev)
            self._notify()

    def _write(self, key: str, value: bytes, lease: int, rev: int) -> None:
        former = self.rows.get(key)
        if former is not None and former.lease in self.leases:
            self.leases[former.lease].keys.discard(key)
        self.rows[key] = Row(value, rev, former.created if former else rev, lease)
        if lease:
            self.leases[lease].keys.add(key)
        self.history.append((time.monotonic(), self._show(key)))

    def _remove(self, key: str, rev: int) -> None:
        row = self.rows.pop(key)
        if row.lease in self.leases:
            self.leases[row.lease].keys.discard(key)
        event = {"key_path": key, "rev": rev, "is_deleted": True}
        self.history.append((time.monotonic(), event))

    def _show(self, key: str) -> dict[str, object]:
        row = self.rows[key]
        return {
            "key_path": key,
            "value": base64.b64encode(row.value).decode(),
            "rev": row.rev,
            "created": row.created,
            "lease": row.lease,
        }

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        if self.down:
            return
        for number in [n for n, lease in self.leases.items() if lease.until <= now]:
            self._end_lease(number)
        while self.history and self.history[0][0] < now - self.history_s:
            self.compacted = int(str(self.history.pop(0)[1]["rev"]))

    def _end_lease(self, number: int) -> None:
        lease = self.leases.pop(number)
        if lease.keys:
            self.rev += 1
            for key in list(lease.keys):
                self._remove(key, self.rev)
            self._notify()

    async def handle(self, request: Request, _reader: object, _writer: object) -> Answer:
        """Answer one call."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return Answer(503)
        self._expire()
        path, query = request.path, request.query
        if path == "/api/kv-key":
            key = query["key_path"]
            if key not in self.rows:
                return Answer(404)
            return answer_json({**self._show(key), "timestamp": self.rev})
        if path == "/api/kv-range":
            return self._range(query["path_prefix"], query.get("after_rev", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/api/kv-lease":
            return self._grant(int(json.loads(request.body)["ttl_ms"]))
        number = int(path.rpartition("/")[2])
        if number not in self.leases:
            return Answer(404)
        if path.startswith("/api/kv-keep/"):
            lease = self.leases[number]
            lease.until = time.monotonic() + lease.ttl_s
            return answer_json({"ttl_ms": int(lease.ttl_s * 1000)})
        self._end_lease(number)
        return answer_json({})

    def _range(self, prefix: str, after: str) -> Answer:
        items: list[dict[str, object]] = []
        size = 0
        names = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        for key in names:
            size += len(self.rows[key].value)
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self._show(key))
        more = len(items) < len(names)
        return answer_json({"items": items, "has_more": more, "timestamp": self.rev})

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], int(query["after_rev"])
        until = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        while True:
            if self.down:
                return Answer(503)
            self._expire()
            if after < self.compacted:
                return Answer(410)
            events = [
                event
                for _, event in self.history
                if int(str(event["rev"])) > after and str(event["key_path"]).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return answer_json({"events": events, "timestamp": self.rev})
            try:
                async with asyncio.timeout(min(0.2, left_s)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _transact(self, call: dict[str, list[dict[str, object]]]) -> Answer:
        puts = [
            (
                str(row["key_path"]),
                base64.b64decode(str(row["value"])),
                int(str(row.get("lease", 0))),
            )
            for row in call.get("puts", [])
        ]
        removed = [str(key) for key in call.get("remove", [])]
        now = time.monotonic()
        self.writes = [at for at in self.writes if at > now - 1.0]
        if len(self.writes) >= self.writes_per_s:
            return Answer(429)
        self.writes.append(now)
        keys = [key for key, _, _ in puts] + removed
        if len(keys) + len(call.get("expect_rev", [])) > MAX_ENTRIES:
            return self._refuse(400, "too many entries")
        if any(len(key.encode()) > MAX_KEY_BYTES for key in keys):
            return self._refuse(400, "a key is too long")
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return Answer(403)
        for key, value, _ in puts:
            if len(value) > self.value_bytes:
                return self._refuse(413, f"{key} has {len(value)} bytes")
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return Answer(404)
        expected = {str(row["key_path"]): int(str(row["rev"])) for row in call["expect_rev"]}
        found = {key: self.rows[key].rev if key in self.rows else 0 for key in expected}
        if found != expected:
            items = [self._show(key) for key in expected if key in self.rows]
            return answer_json({"items": items}, 412)
        self.rev += 1
        for key, value, lease in puts:
            self._write(key, value, lease, self.rev)
        for key in removed:
            if key in self.rows:
                self._remove(key, self.rev)
        self._notify()
        return answer_json({"rev": self.rev})

    def _refuse(self, status: int, reason: str) -> Answer:
        self.refused.append((time.monotonic(), reason))
        return Answer(status)

    def _grant(self, ttl_ms: int) -> Answer:
        number = 70_000 + len(self.history) + self.rev * 7 + len(self.leases)
        while number in self.leases:
            number += 1
        self.leases[number] = Lease(ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
        return answer_json({"lease": number, "ttl_ms": ttl_ms})
