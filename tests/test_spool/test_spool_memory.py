"""The memory of a data host, and what it refuses so as to stay within it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from bench.spool_memory import Load, Peak, make_job, make_largest_request, measure, send_request
from gradepoint.ids import JobId
from gradepoint.spool import bounds as bounds_module
from gradepoint.spool.bounds import derive_bounds
from gradepoint.spool.records import SpoolRequest, encode_job, read_outline
from tests.support.programs import Program
from tests.test_spool.test_spool_disk import load_host, open_disk, put

if TYPE_CHECKING:
    from pathlib import Path

MEMORY_MB = 150.0
MEBIBYTES = 1.024**2
"""Megabytes in the unit that /proc counts in."""


def run(load: Load) -> Peak:
    """Run one data host under a load."""
    return asyncio.run(measure(load))


def test_data_host_with_a_full_index_stays_within_its_memory() -> None:
    """It kept every job with all items, took more memory than its limit with a full disk, and was
    killed at each start.
    """
    jobs = derive_bounds(MEMORY_MB).max_jobs
    peak = run(Load(MEMORY_MB, 560, 500, max_files=jobs + 1000, send_s=1.0))
    assert (peak.files, peak.jobs) == (jobs + 1000, jobs)
    assert peak.end_mb * MEBIBYTES < MEMORY_MB
    assert peak.answers
    # Jobs that do not fit into the index are not reported missing.
    assert set(peak.beyond_index) == {200}


def test_data_host_that_gets_the_largest_jobs_stays_within_its_memory() -> None:
    """Bodies, connections and answers of the service had no bound that fits the memory."""
    peak = run(Load(MEMORY_MB, 560, 800_000, max_files=4, send_s=2.0))
    assert peak.jobs == 4
    assert peak.end_mb * MEBIBYTES < MEMORY_MB
    # Former versions take 503 about a job for "not here"; above the limit there is no answer.
    assert 503 not in peak.answers


def test_shares_of_the_memory_add_up_to_the_whole() -> None:
    """Bounds that add up to more than the memory let the process be killed."""
    names = [name for name in vars(bounds_module) if name.endswith("_SHARE")]
    assert sum(getattr(bounds_module, name) for name in names) == pytest.approx(1.0)


def test_unknown_memory_has_bounds() -> None:
    """Settings of a former version do not name the memory."""
    assert derive_bounds(0.0) == derive_bounds(bounds_module.ASSUMED_MEMORY_MB)
    large = derive_bounds(340.0)
    assert large.body_bytes > derive_bounds(MEMORY_MB).body_bytes


def test_job_above_the_bound_is_refused_and_the_largest_one_kept(tmp_path: Path) -> None:
    """A body above the bound took memory that the process does not have."""
    program = Program("data-host", tmp_path, settings={"memory_mb": MEMORY_MB})
    most = derive_bounds(MEMORY_MB).body_bytes
    try:
        program.start().wait_for_event("program_started")
        port = int(program.settings["peer_ports"])
        fits = make_largest_request(0, most, 500)
        too_large = msgspec.msgpack.encode(SpoolRequest(make_job("large", 2, most // 2), 0))
        assert asyncio.run(send_request(port, "POST /spool", too_large)) == 500
        assert asyncio.run(send_request(port, "POST /spool", fits)) == 200
        assert asyncio.run(send_request(port, "GET /spool/new-0")) == 200
        assert asyncio.run(send_request(port, "GET /spool/large")) == 404
        assert [path.name for path in (tmp_path / "data" / "spool").iterdir()] == ["new-0"]
    finally:
        program.kill()


def test_jobs_beyond_the_index_are_held_once_it_has_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Jobs that a former version accepted beyond the bound would never be entered."""
    monkeypatch.setattr(bounds_module, "INDEX_ENTRY_BYTES", 1e7)
    disk = open_disk(tmp_path)
    for name in ("a", "b", "c"):
        put(disk, make_job(name, 1, 10))
    host = load_host(tmp_path)
    assert host.bounds.max_jobs == 2
    assert (sorted(host.held), host.unread) == (["a", "b"], 1)
    size = len(encode_job(make_job("a", 1, 10)))
    assert host.disk.unread_bytes == size
    assert host._find(JobId("c")) == 200
    assert host._forget(JobId("a"), "entered")
    asyncio.run(host.load())
    assert (sorted(host.held), host.unread) == (["b", "c"], 0)
    assert host.disk.unread_bytes == 0


def test_job_of_another_version_keeps_its_fields(tmp_path: Path) -> None:
    """A job that is decoded and encoded again would lose fields that a newer version added."""
    job = msgspec.msgpack.decode(encode_job(make_job("j", 1, 10)))
    raw = msgspec.msgpack.encode([[*job, "new field"], 0, "new field"])
    program = Program("data-host", tmp_path)
    try:
        program.start().wait_for_event("program_started")
        port = int(program.settings["peer_ports"])
        assert asyncio.run(send_request(port, "POST /spool", raw)) == 200
    finally:
        program.kill()
    written = (tmp_path / "data" / "spool" / "j").read_bytes()
    assert msgspec.msgpack.decode(written) == [*job, "new field"]
    assert read_outline(written).id == "j"


def test_job_with_a_damaged_item_is_not_confirmed(tmp_path: Path) -> None:
    """Only the outline is kept in memory; a job that cannot be decoded could not be entered."""
    job = msgspec.msgpack.decode(encode_job(make_job("j", 2, 10)))
    job[2][1] = ["id", "path"]
    program = Program("data-host", tmp_path)
    try:
        program.start().wait_for_event("program_started")
        port = int(program.settings["peer_ports"])
        raw = msgspec.msgpack.encode([job, 0])
        assert asyncio.run(send_request(port, "POST /spool", raw)) == 409
        assert not list((tmp_path / "data" / "spool").iterdir())
    finally:
        program.kill()
