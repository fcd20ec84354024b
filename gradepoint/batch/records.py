"""Records of files, jobs and chunks in the key-value service, and their keys."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..ids import FileId, JobId

FILES_PREFIX = "/gradepoint/files/"
JOBS_PREFIX = "/gradepoint/jobs/"
ACTIVE_PREFIX = "/gradepoint/active/"
CHUNKS_PREFIX = "/gradepoint/chunks/"


class JobState(Enum):
    """States of a job; all but the first are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """One part of a file: a bulk object.

    :param lines: lines in it; a segment of a batch file is one chunk of its jobs.
    """

    hash: str
    size: int
    lines: int


class FileRecord(msgspec.Struct, frozen=True):
    """An uploaded file; *writer* tells apart whose upload wrote it."""

    file_id: str
    organisation: str
    filename: str
    purpose: str
    size: int
    lines: int
    created_at: int
    segments: tuple[Segment, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """A batch job.

    :param digest: of its parameters, to tell a resend from another job under one key.
    :param deadline_at: Unix seconds.
    """

    job_id: str
    organisation: str
    file_id: str
    endpoint: str
    window: str
    digest: str
    created_at: int
    deadline_at: int
    chunks: int
    items: int
    state: JobState = JobState.IN_PROGRESS
    metadata: dict[str, str] | None = None
    completed: int = 0
    failed: int = 0
    finished_at: int = 0


class ActiveJob(msgspec.Struct, frozen=True):
    """Index entry of a job in progress: what a worker needs to choose."""

    job_id: str
    organisation: str
    file_id: str
    endpoint: str
    chunks: int
    deadline_at: int


class Bundle(msgspec.Struct, frozen=True, array_like=True):
    """Results of some items of a chunk, kept as one bulk object."""

    hash: str
    items: tuple[int, ...]
    failed: int


class ChunkRecord(msgspec.Struct, frozen=True):
    """A chunk: who works on it and which results count.

    :param epoch: rises with each claim; a commit names the epoch it was claimed with.
    :param intents: not-repeatable items that may have been sent.
    :param suspects: item to the times that a target was lost while it ran.
    """

    job_id: str
    number: int
    items: int
    epoch: int = 0
    holder: str = ""
    writer: str = ""
    bundles: tuple[Bundle, ...] = ()
    intents: tuple[int, ...] = ()
    suspects: dict[int, int] = {}

    @property
    def done(self) -> set[int]:
        """Items whose result counts."""
        return {item for bundle in self.bundles for item in bundle.items}

    @property
    def done_count(self) -> int:
        """Number of items whose result counts."""
        return sum(len(bundle.items) for bundle in self.bundles)

    @property
    def failed_count(self) -> int:
        """Number of items that ended as failed."""
        return sum(bundle.failed for bundle in self.bundles)

    @property
    def complete(self) -> bool:
        """Whether every item has a result."""
        return self.done_count >= self.items


class ItemResult(msgspec.Struct, frozen=True):
    """One result within a bundle object.

    :param line: the line of the output or error file.
    """

    index: int
    ok: bool
    line: msgspec.Raw


def file_key(organisation: str, file_id: FileId | str) -> str:
    """Return a file record's key."""
    return f"{FILES_PREFIX}{organisation}/{file_id}"


def job_key(organisation: str, job_id: JobId | str) -> str:
    """Return a job record's key."""
    return f"{JOBS_PREFIX}{organisation}/{job_id}"


def active_key(job_id: JobId | str) -> str:
    """Return the key of a job's index entry."""
    return f"{ACTIVE_PREFIX}{job_id}"


def chunks_prefix(job_id: JobId | str) -> str:
    """Return the prefix of a job's chunk records."""
    return f"{CHUNKS_PREFIX}{job_id}/"


def chunk_key(job_id: JobId | str, number: int) -> str:
    """Return a chunk record's key; sorts by number."""
    return f"{chunks_prefix(job_id)}{number:06d}"


def encode_bundle(results: list[ItemResult]) -> bytes:
    """Return the bulk object of some results."""
    return msgspec.json.encode(results)


def decode_bundle(data: bytes) -> list[ItemResult]:
    """Return the results of a bulk object."""
    return msgspec.json.decode(data, type=list[ItemResult])
