"""The spool's files: one a job, whole or not there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import StoreError
from ..telemetry.logs import emit
from ..util.files import sync_folder, write_durably
from .records import SpooledJob, decode_job, encode_job

if TYPE_CHECKING:
    from pathlib import Path

    from ..ids import JobId

MEGABYTE = 1 << 20
HELD_SHARE = 0.5
"""Share of the disk that jobs may fill: the rest is for files that are replaced or torn."""


class SpoolDisk:
    """Jobs in one data folder.

    :param disk_mb: size of the disk in megabytes.
    :ivar sizes: bytes of each job's file.
    """

    def __init__(self, folder: Path, disk_mb: int) -> None:
        self.jobs = folder / "spool"
        self.temporary = folder / "spool-temporary"
        self.most_bytes = int(disk_mb * MEGABYTE * HELD_SHARE)
        self.sizes: dict[str, int] = {}
        self.jobs.mkdir(parents=True, exist_ok=True)
        self.temporary.mkdir(parents=True, exist_ok=True)
        sync_folder(folder)
        for left_over in self.temporary.iterdir():
            left_over.unlink()

    def put(self, job: SpooledJob) -> None:
        """Keep a job so that it survives a loss of power.

        :raises StoreError: the disk is full or failed; the job may be kept or not.
        """
        raw = encode_job(job)
        if sum(self.sizes.values()) + len(raw) > self.most_bytes:
            raise StoreError("the spool is full")
        try:
            write_durably(self.jobs / job.id, self.temporary / job.id, raw)
        except OSError as error:
            raise StoreError(f"the disk failed: {error!r}") from error
        self.sizes[job.id] = len(raw)

    def read_all(self) -> list[SpooledJob]:
        """Return every kept job; called once at the start."""
        found = []
        for path in sorted(self.jobs.iterdir()):
            raw = path.read_bytes()
            try:
                job = decode_job(raw)
            except msgspec.DecodeError as error:
                emit(events.SPOOL_UNREADABLE, job=path.name, reason=str(error))
                continue
            self.sizes[job.id] = len(raw)
            found.append(job)
        return found

    def delete(self, job_id: JobId) -> None:
        """Forget a job that the key-value service has; it may come back after a loss of power."""
        self.sizes.pop(job_id, None)
        (self.jobs / job_id).unlink(missing_ok=True)
