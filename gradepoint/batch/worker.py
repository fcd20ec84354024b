"""The batch worker: claims chunks, feeds targets in their slack, commits results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from .. import events
from ..config.document import TargetRole, TargetState
from ..config.resolve import resolve_model, wanted_loads
from ..errors import GradepointError, KvError, TargetFailure
from ..ids import ObjectHash
from ..routing.notices import NoticeBoard, feeder_host
from ..routing.slack import SlackWindow
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic, wall_seconds
from ..util.hashing import new_token, rank, score
from ..util.tasks import TaskGroup
from ..wire.target_client import TargetClient
from .calls import PartialText, run_item
from .feeder import Feeder, read_load
from .items import failure_result, parse_chunk, success_result
from .open_chunk import OpenChunk
from .records import Bundle, ChunkRecord, JobState, encode_bundle, job_key
from .transitions import claim_chunk, commit_results, note_intents, release_chunk

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..config.document import Target
    from ..fleet.local import FleetView
    from ..settings import Settings
    from ..store.replicas import ReplicatedStore
    from .items import Item
    from .records import ActiveJob, FileRecord, ItemResult
    from .repository import ChunkState, Repository

FEED_PERIOD_S = 0.05
COMMIT_PERIOD_S = 0.1
POLL_PER_HOST_S = 0.05
"""Seconds by which each further host stretches the time between two looks for work, so
that the fleet's reads stay at 1 / POLL_PER_HOST_S a second whatever its size."""
JOBS_LOOKED_INTO = 4
WAKE_PER_HOST_S = 0.0125
"""The same for looks that are asked for, when a host runs out of items."""
UNCOMMITTED_FACTOR = 4
"""Results held uncommitted, in bundles, beyond which no more items are started."""
REFUSED_PAUSE_S = 0.2
INTENT_GROUP = 16


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
        self.chunks: dict[tuple[str, int], OpenChunk] = {}
        self.complete: dict[str, set[int]] = {}
        self.files: dict[str, FileRecord] = {}
        self.served: dict[str, float] = {}
        self.notices = NoticeBoard()
        self.wake = asyncio.Event()
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
        for chunk in list(self.chunks.values()):
            try:
                if chunk.results:
                    await self._commit(chunk)
                await self._release(chunk)
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
        self.wake.clear()
        if self.fleet.ready:
            await self._look()
        hosts = len(self.fleet.hosts())
        pause = max(self.settings.batch_poll_s, hosts * POLL_PER_HOST_S)
        await asyncio.sleep(hosts * WAKE_PER_HOST_S)
        try:
            async with asyncio.timeout(pause):
                await self.wake.wait()
        except TimeoutError:
            pass

    async def _look(self) -> None:
        self._choose_feeders()
        active = await self.repository.active_jobs()
        names = {job.job_id for job in active}
        for chunk in list(self.chunks.values()):
            if chunk.job.job_id not in names:
                self._drop(chunk)
        for job in [job for job in active if job.deadline_at <= wall_seconds()]:
            await self.repository.expire(job.organisation, job.job_id)
        for gone in set(self.complete) - names:
            del self.complete[gone]
        open_jobs = [job for job in active if job.deadline_at > wall_seconds()]
        for job in sorted(open_jobs, key=self._job_order)[:JOBS_LOOKED_INTO]:
            await self._look_into(job)

    def _job_order(self, job: ActiveJob) -> tuple[float, int, str]:
        """Least served organisation first, by weight; then the nearest deadline."""
        return self._served_share(job.organisation), job.deadline_at, job.job_id

    def _served_share(self, organisation: str) -> float:
        known = self.fleet.config.organisations.get(organisation)
        weight = known.batch_weight if known else 1.0
        return self.served.get(organisation, 0.0) / weight

    def _wants_chunks(self) -> int:
        """Return how many more chunks the feeders can use now."""
        if self.stopping or not self.feeders:
            return 0
        waiting = sum(len(chunk.pending) + len(chunk.alone) for chunk in self.chunks.values())
        room = sum(feeder.slots for feeder in self.feeders.values())
        if waiting >= 2 * room:
            return 0
        return max(0, self.settings.max_open_chunks - len(self.chunks))

    async def _look_into(self, job: ActiveJob) -> None:
        known = self.complete.setdefault(job.job_id, set())
        if self._wants_chunks() == 0 and len(known) < job.chunks:
            return
        states = await self.repository.chunks(job.job_id)
        known.update(number for number, state in states.items() if state.record.complete)
        if len(known) >= job.chunks:
            await self._finish(job, list(states.values()))
            return
        live = set(self.fleet.hosts())
        start = score(self.settings.host, job.job_id) % job.chunks
        for offset in range(job.chunks):
            number = (start + offset) % job.chunks
            if number in known or (job.job_id, number) in self.chunks:
                continue
            if self._wants_chunks() == 0:
                return
            state = states.get(number)
            holder = state.record.holder if state else ""
            if holder and holder != self.settings.host and holder in live:
                continue
            await self._claim(job, number, state, live - {self.settings.host})

    async def _file(self, job: ActiveJob) -> FileRecord:
        if job.file_id not in self.files:
            record = await self.repository.file(job.organisation, job.file_id)
            if record is None:
                raise GradepointError("not_found", f"File {job.file_id!r} is gone.")
            self.files[job.file_id] = record
            while len(self.files) > 64:
                self.files.pop(next(iter(self.files)))
        return self.files[job.file_id]

    async def _claim(
        self, job: ActiveJob, number: int, state: ChunkState | None, live: set[str]
    ) -> None:
        segment = (await self._file(job)).segments[number]
        kept, revision = await self.repository.job(job.organisation, job.job_id)
        if kept is None or kept.state is not JobState.IN_PROGRESS:
            return
        items = parse_chunk(await self.store.get(ObjectHash(segment.hash)))
        found = state.record if state else ChunkRecord(job.job_id, number, segment.lines)
        token = new_token()
        claimed = claim_chunk(found, self.settings.host, token, live)
        if isinstance(claimed, Err):
            return
        job_expect = (job_key(job.organisation, job.job_id), revision)
        written = await self.repository.write_chunk(
            claimed.ok_value,
            state.revision if state else 0,
            job_expect,
            lambda record: record.writer == token,
        )
        if isinstance(written, Err):
            metrics.shared().commits.add(1, {"result": "claim-lost"})
            return
        chunk = self._open(job, job_expect, written.ok_value, items)
        self.chunks[chunk.key] = chunk
        emit(events.CHUNK_CLAIMED, job=job.job_id, chunk=number, epoch=chunk.epoch)

    def _open(
        self, job: ActiveJob, job_expect: tuple[str, int], state: ChunkState, items: list[Item]
    ) -> OpenChunk:
        record = state.record
        done = record.done
        models: dict[int, str] = {}
        chunk = OpenChunk(job, job_expect, state, record.epoch, items, models)
        chunk.suspects = dict(record.suspects)
        now = monotonic()
        for item in items:
            if item.index in done:
                continue
            try:
                resolved = resolve_model(self.fleet.config.document, item.body["model"])
            except GradepointError as error:
                chunk.add_result(self._fail(chunk, item, error.code, error.message), now)
                continue
            models[item.index] = resolved.engine_name
            if item.index in record.intents:
                # It may have been sent before its holder was lost: it ends here, once.
                chunk.add_result(
                    self._fail(
                        chunk, item, "holder_lost", "outcome unknown: the item may have run"
                    ),
                    now,
                )
            elif record.suspects.get(item.index, 0) > 0:
                self._retry_or_fail(chunk, item)
            else:
                chunk.pending.append(item.index)
        return chunk

    def _fail(self, chunk: OpenChunk, item: Item, code: str, message: str) -> ItemResult:
        metrics.shared().items.add(1, {"result": code})
        return failure_result(chunk.job.job_id, item, code, message)

    def _retry_or_fail(self, chunk: OpenChunk, item: Item) -> None:
        count = chunk.suspects.get(item.index, 0) + chunk.attempts.get(item.index, 0)
        if count >= self.settings.max_attempts:
            message = f"given up after {count} tries, each ended by a failing target"
            chunk.add_result(self._fail(chunk, item, "target_lost", message), monotonic())
        elif chunk.suspects.get(item.index, 0):
            chunk.alone.append(item.index)
        else:
            chunk.pending.append(item.index)

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
            for chunk in self.chunks.values()
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
        if not feeder.running and not self.chunks:
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
        if not any(chunk.pending for chunk in self.chunks.values()):
            self.wake.set()

    def _start_next(self, feeder: Feeder) -> bool:
        """Start the next item at a target; return whether there was one."""
        if feeder.exclusive or self.stopping:
            return False
        for chunk in sorted(self.chunks.values(), key=lambda chunk: self._job_order(chunk.job)):
            held = len(chunk.results)
            if chunk.dropped or held >= UNCOMMITTED_FACTOR * self.settings.bundle_items:
                continue
            index = chunk.next_item(feeder.served, allow_alone=not feeder.running)
            if index is None:
                continue
            chunk.running.add(index)
            organisation = chunk.job.organisation
            self.served[organisation] = self.served.get(organisation, 0.0) + 1.0
            feeder.exclusive = index in chunk.suspects
            task = self.tasks.start(self._run(feeder, chunk, index))
            feeder.add(task, chunk, cancellable=chunk.items[index].repeatable)
            return True
        return False

    async def _run(self, feeder: Feeder, chunk: OpenChunk, index: int) -> None:
        item = chunk.items[index]
        partial = chunk.partial.setdefault(index, PartialText())
        priority = self.fleet.config.document.sharing.batch_priority
        job_id = chunk.job.job_id
        try:
            if not item.repeatable and not await self._record_intent(chunk, index):
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
            result = self._fail(chunk, item, failure.code, "outcome unknown: it may have run")
            chunk.add_result(result, monotonic())
            return
        if failure.code == "target_lost":
            chunk.suspects[index] = chunk.suspects.get(index, 0) + 1
            emit(events.ITEM_SUSPECTED, job=chunk.job.job_id, item=item.custom_id)
        else:
            chunk.attempts[index] = chunk.attempts.get(index, 0) + 1
        self._retry_or_fail(chunk, item)

    async def _record_intent(self, chunk: OpenChunk, index: int) -> bool:
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
                self._drop(chunk)
                return False
            return await self._write(
                chunk, noted.ok_value, lambda record: set(group) <= set(record.intents)
            )

    # Committing

    async def _commit_loop(self) -> None:
        now = monotonic()
        settings = self.settings
        due = [
            chunk
            for chunk in self.chunks.values()
            if chunk.due(settings.bundle_items, settings.bundle_age_s, now)
        ]
        await asyncio.gather(*(self._commit(chunk) for chunk in due))
        await asyncio.sleep(COMMIT_PERIOD_S)

    async def _commit(self, chunk: OpenChunk) -> None:
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
                self._drop(chunk)
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
            self._drop(chunk)
            return False
        chunk.state = written.ok_value
        if chunk.state.record.epoch != chunk.epoch:
            # The write took effect, then another host claimed the chunk.
            self._drop(chunk)
            return False
        return True

    def _drop(self, chunk: OpenChunk) -> None:
        """Stop work on a chunk that is lost or whose job has ended."""
        if chunk.dropped:
            return
        chunk.dropped = True
        self.chunks.pop(chunk.key, None)
        chunk.pending.clear()
        chunk.alone.clear()
        for feeder in self.feeders.values():
            feeder.cancel_chunk(chunk)
        emit(events.CHUNK_LOST, job=chunk.job.job_id, chunk=chunk.key[1], epoch=chunk.epoch)

    async def _release(self, chunk: OpenChunk) -> None:
        if chunk.dropped:
            return
        moved = release_chunk(chunk.state.record, chunk.epoch)
        if not isinstance(moved, Err):
            await self._write(chunk, moved.ok_value, lambda record: record.holder == "")

    async def _chunk_complete(self, chunk: OpenChunk) -> None:
        self.chunks.pop(chunk.key, None)
        known = self.complete.setdefault(chunk.job.job_id, set())
        known.add(chunk.key[1])
        self.wake.set()
        if len(known) >= chunk.job.chunks:
            states = await self.repository.chunks(chunk.job.job_id)
            await self._finish(chunk.job, list(states.values()))

    async def _finish(self, job: ActiveJob, states: list[ChunkState]) -> None:
        records = [state.record for state in states]
        ended = await self.repository.finish(job.organisation, job.job_id, records)
        emit(
            events.JOB_FINISHED,
            job=job.job_id,
            state=ended.state.value,
            completed=ended.completed,
            failed=ended.failed,
        )
