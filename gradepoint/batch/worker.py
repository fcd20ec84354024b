"""The batch worker: claims chunks, feeds targets in their slack, commits results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import events
from ..config.document import TargetRole, TargetState
from ..config.resolve import wanted_loads
from ..errors import GradepointError, KvError, TargetFailure
from ..routing.notices import InFlightTable, feeder_host
from ..routing.slack import SlackWindow
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from ..wire.target_client import TargetClient
from .calls import PartialText, run_item
from .claiming import ChunkFinder
from .committing import Committer
from .feeder import Feeder, read_load
from .items import success_result
from .open_chunk import WorkerState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..config.document import Target
    from ..fleet.local import FleetView
    from ..settings import Settings
    from ..store.replicas import ReplicatedStore
    from .items import Item
    from .open_chunk import OpenChunk
    from .repository import Repository

FEED_PERIOD_S = 0.05
COMMIT_PERIOD_S = 0.1
POLL_PER_HOST_S = 0.05
"""Seconds by which each further host stretches the time between two looks for work, so
that the fleet's reads stay at 1 / POLL_PER_HOST_S a second whatever its size."""
WAKE_PER_HOST_S = 0.0125
"""The same for looks that are asked for, when a host runs out of items."""
UNCOMMITTED_FACTOR = 4
"""Results held uncommitted, in bundles, beyond which no more items are started."""
REFUSED_PAUSE_S = 0.2


class BatchWorker:
    """All batch work of one host."""

    def __init__(
        self, settings: Settings, fleet: FleetView, repository: Repository, store: ReplicatedStore
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.repository = repository
        self.store = store
        self.client = TargetClient()
        self.feeders: dict[str, Feeder] = {}
        self.shared = WorkerState()
        self.committer = Committer(repository, store, self.shared, self._stop_items)
        self.finder = ChunkFinder(
            settings, fleet, repository, store, self.committer, self.shared, self._wants_chunks
        )
        self.notices = InFlightTable()
        self.tasks = TaskGroup()
        self.stopping = False

    async def start(self) -> None:
        """Start the loops."""
        for loop in (self._look_loop, self._feed_loop, self._commit_loop):
            self.tasks.start(self._guard(loop))

    async def stop(self) -> None:
        """Cancel items, commit what is done, give chunks back."""
        self.stopping = True
        for feeder in self.feeders.values():
            feeder.cancel_all()
        await asyncio.sleep(0)
        for chunk in list(self.shared.chunks.values()):
            try:
                if chunk.results:
                    await self.committer.commit(chunk)
                await self.committer.release(chunk)
            except (GradepointError, KvError):
                continue
        await self.abort()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        await self.tasks.stop()

    async def _guard(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run one step of a loop after another; a failed step is logged and repeated."""
        while True:
            try:
                await loop()
            except (GradepointError, KvError, TargetFailure, OSError) as error:
                emit(events.BATCH_LOOP_FAILED, error=str(error))
                await asyncio.sleep(0.5)

    # Looking for work

    async def _look_loop(self) -> None:
        self.shared.wake.clear()
        if self.fleet.ready:
            self._choose_feeders()
            await self.finder.look()
        hosts = len(self.fleet.hosts())
        pause = max(self.settings.batch_poll_s, hosts * POLL_PER_HOST_S)
        await asyncio.sleep(hosts * WAKE_PER_HOST_S)
        try:
            async with asyncio.timeout(pause):
                await self.shared.wake.wait()
        except TimeoutError:
            pass

    def _wants_chunks(self) -> int:
        """Return how many more chunks the feeders can use now."""
        if self.stopping or not self.feeders:
            return 0
        room = sum(feeder.slots for feeder in self.feeders.values())
        if self.shared.waiting >= 2 * room:
            return 0
        return max(0, self.settings.max_open_chunks - len(self.shared.chunks))

    # Feeding

    def _choose_feeders(self) -> None:
        """Feed the targets for which this host ranks first among the live hosts."""
        document = self.fleet.config.document
        live = self.fleet.hosts()
        mine: dict[str, Target] = {}
        for target in document.targets:
            if target.state is TargetState.ACTIVE and target.role is not TargetRole.ONLINE:
                if feeder_host(target.name, live) == self.settings.host:
                    mine[target.name] = target
        mine.update(self._guests(mine))
        for name, target in mine.items():
            feeder = self.feeders.get(name)
            if feeder is None:
                window = SlackWindow(target.slots, document.sharing.tail_preference)
                self.feeders[name] = feeder = Feeder(name, target.url, window)
            feeder.slots = target.slots
            feeder.window.slots = target.slots
            feeder.window.tail_preference = document.sharing.tail_preference
            feeder.served = set(wanted_loads(document, target))
        for name in set(self.feeders) - set(mine):
            self.feeders.pop(name).cancel_all()

    def _guests(self, mine: dict[str, Target]) -> dict[str, Target]:
        """Return targets fed by others that an open chunk needs for a model of its own."""
        document = self.fleet.config.document
        needed = {
            chunk.models[index]
            for chunk in self.shared.chunks.values()
            for index in (*chunk.pending, *chunk.alone)
        }
        for target in mine.values():
            needed.difference_update(wanted_loads(document, target))
        guests: dict[str, Target] = {}
        for model in sorted(needed):
            able = {
                target.name: target
                for target in document.targets
                if target.state is TargetState.ACTIVE
                and target.role is not TargetRole.ONLINE
                and model in wanted_loads(document, target)
            }
            if able:
                name = rank(f"{self.settings.host}:{model}", able)[0]
                guests[name] = able[name]
        return guests

    async def _feed_loop(self) -> None:
        await asyncio.gather(*(self._feed(feeder) for feeder in list(self.feeders.values())))
        await asyncio.sleep(FEED_PERIOD_S)

    async def _feed(self, feeder: Feeder) -> None:
        now = monotonic()
        if not feeder.running and not self.shared.chunks:
            return
        report = await read_load(self.client, feeder.url)
        if report is None or not feeder.circuit.admits(now):
            return
        report = self.notices.merge(feeder.name, report, now)
        decision = feeder.window.observe(report, len(feeder.running), now)
        if decision.cancel:
            feeder.cancel_newest(decision.cancel)
        most = min(decision.limit, len(feeder.running) + decision.starts)
        while len(feeder.running) < most and self._start_next(feeder):
            pass
        if not any(chunk.pending for chunk in self.shared.chunks.values()):
            self.shared.wake.set()

    def _start_next(self, feeder: Feeder) -> bool:
        """Start the next item at a target; return whether there was one."""
        if feeder.exclusive or self.stopping:
            return False
        for chunk in sorted(
            self.shared.chunks.values(), key=lambda chunk: self.finder.job_order(chunk.job)
        ):
            held = len(chunk.results)
            if chunk.dropped or held >= UNCOMMITTED_FACTOR * self.settings.bundle_items:
                continue
            index = chunk.next_item(feeder.served, allow_alone=not feeder.running)
            if index is None:
                continue
            chunk.running.add(index)
            organisation = chunk.job.organisation
            self.shared.served[organisation] = self.shared.served.get(organisation, 0.0) + 1.0
            feeder.exclusive = index in chunk.suspects
            task = self.tasks.start(self._run(feeder, chunk, index))
            feeder.add(task, chunk, cancellable=chunk.items[index].repeatable)
            return True
        return False

    def job_ended(self, job_id: str) -> None:
        """Stop work on a job that another host says has ended."""
        for chunk in list(self.shared.chunks.values()):
            if chunk.job.job_id == job_id:
                self.committer.drop(chunk)

    def _stop_items(self, chunk: OpenChunk) -> None:
        for feeder in self.feeders.values():
            feeder.cancel_chunk(chunk)

    async def _run(self, feeder: Feeder, chunk: OpenChunk, index: int) -> None:
        item = chunk.items[index]
        partial = chunk.partial.setdefault(index, PartialText())
        priority = self.fleet.config.document.sharing.batch_priority
        job_id = chunk.job.job_id
        try:
            if not item.repeatable and not await self.committer.record_intent(chunk, index):
                return
            answer = await run_item(
                self.client, feeder.url, item, chunk.models[index], priority, partial
            )
        except asyncio.CancelledError:
            # The window was cut: its tokens so far are kept, and it goes on first.
            chunk.pending.appendleft(index)
            raise
        except TargetFailure as failure:
            await self._item_failed(feeder, chunk, item, failure)
        except GradepointError:
            chunk.pending.appendleft(index)
            raise
        else:
            feeder.circuit.succeeded()
            metrics.shared().items.add(1, {"result": "done"})
            result = success_result(job_id, item, answer.status, answer.body)
            chunk.add_result(result, monotonic())
        finally:
            chunk.running.discard(index)
            feeder.exclusive = False

    async def _item_failed(
        self, feeder: Feeder, chunk: OpenChunk, item: Item, failure: TargetFailure
    ) -> None:
        index = item.index
        metrics.shared().retries.add(1, {"reason": f"item_{failure.code}"})
        if failure.code != "target_refused":
            feeder.circuit.failed(monotonic())
        if failure.not_run:
            await asyncio.sleep(REFUSED_PAUSE_S)
            chunk.pending.append(index)
            return
        if not item.repeatable:
            chunk.fail(item, failure.code, "outcome unknown: it may have run")
            return
        if failure.code == "target_lost":
            chunk.suspects[index] = chunk.suspects.get(index, 0) + 1
            emit(events.ITEM_SUSPECTED, job=chunk.job.job_id, item=item.custom_id)
        else:
            chunk.attempts[index] = chunk.attempts.get(index, 0) + 1
        chunk.retry_or_fail(item, self.settings.max_attempts)

    # Committing

    async def _commit_loop(self) -> None:
        now = monotonic()
        settings = self.settings
        due = [
            chunk
            for chunk in self.shared.chunks.values()
            if chunk.due(settings.bundle_items, settings.bundle_age_s, now)
        ]
        await asyncio.gather(*(self.committer.commit(chunk) for chunk in due))
        await asyncio.sleep(COMMIT_PERIOD_S)
