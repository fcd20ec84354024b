"""Records that data hosts receive and store."""

from __future__ import annotations

import msgspec

from ..ids import ItemId, JobId
from ..jobs.records import Item, JobState


class SpooledJob(msgspec.Struct, frozen=True, array_like=True):
    """A job with its items, as it will be created in the key-value service."""

    id: JobId
    state: JobState
    items: list[Item]

    @property
    def tokens(self) -> int:
        """Tokens of all items, because no item of a spooled job is listed yet."""
        return sum(self.state.item_tokens)

    def find_body(self, item_id: ItemId) -> bytes | None:
        """Return the body of an item, or None if the job has no such item."""
        return next((item.body for item in self.items if item.id == item_id), None)


class SpoolRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to a data host to keep a job.

    :param max_tokens_per_host: most tokens that one data host may hold of jobs that share the job's
        limit; 0 for no bound.
    """

    job: SpooledJob
    max_tokens_per_host: int


def encode_job(job: SpooledJob) -> bytes:
    """Encode a job as the content of its file."""
    return msgspec.msgpack.encode(job)


def decode_job(raw: bytes) -> SpooledJob:
    """Decode a job from the content of its file.

    :raises msgspec.DecodeError: the file is incomplete or was written by another version.
    """
    return msgspec.msgpack.decode(raw, type=SpooledJob)
