"""Randomized model check of the job and quota records.

Several hosts accept, run, commit, end, adopt and resubmit jobs, some of whose items and texts
exceed one value of the store. By turns their store loses answers, applies writes late or is down.
An oracle records what every caller was told, and compares all later answers with it.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import pytest

from gradepoint.errors import KvError, KvUnavailable, KvUncertain
from gradepoint.ids import Incarnation, ItemId, JobId
from gradepoint.jobs.records import Item, ItemOutcome, JobState, Result
from gradepoint.jobs.repository import (
    Admission,
    CommittedWork,
    JobRepository,
    StoredJob,
    Superseded,
)
from gradepoint.kv.limits import KvLimits
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.standins.virtual_time import run_virtual

SEEDS = int(os.environ.get("GRADEPOINT_SEEDS", "25"))
STEPS = int(os.environ.get("GRADEPOINT_STEPS", "4000"))
"""Steps for each seed. The defaults of 25 seeds and 4,000 steps make 100,000 steps in CI; longer
runs are started by hand with larger values."""

ROUTE = "night"
ITEMS = 4
TOKENS = 10
MAX_TOKENS = 6 * ITEMS * TOKENS
HOSTS = 4
VALUE_BYTES = 1000


@dataclass(frozen=True)
class CallerView:
    """What callers had been told about one job at some moment."""

    promised: bool
    ended: bool
    results: int


@dataclass
class Oracle:
    """Records what callers were told.

    :ivar promised: jobs whose submission was acknowledged.
    :ivar uncertain: jobs with a submission whose outcome was uncertain.
    :ivar in_flight: number of submissions that have no answer yet, by job.
    :ivar read: results that were read, by job and position.
    :ivar ended: jobs whose end was acknowledged.
    """

    promised: set[JobId] = field(default_factory=set)
    in_flight: Counter[JobId] = field(default_factory=Counter)
    uncertain: set[JobId] = field(default_factory=set)
    read: dict[JobId, dict[int, Result]] = field(default_factory=lambda: defaultdict(dict))
    ended: set[JobId] = field(default_factory=set)

    def caller_view(self, job_id: JobId) -> CallerView:
        """Return what callers have been told about a job so far.

        A read must agree with the view at its start.
        """
        return CallerView(job_id in self.promised, job_id in self.ended, len(self.read[job_id]))

    def check_read(
        self, caller_view: CallerView, job: StoredJob | None, job_id: JobId, results: list[Result]
    ) -> None:
        """Compare a read with what callers had been told when it began."""
        if job is None:
            assert not caller_view.promised, "an acknowledged job is missing"
            return
        known = job_id in self.promised | self.uncertain or self.in_flight[job_id] > 0
        assert known, "a job exists although all of its submissions were refused"
        indices = [row.index for row in results]
        assert len(set(indices)) == len(indices), "an item is listed at two positions"
        shown = self.read[job_id]
        assert len(results) >= caller_view.results, "results that were read before are missing"
        for position, row in enumerate(results):
            assert shown.setdefault(position, row) == row, "the result at a position changed"
            assert row.text == expected_text(job_id, row.index)
        if caller_view.ended:
            assert job.state.ended, "an end was undone"


def expected_text(job_id: JobId, index: int) -> str:
    """Return the text of an item; the last item's text exceeds one value of the store."""
    return f"{job_id} {index}" * (1 + 200 * (index == ITEMS - 1))


def item_body(index: int) -> bytes:
    """Return the body of an item; the first item's body exceeds one value of the store."""
    return b"b" * (1 if index else 2 * VALUE_BYTES)


class Host:
    """One host: a repository and the jobs that the host believes it owns."""

    def __init__(self, number: int, store: MemoryKv, rng: random.Random, oracle: Oracle) -> None:
        self.name = Incarnation(f"host-{number}")
        self.rng = rng
        self.oracle = oracle
        self.fault_rate = 0.25
        client = MemoryKvClient(store, self.fault)
        client.late_s = 0.4
        self.repository = JobRepository(client, VALUE_BYTES)
        self.jobs: dict[JobId, StoredJob] = {}
        self.texts: dict[JobId, dict[int, Result]] = defaultdict(dict)

    def fault(self, kind: str) -> KvFault:
        """Return the fault of the next store call."""
        if self.rng.random() > self.fault_rate:
            return KvFault.NONE
        if kind == "txn":
            return self.rng.choice(list(KvFault)[1:])
        return self.rng.choice([KvFault.DOWN, KvFault.LOST_AFTER])

    async def step(self, job_id: JobId) -> None:
        """Do one random action; store errors are expected."""
        actions = [self.submit, self.read, self.commit, self.commit, self.commit, self.adopt]
        if self.rng.random() < 0.02:
            actions = [self.end, self.restart]
        try:
            await self.rng.choice(actions)(job_id)
        except KvError:
            pass

    async def submit(self, job_id: JobId) -> None:
        """Submit a job, which may exist already."""
        ids = [ItemId(f"{job_id}-{n}") for n in range(ITEMS)]
        items = [Item(name, "/p", [], item_body(n), TOKENS) for n, name in enumerate(ids)]
        state = JobState(ROUTE, "h", self.name, 0, ids, [TOKENS] * ITEMS)
        caller_view = self.oracle.caller_view(job_id)
        self.oracle.in_flight[job_id] += 1
        try:
            done = await self.repository.accept(job_id, state, items, MAX_TOKENS)
        except KvUncertain:
            self.oracle.uncertain.add(job_id)
            return
        except KvUnavailable:
            return
        finally:
            self.oracle.in_flight[job_id] -= 1
        if done.admission is Admission.NO_ROOM:
            assert not caller_view.promised, "an acknowledged job was refused"
            return
        self.oracle.promised.add(job_id)
        if done.job is not None and done.job.state.owner == self.name:
            self.jobs.setdefault(job_id, done.job)

    async def read(self, job_id: JobId) -> None:
        """Read a job as its client does."""
        caller_view = self.oracle.caller_view(job_id)
        job = await self.repository.load(job_id)
        results = []
        if job is not None:
            results = await self.repository.load_results(job)
            bodies = [item.body for item in await self.repository.load_items(job)]
            assert bodies == [item_body(index) for index in range(ITEMS)]
        self.oracle.check_read(caller_view, job, job_id, results)

    async def commit(self, job_id: JobId) -> None:
        """Commit random items that are not listed, as far as this host knows."""
        if not self.jobs:
            return
        job = self.jobs[self.rng.choice(sorted(self.jobs))]
        listed = {row.index for row in job.state.listed}
        left = [index for index in range(ITEMS) if index not in listed]
        if not left or job.state.ended:
            return
        count = self.rng.randint(1, len(left))
        rows = [
            Result(index, ItemOutcome.COMPLETE, expected_text(job.id, index))
            for index in self.rng.sample(left, count)
        ]
        try:
            self.jobs[job.id] = await self.repository.commit(job, CommittedWork(rows))
        except Superseded as error:
            del self.jobs[job.id]
            if error.job is not None and error.job.state.owner == self.name:
                self.jobs[job.id] = error.job

    async def adopt(self, job_id: JobId) -> None:
        """Adopt a job whoever owns it, as a host does that wrongly considers the owner lost."""
        job = await self.repository.load(job_id)
        if job is None or job.state.done:
            return
        try:
            self.jobs[job_id] = await self.repository.adopt(job, self.name)
        except Superseded:
            pass

    async def end(self, job_id: JobId) -> None:
        """End a job as its client does."""
        if await self.repository.end(job_id):
            self.oracle.ended.add(job_id)

    async def restart(self, job_id: JobId) -> None:
        """Forget all jobs and cached quotas, as a restarted host does."""
        self.jobs.clear()
        self.repository.quota_cache.clear()


def waiting_tokens(store: MemoryKv) -> int:
    """Return the number of waiting tokens according to the store."""
    from gradepoint.jobs.records import JOB_PREFIX, decode_state

    return sum(
        decode_state(item.value).waiting_tokens
        for key, item in store.keys.items()
        if key.startswith(JOB_PREFIX)
    )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_acknowledged_jobs_and_results_are_never_lost_or_changed(seed: int) -> None:
    """Lost answers, late writes and wrong adoptions must not undo what a caller was told."""

    async def main() -> None:
        rng = random.Random(seed)
        store = MemoryKv(limits=KvLimits(VALUE_BYTES))
        oracle = Oracle()
        hosts = [Host(number, store, rng, oracle) for number in range(HOSTS)]
        names = [JobId(f"j{number}") for number in range(40)]

        async def run_host(host: Host) -> None:
            for step in range(STEPS // HOSTS):
                first = step * len(names) * HOSTS // STEPS
                await host.step(rng.choice(names[max(0, first - 5) : first + 3]))
                assert waiting_tokens(store) <= MAX_TOKENS, "waiting tokens exceed the limit"

        await asyncio.gather(*(run_host(host) for host in hosts))
        await asyncio.sleep(5)
        for host in hosts:
            host.fault_rate = 0.0
        for name in names:
            await hosts[0].read(name)
        kept = [name for name in names if (await hosts[0].repository.load(name)) is not None]
        assert set(kept) >= oracle.promised
        assert set(kept) <= oracle.promised | oracle.uncertain

    run_virtual(main())
