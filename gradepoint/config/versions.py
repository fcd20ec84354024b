"""Versions of the configuration document; version numbers only increase.

The record under :data:`CURRENT_KEY` is authoritative. Each apply replaces it by compare-and-swap
and writes an audit record in the same transaction. If the answer of the transaction is lost, the
writer token in the audit record tells whether the apply took effect.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import DecodingError, GradepointError, KvUnreadable
from ..ids import ConfigVersion, WriterToken
from ..kv.records import decode_record as decode_json_record
from ..kv.records import decode_records
from ..kv.service import ABSENT, Expect, Put, Transaction
from ..kv.settle import WriteOutcome, WriteOutcomeUnknown, settle
from ..kv.unreadable import UnreadableRows
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import wall_seconds
from ..util.hashing import new_token
from .delta import MAX_UNPACKED_BYTES, compress, decompress
from .document import Document, Organisation, Service, Target, WholeNumber

if TYPE_CHECKING:
    from ..kv.service import KeyValueService

CURRENT_KEY = "/gradepoint/config/current"
AUDIT_PREFIX = "/gradepoint/config/audit/"
MAX_COMPRESSED_BYTES = 900_000
"""Maximum bytes of a compressed record; it fits into a value of the service with a margin."""


class ConfigRecord(msgspec.Struct, frozen=True):
    """Stored record of one version.

    :param writer: token of the apply that wrote it.
    :param applied_by: name of the operator.
    :param applied_at: Unix seconds, for display only.
    """

    version: WholeNumber
    document: Document
    writer: str
    applied_by: str
    applied_at: WholeNumber


class AuditRecord(msgspec.Struct, frozen=True):
    """Stored audit record of one apply.

    :param writer: token of the apply.
    :param applied_by: name of the operator.
    :param applied_at: Unix seconds, for display only.
    :param note: reason given by the operator.
    """

    version: WholeNumber
    writer: str
    applied_by: str
    applied_at: WholeNumber
    note: str = ""


@dataclass
class ConfigInForce:
    """Newest configuration version that this process has received.

    The indexes by name are rebuilt for each version, so that calls need no search.

    :ivar version: version of *record*; 0 before the first one. It never decreases.
    :ivar record: record in force, or None before the first one.
    """

    version: ConfigVersion = ConfigVersion(0)
    record: ConfigRecord | None = None
    organisations: dict[str, Organisation] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)

    def take(self, record: ConfigRecord) -> bool:
        """Put *record* in force if its version is higher; return whether it was."""
        if record.version <= self.version:
            return False
        self.version = ConfigVersion(record.version)
        self.record = record
        document = record.document
        self.organisations = {row.name: row for row in document.organisations}
        self.services = {row.name: row for row in document.services}
        self.targets = {row.name: row for row in document.targets}
        return True

    @property
    def document(self) -> Document:
        """The document in force.

        :raises GradepointError: ``not_ready`` before the first version.
        """
        if self.record is None:
            raise GradepointError("not_ready")
        return self.record.document


@dataclass(frozen=True)
class ApplyResult:
    """Result of an apply.

    :param version: version in force.
    :param changed: False if the same document was in force already.
    """

    version: ConfigVersion
    changed: bool


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record as a compressed value of the key-value service."""
    return compress(msgspec.json.encode(record))


def decode_record(raw: bytes) -> ConfigRecord:
    """Decode a record from a value of the key-value service.

    :raises DecodingError: *raw* is no record.
    """
    return decoding.decode_json(decompress(raw), ConfigRecord)


async def read_current(service: KeyValueService) -> tuple[ConfigRecord | None, int]:
    """Return the current record and its revision; None and :data:`ABSENT` if there is none.

    :raises KvUnreadable: another writer has overwritten the record.
    """
    item = await service.get(CURRENT_KEY)
    if item is None:
        return None, ABSENT
    try:
        return decode_record(item.value), item.revision
    except DecodingError as error:
        raise KvUnreadable(f"The value of {CURRENT_KEY!r} is no configuration: {error}") from error


async def _read_base(service: KeyValueService) -> tuple[ConfigRecord | None, int, int]:
    """Return the record that an apply replaces, its version and its revision.

    If another writer has overwritten the record, the version is that of the last apply by the
    audit records, so that versions keep increasing.
    """
    item = await service.get(CURRENT_KEY)
    if item is None:
        return None, 0, ABSENT
    try:
        record = decode_record(item.value)
    except DecodingError as error:
        emit(events.CONFIG_UNREADABLE, source=CURRENT_KEY, reason=str(error))
        audits = await read_audits(service, UnreadableRows())
        return None, max((row.version for row in audits), default=0), item.revision
    return record, record.version, item.revision


async def read_audits(service: KeyValueService, unreadable: UnreadableRows) -> list[AuditRecord]:
    """Return all audit records that can be decoded, in the order of their versions."""
    found = await service.range(AUDIT_PREFIX)
    rows = decode_records(found.items, AuditRecord, unreadable, lambda row: audit_key(row.version))
    return [row for _, row in rows]


async def apply_document(
    service: KeyValueService,
    document: Document,
    applied_by: str,
    base_version: int | None,
    note: str = "",
    token: WriterToken | None = None,
) -> ApplyResult:
    """Make *document* the current version.

    :param applied_by: name of the operator.
    :param base_version: version on which the operator's change is based; None accepts whichever
        version is current.
    :param note: reason for the audit record.
    :param token: token of this apply; random if None.
    :raises GradepointError: ``config_conflict``, ``service_unavailable`` or
        ``service_uncertain``.
    """
    current, version, revision = await _read_base(service)
    if current is not None and msgspec.to_builtins(current.document) == msgspec.to_builtins(
        document
    ):
        return ApplyResult(ConfigVersion(version), False)
    if base_version is not None and base_version != version:
        raise _conflict(base_version, version)
    record = ConfigRecord(version + 1, document, token or new_token(), applied_by, wall_seconds())
    unpacked_size = len(msgspec.json.encode(record))
    if unpacked_size > MAX_UNPACKED_BYTES:
        raise GradepointError(
            "config_invalid", f"The file has {unpacked_size} bytes, over {MAX_UNPACKED_BYTES}."
        )
    size = len(encode_record(record))
    if size > MAX_COMPRESSED_BYTES:
        raise GradepointError(
            "config_invalid", f"The file is {size} bytes when packed, over {MAX_COMPRESSED_BYTES}."
        )
    try:
        outcome, _ = await settle(
            service, _transaction(record, revision, note), lambda: _was_applied(service, record)
        )
    except WriteOutcomeUnknown as error:
        code = "service_uncertain" if error.may_have_applied else "service_unavailable"
        raise GradepointError(code, f"The apply was not confirmed: {error}.") from error
    if outcome is WriteOutcome.LOST_RACE:
        _, newest, _ = await _read_base(service)
        raise _conflict(version, newest)
    return ApplyResult(ConfigVersion(record.version), True)


def audit_key(version: int) -> str:
    """Return the key of a version's audit record; keys sort by version."""
    return f"{AUDIT_PREFIX}{version:012d}"


def _transaction(record: ConfigRecord, revision: int, note: str) -> Transaction:
    audit = AuditRecord(record.version, record.writer, record.applied_by, record.applied_at, note)
    return Transaction(
        (Expect(CURRENT_KEY, revision), Expect(audit_key(record.version), ABSENT)),
        (
            Put(CURRENT_KEY, encode_record(record)),
            Put(audit_key(record.version), msgspec.json.encode(audit)),
        ),
    )


async def _was_applied(service: KeyValueService, record: ConfigRecord) -> bool:
    """Return whether the audit record shows that this apply wrote *record*."""
    item = await service.get(audit_key(record.version))
    if item is None:
        return False
    try:
        return decode_json_record(item, AuditRecord).writer == record.writer
    except KvUnreadable:
        return False


def _conflict(base: int, current: int) -> GradepointError:
    return GradepointError(
        "config_conflict",
        f"The change started from version {base}, but version {current} is in force.",
    )
