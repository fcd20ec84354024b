"""Looking for work: which jobs come first, and claims of their chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from .. import events
from ..config.resolve import resolve_model
from ..errors import GradepointError
from ..ids import ObjectHash
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import wall_seconds
from ..util.hashing import new_token, score
from .items import parse_chunk
from .open_chunk import OpenChunk
from .records import ChunkRecord, JobState, job_key
from .transitions import claim_chunk

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..fleet.local import FleetView
    from ..settings import Settings
    from ..store.replicas import ReplicatedStore
    from .committing import Committer
    from .items import Item
    from .open_chunk import WorkerState
    from .records import ActiveJob, FileRecord
    from .repository import ChunkState, Repository

JOBS_LOOKED_INTO = 8
"""Jobs whose chunks one look reads at most."""

DEADLINE_STEP_S = 900
"""Jobs due within the same quarter of an hour count as equally urgent."""


class ChunkFinder:
    """Finds chunks that nobody live holds and claims them.

    :param wants_chunks: returns how many more chunks the feeders can use now.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: FleetView,
        repository: Repository,
        store: ReplicatedStore,
        committer: Committer,
        shared: WorkerState,
        wants_chunks: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.repository = repository
        self.store = store
        self.committer = committer
        self.shared = shared
        self.wants_chunks = wants_chunks
        self.files: dict[str, FileRecord] = {}

    async def look(self) -> None:
        """Look at the jobs in progress: drop what ended, claim what is needed.

        :raises GradepointError: the service or the store did not answer.
        """
        active = await self.repository.active_jobs()
        names = {job.job_id for job in active}
        for chunk in list(self.shared.chunks.values()):
            if chunk.job.job_id not in names:
                self.committer.drop(chunk)
        for job in [job for job in active if job.deadline_at <= wall_seconds()]:
            await self.repository.expire(job.organisation, job.job_id)
        for gone in set(self.shared.complete) - names:
            del self.shared.complete[gone]
        open_jobs = [job for job in active if job.deadline_at > wall_seconds()]
        for job in sorted(open_jobs, key=self._look_order)[:JOBS_LOOKED_INTO]:
            await self._look_into(job)

    def job_order(self, job: ActiveJob) -> tuple[float, int, str]:
        """Least served organisation first, by weight; then the nearest deadline."""
        return self._served_share(job.organisation), job.deadline_at, job.job_id

    def _look_order(self, job: ActiveJob) -> tuple[float, int, int]:
        """Like :meth:`job_order`, but hosts differ in it among jobs due at about one time.

        Else all hosts would look into the same few jobs, and find them taken.
        """
        due = job.deadline_at // DEADLINE_STEP_S
        return self._served_share(job.organisation), due, score(self.settings.host, job.job_id)

    def _served_share(self, organisation: str) -> float:
        known = self.fleet.config.organisations.get(organisation)
        weight = known.batch_weight if known else 1.0
        return self.shared.served.get(organisation, 0.0) / weight

    async def _look_into(self, job: ActiveJob) -> None:
        known = self.shared.complete.setdefault(job.job_id, set())
        if self.wants_chunks() == 0 and len(known) < job.chunks:
            return
        states = await self.repository.chunks(job.job_id)
        known.update(number for number, state in states.items() if state.record.complete)
        if len(known) >= job.chunks:
            await self.committer.finish(job, list(states.values()))
            return
        live = set(self.fleet.hosts())
        start = score(self.settings.host, job.job_id) % job.chunks
        for offset in range(job.chunks):
            number = (start + offset) % job.chunks
            if number in known or (job.job_id, number) in self.shared.chunks:
                continue
            if self.wants_chunks() == 0:
                return
            state = states.get(number)
            holder = state.record.holder if state else ""
            if holder and holder != self.settings.host and holder in live:
                continue
            await self._claim(job, number, state, live - {self.settings.host})

    async def _file(self, job: ActiveJob) -> FileRecord:
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
        segment = (await self._file(job)).segments[number]
        kept, revision = await self.repository.job(job.organisation, job.job_id)
        if kept is None or kept.state is not JobState.IN_PROGRESS:
            return
        items = parse_chunk(await self.store.get(ObjectHash(segment.hash)))
        found = state.record if state else ChunkRecord(job.job_id, number, segment.lines)
        token = new_token()
        claimed = claim_chunk(found, self.settings.host, token, live)
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
        chunk = self._open(job, job_expect, written.ok_value, items)
        self.shared.chunks[chunk.key] = chunk
        emit(events.CHUNK_CLAIMED, job=job.job_id, chunk=number, epoch=chunk.epoch)

    def _open(
        self, job: ActiveJob, job_expect: tuple[str, int], state: ChunkState, items: list[Item]
    ) -> OpenChunk:
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
                # It may have been sent before its holder was lost: it ends here, once.
                chunk.fail(item, "holder_lost", "outcome unknown: the item may have run")
            elif record.suspects.get(item.index, 0) > 0:
                chunk.retry_or_fail(item, self.settings.max_attempts)
            else:
                chunk.pending.append(item.index)
        return chunk
