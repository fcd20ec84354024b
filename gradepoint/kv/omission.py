"""Bounds of the values that are kept of a prefix, applied as soon as their page is decoded.

Another writer may leave thousands of values below a prefix that each host copies, each as large as
the service takes. A host could not hold them in memory. A value that cannot be a row of ours is
replaced by a hash, and a large one that can is shortened to what its readers use.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from .. import events
from ..errors import DecodingError
from ..util.structs import Struct, field
from .service import KeyValue
from .unreadable import UnreadableRows

if TYPE_CHECKING:
    from collections.abc import Callable

OMITTED = b"\x00omitted:"
"""Beginning of what replaces a value. No JSON and no array in msgpack begins with a zero byte, so
that no reader accepts it."""
HASH_BYTES = 8
SIZE_BYTES = 8
MAX_UNCHECKED_BYTES = 8 << 20
"""Bytes of keys and values of one range beyond which only sound values are kept. 3,000 targets have
1 MB, and a host may have 150 MB of memory for all its views and two reads of one."""
MAX_REMEMBERED = 10_000
"""Most omitted values that are remembered by key and revision; each takes half a kilobyte."""


class RowLimit(Struct, frozen=True):
    """Which values below a prefix are kept.

    :param prefix: beginning of the keys; a whole key if it does not end with a slash.
    :param max_bytes: most bytes that are kept of a value.
    :param is_sound: whether the value of a key is kept where a range has more than
        :data:`MAX_UNCHECKED_BYTES`.
    :param shorten: returns a larger value without the fields that no reader uses; raises
        :class:`~gradepoint.errors.DecodingError` if it cannot be read. All hosts of one version
        have to shorten a value to the same bytes. None to omit larger values.
    """

    prefix: str
    max_bytes: int
    is_sound: Callable[[str, bytes], bool]
    shorten: Callable[[bytes], bytes] | None = None

    def applies_to(self, key: str) -> bool:
        """Return whether this is a limit of *key*."""
        return key.startswith(self.prefix) if self.prefix.endswith("/") else key == self.prefix

    def find_kept(self, key: str, value: bytes, kept_bytes: int) -> bytes | None:
        """Return what is kept of a value, or None if it is omitted; see :func:`limit_row`."""
        if len(value) > self.max_bytes and self.shorten is not None:
            try:
                value = self.shorten(value)
            except DecodingError:
                return None
        if len(value) > self.max_bytes:
            return None
        return value if kept_bytes <= MAX_UNCHECKED_BYTES or self.is_sound(key, value) else None


RowLimits = tuple[RowLimit, ...]
"""Limits, of which the first that applies to a key counts. Other keys have none."""


def is_omitted(value: bytes) -> bool:
    """Return whether *value* stands for one that was omitted."""
    return value.startswith(OMITTED) and len(value) == len(OMITTED) + HASH_BYTES + SIZE_BYTES


def hash_row(key: str, value: bytes) -> bytes:
    """Return a hash of a key and its value; of an omitted value, the hash of the original."""
    if not is_omitted(value):
        return _hash(key, value)
    return value[len(OMITTED) : len(OMITTED) + HASH_BYTES]


def measure_value(value: bytes) -> int:
    """Return the size of a value in bytes; of an omitted value, that of the original."""
    return int.from_bytes(value[-SIZE_BYTES:]) if is_omitted(value) else len(value)


def _hash(key: str, value: bytes) -> bytes:
    digest = blake2b(b"%d %b" % (len(key), key.encode()), digest_size=HASH_BYTES)
    digest.update(value)
    return digest.digest()


def omit_value(row: KeyValue) -> KeyValue:
    """Return a row with the hash and the size of its value in place of the value."""
    value = OMITTED + _hash(row.key, row.value) + len(row.value).to_bytes(SIZE_BYTES)
    return KeyValue(row.key, value, row.revision, row.created, row.lease)


def limit_row(limits: RowLimits, row: KeyValue, kept_bytes: int = 0) -> KeyValue:
    """Return a row with what the limits allow of its value, or with a hash of the value.

    :param kept_bytes: bytes of the keys and values of the same range that are kept already.
    """
    if is_omitted(row.value):
        return row
    for limit in limits:
        if limit.applies_to(row.key):
            value = limit.find_kept(row.key, row.value, kept_bytes)
            if value is None:
                return omit_value(row)
            if value is row.value:
                return row
            return KeyValue(row.key, value, row.revision, row.created, row.lease)
    return row


def limit_rows(limits: RowLimits, rows: tuple[KeyValue, ...]) -> list[KeyValue]:
    """Return the rows of a range; see :func:`limit_row`."""
    limited = []
    kept_bytes = 0
    for row in rows:
        kept = limit_row(limits, row, kept_bytes)
        kept_bytes += len(kept.key) + len(kept.value)
        limited.append(kept)
    return limited


class RowReader(Struct):
    """Limits the rows that are read from the service.

    :ivar remembered: rows whose values were omitted, by key, so that a repeated read does not
        decode and hash them again.
    :ivar unreadable: names omitted values in the log.
    """

    limits: RowLimits = ()
    remembered: dict[str, KeyValue] = field(default_factory=dict)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def find_omitted(self, key: str, revision: int) -> KeyValue | None:
        """Return a row whose value was omitted at this revision."""
        known = self.remembered.get(key)
        return known if known is not None and known.revision == revision else None

    def read(self, row: KeyValue, kept_bytes: int = 0) -> KeyValue:
        """Return a row as :func:`limit_row` does.

        A stored value that looks like an omitted one is omitted, so that no writer can choose the
        hash of a row.
        """
        is_imitation = row.value.startswith(OMITTED)
        kept = omit_value(row) if is_imitation else limit_row(self.limits, row, kept_bytes)
        if not is_omitted(kept.value):
            if self.remembered.pop(row.key, None) is not None:
                self.unreadable.clear(row.key)
            return kept
        if len(self.remembered) >= MAX_REMEMBERED:
            self.remembered.clear()
        self.remembered[row.key] = kept
        self.unreadable.note(events.VALUE_OMITTED, row.key, f"{len(row.value)} bytes")
        return kept
