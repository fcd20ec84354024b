"""Tests of the files in which a data host keeps spooled jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gradepoint.errors import StoreError
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, JobState
from gradepoint.spool.disk import SpoolDisk
from gradepoint.spool.records import SpooledJob

if TYPE_CHECKING:
    from pathlib import Path


def make_job(name: str, body: bytes = b"body") -> SpooledJob:
    """Return a job with one item."""
    state = JobState("r", "h", Incarnation("a:1"), 0, [ItemId("i")], [10])
    return SpooledJob(JobId(name), state, [Item(ItemId("i"), "/p", [], body, 10)])


def test_jobs_survive_restart_until_deleted(tmp_path: Path) -> None:
    """A new incarnation has to find every job that an earlier one confirmed."""
    disk = SpoolDisk(tmp_path, 10)
    jobs = [make_job("one"), make_job("two")]
    for job in jobs:
        disk.put(job)
    assert SpoolDisk(tmp_path, 10).read_all() == jobs
    disk.delete(JobId("one"))
    disk.delete(JobId("never-kept"))
    assert SpoolDisk(tmp_path, 10).read_all() == jobs[1:]


def test_incomplete_files_are_ignored(tmp_path: Path) -> None:
    """A power loss may leave incomplete files; they must not keep a data host from starting."""
    disk = SpoolDisk(tmp_path, 10)
    disk.put(make_job("whole"))
    (disk.jobs / "torn").write_bytes(b"\x94\xa4")
    (disk.temporary / "begun").write_bytes(b"\x94")
    later = SpoolDisk(tmp_path, 10)
    assert [job.id for job in later.read_all()] == ["whole"]
    assert not list(later.temporary.iterdir())


def test_full_spool_refuses_jobs(tmp_path: Path) -> None:
    """A job that is confirmed but does not fit on the disk would be lost."""
    disk = SpoolDisk(tmp_path, 1)
    disk.put(make_job("one", b"x" * 400_000))
    with pytest.raises(StoreError):
        disk.put(make_job("two", b"x" * 400_000))
    disk.delete(JobId("one"))
    disk.put(make_job("two", b"x" * 400_000))


def test_disk_failure_raises_store_error(tmp_path: Path) -> None:
    """A job that could not be written must not be confirmed."""
    disk = SpoolDisk(tmp_path, 10)
    disk.temporary.rmdir()
    with pytest.raises(StoreError):
        disk.put(make_job("one"))
