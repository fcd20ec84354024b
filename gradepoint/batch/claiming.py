"""Search for work: the order of jobs, and the claims of their chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from .. import events
from ..config.resolve import resolve_model
from ..errors import GradepointError, KvError
from ..ids import ObjectHash
from ..kv.unreadable import UnreadableRows
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic, wall_seconds
from ..util.hashing import new_token, score
from ..util.tasks import locate_error
from .items import parse_chunk
from .open_chunk import OpenChunk
from .records import ChunkRecord, JobState, active_key, job_key
from .transitions import claim_chunk

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..fleet.local import FleetView
    from ..settings import Settings
    from ..store.replicas import ReplicatedStore
    from .committing import Committer
    from .items import Item
    from .open_chunk import WorkerState
    from .records import ActiveJob, FileRecord
    from .repository import ChunkState, Repository

MAX_JOBS_PER_POLL = 8
"""Upper limit of jobs whose chunk records are read in one poll."""

DEADLINE_BUCKET_S = 900
"""Bucket width in seconds: jobs due in the same quarter of an hour are equally urgent."""

SET_ASIDE_S = 30.0
"""Seconds for which a job whose records cannot be used is polled after all others, so that such
jobs do not take the places of :data:`MAX_JOBS_PER_POLL`."""

JOB_FAILURES = frozenset({"not_found", "record_unreadable", "storage_read", "bad_batch_line"})
"""Error codes that concern the records or objects of one job. Others concern the service, so that
they end the poll."""


class ChunkClaimer:
    """Finds chunks that no live host holds, and claims them.

    :param count_wanted_chunks: returns how many more chunks the feeders can use now.
    :ivar set_aside_until: monotonic seconds until which a job is polled after all others.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: FleetView,
        repository: Repository,
        store: ReplicatedStore,
        committer: Committer,
        shared: WorkerState,
        count_wanted_chunks: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.repository = repository
        self.store = store
        self.committer = committer
        self.shared = shared
        self.count_wanted_chunks = count_wanted_chunks
        self.files: dict[str, FileRecord] = {}
        self.unreadable = UnreadableRows()
        self.set_aside_until: dict[str, float] = {}

    async def poll(self) -> None:
        """Read the jobs in progress: drop chunks of ended jobs, expire late jobs, claim chunks.

        :raises GradepointError: the service or the store did not answer.
        """
        active = await self.repository.active_jobs()
        names = {job.job_id for job in active}
        for chunk in list(self.shared.chunks.values()):
            if chunk.job.job_id not in names:
                self.committer.drop(chunk)
        for job in [job for job in active if job.deadline_at <= wall_seconds()]:
            await self._isolate(job, self.repository.expire(job.organisation, job.job_id))
        for ended_id in set(self.shared.complete_chunks) - names:
            del self.shared.complete_chunks[ended_id]
        for ended_id in set(self.set_aside_until) - names:
            del self.set_aside_until[ended_id]
        open_jobs = [job for job in active if job.deadline_at > wall_seconds()]
        for job in sorted(open_jobs, key=self._poll_order)[:MAX_JOBS_PER_POLL]:
            await self._isolate(job, self._poll_job(job))

    async def _isolate(self, job: ActiveJob, work: Awaitable[object]) -> None:
        """Await the work on one job; if the job's records fail it, set the job aside.

        :raises GradepointError: the service or the store did not answer.
        """
        try:
            await work
        except GradepointError as error:
            if error.code not in JOB_FAILURES:
                raise
            self._set_aside(job, str(error))
        except (KvError, OSError):
            raise
        except Exception as error:
            self._set_aside(job, f"{error!r} at {locate_error(error)}")

    def _set_aside(self, job: ActiveJob, reason: str) -> None:
        self.set_aside_until[job.job_id] = monotonic() + SET_ASIDE_S
        self.unreadable.note(events.JOB_SET_ASIDE, active_key(job.job_id), reason)

    def job_order(self, job: ActiveJob) -> tuple[float, int, str]:
        """Return the sort key: lowest weighted usage of the organisation, then next deadline."""
        return self._weighted_usage(job.organisation), job.deadline_at, job.job_id

    def _poll_order(self, job: ActiveJob) -> tuple[bool, float, int, int]:
        """Return the sort key for polling: like :meth:`job_order`, but host-specific, and with
        the jobs that are set aside at the end.

        Among jobs with similar deadlines each host has its own order. Otherwise all hosts
        would read the same few jobs and find their chunks already claimed.
        """
        due = job.deadline_at // DEADLINE_BUCKET_S
        own_order = score(self.settings.host, job.job_id)
        is_set_aside = self.set_aside_until.get(job.job_id, float("-inf")) > monotonic()
        return is_set_aside, self._weighted_usage(job.organisation), due, own_order

    def _weighted_usage(self, organisation: str) -> float:
        """Return the items that this host started for an organisation, divided by its weight."""
        configured = self.fleet.config.organisations.get(organisation)
        weight = configured.batch_weight if configured else 1.0
        return self.shared.started_items.get(organisation, 0.0) / weight

    async def _poll_job(self, job: ActiveJob) -> None:
        """Claim chunks of a job while more are wanted; finish it if all are complete.

        Each host starts at a different chunk, to avoid conflicting claims.
        """
        complete_numbers = self.shared.complete_chunks.setdefault(job.job_id, set())
        if self.count_wanted_chunks() == 0 and len(complete_numbers) < job.chunks:
            return
        states = await self.repository.chunks(job.job_id)
        complete_numbers.update(number for number, state in states.items() if state.record.complete)
        if len(complete_numbers) >= job.chunks:
            await self.committer.finish(job, list(states.values()))
            return
        live = set(self.fleet.hosts())
        start = score(self.settings.host, job.job_id) % job.chunks
        for offset in range(job.chunks):
            number = (start + offset) % job.chunks
            if number in complete_numbers or (job.job_id, number) in self.shared.chunks:
                continue
            if self.count_wanted_chunks() == 0:
                return
            state = states.get(number)
            holder = state.record.holder if state else ""
            if holder and holder != self.settings.host and holder in live:
                continue
            try:
                await self._claim(job, number, state, live - {self.settings.host})
            except GradepointError as error:
                if error.code != "record_unreadable":
                    raise
                self._set_aside(job, str(error))

    async def _load_file(self, job: ActiveJob) -> FileRecord:
        if job.file_id not in self.files:
            record = await self.repository.file(job.organisation, job.file_id)
            if record is None:
                raise GradepointError("not_found", f"File {job.file_id!r} is gone.")
            self.files[job.file_id] = record
            while len(self.files) > 64:
                self.files.pop(next(iter(self.files)))
        return self.files[job.file_id]

    async def _claim(
        self, job: ActiveJob, number: int, state: ChunkState | None, live: set[str]
    ) -> None:
        """Claim one chunk, unless the job has ended or another host claims the chunk first.

        :param live: names of the other live hosts.
        """
        segment = (await self._load_file(job)).segments[number]
        stored_job, revision = await self.repository.job(job.organisation, job.job_id)
        if stored_job is None:
            raise GradepointError("not_found", f"Job {job.job_id!r} has no record.")
        if stored_job.state is not JobState.IN_PROGRESS:
            return
        items = parse_chunk(await self.store.get(ObjectHash(segment.hash)))
        current = state.record if state else ChunkRecord(job.job_id, number, segment.lines)
        token = new_token()
        claimed = claim_chunk(current, self.settings.host, token, live)
        if isinstance(claimed, Err):
            return
        job_expect = (job_key(job.organisation, job.job_id), revision)
        written = await self.repository.write_chunk(
            claimed.ok_value,
            state.revision if state else 0,
            job_expect,
            lambda record: record.writer == token,
        )
        if isinstance(written, Err):
            metrics.shared().commits.add(1, {"result": "claim-lost"})
            return
        chunk = self._open_chunk(job, job_expect, written.ok_value, items)
        self.shared.chunks[chunk.key] = chunk
        emit(events.CHUNK_CLAIMED, job=job.job_id, chunk=number, epoch=chunk.epoch)

    def _open_chunk(
        self, job: ActiveJob, job_expect: tuple[str, int], state: ChunkState, items: list[Item]
    ) -> OpenChunk:
        """Create the in-memory state of a claimed chunk.

        Items whose model is unknown fail. Items that are not repeatable and whose intent is
        recorded fail too, because an earlier holder may have sent them.
        """
        record = state.record
        done = record.done
        models: dict[int, str] = {}
        chunk = OpenChunk(job, job_expect, state, record.epoch, items, models)
        chunk.suspects = dict(record.suspects)
        for item in items:
            if item.index in done:
                continue
            try:
                resolved = resolve_model(self.fleet.config.document, item.body["model"])
            except GradepointError as error:
                chunk.fail(item, error.code, error.message)
                continue
            models[item.index] = resolved.engine_name
            if item.index in record.intents:
                # An earlier holder may have sent this item, so it must not be sent again.
                chunk.fail(item, "holder_lost", "outcome unknown: the item may have run")
            elif record.suspects.get(item.index, 0) > 0:
                chunk.retry_or_fail(item, self.settings.max_attempts)
            else:
                chunk.pending.append(item.index)
        return chunk
