"""Files of the data folder that cannot be read for a time."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
import urllib.error
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import pytest

from bench.platform.store import StoreFault
from gradepoint.jobs.repository import JobRepository
from gradepoint.spool.bounds import derive_bounds
from gradepoint.spool.disk import SpoolDisk
from gradepoint.spool.host import SpoolHost
from gradepoint.spool.records import SpoolRequest, encode_job
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.wire.addresses import split_address
from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_types import Request
from tests.support.platform import (
    until,
)
from tests.support.programs import Program
from tests.test_spool.test_spool_disk import make_job, put
from tests.test_spool.test_spool_path import (
    expect_complete,
    held,
    run_spooled,
    stop_store,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.platform import Deployment


class FailingReads:
    """Makes reads of files of jobs fail.

    :ivar failing: names of the files.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.failing: set[str] = set()
        read = Path.read_bytes

        def read_bytes(path: Path) -> bytes:
            if path.parent.name == "spool" and path.name in self.failing:
                raise OSError(errno.EIO, "Input/output error", str(path))
            return read(path)

        patch.setattr(Path, "read_bytes", read_bytes)


@pytest.fixture
def reads(monkeypatch: pytest.MonkeyPatch) -> FailingReads:
    """Reads of files that can be made to fail."""
    return FailingReads(monkeypatch)


def test_job_whose_file_cannot_be_read_is_not_reported_missing(
    tmp_path: Path, reads: FailingReads
) -> None:
    """All hosts but one data host are lost, and it cannot read its file: the data host ended at its
    start. Had it answered that it has no such job, readers would have been told so as well.
    """

    async def work(deployment: Deployment) -> None:
        await stop_store(deployment)
        assert (await deployment.submit("j1", 2)).status == 202
        await until(lambda: held(deployment) == [1, 1, 1])
        reads.failing = {"j1"}
        for data_host in list(deployment.data_hosts):
            await deployment.kill_data_host(data_host)
        await deployment.kill(deployment.gateways[0])
        deployment.store.fault = StoreFault.NONE
        data_host = await deployment.add_data_host("data-0", tmp_path / "0")
        gateway = deployment.gateways[0]
        await until(lambda: len(gateway.data_hosts.hosts) == 1)
        gateway.data_hosts.gone.clear()
        await until(lambda: not gateway.kv.had_recent_outage)
        origin = split_address(data_host.presence.own.peer_address)
        for name, expected in (("j1", 503), ("none", 404)):
            answer = await gateway.peer_http.send(origin, "GET", f"/spool/{name}")
            await answer.read()
            assert answer.status == expected
            read = await deployment.call(f"/api/lots/{name}", method="GET", body=b"")
            assert read.status == expected
        reads.failing = set()
        await expect_complete(deployment, "j1", 2)
        await until(lambda: held(deployment) == [0])

    run_spooled(tmp_path, work)


def test_data_host_that_waits_for_its_folder_serves_only_metrics(tmp_path: Path) -> None:
    """A data host that took jobs or announced itself could keep none of them."""
    program = Program("data-host", tmp_path)
    folder = tmp_path / "data"
    folder.write_text("not a folder")
    try:
        waits = program.start().wait_for_event("data_folder_waits")
        assert waits["path"] == str(folder)
        assert "ot a directory" in waits["reason"]
        assert "gradepoint_peak_memory_bytes" in program.read_metrics()
        peer = (program.settings["address"], int(program.settings["peer_ports"]))
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(peer).close()
        folder.unlink()
        program.wait_for_event("program_started")
        socket.create_connection(peer).close()
        assert program.terminate() == 0
        folder.rename(tmp_path / "other")
        folder.write_text("not a folder")
        program.start().wait_for_event("data_folder_waits")
        assert program.terminate() == 0
    finally:
        program.kill()


def test_foreign_entries_are_logged_and_the_jobs_beside_them_loaded(tmp_path: Path) -> None:
    """One entry that the data host had not written ended it at each start."""
    program = Program("data-host", tmp_path)
    disk = SpoolDisk(tmp_path / "data", 10)
    disk.open()
    put(disk, make_job("whole"))
    copy = disk.jobs / "copy"
    copy.write_bytes((disk.jobs / "whole").read_bytes())
    pipe, folder, link = (disk.jobs / name for name in ("pipe", "folder", "link"))
    os.mkfifo(pipe)
    folder.mkdir()
    link.symlink_to(copy)
    no_text = os.fsencode(disk.jobs) + b"/\xff"
    os.mkdir(no_text)
    inner = disk.temporary / "folder" / "inner"
    inner.mkdir(parents=True)
    (disk.jobs / "damaged").write_bytes(b"\x94")
    try:
        loaded = program.start().wait_for_event("spool_loaded")
        assert (loaded["jobs"], loaded["unread"]) == (1, 0)
        ignored = [row for row in program.events() if row["event_name"] == "spool_entry_ignored"]
        assert {row["path"] for row in ignored} == {
            *map(str, (copy, pipe, folder, link, inner.parent)),
            no_text.decode(errors="backslashreplace"),
        }
        assert program.wait_for_event("spool_unreadable")["job"] == "damaged"
        assert program.terminate() == 0
    finally:
        program.kill()


@pytest.mark.parametrize("name", ["%2e%2e/run", ".", "..", "a%2fb", "a%00b", ""])
def test_name_of_a_job_that_is_a_path_reads_and_deletes_nothing(name: str, tmp_path: Path) -> None:
    """The ids come from other hosts and become names of files."""
    program = Program("data-host", tmp_path)
    run = tmp_path / "data" / "run"
    (tmp_path / "data" / "spool").mkdir(parents=True)
    try:
        program.start().wait_for_event("program_started")
        url = f"http://{program.settings['address']}:{program.settings['peer_ports']}/spool/{name}"
        for method, expected in (("GET", 404), ("DELETE", 200)):
            request = urllib.request.Request(url, method=method)
            try:
                with urllib.request.urlopen(request) as answer:
                    status = answer.status
            except urllib.error.HTTPError as error:
                status = error.code
            assert status == expected
        assert run.exists()
        assert json.dumps(program.event_names()).count("loop_failed") == 0
    finally:
        program.kill()


def make_host(folder: Path) -> SpoolHost:
    """Return a data host whose folder is open and has the file of a job."""
    disk = SpoolDisk(folder, 10)
    disk.open()
    put(disk, make_job("j1"))
    kv = MemoryKvClient(MemoryKv())
    bounds = derive_bounds(0)
    return SpoolHost(SpoolDisk(folder, 10), kv, JobRepository(kv, 1 << 20), HttpClient(), bounds)


def make_request(method: str, path: str, body: bytes = b"") -> Request:
    """Return a request of another host."""

    async def read() -> AsyncIterator[bytes]:
        yield body

    return Request(method, path, {}, read, 1 << 20)


def test_job_whose_file_cannot_be_read_is_neither_refused_nor_deleted(
    tmp_path: Path, reads: FailingReads
) -> None:
    # A refusal is taken for the promise that the job is not kept, and a deletion for its end.
    async def work() -> None:
        host = make_host(tmp_path)
        reads.failing = {"j1"}
        await host.open_disk()
        await host.load()
        host.retiring = True
        body = msgspec.msgpack.encode(SpoolRequest(make_job("j1"), 1))
        assert (await host.handle(make_request("POST", "/spool", body))).status == 500
        assert (await host.handle(make_request("DELETE", "/spool/j1"))).status == 500
        assert (tmp_path / "spool" / "j1").exists()

    asyncio.run(work())


def test_file_that_is_nested_too_deeply_does_not_end_the_data_host(tmp_path: Path) -> None:
    # The decoder raises another error for it than for other damaged files.
    async def work() -> None:
        host = make_host(tmp_path)
        raw = encode_job(make_job("j1"))
        for length in range(1, len(raw)):
            (tmp_path / "spool" / f"nested-{length}").write_bytes(raw[:length] + b"\x91" * 100_000)
        await host.open_disk()
        await host.load()
        assert set(host.held) == {"j1"}

    asyncio.run(work())
