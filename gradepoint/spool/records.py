"""What a data host keeps of a job until the key-value service has it."""

from __future__ import annotations

import msgspec

from ..ids import ItemId, JobId
from ..jobs.records import Item, JobState


class SpooledJob(msgspec.Struct, frozen=True, array_like=True):
    """A job as it will be created in the key-value service."""

    id: JobId
    state: JobState
    items: list[Item]

    @property
    def tokens(self) -> int:
        """Tokens that wait with it."""
        return sum(self.state.item_tokens)

    def find_body(self, item_id: ItemId) -> bytes | None:
        """Return the body of an item, None if the job has no such item."""
        return next((item.body for item in self.items if item.id == item_id), None)


class SpoolRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a data host to keep a job.

    :param most_tokens: tokens that one data host may hold of those that share the job's limit; 0
        for no bound.
    """

    job: SpooledJob
    most_tokens: int


def encode_job(job: SpooledJob) -> bytes:
    """Encode a job for the disk."""
    return msgspec.msgpack.encode(job)


def decode_job(raw: bytes) -> SpooledJob:
    """Decode a job from the disk.

    :raises msgspec.DecodeError: the file is not one of this version.
    """
    return msgspec.msgpack.decode(raw, type=SpooledJob)
