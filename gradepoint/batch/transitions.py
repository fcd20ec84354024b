"""State transitions of jobs and chunks, which guarantee exactly one result per item.

The functions are pure. Each takes a record as read and returns the record to write by
compare-and-swap, or the reason why the transition is not allowed. An item is complete once a
chunk record that lists its bundle is written, and only then.
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
    """The reason why a transition is not allowed.

    :cvar COMPLETE: every item of the chunk has a result.
    :cvar HELD: a live host holds the chunk.
    :cvar STALE_EPOCH: the chunk was claimed again since.
    :cvar ITEM_DONE: an item already has a result.
    :cvar JOB_ENDED: the job is not in progress.
    :cvar NOT_COMPLETE: a chunk of the job has items without a result.
    """

    COMPLETE = "complete"
    HELD = "held"
    STALE_EPOCH = "epoch-passed"
    ITEM_DONE = "item-done"
    JOB_ENDED = "job-ended"
    NOT_COMPLETE = "not-complete"


def claim_chunk(
    chunk: ChunkRecord, holder: str, writer: str, live: Collection[str]
) -> Result[ChunkRecord, Refusal]:
    """Claim a chunk that no live host holds.

    Ownership only avoids duplicate work. Correctness does not depend on *live*: if a live
    holder is mistaken for a lost one, its later commits fail because of their stale epoch.

    :param writer: unique token of this claim.
    :param live: names of the live hosts.
    """
    if chunk.complete:
        return Err(Refusal.COMPLETE)
    if chunk.holder and chunk.holder in live:
        return Err(Refusal.HELD)
    return Ok(msgspec.structs.replace(chunk, epoch=chunk.epoch + 1, holder=holder, writer=writer))


def release_chunk(chunk: ChunkRecord, epoch: int) -> Result[ChunkRecord, Refusal]:
    """Release a chunk before it is complete, as a host does that shuts down."""
    if chunk.epoch != epoch:
        return Err(Refusal.STALE_EPOCH)
    return Ok(msgspec.structs.replace(chunk, holder=""))


def commit_results(
    chunk: ChunkRecord, epoch: int, bundle: Bundle, suspects: dict[int, int] | None = None
) -> Result[ChunkRecord, Refusal]:
    """Add a bundle of results to a chunk.

    :param epoch: epoch of the claim under which the items ran.
    :param suspects: number of targets lost per item, merged into the record.
    """
    if chunk.epoch != epoch:
        return Err(Refusal.STALE_EPOCH)
    if not chunk.done.isdisjoint(bundle.items):
        return Err(Refusal.ITEM_DONE)
    done = {*chunk.done, *bundle.items}
    unfinished_suspects = {
        item: count
        for item, count in {**chunk.suspects, **(suspects or {})}.items()
        if item not in done
    }
    intents = tuple(item for item in chunk.intents if item not in done)
    return Ok(
        msgspec.structs.replace(
            chunk, bundles=(*chunk.bundles, bundle), suspects=unfinished_suspects, intents=intents
        )
    )


def record_intents(
    chunk: ChunkRecord, epoch: int, items: Iterable[int]
) -> Result[ChunkRecord, Refusal]:
    """Record that items that are not repeatable are about to be sent.

    If the holder is lost afterwards, the next one must not send them again.
    """
    if chunk.epoch != epoch:
        return Err(Refusal.STALE_EPOCH)
    wanted = {*chunk.intents, *items}
    if not chunk.done.isdisjoint(wanted):
        return Err(Refusal.ITEM_DONE)
    return Ok(msgspec.structs.replace(chunk, intents=tuple(sorted(wanted))))


def cancel_job(job: JobRecord, now_s: int) -> Result[JobRecord, Refusal]:
    """Cancel a job in progress."""
    return _end_job(job, JobState.CANCELLED, now_s)


def expire_job(job: JobRecord, now_s: int) -> Result[JobRecord, Refusal]:
    """Expire a job whose deadline has passed; its results so far stay readable."""
    return _end_job(job, JobState.EXPIRED, now_s)


def finish_job(
    job: JobRecord, chunks: Collection[ChunkRecord], now_s: int
) -> Result[JobRecord, Refusal]:
    """Complete a job if all of its chunks are complete, and store the counts in it."""
    if len(chunks) < job.chunks or not all(chunk.complete for chunk in chunks):
        return Err(Refusal.NOT_COMPLETE)
    return _end_job(job, JobState.COMPLETED, now_s).map(lambda ended: with_counts(ended, chunks))


def with_counts(job: JobRecord, chunks: Iterable[ChunkRecord]) -> JobRecord:
    """Return *job* with the item counts of *chunks*."""
    done = failed = 0
    for chunk in chunks:
        done += chunk.done_count
        failed += chunk.failed_count
    return msgspec.structs.replace(job, completed=done - failed, failed=failed)


def _end_job(job: JobRecord, state: JobState, now_s: int) -> Result[JobRecord, Refusal]:
    if job.state is not JobState.IN_PROGRESS:
        return Err(Refusal.JOB_ENDED)
    return Ok(msgspec.structs.replace(job, state=state, finished_at=now_s))
