"""The files of the spool: one file for each job, which is either complete or absent."""

from __future__ import annotations

import errno
import os
import stat
from itertools import islice
from typing import TYPE_CHECKING

from .. import events
from ..errors import StoreError
from ..telemetry.logs import emit
from ..util.files import make_folder, sync_folder, write_durably

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from ..ids import JobId

MEGABYTE = 1 << 20
PROBE_NAME = "probe"
"""Name of an empty file that shows whether a folder can be changed."""
BATCH_FILES = 64
"""Files that are listed at a time."""
MAX_FILL_SHARE = 0.5
"""Share of the disk that jobs may fill. The rest is for files that are being replaced and for
incomplete ones."""


class SpoolDisk:
    """The job files in one data folder; :meth:`open` must succeed before other calls.

    :param disk_mb: size of the disk in megabytes.
    :ivar jobs: folder of the complete files, named by job id.
    :ivar temporary: folder of files that are being written; emptied at the start.
    :ivar max_bytes: most bytes that job files may fill.
    :ivar sizes: size of the file of each job that is held, in bytes.
    :ivar used_bytes: their sum.
    :ivar unread_bytes: size of the files of other jobs, as far as it is known.
    """

    def __init__(self, folder: Path, disk_mb: int) -> None:
        self.jobs = folder / "spool"
        self.temporary = folder / "spool-temporary"
        self.max_bytes = int(disk_mb * MEGABYTE * MAX_FILL_SHARE)
        self.sizes: dict[JobId, int] = {}
        self.used_bytes = 0
        self.unread_bytes = 0

    def open(self) -> None:
        """Create the folders and delete incomplete files; may be called again.

        :raises OSError: the folders cannot be used.
        """
        for folder in (self.jobs, self.temporary):
            make_folder(folder)
            _probe(folder / PROBE_NAME)
        # A predecessor may have been killed between a new name and its sync.
        for folder in (self.jobs, self.jobs.parent):
            sync_folder(folder)
        with os.scandir(self.temporary) as entries:
            for entry in entries:
                try:
                    os.unlink(entry.path)
                except OSError as error:
                    path = printable(entry.path)
                    emit(events.SPOOL_ENTRY_IGNORED, path=path, reason=error.strerror)

    def put(self, job_id: JobId, raw: bytes | memoryview) -> None:
        """Write an encoded job durably, so that it survives a power loss.

        :raises StoreError: the spool is full, or the disk failed and the job may be stored or not.
        """
        if self.used_bytes + self.unread_bytes + len(raw) > self.max_bytes:
            raise StoreError("the spool is full")
        try:
            write_durably(self.jobs / job_id, self.temporary / job_id, raw)
        except OSError as error:
            raise StoreError(f"could not write the job to disk: {error!r}") from error
        self.count(job_id, len(raw))

    def count(self, job_id: JobId, size: int) -> None:
        """Count the file of a job that is held."""
        self.used_bytes += size - self.sizes.get(job_id, 0)
        self.sizes[job_id] = size

    def list_batches(self) -> Iterator[list[str]]:
        """Yield the names in the folder of jobs, some at a time.

        :raises OSError: the folder cannot be read.
        """
        with os.scandir(self.jobs) as entries:
            while batch := sorted(entry.name for entry in islice(entries, BATCH_FILES)):
                yield batch

    def find_size(self, job_id: JobId) -> int | None:
        """Return the size of a job's file; None if it is not a regular file.

        Reading another entry may block.

        :raises OSError: there is none, or it is not known.
        """
        status = (self.jobs / job_id).lstat()
        return status.st_size if stat.S_ISREG(status.st_mode) else None

    def read(self, job_id: JobId) -> bytes:
        """Read a job's file.

        :raises OSError: the file does not exist or cannot be read now.
        """
        return (self.jobs / job_id).read_bytes()

    def delete(self, job_id: JobId) -> None:
        """Delete a job that the key-value service has.

        The deletion is not synced, so the job may be back after a power loss.

        :raises OSError: the file cannot be deleted.
        """
        (self.jobs / job_id).unlink(missing_ok=True)
        self.used_bytes -= self.sizes.pop(job_id, 0)


def _probe(path: Path) -> None:
    """Create and delete an empty file; a full disk is no error, since it still has its jobs.

    A file that exists is left: it may be a job of that name.

    :raises OSError: the folder cannot be changed.
    """
    try:
        path.touch(exist_ok=False)
    except FileExistsError:
        return
    except OSError as error:
        if error.errno not in {errno.ENOSPC, errno.EDQUOT}:
            raise
    path.unlink(missing_ok=True)


def is_file_name(name: str) -> bool:
    """Whether *name* names an entry of a folder, and no path to another place."""
    return name not in {"", ".", ".."} and not {"/", "\0"} & set(name)


def printable(path: str | Path) -> str:
    """Return a path for the log; names of files need not be text."""
    return os.fsencode(path).decode(errors="backslashreplace")
