"""Differences between two versions of the document, as sent between hosts.

A large deployment has a document of about 700 KB that changes 960 times a day. Sending it whole
to every host would exceed the 4 KB per second that a daemon may use for control traffic. A change
usually affects a few entries, so hosts send only these and verify the result by its hash.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from ..errors import DecodingError
from ..util.hashing import sha256_hex
from .document import Document, Model, Operator, Organisation, Service, Target

MAX_UNPACKED_BYTES = 16 << 20
"""Most bytes of an unpacked record: four times the largest file that can be applied."""

NAMED_FIELDS: dict[str, type] = {
    "models": Model,
    "targets": Target,
    "organisations": Organisation,
    "operators": Operator,
    "services": Service,
}
"""Fields of the document that are lists of named entries, with the types of the entries."""


class CollectionDelta(msgspec.Struct, frozen=True):
    """Changes of one list of named entries.

    :param put: entries that are new or changed.
    :param removed: names of removed entries.
    :param order: names of all entries in order, or None if keeping the old order and appending new
        entries gives the right order.
    """

    put: list[dict[str, Any]]
    removed: list[str]
    order: list[str] | None = None


class DocumentDelta(msgspec.Struct, frozen=True):
    """Changes that turn one version of the document into another.

    :param base: version that the changes apply to.
    :param digest: SHA-256 of the resulting document in hexadecimal.
    :param plain: new values of fields that are not lists of named entries.
    :param absent: such fields that the resulting document omits, as they have their defaults.
    :param collections: changes of the lists of named entries, by field.
    """

    base: int
    digest: str
    plain: dict[str, Any]
    absent: list[str]
    collections: dict[str, CollectionDelta]


def encode_document(document: Document) -> bytes:
    """Encode a document in the canonical form, whose hash identifies it."""
    return msgspec.json.encode(document)


def compress(data: bytes) -> bytes:
    """Compress *data* for the key-value service, which limits the size of values."""
    return zlib.compress(data, 6)


def decompress(data: bytes) -> bytes:
    """Decompress data that :func:`compress` returned.

    :raises DecodingError: *data* is something else, or unpacks to more than
        :data:`MAX_UNPACKED_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise DecodingError(f"not compressed: {error}") from error
    if unpacker.eof:
        return unpacked
    if len(unpacked) < MAX_UNPACKED_BYTES:
        raise DecodingError("compressed data is cut")
    # The end of the stream may follow without another byte of content.
    if unpacker.decompress(unpacker.unconsumed_tail, 1) or not unpacker.eof:
        raise DecodingError(f"unpacks to more than {MAX_UNPACKED_BYTES} bytes")
    return unpacked


def make_delta(base: int, before: Document, after: Document) -> DocumentDelta:
    """Return the changes that turn *before* into *after*.

    :param base: version of *before*.
    """
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    plain = {
        name: value
        for name, value in new.items()
        if name not in NAMED_FIELDS and old.get(name) != value
    }
    absent = [name for name in old if name not in new and name not in NAMED_FIELDS]
    collections = {
        name: _compare_collections(old.get(name, []), new.get(name, []))
        for name in NAMED_FIELDS
        if old.get(name, []) != new.get(name, [])
    }
    return DocumentDelta(base, sha256_hex(encode_document(after)), plain, absent, collections)


def _compare_collections(old: list[dict[str, Any]], new: list[dict[str, Any]]) -> CollectionDelta:
    before = {row["name"]: row for row in old}
    after = {row["name"]: row for row in new}
    put = [row for row in new if before.get(row["name"]) != row]
    removed = [name for name in before if name not in after]
    default_order = list(_merge(before, put, removed))
    names = list(after)
    return CollectionDelta(put, removed, None if default_order == names else names)


def _merge(
    before: dict[str, dict[str, Any]], put: list[dict[str, Any]], removed: list[str]
) -> dict[str, dict[str, Any]]:
    merged = {name: row for name, row in before.items() if name not in set(removed)}
    merged.update((row["name"], row) for row in put)
    return merged


def apply_delta(before: Document, delta: DocumentDelta) -> Document | None:
    """Apply changes to a document.

    Unchanged entries are shared by both documents, so that keeping several versions needs little
    memory.

    :returns: the resulting document, or None if *delta* was not made for *before*.
    """
    try:
        document = _replace_plain(before, delta)
        changes = {
            name: _apply_collection(getattr(before, name), change, NAMED_FIELDS[name])
            for name, change in delta.collections.items()
        }
    except (msgspec.ValidationError, KeyError, TypeError, AttributeError, OverflowError):
        # A peer's delta names fields or entries that there are not.
        return None
    document = msgspec.structs.replace(document, **changes)
    if sha256_hex(encode_document(document)) != delta.digest:
        return None
    return document


def _replace_plain(before: Document, delta: DocumentDelta) -> Document:
    """Return *before* with the changes of all fields that are not lists of named entries."""
    collections = {name: getattr(before, name) for name in NAMED_FIELDS}
    empty: dict[str, Any] = {key: [] for key in NAMED_FIELDS}
    fields = msgspec.to_builtins(msgspec.structs.replace(before, **empty))
    for name in delta.absent:
        fields.pop(name, None)
    fields.update(delta.plain)
    # The type requires at least one model; the actual models are restored below.
    fields["models"] = msgspec.to_builtins(before.models[:1])
    return msgspec.structs.replace(msgspec.convert(fields, Document), **collections)


def _apply_collection(rows: list[Any], change: CollectionDelta, kind: type) -> list[Any]:
    merged = {row.name: row for row in rows}
    for name in change.removed:
        merged.pop(name, None)
    for raw in change.put:
        merged[raw["name"]] = msgspec.convert(raw, kind)
    if change.order is None:
        return list(merged.values())
    return [merged[name] for name in change.order]
