"""A job that this host runs: listed results, ended items that wait for a commit, running items.

A result is *listed* once a commit has written it to the job's state in the key-value service.
Readers see listed results only.
"""

from __future__ import annotations

import asyncio
import sys
from functools import cached_property
from itertools import chain, islice
from typing import TYPE_CHECKING

from .. import events
from ..gateway.identity import RequestIdentity
from ..kv.service import ABSENT
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .open_items import OpenItems, open_items_of
from .records import ItemOutcome, PartialText, Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..gateway.dialect import RawHeaders
    from ..ids import ItemId, JobId, PromptPart, SoftwareVersion
    from .records import Item
    from .repository import StoredJob
    from .waiting_items import WaitReason


class OwnedJob(Struct):
    """One job and the work on it by this host.

    :param stored: the job as the key-value service has it; its revision is :data:`ABSENT` until
        the job is created there.
    :param results: listed results with their texts, by position.
    :param accepted_at: monotonic time of the job's acceptance, at any host.
    :param read_prompt_parts: returns the shared parts of an item's prompt, from its headers.
    :ivar pending: ended items that no commit has listed yet.
    :ivar pending_bytes: memory in bytes that their texts take.
    :ivar failures: failed attempts by index.
    :ivar partial: texts received so far for items that have not ended, by index.
    :ivar running: tasks of the running items, by index.
    :ivar not_before: monotonic time before which an item is not run again, by index.
    :ivar waiting_since: monotonic time since which an item waits for a slot at a target that can
        continue its text, by index.
    :ivar idle_since: monotonic time at which the last run of an item ended, by index.
    :ivar logged_waits: reason and monotonic time of the last log line that an item waits, by index.
    :ivar changed: set and replaced whenever results are listed or the job is stopped.
    :ivar taken_at: monotonic time at which this host began to run the job.
    :ivar dropped: this host does not run the job any more.
    :ivar pending_since: monotonic time at which the oldest pending item ended.
    :ivar commit_after: monotonic time before which no commit is tried.
    :ivar committed_at: monotonic time of the last commit.
    :ivar committing: whether a commit is in progress.
    :ivar identities: request identities of the items, by index, as far as they were needed.
    :ivar reserved_bytes: memory that is reserved for the items.
    :ivar open_items: items that have not ended and are not running.
    """

    stored: StoredJob
    items: list[Item]
    results: list[Result]
    accepted_at: float
    read_prompt_parts: Callable[[RawHeaders], tuple[PromptPart, ...]] = lambda _: ()
    pending: list[Result] = field(default_factory=list)
    pending_bytes: int = 0
    failures: dict[int, int] = field(default_factory=dict)
    partial: dict[int, PartialText] = field(default_factory=dict)
    running: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    not_before: dict[int, float] = field(default_factory=dict)
    waiting_since: dict[int, float] = field(default_factory=dict)
    idle_since: dict[int, float] = field(default_factory=dict)
    logged_waits: dict[int, tuple[WaitReason, float]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    dropped: bool = False
    pending_since: float = 0.0
    commit_after: float = 0.0
    committed_at: float = field(default_factory=monotonic)
    committing: bool = False
    taken_at: float = field(default_factory=monotonic)
    commit_task: asyncio.Task[None] | None = None
    identities: dict[int, RequestIdentity] = field(default_factory=dict)
    reserved_bytes: int = 0
    open_items: OpenItems = field(default_factory=lambda: OpenItems([]))

    def __post_init__(self) -> None:
        listed = (row.index for row in self.stored.state.listed)
        events = {index: len(text.data) for index, text in self.partial.items()}
        self.open_items = open_items_of(len(self.items), listed, events)

    @property
    def id(self) -> JobId:
        """Id of the job, as used in its keys."""
        return self.stored.id

    @property
    def creation_order(self) -> int:
        """The revision that created the job; it orders jobs by age, in the same way on all
        hosts."""
        return self.stored.created

    @property
    def entered(self) -> bool:
        """Whether the key-value service has the job, so that results can be listed."""
        return self.stored.revision != ABSENT

    @property
    def done(self) -> bool:
        """Whether the client ended the job or all of its items are listed."""
        return self.stored.state.done

    @cached_property
    def indices(self) -> dict[ItemId, int]:
        """Index of each item by its id."""
        return {item.id: index for index, item in reversed(list(enumerate(self.items)))}

    def note_start(self, index: int, task: asyncio.Task[None]) -> None:
        """Record that an item runs."""
        self.running[index] = task
        self.open_items.take(index)

    def note_stop(self, index: int) -> None:
        """Record that an item does not run any more, whether it has ended or not."""
        now = monotonic()
        self.running.pop(index, None)
        self.idle_since[index] = now
        not_before = self.not_before.get(index, 0.0)
        self.open_items.put_back(index, self.count_events(index), not_before, now)

    def find_version(self, index: int) -> SoftwareVersion | None:
        """Return the software version that generated the text of an item so far; None without a
        text."""
        text = self.partial.get(index)
        return None if text is None or text.empty else text.version

    def begin_run(self, index: int, version: SoftwareVersion) -> PartialText | None:
        """Prepare the text of an item for a run at a target of a software version.

        :returns: the text that such a target cannot continue, which the item has lost if it runs.
        """
        self.waiting_since.pop(index, None)
        text = self.partial.setdefault(index, PartialText())
        former = text.copy()
        if text.continue_at(version):
            return None
        emit(events.ITEM_BEGUN_ANEW, job=self.id, index=index, version=version)
        return former

    def restore_text(self, index: int, former: PartialText) -> None:
        """Restore the text of an item that a target of another version did not run."""
        if index in self.partial and self.partial[index].empty:
            self.partial[index] = former

    def count_events(self, index: int) -> int:
        """Return the events received so far for an item that has not ended."""
        text = self.partial.get(index)
        return 0 if text is None else len(text.data)

    def enter(self, stored: StoredJob) -> None:
        """Record that the key-value service has the job now; results obtained before stay valid."""
        self.stored = stored
        self.committed_at = monotonic()

    def request_identity(self, index: int) -> RequestIdentity:
        """Return the identity of an item's request.

        It is the same object each time, because the object caches its key.
        """
        known = self.identities.get(index)
        if known is None:
            item, host = self.items[index], self.stored.state.host
            parts = self.read_prompt_parts(item.encode_headers("replace"))
            known = self.identities[index] = RequestIdentity(
                host, b"", "POST", item.path, item.body, parts, is_item=True
            )
        return known

    def find_body(self, item_id: ItemId) -> bytes | None:
        """Return the body of an item, or None if the job has no such item."""
        index = self.indices.get(item_id)
        return None if index is None else self.items[index].body

    def copy_partial(self) -> dict[int, PartialText]:
        """Return a copy of the texts received so far for items that have not ended."""
        return {index: text.copy() for index, text in self.partial.items() if text.data}

    def record_result(self, result: Result) -> None:
        """Add an ended item to the pending results; later ends of the same item are ignored."""
        if result.index in self.open_items.ended:
            return
        self.open_items.end(result.index)
        if not self.pending:
            self.pending_since = monotonic()
        self.pending.append(result)
        self.pending_bytes += sys.getsizeof(result.text)
        self.partial.pop(result.index, None)
        self.failures.pop(result.index, None)

    def apply_commit(self, stored: StoredJob, committed: list[Result]) -> None:
        """Record that the results *committed* are listed in the state *stored*."""
        self.stored = stored
        self.committed_at = monotonic()
        self.results += committed
        listed = {row.index for row in committed}
        self.pending = [row for row in self.pending if row.index not in listed]
        self.pending_bytes = sum(sys.getsizeof(row.text) for row in self.pending)
        self.pending_since = monotonic() if self.pending else 0.0
        self._notify()

    def apply_state(self, stored: StoredJob) -> None:
        """Continue from an unexpected state that lists only results known to this host.

        Such a state is found if the answer to a commit was lost.
        """
        texts = {row.index: row for row in self.pending}
        new = stored.state.listed[len(self.results) :]
        self.apply_commit(stored, [texts[row.index] for row in new])

    def is_continued_by(self, stored: StoredJob) -> bool:
        """Return whether *stored* has the items of this job, begins with its results and lists
        only results whose texts this host has."""
        listed = stored.state.listed
        if stored.state.item_ids != self.stored.state.item_ids:
            return False
        if [row.index for row in listed[: len(self.results)]] != [
            row.index for row in self.results
        ]:
            return False
        known = {(row.index, row.end) for row in (*self.results, *self.pending)}
        return all((row.index, row.end) in known for row in listed)

    def fail_remaining(self, most: int) -> int:
        """End items that have not ended as dead, and return how many.

        :param most: number of items to end at once.
        """
        waiting = self.open_items
        running = (index for index in self.running if index not in waiting.ended)
        found = list(islice(chain(waiting.startable, waiting.delays, running), most))
        for index in found:
            self.record_result(Result(index, ItemOutcome.DEAD))
        return len(found)

    def stop(self) -> None:
        """Cancel all running items, and wake up the readers that wait for results."""
        self.dropped = True
        for task in list(self.running.values()):
            task.cancel()
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
