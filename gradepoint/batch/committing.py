"""Writing down what a worker does: intents, results, releases and ends of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from .. import events
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from .records import Bundle, encode_bundle
from .transitions import commit_results, note_intents, release_chunk

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..store.replicas import ReplicatedStore
    from .open_chunk import OpenChunk, WorkerState
    from .records import ActiveJob, ChunkRecord
    from .repository import ChunkState, Repository

INTENT_GROUP = 16
"""Not-repeatable items whose intent is written together."""


class Committer:
    """Replaces chunk records by compare-and-swap and drops what is lost.

    :param on_drop: stops the items of a chunk that this host no longer works on.
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
        """Write down that not-repeatable items are about to be sent, some at a time."""
        async with chunk.lock:
            if chunk.dropped:
                return False
            if index in chunk.state.record.intents:
                return True
            ahead = [number for number in chunk.pending if not chunk.items[number].repeatable]
            group = [index, *ahead[: INTENT_GROUP - 1]]
            noted = note_intents(chunk.state.record, chunk.epoch, group)
            if isinstance(noted, Err):
                self.drop(chunk)
                return False
            return await self._write(
                chunk, noted.ok_value, lambda record: set(group) <= set(record.intents)
            )

    async def commit(self, chunk: OpenChunk) -> None:
        """Make a chunk's results count; keep them for later if that is not possible now.

        :raises GradepointError: bulk data or the record could not be written.
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
            moved = commit_results(chunk.state.record, chunk.epoch, bundle, suspects)
            if isinstance(moved, Err):
                self.drop(chunk)
                return
            written = await self._write(
                chunk,
                moved.ok_value,
                lambda record: any(kept.hash == name for kept in record.bundles),
            )
            if not written:
                return
            for index in taken:
                chunk.results.pop(index, None)
            chunk.oldest_result_at = monotonic() if chunk.results else None
        metrics.shared().commits.add(1, {"result": "counted"})
        emit(events.CHUNK_COMMITTED, job=chunk.job.job_id, chunk=chunk.key[1], items=len(taken))
        if chunk.state.record.complete:
            await self._chunk_complete(chunk)

    async def _write(
        self, chunk: OpenChunk, record: ChunkRecord, is_ours: Callable[[ChunkRecord], bool]
    ) -> bool:
        """Replace a chunk's record; drop the chunk if it is no longer ours."""
        written = await self.repository.write_chunk(
            record, chunk.state.revision, chunk.job_expect, is_ours
        )
        if isinstance(written, Err):
            self.drop(chunk)
            return False
        chunk.state = written.ok_value
        if chunk.state.record.epoch != chunk.epoch:
            # The write took effect, then another host claimed the chunk.
            self.drop(chunk)
            return False
        return True

    def drop(self, chunk: OpenChunk) -> None:
        """Stop work on a chunk that is lost or whose job has ended."""
        if chunk.dropped:
            return
        chunk.dropped = True
        self.shared.chunks.pop(chunk.key, None)
        chunk.pending.clear()
        chunk.alone.clear()
        self.on_drop(chunk)
        emit(events.CHUNK_LOST, job=chunk.job.job_id, chunk=chunk.key[1], epoch=chunk.epoch)

    async def release(self, chunk: OpenChunk) -> None:
        """Give a chunk back, so that another host need not wait for this one's loss."""
        if chunk.dropped:
            return
        moved = release_chunk(chunk.state.record, chunk.epoch)
        if not isinstance(moved, Err):
            await self._write(chunk, moved.ok_value, lambda record: record.holder == "")

    async def _chunk_complete(self, chunk: OpenChunk) -> None:
        self.shared.chunks.pop(chunk.key, None)
        known = self.shared.complete.setdefault(chunk.job.job_id, set())
        known.add(chunk.key[1])
        self.shared.wake.set()
        if len(known) >= chunk.job.chunks:
            states = await self.repository.chunks(chunk.job.job_id)
            await self.finish(chunk.job, list(states.values()))

    async def finish(self, job: ActiveJob, states: list[ChunkState]) -> None:
        """End a job whose chunks are all complete."""
        records = [state.record for state in states]
        ended = await self.repository.finish(job.organisation, job.job_id, records)
        emit(
            events.JOB_FINISHED,
            job=job.job_id,
            state=ended.state.value,
            completed=ended.completed,
            failed=ended.failed,
        )
