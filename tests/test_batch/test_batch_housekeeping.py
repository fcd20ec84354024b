"""Housekeeping beside records of another writer, and of programs of a newer version."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gradepoint.batch.housekeeping import Housekeeper
from gradepoint.batch.records import JobState, chunk_key, file_key, job_key
from gradepoint.batch.repository import Repository
from gradepoint.kv.service import Put, Transaction
from gradepoint.online.claims import Claim, ClaimState, claim_key
from gradepoint.standins.memory_kv import MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.fleet import Fleet

NAME = "ab" * 32
FOREIGN = {
    "nested": b'{"unknown":' + b"[" * 5000 + b"]" * 5000 + b"}",
    "no text": b"\xff\x00",
    "newer format": msgspec.json.encode(
        {"file": {"id": "file-job"}, "objects": [{"sha256": NAME}], "state": "paused"}
    ),
}


def make_housekeeper(fleet: Fleet) -> Housekeeper:
    """Return a housekeeper whose retention has passed for everything that has ended."""
    retention = SimpleNamespace(results_days=-1, answers_days=-1, orphan_hours=0)
    config: Any = SimpleNamespace(document=SimpleNamespace(retention=retention), record=object())
    store: Any = None
    return Housekeeper(MemoryKvClient(fleet.store), store, config, lambda: True)


@pytest.mark.parametrize("name", FOREIGN)
def test_foreign_records_do_not_stop_retention(name: str) -> None:
    """Nothing was deleted any more, on any host, as long as the record stood."""

    async def main() -> None:
        fleet = Fleet(1)
        await fleet.accept_job("job", 8)
        await fleet.accept_job("ended", 8)
        repository = Repository(MemoryKvClient(fleet.store))
        await repository.cancel("org", "ended")
        claim = Claim("digest", ClaimState.DONE, "h0", "writer", True, 0)
        old = claim_key("org", "old")
        fleet.store.apply(Transaction((), (Put(old, msgspec.json.encode(claim)),)))
        keys = [
            job_key("org", "broken"),
            file_key("org", "file-broken"),
            chunk_key("broken", 0),
            claim_key("org", "broken"),
        ]
        fleet.store.apply(Transaction((), tuple(Put(key, FOREIGN[name]) for key in keys)))
        housekeeper = make_housekeeper(fleet)
        await housekeeper.expire_records()
        left = set(fleet.store.keys)
        assert not left & {job_key("org", "ended"), file_key("org", "file-ended"), old}
        assert {job_key("org", "job"), file_key("org", "file-job"), *keys} <= left
        job, _ = await repository.job("org", "job")
        assert job is not None and job.state is JobState.IN_PROGRESS

    run_virtual(main())


def test_objects_and_files_of_an_unreadable_record_are_kept() -> None:
    """An object would be deleted that a record of a newer version refers to."""

    async def main() -> None:
        fleet = Fleet(1)
        await fleet.accept_job("job", 8)
        fleet.store.keys.pop(job_key("org", "job"))
        put = Put(job_key("org", "newer"), FOREIGN["newer format"])
        chunk = Put(chunk_key("newer", 0), FOREIGN["newer format"])
        fleet.store.apply(Transaction((), (put, chunk)))
        housekeeper = make_housekeeper(fleet)
        await housekeeper.expire_records()
        assert file_key("org", "file-job") in fleet.store.keys
        assert {NAME, *fleet.objects} == await housekeeper.referenced()

    run_virtual(main())
