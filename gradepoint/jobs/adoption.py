"""Adoption of orphaned batch jobs: live hosts take over the jobs of lost hosts.

A job is orphaned when its owner has released it, has restarted as a new incarnation, or is lost.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError, KvRejected, KvUnreadable
from ..kv.pace import BackgroundPace
from ..kv.unreadable import UnreadableRows
from ..peers.presence import read_host
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.structs import Struct, field
from ..util.tasks import locate_error
from .records import job_key
from .repository import JOBS_PER_TURN, Superseded
from .shared_listing import make_listing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import Incarnation, JobId
    from ..peers.presence import HostTable
    from .repository import JobRepository, ListedJob, StoredJob
    from .shared_listing import Listing, SharedListing
    from .worker import Worker

LOST_AFTER_S = 1.0
"""Seconds that a host must be missing from the host list before its jobs are taken over. Presence
entries whose lease expired during an outage of the key-value service are back within that time."""
LOST_AFTER_IF_HEARD_S = 4.0
"""Used instead of :data:`LOST_AFTER_S` if the missing host still sends datagrams. Such a host
cannot reach the key-value service and thus cannot list the results of its jobs, but it often
recovers soon."""
SWEEP_RETRY_S = 0.5
"""Seconds until the next sweep while orphaned jobs remain."""
MAX_SWEEP_RETRY_S = 4.0
"""Longest time in seconds until the next sweep after one that failed; half of it is the shortest.
It doubles with each failure, since all hosts that swept at once would be refused again."""
SWEEP_INTERVAL_S = 10.0
"""Seconds between periodic sweeps, which the watching hosts run even if no host was reported lost:
a notice may have been dropped, and jobs are due in about twice that time."""
LISTING_REUSE_S = 0.25
"""Age in seconds of a listing that serves a repeated sweep of a host that has just started. With
it, one host lists the jobs four times a second at most, however many hosts repeat their sweeps."""
ADOPTERS_PER_HOST = 3
"""Hosts that share the jobs of a lost host. Each of them reads all jobs, so more hosts would
multiply the reads for each loss."""
ADOPT_BY_ANY_AFTER_S = 4.0
"""Seconds after which any host that sweeps takes over an orphaned job: the hosts it was assigned to
are taken to be lost too."""
STUCK_AFTER_S = 2 * ADOPT_BY_ANY_AFTER_S
"""Seconds after which an orphaned job that no host has taken over counts as stuck: every host has
tried several times. While all orphaned jobs are stuck, sweeps are :data:`MAX_SWEEP_RETRY_S` apart,
since each of them lists all jobs."""


def choose_adopter(job_id: JobId, owner: Incarnation, live: set[Incarnation]) -> Incarnation:
    """Return the live host that takes over a job of *owner*.

    Every host with the same view of the live hosts gets the same result.
    """
    return rank(job_id, rank(owner, live)[:ADOPTERS_PER_HOST])[0]


class Adoption(Struct):
    """Takes over the jobs of lost hosts.

    A sweep reads all jobs, adopts the orphaned ones that are assigned to this host, and reminds
    owners of jobs that they do not run.

    :param own: incarnation of this host.
    :param hosts: the hosts listed in the key-value service.
    :param recently_heard: returns the incarnations whose datagrams arrived lately.
    :param holds_lease: whether this host holds its presence lease; without it nothing is adopted.
    :param sweeps_periodically: whether this host sweeps every :data:`SWEEP_INTERVAL_S` without
        any loss.
    :param remind_owners: reminds live hosts of jobs that they own but do not run.
    :param notify_former: tells the former owner of an adopted job, if it is still alive, that
        another host runs the job.
    :param pace: rate of this program's background calls.
    :param shared: lists the jobs together with other hosts, until a sweep of this run finds no
        orphaned job; None to list them here at once.
    :ivar requested_at: monotonic time at which a sweep was last requested from outside of
        :meth:`run`.
    :ivar sweep_requested: set when a sweep may be due.
    :ivar missing_since: monotonic time at which each owner was first seen missing from the host
        list.
    :ivar orphan_since: monotonic time at which each job was first seen orphaned.
    :ivar lost: incarnations that left the host list, or fell silent, since the last sweep.
    :ivar silent: listed incarnations that have not been heard for long. Their jobs are taken over
        before their leases expire, because the expiry takes a third of the time in which jobs are
        due. A silent host that is still alive learns of the takeover from its next commit.
    :ivar sweep_forced: the next sweep runs on this host whichever hosts were lost.
    :ivar sweeps: number of sweeps so far.
    :ivar is_stuck: whether every job that the last sweep left orphaned has been so for
        :data:`STUCK_AFTER_S`.
    :ivar failed: jobs whose last check failed; the next sweep checks them after all others.
    :ivar unreadable: jobs whose records or state raised an error.
    """

    repository: JobRepository
    worker: Worker
    own: Incarnation
    hosts: HostTable
    recently_heard: Callable[[], set[Incarnation]]
    holds_lease: Callable[[], bool]
    sweeps_periodically: Callable[[], bool]
    remind_owners: Callable[[list[StoredJob]], Awaitable[None]]
    notify_former: Callable[[StoredJob], Awaitable[None]]
    pace: BackgroundPace = field(default_factory=BackgroundPace)
    shared: SharedListing | None = None
    requested_at: float = 0.0
    sweep_requested: asyncio.Event = field(default_factory=asyncio.Event)
    missing_since: dict[Incarnation, float] = field(default_factory=dict)
    orphan_since: dict[JobId, float] = field(default_factory=dict)
    lost: set[Incarnation] = field(default_factory=set)
    silent: set[Incarnation] = field(default_factory=set)
    sweep_forced: bool = False
    sweeps: int = 0
    is_stuck: bool = False
    failed: set[JobId] = field(default_factory=set)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def note_lost(self, incarnation: Incarnation) -> None:
        """Record the loss of a host, and sweep if its jobs may be assigned to this host."""
        self.lost.add(incarnation)
        self.requested_at = monotonic()
        self.sweep_requested.set()

    def update_silent(self, silent: set[Incarnation]) -> None:
        """Replace the set of silent hosts, and handle each newly silent one as lost."""
        for incarnation in silent - self.silent:
            emit(events.MEMBER_SILENT, incarnation=incarnation)
            self.note_lost(incarnation)
        self.silent = silent

    def request_sweep(self) -> None:
        """Request a sweep soon, whichever hosts were lost."""
        self.requested_at = monotonic()
        self._force_sweep()

    def _force_sweep(self) -> None:
        self.sweep_forced = True
        self.sweep_requested.set()

    async def _should_sweep(self) -> bool:
        """Return whether this host has to sweep.

        Waits first, unless the lost hosts are silent or replaced, so that a host whose presence
        entry only expired has time to be listed again.
        """
        if self.sweep_forced or not self.lost:
            self.sweep_forced = False
            self.lost.clear()
            return True
        if any(not self.hosts.is_replaced(incarnation) for incarnation in self.lost - self.silent):
            await asyncio.sleep(LOST_AFTER_S)
        lost = self.lost - (self.hosts.incarnations - self.silent)
        self.lost.clear()
        return any(
            self.own in rank(incarnation, self.live)[:ADOPTERS_PER_HOST] for incarnation in lost
        )

    async def run(self) -> None:
        """Sweep at the start, after the loss of a host and periodically; never returns."""
        if self.shared is not None:
            await self.shared.wait_for_others()
        self._force_sweep()
        retry_s = next_retry_s = SWEEP_RETRY_S
        rng = random.Random(self.own)
        while True:
            try:
                async with asyncio.timeout(SWEEP_INTERVAL_S):
                    await self.sweep_requested.wait()
            except TimeoutError:
                if not self.sweeps_periodically():
                    continue
            self.sweep_requested.clear()
            if not await self._should_sweep():
                continue
            again, is_stuck = True, False
            if self.holds_lease():
                try:
                    again = await self.sweep()
                    is_stuck = self.is_stuck
                    retry_s = next_retry_s = SWEEP_RETRY_S
                except KvError as error:
                    emit(events.ADOPTION_FAILED, reason=str(error))
                    retry_s = next_retry_s * rng.uniform(0.5, 1.0)
                    next_retry_s = min(MAX_SWEEP_RETRY_S, next_retry_s * 2)
            if again and is_stuck:
                await self._wait_for_request(MAX_SWEEP_RETRY_S)
                await asyncio.sleep(retry_s)
                self._force_sweep()
            elif again:
                self._force_sweep()
                await asyncio.sleep(retry_s)

    async def _wait_for_request(self, longest_s: float) -> None:
        """Wait until a sweep is requested from outside, for a time at most."""
        try:
            async with asyncio.timeout(longest_s):
                await self.sweep_requested.wait()
        except TimeoutError:
            pass

    async def sweep(self) -> bool:
        """Adopt the orphaned jobs assigned to this host; return whether orphaned jobs remain.

        :raises KvError: the service did not answer; the next sweep begins with the other jobs.
        """
        listing = await self._list_open_jobs()
        self.sweeps += 1
        self._update_missing(listing.rows)
        for job_id in self.failed - {row.id for row in listing.rows}:
            self.failed.discard(job_id)
            self.unreadable.clear(job_key(job_id))
        # A call that always fails for one job would otherwise end each sweep at this job.
        rows = sorted(listing.rows, key=lambda row: row.id in self.failed)
        for number, row in enumerate(rows, 1):
            await self._check_alone(row, listing.stored.get(row.id))
            if number % JOBS_PER_TURN == 0:
                await asyncio.sleep(0)
        # Reminders need the states of the jobs, which only a host that lists them by itself has.
        await self.remind_owners(list(listing.stored.values()))
        live = self.live
        remaining = [row.id for row in listing.rows if row.released or row.owner not in live]
        self.is_stuck = bool(remaining) and all(map(self._is_stuck, remaining))
        if not remaining:
            self.shared = None
        return bool(remaining)

    def _is_stuck(self, job_id: JobId) -> bool:
        now = monotonic()
        return now - self.orphan_since.get(job_id, now) >= STUCK_AFTER_S

    async def _list_open_jobs(self) -> Listing:
        shared = self.shared
        if shared is None:
            await self.pace.wait()
            return make_listing(await self.repository.list_jobs())
        # The first listing must have begun after this host read the list of hosts: it then names
        # the jobs of every host that was lost before, and later losses are noticed here.
        oldest = monotonic() - LISTING_REUSE_S if self.sweeps else 0.0
        return await shared.list_open_jobs(max(shared.read_at, self.requested_at, oldest))

    async def _check_alone(self, row: ListedJob, job: StoredJob | None) -> None:
        """Check a job like :meth:`_check_job`; log an error that concerns no other job.

        :raises KvError: the service did not answer.
        """
        key = job_key(row.id)
        self.failed.add(row.id)
        try:
            await self._check_job(row, job)
        except (KvUnreadable, KvRejected) as error:
            self.unreadable.note(events.JOB_UNREADABLE, key, str(error), job=row.id)
        except KvError:
            raise
        except Exception as error:
            self.unreadable.note(
                events.ROW_FAILED, key, repr(error), job=row.id, where=locate_error(error)
            )
        else:
            self.failed.discard(row.id)
            self.unreadable.clear(key)

    async def _check_job(self, row: ListedJob, job: StoredJob | None) -> None:
        """Run a job if this host owns it, or adopt it if it is orphaned and assigned to this host.

        :param job: the job as stored; None to read it if it is needed.
        :raises KvUnreadable: the stored records of the job cannot be decoded.
        """
        is_own = row.owner == self.own and not row.released
        if not is_own and not (self._is_orphan(row) and self._is_assigned_here(row)):
            return
        if is_own and job is None and row.id in self.worker.jobs:
            return
        if not is_own:
            await self.pace.wait()
        if job is None:
            job = await self.repository.load(row.id)
            if job is None or job.state.done or job.row != row:
                # It has changed since it was listed.
                return
        if is_own:
            await self.worker.start_job(job)
        else:
            await self._adopt(job)

    async def _adopt(self, job: StoredJob) -> None:
        try:
            adopted = await self.repository.adopt(job, self.own)
        except Superseded:
            return
        emit(events.JOB_ADOPTED, job=job.id, former=job.state.owner)
        # The former owner may not know that its lease was revoked. Once results are listed here,
        # it must not answer readers any more.
        await self.notify_former(job)
        await self.worker.start_job(adopted)

    def _is_assigned_here(self, job: ListedJob) -> bool:
        if choose_adopter(job.id, job.owner, self.live) == self.own:
            return True
        # No entry: the job became an orphan during this sweep.
        now = monotonic()
        return now - self.orphan_since.get(job.id, now) >= ADOPT_BY_ANY_AFTER_S

    def _update_missing(self, jobs: list[ListedJob]) -> None:
        now = monotonic()
        live = self.live
        missing = {job.owner for job in jobs} - live
        self.missing_since = {owner: self.missing_since.get(owner, now) for owner in missing}
        orphans = [job.id for job in jobs if self._is_orphan(job)]
        self.orphan_since = {job_id: self.orphan_since.get(job_id, now) for job_id in orphans}

    @property
    def live(self) -> set[Incarnation]:
        """Incarnations of the listed hosts that are not silent, always including this host."""
        return (self.hosts.incarnations - self.silent) | {self.own}

    def is_orphan(self, job: StoredJob) -> bool:
        """Whether a job has unfinished items and no host that runs them."""
        return not job.state.done and self._is_orphan(job.row)

    def _is_orphan(self, job: ListedJob) -> bool:
        """Whether an unfinished job has no host that runs it."""
        return job.released or self.is_lost(job.owner)

    def is_lost(self, owner: Incarnation) -> bool:
        """Whether an owner has restarted as a new incarnation, is silent, or has been missing from
        the host list for long enough."""
        if read_host(owner) == read_host(self.own) or self.hosts.is_replaced(owner):
            return owner != self.own
        if owner in self.silent:
            return True
        since = self.missing_since.get(owner)
        if since is None:
            return False
        wait_s = LOST_AFTER_IF_HEARD_S if owner in self.recently_heard() else LOST_AFTER_S
        return monotonic() - since >= wait_s
