"""Items and texts that exceed one value of the key-value service are run and listed."""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from bench.platform.store import StoreFault
from gradepoint.errors import KvUnreadable
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import (
    LARGE_PREFIX,
    FragmentedPart,
    Item,
    ItemOutcome,
    JobState,
    PartialText,
    Result,
    decode_value,
)
from gradepoint.jobs.repository import CommittedWork, JobRepository, StoredJob
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import Delete, Transaction
from gradepoint.spool.disk import SpoolDisk
from gradepoint.spool.records import SpooledJob, encode_job
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.platform import (
    CallAnswer,
    Deployment,
    item_text,
    job_item,
    run_in_virtual_time,
    until,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

VALUE_BYTES = 64 << 10
EVENTS = 4
ROUTE = "night"
BODY_SIZES = [
    VALUE_BYTES * 7 // 10 - 200,
    VALUE_BYTES * 7 // 10 + 200,
    VALUE_BYTES - 1,
    VALUE_BYTES,
    VALUE_BYTES + 1,
    VALUE_BYTES + 8000,
]


def make_body(index: int, size: int) -> bytes:
    """Return the body of an item; bodies of different items differ."""
    return bytes([index % 256]) * size


async def submit(deployment: Deployment, job_id: str, sizes: list[int]) -> CallAnswer:
    """Submit a job whose items have bodies of the given sizes."""
    items = [job_item(job_id, index) for index in range(len(sizes))]
    for index, (item, size) in enumerate(zip(items, sizes, strict=True)):
        item["body"] = base64.b64encode(make_body(index, size)).decode()
    raw = msgspec.json.encode({"items": items})
    return await deployment.call(f"/night/{job_id}", body=raw, request_id=job_id)


def check_complete(rows: list[dict[str, Any]], job_id: str, items: int, data_bytes: int) -> None:
    """Check that each item is listed once, with its complete text."""
    assert sorted(row["id"] for row in rows) == sorted(f"{job_id}-{n}" for n in range(items))
    for row in rows:
        assert row["message"] == item_text(row["id"], EVENTS, size=data_bytes)


def run_limited(
    work: Callable[[Deployment], Awaitable[None]], tmp_path: Path | None = None, **target: Any
) -> None:
    """Run *work* on a deployment whose store takes values of 64 KiB.

    :param tmp_path: folder of the data hosts; None for a deployment without any.
    """

    async def main(deployment: Deployment) -> None:
        deployment.store.keys.limits = KvLimits(VALUE_BYTES)
        deployment.gateway_settings = {"store_value_bytes": VALUE_BYTES}
        deployment.data_host_settings = {"store_value_bytes": VALUE_BYTES}
        deployment.gateway_settings |= {"hosts_lost": 1, "quota_excess": 0.5}
        await deployment.start(gateways=2, events=EVENTS, **target)
        if tmp_path is not None:
            for number in range(3):
                await deployment.add_data_host(f"data-{number}", tmp_path / str(number))
        await work(deployment)

    run_in_virtual_time(main)


@pytest.mark.parametrize("size", BODY_SIZES)
def test_item_beyond_one_value_is_not_lost(size: int) -> None:
    """A large item was written as one value. The store refused it, which was taken for an outage:
    the job was kept on data hosts and could never be entered.
    """

    async def work(deployment: Deployment) -> None:
        assert (await submit(deployment, "job", [size, 10])).status == 202
        body = await deployment.call("/api/items/job?id=job-0", method="GET", body=b"", gateway=1)
        assert (body.status, body.body) == (200, make_body(0, size))
        check_complete(await deployment.read_all_results("job", gateway=1), "job", 2, 16)
        assert {make_body(0, size), make_body(1, 10)} == {
            body for target in deployment.targets for body in target.bodies
        }
        assert not deployment.store.rejected

    run_limited(work)


@pytest.mark.parametrize("size", BODY_SIZES)
def test_item_beyond_one_value_is_entered_after_an_outage(size: int, tmp_path: Path) -> None:
    """Data hosts keep a job whole; it has to fit into the store once the outage ends."""

    async def work(deployment: Deployment) -> None:
        deployment.store.fault = StoreFault.BUSY
        await until(lambda: not any(gateway.kv.is_available for gateway in deployment.gateways))
        assert (await submit(deployment, "job", [size, 10])).status == 202
        await asyncio.sleep(3.0)
        deployment.store.fault = StoreFault.NONE
        await until(lambda: deployment.store.read("gp/job/job") is not None)
        check_complete(await deployment.read_all_results("job", gateway=1), "job", 2, 16)
        assert not deployment.store.rejected
        await until(lambda: not any(host.spool.held for host in deployment.data_hosts))

    run_limited(work, tmp_path)


def test_spooled_job_that_was_never_entered_is_entered_after_an_upgrade(tmp_path: Path) -> None:
    """Former versions accepted jobs that they could not enter; data hosts still keep them."""
    item = Item(ItemId("job-0"), "/night/0", [], make_body(0, VALUE_BYTES + 1), 100)
    state = JobState(ROUTE, "calls.example", Incarnation("gone/1"), 0, [item.id], [100])
    disk = SpoolDisk(tmp_path / "late", 64)
    disk.open()
    disk.put(JobId("job"), encode_job(SpooledJob(JobId("job"), state, [item])))

    async def work(deployment: Deployment) -> None:
        await deployment.add_data_host("late", tmp_path / "late")
        await until(lambda: deployment.store.read("gp/job/job") is not None)
        check_complete(await deployment.read_all_results("job"), "job", 1, 16)

    run_limited(work)


def test_items_that_exceed_one_transaction_are_not_lost() -> None:
    """A transaction takes 32 entries, fewer than the values that these items need."""

    async def work(deployment: Deployment) -> None:
        deployment.store.keys.limits = KvLimits(4 << 10)
        for gateway in deployment.gateways:
            gateway.repository.value_bytes = 4 << 10
        assert (await submit(deployment, "job", [1500] * 40)).status == 202
        check_complete(await deployment.read_all_results("job", gateway=1), "job", 40, 16)
        body = await deployment.call("/api/items/job?id=job-39", method="GET", body=b"", gateway=1)
        assert body.body == make_body(39, 1500)
        assert not deployment.store.rejected

    run_limited(work)


@pytest.mark.parametrize("text_bytes", [*BODY_SIZES, 40 * VALUE_BYTES])
def test_text_beyond_one_value_is_not_lost(text_bytes: int) -> None:
    """A text has no limit of its own, and no number of commits makes one result smaller."""

    async def work(deployment: Deployment) -> None:
        assert (await deployment.submit("job", 2)).status == 202
        rows = await deployment.read_all_results("job", gateway=1)
        check_complete(rows, "job", 2, text_bytes // EVENTS)
        assert not deployment.store.rejected
        # A host that does not run the job reads the fragments.
        for gateway in deployment.gateways:
            gateway.worker.jobs.clear()
        check_complete(
            await deployment.read_all_results("job", gateway=1), "job", 2, text_bytes // EVENTS
        )

    run_limited(work, data_bytes=text_bytes // EVENTS)


def make_repository(store: MemoryKv, fault: KvFault = KvFault.NONE) -> JobRepository:
    """Return a repository of one host; *fault* hits all of its transactions."""
    client = MemoryKvClient(store, lambda kind: fault if kind == "txn" else KvFault.NONE)
    return JobRepository(client, store.limits.value_bytes)


async def create_job(store: MemoryKv, owner: str, body: bytes = b"") -> StoredJob:
    """Create a job of two items."""
    names = [ItemId("a"), ItemId("b")]
    items = [Item(name, "/night/0", [], body, 1) for name in names]
    state = JobState(ROUTE, "h", Incarnation(owner), 0, names, [1, 1])
    submission = await make_repository(store).accept(JobId("job"), state, items, 0)
    assert submission.job is not None
    return submission.job


def test_job_continues_after_its_host_died_between_fragments_and_state() -> None:
    """Fragments without a state that names them must neither be listed nor stop the next owner."""

    async def main() -> None:
        store = MemoryKv(limits=KvLimits(1000))
        job = await create_job(store, "host/1")
        first, second = make_repository(store), make_repository(store)
        large = Result(0, ItemOutcome.COMPLETE, "x" * 5000)
        await first.fragments.store_large_parts(job.id, [msgspec.msgpack.encode([large])], 700)
        assert await first.load_results(job) == []
        adopted = await second.adopt(job, Incarnation("host/2"))
        other = Result(1, ItemOutcome.COMPLETE, "y" * 5000)
        done = await second.commit(adopted, CommittedWork([other, large]))
        assert done.state.done
        assert await first.load_results(done) == [other, large]

    run_virtual(main())


def test_late_write_of_fragments_does_not_change_a_listed_result() -> None:
    """A write without an answer may be applied seconds later, after another host's commit."""

    async def main() -> None:
        store = MemoryKv(limits=KvLimits(1000))
        job = await create_job(store, "host/1")
        row = Result(0, ItemOutcome.COMPLETE, "x" * 5000)
        with pytest.raises(Exception, match="fragments"):
            await make_repository(store, KvFault.LATE).commit(job, CommittedWork([row]))
        listed = await make_repository(store).commit(
            job, CommittedWork([Result(0, ItemOutcome.COMPLETE, "z" * 5000)])
        )
        await asyncio.sleep(5.0)
        assert [row.text[0] for row in await make_repository(store).load_results(listed)] == ["z"]

    run_virtual(main())


def test_fragments_of_another_size_do_not_damage_a_part() -> None:
    """Hosts may cut the same part differently, after a change of settings or a rejection."""

    async def main() -> None:
        store = MemoryKv(limits=KvLimits(1000))
        job = await create_job(store, "host/1", b"b" * 3000)
        stored = await make_repository(store).load_items(job)
        other = make_repository(store)
        for max_bytes in (100, 350, 699):
            parts = [msgspec.msgpack.encode([item]) for item in stored]
            await other.fragments.store_large_parts(job.id, parts, max_bytes)
            assert await make_repository(store).load_items(job) == stored

    run_virtual(main())


def test_missing_fragment_is_reported_and_not_read_as_a_shorter_part() -> None:
    async def main() -> None:
        store = MemoryKv(limits=KvLimits(1000))
        job = await create_job(store, "host/1", b"b" * 3000)
        fragments = sorted(key for key in store.keys if key.startswith(LARGE_PREFIX))
        store.apply(Transaction((), (), (Delete(fragments[1]),)))
        with pytest.raises(KvUnreadable):
            await make_repository(store).load_items(job)

    run_virtual(main())


@pytest.mark.parametrize("kind", [list[Item], list[Result]])
def test_former_version_takes_fragmented_part_for_unreadable(kind: type) -> None:
    """Software that does not know fragments must not read such a part as one without rows."""
    with pytest.raises(KvUnreadable):
        decode_value(msgspec.msgpack.encode(FragmentedPart("00", 1, 1)), kind)


def test_checkpoint_keeps_the_longest_texts_that_fit() -> None:
    """When the texts of unfinished items exceeded one value together, none of them was kept, and
    the next owner of the job ran all of the items from their beginning.
    """

    async def main() -> None:
        store = MemoryKv(limits=KvLimits(1000))
        repository = make_repository(store)
        job = await create_job(store, "host/1")
        texts = {index: PartialText(1, ["x" * size]) for index, size in enumerate((300, 600, 5000))}
        for kept in ({}, {0: texts[0]}, {1: texts[1]}):
            offered = {0: texts[0], 1: texts[1]} if 1 in kept else {**kept, 2: texts[2]}
            job = await repository.commit(job, CommittedWork([], partial=offered))
            assert await repository.load_partial(job) == kept

    run_virtual(main())
