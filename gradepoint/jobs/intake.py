"""Accepts jobs: in the key-value service, or on data hosts while the service is away."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import KvError, KvUncertain
from ..spool.client import Kept
from ..spool.records import SpooledJob
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import short_number
from ..util.tasks import TaskGroup
from .repository import Admission, Submission

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import JobId
    from ..spool.client import SpoolClient
    from .records import Item, JobState
    from .repository import JobRepository, StoredJob

SPOOL_AFTER_SHARE = 0.3
"""Share of the goal of an acceptance after which a job is spooled beside the write that has no
answer yet: many times what the service takes, and early enough for the data hosts."""
LOOK_S = 0.05
"""Seconds between looks whether the service answers again."""
ENTRY_RETRY_S = 0.3
"""Seconds until an entry that failed is tried again."""


@dataclass
class Intake:
    """Jobs on their way into the key-value service.

    :param spool: the data hosts.
    :param reaches_service: whether this host's calls to the service are answered, by any way.
    :param on_kept: told of each job that was spooled and is not in the service yet.
    :param on_entered: told of each job that was spooled and is in the service now.
    :param is_run_elsewhere: asks whether another host has a job already.
    :param leaving: whether this host stops, so that another has to run what is entered.
    :param quota_excess: share by which a route's limit may be exceeded.
    :ivar waiting: jobs accepted by this host that the service does not have yet.
    """

    repository: JobRepository
    spool: SpoolClient
    reaches_service: Callable[[], bool]
    on_kept: Callable[[SpooledJob], None]
    on_entered: Callable[[StoredJob, list[Item]], Awaitable[None]]
    is_run_elsewhere: Callable[[JobId], Awaitable[bool]]
    leaving: Callable[[], bool]
    quota_excess: float
    waiting: dict[JobId, SpooledJob] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def job_numbers(self) -> list[int]:
        """Return the short numbers of the waiting jobs, which other hosts may ask about."""
        return [short_number(job_id) for job_id in self.waiting]

    async def accept(
        self,
        job_id: JobId,
        state: JobState,
        items: list[Item],
        max_tokens: int,
        goal_s: float,
    ) -> Submission:
        """Accept a job, wherever it can be kept.

        :param goal_s: seconds in which the client wants its answer.
        :raises KvUnavailable: it is kept nowhere and never will be.
        :raises KvUncertain: it may be kept.
        """
        if job_id in self.waiting:
            return Submission(Admission.SPOOLED, None)
        if not self.spool.available:
            return await self.repository.accept(job_id, state, items, max_tokens)
        creation = self.repository.accept(job_id, state, items, max_tokens)
        creating = self.tasks.start(creation, awaited=True)
        wait_s = goal_s * SPOOL_AFTER_SHARE if self.reaches_service() else 0.0
        await asyncio.wait([creating], timeout=wait_s)
        if creating.done() and creating.exception() is None:
            return creating.result()
        if await self.is_run_elsewhere(job_id):
            # Kept here as well, it would look as if none of its results were listed.
            return Submission(Admission.KNOWN, None)
        return await self._spool(SpooledJob(job_id, state, items), max_tokens, creating)

    async def _spool(
        self, job: SpooledJob, max_tokens: int, creating: asyncio.Task[Submission]
    ) -> Submission:
        """Keep a job on data hosts while its creation goes on."""
        # Together the data hosts then hold no more than the tolerated excess.
        most_tokens = int(max_tokens * self.quota_excess * self.spool.copies_a_host)
        keeping = self.tasks.start(self.spool.keep(job, most_tokens), awaited=True)
        await asyncio.wait([creating, keeping], return_when=asyncio.FIRST_COMPLETED)
        if not is_created(creating):
            await asyncio.wait([keeping])
        if is_created(creating):
            self.tasks.start(self._forget(keeping, job.id))
            return creating.result()
        if keeping.result() is Kept.YES:
            emit(events.JOB_SPOOLED, job=job.id, items=len(job.items))
            self.waiting[job.id] = job
            self.on_kept(job)
            self.tasks.start(self._enter(job, creating))
            return Submission(Admission.SPOOLED, None)
        if keeping.result() is Kept.NOWHERE:
            return await creating
        try:
            submission = await creating
        except KvError as error:
            raise KvUncertain(f"a data host may keep the job: {error}") from error
        if submission.admission is Admission.NO_ROOM:
            raise KvUncertain("a data host may keep a job that does not fit")
        return submission

    async def _forget(self, keeping: asyncio.Task[Kept], job_id: JobId) -> None:
        await asyncio.wait([keeping])
        await self.spool.forget(job_id)

    async def _enter(self, job: SpooledJob, creating: asyncio.Task[Submission]) -> None:
        """Create a spooled job in the service, however long that takes."""
        begun = monotonic()
        submission = await self._await_creation(creating)
        while submission is None:
            if not self.reaches_service():
                await asyncio.sleep(LOOK_S)
                continue
            state = msgspec.structs.replace(
                job.state, released=self.leaving(), age_s=monotonic() - begun
            )
            try:
                # What was promised is charged, but no limit can refuse it any more.
                submission = await self.repository.accept(job.id, state, job.items, 0)
            except KvError as error:
                emit(events.SPOOL_WAITS, job=job.id, reason=str(error))
                await asyncio.sleep(ENTRY_RETRY_S)
        emit(events.JOB_ENTERED, job=job.id, items=len(job.items))
        if submission.job is not None:
            await self.on_entered(submission.job, job.items)
        del self.waiting[job.id]
        await self.spool.forget(job.id)

    async def _await_creation(self, creating: asyncio.Task[Submission]) -> Submission | None:
        await asyncio.wait([creating])
        return creating.result() if is_created(creating) else None


def is_created(creating: asyncio.Task[Submission]) -> bool:
    """Whether a creation ended with the job in the service."""
    if not creating.done() or creating.cancelled() or creating.exception() is not None:
        return False
    return creating.result().admission is not Admission.NO_ROOM
