"""Tests of records of jobs that another writer has overwritten: each has a bounded end."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.adoption import SWEEP_INTERVAL_S
from gradepoint.jobs.records import (
    LARGE_PREFIX,
    FragmentedPart,
    Item,
    ItemOutcome,
    JobState,
    Quota,
    Result,
    decode_state,
    encode_part,
    encode_state,
    input_prefix,
    job_key,
    part_key,
    partial_key,
    quota_key,
    result_prefix,
    split_items,
)
from gradepoint.jobs.repository import Admission, JobRepository, OwedJob
from gradepoint.jobs.worker import CHECKPOINT_INTERVAL_S, UNREADABLE_JOB_S
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.memory_kv import MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual
from tests.support.platform import CallAnswer, Deployment, run_in_virtual_time

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


async def read_answer(deployment: Deployment, gateway: int, position: int = 0) -> CallAnswer:
    """Return the answer to a reader of the results of "job"."""
    return await deployment.call(
        f"/api/lots/job?after_rev={position}", method="GET", body=b"", gateway=gateway
    )


async def check_not_tried(deployment: Deployment, job_id: str) -> None:
    """Check that no host runs items of a job, or reads or writes its records more often than the
    periodic sweeps of the watching hosts do.
    """
    ran, calls = list(deployment.targets[0].seen), dict(deployment.store.calls)
    sweeps = 4
    await asyncio.sleep(sweeps * SWEEP_INTERVAL_S)
    assert deployment.targets[0].seen == ran
    for path in ("/api/kv-key", "/api/kv-txn"):
        tries = deployment.store.calls[path] - calls[path]
        assert tries <= sweeps * len(deployment.gateways)
    assert all(JobId(job_id) not in gateway.worker.jobs for gateway in deployment.gateways)


async def restart_all(deployment: Deployment) -> None:
    """Kill all gateways and start as many again."""
    count = len(deployment.gateways)
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    for number in range(count):
        await deployment.add_gateway(f"host-{number}")


def overwrite_states(sound: JobState) -> dict[str, bytes]:
    """Return values that contradict themselves, by what is wrong in them."""
    listed = [Result(index, ItemOutcome.COMPLETE) for index in (0, 1)]
    changes: dict[str, dict[str, Any]] = {
        "listed index": {"listed": [Result(9, ItemOutcome.COMPLETE)], "commits": 1},
        "negative index": {"listed": [Result(-1, ItemOutcome.COMPLETE)], "commits": 1},
        "failed index": {"failures": {9: 1}},
        "same index": {"listed": [listed[0], listed[0]], "commits": 1},
        "tokens": {"item_tokens": sound.item_tokens[1:]},
        "ids": {"item_ids": sound.item_ids[1:]},
        "no parts of results": {"listed": listed},
        "parts without results": {"commits": 3},
        "sizes of parts": {"listed": listed, "commits": 1, "part_sizes": [(3, 10)]},
        "input parts": {"input_parts": 1_000_000},
        "age": {"age_s": float("nan")},
    }
    values = {
        name: encode_state(msgspec.structs.replace(sound, **change))
        for name, change in changes.items()
    }
    return values | {f"no state {number}": raw for number, raw in enumerate(NO_RECORDS)}


STATES = overwrite_states(make_state(100, 100, 100))


@pytest.mark.parametrize("name", STATES)
@pytest.mark.parametrize("restart", [False, True])
def test_overwritten_state_ends_its_job_only(name: str, restart: bool) -> None:
    """The job is neither run nor tried again all the time, its readers and a repeated submission
    are refused, and other jobs of the route are run. Before, an index out of range ended adoption
    and counts of tokens, and an owner sent its commit twice a second for ever.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        store, target = deployment.store, deployment.targets[0]
        target.event_interval_s = 0.4
        for job_id in ("job", "other"):
            assert (await deployment.submit(job_id, 3)).status == 202
        await asyncio.sleep(1.0)
        state = decode_state(store.read(job_key(JobId("job"))) or b"")
        store.put(job_key(JobId("job")), overwrite_states(state)[name])
        if restart:
            await restart_all(deployment)
        assert len(await deployment.read_all_results("other")) == 3
        store.put(quota_key("night"), b"")
        assert (await deployment.submit("next", 10)).status == 202
        assert len(await deployment.read_all_results("next", gateway=1)) == 10
        await asyncio.sleep(CHECKPOINT_INTERVAL_S)
        for gateway in range(2):
            assert (await read_answer(deployment, gateway)).status == 503
            assert (await deployment.submit("job", 3, gateway=gateway)).status == 503
        await check_not_tried(deployment, "job")

    run_in_virtual_time(work)


RESULT_ROW = msgspec.msgpack.encode(Result(0, ItemOutcome.COMPLETE, "text"))
INPUT = part_key(input_prefix(JobId("job")), 0)
RESULT = part_key(result_prefix(JobId("job")), 0)
OTHER_ITEMS = [Item(ItemId(f"other-{index}"), "/night/0", [], b"", 10) for index in range(3)]
PARTS = {
    **{f"input {number}": {INPUT: raw} for number, raw in enumerate(NO_RECORDS)},
    **{f"result {number}": {RESULT: raw} for number, raw in enumerate(NO_RECORDS)},
    "no input": {INPUT: None},
    "no result": {RESULT: None},
    "input of another job": {INPUT: split_items(OTHER_ITEMS, 1 << 20)[0]},
    "input of fewer items": {INPUT: split_items(OTHER_ITEMS[1:], 1 << 20)[0]},
    "result of another job": {
        RESULT: encode_part([msgspec.msgpack.encode(Result(2, ItemOutcome.COMPLETE, "x"))])
    },
    "no fragments": {INPUT: msgspec.msgpack.encode(FragmentedPart("0", 1 << 62, 1))},
    "fragments of no size": {INPUT: msgspec.msgpack.encode(FragmentedPart("0", 1 << 62, 0))},
    "fragments of negative size": {RESULT: msgspec.msgpack.encode(FragmentedPart("0", -1, 1))},
    "overwritten fragment": {
        INPUT: msgspec.msgpack.encode(FragmentedPart("0", 3, 3)),
        f"{LARGE_PREFIX}job/0/3/000000": NESTED,
    },
}


def put_lost_job(deployment: Deployment, records: dict[str, bytes | None]) -> None:
    """Store a job of a lost host, 4,800 tokens of three items of which one is listed.

    :param records: values of keys that another writer has overwritten; None for a deleted one.
    """
    items = [Item(ItemId(f"item-{index}"), "/night/0", [], b"", 1600) for index in range(3)]
    state = msgspec.structs.replace(
        make_state(1600, 1600, 1600),
        owner=Incarnation("gone:x"),
        listed=[Result(0, ItemOutcome.COMPLETE)],
        commits=1,
        part_sizes=[(1, 10)],
        partial=True,
    )
    values = {
        INPUT: split_items(items, 1 << 20)[0],
        RESULT: encode_part([RESULT_ROW]),
        job_key(JobId("job")): encode_state(state),
        **records,
    }
    for key, value in values.items():
        if value is not None:
            deployment.store.put(key, value)


@pytest.mark.parametrize("name", PARTS)
def test_job_of_unreadable_parts_is_given_up(name: str) -> None:
    """Readers of such a job waited for ever, results of other items were served, other items were
    run, and its tokens counted against the next jobs.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        put_lost_job(deployment, PARTS[name])
        await restart_all(deployment)
        assert (await deployment.submit("other", 1)).status == 202
        assert len(await deployment.read_all_results("other", gateway=1)) == 1
        await asyncio.sleep(UNREADABLE_JOB_S + SWEEP_INTERVAL_S)
        for gateway in range(2):
            assert (await read_answer(deployment, gateway, position=1)).status == 503
            assert (await deployment.submit("job", 3, gateway=gateway)).status == 503
        deployment.store.put(quota_key("night"), b"")
        assert (await deployment.submit("next", 50)).status == 202
        assert len(await deployment.read_all_results("next")) == 50
        await check_not_tried(deployment, "job")
        await restart_all(deployment)
        await check_not_tried(deployment, "job")
        assert (await read_answer(deployment, 0, position=1)).status == 503

    run_in_virtual_time(work)


def test_unexpected_error_does_not_leave_an_unreadable_job_out_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job stayed noted as being tried, so that no later sweep of its owner ran it."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        put_lost_job(deployment, PARTS["no input"])
        await restart_all(deployment)
        worker = deployment.gateways[0].worker
        await asyncio.sleep(SWEEP_INTERVAL_S)
        assert worker.unreadable_jobs

        async def fail(job_id: JobId) -> bool:
            raise ZeroDivisionError

        with monkeypatch.context() as patch:
            patch.setattr(type(worker), "_run_or_give_up", lambda worker, job_id: fail(job_id))
            await asyncio.sleep(UNREADABLE_JOB_S)
        await asyncio.sleep(2 * UNREADABLE_JOB_S)
        assert (await read_answer(deployment, 0, position=1)).status == 503

    run_in_virtual_time(work)


@pytest.mark.parametrize("raw", [*NO_RECORDS, b"\x81\x63\x93\x01\x91\xa1x\xa0"])
def test_job_of_overwritten_texts_and_foreign_parts_is_run(raw: bytes) -> None:
    """Texts of unfinished items only save work, and keys of another writer between the parts of a
    job are not its parts.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        foreign = {f"{input_prefix(JobId('job'))}0": raw, f"{result_prefix(JobId('job'))}00": raw}
        put_lost_job(deployment, {partial_key(JobId("job")): raw, **foreign})
        await restart_all(deployment)
        rows = await deployment.read_all_results("job")
        assert [row["state"] for row in rows] == ["complete"] * 3

    run_in_virtual_time(work)
