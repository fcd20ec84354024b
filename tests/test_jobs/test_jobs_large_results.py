"""Results that outgrow one value of the key-value service are listed all the same."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import pytest

from bench.platform.store import StoreFault
from gradepoint.errors import KvUnavailable, KvUncertain
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.api import PAGE_BYTES
from gradepoint.jobs.records import Item, ItemOutcome, JobState, Result, encode_state
from gradepoint.jobs.repository import CommittedWork, JobRepository, has_large_results
from gradepoint.kv.limits import KvLimits
from gradepoint.kv.service import Put, Transaction, TransactionResult
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.platform import Deployment, item_text, run_in_virtual_time, until

T = TypeVar("T")

ITEMS = 48
EVENTS = 8
KIB = 1 << 10


def limit_values(deployment: Deployment, value_bytes: int) -> None:
    """Set the largest value that the store takes, in the store and in the settings."""
    deployment.store.keys.limits = KvLimits(value_bytes=value_bytes)
    deployment.gateway_settings["store_value_bytes"] = value_bytes


def check_listed(job_id: str, rows: list[dict[str, Any]], items: int, data_bytes: int) -> None:
    """Check that each item is listed once, with its complete text."""
    assert sorted(row["id"] for row in rows) == sorted(f"{job_id}-{n}" for n in range(items))
    for row in rows:
        assert row["state"] == "complete"
        assert row["message"] == item_text(row["id"], EVENTS, size=data_bytes)


@pytest.mark.parametrize("value_bytes", [64 * KIB, 1024 * KIB])
@pytest.mark.parametrize("outage_s", [0.0, 6.0])
def test_results_beyond_one_value_are_not_lost(value_bytes: int, outage_s: float) -> None:
    """All results of a commit were written as one value. Results that an outage held up, or that
    many targets returned at once, exceeded its size limit, and the store refused each retry.
    """
    data_bytes = value_bytes // ITEMS // 4

    async def work(deployment: Deployment) -> None:
        limit_values(deployment, value_bytes)
        await deployment.start(gateways=2, targets=6, events=EVENTS, data_bytes=data_bytes)
        assert (await deployment.submit("job", ITEMS)).status == 202
        if outage_s:
            deployment.store.fault = StoreFault.BUSY
            await asyncio.sleep(outage_s)
            job = deployment.gateways[0].worker.jobs[JobId("job")]
            assert len(job.pending) == ITEMS
            deployment.store.fault = StoreFault.NONE
        check_listed("job", await deployment.read_all_results("job", gateway=1), ITEMS, data_bytes)
        assert not deployment.store.rejected

    run_in_virtual_time(work)


def test_results_of_an_outage_do_not_fill_memory() -> None:
    """A host ran items throughout an outage and kept all of their texts, whatever their size."""
    data_bytes = 4 * KIB
    text_bytes = EVENTS * data_bytes

    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings["memory_mb"] = 2.0
        await deployment.start(gateways=1, targets=2, events=EVENTS, data_bytes=data_bytes, slots=4)
        gateway = deployment.gateways[0]
        limit = gateway.worker.max_waiting_bytes
        assert limit < ITEMS * text_bytes / 4
        assert (await deployment.submit("job", ITEMS)).status == 202
        deployment.store.fault = StoreFault.BUSY
        await asyncio.sleep(6.0)
        job = gateway.worker.jobs[JobId("job")]
        slots = sum(target.slots for target in deployment.targets)
        assert limit <= job.pending_bytes <= limit + slots * 2 * text_bytes
        assert not job.running
        deployment.store.fault = StoreFault.NONE
        check_listed("job", await deployment.read_all_results("job"), ITEMS, data_bytes)
        assert job.pending_bytes == 0

    run_in_virtual_time(work)


def test_next_owner_goes_on_between_two_writes_of_a_commit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Results that need several writes may be half listed when their host dies. The next owner must
    neither list an item twice nor run the listed ones again.
    """
    data_bytes = 4 * KIB

    async def work(deployment: Deployment) -> None:
        limit_values(deployment, 64 * KIB)
        await deployment.start(gateways=2, targets=6, events=EVENTS, data_bytes=data_bytes)
        owner = deployment.gateways[0]
        commit, first_written = owner.repository.commit, asyncio.Event()

        async def commit_once(*arguments: Any, **options: Any) -> Any:
            await commit(*arguments, **options)
            first_written.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(owner.repository, "commit", commit_once)
        assert (await deployment.submit("job", ITEMS)).status == 202
        await first_written.wait()
        await deployment.kill(owner)
        await until(lambda: JobId("job") in deployment.gateways[0].worker.jobs)
        taken = deployment.gateways[0].worker.jobs[JobId("job")]
        listed = {f"job-{row.index}" for row in taken.results}
        assert 0 < len(listed) < ITEMS
        check_listed("job", await deployment.read_all_results("job"), ITEMS, data_bytes)
        runs = sum((target.completed_runs for target in deployment.targets), start=Counter())
        assert all(runs[item] == 1 for item in listed)

    run_in_virtual_time(work)


def test_page_of_a_large_job_does_not_load_all_of_its_results() -> None:
    """A host that does not run a job loaded all results for each page, so that a job of many large
    texts took longer to read than its results are kept.
    """
    data_bytes = 24 * KIB

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=6, events=EVENTS, data_bytes=data_bytes)
        assert (await deployment.submit("job", ITEMS)).status == 202
        rows = await deployment.read_all_results("job")
        gateway = deployment.gateways[0]
        gateway.worker.jobs.clear()
        deployment.store.calls.clear()
        check_listed("job", await deployment.read_all_results("job"), ITEMS, data_bytes)
        pages = ITEMS * EVENTS * data_bytes / PAGE_BYTES + 1
        reads = deployment.store.calls["/api/kv-key"]
        # Each page reads the state and at most the results of two commits' parts.
        assert reads <= 4 * pages
        assert "/api/kv-range" not in deployment.store.calls
        for position in (1, ITEMS // 2, ITEMS - 1):
            page = await deployment.read_results("job", position)
            assert page["results"] == rows[position : position + len(page["results"])]

    run_in_virtual_time(work)


def test_state_of_a_former_version_is_read_without_sizes_of_parts() -> None:
    """Hosts of the former version drop the sizes when they write the state."""

    async def main() -> None:
        store = MemoryKv()
        repository = JobRepository(MemoryKvClient(store), 1 << 20)
        names = [ItemId(str(number)) for number in range(8)]
        items = [Item(name, "/night/0", [], b"", 1) for name in names]
        state = JobState("night", "h", Incarnation("host/1"), 0, names, [1] * 8)
        created = await repository.accept(JobId("job"), state, items, 0)
        assert created.job is not None
        rows = [Result(n, ItemOutcome.COMPLETE, str(n) * 1_000_000) for n in range(8)]
        job = created.job
        while len(job.state.listed) < 6:
            left = rows[len(job.state.listed) : 6]
            job = await repository.commit(job, CommittedWork(left))
        assert has_large_results(job.state)
        former = msgspec.structs.replace(job.state, part_sizes=[])
        store.apply(Transaction((), (Put("gp/job/job", encode_state(former)),)))
        seen = await repository.load(JobId("job"))
        assert seen is not None and not seen.state.knows_part_sizes
        job = await repository.commit(seen, CommittedWork(rows[6:]))
        assert not has_large_results(job.state)
        for position in range(8):
            page = await repository.load_page(job, position, 1)
            assert page[0] == rows[position]

    run_virtual(main())


def test_job_is_released_only_with_its_last_commit() -> None:
    """A stopping host lists results in several writes. A host that adopted the job after the first
    of them would run the other items again.
    """

    async def main() -> None:
        repository = JobRepository(MemoryKvClient(MemoryKv()), 1 << 20)
        names = [ItemId("a"), ItemId("b")]
        items = [Item(name, "/night/0", [], b"", 1) for name in names]
        state = JobState("night", "h", Incarnation("host/1"), 0, names, [1] * 2)
        created = await repository.accept(JobId("job"), state, items, 0)
        assert created.job is not None
        job = created.job
        texts = [Result(n, ItemOutcome.COMPLETE, "x" * 1_500_000) for n in range(2)]
        job = await repository.commit(job, CommittedWork(texts), released=True)
        assert len(job.state.listed) == 1 and not job.state.released
        job = await repository.commit(job, CommittedWork(texts[1:]), released=True)
        assert len(job.state.listed) == 2 and job.state.released

    run_virtual(main())


class SlowLinkClient(MemoryKvClient):
    """Client whose transactions get no answer if they are large, as on a slow link.

    :ivar max_bytes: most bytes of a transaction that is answered; larger ones are not applied.
    """

    max_bytes = 600_000

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """See :meth:`KeyValueService.transact`."""
        if transaction.value_bytes > self.max_bytes:
            await asyncio.sleep(1.5)
            raise KvUncertain("no answer in time")
        return await super().transact(transaction)


@pytest.mark.parametrize("texts", [[2_000_000], [50_000] * 60, [700_000, 900_000]])
def test_writes_that_time_out_are_made_smaller(texts: list[int]) -> None:
    """On a slow link, a large write timed out each time. It was repeated in the same size, and the
    job was never created, or its results never listed.
    """

    async def main() -> None:
        repository = JobRepository(SlowLinkClient(MemoryKv()), 1 << 20)
        names = [ItemId(str(number)) for number in range(len(texts))]
        items = [Item(name, "/p", [], bytes(n), 1) for name, n in zip(names, texts, strict=True)]
        state = JobState("night", "h", Incarnation("host/1"), 0, names, [1] * len(names))
        job = await retry(lambda: repository.accept(JobId("job"), state, items, 0))
        assert job.job is not None
        stored = job.job
        assert await repository.load_items(stored) == items
        rows = [Result(n, ItemOutcome.COMPLETE, "x" * size) for n, size in enumerate(texts)]
        while len(stored.state.listed) < len(rows):
            work = CommittedWork(rows[len(stored.state.listed) :])
            stored = await retry(lambda work=work, job=stored: repository.commit(job, work))  # type: ignore[misc]
        assert await repository.load_results(stored) == rows

    run_virtual(main())


async def retry(call: Callable[[], Awaitable[T]]) -> T:
    """Make a call until it has an answer, at most ten times, as hosts do."""
    for _ in range(10):
        try:
            return await call()
        except (KvUncertain, KvUnavailable):
            continue
    raise AssertionError("no answer in ten attempts")
