"""A data host: keeps jobs on its disk until the key-value service has them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import KvError, StoreError
from ..ids import JobId
from ..jobs.repository import Admission
from ..peers.presence import PRESENCE_PREFIX, HostTable
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .records import SpoolRequest

if TYPE_CHECKING:
    from ..jobs.repository import JobRepository
    from ..kv.service import KeyValueService
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .disk import SpoolDisk
    from .records import SpooledJob

LOOK_S = 0.25
"""Seconds between looks for jobs that are due to be entered."""
FIRST_ENTRY_S = 2.0
"""Seconds after which a data host tries to enter a job itself: the host that accepted it tries
first, within a second of the service's return, and each call is priced."""
ENTRY_RETRY_S = 1.0
"""Seconds between tries: the service's return is noticed within them."""
HOSTS_ASKED = 3
"""Hosts that are asked to run an entered job, until one does."""
ASK_TIMEOUT_S = 0.5
"""Seconds that a host has to answer."""


@dataclass
class HeldJob:
    """A job on this host's disk.

    :ivar since: monotonic time from which this life has it.
    :ivar next_try_at: monotonic time before which it is not tried to be entered.
    """

    job: SpooledJob
    since: float
    next_try_at: float


@dataclass
class SpoolHost:
    """Keeps jobs, and enters those that their acceptor does not.

    :ivar retiring: the operator wants this host emptied; it keeps no further job.
    """

    disk: SpoolDisk
    kv: KeyValueService
    repository: JobRepository
    http: HttpClient
    held: dict[JobId, HeldJob] = field(default_factory=dict)
    retiring: bool = False

    def load(self) -> None:
        """Take up the jobs that an earlier life kept."""
        now = monotonic()
        for job in self.disk.read_all():
            self.held[job.id] = HeldJob(job, now, now)
        emit(events.SPOOL_LOADED, jobs=len(self.held))

    async def handle(self, request: Request) -> Response:
        """Answer a host."""
        if request.method == "POST" and request.path == "/spool":
            return self._keep(await request.read_body())
        if request.method == "POST" and request.path == "/retire":
            self.retiring = True
            self.hasten()
            return Response(503 if self.held else 200)
        if request.method == "GET":
            return Response(200 if _read_job_id(request) in self.held else 404)
        if request.method == "DELETE":
            self._forget(_read_job_id(request), "entered by its acceptor")
            return Response(200)
        return Response(404)

    def _keep(self, raw: bytes) -> Response:
        try:
            asked = msgspec.msgpack.decode(raw, type=SpoolRequest)
        except msgspec.DecodeError as error:
            emit(events.SPOOL_UNREADABLE, reason=str(error))
            return Response(409)
        job = asked.job
        if job.id in self.held:
            return Response(200)
        if self.retiring:
            return Response(503)
        waiting = sum(
            held.job.tokens for held in self.held.values() if held.job.state.shares_limit(job.state)
        )
        if asked.most_tokens and waiting + job.tokens > asked.most_tokens:
            emit(events.SPOOL_REFUSED, job=job.id, reason="quota", waiting_tokens=waiting)
            return Response(409)
        try:
            self.disk.put(job)
        except StoreError as error:
            emit(events.SPOOL_REFUSED, job=job.id, reason=str(error), waiting_tokens=waiting)
            return Response(500)
        now = monotonic()
        self.held[job.id] = HeldJob(job, now, now + FIRST_ENTRY_S)
        emit(events.SPOOL_KEPT, job=job.id, items=len(job.items), held=len(self.held))
        return Response(200)

    def _forget(self, job_id: JobId, reason: str) -> None:
        if self.held.pop(job_id, None) is not None:
            self.disk.delete(job_id)
            emit(events.SPOOL_FORGOTTEN, job=job_id, reason=reason, held=len(self.held))

    def hasten(self) -> None:
        """Try every job now."""
        for held in self.held.values():
            held.next_try_at = 0.0

    async def run(self) -> None:
        """Enter jobs whose acceptor does not, for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            now = monotonic()
            for held in [row for row in self.held.values() if row.next_try_at <= now]:
                held.next_try_at = now + ENTRY_RETRY_S
                try:
                    await self._enter(held)
                except KvError as error:
                    emit(events.SPOOL_WAITS, job=held.job.id, reason=str(error))
                    # The others would fare no better.
                    break

    async def _enter(self, held: HeldJob) -> None:
        """Create a job in the key-value service unless it is there.

        :raises KvError: no definite answer.
        """
        job = held.job
        age_s = monotonic() - held.since
        state = msgspec.structs.replace(job.state, released=True, age_s=age_s)
        # What was promised is charged, but no limit can refuse it any more.
        submission = await self.repository.accept(job.id, state, job.items, 0)
        if submission.admission is Admission.NEW:
            emit(events.JOB_ENTERED, job=job.id, items=len(job.items))
            await self._ask_to_run(job)
        self._forget(job.id, "in the service")

    async def _ask_to_run(self, job: SpooledJob) -> None:
        """Have a live host take a job; without one, whoever looks for such jobs finds it.

        The host that accepted it is asked first: it has run items of it already.
        """
        found = await self.kv.range(PRESENCE_PREFIX)
        table = HostTable()
        for item in found.items:
            table.put_readable(item.key, item.value)
        address = {host.incarnation: host.peer_address for host in table.hosts.values()}
        others = rank(job.id, set(address) - {job.state.owner})
        acceptor = [job.state.owner] if job.state.owner in address else []
        for life in [*acceptor, *others][:HOSTS_ASKED]:
            origin = split_address(address[life])
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    response = await self.http.send(origin, "GET", f"/take/{job.id}")
                    await response.read()
            except (ConnectFailed, ResponseBroken, TimeoutError) as error:
                emit(events.PEER_SILENT, member=address[life], reason=repr(error))
                continue
            if response.status == 200:
                return


def _read_job_id(request: Request) -> JobId:
    return JobId(request.path.removeprefix("/spool/"))
