"""Pure transitions of jobs and chunks: the rules behind "exactly once".

Every transition takes the record as read and returns the record to write by
compare-and-swap, or the reason why there is none. An item completes at the moment when
a chunk record that names its bundle is written, and at no other.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from .records import Bundle, ChunkRecord, JobRecord, JobState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


class Refusal(Enum):
    """Why a transition is not possible."""

    COMPLETE = "complete"
    HELD = "held"
    EPOCH_PASSED = "epoch-passed"
    ITEM_DONE = "item-done"
    JOB_ENDED = "job-ended"
    NOT_COMPLETE = "not-complete"


def claim_chunk(
    chunk: ChunkRecord, holder: str, writer: str, live: Collection[str]
) -> Result[ChunkRecord, Refusal]:
    """Claim a chunk that nobody live holds.

    Ownership is for speed only: should a live holder be taken for lost, its commits fail
    by their epoch.
    """
    if chunk.complete:
        return Err(Refusal.COMPLETE)
    if chunk.holder and chunk.holder in live:
        return Err(Refusal.HELD)
    return Ok(msgspec.structs.replace(chunk, epoch=chunk.epoch + 1, holder=holder, writer=writer))


def release_chunk(chunk: ChunkRecord, epoch: int) -> Result[ChunkRecord, Refusal]:
    """Give a chunk back before it is complete, as a leaving host does."""
    if chunk.epoch != epoch:
        return Err(Refusal.EPOCH_PASSED)
    return Ok(msgspec.structs.replace(chunk, holder=""))


def commit_results(
    chunk: ChunkRecord, epoch: int, bundle: Bundle, suspects: dict[int, int] | None = None
) -> Result[ChunkRecord, Refusal]:
    """Make the results of a bundle count.

    :param epoch: epoch of the claim under which the items ran.
    """
    if chunk.epoch != epoch:
        return Err(Refusal.EPOCH_PASSED)
    if not chunk.done.isdisjoint(bundle.items):
        return Err(Refusal.ITEM_DONE)
    done = {*chunk.done, *bundle.items}
    kept = {
        item: count
        for item, count in {**chunk.suspects, **(suspects or {})}.items()
        if item not in done
    }
    intents = tuple(item for item in chunk.intents if item not in done)
    return Ok(
        msgspec.structs.replace(
            chunk, bundles=(*chunk.bundles, bundle), suspects=kept, intents=intents
        )
    )


def note_intents(
    chunk: ChunkRecord, epoch: int, items: Iterable[int]
) -> Result[ChunkRecord, Refusal]:
    """Note not-repeatable items that are about to be sent."""
    if chunk.epoch != epoch:
        return Err(Refusal.EPOCH_PASSED)
    wanted = {*chunk.intents, *items}
    if not chunk.done.isdisjoint(wanted):
        return Err(Refusal.ITEM_DONE)
    return Ok(msgspec.structs.replace(chunk, intents=tuple(sorted(wanted))))


def cancel_job(job: JobRecord, now_s: int) -> Result[JobRecord, Refusal]:
    """Cancel a job in progress."""
    return _end(job, JobState.CANCELLED, now_s)


def expire_job(job: JobRecord, now_s: int) -> Result[JobRecord, Refusal]:
    """End a job whose deadline has passed; results so far stay readable."""
    return _end(job, JobState.EXPIRED, now_s)


def finish_job(
    job: JobRecord, chunks: Collection[ChunkRecord], now_s: int
) -> Result[JobRecord, Refusal]:
    """Complete a job whose chunks are all complete."""
    if len(chunks) < job.chunks or not all(chunk.complete for chunk in chunks):
        return Err(Refusal.NOT_COMPLETE)
    return _end(job, JobState.COMPLETED, now_s).map(lambda ended: with_counts(ended, chunks))


def with_counts(job: JobRecord, chunks: Iterable[ChunkRecord]) -> JobRecord:
    """Return *job* with the counts of its chunks."""
    done = failed = 0
    for chunk in chunks:
        done += chunk.done_count
        failed += chunk.failed_count
    return msgspec.structs.replace(job, completed=done - failed, failed=failed)


def _end(job: JobRecord, state: JobState, now_s: int) -> Result[JobRecord, Refusal]:
    if job.state is not JobState.IN_PROGRESS:
        return Err(Refusal.JOB_ENDED)
    return Ok(msgspec.structs.replace(job, state=state, finished_at=now_s))
