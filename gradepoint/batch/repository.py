"""Files, jobs and chunks as kept: bulk data on data hosts, records in the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from ..errors import GradepointError, KvError
from ..kv.service import ABSENT, Delete, Expect, Put, Transaction
from ..kv.settle import Settled, Unsettled, settle
from ..util.clock import wall_seconds
from .records import (
    ACTIVE_PREFIX,
    FILES_PREFIX,
    JOBS_PREFIX,
    ActiveJob,
    ChunkRecord,
    FileRecord,
    JobRecord,
    JobState,
    active_key,
    chunk_key,
    chunks_prefix,
    file_key,
    job_key,
)
from .transitions import Refusal, cancel_job, expire_job, finish_job, with_counts

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..kv.service import KeyValue, KeyValueService

    Transition = Callable[[JobRecord], Result[JobRecord, Refusal]]


class ChunkState(msgspec.Struct, frozen=True):
    """A chunk record with its revision; revision :data:`ABSENT` if never claimed."""

    record: ChunkRecord
    revision: int


class Repository:
    """Reads and writes records; every write is settled."""

    def __init__(self, service: KeyValueService) -> None:
        self.service = service

    # Files

    async def put_file(self, record: FileRecord) -> FileRecord:
        """Create a file record; an equal earlier upload is the same file.

        :raises GradepointError: the service does not answer.
        """
        key = file_key(record.organisation, record.file_id)
        transaction = Transaction((Expect(key, ABSENT),), (Put(key, msgspec.json.encode(record)),))
        await self._write(transaction, lambda: self._exists(key))
        found = await self.file(record.organisation, record.file_id)
        return found or record

    async def file(self, organisation: str, file_id: str) -> FileRecord | None:
        """Return a file record."""
        item = await self._get(file_key(organisation, file_id))
        return msgspec.json.decode(item.value, type=FileRecord) if item else None

    async def files(self, organisation: str) -> list[FileRecord]:
        """Return an organisation's files."""
        items = await self._range(f"{FILES_PREFIX}{organisation}/")
        return [msgspec.json.decode(item.value, type=FileRecord) for item in items]

    async def delete_file(self, organisation: str, file_id: str) -> bool:
        """Delete a file record; its objects are collected later."""
        key = file_key(organisation, file_id)
        item = await self._get(key)
        if item is None:
            return False
        transaction = Transaction((Expect(key, item.revision),), (), (Delete(key),))
        await self._write(transaction, lambda: self._is_absent(key))
        return True

    # Jobs

    async def create_job(self, job: JobRecord) -> tuple[JobRecord, bool]:
        """Create a job; an equal earlier one is the same job.

        :returns: the job as kept, and whether this call created it.
        :raises GradepointError: ``idempotency_mismatch``, or the service does not answer.
        """
        key = job_key(job.organisation, job.job_id)
        active = ActiveJob(
            job.job_id, job.organisation, job.file_id, job.endpoint, job.chunks, job.deadline_at
        )
        transaction = Transaction(
            (Expect(key, ABSENT),),
            (
                Put(key, msgspec.json.encode(job)),
                Put(active_key(job.job_id), msgspec.json.encode(active)),
            ),
        )
        settled = await self._write(transaction, lambda: self._exists(key))
        kept, _ = await self.job(job.organisation, job.job_id)
        if kept is None:
            return job, settled is Settled.TOOK_EFFECT
        if kept.digest != job.digest:
            raise GradepointError("idempotency_mismatch")
        return kept, settled is Settled.TOOK_EFFECT

    async def job(self, organisation: str, job_id: str) -> tuple[JobRecord | None, int]:
        """Return a job record and its revision."""
        item = await self._get(job_key(organisation, job_id))
        if item is None:
            return None, ABSENT
        return msgspec.json.decode(item.value, type=JobRecord), item.revision

    async def jobs(self, organisation: str) -> list[JobRecord]:
        """Return an organisation's jobs."""
        items = await self._range(f"{JOBS_PREFIX}{organisation}/")
        return [msgspec.json.decode(item.value, type=JobRecord) for item in items]

    async def active_jobs(self) -> list[ActiveJob]:
        """Return the index of the jobs in progress."""
        items = await self._range(ACTIVE_PREFIX)
        return [msgspec.json.decode(item.value, type=ActiveJob) for item in items]

    async def cancel(self, organisation: str, job_id: str) -> JobRecord:
        """Cancel a job; one that has ended stays as it is.

        :raises GradepointError: ``not_found``, or the service does not answer.
        """
        return await self._end(organisation, job_id, lambda job: cancel_job(job, wall_seconds()))

    async def expire(self, organisation: str, job_id: str) -> JobRecord:
        """End a job that is past its deadline."""
        return await self._end(organisation, job_id, lambda job: expire_job(job, wall_seconds()))

    async def finish(self, organisation: str, job_id: str, chunks: list[ChunkRecord]) -> JobRecord:
        """Complete a job."""
        return await self._end(
            organisation, job_id, lambda job: finish_job(job, chunks, wall_seconds())
        )

    async def _end(self, organisation: str, job_id: str, transition: Transition) -> JobRecord:
        while True:
            job, revision = await self.job(organisation, job_id)
            if job is None:
                raise GradepointError("not_found", f"There is no job {job_id!r}.")
            moved = transition(job)
            if isinstance(moved, Err):
                return job
            key = job_key(organisation, job_id)
            wanted = moved.ok_value
            transaction = Transaction(
                (Expect(key, revision),),
                (Put(key, msgspec.json.encode(wanted)),),
                (Delete(active_key(job_id)),),
            )
            settled = await self._write(transaction, lambda: self._job_ended(organisation, job_id))
            if settled is Settled.TOOK_EFFECT:
                kept, _ = await self.job(organisation, job_id)
                return kept or wanted

    async def _job_ended(self, organisation: str, job_id: str) -> bool:
        job, _ = await self.job(organisation, job_id)
        return job is not None and job.state is not JobState.IN_PROGRESS

    # Chunks

    async def chunks(self, job_id: str) -> dict[int, ChunkState]:
        """Return the chunks that were ever claimed, by number."""
        items = await self._range(chunks_prefix(job_id))
        states = (_chunk_state(item) for item in items)
        return {state.record.number: state for state in states}

    async def chunk(self, job_id: str, number: int) -> ChunkState | None:
        """Return one chunk."""
        item = await self._get(chunk_key(job_id, number))
        return _chunk_state(item) if item else None

    async def write_chunk(
        self,
        record: ChunkRecord,
        revision: int,
        job: tuple[str, int] | None,
        is_ours: Callable[[ChunkRecord], bool],
    ) -> Result[ChunkState, ChunkState | None]:
        """Replace a chunk record by compare-and-swap.

        :param job: key and revision of the job, which must not have ended meanwhile.
        :param is_ours: tells from a record as read whether this write is in it.
        :returns: the chunk as written, or as found when another write came first.
        :raises GradepointError: the service gives no definite answer.
        """
        key = chunk_key(record.job_id, record.number)
        expects = [Expect(key, revision)]
        if job is not None:
            expects.append(Expect(*job))
        transaction = Transaction(tuple(expects), (Put(key, msgspec.json.encode(record)),))
        found: list[ChunkState | None] = []

        async def took_effect() -> bool:
            state = await self.chunk(record.job_id, record.number)
            found.append(state)
            return state is not None and is_ours(state.record)

        try:
            settled, written = await settle(self.service, transaction, took_effect)
        except (Unsettled, KvError) as error:
            raise GradepointError("service_uncertain", str(error)) from error
        if settled is Settled.TOOK_EFFECT and written:
            return Ok(ChunkState(record, written))
        state = found[-1] if found else await self.chunk(record.job_id, record.number)
        if settled is Settled.TOOK_EFFECT and state is not None:
            return Ok(state)
        return Err(state)

    async def counted(self, job: JobRecord) -> JobRecord:
        """Return *job* with the counts of its chunks as they are now."""
        if job.state is JobState.COMPLETED:
            return job
        chunks = await self.chunks(job.job_id)
        return with_counts(job, (state.record for state in chunks.values()))

    # Service calls with the API's errors

    async def _get(self, key: str) -> KeyValue | None:
        try:
            return await self.service.get(key)
        except KvError as error:
            raise _unavailable(error) from error

    async def _range(self, prefix: str) -> tuple[KeyValue, ...]:
        try:
            return (await self.service.range(prefix)).items
        except KvError as error:
            raise _unavailable(error) from error

    async def _exists(self, key: str) -> bool:
        return await self.service.get(key) is not None

    async def _is_absent(self, key: str) -> bool:
        return await self.service.get(key) is None

    async def _write(self, transaction: Transaction, is_ours: Callable[[], object]) -> Settled:
        try:
            settled, _ = await settle(self.service, transaction, is_ours)  # type: ignore[arg-type]
        except Unsettled as error:
            code = "service_uncertain" if error.sent else "service_unavailable"
            raise GradepointError(code, str(error)) from error
        except KvError as error:
            raise GradepointError("service_uncertain", str(error)) from error
        return settled


def _chunk_state(item: KeyValue) -> ChunkState:
    return ChunkState(msgspec.json.decode(item.value, type=ChunkRecord), item.revision)


def _unavailable(error: KvError) -> GradepointError:
    return GradepointError("service_unavailable", f"The key-value service: {error}.")
