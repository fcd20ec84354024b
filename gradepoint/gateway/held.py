"""Storage of suspected and held requests and parts of prompts, and the operators' page for them.

The key-value service keeps them over a restart of all hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from .. import events
from ..errors import DecodingError, KvError
from ..ids import TargetNumber
from ..kv.service import Delete, Put, Transaction
from ..kv.unreadable import UnreadableRows
from ..peers.presence import LIVE_PREFIX
from ..routing.suspects import CRASH_LIFETIME_S, Trial
from ..telemetry.logs import emit
from ..util import decoding
from ..util.hashing import HASH32_MAX
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup
from ..wire.http_types import Response, json_response
from .identity import format_key, parse_key

if TYPE_CHECKING:
    from ..ids import SuspectKey
    from ..kv.service import KeyValueService
    from ..wire.http_types import Request
    from .identity import RequestIdentity
    from .suspicion import SuspectRow, Suspicion

HELD_PREFIX = LIVE_PREFIX + "held/"
"""Prefix of the keys of suspected requests and parts; every host watches it."""
HELD_TTL_S = CRASH_LIFETIME_S
"""Lifetime of a key in seconds: as long as hosts remember a crash. Its lease is not renewed."""
PAGE = "/held"

StoredNumber = Annotated[TargetNumber, msgspec.Meta(ge=0, le=HASH32_MAX)]
"""Number of a target in the range of its hash; messages to other hosts cannot hold any number."""


class HeldRow(msgspec.Struct, frozen=True):
    """Stored record of a suspected request, or of a suspected part of prompts.

    :param host: Host header of the request, or of one with this part; so are *method* and *path*.
    :param ended: IDs of the target incarnations that crashed while running it, as known to the host
        that wrote the record.
    :param ends: numbers of these incarnations, each with the trial, stored as its weight.
    :param part: the part of prompts; empty for a request.
    """

    host: str
    method: str
    path: str
    ended: list[str]
    ends: list[tuple[StoredNumber, Trial]]
    part: str = ""


class ListedRequest(msgspec.Struct, frozen=True):
    """One row of the operators' list of suspected and held requests and parts of prompts."""

    key: str
    standing: str
    host: str
    method: str
    path: str
    ended: list[str]
    part: str


class HeldRequests(Struct):
    """Stores suspected requests and parts of prompts, restores them after a restart and serves
    operators.

    :ivar rows: stored records by suspect.
    :ivar removed: records that this host has deleted, though the service may still list them.
    :ivar unreadable: rows that cannot be used.
    """

    kv: KeyValueService
    suspicion: Suspicion
    rows: dict[SuspectKey, HeldRow] = field(default_factory=dict)
    removed: dict[SuspectKey, HeldRow] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def store(self, request: RequestIdentity, known: SuspectRow) -> None:
        """Store a suspect of a request when this host sees a target crash while running it."""
        part = request.suspects[known.key] or ""
        row = HeldRow(
            request.host, request.method, request.path, known.crashed, known.crashes, part
        )
        self.rows[known.key] = row
        self.tasks.start(self._write(known.key, row))

    def remove(self, key: SuspectKey) -> None:
        """Delete the record of a suspect that has been cleared."""
        row = self.rows.pop(key, None)
        if row is not None:
            self.removed[key] = row
            self.tasks.start(self._delete(key))

    async def _write(self, key: SuspectKey, row: HeldRow) -> None:
        """Write a record under its own lease.

        A failure is only logged, since the other hosts get the information by messages as well.
        """
        try:
            lease = await self.kv.grant_lease(round(HELD_TTL_S))
            put = Put(HELD_PREFIX + format_key(key), msgspec.json.encode(row), lease)
            await self.kv.transact(Transaction((), (put,)))
        except KvError as error:
            emit(events.HELD_NOT_KEPT, key=format_key(key), reason=str(error))

    async def _delete(self, key: SuspectKey) -> None:
        try:
            await self.kv.transact(Transaction((), (), (Delete(HELD_PREFIX + format_key(key)),)))
        except KvError as error:
            emit(events.HELD_NOT_KEPT, key=format_key(key), reason=str(error))

    def apply(self, name: str, value: bytes | None) -> None:
        """Apply a row that the service lists under :data:`HELD_PREFIX`.

        :param value: None if the key is gone. What hosts report to each other still counts then.
        """
        key = parse_key(name.removeprefix(HELD_PREFIX))
        if value is None:
            self.unreadable.clear(name)
        if key is None:
            if value is not None:
                self.unreadable.note(events.HELD_UNREADABLE, name, "not the key of a suspect")
            return
        if value is None:
            self.rows.pop(key, None)
            self.removed.pop(key, None)
            return
        try:
            row = decoding.decode_json(value, HeldRow)
        except DecodingError as error:
            self.unreadable.note(events.HELD_UNREADABLE, name, str(error))
            return
        self.unreadable.clear(name)
        # The same row is read repeatedly. Restoring it again would undo that the suspect was
        # cleared.
        if row not in (self.rows.get(key), self.removed.get(key)):
            self.rows[key] = row
            self.suspicion.restore(key, row.ends)

    async def answer(self, request: Request) -> Response:
        """Answer an operator: list the suspected and held requests and parts, or clear one."""
        if request.path == PAGE and request.method == "GET":
            return Response(
                200,
                {"content-type": "application/json"},
                msgspec.json.encode({"requests": self._list()}),
            )
        key = parse_key(request.path.removeprefix(PAGE + "/"))
        if key is None or request.method != "DELETE":
            return json_response({"known": False}, 404)
        return await self._release(key)

    def _list(self) -> list[ListedRequest]:
        unknown = HeldRow("", "", "", [], [])
        listed = []
        for suspect in self.suspicion.list_suspected():
            row = self.rows.get(suspect.key, unknown)
            listed.append(
                ListedRequest(
                    format_key(suspect.key),
                    suspect.standing.name.lower(),
                    row.host,
                    row.method,
                    row.path,
                    row.ended or suspect.crashed,
                    row.part,
                )
            )
        return listed

    async def _release(self, key: SuspectKey) -> Response:
        """Clear a suspect; the other hosts are informed as well."""
        known = self.suspicion.release(key)
        return json_response({"known": known}, 200 if known else 404)
