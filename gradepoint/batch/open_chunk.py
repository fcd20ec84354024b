"""A chunk that this host works on."""

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
    """Items, their progress and their results that do not count yet.

    :param job_expect: key and revision of the job record at the claim; a commit requires
        them unchanged, so that no result counts after a cancellation.
    :param models: engine name of each item.
    :param alone: items suspected of killing targets; each runs with no other batch item.
    """

    job: ActiveJob
    job_expect: tuple[str, int]
    state: ChunkState
    epoch: int
    items: list[Item]
    models: dict[int, str]
    pending: deque[int] = field(default_factory=deque)
    alone: deque[int] = field(default_factory=deque)
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
        """Job and number."""
        return self.job.job_id, self.state.record.number

    @property
    def finished(self) -> bool:
        """Whether nothing is left to run."""
        return not self.pending and not self.alone and not self.running

    def add_result(self, result: ItemResult, now: float) -> None:
        """Take a result; it counts once committed."""
        self.results[result.index] = result
        self.partial.pop(result.index, None)
        if self.oldest_result_at is None:
            self.oldest_result_at = now

    def fail(self, item: Item, code: str, message: str) -> None:
        """End an item as failed, with its reason."""
        metrics.shared().items.add(1, {"result": code})
        self.add_result(failure_result(self.job.job_id, item, code, message), monotonic())

    def retry_or_fail(self, item: Item, max_attempts: int) -> None:
        """Queue an item that failed again, alone if it is suspected, or give it up."""
        count = self.suspects.get(item.index, 0) + self.attempts.get(item.index, 0)
        if count >= max_attempts:
            message = f"given up after {count} tries, each ended by a failing target"
            self.fail(item, "target_lost", message)
        elif self.suspects.get(item.index, 0):
            self.alone.append(item.index)
        else:
            self.pending.append(item.index)

    def due(self, bundle_items: int, bundle_age_s: float, now: float) -> bool:
        """Return whether the results should be committed now."""
        if not self.results or self.oldest_result_at is None:
            return False
        full = len(self.results) >= bundle_items
        return full or self.finished or now - self.oldest_result_at >= bundle_age_s

    def next_item(self, served: set[str], *, allow_alone: bool) -> int | None:
        """Take the next item that a target with the models *served* can run."""
        if allow_alone and self.alone and self.models[self.alone[0]] in served:
            return self.alone.popleft()
        for _ in range(len(self.pending)):
            index = self.pending.popleft()
            if self.models[index] in served:
                return index
            self.pending.append(index)
        return None


@dataclass
class WorkerState:
    """What the parts of a batch worker share.

    :param complete: numbers of the chunks known to be complete, by job.
    :param served: items started, by organisation.
    :param wake: set to look for work at once.
    """

    chunks: dict[tuple[str, int], OpenChunk] = field(default_factory=dict)
    complete: dict[str, set[int]] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def waiting(self) -> int:
        """Items that wait for a target."""
        return sum(len(chunk.pending) + len(chunk.alone) for chunk in self.chunks.values())
