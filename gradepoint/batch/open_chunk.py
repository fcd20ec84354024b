"""In-memory state of the chunks that this host works on."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..telemetry import metrics
from ..util.clock import monotonic
from .items import failure_result

if TYPE_CHECKING:
    from .calls import PartialText
    from .items import Item
    from .records import ActiveJob, ItemResult
    from .repository import ChunkState


@dataclass
class OpenChunk:
    """A claimed chunk: its items, their progress and results that are not committed yet.

    :param job_expect: key and revision of the job record at the time of the claim. A commit
        requires this revision, so that results are not counted after a cancellation.
    :param epoch: epoch of the claim; writes under an older epoch are rejected.
    :param models: engine name of the model of each item.
    :param pending: items that wait for a target.
    :param isolated: waiting items that are suspected of crashing targets. Each runs at a
        target without other batch items.
    :param results: results that are not committed yet.
    :param partial: answers received in part, for items whose stream was cancelled.
    :param attempts: failed attempts per item other than lost targets.
    :param suspects: number of targets lost per item while it ran.
    :param oldest_result_at: monotonic time of the oldest result that is not committed.
    :param lock: serialises writes of the chunk record.
    :param dropped: whether this host no longer works on the chunk.
    """

    job: ActiveJob
    job_expect: tuple[str, int]
    state: ChunkState
    epoch: int
    items: list[Item]
    models: dict[int, str]
    pending: deque[int] = field(default_factory=deque)
    isolated: deque[int] = field(default_factory=deque)
    running: set[int] = field(default_factory=set)
    results: dict[int, ItemResult] = field(default_factory=dict)
    partial: dict[int, PartialText] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    suspects: dict[int, int] = field(default_factory=dict)
    oldest_result_at: float | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    dropped: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Job id and number of the chunk."""
        return self.job.job_id, self.state.record.number

    @property
    def finished(self) -> bool:
        """Whether no item is waiting or running."""
        return not self.pending and not self.isolated and not self.running

    def add_result(self, result: ItemResult, now: float) -> None:
        """Add a result to the next commit."""
        self.results[result.index] = result
        self.partial.pop(result.index, None)
        if self.oldest_result_at is None:
            self.oldest_result_at = now

    def fail(self, item: Item, code: str, message: str) -> None:
        """Add a failed result for an item."""
        metrics.shared().items.add(1, {"result": code})
        self.add_result(failure_result(self.job.job_id, item, code, message), monotonic())

    def retry_or_fail(self, item: Item, max_attempts: int) -> None:
        """Queue an item for another attempt, isolated if it is suspected, or fail it.

        It fails once lost targets and other failed attempts reach *max_attempts* in total.
        """
        count = self.suspects.get(item.index, 0) + self.attempts.get(item.index, 0)
        if count >= max_attempts:
            message = f"given up after {count} tries, each ended by a failing target"
            self.fail(item, "target_lost", message)
        elif self.suspects.get(item.index, 0):
            self.isolated.append(item.index)
        else:
            self.pending.append(item.index)

    def commit_due(self, bundle_items: int, bundle_age_s: float, now: float) -> bool:
        """Return whether to commit now: the bundle is full or old, or no item is left."""
        if not self.results or self.oldest_result_at is None:
            return False
        full = len(self.results) >= bundle_items
        return full or self.finished or now - self.oldest_result_at >= bundle_age_s

    def next_item(self, loaded_models: set[str], *, allow_isolated: bool) -> int | None:
        """Remove and return the next item that a target with *loaded_models* can run, or None.

        :param allow_isolated: whether an isolated item may be returned.
        """
        if allow_isolated and self.isolated and self.models[self.isolated[0]] in loaded_models:
            return self.isolated.popleft()
        for _ in range(len(self.pending)):
            index = self.pending.popleft()
            if self.models[index] in loaded_models:
                return index
            self.pending.append(index)
        return None


@dataclass
class WorkerState:
    """State shared by the components of a batch worker.

    :param chunks: open chunks by job id and chunk number.
    :param complete_chunks: numbers of the chunks known to be complete, by job.
    :param started_items: number of items started, by organisation.
    :param wake: set to request a poll for work before the next regular one.
    """

    chunks: dict[tuple[str, int], OpenChunk] = field(default_factory=dict)
    complete_chunks: dict[str, set[int]] = field(default_factory=dict)
    started_items: dict[str, float] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def waiting_items(self) -> int:
        """Number of items that wait for a target, over all open chunks."""
        return sum(len(chunk.pending) + len(chunk.isolated) for chunk in self.chunks.values())
