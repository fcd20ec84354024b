"""Conversion of files and jobs to the objects of the OpenAI-compatible API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..util.clock import wall_seconds
from .output import OutputKind, output_file_id
from .records import JobState

if TYPE_CHECKING:
    from .records import FileRecord, JobRecord

COMPLETION_WINDOWS_S = {"1h": 3600, "4h": 14400, "8h": 28800, "24h": 86400, "72h": 259200}
"""Allowed completion windows, in seconds."""


def file_to_api(record: FileRecord) -> dict[str, Any]:
    """Return the API object of an uploaded file."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size,
        "created_at": record.created_at,
        "filename": record.filename,
        "purpose": record.purpose,
        "status": "processed",
    }


def output_file_to_api(job: JobRecord, kind: OutputKind) -> dict[str, Any]:
    """Return the API object of a result file. Its size is 0, because it is assembled on read."""
    return {
        "id": output_file_id(job.job_id, kind),
        "object": "file",
        "bytes": 0,
        "created_at": job.finished_at or job.created_at,
        "filename": f"{job.job_id}_{kind.value}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def job_to_api(job: JobRecord) -> dict[str, Any]:
    """Return the API object of a job, with its progress."""
    done = job.completed + job.failed
    ended = job.state is not JobState.IN_PROGRESS
    stamp = job.finished_at or None
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.file_id,
        "completion_window": job.window,
        "status": job.state.value,
        "output_file_id": output_file_id(job.job_id, OutputKind.OUTPUT) if done else None,
        "error_file_id": output_file_id(job.job_id, OutputKind.ERROR) if job.failed else None,
        "created_at": job.created_at,
        "in_progress_at": job.created_at,
        "expires_at": job.deadline_at,
        "finalizing_at": stamp if job.state is JobState.COMPLETED else None,
        "completed_at": stamp if job.state is JobState.COMPLETED else None,
        "failed_at": None,
        "expired_at": stamp if job.state is JobState.EXPIRED else None,
        "cancelling_at": stamp if job.state is JobState.CANCELLED else None,
        "cancelled_at": stamp if job.state is JobState.CANCELLED else None,
        "request_counts": {"total": job.items, "completed": job.completed, "failed": job.failed},
        "metadata": job.metadata,
        "progress": None if ended else _progress(job, done),
    }


def _progress(job: JobRecord, done: int) -> dict[str, Any]:
    """Return the mean rate since the job was accepted, and the finish time it implies."""
    age = max(1, wall_seconds() - job.created_at)
    rate = done / age
    expected = wall_seconds() + round((job.items - done) / rate) if rate else None
    return {"items_per_s": round(rate, 3), "expected_finish_at": expected}
