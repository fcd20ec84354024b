"""Stand-in for the key-value service: the etcd v3 HTTP/JSON calls, in memory."""

from __future__ import annotations

import asyncio
import base64
import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ..util.clock import monotonic
from ..wire.http_server import HttpServer, ServerLimits
from ..wire.http_types import Response, json_response
from .faults import KvFaults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..wire.http_types import Request

Json = dict[str, Any]


@dataclass
class StoredKey:
    """One key of the stand-in."""

    value: bytes
    created: int
    modified: int
    version: int
    lease: int


class KvStandin:
    """The service's state and its HTTP handler."""

    def __init__(self) -> None:
        self.keys: dict[bytes, StoredKey] = {}
        self.revision = 1
        self.history: list[tuple[int, bytes, StoredKey | None]] = []
        self.changed = asyncio.Event()
        self.leases: dict[int, tuple[int, float]] = {}
        self.next_lease = 7000
        self.faults = KvFaults()
        self.calls: dict[str, int] = {}
        self.bytes_in = 0
        self.waiting_watches = 0
        self.server = HttpServer(self.handle, ServerLimits(max_body_bytes=4 << 20))

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        await self.server.start(address, port)

    async def handle(self, request: Request) -> Response:
        """Answer one gateway call."""
        body = await request.read_body()
        if request.path == "/_faults":
            self.faults = msgspec.json.decode(body, type=KvFaults)
            return json_response({})
        if request.path == "/_calls":
            return json_response(
                {
                    "calls": self.calls,
                    "bytes_in": self.bytes_in,
                    "waiting_watches": self.waiting_watches,
                }
            )
        if self.faults.down:
            return json_response({"message": "unavailable"}, 503)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        self.bytes_in += len(body)
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        self._expire_leases()
        call = msgspec.json.decode(body)
        if request.path == "/v3/watch":
            return Response(200, stream=self._watch(call["create_request"]))
        answer = self._dispatch(request.path, call)
        if answer is None:
            return json_response({"message": "not found"}, 404)
        if request.path == "/v3/kv/txn" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionResetError("answer lost on purpose")
        return json_response(answer)

    def _dispatch(self, path: str, call: Json) -> Json | None:
        if path == "/v3/kv/range":
            return self._range(call)
        if path == "/v3/kv/txn":
            return self._transact(call)
        if path == "/v3/lease/grant":
            return self._grant(call)
        if path == "/v3/lease/keepalive":
            return self._keep(call)
        if path == "/v3/lease/revoke":
            self._drop_lease(int(call["ID"]))
            return {"header": self._header()}
        return None

    def _header(self) -> Json:
        return {"revision": str(self.revision)}

    def _matching(self, call: Json) -> list[bytes]:
        key = base64.b64decode(call["key"])
        if not call.get("range_end"):
            return [key] if key in self.keys else []
        end = base64.b64decode(call["range_end"])
        return sorted(name for name in self.keys if key <= name < end)

    def _range(self, call: Json) -> Json:
        names = self._matching(call)
        limit = int(call.get("limit") or 0)
        shown = names[:limit] if limit else names
        items = [_show(name, self.keys[name]) for name in shown]
        return {"header": self._header(), "kvs": items, "count": str(len(names))}

    def _transact(self, call: Json) -> Json:
        succeeded = all(self._holds(compare) for compare in call.get("compare", []))
        operations = call.get("success" if succeeded else "failure", [])
        writes = [op for op in operations if "requestPut" in op or "requestDeleteRange" in op]
        if writes:
            self.revision += 1
        for operation in writes:
            if "requestPut" in operation:
                put = operation["requestPut"]
                self._put(
                    base64.b64decode(put["key"]),
                    base64.b64decode(put.get("value", "")),
                    int(put.get("lease", "0")),
                )
            else:
                for name in self._matching(operation["requestDeleteRange"]):
                    self._delete(name)
        self._notify()
        return {"header": self._header(), "succeeded": succeeded}

    def _holds(self, compare: Json) -> bool:
        stored = self.keys.get(base64.b64decode(compare["key"]))
        if compare["target"] == "CREATE":
            return (stored.created if stored else 0) == int(compare["create_revision"])
        return (stored.modified if stored else 0) == int(compare["mod_revision"])

    def _put(self, name: bytes, value: bytes, lease: int) -> None:
        old = self.keys.get(name)
        created = old.created if old else self.revision
        version = old.version + 1 if old else 1
        stored = StoredKey(value, created, self.revision, version, lease)
        self.keys[name] = stored
        self.history.append((self.revision, name, stored))

    def _delete(self, name: bytes) -> None:
        if self.keys.pop(name, None) is not None:
            self.history.append((self.revision, name, None))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _grant(self, call: Json) -> Json:
        self.next_lease += 1
        ttl = int(call["TTL"])
        self.leases[self.next_lease] = (ttl, monotonic() + ttl)
        return {"header": self._header(), "ID": str(self.next_lease), "TTL": str(ttl)}

    def _keep(self, call: Json) -> Json:
        lease = int(call["ID"])
        if lease not in self.leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, monotonic() + ttl)
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    def _drop_lease(self, lease: int) -> None:
        if self.leases.pop(lease, None) is None:
            return
        names = [name for name, stored in self.keys.items() if stored.lease == lease]
        if names:
            self.revision += 1
        for name in names:
            self._delete(name)
        self._notify()

    def _expire_leases(self) -> None:
        now = monotonic()
        for lease in [lease for lease, (_, until) in self.leases.items() if until <= now]:
            self._drop_lease(lease)

    async def _watch(self, create: Json) -> AsyncIterator[bytes]:
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create.get("range_end") or "")
        seen = int(create.get("start_revision") or 0) - 1
        if seen < 0:
            seen = self.revision
        position = bisect.bisect_right(self.history, seen, key=lambda change: change[0])
        self.waiting_watches += 1
        try:
            yield msgspec.json.encode({"result": {"created": True}}) + b"\n"
            while not self.faults.down:
                changed = self.changed
                events = []
                for revision, name, stored in self.history[position:]:
                    if key <= name < end if end else name == key:
                        events.append(_show_event(name, stored, revision))
                position = len(self.history)
                if events:
                    yield msgspec.json.encode({"result": {"events": events}}) + b"\n"
                try:
                    async with asyncio.timeout(1.0):
                        await changed.wait()
                except TimeoutError:
                    self._expire_leases()
        finally:
            self.waiting_watches -= 1


def _show(name: bytes, stored: StoredKey) -> Json:
    return {
        "key": base64.b64encode(name).decode(),
        "value": base64.b64encode(stored.value).decode(),
        "create_revision": str(stored.created),
        "mod_revision": str(stored.modified),
        "version": str(stored.version),
        "lease": str(stored.lease),
    }


def _show_event(name: bytes, stored: StoredKey | None, revision: int) -> Json:
    if stored is None:
        deleted = {"key": base64.b64encode(name).decode(), "mod_revision": str(revision)}
        return {"type": "DELETE", "kv": deleted}
    return {"kv": _show(name, stored)}
