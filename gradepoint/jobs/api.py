"""Batch job calls, answered by any host: submit, read results, read an item's body, end.

A call about a job that another host runs is answered by asking that host, and otherwise from the
key-value service.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from .. import events
from ..errors import GradepointError, KvError, KvRejected, KvUnavailable, KvUncertain, KvUnreadable
from ..gateway.configuration import NO_VERSION
from ..ids import ItemId, JobId
from ..peers.presence import read_host
from ..spool.client import SpoolOutcome
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import hash32, rank
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import JSON_TYPE, Response
from .calls import EndJob, JobCall, ReadItem, ReadResults, ResultPage
from .records import JobState, Result, make_job_id
from .repository import Admission, Superseded, has_large_results
from .worker import MAX_ADVERTISED_JOBS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..gateway.configuration import Route
    from ..gateway.dialect import CallHead
    from ..ids import Incarnation, OrganisationName
    from ..peers.presence import HostTable, Presence
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .calls import JobDialect
    from .intake import Intake
    from .owned import OwnedJob
    from .records import Item
    from .repository import JobRepository, StoredJob
    from .worker import Worker

PAGE_BYTES = 900_000
"""Most bytes of ids and texts in one answer, as JSON. The answer itself is limited to 1 MB; the
difference leaves room for the rest of its rows."""
PEER_TIMEOUT_S = 0.5
"""Seconds that another host has to answer, in addition to the time it may wait for a result."""
RETRY_AFTER_S = 0.2
"""Seconds after which a refused client should retry: a few round trips to the key-value service."""
LATE_WRITE_CHECKS_S = (1.0, 3.0, 7.0)
"""Seconds after a write without an answer at which its job is looked up: the key-value service may
apply such a write seconds later."""
MAX_HOSTS_ASKED = 3
"""Hosts that a stopping host asks to run a job, one after another, until one accepts."""
OWNER_CHECK_GAP_S = 0.05
"""Seconds between checks whether a host announces a job that a reader waits for: half of the time
within which hosts announce that they have started to run a job."""
MAX_REMINDERS = 16
"""Most owners' jobs that one sweep sends a reminder for: one call to the owner each, which may read
the job. A sweep of thousands of jobs would otherwise take minutes."""
SUBMISSION_COPIES = 6
"""Copies of a job's body that its submission holds: the body, its rows, items, parts, fragments and
the body of the transaction."""
MAX_CACHED_JOBS = 64
"""Most finished jobs whose results stay in memory for readers."""
MAX_CACHED_BYTES = 16 << 20
"""Most memory in bytes that their texts take, except for the newest job."""


class JobView(msgspec.Struct, frozen=True):
    """The state of a job as one host reports it to another.

    :param total: number of items of the job.
    :param item_ids: ids of the items by index.
    :param results: listed results from the requested position on.
    :param entered: the host runs the job and the key-value service has it. Otherwise the job waits
        on that host to be created in the service, which may already have it from another host.
    """

    total: int
    item_ids: list[ItemId]
    results: list[Result]
    entered: bool = True


class JobApi(Struct):
    """Answers batch clients, and other hosts' questions about jobs.

    :param find_owner: returns the incarnation and ``IP:PORT`` of the host that announces a job in
        its datagrams, by the job's short number.
    :param find_address: returns the ``IP:PORT`` of a host whose datagrams arrive.
    :param count_announced_jobs: returns the number of jobs that a host announces.
    :param request_sweep: requests a sweep for orphaned jobs on this host.
    :param is_isolated: whether datagrams arrive from so few hosts that the other hosts may consider
        this one lost.
    :param may_miss_jobs: whether accepted jobs may exist that the key-value service does not have
        yet.
    :ivar finished_cache: finished jobs that were read here, oldest first.
    :ivar leaving: this host is stopping; the jobs that it still accepts are run by other hosts.
    """

    repository: JobRepository
    intake: Intake
    worker: Worker
    presence: Presence
    dialect: JobDialect
    http: HttpClient
    find_owner: Callable[[int], tuple[Incarnation, str] | None]
    find_address: Callable[[Incarnation], str | None]
    count_announced_jobs: Callable[[Incarnation], int]
    hosts: HostTable
    request_sweep: Callable[[], None]
    is_isolated: Callable[[], bool]
    may_miss_jobs: Callable[[], bool]
    finished_cache: dict[JobId, JobView] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    leaving: bool = False

    def sweep_if_owner_lost(self, stored: StoredJob) -> None:
        """Request a sweep if the owner of an unfinished job is not listed.

        The job may have been created after the sweeps that followed the loss of its owner.
        """
        if not stored.state.done and stored.state.owner not in self.hosts.incarnations:
            self.request_sweep()

    async def submit(self, route: Route, head: CallHead, body: bytes) -> Response:
        """Accept a job; the answer says whether it is stored.

        The work continues if the client disconnects, because a job that was written has to be run.
        """
        work = self.tasks.start(self._submit(route, head, body), awaited=True)
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            self._hold_memory(work, len(body) * SUBMISSION_COPIES)
            raise

    def _hold_memory(self, work: asyncio.Task[Response], size: int) -> None:
        """Reserve the memory of a submission whose client has gone, until it is done."""
        memory = self.worker.memory
        if memory is not None and not work.done():
            memory.take(size)
            work.add_done_callback(lambda _: memory.release(size))

    async def _submit(self, route: Route, head: CallHead, body: bytes) -> Response:
        items = self.dialect.decode_submission(body)
        job_id = make_job_id(head.request_id, head.organisation)
        config = self.worker.in_force()
        state = JobState(
            route=route.name,
            host=head.host,
            owner=self.presence.own.incarnation,
            input_parts=0,
            item_ids=[item.id for item in items],
            item_tokens=[item.tokens for item in items],
            released=self.leaving,
            config_version=config.version if config else NO_VERSION,
            organisation=head.organisation,
        )
        try:
            self.repository.check_size(job_id, state)
            submission = await self.intake.accept(
                job_id, state, items, route.max_waiting_tokens, route.goal_s
            )
        except KvRejected as error:
            emit(events.JOB_REFUSED, job=job_id, **error.log_fields)
            if error.limit is None:
                raise GradepointError("service_unavailable", retry_after=RETRY_AFTER_S) from error
            raise GradepointError(
                "body_too_large", f"The job cannot be stored: {error}."
            ) from error
        except (KvUnavailable, KvUnreadable) as error:
            emit(events.JOB_REFUSED, job=job_id, reason=str(error))
            raise GradepointError("service_unavailable", retry_after=RETRY_AFTER_S) from error
        except KvUncertain as error:
            emit(events.JOB_UNCERTAIN, job=job_id, reason=str(error))
            self.tasks.start(self._check_for_late_write(job_id))
            raise GradepointError("job_uncertain") from error
        if submission.admission is Admission.NO_ROOM:
            emit(events.JOB_REFUSED, job=job_id, reason="quota")
            raise GradepointError("job_quota", retry_after=RETRY_AFTER_S)
        stored = submission.job
        if stored is not None and stored.state.unreadable:
            emit(events.JOB_REFUSED, job=job_id, reason="given up")
            raise GradepointError("service_unavailable", retry_after=RETRY_AFTER_S)
        if stored is not None and stored.state.released:
            await self._hand_over(job_id)
        elif stored is not None and stored.state.owner == self.presence.own.incarnation:
            new = submission.admission is Admission.NEW
            await self._start_owned(stored, items if new else None)
        elif stored is not None:
            await self._remind_owner(stored)
        emit(events.JOB_ACCEPTED, job=job_id, items=len(items), known=submission.admission.value)
        return Response(202, {"content-type": JSON_TYPE}, b"{}")

    async def _remind_owner(self, stored: StoredJob) -> None:
        """Ask the owner of a job to check that it runs the job.

        Done if the job is submitted again, or if no host announces it.
        """
        self.sweep_if_owner_lost(stored)
        address = self.find_address(stored.state.owner)
        if address is not None and not stored.state.done:
            await self._ask_host(address, f"/take/{stored.id}", PEER_TIMEOUT_S)

    async def remind_idle_owners(self, jobs: list[StoredJob]) -> None:
        """Remind live owners whose jobs no host announces as running.

        An owner that announces as many jobs as it can may run others, and is left alone. At most
        :data:`MAX_REMINDERS` are sent; which jobs they are for is drawn anew in each sweep.
        """
        sent = 0
        for job in random.sample(jobs, len(jobs)):
            if sent >= MAX_REMINDERS:
                break
            if job.state.released:
                continue
            if self.count_announced_jobs(job.state.owner) >= MAX_ADVERTISED_JOBS:
                continue
            incarnation = job.state.owner
            reported = self.find_owner(hash32(job.id))
            if (
                reported is None
                and incarnation != self.presence.own.incarnation
                and self.find_address(incarnation)
            ):
                emit(events.JOB_IDLE, job=job.id, owner=incarnation)
                sent += 1
                await self._remind_owner(job)

    async def notify_former_owner(self, job: StoredJob) -> None:
        """Tell the host that owned a job that this host runs it now."""
        owner = job.state.owner
        listed = self.hosts.hosts.get(read_host(owner))
        address = self.find_address(owner)
        if address is None and listed is not None and listed.incarnation == owner:
            address = listed.peer_address
        if address is not None and owner != self.presence.own.incarnation:
            await self._ask_host(address, f"/adopted/{job.id}", PEER_TIMEOUT_S)

    async def _hand_over(self, job_id: JobId) -> None:
        """Ask other hosts to run a job that was accepted while this host is stopping.

        If none accepts, the next sweep on any host finds the job.
        """
        others = self.hosts.incarnations - {self.presence.own.incarnation}
        for incarnation in rank(job_id, others)[:MAX_HOSTS_ASKED]:
            address = self.find_address(incarnation)
            if address is None:
                continue
            if await self._ask_host(address, f"/take/{job_id}", PEER_TIMEOUT_S) is not None:
                return
        emit(events.JOB_DROPPED, job=job_id, reason="no other host accepted it", running=0)

    async def handle_entered_job(self, stored: StoredJob, items: list[Item]) -> None:
        """Handle a spooled job that this host accepted and that the key-value service has now.

        Depending on the stored owner, the job is run here, handed over, or left to another host.
        """
        if stored.state.released and not self.leaving:
            # A data host created the job first and released it to any host. This host may be
            # running it already.
            self.tasks.start(self._check_for_late_write(stored.id, (0.0, *LATE_WRITE_CHECKS_S)))
        elif stored.state.released:
            self.worker.drop_early(stored.id)
            await self._hand_over(stored.id)
        elif stored.state.owner == self.presence.own.incarnation:
            await self._start_owned(stored, items)
        else:
            self.worker.drop_early(stored.id)
            await self._remind_owner(stored)

    async def _start_owned(self, stored: StoredJob, items: list[Item] | None) -> None:
        try:
            await self.worker.start_job(stored, items)
        except KvError as error:
            self.repository.note_unreadable(stored.id, error)
            self.tasks.start(self._check_for_late_write(stored.id))

    async def _check_for_late_write(
        self, job_id: JobId, checks_s: tuple[float, ...] = LATE_WRITE_CHECKS_S
    ) -> None:
        """Look up a job whose creation got no answer; run it if it exists and this host owns it.

        A released job is adopted first, unless this host is stopping.

        :param checks_s: seconds from now at which the job is looked up, until it is found.
        """
        started_at = monotonic()
        for after_s in checks_s:
            await asyncio.sleep(max(0.0, started_at + after_s - monotonic()))
            await self.repository.kv.pace.wait()
            try:
                stored = await self.repository.load(job_id)
                if stored is None:
                    continue
                if stored.state.released and not self.leaving:
                    stored = await self.repository.adopt(stored, self.presence.own.incarnation)
                if stored.state.owner == self.presence.own.incarnation:
                    await self.worker.start_job(stored)
                else:
                    self.worker.drop_early(job_id)
                return
            except Superseded:
                self.worker.drop_early(job_id)
                return
            except KvError as error:
                self.repository.note_unreadable(job_id, error)

    async def answer(self, call: JobCall, organisation: OrganisationName | None = None) -> Response:
        """Answer a call about a job of *organisation*.

        A job of another organisation is reported as not found. A job that was accepted before
        organisations were configured is readable by anyone who knows its id.
        """
        own_id = make_job_id(call.client_id, organisation)
        try:
            return await self._answer(call, own_id)
        except GradepointError as error:
            former_id = make_job_id(call.client_id)
            if error.code != "not_found" or former_id == own_id:
                raise
            return await self._answer(call, former_id)

    async def _answer(self, call: JobCall, job_id: JobId) -> Response:
        try:
            if isinstance(call, ReadResults):
                return await self._answer_results(call, job_id)
            if isinstance(call, ReadItem):
                return await self._answer_item(call, job_id)
            return await self._answer_end(job_id)
        except KvError as error:
            self.repository.note_unreadable(job_id, error)
            if isinstance(call, EndJob) and isinstance(error, KvUncertain):
                # The end may still take effect, so it must not be reported as not done.
                raise GradepointError("job_uncertain") from error
            raise GradepointError("service_unavailable", retry_after=RETRY_AFTER_S) from error

    async def _answer_results(self, call: ReadResults, job_id: JobId) -> Response:
        found = await self.read(job_id, call.position, call.wait_s)
        if found is None:
            raise await self._not_found(job_id)
        page = ResultPage(
            found.total, min(call.position, found.total), found.results, found.item_ids
        )
        return Response(200, {"content-type": JSON_TYPE}, self.dialect.encode_page(page))

    async def _not_found(self, job_id: JobId) -> GradepointError:
        """Return the error for a job that the key-value service does not have.

        The job's client may have received a 202 while the creation had no answer yet, and the host
        that sent it may be stalled or lost. Then only the data hosts know the job.
        """
        if self.may_miss_jobs() or not await self._is_stored_nowhere(job_id):
            return GradepointError("service_unavailable", retry_after=RETRY_AFTER_S)
        return GradepointError("not_found", "There is no such job.")

    async def _is_stored_nowhere(self, job_id: JobId) -> bool:
        """Return whether neither the data hosts nor the key-value service have a job.

        The service is asked last: a data host deletes a job only once the service has it.

        :raises KvError: the service did not answer.
        """
        if await self.intake.spool.find(job_id) is not SpoolOutcome.NOT_KEPT:
            return False
        return await self.repository.load(job_id) is None

    async def read(self, job_id: JobId, position: int, wait_s: float) -> JobView | None:
        """Return results from *position* on; None if there is no such job.

        They come from the first of these that has the job: this host, the cache of finished jobs,
        the host that announces the job, and the key-value service.

        :param wait_s: seconds to wait for a result if there is none at *position* yet.
        :raises KvError: the key-value service could not be read, and no host knows the job.
        """
        own = self._find_own(job_id)
        if own is not None:
            return await read_owned(own, position, wait_s)
        known = self.finished_cache.get(job_id)
        if known is not None:
            return make_page(known, known.results[position:])
        reported = await self._ask_owner(job_id, position, wait_s)
        if reported is not None and reported.entered:
            return reported
        waiting = reported or self._read_waiting(job_id)
        try:
            known, stored = await self._load(job_id, position)
        except KvError as error:
            # An unreadable state may stay, and an empty page would promise results.
            if waiting is None or isinstance(error, KvUnreadable):
                raise
        if known is None:
            await asyncio.sleep(wait_s if waiting is not None else 0.0)
            return waiting
        if not known.results and stored is not None and not stored.state.done:
            reported = await self._wait_for_owner(job_id, position, wait_s)
            if reported is not None:
                return reported
        return make_page(known, known.results)

    def _find_own(self, job_id: JobId) -> OwnedJob | None:
        """Return a job that this host may answer for from memory, else None."""
        own = self.worker.jobs.get(job_id)
        return own if own is not None and self.may_answer_for(own) else None

    async def _wait_for_owner(self, job_id: JobId, position: int, wait_s: float) -> JobView | None:
        """Wait until this or another host announces a job, and read its results there.

        A job whose owner was lost gets a new one within a second or two. Its readers then wait
        there, and do not read the key-value service again.

        :returns: None if *wait_s* seconds pass without an answer of the job's owner.
        """
        until = monotonic() + wait_s
        while (left_s := until - monotonic()) > 0:
            own = self._find_own(job_id)
            if own is not None:
                return await read_owned(own, position, left_s)
            if self.find_owner(hash32(job_id)) is not None:
                reported = await self._ask_owner(job_id, position, left_s)
                if reported is not None and reported.entered:
                    return reported
                await asyncio.sleep(max(0.0, until - monotonic()))
                return None
            await asyncio.sleep(min(OWNER_CHECK_GAP_S, left_s))
        return None

    def _read_waiting(self, job_id: JobId) -> JobView | None:
        """Return an empty set of results for a job that waits here to be created, else None."""
        waiting = self.intake.waiting.get(job_id)
        if waiting is None:
            return None
        return JobView(len(waiting.items), waiting.state.item_ids, [], entered=False)

    async def is_run_elsewhere(self, job_id: JobId) -> bool:
        """Return whether another host whose datagrams arrive already has the job."""
        return await self._ask_owner(job_id, 0, 0.0) is not None

    def may_answer_for(self, job: OwnedJob) -> bool:
        """Return whether this host may answer readers of a job that it runs from memory.

        It may if no other host can have listed results of the job.
        """
        if not job.entered:
            return False
        if job.done:
            return True
        return not job.dropped and self.presence.holds_lease and not self.is_isolated()

    async def _load(self, job_id: JobId, position: int) -> tuple[JobView | None, StoredJob | None]:
        """Read a job from the key-value service, with results from *position* on.

        All results of a finished job are kept for readers, unless they are many bytes.
        """
        stored = await self.repository.load(job_id)
        if stored is None:
            return None, None
        self.sweep_if_owner_lost(stored)
        if (
            stored.state.unreadable
            and not stored.state.ended
            and position >= len(stored.state.listed)
        ):
            raise KvUnreadable("given up since its items or results are unreadable")
        total, item_ids = len(stored.state.item_ids), stored.state.item_ids
        is_complete = stored.state.done and not stored.state.unreadable
        if is_complete and not has_large_results(stored.state):
            results = await self.repository.load_results(stored)
            self.finished_cache[job_id] = JobView(total, item_ids, results)
            evict_oldest(self.finished_cache)
            return JobView(total, item_ids, results[position:]), stored
        results = []
        if len(stored.state.listed) > position:
            results = await self.repository.load_page(stored, position, PAGE_BYTES)
        return JobView(total, item_ids, results), stored

    async def _ask_owner(self, job_id: JobId, position: int, wait_s: float) -> JobView | None:
        """Ask the host that announces the job; None if there is none or it does not answer."""
        query = f"/jobs/{job_id}?position={position}&wait_ms={round(wait_s * 1000)}"
        raw = await self._ask(job_id, query, PEER_TIMEOUT_S + wait_s)
        return None if raw is None else decoding.decode_msgpack(raw, JobView)

    async def _ask(self, job_id: JobId, target: str, timeout_s: float) -> bytes | None:
        owner = self.find_owner(hash32(job_id))
        if owner is None:
            return None
        return await self._ask_host(owner[1], target, timeout_s)

    async def _ask_host(self, address: str, target: str, timeout_s: float) -> bytes | None:
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.http.send(split_address(address), "GET", target)
                raw = await response.read()
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, asked=target, reason=repr(error))
            return None
        return raw if response.status == 200 else None

    async def answer_peer(self, request: Request) -> Response:
        """Answer another host's request about a job; 404 if this host does not have it.

        The first part of the path is the kind of request: ``take`` asks this host to run the job,
        ``ended`` and ``adopted`` to stop running it, ``items`` is for an item's body, and ``jobs``
        for results.
        """
        kind, _, name = request.path.lstrip("/").partition("/")
        job_id = JobId(name)
        if kind == "take" and not self.leaving:
            self.tasks.start(self._check_for_late_write(job_id, (0.0, *LATE_WRITE_CHECKS_S)))
            return Response(200)
        job = self.worker.jobs.get(job_id)
        if job is None or (kind == "jobs" and not job.entered):
            return self._answer_peer_waiting(kind, job_id, request)
        if kind in ("ended", "adopted"):
            self.worker.drop(job.id, kind)
            return Response(200)
        if kind == "items":
            body = job.find_body(ItemId(request.query.get("id", "")))
            return Response(404) if body is None else Response(200, body=body)
        if kind != "jobs" or not self.may_answer_for(job):
            return Response(404)
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        found = await read_owned(job, int(request.query.get("position", "0")), wait_s)
        return Response(200, body=msgspec.msgpack.encode(found))

    def _answer_peer_waiting(self, kind: str, job_id: JobId, request: Request) -> Response:
        """Answer another host's request about a job that waits here to be created."""
        waiting = self.intake.waiting.get(job_id)
        if waiting is None:
            return Response(404)
        if kind == "items":
            body = waiting.find_body(ItemId(request.query.get("id", "")))
            return Response(404) if body is None else Response(200, body=body)
        found = self._read_waiting(job_id)
        if kind != "jobs" or found is None:
            return Response(404)
        return Response(200, body=msgspec.msgpack.encode(found))

    async def _answer_item(self, call: ReadItem, job_id: JobId) -> Response:
        body = await self._find_body(job_id, call.item_id)
        if body is None:
            raise GradepointError("not_found", "The job has no such item.")
        return Response(200, {"content-type": "application/octet-stream"}, body)

    async def _find_body(self, job_id: JobId, item_id: ItemId) -> bytes | None:
        """Return an item's body, or None if its job has no such item.

        A job's items never change, so any copy will do.

        :raises GradepointError: the job does not exist, or this host cannot tell yet.
        """
        own = self.worker.jobs.get(job_id)
        if own is not None:
            return own.find_body(item_id)
        waiting = self.intake.waiting.get(job_id)
        if waiting is not None:
            return waiting.find_body(item_id)
        query = f"/items/{job_id}?{urlencode({'id': item_id})}"
        reported = await self._ask(job_id, query, PEER_TIMEOUT_S)
        if reported is not None:
            return reported
        stored = await self.repository.load(job_id)
        if stored is None:
            raise await self._not_found(job_id)
        items = await self.repository.load_items(stored)
        return next((item.body for item in items if item.id == item_id), None)

    async def _answer_end(self, job_id: JobId) -> Response:
        return await asyncio.shield(self.tasks.start(self._end(job_id), awaited=True))

    async def _end(self, job_id: JobId) -> Response:
        if not await self.repository.end(job_id):
            raise await self._not_found(job_id)
        self.worker.drop(job_id, "ended")
        await self._ask(job_id, f"/ended/{job_id}", PEER_TIMEOUT_S)
        emit(events.JOB_ENDED, job=job_id)
        return Response(200, {"content-type": JSON_TYPE}, b"{}")


async def read_owned(job: OwnedJob, position: int, wait_s: float) -> JobView:
    """Return results of a job that this host runs, waiting up to *wait_s* for the first one."""
    if len(job.results) <= position and not job.done and not job.dropped and wait_s > 0:
        try:
            async with asyncio.timeout(wait_s):
                await job.changed.wait()
        except TimeoutError:
            pass
    item_ids = job.stored.state.item_ids
    return JobView(len(job.items), item_ids, truncate_page(job.results[position:], item_ids))


def make_page(job: JobView, results: list[Result]) -> JobView:
    """Return a page with the leading ones of *results* that fit into one answer."""
    return JobView(job.total, job.item_ids, truncate_page(results, job.item_ids))


def evict_oldest(cache: dict[JobId, JobView]) -> None:
    """Remove the oldest jobs of a cache that exceeds its bounds, but not its newest."""
    sizes = [sum(sys.getsizeof(row.text) for row in job.results) for job in cache.values()]
    while len(cache) > 1 and (len(cache) > MAX_CACHED_JOBS or sum(sizes) > MAX_CACHED_BYTES):
        del cache[next(iter(cache))], sizes[0]


def truncate_page(results: list[Result], item_ids: list[ItemId]) -> list[Result]:
    """Return the leading results that fit into one answer, at least one if there are any.

    :param item_ids: ids of the job's items by index.
    """
    size = 0
    for number, row in enumerate(results):
        size += len(msgspec.json.encode((item_ids[row.index], row.text)))
        if number and size > PAGE_BYTES:
            return results[:number]
    return results
