"""Storage of file, job and chunk records in the key-value service.

The bulk data that the records refer to is stored on data hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from ..errors import GradepointError, KvError, KvRejected
from ..kv.records import decode_records, require_record
from ..kv.service import ABSENT, Delete, Expect, Put, Transaction
from ..kv.settle import WriteOutcome, WriteOutcomeUnknown, settle
from ..kv.unreadable import UnreadableRows
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
    key_of_active_job,
    key_of_chunk,
    key_of_file,
    key_of_job,
)
from .transitions import Refusal, cancel_job, expire_job, finish_job, with_counts

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..kv.service import KeyValue, KeyValueService

    Transition = Callable[[JobRecord], Result[JobRecord, Refusal]]


class ChunkState(msgspec.Struct, frozen=True):
    """A chunk record and its revision. A chunk has no record until its first claim."""

    record: ChunkRecord
    revision: int


class Repository:
    """Reads and writes records.

    If the reply to a write is lost, the record is read to find out whether the write took
    effect. Listings leave out the records that cannot be decoded.
    """

    def __init__(self, service: KeyValueService) -> None:
        self.service = service
        self.unreadable = UnreadableRows()

    # Files

    async def put_file(self, record: FileRecord) -> FileRecord:
        """Create a file record, or return the existing one of an equal earlier upload.

        :raises GradepointError: the service does not answer.
        """
        key = file_key(record.organisation, record.file_id)
        transaction = Transaction((Expect(key, ABSENT),), (Put(key, msgspec.json.encode(record)),))
        await self._write(transaction, lambda: self._exists(key))
        found = await self.file(record.organisation, record.file_id)
        return found or record

    async def file(self, organisation: str, file_id: str) -> FileRecord | None:
        """Return a file record, or None.

        :raises GradepointError: ``record_unreadable``, or the service does not answer.
        """
        item = await self._get(file_key(organisation, file_id))
        return require_record(item, FileRecord, key_of_file) if item else None

    async def files(self, organisation: str) -> list[FileRecord]:
        """Return all files of an organisation."""
        items = await self._range(f"{FILES_PREFIX}{organisation}/")
        return [row for _, row in decode_records(items, FileRecord, self.unreadable, key_of_file)]

    async def delete_file(self, organisation: str, file_id: str) -> bool:
        """Delete a file record; return False if there is none.

        Housekeeping deletes the objects of the file later.
        """
        key = file_key(organisation, file_id)
        item = await self._get(key)
        if item is None:
            return False
        transaction = Transaction((Expect(key, item.revision),), (), (Delete(key),))
        await self._write(transaction, lambda: self._is_absent(key))
        return True

    # Jobs

    async def create_job(self, job: JobRecord) -> tuple[JobRecord, bool]:
        """Create a job, or return the existing one with the same id and parameters.

        :returns: the stored job, and whether this call created it.
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
        stored, _ = await self.job(job.organisation, job.job_id)
        if stored is None:
            return job, settled is WriteOutcome.TOOK_EFFECT
        if stored.digest != job.digest:
            raise GradepointError("idempotency_mismatch")
        return stored, settled is WriteOutcome.TOOK_EFFECT

    async def job(self, organisation: str, job_id: str) -> tuple[JobRecord | None, int]:
        """Return a job record and its revision; None and ``ABSENT`` if there is none.

        :raises GradepointError: ``record_unreadable``, or the service does not answer.
        """
        item = await self._get(job_key(organisation, job_id))
        if item is None:
            return None, ABSENT
        return require_record(item, JobRecord, key_of_job), item.revision

    async def jobs(self, organisation: str) -> list[JobRecord]:
        """Return all jobs of an organisation."""
        items = await self._range(f"{JOBS_PREFIX}{organisation}/")
        return [row for _, row in decode_records(items, JobRecord, self.unreadable, key_of_job)]

    async def active_jobs(self) -> list[ActiveJob]:
        """Return the index entries of all jobs in progress."""
        items = await self._range(ACTIVE_PREFIX)
        rows = decode_records(items, ActiveJob, self.unreadable, key_of_active_job)
        return [row for _, row in rows]

    async def cancel(self, organisation: str, job_id: str) -> JobRecord:
        """Cancel a job and return it; a job that has ended is returned unchanged.

        :raises GradepointError: ``not_found``, or the service does not answer.
        """
        return await self._end_job(
            organisation, job_id, lambda job: cancel_job(job, wall_seconds())
        )

    async def expire(self, organisation: str, job_id: str) -> JobRecord:
        """Mark a job past its deadline as expired; see :meth:`cancel`."""
        return await self._end_job(
            organisation, job_id, lambda job: expire_job(job, wall_seconds())
        )

    async def finish(self, organisation: str, job_id: str, chunks: list[ChunkRecord]) -> JobRecord:
        """Mark a job as completed; see :meth:`cancel`."""
        return await self._end_job(
            organisation, job_id, lambda job: finish_job(job, chunks, wall_seconds())
        )

    async def _end_job(self, organisation: str, job_id: str, transition: Transition) -> JobRecord:
        """Apply a transition that ends a job and delete its index entry.

        Retries while other writes come first. A refused transition returns the job unchanged.
        """
        while True:
            job, revision = await self.job(organisation, job_id)
            if job is None:
                raise GradepointError("not_found", f"There is no job {job_id!r}.")
            changed = transition(job)
            if isinstance(changed, Err):
                return job
            key = job_key(organisation, job_id)
            ended = changed.ok_value
            transaction = Transaction(
                (Expect(key, revision),),
                (Put(key, msgspec.json.encode(ended)),),
                (Delete(active_key(job_id)),),
            )
            settled = await self._write(transaction, lambda: self._job_ended(organisation, job_id))
            if settled is WriteOutcome.TOOK_EFFECT:
                stored, _ = await self.job(organisation, job_id)
                return stored or ended

    async def _job_ended(self, organisation: str, job_id: str) -> bool:
        job, _ = await self.job(organisation, job_id)
        return job is not None and job.state is not JobState.IN_PROGRESS

    # Chunks

    async def chunks(self, job_id: str) -> dict[int, ChunkState]:
        """Return the chunks that were claimed at least once, by number."""
        items = await self._range(chunks_prefix(job_id))
        rows = decode_records(items, ChunkRecord, self.unreadable, key_of_chunk)
        return {row.number: ChunkState(row, item.revision) for item, row in rows}

    async def chunk(self, job_id: str, number: int) -> ChunkState | None:
        """Return one chunk, or None if it was never claimed.

        :raises GradepointError: ``record_unreadable``, or the service does not answer.
        """
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

        :param revision: revision of the record that is replaced.
        :param job: key and revision of the job record, which must be unchanged, so that the
            write fails if the job has ended.
        :param is_ours: returns whether a record contains this write.
        :returns: the written chunk, or as an error the chunk that another write left.
        :raises GradepointError: the service gave no definite answer.
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
        except (WriteOutcomeUnknown, KvError) as error:
            raise GradepointError("service_uncertain", str(error)) from error
        if settled is WriteOutcome.TOOK_EFFECT and written:
            return Ok(ChunkState(record, written))
        state = found[-1] if found else await self.chunk(record.job_id, record.number)
        if settled is WriteOutcome.TOOK_EFFECT and state is not None:
            return Ok(state)
        return Err(state)

    async def with_current_counts(self, job: JobRecord) -> JobRecord:
        """Return *job* with the current counts of its chunks."""
        if job.state is JobState.COMPLETED:
            return job
        chunks = await self.chunks(job.job_id)
        return with_counts(job, (state.record for state in chunks.values()))

    # Service calls; their errors are converted to API errors

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

    async def _write(self, transaction: Transaction, is_ours: Callable[[], object]) -> WriteOutcome:
        try:
            settled, _ = await settle(self.service, transaction, is_ours)  # type: ignore[arg-type]
        except WriteOutcomeUnknown as error:
            code = "service_uncertain" if error.may_have_applied else "service_unavailable"
            raise GradepointError(code, str(error)) from error
        except KvRejected as error:
            raise _unavailable(error) from error
        except KvError as error:
            raise GradepointError("service_uncertain", str(error)) from error
        return settled


def _chunk_state(item: KeyValue) -> ChunkState:
    return ChunkState(require_record(item, ChunkRecord, key_of_chunk), item.revision)


def _unavailable(error: KvError) -> GradepointError:
    return GradepointError("service_unavailable", f"The key-value service: {error}.")
