"""Records that data hosts receive and store."""

from __future__ import annotations

import sys

import msgspec

from ..errors import DecodingError
from ..ids import Incarnation, ItemId, JobId, OrganisationName
from ..jobs.records import Item, JobState
from ..util import decoding

Limit = tuple[str, OrganisationName | None]
"""Route and organisation whose limit of waiting tokens a job counts against."""


decode_item = decoding.make_msgpack_decoder(Item)


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


class JobOutline(msgspec.Struct, frozen=True):
    """What decisions about a job need.

    :param tokens: see :attr:`SpooledJob.tokens`.
    :param limit: the limit that the job shares with others.
    """

    id: JobId
    tokens: int
    limit: Limit
    items: int


class _RawRequest(msgspec.Struct, array_like=True):
    job: msgspec.Raw
    max_tokens_per_host: int


class _RawJob(msgspec.Struct, array_like=True):
    id: JobId
    state: msgspec.Raw
    items: list[msgspec.Raw]


def split_request(raw: bytes | bytearray) -> tuple[memoryview, int]:
    """Return the encoded job of a :class:`SpoolRequest`, and its *max_tokens_per_host*.

    :raises DecodingError: the request cannot be decoded.
    """
    request = decoding.decode_msgpack(raw, _RawRequest)
    return memoryview(request.job), request.max_tokens_per_host


def read_outline(raw: bytes | memoryview, max_state_bytes: int = sys.maxsize) -> JobOutline:
    """Check that an encoded job can be decoded; return its outline.

    Its items are decoded one at a time, since decoded items take more memory than encoded ones.

    :param max_state_bytes: most bytes of the job's state.
    :raises DecodingError: it cannot be decoded, or its state is larger.
    """
    job = decoding.decode_msgpack(raw, _RawJob)
    if len(memoryview(job.state)) > max_state_bytes:
        raise DecodingError(f"state of more than {max_state_bytes} bytes")
    state = decoding.decode_msgpack(job.state, JobState)
    for item in job.items:
        decode_item(item)
    limit = (sys.intern(state.route), state.organisation)
    return JobOutline(job.id, sum(state.item_tokens), limit, len(job.items))


def read_owner(raw: bytes | memoryview) -> Incarnation:
    """Return the host that accepted an encoded job.

    :raises DecodingError: the job cannot be decoded.
    """
    job = decoding.decode_msgpack(raw, _RawJob)
    return decoding.decode_msgpack(job.state, JobState).owner


def encode_job(job: SpooledJob) -> bytes:
    """Encode a job as the content of its file."""
    return msgspec.msgpack.encode(job)


def decode_job(raw: bytes) -> SpooledJob:
    """Decode a job from the content of its file.

    :raises DecodingError: the file is incomplete or was written by another version.
    """
    return decoding.decode_msgpack(raw, SpooledJob)
