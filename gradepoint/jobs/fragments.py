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
    from ..kv.service import KeyValueService

MAX_FRAGMENTS_PER_WRITE = 24
"""Most fragments in one transaction, which takes 32 entries."""
MAX_WRITE_BYTES = 2 << 20
"""Most bytes in one transaction, unless its first value is larger. A write that takes long to
transfer times out, and other hosts relay requests of up to 8 MB only."""
MAX_WRITE_ATTEMPTS = 3
"""Most attempts of a write that gets no answer."""


class FragmentStore(Struct):
    """Writes and reads the fragments of large parts."""

    kv: KeyValueService

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
        per_write = max(1, min(MAX_FRAGMENTS_PER_WRITE, MAX_WRITE_BYTES // max_bytes))
        for start in range(0, len(puts), per_write):
            await self._write(tuple(puts[start : start + per_write]))
        return msgspec.msgpack.encode(fragmented)

    async def _write(self, puts: tuple[Put, ...]) -> None:
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self.kv.transact(Transaction((), puts))
                return
            except KvUncertain as error:
                uncertain = error
        # Nothing names the fragments yet, so a late write of them has no effect on the job.
        raise KvUnavailable(f"fragments could not be written: {uncertain}") from uncertain

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
        prefix = fragment_prefix(job_id, part)
        raw = b"".join(fragment.value for fragment in (await self.kv.range(prefix)).items)
        if hashlib.sha256(raw).hexdigest() != part.digest:
            raise KvUnreadable(f"{len(raw)} of {part.size} bytes found below {prefix}")
        return raw
