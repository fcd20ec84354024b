"""Output and error files of jobs, assembled from result bundles when they are read."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..ids import ObjectHash
from .records import decode_bundle

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..store.replicas import ReplicatedStore
    from .records import ChunkRecord, ItemResult, JobRecord
    from .repository import Repository


class OutputKind(Enum):
    """The two result files of a job: successful items, and failed items."""

    OUTPUT = "output"
    ERROR = "error"


def output_file_id(job_id: str, kind: OutputKind) -> str:
    """Return the file id of a job's output or error file."""
    return f"file-{job_id}-{kind.value}"


def parse_output_file_id(file_id: str) -> tuple[str, OutputKind] | None:
    """Return the job id and kind from a file id, or None for an uploaded file."""
    for kind in OutputKind:
        suffix = f"-{kind.value}"
        if file_id.startswith("file-batch_") and file_id.endswith(suffix):
            return file_id.removeprefix("file-").removesuffix(suffix), kind
    return None


async def read_output(
    repository: Repository, store: ReplicatedStore, job: JobRecord, kind: OutputKind
) -> AsyncIterator[bytes]:
    """Yield the lines of a job's results in input order, one chunk at a time.

    While the job is in progress, these are the results committed so far.
    """
    states = await repository.chunks(job.job_id)
    for number in sorted(states):
        results = await read_chunk_results(store, states[number].record)
        wanted = [
            bytes(result.line) for result in results if result.ok is (kind is OutputKind.OUTPUT)
        ]
        if wanted:
            yield b"\n".join(wanted) + b"\n"


async def read_chunk_results(store: ReplicatedStore, chunk: ChunkRecord) -> list[ItemResult]:
    """Return the committed results of a chunk in input order."""
    results: list[ItemResult] = []
    for bundle in chunk.bundles:
        results.extend(decode_bundle(await store.get(ObjectHash(bundle.hash))))
    return sorted(results, key=lambda result: result.index)
