"""A job that this host runs: what is listed, what waits for a commit, what is under way."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..gateway.identity import RequestIdentity
from ..kv.service import ABSENT
from ..util.clock import monotonic
from .records import ItemEnd, PartialText, Result

if TYPE_CHECKING:
    from ..ids import ItemId, JobId
    from .records import Item
    from .repository import StoredJob


@dataclass
class OwnedJob:
    """One job and its work on this host.

    :param stored: the job as the service has it; revision :data:`ABSENT` until it is there.
    :param results: listed results with their texts, by position.
    :ivar pending: ended items that no commit lists yet.
    :ivar running: tasks of the items under way, by index.
    :ivar not_before: monotonic time before which a failed item is not tried again.
    :ivar pending_since: monotonic time at which the oldest of them ended.
    :ivar committed_at: monotonic time of the last commit.
    :ivar commit_after: monotonic time before which no commit is tried.
    :ivar identities: what items ask for, by index, as far as it was needed.
    :ivar changed: set and replaced whenever results are listed.
    """

    stored: StoredJob
    items: list[Item]
    results: list[Result]
    accepted_at: float
    pending: list[Result] = field(default_factory=list)
    failures: dict[int, int] = field(default_factory=dict)
    partial: dict[int, PartialText] = field(default_factory=dict)
    running: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    not_before: dict[int, float] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    dropped: bool = False
    pending_since: float = 0.0
    commit_after: float = 0.0
    committed_at: float = field(default_factory=monotonic)
    committing: bool = False
    commit_task: asyncio.Task[None] | None = None
    identities: dict[int, RequestIdentity] = field(default_factory=dict)

    @property
    def id(self) -> JobId:
        """Its name."""
        return self.stored.id

    @property
    def order(self) -> int:
        """Its place among all jobs by age: the revision that created it, the same at any host."""
        return self.stored.created

    @property
    def entered(self) -> bool:
        """Whether the service has the job, so that its results can be listed."""
        return self.stored.revision != ABSENT

    @property
    def done(self) -> bool:
        """Whether nothing is left to run or commit."""
        return self.stored.state.done

    def open_indices(self, now: float) -> list[int]:
        """Return the items that wait to be run, in order."""
        ended = {row.index for row in self.stored.state.listed}
        ended.update(row.index for row in self.pending)
        return [
            index
            for index in range(len(self.items))
            if index not in ended
            and index not in self.running
            and self.not_before.get(index, 0.0) <= now
        ]

    def enter(self, stored: StoredJob) -> None:
        """Take note that the service has the job now; what has been run so far counts."""
        self.stored = stored
        self.committed_at = monotonic()

    def identify(self, index: int) -> RequestIdentity:
        """Return what an item asks for; the same object each time, which keeps its key."""
        known = self.identities.get(index)
        if known is None:
            item, host = self.items[index], self.stored.state.host
            known = self.identities[index] = RequestIdentity(
                host, b"", "POST", item.path, item.body
            )
        return known

    def find_body(self, item_id: ItemId) -> bytes | None:
        """Return the body of an item, None if the job has no such item."""
        return next((item.body for item in self.items if item.id == item_id), None)

    def copy_partial(self) -> dict[int, PartialText]:
        """Return the texts of items under way as they are now."""
        return {
            index: PartialText(text.last_event, list(text.data))
            for index, text in self.partial.items()
            if text.data
        }

    def finish(self, result: Result) -> None:
        """Take an item's end; it counts once it is committed."""
        if any(row.index == result.index for row in (*self.pending, *self.stored.state.listed)):
            return
        if not self.pending:
            self.pending_since = monotonic()
        self.pending.append(result)
        self.partial.pop(result.index, None)
        self.failures.pop(result.index, None)

    def take_committed(self, stored: StoredJob, committed: list[Result]) -> None:
        """Take note that *committed* are listed now."""
        self.stored = stored
        self.committed_at = monotonic()
        self.results += committed
        listed = {row.index for row in committed}
        self.pending = [row for row in self.pending if row.index not in listed]
        self.pending_since = monotonic() if self.pending else 0.0
        self._notify()

    def take_state(self, stored: StoredJob) -> None:
        """Take a state that this host did not expect, but which lists only its own commits.

        It comes about when the answer to a commit was lost.
        """
        texts = {row.index: row for row in self.pending}
        new = stored.state.listed[len(self.results) :]
        self.take_committed(stored, [texts[row.index] for row in new])

    def knows_texts_of(self, stored: StoredJob) -> bool:
        """Whether every result that *stored* lists is known here."""
        known = {(row.index, row.end) for row in (*self.results, *self.pending)}
        return all((row.index, row.end) in known for row in stored.state.listed)

    def give_up_rest(self) -> None:
        """List every item that has not ended as dead."""
        for index in self.open_indices(float("inf")) + list(self.running):
            self.finish(Result(index, ItemEnd.DEAD))

    def stop(self) -> None:
        """End all work on the job."""
        self.dropped = True
        for task in list(self.running.values()):
            task.cancel()
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
