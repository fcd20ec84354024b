"""Records of another writer among those of files, jobs and chunks cost themselves only."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gradepoint.batch.records import (
    ActiveJob,
    JobState,
    active_key,
    chunk_key,
    file_key,
    job_key,
)
from gradepoint.batch.repository import Repository
from gradepoint.errors import GradepointError
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.memory_kv import MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import wall_seconds
from tests.support.fleet import Fleet

NESTED = b'{"unknown":' + b"[" * 5000 + b"]" * 5000 + b"}"


FOREIGN_ENTRIES: dict[str, bytes | dict[str, Any]] = {
    "nested": NESTED,
    "no text": b"\xff\x00",
    "another job, past its deadline": {"job_id": "job", "deadline_at": 0},
    "no job record": {},
    "no job record, past its deadline": {"deadline_at": 0},
    "more chunks than its file": {"chunks": 1000, "file_id": "file-job"},
    "no chunks": {"chunks": 0},
    "number over 64 bits": {"deadline_at": 1 << 80},
    "no file": {"file_id": "file-other"},
    "file id that is no text": {"file_id": 7},
}


def encode_entry(job_id: str, foreign: bytes | dict[str, Any]) -> bytes:
    """Return an index entry of a job that comes before others, changed by *foreign*."""
    if isinstance(foreign, bytes):
        return foreign
    due = wall_seconds() + 1000
    entry = ActiveJob(job_id, "org", "file-job", "/v1/completions", 1, due)
    return msgspec.json.encode(msgspec.to_builtins(entry) | foreign)


def write(fleet: Fleet, key: str, value: bytes) -> None:
    """Write a record as another writer does."""
    fleet.store.apply(Transaction((), (Put(key, value),)))


@pytest.mark.parametrize("name", FOREIGN_ENTRIES)
def test_foreign_index_entry_does_not_stop_other_jobs(name: str) -> None:
    """An error of any kind ended the loop that claims chunks, on all hosts and for ever."""

    async def main() -> None:
        fleet = Fleet(1)
        for number in range(20):
            job_id = f"other{number}"
            write(fleet, active_key(job_id), encode_entry(job_id, FOREIGN_ENTRIES[name]))
        await fleet.start()
        await fleet.accept_job("job", 16)
        ended = await fleet.wait_finished("job", 120.0)
        assert ended.state is JobState.COMPLETED and ended.completed == 16
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("kind", ["job", "chunk", "file"])
def test_overwritten_record_of_one_job_does_not_stop_another(kind: str) -> None:
    async def main() -> None:
        fleet = Fleet(2)
        await fleet.accept_job("broken", 16)
        keys = {
            "job": job_key("org", "broken"),
            "chunk": chunk_key("broken", 0),
            "file": file_key("org", "file-broken"),
        }
        write(fleet, keys[kind], NESTED)
        await fleet.start()
        await fleet.accept_job("job", 16)
        ended = await fleet.wait_finished("job", 120.0)
        assert ended.state is JobState.COMPLETED and ended.completed == 16
        if kind == "chunk":
            assert sum(fleet.ran(f"broken/{index}") for index in range(8, 16)) == 8
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("value", [NESTED, b"\xff", b"{}"])
def test_listing_omits_an_unreadable_record_and_its_own_read_is_refused(value: bytes) -> None:
    """The whole listing was answered with 500 "internal"."""

    async def main() -> None:
        fleet = Fleet(3)
        job = await fleet.accept_job("job", 8)
        write(fleet, job_key("org", "other"), value)
        write(fleet, file_key("org", "file-other"), value)
        write(fleet, chunk_key("job", 0), value)
        repository = Repository(MemoryKvClient(fleet.store))
        assert [row.job_id for row in await repository.jobs("org")] == ["job"]
        assert [row.file_id for row in await repository.files("org")] == ["file-job"]
        assert (await repository.with_current_counts(job)).completed == 0
        for read in (repository.job("org", "other"), repository.file("org", "file-other")):
            with pytest.raises(GradepointError) as refused:
                await read
            assert refused.value.code == "record_unreadable"

    run_virtual(main())
