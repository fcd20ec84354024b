"""An exception in one job or file costs a data host that one only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from gradepoint.jobs.repository import JobRepository
from gradepoint.kv.service import Put, Transaction
from gradepoint.peers.presence import PRESENCE_PREFIX
from gradepoint.spool import host as host_module
from gradepoint.standins.memory_kv import MemoryKv
from gradepoint.standins.virtual_time import run_virtual
from tests.support.owed_jobs import make_owed_job
from tests.test_spool.test_spool_entry import JOBS, run_for, start_host

if TYPE_CHECKING:
    from pathlib import Path

BAD = make_owed_job(3, "h:x")[0]


def fail_for_bad(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, position: int) -> None:
    """Let a function raise an exception for the bad job.

    :param position: position of the argument that names the job.
    """
    former = getattr(owner, name)

    def call(*arguments: Any, **named: Any) -> Any:
        if arguments[position] == BAD or getattr(arguments[position], "id", None) == BAD:
            raise ZeroDivisionError("a fault")
        return former(*arguments, **named)

    monkeypatch.setattr(owner, name, call)


async def check_all_but_bad_are_entered(folder: Path, store: MemoryKv) -> None:
    """Run a data host that holds jobs, and check which it enters."""
    host, client = await start_host(folder, store)
    await run_for(host, 20.0)
    entered = {job.id for job in await JobRepository(client, 1 << 20).list_jobs()}
    assert len(entered) == JOBS - 1
    assert BAD not in entered
    assert host.disk.find_size(BAD)


@pytest.mark.parametrize("function", ["load", "accept"])
def test_job_that_raises_an_exception_stops_no_other_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, function: str
) -> None:
    # The loop ended in the middle of a round, and the other jobs of the round waited again.
    fail_for_bad(monkeypatch, JobRepository, function, 1)
    run_virtual(check_all_but_bad_are_entered(tmp_path, MemoryKv()))


def test_file_that_raises_an_exception_does_not_end_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The program ended at each start, for as long as the file was there.
    read = host_module.read_outline

    def read_unless_bad(raw: bytes, *arguments: Any) -> Any:
        outline = read(raw, *arguments)
        if outline.id == BAD:
            raise ZeroDivisionError("a fault")
        return outline

    monkeypatch.setattr(host_module, "read_outline", read_unless_bad)
    run_virtual(check_all_but_bad_are_entered(tmp_path, MemoryKv()))


def test_presence_that_raises_an_exception_stops_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: Any) -> None:
        raise ZeroDivisionError("a fault")

    async def work() -> None:
        store = MemoryKv()
        store.apply(Transaction((), (Put(PRESENCE_PREFIX + "other", b"row"),)))
        host, client = await start_host(tmp_path, store)
        monkeypatch.setattr(host_module.HostTable, "put", fail)
        await run_for(host, 20.0)
        assert len(await JobRepository(client, 1 << 20).list_jobs()) == JOBS

    run_virtual(work())
