"""Decodes records of the key-value service, some of which another writer may have overwritten."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from .. import events
from ..errors import DecodingError, GradepointError, KvUnreadable
from ..util import decoding

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .service import KeyValue
    from .unreadable import UnreadableRows

T = TypeVar("T")


def decode_record(item: KeyValue, kind: type[T], make_key: Callable[[T], str] | None = None) -> T:
    """Decode one record.

    :param make_key: returns the key that belongs to a record. A record under another key would be
        taken for the one that it names.
    :raises KvUnreadable: the value is no *kind*, or one of another key.
    """
    try:
        record = decoding.decode_json(item.value, kind)
    except DecodingError as error:
        raise KvUnreadable(f"The value of {item.key!r} is no {kind.__name__}: {error}") from error
    if make_key is not None and make_key(record) != item.key:
        raise KvUnreadable(f"The record under {item.key!r} belongs under {make_key(record)!r}")
    return record


def require_record(item: KeyValue, kind: type[T], make_key: Callable[[T], str]) -> T:
    """Decode the record that a caller asks for; see :func:`decode_record`.

    :raises GradepointError: ``record_unreadable``.
    """
    try:
        return decode_record(item, kind, make_key)
    except KvUnreadable as error:
        raise GradepointError("record_unreadable", f"{error}.") from error


def decode_records(
    items: Iterable[KeyValue],
    kind: type[T],
    unreadable: UnreadableRows,
    make_key: Callable[[T], str] | None = None,
) -> Iterator[tuple[KeyValue, T]]:
    """Yield the records that can be decoded, with their rows; the others are logged."""
    for item in items:
        try:
            record = decode_record(item, kind, make_key)
        except KvUnreadable as error:
            unreadable.note(events.RECORD_UNREADABLE, item.key, str(error))
            continue
        unreadable.clear(item.key)
        yield item, record
