"""The files of the spool: one file for each job, which is either complete or absent."""

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
MAX_FILL_SHARE = 0.5
"""Share of the disk that jobs may fill. The rest is for files that are being replaced and for
incomplete ones."""


class SpoolDisk:
    """The job files in one data folder.

    :param disk_mb: size of the disk in megabytes.
    :ivar jobs: folder of the complete files, named by job id.
    :ivar temporary: folder of files that are being written; emptied at the start.
    :ivar max_bytes: most bytes that job files may fill.
    :ivar sizes: size of each job's file in bytes.
    """

    def __init__(self, folder: Path, disk_mb: int) -> None:
        self.jobs = folder / "spool"
        self.temporary = folder / "spool-temporary"
        self.max_bytes = int(disk_mb * MEGABYTE * MAX_FILL_SHARE)
        self.sizes: dict[str, int] = {}
        self.jobs.mkdir(parents=True, exist_ok=True)
        self.temporary.mkdir(parents=True, exist_ok=True)
        sync_folder(folder)
        for leftover in self.temporary.iterdir():
            leftover.unlink()

    def put(self, job: SpooledJob) -> None:
        """Write a job durably, so that it survives a power loss.

        :raises StoreError: the spool is full, or the disk failed and the job may be stored or not.
        """
        raw = encode_job(job)
        if sum(self.sizes.values()) + len(raw) > self.max_bytes:
            raise StoreError("the spool is full")
        try:
            write_durably(self.jobs / job.id, self.temporary / job.id, raw)
        except OSError as error:
            raise StoreError(f"could not write the job to disk: {error!r}") from error
        self.sizes[job.id] = len(raw)

    def read_all(self) -> list[SpooledJob]:
        """Return every job that can be decoded, and log the other files.

        Called once, at the start.
        """
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
        """Delete a job that the key-value service has.

        The deletion is not synced, so the job may be back after a power loss.
        """
        self.sizes.pop(job_id, None)
        (self.jobs / job_id).unlink(missing_ok=True)
