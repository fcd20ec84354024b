"""In-memory stand-in for the key-value service with the HTTP/JSON API of etcd v3."""

from __future__ import annotations

import asyncio
import base64
import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ..util import decoding
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
    """Value and metadata of one key.

    :param created: revision at which the key was created.
    :param modified: revision of the last write.
    :param version: number of writes since the key was created.
    :param lease: lease that the key is deleted with; 0 for none.
    """

    value: bytes
    created: int
    modified: int
    version: int
    lease: int


class KvStandin:
    """State of the service and its HTTP handler.

    :ivar history: all changes as (revision, key, value or None if deleted), for watches.
    :ivar leases: lifetime in seconds and monotonic expiry time of each lease.
    :ivar calls: number of calls by path, for ``GET /_calls``.
    """

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
        """Open the port."""
        await self.server.start(address, port)

    async def handle(self, request: Request) -> Response:
        """Handle one call of the etcd HTTP/JSON gateway API."""
        body = await request.read_body()
        if request.path == "/_faults":
            self.faults = decoding.decode_json(body, KvFaults)
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
        call = decoding.decode_json(body)
        if request.path == "/v3/watch":
            return Response(200, stream=self._watch(call["create_request"]))
        answer = self._dispatch(request.path, call)
        if answer is None:
            return json_response({"message": "not found"}, 404)
        if request.path == "/v3/kv/txn" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionResetError("response dropped by fault injection")
        return json_response(answer)

    def _dispatch(self, path: str, call: Json) -> Json | None:
        if path == "/v3/kv/range":
            return self._range(call)
        if path == "/v3/kv/txn":
            return self._transact(call)
        if path == "/v3/lease/grant":
            return self._grant(call)
        if path == "/v3/lease/keepalive":
            return self._keep_alive(call)
        if path == "/v3/lease/revoke":
            self._revoke_lease(int(call["ID"]))
            return {"header": self._header()}
        return None

    def _header(self) -> Json:
        return {"revision": str(self.revision)}

    def _find_keys(self, call: Json) -> list[bytes]:
        key = base64.b64decode(call["key"])
        if not call.get("range_end"):
            return [key] if key in self.keys else []
        end = base64.b64decode(call["range_end"])
        return sorted(name for name in self.keys if key <= name < end)

    def _range(self, call: Json) -> Json:
        names = self._find_keys(call)
        limit = int(call.get("limit") or 0)
        returned = names[:limit] if limit else names
        items = [_encode_key(name, self.keys[name]) for name in returned]
        return {"header": self._header(), "kvs": items, "count": str(len(names))}

    def _transact(self, call: Json) -> Json:
        succeeded = all(self._compare_holds(compare) for compare in call.get("compare", []))
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
                for name in self._find_keys(operation["requestDeleteRange"]):
                    self._delete(name)
        self._notify()
        return {"header": self._header(), "succeeded": succeeded}

    def _compare_holds(self, compare: Json) -> bool:
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

    def _keep_alive(self, call: Json) -> Json:
        lease = int(call["ID"])
        if lease not in self.leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, monotonic() + ttl)
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    def _revoke_lease(self, lease: int) -> None:
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
        for lease in [lease for lease, (_, expires_at) in self.leases.items() if expires_at <= now]:
            self._revoke_lease(lease)

    async def _watch(self, create: Json) -> AsyncIterator[bytes]:
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create.get("range_end") or "")
        last_revision = int(create.get("start_revision") or 0) - 1
        if last_revision < 0:
            last_revision = self.revision
        position = bisect.bisect_right(self.history, last_revision, key=lambda change: change[0])
        self.waiting_watches += 1
        try:
            yield msgspec.json.encode({"result": {"created": True}}) + b"\n"
            while not self.faults.down:
                changed = self.changed
                events = []
                for revision, name, stored in self.history[position:]:
                    if key <= name < end if end else name == key:
                        events.append(_encode_event(name, stored, revision))
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


def _encode_key(name: bytes, stored: StoredKey) -> Json:
    return {
        "key": base64.b64encode(name).decode(),
        "value": base64.b64encode(stored.value).decode(),
        "create_revision": str(stored.created),
        "mod_revision": str(stored.modified),
        "version": str(stored.version),
        "lease": str(stored.lease),
    }


def _encode_event(name: bytes, stored: StoredKey | None, revision: int) -> Json:
    if stored is None:
        deleted = {"key": base64.b64encode(name).decode(), "mod_revision": str(revision)}
        return {"type": "DELETE", "kv": deleted}
    return {"kv": _encode_key(name, stored)}
