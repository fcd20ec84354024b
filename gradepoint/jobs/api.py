"""Batch clients' calls at any host: submit, read results, read a body, end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from .. import events
from ..errors import GradepointError, KvError, KvUnavailable, KvUncertain
from ..gateway.configuration import NO_VERSION
from ..ids import ItemId, JobId
from ..peers.presence import read_host
from ..spool.client import Kept
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank, short_number
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import JSON_TYPE, Response
from .calls import EndJob, JobCall, ReadItem, ReadResults, ResultPage
from .records import JobState, Result, name_job
from .repository import Admission, Superseded

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

PAGE_BYTES = 700_000
"""Bytes of result texts in one answer; escaping may add some below the limit of 1 MB."""
PEER_TIMEOUT_S = 0.5
"""Seconds that another host has for an answer, beside the time it may wait for a result."""
RETRY_AFTER_S = 0.2
"""Seconds after which a refused client should come back: a few answers of the service."""
LATE_WRITE_CHECKS_S = (1.0, 3.0, 7.0)
"""Seconds after a write without an answer at which its job is looked for: such writes may
be carried out seconds later."""
HOSTS_ASKED = 3
"""Hosts that a stopping one asks to take a job, until one does."""
CACHED_JOBS = 64
"""Finished jobs whose results are kept in memory for reads."""


class JobRead(msgspec.Struct, frozen=True):
    """What one host tells another of a job.

    :param entered: the host runs it; else it waits there to get into the service, which may have
        it already from another host.
    """

    total: int
    item_ids: list[ItemId]
    results: list[Result]
    entered: bool = True


@dataclass
class JobApi:
    """Answers batch clients.

    :param find_owner: returns life and ``IP:PORT`` of the host that runs a job, by its
        short number, as far as it is heard.
    :param find_address: returns ``IP:PORT`` of a host that is heard.
    :param look_for_orphans: has this host look for jobs without a host.
    :param is_isolated: whether this host hears so few others that they may take it for lost.
    :param may_miss_jobs: whether jobs may be accepted that the service does not have yet.
    :ivar leaving: this host stops; what it accepts is run by another.
    """

    repository: JobRepository
    intake: Intake
    worker: Worker
    presence: Presence
    dialect: JobDialect
    http: HttpClient
    find_owner: Callable[[int], tuple[Incarnation, str] | None]
    find_address: Callable[[Incarnation], str | None]
    hosts: HostTable
    look_for_orphans: Callable[[], None]
    is_isolated: Callable[[], bool]
    may_miss_jobs: Callable[[], bool]
    finished: dict[JobId, JobRead] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    leaving: bool = False

    def note_owner(self, stored: StoredJob) -> None:
        """Have a job looked after whose host is not listed: its creation may have been carried
        out after the looks that followed the loss of its host."""
        if not stored.state.done and stored.state.owner not in self.hosts.incarnations:
            self.look_for_orphans()

    async def submit(self, route: Route, head: CallHead, body: bytes) -> Response:
        """Take a job; the answer says whether it is kept.

        It goes on when its client leaves: what is written has to be run.
        """
        return await asyncio.shield(self.tasks.start(self._submit(route, head, body), awaited=True))

    async def _submit(self, route: Route, head: CallHead, body: bytes) -> Response:
        items = self.dialect.decode_submission(body)
        job_id = name_job(head.request_id, head.organisation)
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
            submission = await self.intake.accept(
                job_id, state, items, route.max_waiting_tokens, route.goal_s
            )
        except KvUnavailable as error:
            emit(events.JOB_REFUSED, job=job_id, reason=str(error))
            raise GradepointError("service_unavailable", retry_after=RETRY_AFTER_S) from error
        except KvUncertain as error:
            emit(events.JOB_UNCERTAIN, job=job_id, reason=str(error))
            self.tasks.start(self._look_for_late_write(job_id))
            raise GradepointError("job_uncertain") from error
        if submission.admission is Admission.NO_ROOM:
            emit(events.JOB_REFUSED, job=job_id, reason="quota")
            raise GradepointError("job_quota", retry_after=RETRY_AFTER_S)
        stored = submission.job
        if stored is not None and stored.state.released:
            await self._hand_on(job_id)
        elif stored is not None and stored.state.owner == self.presence.own.incarnation:
            new = submission.admission is Admission.NEW
            await self._take(stored, items if new else None)
        elif stored is not None:
            await self._remind_owner(stored)
        emit(events.JOB_ACCEPTED, job=job_id, items=len(items), known=submission.admission.value)
        return Response(202, {"content-type": JSON_TYPE}, b"{}")

    async def _remind_owner(self, stored: StoredJob) -> None:
        """Have the owner of a job that was sent again make sure that it runs it."""
        self.note_owner(stored)
        address = self.find_address(stored.state.owner)
        if address is not None and not stored.state.done:
            await self._ask_host(address, f"/take/{stored.id}", PEER_TIMEOUT_S)

    async def remind_idle_owners(self, jobs: list[StoredJob]) -> None:
        """Remind live owners that do not tell of running their jobs."""
        for job in jobs:
            if job.state.released:
                continue
            life = job.state.owner
            told = self.find_owner(short_number(job.id))
            if told is None and life != self.presence.own.incarnation and self.find_address(life):
                emit(events.JOB_IDLE, job=job.id, owner=life)
                await self._remind_owner(job)

    async def tell_former_owner(self, job: StoredJob) -> None:
        """Tell the host that owned a job that this one runs it now."""
        owner = job.state.owner
        listed = self.hosts.hosts.get(read_host(owner))
        address = self.find_address(owner)
        if address is None and listed is not None and listed.incarnation == owner:
            address = listed.peer_address
        if address is not None and owner != self.presence.own.incarnation:
            await self._ask_host(address, f"/adopted/{job.id}", PEER_TIMEOUT_S)

    async def _hand_on(self, job_id: JobId) -> None:
        """Find another host for a job that was accepted while this one stops.

        Without one, whoever next looks for jobs without a host finds it.
        """
        others = self.hosts.incarnations - {self.presence.own.incarnation}
        for life in rank(job_id, others)[:HOSTS_ASKED]:
            address = self.find_address(life)
            if address is None:
                continue
            if await self._ask_host(address, f"/take/{job_id}", PEER_TIMEOUT_S) is not None:
                return
        emit(events.JOB_DROPPED, job=job_id, reason="no other host takes it now", running=0)

    async def run_entered(self, stored: StoredJob, items: list[Item]) -> None:
        """Run a job of this host that the service has now."""
        if stored.state.released and not self.leaving:
            # A data host was first and left it to whoever takes it: this host may be on it already.
            self.tasks.start(self._look_for_late_write(stored.id, (0.0, *LATE_WRITE_CHECKS_S)))
        elif stored.state.released:
            self.worker.drop_early(stored.id)
            await self._hand_on(stored.id)
        elif stored.state.owner == self.presence.own.incarnation:
            await self._take(stored, items)
        else:
            self.worker.drop_early(stored.id)
            await self._remind_owner(stored)

    async def _take(self, stored: StoredJob, items: list[Item] | None) -> None:
        try:
            await self.worker.take(stored, items)
        except KvError as error:
            emit(events.JOB_UNREADABLE, job=stored.id, reason=str(error))
            self.tasks.start(self._look_for_late_write(stored.id))

    async def _look_for_late_write(
        self, job_id: JobId, checks_s: tuple[float, ...] = LATE_WRITE_CHECKS_S
    ) -> None:
        """Run a job of this host whose creation got no answer here, if it is there after all."""
        begun = monotonic()
        for after_s in checks_s:
            await asyncio.sleep(max(0.0, begun + after_s - monotonic()))
            try:
                stored = await self.repository.load(job_id)
                if stored is None:
                    continue
                if stored.state.released and not self.leaving:
                    stored = await self.repository.adopt(stored, self.presence.own.incarnation)
                if stored.state.owner == self.presence.own.incarnation:
                    await self.worker.take(stored)
                else:
                    self.worker.drop_early(job_id)
                return
            except Superseded:
                self.worker.drop_early(job_id)
                return
            except KvError as error:
                emit(events.JOB_UNREADABLE, job=job_id, reason=str(error))

    async def answer(self, call: JobCall, organisation: OrganisationName | None = None) -> Response:
        """Answer a call about a job of *organisation*.

        A job of another one is not found, as one that does not exist. One from before there were
        organisations is whoever's knows its id.
        """
        own_id = name_job(call.client_id, organisation)
        try:
            return await self._answer(call, own_id)
        except GradepointError as error:
            former_id = name_job(call.client_id)
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
            emit(events.JOB_UNREADABLE, job=call.client_id, reason=str(error))
            if isinstance(call, EndJob) and isinstance(error, KvUncertain):
                # The end may take effect yet, so it may not be told as not done.
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
        """Return the answer about a job that the service does not have.

        Its client may have got a 202 while the creation had no answer yet, and the host that
        gave it may be stalled or gone: only the data hosts know then.
        """
        if self.may_miss_jobs() or not await self._is_kept_nowhere(job_id):
            return GradepointError("service_unavailable", retry_after=RETRY_AFTER_S)
        return GradepointError("not_found", "There is no such job.")

    async def _is_kept_nowhere(self, job_id: JobId) -> bool:
        """Whether neither data hosts nor the service have a job.

        The service is asked last: a data host forgets a job only once it is there.

        :raises KvError: the service did not answer.
        """
        if await self.intake.spool.find(job_id) is not Kept.NOWHERE:
            return False
        return await self.repository.load(job_id) is None

    async def read(self, job_id: JobId, position: int, wait_s: float) -> JobRead | None:
        """Return results from *position* on, wherever they are; None if there is no such job.

        :raises KvError: nobody who knows could be asked.
        """
        own = self.worker.jobs.get(job_id)
        if own is not None and self.may_answer_for(own):
            return await read_owned(own, position, wait_s)
        known = self.finished.get(job_id)
        if known is None:
            told = await self._ask_owner(job_id, position, wait_s)
            if told is not None and told.entered:
                return told
            waiting = told or self._read_waiting(job_id)
            try:
                known, stored = await self._load(job_id)
            except KvError:
                if waiting is None:
                    raise
            if known is None:
                await asyncio.sleep(wait_s if waiting is not None else 0.0)
                return waiting
            if len(known.results) <= position and stored is not None and not stored.state.done:
                await asyncio.sleep(wait_s)
        return JobRead(known.total, known.item_ids, cut_page(known.results[position:]))

    def _read_waiting(self, job_id: JobId) -> JobRead | None:
        """Return that a job has no result yet as far as this host knows, if it waits here."""
        waiting = self.intake.waiting.get(job_id)
        if waiting is None:
            return None
        return JobRead(len(waiting.items), waiting.state.item_ids, [], entered=False)

    async def is_run_elsewhere(self, job_id: JobId) -> bool:
        """Whether a host that is heard has a job that its client sends again."""
        return await self._ask_owner(job_id, 0, 0.0) is not None

    def may_answer_for(self, job: OwnedJob) -> bool:
        """Whether no other host can have listed results of a job that this one runs."""
        if not job.entered:
            return False
        if job.done:
            return True
        return not job.dropped and self.presence.holds_lease and not self.is_isolated()

    async def _load(self, job_id: JobId) -> tuple[JobRead | None, StoredJob | None]:
        stored = await self.repository.load(job_id)
        if stored is None:
            return None, None
        self.note_owner(stored)
        results = await self.repository.load_results(stored)
        found = JobRead(len(stored.state.item_ids), stored.state.item_ids, results)
        if stored.state.done:
            while len(self.finished) >= CACHED_JOBS:
                del self.finished[next(iter(self.finished))]
            self.finished[job_id] = found
        return found, stored

    async def _ask_owner(self, job_id: JobId, position: int, wait_s: float) -> JobRead | None:
        """Ask the host that runs the job; None if it does not, or does not answer."""
        query = f"/jobs/{job_id}?position={position}&wait_ms={round(wait_s * 1000)}"
        raw = await self._ask(job_id, query, PEER_TIMEOUT_S + wait_s)
        return None if raw is None else msgspec.msgpack.decode(raw, type=JobRead)

    async def _ask(self, job_id: JobId, target: str, timeout_s: float) -> bytes | None:
        owner = self.find_owner(short_number(job_id))
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
        """Tell another host of a job that this one runs; 404 if it does not."""
        kind, _, name = request.path.lstrip("/").partition("/")
        job_id = JobId(name)
        if kind == "take" and not self.leaving:
            self.tasks.start(self._look_for_late_write(job_id, (0.0, *LATE_WRITE_CHECKS_S)))
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
        """Tell another host of a job that the service does not have yet."""
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
        """Return an item's body, None if its job has no such item; neither ever changes.

        :raises GradepointError: the job is not known, or not known here yet.
        """
        own = self.worker.jobs.get(job_id)
        if own is not None:
            return own.find_body(item_id)
        waiting = self.intake.waiting.get(job_id)
        if waiting is not None:
            return waiting.find_body(item_id)
        query = f"/items/{job_id}?{urlencode({'id': item_id})}"
        told = await self._ask(job_id, query, PEER_TIMEOUT_S)
        if told is not None:
            return told
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


async def read_owned(job: OwnedJob, position: int, wait_s: float) -> JobRead:
    """Return results of a job that this host runs, waiting for one to exist."""
    if len(job.results) <= position and not job.done and not job.dropped and wait_s > 0:
        try:
            async with asyncio.timeout(wait_s):
                await job.changed.wait()
        except TimeoutError:
            pass
    results = cut_page(job.results[position:])
    return JobRead(len(job.items), job.stored.state.item_ids, results)


def cut_page(results: list[Result]) -> list[Result]:
    """Return as many results as fit one answer, one at least."""
    size = 0
    for number, row in enumerate(results):
        size += len(row.text)
        if number and size > PAGE_BYTES:
            return results[:number]
    return results
