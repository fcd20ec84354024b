"""Tests of records of jobs that another writer has overwritten: each has a bounded end."""

from __future__ import annotations

import msgspec
import pytest

from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, JobState, Quota, encode_state, job_key, quota_key
from gradepoint.jobs.repository import Admission, JobRepository, OwedJob
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.platform import Deployment, run_in_virtual_time

NESTED = b"\xdc\x00\x01" + b"\x91" * 2000 + b"\xc0"
NO_RECORDS = [b"", b"\xff\xfe", b"{}", NESTED]
MOST_TOKENS = (1 << 64) - 1


def make_state(*tokens: int) -> JobState:
    """Return the state of a job of route "night" with one item for each number of tokens."""
    ids = [ItemId(f"item-{index}") for index in range(len(tokens))]
    return JobState("night", "calls.example", Incarnation("host-0:1"), 1, ids, list(tokens))


def make_owed(name: str) -> OwedJob:
    """Return a job of one item that has been accepted."""
    return OwedJob(JobId(name), make_state(10), [Item(ItemId("item-0"), "/night/0", [], b"", 10)])


@pytest.mark.parametrize(
    "raw", [*NO_RECORDS, b"\x91\xd3" + b"\x80" + bytes(7), b"\x91\xcf" + b"\xff" * 8]
)
def test_overwritten_quota_record_is_counted_anew(raw: bytes) -> None:
    """A record that is no count, negative or absurdly large: before, a negative one let jobs far
    above the limit in.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        deployment.targets[0].event_interval_s = 60.0
        assert (await deployment.submit("first", 30)).status == 202
        deployment.store.put(quota_key("night"), raw)
        for gateway in range(2):
            assert (await deployment.submit(f"large-{gateway}", 30, gateway=gateway)).status == 429
            assert (await deployment.submit(f"job-{gateway}", 5, gateway=gateway)).status == 202
        record = deployment.store.read(quota_key("night"))
        assert record is not None
        assert msgspec.msgpack.decode(record, type=Quota).tokens == 4000

    run_in_virtual_time(work)


def test_accepted_job_is_entered_beside_absurd_counts() -> None:
    """A job that was accepted is never refused, and its entry never fails, when the record or the
    tokens of another writer's jobs exceed any number: before, it was dropped as entered, or the
    task that enters jobs ended.
    """

    async def work() -> None:
        store = MemoryKv()
        kv = MemoryKvClient(store)
        repository = JobRepository(kv, 1 << 20)
        huge = encode_state(make_state(MOST_TOKENS, MOST_TOKENS))
        await kv.transact(
            Transaction(
                (),
                (
                    Put(job_key(JobId("other")), huge),
                    Put(quota_key("night"), msgspec.msgpack.encode(Quota(MOST_TOKENS))),
                ),
            )
        )
        for names in (("a",), ("b", "c"), ("d",)):
            jobs = [make_owed(name) for name in names]
            entered = await repository.enter(jobs)
            assert [row.admission for row in entered.values()] == [Admission.NEW] * len(names)

    run_virtual(work())
