"""Jobs whose host was lost are taken over by a live one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from .records import NO_OWNER
from .repository import Superseded

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import Incarnation
    from .repository import JobRepository, StoredJob
    from .worker import Worker

LOST_S = 1.0
"""Seconds that a host must be missing before its jobs are taken over: entries that lapsed
while the service was away are back within that time."""
SILENT_PRESENCE_S = 4.0
"""Seconds instead, where the host still sends datagrams: it cannot reach the service, so its
results would not be listed, but it often is back soon."""
RETRY_S = 1.0
"""Seconds until jobs are looked at again while some have no host."""


def choose_orphans(
    jobs: list[StoredJob],
    own: Incarnation,
    live: set[Incarnation],
    is_lost: Callable[[Incarnation], bool],
) -> list[StoredJob]:
    """Return the jobs without a host that this one takes over: each goes to one live host."""
    return [job for job in jobs if is_orphan(job, is_lost) and rank(job.id, live)[:1] == [own]]


def is_orphan(job: StoredJob, is_lost: Callable[[Incarnation], bool]) -> bool:
    """Whether nobody runs a job that has something to run."""
    owner = job.state.owner
    return not job.state.done and (owner == NO_OWNER or is_lost(owner))


@dataclass
class Adoption:
    """Takes over the jobs of lost hosts.

    :param live: returns the lives of listed hosts, this one included.
    :param heard: returns the lives whose datagrams came lately.
    :ivar wanted: set when a host was lost.
    """

    repository: JobRepository
    worker: Worker
    own: Incarnation
    live: Callable[[], set[Incarnation]]
    heard: Callable[[], set[Incarnation]]
    holds_lease: Callable[[], bool]
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    missing_since: dict[Incarnation, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Look for jobs without a host at the start and after each loss."""
        self.wanted.set()
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            if not self.holds_lease():
                self.wanted.set()
                await asyncio.sleep(RETRY_S)
                continue
            try:
                again = await self.sweep()
            except KvError as error:
                emit(events.ADOPTION_FAILED, reason=str(error))
                again = True
            if again:
                self.wanted.set()
                await asyncio.sleep(RETRY_S)

    async def sweep(self) -> bool:
        """Take over what falls to this host; return whether jobs without a host remain."""
        jobs = await self.repository.list_jobs()
        self._note_missing(jobs)
        live = self.live()
        for job in choose_orphans(jobs, self.own, live, self.is_lost):
            try:
                adopted = await self.repository.adopt(job, self.own)
            except Superseded:
                continue
            emit(events.JOB_ADOPTED, job=job.id, former=job.state.owner)
            await self.worker.take(adopted)
        for job in jobs:
            if job.state.owner == self.own and not job.state.done:
                await self.worker.take(job)
        owners = {job.state.owner for job in jobs if not job.state.done}
        return not owners <= live

    def _note_missing(self, jobs: list[StoredJob]) -> None:
        now = monotonic()
        live = self.live()
        missing = {job.state.owner for job in jobs if not job.state.done} - live
        known = self.missing_since
        self.missing_since = {owner: known.get(owner, now) for owner in missing}

    def is_lost(self, owner: Incarnation) -> bool:
        """Whether a host has been missing for long enough."""
        since = self.missing_since.get(owner)
        if since is None:
            return False
        wait_s = SILENT_PRESENCE_S if owner in self.heard() else LOST_S
        return monotonic() - since >= wait_s
