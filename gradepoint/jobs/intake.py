"""Accepts jobs: in the key-value service, or on data hosts while the service does not answer.

A job on data hosts is *spooled*. It is *entered* once it is created in the key-value service.
"""

from __future__ import annotations

import asyncio
import random
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import KvError, KvRejected, KvUncertain, KvUnreadable
from ..spool.client import SpoolOutcome
from ..spool.records import SpooledJob
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import hash32
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup
from .records import quota_key
from .repository import REJECTED_RETRY_S, Admission, OwedJob, Submission

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import JobId
    from ..spool.client import SpoolClient
    from ..telemetry.metrics import Labels
    from .records import Item, JobState
    from .repository import JobRepository, StoredJob

MAX_ADVERTISED_JOBS = 2048
"""Most waiting jobs that this host announces, 5 bytes each in every heartbeat. Readers of the
others who ask another host are told to come back."""
SPOOL_AFTER_SHARE = 0.3
"""Share of a route's answer time goal after which a job is also spooled while its creation has no
answer yet. It is many times the normal latency of the key-value service and still leaves the data
hosts enough time."""
POLL_INTERVAL_S = 0.05
"""Seconds between checks whether the key-value service answers again."""
ENTRY_RETRY_S = 0.3
"""Longest time in seconds until a failed creation of spooled jobs is retried; half of it is the
shortest."""
MAX_BATCH_JOBS = 16
"""Most jobs that are offered for one transaction; 10 of them fit into its 32 entries."""


class Intake(Struct):
    """Accepts jobs, and creates spooled jobs in the key-value service once it answers.

    :param spool: client of the data hosts.
    :param reaches_service: whether this host's calls to the key-value service are answered,
        directly or through another host.
    :param on_spooled: called for each job that was spooled and is not in the service yet.
    :param on_entered: called for each spooled job once the service has it.
    :param is_run_elsewhere: returns whether another host has a job already.
    :param leaving: whether this host is stopping, so that another host has to run entered jobs.
    :param quota_excess: share by which spooled jobs may exceed a route's token limit.
    :ivar waiting: spooled jobs of this host that the service does not have yet.
    :ivar owed: those whose first creation failed, by the key of their quota record, oldest first.
    :ivar waiting_since: monotonic time since which each of them waits, oldest first.
    """

    repository: JobRepository
    spool: SpoolClient
    reaches_service: Callable[[], bool]
    on_spooled: Callable[[SpooledJob], None]
    on_entered: Callable[[StoredJob, list[Item]], Awaitable[None]]
    is_run_elsewhere: Callable[[JobId], Awaitable[bool]]
    leaving: Callable[[], bool]
    quota_excess: float
    waiting: dict[JobId, SpooledJob] = field(default_factory=dict)
    owed: dict[str, dict[JobId, None]] = field(default_factory=dict)
    waiting_since: dict[JobId, float] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def announced_job_numbers(self) -> list[int]:
        """Return the short numbers of the newest waiting jobs, so that other hosts can ask."""
        newest = islice(reversed(self.waiting), MAX_ADVERTISED_JOBS)
        return [hash32(job_id) for job_id in newest]

    def read_waiting_jobs(self) -> dict[Labels, float]:
        """Return the number of waiting jobs, for the metrics page."""
        return {(): len(self.waiting)}

    def read_oldest_s(self) -> dict[Labels, float]:
        """Return the seconds for which the oldest of them has waited, for the metrics page."""
        oldest = next(iter(self.waiting_since.values()), None)
        return {(): 0.0 if oldest is None else monotonic() - oldest}

    async def accept(
        self,
        job_id: JobId,
        state: JobState,
        items: list[Item],
        max_tokens: int,
        goal_s: float,
    ) -> Submission:
        """Accept a job in the key-value service or, if that takes too long, on data hosts.

        :param max_tokens: most tokens that may wait under the job's limit.
        :param goal_s: seconds in which the client expects its answer.
        :raises KvUnavailable: the job is not stored anywhere and will not be.
        :raises KvUncertain: the job may be stored, or may be later.
        :raises KvRejected: the service refuses the job, which is not an outage; it is not stored.
        :raises KvUnreadable: the service has a job of this id, whose state is unreadable.
        """
        if job_id in self.waiting:
            return Submission(Admission.SPOOLED, None)
        if not self.spool.available:
            return await self.repository.accept(job_id, state, items, max_tokens)
        creation = self.repository.accept(job_id, state, items, max_tokens)
        create_task = self.tasks.start(creation, awaited=True)
        wait_s = goal_s * SPOOL_AFTER_SHARE if self.reaches_service() else 0.0
        await asyncio.wait([create_task], timeout=wait_s)
        if create_task.done() and (create_task.exception() is None or is_refused(create_task)):
            return create_task.result()
        if await self.is_run_elsewhere(job_id):
            # If it were spooled here too, this host would report the job to readers as one without
            # listed results.
            return Submission(Admission.KNOWN, None)
        return await self._spool(SpooledJob(job_id, state, items), max_tokens, create_task)

    async def _spool(
        self, job: SpooledJob, max_tokens: int, create_task: asyncio.Task[Submission]
    ) -> Submission:
        """Spool a job on data hosts while its creation is in progress."""
        # With this bound, all data hosts together hold at most the tolerated excess.
        max_tokens_per_host = int(max_tokens * self.quota_excess * self.spool.copies_per_host)
        keep_task = self.tasks.start(self.spool.keep(job, max_tokens_per_host), awaited=True)
        await asyncio.wait([create_task, keep_task], return_when=asyncio.FIRST_COMPLETED)
        if not is_created(create_task):
            await asyncio.wait([keep_task])
        if is_created(create_task):
            self.tasks.start(self._forget(keep_task, job.id))
            return create_task.result()
        if is_refused(create_task):
            await self._forget(keep_task, job.id)
            if keep_task.result() is SpoolOutcome.NOT_KEPT:
                return create_task.result()
            raise KvUncertain("a data host may keep a job that the service refuses")
        if keep_task.result() is SpoolOutcome.KEPT:
            emit(events.JOB_SPOOLED, job=job.id, items=len(job.items))
            self.waiting[job.id] = job
            self.waiting_since[job.id] = monotonic()
            self.on_spooled(job)
            self.tasks.start(self._enter(job, create_task))
            return Submission(Admission.SPOOLED, None)
        if keep_task.result() is SpoolOutcome.NOT_KEPT:
            return await create_task
        try:
            submission = await create_task
        except KvError as error:
            raise KvUncertain(f"a data host may keep the job: {error}") from error
        if submission.admission is Admission.NO_ROOM:
            raise KvUncertain("a data host may keep a job that does not fit")
        return submission

    async def _forget(self, keep_task: asyncio.Task[SpoolOutcome], job_id: JobId) -> None:
        await asyncio.wait([keep_task])
        await self.spool.forget(job_id)

    async def _enter(self, job: SpooledJob, create_task: asyncio.Task[Submission]) -> None:
        """Enter a spooled job whose creation is in progress, later if it fails."""
        submission = await self._await_creation(create_task)
        if submission is None:
            self._owe(job.id)
        else:
            await self._finish(job, submission)

    def _owe(self, job_id: JobId) -> None:
        """Have a waiting job entered; the jobs that share a limit are entered by one task."""
        state = self.waiting[job_id].state
        key = quota_key(state.route, state.organisation)
        if key not in self.owed:
            self.owed[key] = {}
            self.tasks.start(self._enter_owed(key))
        self.owed[key][job_id] = None

    async def _enter_owed(self, key: str) -> None:
        """Create the waiting jobs of one limit in the key-value service, oldest first."""
        owed = self.owed[key]
        while owed:
            if not self.reaches_service():
                await asyncio.sleep(POLL_INTERVAL_S * random.uniform(0.5, 1.5))
                continue
            batch = [self._make_owed_job(name) for name in islice(owed, MAX_BATCH_JOBS)]
            first = batch[0].id
            try:
                entered = await self.repository.enter(batch)
            except (KvRejected, KvUnreadable) as error:
                fields = error.log_fields if isinstance(error, KvRejected) else {}
                emit(events.SPOOL_REJECTED, job=first, **{"reason": str(error), **fields})
                del owed[first]
                self.tasks.start(self._owe_later(first))
                continue
            except KvError as error:
                emit(events.SPOOL_WAITS, job=first, jobs=len(owed), reason=str(error))
                await asyncio.sleep(ENTRY_RETRY_S * random.uniform(0.5, 1.0))
                continue
            for job_id, submission in entered.items():
                del owed[job_id]
                self.tasks.start(self._finish(self.waiting[job_id], submission))
        del self.owed[key]

    def _make_owed_job(self, job_id: JobId) -> OwedJob:
        job = self.waiting[job_id]
        age_s = monotonic() - self.waiting_since[job_id]
        state = msgspec.structs.replace(job.state, released=self.leaving(), age_s=age_s)
        return OwedJob(job_id, state, job.items)

    async def _owe_later(self, job_id: JobId) -> None:
        await asyncio.sleep(REJECTED_RETRY_S)
        self._owe(job_id)

    async def _finish(self, job: SpooledJob, submission: Submission) -> None:
        """Stop keeping a spooled job that the key-value service has now."""
        waited_s = round(monotonic() - self.waiting_since[job.id], 2)
        emit(events.JOB_ENTERED, job=job.id, items=len(job.items), waited_s=waited_s)
        if submission.job is not None:
            await self.on_entered(submission.job, job.items)
        del self.waiting[job.id]
        del self.waiting_since[job.id]
        await self.spool.forget(job.id)

    async def _await_creation(self, create_task: asyncio.Task[Submission]) -> Submission | None:
        await asyncio.wait([create_task])
        return create_task.result() if is_created(create_task) else None


def is_refused(create_task: asyncio.Task[Submission]) -> bool:
    """Whether a creation has ended with an error that is not an outage of the service."""
    error = create_task.exception() if create_task.done() else None
    if error is None:
        return False
    # A job whose state is unreadable may have been accepted and run before.
    return isinstance(error, KvRejected | KvUnreadable) or not isinstance(error, KvError)


def is_created(create_task: asyncio.Task[Submission]) -> bool:
    """Whether a creation has ended with the job in the key-value service."""
    if not create_task.done() or create_task.cancelled() or create_task.exception() is not None:
        return False
    return create_task.result().admission is not Admission.NO_ROOM
