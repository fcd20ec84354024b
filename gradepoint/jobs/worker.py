"""Runs the items of this host's jobs in the slots that callers leave free."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError, KvUnreadable
from ..gateway.forwarding import OtherInstance, TargetBusy, TargetFailed
from ..gateway.suspicion import TRIAL_RETRY_S
from ..kv.service import ABSENT
from ..routing.suspects import Standing
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.chance import new_rng
from ..util.clock import monotonic
from ..util.hashing import short_number
from ..util.tasks import TaskGroup
from ..wire.http_client import ConnectFailed
from .feeding import choose_batch_target, count_spare_slots, share_of_slots
from .item_run import ItemFailed, ItemImpossible, read_item
from .owned import OwnedJob
from .records import ItemEnd, PartialText, Result
from .repository import CommittedWork, StoredJob, Superseded

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..gateway.configuration import Configuration
    from ..gateway.forwarding import Forwarder
    from ..gateway.identity import RequestIdentity
    from ..gateway.targets import Target
    from ..ids import Incarnation, JobId, ServiceName, TargetId
    from ..spool.records import SpooledJob
    from .records import Item
    from .repository import JobRepository

TIMELY_WEIGHT = 4
"""Weight of a waiting item that may still be done in time, where hosts share the spare slots."""
LATE_WEIGHT = 1
"""Weight of one that is past its due time: it still gets a part of them, and never starves."""
TICK_S = 0.03
"""Seconds between looks for free slots: about the gap between the hosts' datagrams."""
HEARD_S = 0.03
"""Seconds beside the delay of reports and digests after which the other hosts have heard what this
one started or stopped: for the way and for a busy host."""
SETTLING_S = 0.8
"""Seconds after its start in which a host starts no item: until then it has not heard from
every other host what is in flight, and hosts that restart together would all fill the same
slots. A few gaps between datagrams, after the list of hosts was read."""
COMMIT_AGE_S = 1.2
"""Seconds that a finished item waits for others, so that one write lists several; a reader
sees it that much later."""
KEPT_DONE_S = 60.0
"""Seconds that a finished job stays in memory for its readers; after that they are answered
from the service."""
TOLD_JOBS = 32
"""Jobs that other hosts hear of; readers of older ones are answered from the service."""
RETRY_S = 0.3
"""Seconds until an item whose run failed is tried again."""
CHECKPOINT_S = 2.5
"""Seconds after which the texts of items under way are kept although no item ended: what a
lost host has made since is made again."""
COMMIT_RETRY_S = 0.5
"""Seconds until a commit that got no answer is tried again."""
YOUNGEST = sys.maxsize
"""Revision that stands for the creation of a job that is not in the service yet: it comes after
all that are."""


@dataclass
class RunningItem:
    """An item under way at a target."""

    job: OwnedJob
    index: int
    target: TargetId
    started: float
    task: asyncio.Task[None] | None = None


@dataclass
class Worker:
    """The jobs of this host and their items under way.

    :param in_force: returns the configuration in force.
    :param must_give_way: whether an item of this host gives way at a target.
    :param news_delay_s: returns the seconds until other hosts know what this one has in flight.
    :param waiting_elsewhere: returns the weight of the items that wait on other hosts.
    :ivar may_start: items that this host may start until the other hosts have heard of them.
    :ivar shared_at: when the spare slots were last shared.
    :ivar wanted: set when there is a job to run.
    :ivar fed_at: when each target last got an item of this host.
    :ivar gave_way_at: when an item of this host last gave way at each target.
    """

    repository: JobRepository
    forwarder: Forwarder
    own: Incarnation
    in_force: Callable[[], Configuration | None]
    must_give_way: Callable[[TargetId], bool]
    news_delay_s: Callable[[], float]
    waiting_elsewhere: Callable[[], int]
    fed_at: dict[TargetId, float] = field(default_factory=dict)
    gave_way_at: dict[TargetId, float] = field(default_factory=dict)
    jobs: dict[JobId, OwnedJob] = field(default_factory=dict)
    running: list[RunningItem] = field(default_factory=list)
    rng: random.Random = field(default_factory=new_rng)
    to_take: list[StoredJob] = field(default_factory=list)
    may_start: int = 0
    shared_at: float = float("-inf")
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    stopping: bool = False
    tasks: TaskGroup = field(default_factory=TaskGroup)
    started_at: float = field(default_factory=monotonic)

    def job_numbers(self) -> list[int]:
        """Return the short numbers of the jobs that other hosts may ask this one about."""
        entered = [job.id for job in self.jobs.values() if job.entered]
        return [short_number(job_id) for job_id in entered[-TOLD_JOBS:]]

    def in_flight(self) -> dict[TargetId, int]:
        """Return how many items each target has of this host."""
        counts: dict[TargetId, int] = {}
        for item in self.running:
            counts[item.target] = counts.get(item.target, 0) + 1
        return counts

    def weigh_waiting(self) -> int:
        """Return the weight of the items of this host that could start now."""
        now = monotonic()
        return sum(
            len(job.open_indices(now)) * (LATE_WEIGHT if self._is_late(job, now) else TIMELY_WEIGHT)
            for job in self.jobs.values()
            if not job.done
        )

    def _is_late(self, job: OwnedJob, now: float) -> bool:
        """Whether a job is past its due time, so that one that is not comes first."""
        config = self._configuration_for(job)
        route = config.find_route_by_name(job.stored.state.route) if config else None
        return route is not None and 0 < route.due_s < now - job.accepted_at

    def _rank(self, job: OwnedJob, now: float) -> tuple[bool, int]:
        """Return what jobs are sorted by: those in time first, and the oldest of these."""
        return self._is_late(job, now), job.order

    async def take(self, stored: StoredJob, items: list[Item] | None = None) -> None:
        """Run a job that this host owns.

        :raises KvError: what is stored of it could not be read.
        """
        if self._enter_early(stored) or stored.id in self.jobs or stored.state.done:
            return
        if items is None:
            items = await self.repository.load_items(stored)
        results = await self.repository.load_results(stored)
        partial = await self.repository.load_partial(stored)
        if stored.id in self.jobs:
            return
        job = OwnedJob(stored, items, results, monotonic() - stored.state.age_s)
        job.failures = dict(stored.state.failures)
        job.partial = partial
        self._add(job)

    def run_early(self, spooled: SpooledJob) -> None:
        """Run a job of this host that is kept on data hosts and not in the service yet.

        Its results are listed once it is there. Waiting for that would leave slots empty for as
        long as the service is away, up to half of the time in which a job is due.
        """
        if spooled.id in self.jobs or self.stopping:
            return
        stored = StoredJob(spooled.id, spooled.state, ABSENT, created=YOUNGEST)
        self._add(OwnedJob(stored, spooled.items, [], monotonic()))

    def _enter_early(self, stored: StoredJob) -> bool:
        """Go on with a job that runs already, now that the service has it; return whether."""
        job = self.jobs.get(stored.id)
        if job is None or job.entered:
            return False
        if stored.state.done or stored.state.commits:
            self.drop(stored.id, "another host has run it")
            return False
        job.enter(stored)
        return True

    def _add(self, job: OwnedJob) -> None:
        self.jobs[job.id] = job
        self.wanted.set()
        emit(events.JOB_TAKEN, job=job.id, items=len(job.items), listed=len(job.results))

    async def confirm_jobs(self) -> None:
        """Read whose this host's jobs are, and leave those to their new owners that it lost."""
        jobs = [job for job in self.jobs.values() if job.entered and not job.done]
        await asyncio.gather(*(self._confirm(job) for job in jobs))

    async def _confirm(self, job: OwnedJob) -> None:
        try:
            stored = await self.repository.load(job.id)
        except KvError as error:
            emit(events.JOB_UNREADABLE, job=job.id, reason=str(error))
            return
        if job.id in self.jobs and (stored is None or stored.state.owner != self.own):
            self._take_other_state(job, stored)

    def drop_early(self, job_id: JobId) -> None:
        """Stop to run a job that the service has now, and that falls to another host."""
        job = self.jobs.get(job_id)
        if job is not None and not job.entered:
            self.drop(job_id, "another host runs it")

    def drop(self, job_id: JobId, reason: str) -> None:
        """Stop to run a job."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            emit(events.JOB_DROPPED, job=job_id, reason=reason, running=len(job.running))
            job.stop()

    async def release_all(self) -> None:
        """Commit what is done and leave every job to other hosts, before a planned end."""
        self.stopping = True
        for job in list(self.jobs.values()):
            if job.commit_task is not None:
                await asyncio.wait([job.commit_task])
            if job.entered and not job.done and job.id in self.jobs:
                await self._commit(job, released=True)
            self.drop(job.id, "this host stops")

    async def run(self) -> None:
        """Start items and commit results for ever."""
        while True:
            if not self.jobs and not self.to_take:
                self.wanted.clear()
                await self.wanted.wait()
            await asyncio.sleep(TICK_S)
            self._take_again()
            self._give_way()
            await self.forwarder.look_first()
            self._start_items()
            for job in list(self.jobs.values()):
                if job.done and monotonic() - job.committed_at > KEPT_DONE_S:
                    del self.jobs[job.id]
                else:
                    self._look_after(job)

    def _take_again(self) -> None:
        """Read jobs of this host anew whose state it had lost track of; other jobs go on."""
        waiting, self.to_take = self.to_take, []
        for stored in waiting:
            self.tasks.start(self._take_later(stored))

    async def _take_later(self, stored: StoredJob) -> None:
        try:
            await self.take(stored)
        except KvUnreadable as error:
            emit(events.JOB_UNREADABLE, job=stored.id, reason=str(error))
        except KvError as error:
            emit(events.JOB_UNREADABLE, job=stored.id, reason=str(error))
            await asyncio.sleep(RETRY_S)
            self.to_take.append(stored)
            self.wanted.set()

    def _look_after(self, job: OwnedJob) -> None:
        """Give up what may be given up, and commit what has waited long enough."""
        now = monotonic()
        config = self._configuration_for(job)
        route = config.find_route_by_name(job.stored.state.route) if config else None
        if (route is None and config is not None) or (
            route is not None and route.retention_s and now > job.accepted_at + route.retention_s
        ):
            job.give_up_rest()
        if not job.committing and now >= job.commit_after and self._wants_commit(job, now):
            job.committing = True
            job.commit_task = self.tasks.start(self._commit(job))

    def _configuration_for(self, job: OwnedJob) -> Configuration | None:
        """Return the configuration in force, None while it is older than the job: a job that
        was taken over may know a route that this host has not heard of yet."""
        config = self.in_force()
        if config is None or config.version < job.stored.state.config_version:
            return None
        return config

    def _wants_commit(self, job: OwnedJob, now: float) -> bool:
        if job.dropped or job.done or not job.entered:
            return False
        if job.pending:
            whole = len(job.pending) + len(job.results) == len(job.items)
            return whole or now - job.pending_since >= COMMIT_AGE_S
        return bool(job.running) and now - job.committed_at >= CHECKPOINT_S

    async def _commit(self, job: OwnedJob, *, released: bool = False) -> None:
        pending = list(job.pending)
        try:
            age_s = monotonic() - job.accepted_at
            work = CommittedWork(pending, job.failures, job.copy_partial(), age_s)
            stored = await self.repository.commit(job.stored, work, released=released)
            job.take_committed(stored, pending)
            metrics.shared().commits.add(1, {"result": "listed"})
            emit(events.ITEMS_LISTED, job=job.id, items=len(pending), listed=len(job.results))
        except Superseded as error:
            self._take_other_state(job, error.job)
        except KvError as error:
            metrics.shared().commits.add(1, {"result": "no-answer"})
            emit(events.COMMIT_FAILED, job=job.id, items=len(pending), reason=str(error))
            job.commit_after = monotonic() + COMMIT_RETRY_S
        except Exception:
            job.commit_after = monotonic() + COMMIT_RETRY_S
            raise
        finally:
            job.committing = False
        if job.done and job.id in self.jobs:
            job.stop()

    def _take_other_state(self, job: OwnedJob, stored: StoredJob | None) -> None:
        """Go on from a state that another write left, or leave the job to its new owner."""
        if stored is None:
            self.drop(job.id, "gone")
        elif stored.state.ended or stored.state.owner != self.own:
            self.drop(job.id, "ended" if stored.state.ended else "another host owns it")
        elif job.knows_texts_of(stored):
            job.take_state(stored)
        else:
            self.drop(job.id, "its results are not known here")
            self.to_take.append(stored)

    def _give_way(self) -> None:
        """Cancel the least urgent item at each target that has no slot left for a caller."""
        now = monotonic()
        heard_s = HEARD_S + self.news_delay_s()
        by_target: dict[TargetId, list[RunningItem]] = {}
        for item in self.running:
            by_target.setdefault(item.target, []).append(item)
        for target_id, items in by_target.items():
            if now - self.gave_way_at.get(target_id, -heard_s) < heard_s:
                continue
            if self.must_give_way(target_id):
                self.gave_way_at[target_id] = now
                self._cancel(max(items, key=lambda item: (self._rank(item.job, now), item.started)))

    def _cancel(self, item: RunningItem) -> None:
        """Take an item's slot away; it goes on later after its last event."""
        target = self.forwarder.targets.by_id.get(item.target)
        own = 0 if target is None else target.in_flight
        emit(
            events.ITEM_GAVE_WAY,
            job=item.job.id,
            index=item.index,
            target=item.target,
            load=own + self.forwarder.elsewhere(item.target),
        )
        metrics.shared().retries.add(1, {"reason": "gave-way"})
        item.job.not_before[item.index] = monotonic() + RETRY_S
        if item.task is not None:
            item.task.cancel()

    def _start_items(self) -> None:
        now = monotonic()
        if self.stopping or now - self.started_at < SETTLING_S:
            return
        heard_s = HEARD_S + self.news_delay_s()
        self._share_slots(now, heard_s)
        for job in sorted(self.jobs.values(), key=lambda job: self._rank(job, now)):
            config = self._configuration_for(job)
            if job.dropped or job.done or config is None:
                continue
            for index in job.open_indices(now):
                if not self.may_start:
                    return
                item = job.items[index]
                route = config.find_route(job.stored.state.host, item.path.partition("?")[0])
                if route is None:
                    job.finish(Result(index, ItemEnd.DEAD))
                    continue
                service = route.pick_service(self.rng)
                request = job.identify(index)
                standing = self.forwarder.suspicion.find_standing(request)
                if standing in (Standing.SUSPECTED, Standing.HELD):
                    target = self._choose_trial(request, standing, service)
                    if target is None:
                        # The job's other items go on.
                        job.not_before[index] = now + TRIAL_RETRY_S
                        continue
                else:
                    target = self._choose_target(service, now, heard_s)
                if target is None:
                    break
                self.fed_at[target.id] = now
                self.may_start -= 1
                self._start(job, index, target, route.max_attempts)

    def _choose_target(self, service: ServiceName, now: float, heard_s: float) -> Target | None:
        """Return a target with a slot to spare, None if there is none."""
        candidates = self.forwarder.targets.candidates(service, now)
        taken = {name for name, at in self.fed_at.items() if now - at < heard_s}
        taken |= self.forwarder.suspicion.find_reserved()
        return choose_batch_target(candidates, self.forwarder.elsewhere, taken, self.rng)

    def _choose_trial(
        self, request: RequestIdentity, standing: Standing, service: ServiceName
    ) -> Target | None:
        """Return a target for an item that was on targets that ended, None if it has to wait."""
        if standing is Standing.HELD:
            return None
        return self.forwarder.suspicion.choose_trial(request, service, (), needs_slot=True)

    def _share_slots(self, now: float, heard_s: float) -> None:
        """Work out how many of the fleet's spare slots fall to this host.

        Every host sees the same ones. If each filled them all, most items would give way at
        once.
        """
        if now - self.shared_at < heard_s:
            return
        self.shared_at = now
        targets = self.forwarder.targets.working(now)
        spare = count_spare_slots(targets, self.forwarder.elsewhere)
        own = self.weigh_waiting()
        self.may_start = share_of_slots(spare, own, self.waiting_elsewhere(), self.rng)

    def _start(self, job: OwnedJob, index: int, target: Target, max_failures: int) -> None:
        running = RunningItem(job, index, target.id, monotonic())
        # Counted at once: the send itself counts only when its task first runs.
        task = self.tasks.start(self._run_item(running, target, max_failures))
        running.task = task
        # Also where the task is cancelled before it begins.
        task.add_done_callback(lambda _: target.end_trial(job.identify(index)))
        job.running[index] = task
        self.running.append(running)
        target.begin()
        emit(
            events.ITEM_STARTED,
            job=job.id,
            index=index,
            item=job.items[index].id,
            target=target.id,
            load=target.in_flight + self.forwarder.elsewhere(target.id),
            after_event=job.partial[index].last_event if index in job.partial else None,
        )

    async def _run_item(self, running: RunningItem, target: Target, max_failures: int) -> None:
        job, index = running.job, running.index
        target.end()
        try:
            partial = job.partial.setdefault(index, PartialText())
            text = await read_item(
                self.forwarder,
                target,
                job.items[index],
                job.identify(index),
                partial,
                job.stored.state.organisation,
            )
            job.finish(Result(index, ItemEnd.COMPLETE, text))
            target.record_success()
            self.forwarder.suspicion.note_answer(job.identify(index))
            metrics.shared().items.add(1, {"result": "complete"})
            took_ms = round((monotonic() - running.started) * 1000)
            emit(events.ITEM_ENDED, job=job.id, index=index, target=target.id, took_ms=took_ms)
        except ItemImpossible:
            self.forwarder.suspicion.note_answer(job.identify(index))
            job.finish(Result(index, ItemEnd.DEAD))
            emit(events.ITEM_DEAD, job=job.id, index=index, reason="impossible")
            metrics.shared().items.add(1, {"result": "dead"})
        except ItemFailed as error:
            self.forwarder.suspicion.note_answer(job.identify(index))
            self._count_failure(job, index, max_failures, str(error))
        except (ConnectFailed, OtherInstance, TargetBusy, TargetFailed) as error:
            job.not_before[index] = monotonic() + RETRY_S
            metrics.shared().retries.add(1, {"reason": type(error).__name__})
            emit(
                events.ITEM_RETRIED,
                job=job.id,
                index=index,
                target=target.id,
                reason=repr(error),
            )
        except Exception:
            job.not_before[index] = monotonic() + RETRY_S
            raise
        finally:
            self.running.remove(running)
            job.running.pop(index, None)

    def _count_failure(self, job: OwnedJob, index: int, most: int, reason: str) -> None:
        count = job.failures.get(index, 0) + 1
        job.failures[index] = count
        job.not_before[index] = monotonic() + RETRY_S
        emit(events.ITEM_FAILED, job=job.id, index=index, count=count, reason=reason)
        if count >= most:
            job.finish(Result(index, ItemEnd.DEAD))
            metrics.shared().items.add(1, {"result": "dead"})
