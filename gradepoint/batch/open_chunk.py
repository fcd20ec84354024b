"""A chunk that this host works on."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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
