"""Tests of the files in which a data host keeps spooled jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from gradepoint.errors import StoreError
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, JobState
from gradepoint.jobs.repository import JobRepository
from gradepoint.spool.bounds import derive_bounds
from gradepoint.spool.disk import PROBE_NAME, SpoolDisk
from gradepoint.spool.host import SpoolHost
from gradepoint.spool.records import SpooledJob, decode_job, encode_job
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.wire.http_client import HttpClient

if TYPE_CHECKING:
    from pathlib import Path


def make_job(name: str, body: bytes = b"body") -> SpooledJob:
    """Return a job with one item."""
    state = JobState("r", "h", Incarnation("a:1"), 0, [ItemId("i")], [10])
    return SpooledJob(JobId(name), state, [Item(ItemId("i"), "/p", [], body, 10)])


def put(disk: SpoolDisk, job: SpooledJob) -> None:
    """Write a job."""
    disk.put(job.id, encode_job(job))


def open_disk(folder: Path, disk_mb: int = 10) -> SpoolDisk:
    """Return the opened files of a data folder."""
    disk = SpoolDisk(folder, disk_mb)
    disk.open()
    return disk


def make_host(folder: Path) -> SpoolHost:
    """Return a data host that has loaded nothing yet."""
    kv = MemoryKvClient(MemoryKv())
    repository = JobRepository(kv, 1 << 20)
    return SpoolHost(SpoolDisk(folder, 10), kv, repository, HttpClient(), derive_bounds(0.0))


def load_host(folder: Path) -> SpoolHost:
    """Return a data host that has loaded its jobs, as after a start."""
    host = make_host(folder)

    async def start() -> None:
        await host.open_disk()
        await host.load_at_start()

    asyncio.run(start())
    return host


def load(folder: Path) -> list[SpooledJob]:
    """Return the jobs that a data host holds after a start."""
    host = load_host(folder)
    return [decode_job(host.disk.read(job_id)) for job_id in host.held]


def test_jobs_survive_restart_until_deleted(tmp_path: Path) -> None:
    """A new incarnation has to find every job that an earlier one confirmed."""
    disk = open_disk(tmp_path)
    jobs = [make_job("one"), make_job("two")]
    for job in jobs:
        put(disk, job)
    assert load(tmp_path) == jobs
    disk.delete(JobId("one"))
    disk.delete(JobId("never-kept"))
    assert load(tmp_path) == jobs[1:]


def test_incomplete_files_are_ignored(tmp_path: Path) -> None:
    """A power loss may leave incomplete files; they must not keep a data host from starting."""
    disk = open_disk(tmp_path)
    put(disk, make_job("whole"))
    (disk.jobs / "torn").write_bytes(b"\x94\xa4")
    (disk.temporary / "begun").write_bytes(b"\x94")
    assert [job.id for job in load(tmp_path)] == ["whole"]
    assert not list(disk.temporary.iterdir())


def test_full_spool_refuses_jobs(tmp_path: Path) -> None:
    """A job that is confirmed but does not fit on the disk would be lost."""
    disk = open_disk(tmp_path, 1)
    put(disk, make_job("one", b"x" * 400_000))
    with pytest.raises(StoreError):
        put(disk, make_job("two", b"x" * 400_000))
    disk.delete(JobId("one"))
    put(disk, make_job("two", b"x" * 400_000))


def test_disk_failure_raises_store_error(tmp_path: Path) -> None:
    """A job that could not be written must not be confirmed."""
    disk = open_disk(tmp_path)
    disk.temporary.rmdir()
    with pytest.raises(StoreError):
        put(disk, make_job("one"))


def test_job_with_the_name_of_the_probe_survives_a_restart(tmp_path: Path) -> None:
    """Callers choose the names of jobs, and so the names of files."""
    disk = SpoolDisk(tmp_path, 10)
    disk.open()
    put(disk, make_job(PROBE_NAME))
    SpoolDisk(tmp_path, 10).open()
    assert decode_job(disk.read(JobId(PROBE_NAME))) == make_job(PROBE_NAME)
