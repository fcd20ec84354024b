"""Request handling and background work of a data host.

A data host keeps spooled jobs on its disk until the key-value service has them. A job is entered
(created in the service) by the host that accepted it, or else by a data host.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import (
    DecodingError,
    KvError,
    KvOverRate,
    KvRejected,
    KvTooLarge,
    KvUnreadable,
    StoreError,
)
from ..ids import JobId
from ..jobs.repository import REJECTED_RETRY_S, Admission
from ..kv.unreadable import UnreadableRows
from ..peers.presence import PRESENCE_PREFIX, HostTable
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import locate_error
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .bounds import READS_AT_ONCE
from .client import KEEP_TIMEOUT_S
from .disk import is_file_name, printable
from .records import Limit, decode_job, read_outline, read_owner, split_request
from .schedule import EntrySchedule

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import Incarnation
    from ..jobs.repository import JobRepository
    from ..kv.service import KeyValueService
    from ..telemetry.metrics import Labels
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .bounds import SpoolBounds
    from .disk import SpoolDisk
    from .records import JobOutline

FOLDER_RETRY_S = 0.5
"""Seconds between attempts to use a data folder that cannot be used."""
REPORT_INTERVAL_S = 10.0
"""Seconds between log lines about a data folder that cannot be used."""
LOAD_RETRY_S = 10.0
"""Seconds between attempts to read files that could not be read, or did not fit into the index."""
LOAD_TURN_BYTES = 1 << 20
"""Bytes of files that loading reads before it lets other tasks run."""
POLL_INTERVAL_S = 0.25
"""Seconds between checks for jobs whose entry is due."""
FIRST_ENTRY_DELAY_S = 2.0
"""Seconds after which a data host tries to enter a job itself. The host that accepted the job tries
first, within a second after the key-value service answers again, and each call to the service has
a cost."""
ACCEPTOR_ENTRY_S = 5.0
"""Seconds for which jobs are left to their accepting host while it is listed, from the first answer
of the key-value service after an outage on. It enters hundreds of jobs per second, and its presence
expires after a few seconds if it stalls."""
MIN_OUTAGE_S = 1.0
"""Seconds for which calls of a data host fail before that counts as an outage, after which the
hosts that accepted jobs get time to enter them."""
RELIST_S = 1.5
"""The same while it is not listed: hosts whose presence expired in an outage are listed again
within a second of its end."""
LIST_INTERVAL_S = 1.0
"""Age in seconds up to which the list of hosts is used again."""
ROUND_JOBS = 64
"""Most due jobs that are put into a random order together. Data hosts that keep the same jobs would
otherwise try them at the same time."""
ENTRY_RETRY_S = 1.0
"""Seconds between attempts to enter a job, and thus the longest time in which a data host notices
that the key-value service answers again."""
MAX_HOSTS_ASKED = 3
"""Hosts that are asked to run an entered job, one after another, until one accepts."""
ASK_TIMEOUT_S = 0.5
"""Seconds that a host has to answer."""


class FileState(Enum):
    """What is known about an entry of the folder of jobs.

    ``JOB``: it is a job, which is held now if the index has room. ``NO_JOB``: it is absent,
    foreign or damaged. ``UNREAD``: it may be a job, but cannot be read now.
    """

    JOB = "job"
    NO_JOB = "no-job"
    UNREAD = "unread"


class WaitingTokens(msgspec.Struct):
    """The jobs on this host's disk that share one limit.

    :ivar tokens: their tokens.
    :ivar jobs: their number.
    """

    limit: Limit
    tokens: int = 0
    jobs: int = 0


class HeldJob(msgspec.Struct, gc=False):
    """A job on this host's disk; its items stay there.

    :param tokens: see :class:`JobOutline`.
    :param waiting: the jobs that share its limit.
    :param since: monotonic time at which this process stored or loaded the job.
    """

    tokens: int
    waiting: WaitingTokens
    since: float


@dataclass
class SpoolHost:
    """Keeps jobs, and enters those that the accepting host does not enter.

    :ivar held: jobs on this host's disk.
    :ivar waiting: their tokens by limit.
    :ivar schedule: when they are to be entered.
    :ivar reading: limits the bodies that are read at once.
    :ivar answered_since: monotonic time since which the key-value service has had no outage; None
        during one.
    :ivar failing_since: monotonic time of the first failed call since the last answered one; None
        without one.
    :ivar listed: addresses of the listed hosts.
    :ivar listed_at: monotonic time at which they were read.
    :ivar unreadable: rows of the list of hosts that cannot be used.
    :ivar unread: number of files that may be jobs and are not in the index, since they could not
        be read or the index was full.
    :ivar retiring: the operator has requested that this host be drained; it accepts no further job.
    """

    disk: SpoolDisk
    kv: KeyValueService
    repository: JobRepository
    http: HttpClient
    bounds: SpoolBounds
    reading: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(READS_AT_ONCE))
    held: dict[JobId, HeldJob] = field(default_factory=dict)
    waiting: dict[Limit, WaitingTokens] = field(default_factory=dict)
    schedule: EntrySchedule = field(default_factory=EntrySchedule)
    answered_since: float | None = None
    failing_since: float | None = None
    listed: dict[Incarnation, str] = field(default_factory=dict)
    listed_at: float = float("-inf")
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)
    unread: int = 0
    retiring: bool = False

    def read_held_jobs(self) -> dict[Labels, float]:
        """Return the number of jobs on this host's disk, for the metrics page."""
        return {(): len(self.held)}

    def read_oldest_s(self) -> dict[Labels, float]:
        """Return the seconds since this process held the oldest of them, for the metrics page."""
        oldest = next(iter(self.held.values()), None)
        return {(): 0.0 if oldest is None else monotonic() - oldest.since}

    async def open_disk(self) -> None:
        """Open the data folder as soon as it can be used."""

        async def open_once() -> None:
            self.disk.open()

        await _wait_for_folder(self.disk, open_once)

    async def load_at_start(self) -> None:
        """Load the jobs as soon as the data folder can be read."""
        await _wait_for_folder(self.disk, self.load)

    async def load(self) -> None:
        """Load the jobs that an earlier incarnation stored; their entry is due at once.

        Other tasks run after each :data:`LOAD_TURN_BYTES` or :data:`~.disk.BATCH_FILES` files.
        Files that cannot be read are counted in :attr:`unread`.

        :raises OSError: the folder cannot be read.
        """
        unread = unread_bytes = turn_bytes = 0
        for batch in self.disk.list_batches():
            for name in batch:
                job_id = JobId(name)
                if job_id in self.held:
                    continue
                if len(self.held) < self.bounds.max_jobs:
                    state = self._load_file(name)
                    turn_bytes += self.disk.sizes.get(job_id, 0)
                else:
                    state = FileState.UNREAD
                if state is FileState.UNREAD:
                    unread += 1
                    unread_bytes += self._find_size(job_id)
                if turn_bytes > LOAD_TURN_BYTES:
                    turn_bytes = 0
                    await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.unread = unread
        self.disk.unread_bytes = unread_bytes
        emit(events.SPOOL_LOADED, jobs=len(self.held), unread=unread)

    def _find_size(self, job_id: JobId) -> int:
        try:
            return self.disk.find_size(job_id) or 0
        except OSError as error:
            emit(events.SPOOL_FILE_FAILED, job=printable(job_id), reason=error.strerror)
            return 0

    def _load_file(self, name: str) -> FileState:
        """Read the file of a job that is not held, and hold the job; log why it cannot be."""
        job_id = JobId(name)
        try:
            if not is_file_name(name):
                return FileState.NO_JOB
            size = self.disk.find_size(job_id)
            if size is None:
                self._ignore(name, "not a regular file")
                return FileState.NO_JOB
            if size > self.bounds.file_bytes:
                self._ignore(name, f"{size} bytes, more than a job's file has")
                return FileState.NO_JOB
            job = read_outline(self.disk.read(job_id))
        except FileNotFoundError:
            return FileState.NO_JOB
        except OSError as error:
            emit(events.SPOOL_FILE_FAILED, job=printable(name), reason=error.strerror)
            return FileState.UNREAD
        except DecodingError as error:
            emit(events.SPOOL_UNREADABLE, job=printable(name), reason=str(error))
            return FileState.NO_JOB
        except Exception as error:
            # The file may be that of an accepted job, so it stays and is tried again.
            self._note_fault(JobId(printable(name)), error)
            return FileState.UNREAD
        if job.id != job_id:
            self._ignore(name, f"the file of job {job.id}")
            return FileState.NO_JOB
        if len(self.held) < self.bounds.max_jobs:
            self._hold(job, size, 0.0)
        return FileState.JOB

    def _hold(self, job: JobOutline, size: int, delay_s: float) -> None:
        """Put a job into the index; its entry is due after a delay."""
        now = monotonic()
        self.disk.count(job.id, size)
        waiting = self.waiting.setdefault(job.limit, WaitingTokens(job.limit))
        waiting.tokens += job.tokens
        waiting.jobs += 1
        self.held[job.id] = HeldJob(job.tokens, waiting, now)
        self.schedule.put(job.id, now, delay_s)

    def _drop(self, job_id: JobId) -> None:
        """Remove a job from the index, if it is there."""
        self.schedule.discard(job_id)
        held = self.held.pop(job_id, None)
        if held is None:
            return
        held.waiting.tokens -= held.tokens
        held.waiting.jobs -= 1
        if not held.waiting.jobs:
            del self.waiting[held.waiting.limit]

    def _ignore(self, name: str, reason: str) -> None:
        emit(events.SPOOL_ENTRY_IGNORED, path=printable(self.disk.jobs / name), reason=reason)

    async def load_unread(self) -> None:
        """Read the files that could not be read, until all are; never returns."""
        while True:
            await asyncio.sleep(LOAD_RETRY_S)
            if self.unread:
                await self.load()

    async def handle(self, request: Request) -> Response:
        """Answer a request of another host: keep, find or delete a job, or retire this host."""
        if request.method == "POST" and request.path == "/spool":
            return await self._receive(request)
        if request.method == "POST" and request.path == "/retire":
            self.retiring = True
            self.retry_now()
            return Response(503 if self.held or self.unread else 200)
        if request.method == "GET":
            return Response(self._find(_read_job_id(request)))
        if request.method == "DELETE":
            job_id = _read_job_id(request)
            found = self._find(job_id)
            if found == 404:
                return Response(200)
            is_deleted = found == 200 and self._forget(job_id, "entered by the accepting host")
            return Response(200 if is_deleted else 500)
        return Response(404)

    def _find(self, job_id: JobId) -> int:
        """Return the status that tells whether this host has a job; 503 if that is not known."""
        if job_id in self.held:
            return 200
        if not self.unread:
            return 404
        return {FileState.JOB: 200, FileState.NO_JOB: 404, FileState.UNREAD: 503}[
            self._load_file(job_id)
        ]

    async def _receive(self, request: Request) -> Response:
        """Read a job when memory permits; the sender waits no longer than the time-out."""
        try:
            async with asyncio.timeout(KEEP_TIMEOUT_S), self.reading:
                raw = await self._read_body(request)
                return Response(500) if raw is None else self._keep(raw)
        except TimeoutError:
            emit(events.SPOOL_REFUSED, job="", reason="not received in time", waiting_tokens=0)
            return Response(500)

    async def _read_body(self, request: Request) -> bytearray | None:
        """Return the body of a request; None if it exceeds the bound."""
        raw = bytearray()
        async with aclosing(request.body_source()) as pieces:  # type: ignore[type-var]
            async for piece in pieces:
                if len(raw) + len(piece) > self.bounds.body_bytes:
                    reason = f"more than {self.bounds.body_bytes} bytes"
                    emit(events.SPOOL_REFUSED, job="", reason=reason, waiting_tokens=0)
                    return None
                raw += piece
        return raw

    def _keep(self, raw: bytearray) -> Response:
        try:
            content, max_tokens = split_request(raw)
            job = read_outline(content, self.repository.value_bytes)
        except DecodingError as error:
            emit(events.SPOOL_UNREADABLE, reason=str(error))
            return Response(409)
        if not is_file_name(job.id):
            emit(events.SPOOL_REFUSED, job=job.id, reason="id", waiting_tokens=0)
            return Response(409)
        found = self._find(job.id)
        if found == 503:
            # The job may be on the disk, so that no refusal would be true.
            return Response(500)
        if found == 200:
            return Response(200)
        if self.retiring:
            return Response(503)
        waiting = self.waiting[job.limit].tokens if job.limit in self.waiting else 0
        if max_tokens and waiting + job.tokens > max_tokens:
            emit(events.SPOOL_REFUSED, job=job.id, reason="quota", waiting_tokens=waiting)
            return Response(409)
        try:
            if len(self.held) >= self.bounds.max_jobs:
                raise StoreError("the index of jobs is full")
            self.disk.put(job.id, content)
        except StoreError as error:
            emit(events.SPOOL_REFUSED, job=job.id, reason=str(error), waiting_tokens=waiting)
            return Response(500)
        self._hold(job, len(content), FIRST_ENTRY_DELAY_S)
        emit(events.SPOOL_KEPT, job=job.id, items=job.items, held=len(self.held))
        return Response(200)

    def _forget(self, job_id: JobId, reason: str) -> bool:
        """Delete a job; return whether its file is deleted."""
        try:
            self.disk.delete(job_id)
        except OSError as error:
            # The job stays held; the next attempt to enter it deletes it again.
            emit(events.SPOOL_FILE_FAILED, job=job_id, reason=error.strerror)
            return False
        self._drop(job_id)
        emit(events.SPOOL_FORGOTTEN, job=job_id, reason=reason, held=len(self.held))
        return True

    def retry_now(self) -> None:
        """Make the entry of every job due now."""
        self.schedule.hurry()

    async def run(self) -> None:
        """Enter jobs that the accepting host has not entered; never returns."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = monotonic()
            while due := self._take_due(now):
                if not await self._try_each(due):
                    break

    def _take_due(self, now: float) -> list[JobId]:
        """Return some of the due jobs in a random order; each is due again later."""
        due: list[JobId] = []
        while len(due) < ROUND_JOBS and (job_id := self.schedule.pop_due(now)) is not None:
            due.append(job_id)
        for job_id in due:
            self.schedule.put(job_id, now, ENTRY_RETRY_S)
        random.shuffle(due)
        return due

    async def _try_each(self, jobs: list[JobId]) -> bool:
        """Enter jobs if possible; return whether others are worth a try now."""
        for job_id in jobs:
            # The accepting host may have entered it meanwhile.
            if job_id in self.held and not await self._try_to_enter(job_id):
                return False
            # Jobs whose files cannot be read would otherwise block the loop.
            await asyncio.sleep(0)
        return True

    async def _try_to_enter(self, job_id: JobId) -> bool:
        """Enter a job if possible; return whether others are worth a try now."""
        try:
            await self._enter(job_id, self.held[job_id])
            self.failing_since = None
            if self.answered_since is None:
                self.answered_since = monotonic()
        except KvRejected as error:
            self._postpone(job_id, REJECTED_RETRY_S)
            emit(events.SPOOL_REJECTED, job=job_id, **error.log_fields)
        except KvUnreadable as error:
            # The service answers, and has a job that this version cannot decode.
            self._postpone(job_id, REJECTED_RETRY_S)
            emit(events.JOB_UNREADABLE, job=job_id, reason=str(error))
        except KvError as error:
            emit(events.SPOOL_WAITS, job=job_id, reason=str(error))
            if not isinstance(error, KvOverRate):
                self._note_failure()
            # The service does not answer, so other jobs would fail too.
            return False
        except FileNotFoundError:
            self._forget(job_id, "its file is gone")
        except OSError as error:
            self._postpone(job_id, LOAD_RETRY_S)
            emit(events.SPOOL_FILE_FAILED, job=job_id, reason=error.strerror)
        except DecodingError as error:
            self._postpone(job_id, REJECTED_RETRY_S)
            emit(events.SPOOL_UNREADABLE, job=job_id, reason=str(error))
        except Exception as error:
            self._postpone(job_id, REJECTED_RETRY_S)
            self._note_fault(job_id, error)
        return True

    def _note_fault(self, job_id: JobId, error: Exception) -> None:
        emit(events.SPOOL_JOB_FAILED, job=job_id, reason=repr(error), where=locate_error(error))

    def _postpone(self, job_id: JobId, delay_s: float) -> None:
        """Make the next entry of a job due after a delay, if the job is still held."""
        if job_id in self.held:
            self.schedule.put(job_id, monotonic(), delay_s)

    async def _enter(self, job_id: JobId, held: HeldJob) -> None:
        """Create a job in the key-value service unless it exists there, then delete it here.

        A job whose accepting host is listed is left to that host for a while.

        :raises KvError: no definite answer; the job stays here.
        :raises OSError: its file cannot be read now.
        :raises DecodingError: its file is damaged.
        """
        await self.kv.pace.wait()
        # Whether the job exists is read first: a transaction would send all of its items.
        if await self.repository.load(job_id) is None:
            await self._list_hosts()
            if self._is_left_to_acceptor(job_id, held):
                return
            await self.kv.pace.wait()
            owner = await self._create(job_id, held)
            if owner is not None:
                await self._ask_to_run(job_id, owner)
        if job_id in self.held and not self._forget(job_id, "the key-value service has the job"):
            self._postpone(job_id, REJECTED_RETRY_S)

    def _note_failure(self) -> None:
        """Record a call without an answer; only calls that fail for a while are an outage."""
        now = monotonic()
        if self.failing_since is None:
            self.failing_since = now
        if now - self.failing_since >= MIN_OUTAGE_S:
            self.answered_since = None

    def _is_left_to_acceptor(self, job_id: JobId, held: HeldJob) -> bool:
        """Whether the host that accepted a job is expected to enter it.

        :raises OSError: the file of the job cannot be read now.
        :raises DecodingError: it is damaged.
        """
        now = monotonic()
        since = now if self.answered_since is None else max(self.answered_since, held.since)
        if self.retiring or now - since >= ACCEPTOR_ENTRY_S:
            return False
        if now - since < RELIST_S:
            return True
        return read_owner(self.disk.read(job_id)) in self.listed

    async def _list_hosts(self) -> None:
        """Read the list of hosts, unless that was done a moment ago.

        A list that is too large names no host: the jobs are entered here then, and any host may run
        them. Another writer's entries may stand for any time.

        :raises KvError: no answer.
        """
        now = monotonic()
        if now - self.listed_at < LIST_INTERVAL_S:
            return
        table = HostTable(unreadable=self.unreadable)
        try:
            for item in (await self.kv.range(PRESENCE_PREFIX)).items:
                with self.unreadable.isolate(item.key):
                    table.put_readable(item.key, item.value)
        except KvTooLarge as error:
            emit(events.HOST_LIST_TOO_LARGE, reason=str(error))
        self.listed = {host.incarnation: host.peer_address for host in table.hosts.values()}
        self.listed_at = now

    async def _create(self, job_id: JobId, held: HeldJob) -> Incarnation | None:
        """Create a job; return the owner that it names if it did not exist.

        The job is in memory only while this runs.
        """
        # A job that only a former version accepted takes the memory of the bodies as well.
        large = self.disk.sizes[job_id] > self.bounds.body_bytes
        slots = READS_AT_ONCE if large else 0
        async with AsyncExitStack() as stack:
            for _ in range(slots):
                await stack.enter_async_context(self.reading)
            job = decode_job(self.disk.read(job_id))
            age_s = monotonic() - held.since
            state = msgspec.structs.replace(job.state, released=True, age_s=age_s)
            # Limit 0: the tokens are charged, but an accepted job cannot be refused any more.
            submission = await self.repository.accept(job_id, state, job.items, 0)
        if submission.admission is not Admission.NEW:
            return None
        emit(events.JOB_ENTERED, job=job_id, items=len(job.items))
        return state.owner

    async def _ask_to_run(self, job_id: JobId, owner: Incarnation) -> None:
        """Ask live hosts to run a job; if none accepts, the next sweep for orphaned jobs finds it.

        The host that accepted the job is asked first, because it may have run some items already.
        """
        address = self.listed
        others = rank(job_id, set(address) - {owner})
        acceptor = [owner] if owner in address else []
        for incarnation in [*acceptor, *others][:MAX_HOSTS_ASKED]:
            origin = split_address(address[incarnation])
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    response = await self.http.send(origin, "GET", f"/take/{job_id}")
                    await response.read()
            except (ConnectFailed, ResponseBroken, TimeoutError) as error:
                emit(events.PEER_SILENT, member=address[incarnation], reason=repr(error))
                continue
            if response.status == 200:
                return


async def _wait_for_folder(disk: SpoolDisk, use: Callable[[], Awaitable[None]]) -> None:
    """Use the data folder; if that fails, try again until it succeeds."""
    started_at = monotonic()
    reported_at = float("-inf")
    while True:
        now = monotonic()
        try:
            await use()
        except OSError as error:
            if now - reported_at >= REPORT_INTERVAL_S:
                reported_at = now
                waits_s = round(now - started_at, 1)
                emit(
                    events.DATA_FOLDER_WAITS,
                    path=str(disk.jobs.parent),
                    reason=str(error),
                    waits_s=waits_s,
                )
            await asyncio.sleep(FOLDER_RETRY_S)
            continue
        if reported_at > float("-inf"):
            emit(
                events.DATA_FOLDER_OPENED,
                path=str(disk.jobs.parent),
                waited_s=round(now - started_at, 1),
            )
        return


def _read_job_id(request: Request) -> JobId:
    return JobId(request.path.removeprefix("/spool/"))
