"""Differences between two versions as they travel between hosts.

At the size of letter 1 a document is some 700 KB and changes 960 times a day; sent whole
to every host that alone would be more than the 4 KB a second a daemon may spend. A change
usually touches a few entries, so hosts send each other those, and check the result by hash.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from ..util.hashing import sha256_hex
from .document import Document, Model, Operator, Organisation, Service, Target

NAMED_FIELDS: dict[str, type] = {
    "models": Model,
    "targets": Target,
    "organisations": Organisation,
    "operators": Operator,
    "services": Service,
}
"""The lists of named entries, with their types."""


class CollectionDelta(msgspec.Struct, frozen=True):
    """Changes of one list of named entries.

    :param order: all names in order, only where the order is not kept by appending.
    """

    put: list[dict[str, Any]]
    removed: list[str]
    order: list[str] | None = None


class DocumentDelta(msgspec.Struct, frozen=True):
    """What turns the document of *base* into another one.

    :param base: version that it applies to.
    :param digest: of the resulting document.
    """

    base: int
    digest: str
    plain: dict[str, Any]
    absent: list[str]
    collections: dict[str, CollectionDelta]


def encode_document(document: Document) -> bytes:
    """Return the document in the one form that is hashed."""
    return msgspec.json.encode(document)


def compress(data: bytes) -> bytes:
    """Return *data* packed for the key-value service, whose values are bounded."""
    return zlib.compress(data, 6)


def decompress(data: bytes) -> bytes:
    """Undo :func:`compress`."""
    return zlib.decompress(data)


def make_delta(base: int, before: Document, after: Document) -> DocumentDelta:
    """Return what leads from *before* to *after*."""
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    plain = {
        name: value
        for name, value in new.items()
        if name not in NAMED_FIELDS and old.get(name) != value
    }
    absent = [name for name in old if name not in new and name not in NAMED_FIELDS]
    collections = {
        name: _collection_delta(old.get(name, []), new.get(name, []))
        for name in NAMED_FIELDS
        if old.get(name, []) != new.get(name, [])
    }
    return DocumentDelta(base, sha256_hex(encode_document(after)), plain, absent, collections)


def _collection_delta(old: list[dict[str, Any]], new: list[dict[str, Any]]) -> CollectionDelta:
    before = {row["name"]: row for row in old}
    after = {row["name"]: row for row in new}
    put = [row for row in new if before.get(row["name"]) != row]
    removed = [name for name in before if name not in after]
    kept_order = list(_merge(before, put, removed))
    names = list(after)
    return CollectionDelta(put, removed, None if kept_order == names else names)


def _merge(
    before: dict[str, dict[str, Any]], put: list[dict[str, Any]], removed: list[str]
) -> dict[str, dict[str, Any]]:
    merged = {name: row for name, row in before.items() if name not in set(removed)}
    merged.update((row["name"], row) for row in put)
    return merged


def apply_delta(before: Document, delta: DocumentDelta) -> Document | None:
    """Return the document that *delta* leads to, or None if it does not fit *before*.

    Entries that did not change are shared by both documents, so that the versions kept
    cost little memory.
    """
    try:
        document = _replace_plain(before, delta)
        changes = {
            name: _apply_collection(getattr(before, name), change, NAMED_FIELDS[name])
            for name, change in delta.collections.items()
        }
    except (msgspec.ValidationError, KeyError):
        return None
    document = msgspec.structs.replace(document, **changes)
    if sha256_hex(encode_document(document)) != delta.digest:
        return None
    return document


def _replace_plain(before: Document, delta: DocumentDelta) -> Document:
    """Return *before* with the fields changed that are no collections."""
    kept = {name: getattr(before, name) for name in NAMED_FIELDS}
    empty: dict[str, Any] = {key: [] for key in NAMED_FIELDS}
    skeleton = msgspec.to_builtins(msgspec.structs.replace(before, **empty))
    for name in delta.absent:
        skeleton.pop(name, None)
    skeleton.update(delta.plain)
    # The type asks for at least one model; the real ones are put back below.
    skeleton["models"] = msgspec.to_builtins(before.models[:1])
    return msgspec.structs.replace(msgspec.convert(skeleton, Document), **kept)


def _apply_collection(rows: list[Any], change: CollectionDelta, kind: type) -> list[Any]:
    merged = {row.name: row for row in rows}
    for name in change.removed:
        merged.pop(name, None)
    for raw in change.put:
        merged[raw["name"]] = msgspec.convert(raw, kind)
    if change.order is None:
        return list(merged.values())
    return [merged[name] for name in change.order]
