"""Stores parts of a job that exceed one value of the key-value service as fragments.

The key of such a part holds a :class:`FragmentedPart` that names the fragments. They are written
before it, under keys that contain a digest of the part and the size of its fragments: writing them
again has no effect, whichever host does it and whenever a write without an answer is applied.
Fragments that no part names are never read.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from ..errors import KvUnavailable, KvUncertain, KvUnreadable
from ..kv.service import Put, Transaction
from ..util.structs import Struct
from .records import FragmentedPart, decode_value, fragment_prefix, part_key

if TYPE_CHECKING:
    from ..ids import JobId
    from ..kv.service import KeyValue, KeyValueService

MAX_FRAGMENTS_PER_WRITE = 24
"""Most fragments in one transaction, which takes 32 entries."""
MAX_WRITE_BYTES = 2 << 20
"""Most bytes in one transaction, unless its first value is larger: other hosts relay requests of up
to 8 MB only."""
MIN_WRITE_BYTES = 256 << 10
"""Bytes of a transaction below which it is not made smaller although it gets no answer."""
LIMIT_STEP_BYTES = 64 << 10
"""Bytes by which the limit is raised. Small steps make few writes exceed what gets through."""
MAX_WRITE_ATTEMPTS = 3
"""Most attempts in a row that get no answer."""


class WriteLimit(Struct):
    """Limit of the bytes in one transaction of a host.

    A transaction that takes longer to transfer than the timeout of a call never gets an answer,
    however often it is sent. On a slow or busy link, the limit follows what gets through.

    :ivar max_bytes: most bytes in the next transaction.
    """

    max_bytes: int = MAX_WRITE_BYTES

    @property
    def is_reduced(self) -> bool:
        """Whether large transactions got no answer lately."""
        return self.max_bytes < MAX_WRITE_BYTES

    def note_answer(self, transaction: Transaction) -> None:
        """Raise the limit a little after an answer to a transaction close to it."""
        if transaction.value_bytes * 2 >= self.max_bytes:
            self.max_bytes = min(MAX_WRITE_BYTES, self.max_bytes + LIMIT_STEP_BYTES)

    def note_timeout(self, transaction: Transaction) -> None:
        """Halve the limit if a large transaction got no answer."""
        if transaction.value_bytes > MIN_WRITE_BYTES:
            exceeded = min(self.max_bytes, transaction.value_bytes)
            self.max_bytes = max(MIN_WRITE_BYTES, exceeded // 2)


def select_parts(items: tuple[KeyValue, ...], prefix: str, count: int) -> tuple[KeyValue, ...]:
    """Return the first *count* parts among the keys below a prefix.

    :raises KvUnreadable: they are not all there.
    """
    # Keys of another writer may lie between those of the parts.
    found = {item.key: item for item in items}
    keys = [part_key(prefix, number) for number in range(min(count, len(found)))]
    if len(keys) < count or not all(key in found for key in keys):
        raise KvUnreadable(f"{sum(key in found for key in keys)} of {count} parts found: {prefix}")
    return tuple(found[key] for key in keys)


class FragmentStore(Struct):
    """Writes and reads the fragments of large parts.

    :param limit: limit of the transactions of this host.
    """

    kv: KeyValueService
    limit: WriteLimit

    async def store_large_parts(
        self, job_id: JobId, parts: list[bytes], max_bytes: int
    ) -> list[bytes]:
        """Return the values for the keys of *parts*; the larger ones are stored as fragments.

        :param max_bytes: size in bytes of the largest value, and of a fragment.
        :raises KvUnavailable: a part could not be stored.
        """
        return [
            part if len(part) <= max_bytes else await self._store(job_id, part, max_bytes)
            for part in parts
        ]

    async def _store(self, job_id: JobId, part: bytes, max_bytes: int) -> bytes:
        digest = hashlib.sha256(part).hexdigest()
        fragmented = FragmentedPart(digest, len(part), max_bytes)
        prefix = fragment_prefix(job_id, fragmented)
        fragments = [part[start : start + max_bytes] for start in range(0, len(part), max_bytes)]
        puts = [
            Put(part_key(prefix, number), fragment) for number, fragment in enumerate(fragments)
        ]
        attempts = 0
        while puts:
            per_write = max(1, min(MAX_FRAGMENTS_PER_WRITE, self.limit.max_bytes // max_bytes))
            transaction = Transaction((), tuple(puts[:per_write]))
            try:
                await self.kv.transact(transaction)
            except KvUncertain as error:
                self.limit.note_timeout(transaction)
                attempts += 1
                if attempts == MAX_WRITE_ATTEMPTS:
                    # Nothing names the fragments yet, so a late write of them has no effect.
                    raise KvUnavailable(f"fragments could not be written: {error}") from error
                continue
            self.limit.note_answer(transaction)
            attempts = 0
            del puts[:per_write]
        return msgspec.msgpack.encode(fragmented)

    async def load_large_parts(self, job_id: JobId, values: list[bytes]) -> list[bytes]:
        """Return the parts that *values* hold, or that they name.

        :raises KvUnreadable: a value is not a part, or its fragments are not those that it names.
        :raises KvError: fragments could not be read.
        """
        return [await self._load(job_id, value) for value in values]

    async def _load(self, job_id: JobId, value: bytes) -> bytes:
        part = decode_value(value, FragmentedPart | list[msgspec.Raw])
        if not isinstance(part, FragmentedPart):
            return value
        if part.size < 0 or part.fragment_bytes <= 0:
            raise KvUnreadable(f"{part.size} bytes in fragments of {part.fragment_bytes} bytes")
        prefix = fragment_prefix(job_id, part)
        count = -(-part.size // part.fragment_bytes)
        found = select_parts((await self.kv.range(prefix)).items, prefix, count)
        raw = b"".join(fragment.value for fragment in found)
        if hashlib.sha256(raw).hexdigest() != part.digest:
            raise KvUnreadable(f"{len(raw)} of {part.size} bytes found below {prefix}")
        return raw
