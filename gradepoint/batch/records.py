"""Records of files, jobs and chunks in the key-value service, and their keys.

The field names are stored, so they must not change.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Annotated

import msgspec

from ..util import decoding

if TYPE_CHECKING:
    from ..ids import FileId, JobId

FILES_PREFIX = "/gradepoint/files/"
JOBS_PREFIX = "/gradepoint/jobs/"
ACTIVE_PREFIX = "/gradepoint/active/"
CHUNKS_PREFIX = "/gradepoint/chunks/"


Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 53) - 1)]
"""A number or a time in seconds that programs of all versions write. Larger ones cannot be encoded
again."""


class JobState(Enum):
    """State of a job.

    A job starts as ``IN_PROGRESS``. It changes once, to ``COMPLETED`` (every item has a
    result), ``CANCELLED`` (by the caller) or ``EXPIRED`` (past its deadline).
    """

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A part of an uploaded file, stored as one bulk object.

    :param hash: name of the object.
    :param size: size in bytes.
    :param lines: number of lines. A segment of a batch file is one chunk of each of its jobs.
    """

    hash: str
    size: Count
    lines: Count


class FileRecord(msgspec.Struct, frozen=True):
    """An uploaded file.

    :param size: size in bytes.
    :param created_at: Unix seconds.
    """

    file_id: str
    organisation: str
    filename: str
    purpose: str
    size: Count
    lines: Count
    created_at: Count
    segments: tuple[Segment, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """A batch job.

    :param digest: hash of the parameters, which distinguishes a resend from another job with
        the same idempotency key.
    :param deadline_at: Unix seconds; a job still in progress then expires.
    :param chunks: number of chunks.
    :param items: number of items.
    :param completed: number of successful items; set when the job completes.
    :param failed: number of failed items; set when the job completes.
    """

    job_id: str
    organisation: str
    file_id: str
    endpoint: str
    window: str
    digest: str
    created_at: Count
    deadline_at: Count
    chunks: Count
    items: Count
    state: JobState = JobState.IN_PROGRESS
    metadata: dict[str, str] | None = None
    completed: Count = 0
    failed: Count = 0
    finished_at: Count = 0


class ActiveJob(msgspec.Struct, frozen=True):
    """Index entry of a job in progress, with the fields that workers need to select jobs."""

    job_id: str
    organisation: str
    file_id: str
    endpoint: str
    chunks: Count
    deadline_at: Count


class Bundle(msgspec.Struct, frozen=True, array_like=True):
    """Reference to the committed results of some items, stored as one bulk object.

    :param hash: name of the object.
    :param items: indexes of the items.
    :param failed: number of failed items among them.
    """

    hash: str
    items: tuple[Count, ...]
    failed: Count


class ChunkRecord(msgspec.Struct, frozen=True):
    """A chunk of a job: the host that works on it, and its committed results.

    :param items: number of items.
    :param epoch: fencing number, incremented by each claim. A commit is rejected unless the
        epoch is still that of its claim.
    :param holder: host that works on the chunk, or an empty string.
    :param writer: unique token of the last claim, which shows whose write took effect.
    :param bundles: committed results.
    :param intents: items that are not repeatable, may have been sent and have no result.
    :param suspects: number of targets lost while an item ran, by item.
    """

    job_id: str
    number: Count
    items: Count
    epoch: Count = 0
    holder: str = ""
    writer: str = ""
    bundles: tuple[Bundle, ...] = ()
    intents: tuple[Count, ...] = ()
    suspects: dict[Count, Count] = {}

    @property
    def done(self) -> set[int]:
        """Indexes of the items with a committed result."""
        return {item for bundle in self.bundles for item in bundle.items}

    @property
    def done_count(self) -> int:
        """Number of items with a committed result."""
        return sum(len(bundle.items) for bundle in self.bundles)

    @property
    def failed_count(self) -> int:
        """Number of items with a committed failure."""
        return sum(bundle.failed for bundle in self.bundles)

    @property
    def complete(self) -> bool:
        """Whether every item has a committed result."""
        return self.done_count >= self.items


class ItemResult(msgspec.Struct, frozen=True):
    """The result of one item within a bundle object.

    :param index: index of the item in its chunk.
    :param ok: whether the line belongs to the output file; otherwise to the error file.
    :param line: the JSON line.
    """

    index: int
    ok: bool
    line: msgspec.Raw


def file_key(organisation: str, file_id: FileId | str) -> str:
    """Return the key of a file record."""
    return f"{FILES_PREFIX}{organisation}/{file_id}"


def job_key(organisation: str, job_id: JobId | str) -> str:
    """Return the key of a job record."""
    return f"{JOBS_PREFIX}{organisation}/{job_id}"


def active_key(job_id: JobId | str) -> str:
    """Return the key of the index entry of a job in progress."""
    return f"{ACTIVE_PREFIX}{job_id}"


def key_of_file(record: FileRecord) -> str:
    """Return the key of a file record."""
    return file_key(record.organisation, record.file_id)


def key_of_job(record: JobRecord) -> str:
    """Return the key of a job record."""
    return job_key(record.organisation, record.job_id)


def key_of_active_job(record: ActiveJob) -> str:
    """Return the key of an index entry."""
    return active_key(record.job_id)


def key_of_chunk(record: ChunkRecord) -> str:
    """Return the key of a chunk record."""
    return chunk_key(record.job_id, record.number)


def chunks_prefix(job_id: JobId | str) -> str:
    """Return the key prefix of the chunk records of a job."""
    return f"{CHUNKS_PREFIX}{job_id}/"


def chunk_key(job_id: JobId | str, number: int) -> str:
    """Return the key of a chunk record; keys of one job sort by chunk number."""
    return f"{chunks_prefix(job_id)}{number:06d}"


def encode_bundle(results: list[ItemResult]) -> bytes:
    """Encode results as the content of a bulk object."""
    return msgspec.json.encode(results)


def decode_bundle(data: bytes) -> list[ItemResult]:
    """Decode results from the content of a bulk object."""
    return decoding.decode_json(data, list[ItemResult])
