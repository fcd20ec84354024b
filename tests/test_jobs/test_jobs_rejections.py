"""A write that the store refuses for good is not taken for an outage.

The limits in the settings of these deployments are higher than those of their store, so that the
store refuses what the hosts send.
"""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from bench.platform.store import StoreFault
from gradepoint.errors import KvRejected
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, JobState
from gradepoint.jobs.repository import MAX_PART_SHARE, REJECTED_RETRY_S, JobRepository
from gradepoint.kv.limits import KvLimits
from gradepoint.spool.disk import SpoolDisk
from gradepoint.spool.records import SpooledJob, encode_job
from tests.support.platform import CallAnswer, Deployment, job_item, run_in_virtual_time, until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

KIB = 1 << 10


def run_limited(
    tmp_path: Path,
    work: Callable[[Deployment], Awaitable[None]],
    value_bytes: int,
    settings: int = 64 * KIB,
    **target: Any,
) -> None:
    """Run *work* on two gateways and three data hosts.

    :param value_bytes: size of the largest value that the store takes.
    :param settings: the same according to the settings.
    """

    async def main(deployment: Deployment) -> None:
        deployment.store.keys.limits = KvLimits(value_bytes)
        deployment.gateway_settings = {"hosts_lost": 1, "quota_excess": 0.5}
        deployment.gateway_settings["store_value_bytes"] = settings
        deployment.data_host_settings["store_value_bytes"] = settings
        await deployment.start(gateways=2, **target)
        for number in range(3):
            await deployment.add_data_host(f"data-{number}", tmp_path / str(number))
        await work(deployment)

    run_in_virtual_time(main)


async def submit(
    deployment: Deployment, job_id: str, body_bytes: int, name: str = "", gateway: int = 0
) -> CallAnswer:
    """Submit a job of one item.

    :param name: id of the item.
    """
    item = job_item(job_id, 0)
    item["body"] = base64.b64encode(bytes(body_bytes)).decode()
    item["id"] = name or item["id"]
    raw = msgspec.json.encode({"items": [item]})
    return await deployment.call(f"/night/{job_id}", body=raw, request_id=job_id, gateway=gateway)


@pytest.mark.parametrize("value_bytes", [8 * KIB, 40 * KIB, 64 * KIB])
def test_refused_value_is_not_taken_for_an_outage(tmp_path: Path, value_bytes: int) -> None:
    """A refusal made the host count the store as lost, kept the job on data hosts, and repeated the
    same write forever. Smaller values are written in its place.
    """

    async def work(deployment: Deployment) -> None:
        assert (await submit(deployment, "job", 60 * KIB)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 1
        assert not any(host.spool.held for host in deployment.data_hosts)
        assert all(gateway.kv.failing_since is None for gateway in deployment.gateways)
        sizes = [error.size for error in deployment.store.rejected]
        assert sizes == sorted(set(sizes), reverse=True), "a refused write was sent again"

    run_limited(tmp_path, work, value_bytes)


@pytest.mark.parametrize("value_bytes", [8 * KIB, 40 * KIB])
def test_refused_results_are_listed_in_smaller_values(tmp_path: Path, value_bytes: int) -> None:
    """A limit below the one in the settings must not keep results from being listed."""

    async def work(deployment: Deployment) -> None:
        assert (await deployment.submit("job", 8)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 8
        assert len(deployment.store.rejected) <= 5

    run_limited(tmp_path, work, value_bytes, events=4, data_bytes=3 * KIB)


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize(("excess", "status"), [(-1, 202), (0, 202), (1, 413)])
def test_job_whose_state_exceeds_one_value_is_refused_at_once(
    tmp_path: Path, outage: bool, excess: int, status: int
) -> None:
    """The state lists the ids of all items and can't be split. A job that would fill it must be
    refused when it is submitted, in the same way at each host, whether the store answers or not.
    """
    limit = int(8 * KIB * MAX_PART_SHARE)

    async def work(deployment: Deployment) -> None:
        # All gateways have names of equal length, so that the states do as well.
        sizes = []
        for gateway in deployment.gateways:
            state = JobState("night", "calls.example", gateway.own.incarnation, 0, [], [])
            sizes.append(fill_state(gateway.repository, state, limit))
        assert len(set(sizes)) == 1
        if outage:
            deployment.store.fault = StoreFault.BUSY
            await until(lambda: not any(host.kv.is_available for host in deployment.gateways))
        for number in range(2):
            name = "x" * (sizes[number] + excess)
            answer = await submit(deployment, f"job-{number}", 10, name, gateway=number)
            assert answer.status == status
            if status == 413:
                message = msgspec.json.decode(answer.body)["error"]["message"]
                assert str(limit) in message and str(limit + 1) in message
        deployment.store.fault = StoreFault.NONE
        if status == 202:
            await until(lambda: deployment.store.read("gp/job/job-1") is not None)
            assert len(await deployment.read_all_results("job-1")) == 1

    run_limited(tmp_path, work, 8 * KIB, settings=8 * KIB)


def fill_state(repository: JobRepository, state: JobState, limit: int) -> int:
    """Return the length of the id with which the state of a job of one item fills *limit* bytes."""

    def fits(length: int) -> bool:
        filled = msgspec.structs.replace(
            state, item_ids=[ItemId("x" * length)], item_tokens=[100], config_version=1
        )
        try:
            repository.check_size(JobId("job"), filled)
        except KvRejected:
            return False
        return True

    return max(length for length in range(limit) if fits(length))


def test_spooled_job_that_is_refused_does_not_hold_up_others(tmp_path: Path) -> None:
    """A data host stopped its round at the first job that could not be entered."""
    large, small = (make_spooled(name, size) for name, size in (("a", 9 * KIB), ("b", 1)))
    disk = SpoolDisk(tmp_path / "late", 64)
    disk.open()
    for job in (large, small):
        disk.put(job.id, encode_job(job))

    async def work(deployment: Deployment) -> None:
        data_host = await deployment.add_data_host("late", tmp_path / "late")
        await until(lambda: deployment.store.read("gp/job/b") is not None)
        await until(lambda: list(data_host.spool.held) == [JobId("a")])
        assert deployment.store.read("gp/job/a") is None
        await asyncio.sleep(REJECTED_RETRY_S / 2)
        assert len(deployment.store.rejected) == 1, "a refused write was sent again"

    run_limited(tmp_path, work, 8 * KIB)


def make_spooled(name: str, id_bytes: int) -> SpooledJob:
    """Return a job of one item whose id has *id_bytes* bytes."""
    item = Item(ItemId("x" * id_bytes), "/night/0", [], b"", 100)
    state = JobState("night", "calls.example", Incarnation("gone/1"), 0, [item.id], [100])
    return SpooledJob(JobId(name), state, [item])


def test_refused_commit_is_not_sent_again_unchanged(tmp_path: Path) -> None:
    """A commit that the store refuses was repeated each half second."""

    async def work(deployment: Deployment) -> None:
        gateway = deployment.gateways[0]
        assert (await deployment.submit("job", 2)).status == 202
        deployment.store.keys.limits = KvLimits(value_bytes=16)
        await until(lambda: bool(deployment.store.rejected))
        job = gateway.worker.jobs[JobId("job")]
        await until(lambda: not job.committing)
        first = len(deployment.store.rejected)
        assert job.commit_after > REJECTED_RETRY_S / 2
        deployment.store.keys.limits = KvLimits()
        assert len(deployment.store.rejected) == first
        job.commit_after = 0.0
        assert len(await deployment.read_all_results("job")) == 2

    run_limited(tmp_path, work, 64 * KIB)


def test_log_leads_from_job_to_refused_key(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """One search for the job's id has to find the key, its size and the limit."""
    lines: list[dict[str, Any]] = []
    for module in ("jobs.worker", "platform.store", "jobs.repository", "jobs.api"):
        monkeypatch.setattr(
            f"gradepoint.{module}.emit", lambda event, **row: lines.append(row | {"": event.name})
        )

    async def work(deployment: Deployment) -> None:
        assert (await submit(deployment, "job-1", 10, "x" * 9 * KIB)).status == 413
        found = [row for row in lines if row[""] == "job_refused"]
        assert [(row["job"], row["key"], row["limit"]) for row in found] == [
            ("job-1", "gp/job/job-1", int(8 * KIB * MAX_PART_SHARE))
        ]
        assert found[0]["size"] > found[0]["limit"]

    run_limited(tmp_path, work, 8 * KIB, settings=8 * KIB)


def test_refused_job_is_not_kept_on_data_hosts(tmp_path: Path) -> None:
    """Data hosts could never enter a job that the store refuses, although its caller had a 202."""

    async def work(deployment: Deployment) -> None:
        deployment.store.keys.limits = KvLimits(value_bytes=16)
        answer = await submit(deployment, "job", 10)
        assert answer.status == 503
        assert not any(host.spool.held for host in deployment.data_hosts)
        deployment.store.keys.limits = KvLimits()
        await asyncio.sleep(REJECTED_RETRY_S)
        assert deployment.store.read("gp/job/job") is None
        assert not any(target.ran for target in deployment.targets)

    run_limited(tmp_path, work, 64 * KIB)
