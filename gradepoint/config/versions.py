"""Versions of the configuration document; version numbers only increase.

The record under :data:`CURRENT_KEY` is authoritative. Each apply replaces it by compare-and-swap
and writes an audit record in the same transaction. If the answer of the transaction is lost, the
writer token in the audit record tells whether the apply took effect.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..errors import GradepointError
from ..ids import ConfigVersion, WriterToken
from ..kv.service import ABSENT, Expect, Put, Transaction
from ..kv.settle import WriteOutcome, WriteOutcomeUnknown, settle
from ..util import decoding
from ..util.clock import wall_seconds
from ..util.hashing import new_token
from .delta import compress, decompress
from .document import Document, Organisation, Service, Target

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

    version: int
    document: Document
    writer: str
    applied_by: str
    applied_at: int


class AuditRecord(msgspec.Struct, frozen=True):
    """Stored audit record of one apply.

    :param writer: token of the apply.
    :param applied_by: name of the operator.
    :param applied_at: Unix seconds, for display only.
    :param note: reason given by the operator.
    """

    version: int
    writer: str
    applied_by: str
    applied_at: int
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
    """Decode a record from a value of the key-value service."""
    return decoding.decode_json(decompress(raw), ConfigRecord)


async def read_current(service: KeyValueService) -> tuple[ConfigRecord | None, int]:
    """Return the current record and its revision; None and :data:`ABSENT` if there is none."""
    item = await service.get(CURRENT_KEY)
    if item is None:
        return None, ABSENT
    return decode_record(item.value), item.revision


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
    current, revision = await read_current(service)
    version = current.version if current else 0
    if current is not None and msgspec.to_builtins(current.document) == msgspec.to_builtins(
        document
    ):
        return ApplyResult(ConfigVersion(version), False)
    if base_version is not None and base_version != version:
        raise _conflict(base_version, version)
    record = ConfigRecord(version + 1, document, token or new_token(), applied_by, wall_seconds())
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
        newest, _ = await read_current(service)
        raise _conflict(version, newest.version if newest else 0)
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
    return decoding.decode_json(item.value, AuditRecord).writer == record.writer


def _conflict(base: int, current: int) -> GradepointError:
    return GradepointError(
        "config_conflict",
        f"The change started from version {base}, but version {current} is in force.",
    )
