"""Jobs whose host was lost are taken over by live ones."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError, KvUnreadable
from ..peers.presence import read_host
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from .repository import Superseded

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import Incarnation, JobId
    from ..peers.presence import HostTable
    from .repository import JobRepository, StoredJob
    from .worker import Worker

LOST_S = 1.0
"""Seconds that a host must be missing before its jobs are taken over: entries that lapsed
while the service was away are back within that time."""
SILENT_PRESENCE_S = 4.0
"""Seconds instead, where the host still sends datagrams: it cannot reach the service, so its
results would not be listed, but it often is back soon."""
RETRY_S = 0.5
"""Seconds until jobs are looked at again while some have no host."""
PATROL_S = 10.0
"""Seconds after which the hosts that watch look for jobs without a host though no loss was
seen: a notice may have been lost, and jobs are due in about twice that time."""
ADOPTERS = 3
"""Hosts that share the jobs of a lost one. More would read all jobs for each loss."""
ANYONE_S = 4.0
"""Seconds without a host after which whoever looks takes a job: its adopters are lost too."""


def choose_adopter(job_id: JobId, owner: Incarnation, live: set[Incarnation]) -> Incarnation:
    """Return the live host that takes over a job of *owner*: every host says the same."""
    return rank(job_id, rank(owner, live)[:ADOPTERS])[0]


@dataclass
class Adoption:
    """Takes over the jobs of lost hosts.

    :param hosts: the listed hosts.
    :param patrols: whether this host looks now and then without a reason.
    :param heard: returns the lives whose datagrams came lately.
    :param remind: reminds live hosts of jobs that they own and do not run.
    :param tell_former: tells the former owner of a job that another one runs it, if it lives
        after all.
    :ivar wanted: set when this host has to look for jobs without a host.
    :ivar forced: there is a reason to look beside a loss.
    :ivar lost: lives that vanished from the list since the last look.
    :ivar silent: listed lives that have not been heard for long. Their jobs are taken over before
        their leases run out, which takes a third of the time in which jobs are due. Should one
        live, its next commit tells it.
    :ivar sweeps: looks at all jobs so far.
    :ivar orphan_since: when each job was first seen without a host.
    """

    repository: JobRepository
    worker: Worker
    own: Incarnation
    hosts: HostTable
    heard: Callable[[], set[Incarnation]]
    holds_lease: Callable[[], bool]
    patrols: Callable[[], bool]
    remind: Callable[[list[StoredJob]], Awaitable[None]]
    tell_former: Callable[[StoredJob], Awaitable[None]]
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    missing_since: dict[Incarnation, float] = field(default_factory=dict)
    orphan_since: dict[JobId, float] = field(default_factory=dict)
    lost: set[Incarnation] = field(default_factory=set)
    silent: set[Incarnation] = field(default_factory=set)
    forced: bool = False
    sweeps: int = 0

    def note_lost(self, life: Incarnation) -> None:
        """Look for the jobs of a host that is not listed any more, if it falls to this one."""
        self.lost.add(life)
        self.wanted.set()

    def note_silent(self, silent: set[Incarnation]) -> None:
        """Take which listed lives have not been heard for long."""
        for life in silent - self.silent:
            emit(events.MEMBER_SILENT, incarnation=life)
            self.note_lost(life)
        self.silent = silent

    def look(self) -> None:
        """Look for jobs without a host soon, whoever they fall to."""
        self.forced = True
        self.wanted.set()

    async def _has_reason(self) -> bool:
        """Whether this host has to look, once hosts that only lapsed had time to come back."""
        if self.forced or not self.lost:
            self.forced = False
            self.lost.clear()
            return True
        if any(not self.hosts.is_replaced(life) for life in self.lost - self.silent):
            await asyncio.sleep(LOST_S)
        lost = self.lost - (self.hosts.incarnations - self.silent)
        self.lost.clear()
        return any(self.own in rank(life, self.live)[:ADOPTERS] for life in lost)

    async def run(self) -> None:
        """Look for jobs without a host at the start, after each loss and now and then."""
        self.look()
        while True:
            try:
                async with asyncio.timeout(PATROL_S):
                    await self.wanted.wait()
            except TimeoutError:
                if not self.patrols():
                    continue
            self.wanted.clear()
            if not await self._has_reason():
                continue
            again = True
            if self.holds_lease():
                try:
                    again = await self.sweep()
                except KvError as error:
                    emit(events.ADOPTION_FAILED, reason=str(error))
            if again:
                self.look()
                await asyncio.sleep(RETRY_S)

    async def sweep(self) -> bool:
        """Take over what falls to this host; return whether jobs without a host remain."""
        jobs = [job for job in await self.repository.list_jobs() if not job.state.done]
        self.sweeps += 1
        self._note_missing(jobs)
        for job in jobs:
            try:
                await self._look_at(job)
            except KvUnreadable as error:
                emit(events.JOB_UNREADABLE, job=job.id, reason=str(error))
        await self.remind(jobs)
        return any(job.state.released or job.state.owner not in self.live for job in jobs)

    async def _look_at(self, job: StoredJob) -> None:
        """Run a job if it is this host's or falls to it.

        :raises KvUnreadable: what is stored of it cannot be decoded.
        """
        if job.state.owner == self.own and not job.state.released:
            await self.worker.take(job)
        elif self.is_orphan(job) and self._falls_to_this_host(job):
            await self._adopt(job)

    async def _adopt(self, job: StoredJob) -> None:
        try:
            adopted = await self.repository.adopt(job, self.own)
        except Superseded:
            return
        emit(events.JOB_ADOPTED, job=job.id, former=job.state.owner)
        # Its lease may have been taken away without its knowing. It must not answer readers any
        # more once results are listed here.
        await self.tell_former(job)
        await self.worker.take(adopted)

    def _falls_to_this_host(self, job: StoredJob) -> bool:
        if choose_adopter(job.id, job.state.owner, self.live) == self.own:
            return True
        # It may have become one since this look began.
        now = monotonic()
        return now - self.orphan_since.get(job.id, now) >= ANYONE_S

    def _note_missing(self, jobs: list[StoredJob]) -> None:
        now = monotonic()
        live = self.live
        missing = {job.state.owner for job in jobs} - live
        self.missing_since = {owner: self.missing_since.get(owner, now) for owner in missing}
        orphans = [job.id for job in jobs if self.is_orphan(job)]
        self.orphan_since = {job_id: self.orphan_since.get(job_id, now) for job_id in orphans}

    @property
    def live(self) -> set[Incarnation]:
        """The lives of listed hosts that are not silent, this one's included."""
        return (self.hosts.incarnations - self.silent) | {self.own}

    def is_orphan(self, job: StoredJob) -> bool:
        """Whether nobody runs a job that has something to run."""
        return not job.state.done and (job.state.released or self.is_lost(job.state.owner))

    def is_lost(self, owner: Incarnation) -> bool:
        """Whether a host has been missing for long enough, or has begun a new life."""
        if read_host(owner) == read_host(self.own) or self.hosts.is_replaced(owner):
            return owner != self.own
        if owner in self.silent:
            return True
        since = self.missing_since.get(owner)
        if since is None:
            return False
        wait_s = SILENT_PRESENCE_S if owner in self.heard() else LOST_S
        return monotonic() - since >= wait_s
