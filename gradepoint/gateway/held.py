"""What is held back, in the platform's key-value service and for operators."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import KvError
from ..kv.service import Delete, Put, Transaction
from ..peers.presence import LIVE_PREFIX
from ..routing.suspects import MEMORY_S
from ..telemetry.logs import emit
from ..util.tasks import TaskGroup
from ..wire.http_types import Response, json_response
from .identity import read_key, show_key

if TYPE_CHECKING:
    from ..ids import RequestKey
    from ..kv.service import KeyValueService
    from ..wire.http_types import Request
    from .identity import RequestIdentity
    from .suspicion import Suspicion

HELD_PREFIX = LIVE_PREFIX + "held/"
"""Prefix of the keys of what is held back; every host follows it."""
HELD_TTL_S = MEMORY_S
"""Seconds for which a key is kept: as long as what hosts remember. Nobody renews its lease."""
PAGE = "/held"


class HeldRow(msgspec.Struct, frozen=True):
    """What is kept of a request that is held back.

    :param ended: the targets' lives that ended under it, as far as the host knew them that
        decided.
    """

    host: str
    method: str
    path: str
    ended: list[str]


class ListedRequest(msgspec.Struct, frozen=True):
    """One row of the operators' list."""

    key: str
    standing: str
    host: str
    method: str
    path: str
    ended: list[str]


@dataclass
class HeldRequests:
    """Keeps what is held back over restarts, and lets operators look after it.

    :ivar rows: what is kept of each request.
    """

    kv: KeyValueService
    suspicion: Suspicion
    rows: dict[RequestKey, HeldRow] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def keep(self, request: RequestIdentity, ended: list[str]) -> None:
        """Keep a request that this host has found to be held back."""
        row = HeldRow(request.host, request.method, request.path, ended)
        self.rows[request.key] = row
        self.tasks.start(self._write(request.key, row))

    async def _write(self, key: RequestKey, row: HeldRow) -> None:
        """Write a key under a lease of its own; the other hosts know without it as well."""
        try:
            lease = await self.kv.grant_lease(round(HELD_TTL_S))
            put = Put(HELD_PREFIX + show_key(key), msgspec.json.encode(row), lease)
            await self.kv.transact(Transaction((), (put,)))
        except KvError as error:
            emit(events.HELD_NOT_KEPT, key=show_key(key), reason=str(error))

    def take(self, name: str, value: bytes | None) -> None:
        """Take what the service says of a key below :data:`HELD_PREFIX`.

        :param value: None where it is gone.
        """
        key = read_key(name.removeprefix(HELD_PREFIX))
        if key is None:
            emit(events.HELD_UNREADABLE, key=name, reason="no key of a request")
            return
        if value is None:
            self.rows.pop(key, None)
            self.suspicion.note_kept(key, kept=False)
            return
        try:
            self.rows[key] = msgspec.json.decode(value, type=HeldRow)
        except msgspec.DecodeError as error:
            emit(events.HELD_UNREADABLE, key=name, reason=str(error))
            return
        self.suspicion.note_kept(key, kept=True)

    async def answer(self, request: Request) -> Response:
        """Answer an operator: list what is suspected or held back, or let a request go."""
        if request.path == PAGE and request.method == "GET":
            return Response(
                200,
                {"content-type": "application/json"},
                msgspec.json.encode({"requests": self._list()}),
            )
        key = read_key(request.path.removeprefix(PAGE + "/"))
        if key is None or request.method != "DELETE":
            return json_response({"known": False}, 404)
        return await self._let_go(key)

    def _list(self) -> list[ListedRequest]:
        unknown = HeldRow("", "", "", [])
        listed = []
        for key, standing, ended in self.suspicion.list_suspected():
            row = self.rows.get(key, unknown)
            listed.append(
                ListedRequest(
                    show_key(key),
                    standing.name.lower(),
                    row.host,
                    row.method,
                    row.path,
                    ended or row.ended,
                )
            )
        return listed

    async def _let_go(self, key: RequestKey) -> Response:
        """Serve a request like any other again, at every host."""
        if not self.suspicion.let_go(key):
            return json_response({"known": False}, 404)
        self.rows.pop(key, None)
        try:
            await self.kv.transact(Transaction((), (), (Delete(HELD_PREFIX + show_key(key)),)))
        except KvError as error:
            emit(events.HELD_NOT_KEPT, key=show_key(key), reason=str(error))
            return json_response({"known": True, "kept": True}, 503)
        return json_response({"known": True}, 200)
