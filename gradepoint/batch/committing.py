"""Writes of a worker to the records: intents, results, releases and finished jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from .. import events
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from .records import Bundle, encode_bundle
from .transitions import commit_results, record_intents, release_chunk

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..store.replicas import ReplicatedStore
    from .open_chunk import OpenChunk, WorkerState
    from .records import ActiveJob, ChunkRecord
    from .repository import ChunkState, Repository

INTENTS_PER_WRITE = 16
"""Upper limit of items that are not repeatable whose intents are written together."""


class Committer:
    """Updates chunk records by compare-and-swap, and drops chunks that this host lost.

    :param on_drop: cancels the running items of a chunk that was dropped.
    """

    def __init__(
        self,
        repository: Repository,
        store: ReplicatedStore,
        shared: WorkerState,
        on_drop: Callable[[OpenChunk], None],
    ) -> None:
        self.repository = repository
        self.store = store
        self.shared = shared
        self.on_drop = on_drop

    async def record_intent(self, chunk: OpenChunk, index: int) -> bool:
        """Record that an item that is not repeatable is about to be sent.

        The intents of the next such items of the chunk are written with it, to save writes.

        :returns: whether the item may be sent; False if the chunk was dropped.
        """
        async with chunk.lock:
            if chunk.dropped:
                return False
            if index in chunk.state.record.intents:
                return True
            upcoming = [number for number in chunk.pending if not chunk.items[number].repeatable]
            group = [index, *upcoming[: INTENTS_PER_WRITE - 1]]
            changed = record_intents(chunk.state.record, chunk.epoch, group)
            if isinstance(changed, Err):
                self.drop(chunk)
                return False
            return await self._write(
                chunk, changed.ok_value, lambda record: set(group) <= set(record.intents)
            )

    async def commit(self, chunk: OpenChunk) -> None:
        """Store a bundle of a chunk's results and add it to the chunk record.

        If that fails, the results stay in memory for the next commit.

        :raises GradepointError: the bundle or the record could not be written.
        """
        async with chunk.lock:
            if chunk.dropped or not chunk.results:
                return
            taken = dict(sorted(chunk.results.items()))
            results = list(taken.values())
            name = await self.store.put(encode_bundle(results))
            failed = sum(1 for result in results if not result.ok)
            bundle = Bundle(name, tuple(taken), failed)
            suspects = {
                index: count for index, count in chunk.suspects.items() if index not in taken
            }
            changed = commit_results(chunk.state.record, chunk.epoch, bundle, suspects)
            if isinstance(changed, Err):
                self.drop(chunk)
                return
            written = await self._write(
                chunk,
                changed.ok_value,
                lambda record: any(stored.hash == name for stored in record.bundles),
            )
            if not written:
                return
            for index in taken:
                chunk.results.pop(index, None)
            chunk.oldest_result_at = monotonic() if chunk.results else None
        metrics.shared().commits.add(1, {"result": "counted"})
        emit(events.CHUNK_COMMITTED, job=chunk.job.job_id, chunk=chunk.key[1], items=len(taken))
        if chunk.state.record.complete:
            await self._on_chunk_complete(chunk)

    async def _write(
        self, chunk: OpenChunk, record: ChunkRecord, is_ours: Callable[[ChunkRecord], bool]
    ) -> bool:
        """Replace a chunk's record; drop the chunk if this host no longer owns it."""
        written = await self.repository.write_chunk(
            record, chunk.state.revision, chunk.job_expect, is_ours
        )
        if isinstance(written, Err):
            self.drop(chunk)
            return False
        chunk.state = written.ok_value
        if chunk.state.record.epoch != chunk.epoch:
            # The write took effect, but another host has claimed the chunk since.
            self.drop(chunk)
            return False
        return True

    def drop(self, chunk: OpenChunk) -> None:
        """Stop work on a chunk that another host claimed or whose job has ended."""
        if chunk.dropped:
            return
        chunk.dropped = True
        self.shared.chunks.pop(chunk.key, None)
        chunk.pending.clear()
        chunk.isolated.clear()
        self.on_drop(chunk)
        emit(events.CHUNK_LOST, job=chunk.job.job_id, chunk=chunk.key[1], epoch=chunk.epoch)

    async def release(self, chunk: OpenChunk) -> None:
        """Release a chunk, so that another host can claim it before this one counts as lost."""
        if chunk.dropped:
            return
        changed = release_chunk(chunk.state.record, chunk.epoch)
        if not isinstance(changed, Err):
            await self._write(chunk, changed.ok_value, lambda record: record.holder == "")

    async def _on_chunk_complete(self, chunk: OpenChunk) -> None:
        """Close a complete chunk, and finish its job if it was the last one."""
        self.shared.chunks.pop(chunk.key, None)
        complete_numbers = self.shared.complete_chunks.setdefault(chunk.job.job_id, set())
        complete_numbers.add(chunk.key[1])
        self.shared.wake.set()
        if len(complete_numbers) >= chunk.job.chunks:
            states = await self.repository.chunks(chunk.job.job_id)
            await self.finish(chunk.job, list(states.values()))

    async def finish(self, job: ActiveJob, states: list[ChunkState]) -> None:
        """Mark a job as completed once all of its chunks are complete."""
        records = [state.record for state in states]
        ended = await self.repository.finish(job.organisation, job.job_id, records)
        emit(
            events.JOB_FINISHED,
            job=job.job_id,
            state=ended.state.value,
            completed=ended.completed,
            failed=ended.failed,
        )
