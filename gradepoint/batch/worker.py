"""The batch worker: claims chunks, runs items on spare target capacity, commits results."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from .. import events
from ..config.document import TargetRole, TargetState
from ..config.resolve import models_to_load
from ..errors import GradepointError, KvError, TargetFailure
from ..routing.batch_window import BatchWindow
from ..routing.notices import InFlightTable, feeder_host
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import TaskGroup, locate_error
from ..wire.target_client import TargetClient
from .calls import PartialText, run_item
from .claiming import ChunkClaimer
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
POLL_INTERVAL_PER_HOST_S = 0.05
"""Seconds of the poll interval per live host. The regular polls of all hosts together stay at
1 / POLL_INTERVAL_PER_HOST_S a second, whatever the size of the fleet."""
WAKE_INTERVAL_PER_HOST_S = 0.0125
"""Seconds per live host of the minimum interval between polls that :attr:`WorkerState.wake`
requests when a host runs out of items."""
MAX_UNCOMMITTED_BUNDLES = 4
"""Number of full bundles of uncommitted results at which no more items of a chunk start."""
REFUSAL_PAUSE_S = 0.2
"""Seconds before an item that certainly did not run is queued again."""


class BatchWorker:
    """The batch work of one host, in three loops: poll for chunks, feed targets, commit.

    :ivar feeders: feeders by target name.
    :ivar online_calls: online calls in flight at each target, as reported by the entries.
    """

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
        self.claimer = ChunkClaimer(
            settings,
            fleet,
            repository,
            store,
            self.committer,
            self.shared,
            self._count_wanted_chunks,
        )
        self.online_calls = InFlightTable()
        self.tasks = TaskGroup()
        self.stopping = False

    async def start(self) -> None:
        """Start the three loops."""
        for loop in (self._poll_loop, self._feed_loop, self._commit_loop):
            self.tasks.start_loop(f"batch{loop.__name__}", partial(self._repeat, loop))

    async def stop(self) -> None:
        """Cancel items, commit finished results, release the chunks, then stop."""
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
        """Stop immediately without releasing chunks, as a crash does."""
        await self.tasks.stop()

    async def _repeat(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Call *loop* until cancelled; log an error and call it again after half a second."""
        while True:
            try:
                await loop()
            except (GradepointError, KvError, TargetFailure, OSError) as error:
                emit(events.BATCH_LOOP_FAILED, error=str(error))
                await asyncio.sleep(0.5)

    # Polling for chunks

    async def _poll_loop(self) -> None:
        self.shared.wake.clear()
        if self.fleet.ready:
            self._choose_feeders()
            await self.claimer.poll()
        hosts = len(self.fleet.hosts())
        pause = max(self.settings.batch_poll_s, hosts * POLL_INTERVAL_PER_HOST_S)
        await asyncio.sleep(hosts * WAKE_INTERVAL_PER_HOST_S)
        try:
            async with asyncio.timeout(pause):
                await self.shared.wake.wait()
        except TimeoutError:
            pass

    def _count_wanted_chunks(self) -> int:
        """Return the number of chunks to claim now.

        It is 0 while the waiting items fill the slots of all feeders twice.
        """
        if self.stopping or not self.feeders:
            return 0
        slots = sum(feeder.slots for feeder in self.feeders.values())
        if self.shared.waiting_items >= 2 * slots:
            return 0
        return max(0, self.settings.max_open_chunks - len(self.shared.chunks))

    # Feeding targets

    def _choose_feeders(self) -> None:
        """Update the feeders: one for each target that is assigned to this host or borrowed.

        Each target is assigned to one of the live hosts by rendezvous hashing.
        """
        document = self.fleet.config.document
        live = self.fleet.hosts()
        assigned: dict[str, Target] = {}
        for target in document.targets:
            if target.state is TargetState.ACTIVE and target.role is not TargetRole.ONLINE:
                if feeder_host(target.name, live) == self.settings.host:
                    assigned[target.name] = target
        assigned.update(self._borrowed_targets(assigned))
        for name, target in assigned.items():
            feeder = self.feeders.get(name)
            if feeder is None:
                window = BatchWindow(target.slots, document.sharing.tail_preference)
                self.feeders[name] = feeder = Feeder(name, target.url, window)
            feeder.slots = target.slots
            feeder.window.slots = target.slots
            feeder.window.tail_preference = document.sharing.tail_preference
            feeder.models = set(models_to_load(document, target))
        for name in set(self.feeders) - set(assigned):
            self.feeders.pop(name).cancel_all()

    def _borrowed_targets(self, assigned: dict[str, Target]) -> dict[str, Target]:
        """Return targets of other hosts needed for models that no assigned target serves.

        Without them, an item of an open chunk could have no target that can run it.

        :param assigned: targets assigned to this host.
        """
        document = self.fleet.config.document
        needed = {
            chunk.models[index]
            for chunk in self.shared.chunks.values()
            for index in (*chunk.pending, *chunk.isolated)
        }
        for target in assigned.values():
            needed.difference_update(models_to_load(document, target))
        borrowed: dict[str, Target] = {}
        for model in sorted(needed):
            candidates = {
                target.name: target
                for target in document.targets
                if target.state is TargetState.ACTIVE
                and target.role is not TargetRole.ONLINE
                and model in models_to_load(document, target)
            }
            if candidates:
                name = rank(f"{self.settings.host}:{model}", candidates)[0]
                borrowed[name] = candidates[name]
        return borrowed

    async def _feed_loop(self) -> None:
        await asyncio.gather(*(self._feed(feeder) for feeder in list(self.feeders.values())))
        await asyncio.sleep(FEED_PERIOD_S)

    async def _feed(self, feeder: Feeder) -> None:
        """Start or cancel items at a target according to its current load."""
        now = monotonic()
        if not feeder.running and not self.shared.chunks:
            return
        report = await read_load(self.client, feeder.url)
        if report is None or not feeder.circuit.admits(now):
            return
        report = self.online_calls.merge(feeder.name, report, now)
        decision = feeder.window.observe(report, len(feeder.running), now)
        if decision.cancel:
            feeder.cancel_newest(decision.cancel)
        limit = min(decision.limit, len(feeder.running) + decision.starts)
        while len(feeder.running) < limit and self._start_next(feeder):
            pass
        if not any(chunk.pending for chunk in self.shared.chunks.values()):
            self.shared.wake.set()

    def _start_next(self, feeder: Feeder) -> bool:
        """Start the next item at a target; return False if there is none that may start."""
        if feeder.exclusive or self.stopping:
            return False
        for chunk in sorted(
            self.shared.chunks.values(), key=lambda chunk: self.claimer.job_order(chunk.job)
        ):
            uncommitted = len(chunk.results)
            if chunk.dropped or uncommitted >= MAX_UNCOMMITTED_BUNDLES * self.settings.bundle_items:
                continue
            index = chunk.next_item(feeder.models, allow_isolated=not feeder.running)
            if index is None:
                continue
            chunk.running.add(index)
            organisation = chunk.job.organisation
            self.shared.started_items[organisation] = (
                self.shared.started_items.get(organisation, 0.0) + 1.0
            )
            feeder.exclusive = index in chunk.suspects
            task = self.tasks.start(self._run_item(feeder, chunk, index))
            feeder.add(task, chunk, cancellable=chunk.items[index].repeatable)
            return True
        return False

    def drop_job(self, job_id: str) -> None:
        """Stop work on a job that has ended according to a notice of another host."""
        for chunk in list(self.shared.chunks.values()):
            if chunk.job.job_id == job_id:
                self.committer.drop(chunk)

    def _stop_items(self, chunk: OpenChunk) -> None:
        for feeder in self.feeders.values():
            feeder.cancel_chunk(chunk)

    async def _run_item(self, feeder: Feeder, chunk: OpenChunk, index: int) -> None:
        """Run an item; add its result to the chunk or queue the item again."""
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
            # The batch window shrank. The text received so far is kept, and the item is the
            # first to continue.
            chunk.pending.appendleft(index)
            raise
        except TargetFailure as failure:
            await self._handle_failure(feeder, chunk, item, failure)
        except GradepointError:
            chunk.pending.appendleft(index)
            raise
        except Exception as error:
            # The item may have run. Without this, it would be neither queued nor failed.
            emit(events.TASK_FAILED, task="item", reason=repr(error), where=locate_error(error))
            unknown = TargetFailure("internal", repr(error), not_run=False)
            await self._handle_failure(feeder, chunk, item, unknown)
        else:
            feeder.circuit.succeeded()
            metrics.shared().items.add(1, {"result": "done"})
            result = success_result(job_id, item, answer.status, answer.body)
            chunk.add_result(result, monotonic())
        finally:
            chunk.running.discard(index)
            feeder.exclusive = False

    async def _handle_failure(
        self, feeder: Feeder, chunk: OpenChunk, item: Item, failure: TargetFailure
    ) -> None:
        """Handle a failed attempt: queue the item again, or fail it.

        An item that was running when its target was lost is suspected of crashing targets.
        """
        index = item.index
        metrics.shared().retries.add(1, {"reason": f"item_{failure.code}"})
        if failure.code != "target_refused":
            feeder.circuit.failed(monotonic())
        if failure.not_run:
            await asyncio.sleep(REFUSAL_PAUSE_S)
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

    # Committing results

    async def _commit_loop(self) -> None:
        """Commit all chunks with a full bundle, old results or no items left."""
        now = monotonic()
        settings = self.settings
        due = [
            chunk
            for chunk in self.shared.chunks.values()
            if chunk.commit_due(settings.bundle_items, settings.bundle_age_s, now)
        ]
        await asyncio.gather(*(self.committer.commit(chunk) for chunk in due))
        await asyncio.sleep(COMMIT_PERIOD_S)
