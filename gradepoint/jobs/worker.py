"""Runs the items of this host's jobs in target slots that online callers leave free.

Items that can still end before their job is due are started first, and older jobs before younger
ones. An item is preempted if a caller needs its slot; it resumes later after its last event.
"""

from __future__ import annotations

import asyncio
import sys
from itertools import islice
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError, KvRejected, KvUnreadable
from ..gateway.forwarding import OtherInstance, TargetBusy, TargetFailed
from ..kv.service import ABSENT
from ..kv.unreadable import UnreadableRows
from ..peers.datagrams import number_target
from ..routing.batch_headroom import find_start_limit
from ..routing.crash_backoff import EARLY_CRASH_S, CrashBackoff
from ..routing.item_times import ItemTimes
from ..telemetry import loop_time, metrics
from ..telemetry.logs import emit
from ..telemetry.loop_time import LoopPart
from ..util.clock import monotonic
from ..util.hashing import hash32
from ..util.rng import new_rng
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup, locate_error
from ..wire.http_client import ConnectFailed
from .item_run import ItemFailed, ItemUnprocessable, run_item
from .job_checks import MAX_ENDS_PER_TURN, JobChecks, may_give_up
from .owned import OwnedJob
from .records import ItemOutcome, PartialText, Result, job_key
from .repository import REJECTED_RETRY_S, CommittedWork, StoredJob, Superseded
from .slot_sharing import allot_spare_slots, choose_batch_target, count_spare_slots
from .start_order import find_due_s, list_startable_jobs, order_startable, sum_weight
from .start_turn import MAX_PASSED_PER_TURN, MAX_STARTS_PER_TURN, StartPosition, StartTurn
from .wait_reasons import list_waiting
from .waiting_items import WaitingItems

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..gateway.configuration import Configuration, Route
    from ..gateway.forwarding import Forwarder
    from ..gateway.targets import Target
    from ..ids import Incarnation, JobId, ServiceName, SoftwareVersion, TargetId
    from ..spool.records import SpooledJob
    from ..util.memory_budget import MemoryBudget
    from .records import Item
    from .repository import JobRepository
    from .start_order import StartableItems

POLL_INTERVAL_S = 0.03
"""Seconds between checks for free slots: about the interval of the hosts' datagrams."""
PROPAGATION_MARGIN_S = 0.03
"""Seconds added to the delay of reports and digests before the other hosts are taken to know which
items this host started or stopped. The margin covers network latency and busy hosts."""
COMMIT_DELAY_S = 1.2
"""Seconds that an ended item waits for other items to end, so that one commit lists several. Its
result reaches readers later by up to this time."""
FINISHED_JOB_RETENTION_S = 60.0
"""Seconds that a finished job stays in memory for its readers. After that they are answered from
the key-value service."""
MAX_ADVERTISED_JOBS = 32
"""Most jobs that this host announces to other hosts, the latest ones. Readers of older jobs are
answered from the key-value service."""
MAX_VERSION_WAIT_S = 1.0
"""Seconds that an item waits for a slot at a target that can continue its text. Then it begins anew
elsewhere, which takes a few seconds; the targets that can continue it may be full until the job is
due."""
ITEM_BYTES = 1024
"""Memory in bytes that an item takes beside its body: its headers, path and objects."""
ITEM_RETRY_S = 0.3
"""Seconds until an item is retried after a failed run or a preemption."""
CHECKPOINT_INTERVAL_S = 2.5
"""Seconds after the last commit until the texts of running items are stored although no item has
ended. Output that a lost host received after its last commit has to be generated again."""
MAX_READS_PER_CHECK = 16
"""Most jobs that are read at once after memory had not sufficed for them. Those that still do not
fit wait again."""
MAX_CONFIRMED_AT_ONCE = 8
"""Most jobs whose owner is read at once after a stall. A commit checks the owner, too."""
COMMIT_RETRY_S = 0.5
"""Seconds until a commit that failed or got no answer is retried."""
FAILED_START_RETRY_S = 5.0
"""Seconds until an item is tried again whose start raised an exception. Jobs are due in several
times that, and a turn examines few such items."""
UNREADABLE_JOB_S = 60.0
"""Seconds for which items or results of a job have to be unreadable until its owner gives it up.
Another version, which can read them, may adopt the job within that time."""
NOT_YET_CREATED = sys.maxsize
"""Creation revision of a job that the key-value service does not have yet. It sorts such a job as
younger than all jobs in the service."""


class RunningItem(Struct):
    """An item that is running at a target.

    :ivar started: monotonic time at which the run started.
    :ivar events_before: events of the item that former runs produced.
    :ivar former_text: text that this run discards, since its target has another software version.
    :ivar begun: whether its task has run at all; one that is cancelled at once does not.
    :ivar lasting: whether the run has outlasted the time in which an early crash ends it.
    """

    job: OwnedJob
    index: int
    target: TargetId
    started: float
    task: asyncio.Task[None] | None = None
    events_before: int = 0
    former_text: PartialText | None = None
    begun: bool = False
    lasting: bool = False


class Worker(Struct):
    """Runs the jobs that this host owns.

    :param own: incarnation of this host.
    :param in_force: returns the configuration in force.
    :param must_preempt: whether this host has to preempt an item at a target.
    :param propagation_delay_s: returns the seconds until other hosts know what this host has in
        flight.
    :param remote_waiting: returns the weight of the items that wait on other hosts.
    :param may_start_items: whether enough is known of the other hosts to start items.
    :param must_hold_back: whether items of a service have to leave the slots to refused callers.
    :param max_waiting_bytes: memory in bytes that results may take until a commit lists them. Items
        that run when it is reached still end.
    :param memory: memory that jobs share with requests; None for no limit of their sum.
    :param find_call_rate: returns the mean calls per second that arrive at each target of a
        service; None if it is unknown.
    :ivar last_started_at: monotonic time at which each target last got an item of this host.
    :ivar preempted_at: monotonic time at which this host last preempted an item at each target.
    :ivar jobs: jobs that this host runs, and finished ones that are kept for readers.
    :ivar running: items that are running at a target.
    :ivar jobs_to_reload: jobs whose stored state has to be read again before they continue.
    :ivar start_allowance: number of items that this host may start until the spare slots are shared
        again.
    :ivar last_shared_at: monotonic time at which the spare slots were last shared.
    :ivar work_available: set when there is a job to run.
    :ivar stopping: no further item is started.
    :ivar item_times: how long items take.
    :ivar results_wait: whether no item is started because of the results that wait for a commit.
    :ivar waiting_items: why items wait, and since when.
    :ivar waiting_for_memory: jobs of this host that are read once memory suffices for them.
    :ivar crash_backoff: delays items under which targets crash soon after the start.
    :ivar position: item with which the next turn of starts begins, if the last one passed over as
        many items as it may.
    :ivar unreadable: jobs that raised an exception.
    :ivar unreadable_jobs: jobs of this host whose items or results are unreadable.
    :ivar checks: jobs of which is to be checked whether they may be given up or forgotten.
    """

    repository: JobRepository
    forwarder: Forwarder
    own: Incarnation
    in_force: Callable[[], Configuration | None]
    must_preempt: Callable[[TargetId], bool]
    propagation_delay_s: Callable[[], float]
    remote_waiting: Callable[[], int]
    may_start_items: Callable[[], bool]
    must_hold_back: Callable[[ServiceName], bool]
    find_call_rate: Callable[[ServiceName], float | None]
    max_waiting_bytes: int
    last_started_at: dict[TargetId, float] = field(default_factory=dict)
    preempted_at: dict[TargetId, float] = field(default_factory=dict)
    jobs: dict[JobId, OwnedJob] = field(default_factory=dict)
    running: list[RunningItem] = field(default_factory=list)
    rng: random.Random = field(default_factory=new_rng)
    jobs_to_reload: list[StoredJob] = field(default_factory=list)
    start_allowance: int = 0
    last_shared_at: float = float("-inf")
    work_available: asyncio.Event = field(default_factory=asyncio.Event)
    stopping: bool = False
    tasks: TaskGroup = field(default_factory=TaskGroup)
    item_times: ItemTimes = field(default_factory=ItemTimes)
    results_wait: bool = False
    waiting_items: WaitingItems = field(default_factory=WaitingItems)
    crash_backoff: CrashBackoff = field(default_factory=CrashBackoff)
    memory: MemoryBudget | None = None
    waiting_for_memory: dict[JobId, StoredJob] = field(default_factory=dict)
    position: StartPosition | None = None
    unreadable_jobs: set[JobId] = field(default_factory=set)
    checks: JobChecks = field(default_factory=JobChecks)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def announced_job_numbers(self) -> list[int]:
        """Return the short numbers of the jobs that this host announces to other hosts."""
        latest = (job.id for job in reversed(self.jobs.values()) if job.entered)
        return [hash32(job_id) for job_id in islice(latest, MAX_ADVERTISED_JOBS)][::-1]

    def in_flight(self) -> dict[TargetId, int]:
        """Return how many items of this host are running at each target."""
        counts: dict[TargetId, int] = {}
        for item in self.running:
            counts[item.target] = counts.get(item.target, 0) + 1
        return counts

    def count_items(self, target: TargetId) -> int:
        """Return how many items of this host are running at a target."""
        return sum(item.target == target for item in self.running)

    def find_newest_jobs(self) -> dict[TargetId, int]:
        """Return the creation revision of the least urgent job that has an item at each target.

        Late jobs are the least urgent ones; they count as younger than all jobs in the service.
        """
        now = monotonic()
        newest: dict[TargetId, int] = {}
        for item in self.running:
            is_late, created = self._sort_key(item.job, item.index, now)
            order = NOT_YET_CREATED if is_late else created
            newest[item.target] = max(order, newest.get(item.target, 0))
        return newest

    def sum_waiting_weight(self) -> int:
        """Return the total weight of this host's items that could start now."""
        return sum_weight(self._list_startable_jobs(monotonic()), self.item_times)

    def order_startable(self, now: float) -> list[StartableItems]:
        """Return the items that may start now, in the order in which they start."""
        return order_startable(self._list_startable_jobs(now), self.item_times)

    def _list_startable_jobs(self, now: float) -> list[tuple[OwnedJob, float]]:
        return list_startable_jobs(self.jobs.values(), self.in_force(), now)

    def _sort_key(self, job: OwnedJob, index: int, now: float) -> tuple[bool, int]:
        """Return the sort key of an item: items that can end in time first, then older jobs."""
        config = self.configuration_for(job)
        left_s = find_due_s(config, job.stored.state.route) - (now - job.accepted_at)
        can_end = self.item_times.can_end_in_time(job.count_events(index), left_s)
        return not can_end, job.creation_order

    async def start_job(self, stored: StoredJob, items: list[Item] | None = None) -> None:
        """Run a job that this host owns; do nothing if it runs already or is finished.

        A job whose records are unreadable is tried once more later, and then given up.

        :param items: the job's items, if they are known; else they are read.
        :raises KvError: the job's records could not be read.
        """
        if stored.id in self.unreadable_jobs:
            return
        try:
            await self._read_and_run(stored, items)
        except KvUnreadable as error:
            self.repository.note_unreadable(stored.id, error)
            if stored.id not in self.unreadable_jobs:
                self.unreadable_jobs.add(stored.id)
                self.tasks.start(self._give_up_later(stored.id))

    async def _give_up_later(self, job_id: JobId) -> None:
        """Run an unreadable job of this host if it is readable later, or give it up."""
        await asyncio.sleep(UNREADABLE_JOB_S)
        try:
            await self._try_until_decided(job_id)
        finally:
            # After an unexpected error, the next sweep of this host begins anew.
            self.unreadable_jobs.discard(job_id)

    async def _try_until_decided(self, job_id: JobId) -> None:
        while True:
            try:
                if await self._run_or_give_up(job_id):
                    return
            except KvError as error:
                self.repository.note_unreadable(job_id, error)
                if isinstance(error, KvUnreadable):
                    return
            await asyncio.sleep(COMMIT_RETRY_S)

    async def _run_or_give_up(self, job_id: JobId) -> bool:
        """Return whether an unreadable job runs, or is not left to this host any more.

        :raises KvError: the key-value service failed, or the state is unreadable, too.
        """
        stored = await self.repository.load(job_id)
        if stored is None or stored.state.done or stored.state.owner != self.own:
            return True
        try:
            await self._read_and_run(stored)
        except KvUnreadable as error:
            try:
                await self.repository.give_up(stored)
            except Superseded:
                return False
            emit(events.JOB_GIVEN_UP, job=job_id, reason=str(error))
        return True

    async def _read_and_run(self, stored: StoredJob, items: list[Item] | None = None) -> None:
        if self._mark_entered(stored) or stored.id in self.jobs or stored.state.done:
            return
        if items is None and not self._has_room():
            self._wait_for_memory(stored)
            return
        if items is None:
            items = await self.repository.load_items(stored)
        results = await self.repository.load_results(stored)
        partial = await self.repository.load_partial(stored)
        if stored.id in self.jobs:
            return
        accepted_at = monotonic() - stored.state.age_s
        read_prompt_parts = self.forwarder.dialect.read_prompt_parts
        job = OwnedJob(
            stored,
            items,
            results,
            accepted_at,
            read_prompt_parts,
            failures=dict(stored.state.failures),
            partial=partial,
        )
        self._add(job)

    def run_early(self, spooled: SpooledJob) -> None:
        """Run a job of this host that is spooled and not in the key-value service yet.

        Its results are listed once the service has the job. Waiting for that would leave slots
        idle throughout an outage of the service, which may last up to half of the time in which a
        job is due.
        """
        if spooled.id in self.jobs or self.stopping:
            return
        stored = StoredJob(spooled.id, spooled.state, ABSENT, created=NOT_YET_CREATED)
        read_prompt_parts = self.forwarder.dialect.read_prompt_parts
        self._add(OwnedJob(stored, spooled.items, [], monotonic(), read_prompt_parts))

    def _mark_entered(self, stored: StoredJob) -> bool:
        """Continue a job that was started early, now that the key-value service has it.

        :return: whether there was such a job and it continues.
        """
        job = self.jobs.get(stored.id)
        if job is None or job.entered:
            return False
        if stored.state.done or stored.state.commits:
            self.drop(stored.id, "another host has already run it")
            return False
        job.enter(stored)
        return True

    def _find_max_job_bytes(self) -> int:
        """Return the most bytes that the items of a job take: as many as its body had."""
        config = self.in_force()
        return config.limits.body_bytes if config is not None else 0

    def make_room(self, size: int) -> None:
        """Forget finished jobs until *size* bytes of memory are released.

        Their readers are answered from the key-value service then.
        """
        for job in list(self.jobs.values()):
            if size <= 0:
                return
            if job.done and not job.committing:
                size -= job.reserved_bytes
                self._forget(job)

    def _has_room(self) -> bool:
        """Return whether memory suffices to read a job; without other jobs it always does."""
        memory = self.memory
        if memory is None or not self.jobs:
            return True
        missing = memory.used_bytes + self._find_max_job_bytes() - memory.large_bytes
        self.make_room(missing)
        return memory.used_bytes + self._find_max_job_bytes() <= memory.large_bytes

    def _wait_for_memory(self, stored: StoredJob) -> None:
        if stored.id in self.waiting_for_memory:
            return
        self.waiting_for_memory[stored.id] = stored
        emit(events.JOB_WAITS_FOR_MEMORY, job=stored.id, items=len(stored.state.item_ids))
        if len(self.waiting_for_memory) == 1:
            self.tasks.start(self._read_when_memory_suffices())

    async def _read_when_memory_suffices(self) -> None:
        """Let some of the jobs that wait for memory be read whenever it suffices for one."""
        while self.waiting_for_memory:
            await asyncio.sleep(ITEM_RETRY_S)
            if self._has_room():
                for job_id in list(islice(self.waiting_for_memory, MAX_READS_PER_CHECK)):
                    self.jobs_to_reload.append(self.waiting_for_memory.pop(job_id))
                self.work_available.set()

    def _forget(self, job: OwnedJob) -> None:
        """Remove a job from memory."""
        self.unreadable.clear(job_key(job.id))
        if self.jobs.pop(job.id, None) is not None and self.memory is not None:
            self.memory.release(job.reserved_bytes)

    def _add(self, job: OwnedJob) -> None:
        self.jobs[job.id] = job
        if self.memory is not None:
            job.reserved_bytes = sum(len(item.body) + ITEM_BYTES for item in job.items)
            self.memory.take(job.reserved_bytes)
        self.work_available.set()
        emit(events.JOB_TAKEN, job=job.id, items=len(job.items), listed=len(job.results))

    async def confirm_jobs(self) -> None:
        """Check the stored owner of each running job; drop the jobs that another host owns now."""
        jobs = iter([job for job in self.jobs.values() if job.entered and not job.done])

        async def confirm_next() -> None:
            for job in jobs:
                if job.id in self.jobs:
                    await self._confirm(job)

        await asyncio.gather(*(confirm_next() for _ in range(MAX_CONFIRMED_AT_ONCE)))

    async def _confirm(self, job: OwnedJob) -> None:
        try:
            stored = await self.repository.load(job.id)
        except KvError as error:
            self.repository.note_unreadable(job.id, error)
            return
        if job.id not in self.jobs:
            return
        if stored is None or stored.state.ended or stored.state.owner != self.own:
            self._reconcile(job, stored)

    def check_end(self, job_id: JobId) -> None:
        """Drop a job whose end is announced, if its state says so; anyone can write the notice."""
        job = self.jobs.get(job_id)
        if job is not None and job.entered and not job.done:
            self.tasks.start(self._confirm(job))

    def drop_early(self, job_id: JobId) -> None:
        """Stop running a job that was started early, if another host runs it now."""
        job = self.jobs.get(job_id)
        if job is not None and not job.entered:
            self.drop(job_id, "another host runs it")

    def drop(self, job_id: JobId, reason: str) -> None:
        """Stop running a job and forget it."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._forget(job)
            emit(events.JOB_DROPPED, job=job_id, reason=reason, running=len(job.running))
            job.stop()

    async def release_all(self) -> None:
        """Commit what has ended and release every job to other hosts, before a planned stop."""
        self.stopping = True
        for job in list(self.jobs.values()):
            if job.commit_task is not None:
                await asyncio.wait([job.commit_task])
            if job.entered and not job.done and job.id in self.jobs:
                await self._commit(job, released=True)
            self.drop(job.id, "this host is stopping")

    async def run(self) -> None:
        """Start items and commit results; never returns."""
        while True:
            if not self.jobs and not self.jobs_to_reload:
                self.work_available.clear()
                self.waiting_items.update((), monotonic())
                await self.work_available.wait()
            await asyncio.sleep(POLL_INTERVAL_S)
            with loop_time.shared().measure(LoopPart.WORKER):
                self._reload_jobs()
                self.tasks.run_step("preemption of items", self._preempt_items)
                self.tasks.run_step("lasting runs", self._note_lasting_runs)
            await self.forwarder.wait_until_fresh()
            with loop_time.shared().measure(LoopPart.WORKER):
                self.tasks.run_step("start of items", self._start_items)
                self.tasks.run_step("waiting items", self._report_waiting_items)
                self.tasks.run_step("maintenance of jobs", self._maintain_jobs)

    def _reload_jobs(self) -> None:
        """Start to read the jobs in :attr:`jobs_to_reload`, without holding up other jobs."""
        waiting, self.jobs_to_reload = self.jobs_to_reload, []
        for stored in waiting:
            self.tasks.start(self._reload_job(stored))

    async def _reload_job(self, stored: StoredJob) -> None:
        try:
            await self.start_job(stored)
        except KvUnreadable as error:
            self.repository.note_unreadable(stored.id, error)
        except KvError as error:
            self.repository.note_unreadable(stored.id, error)
            await asyncio.sleep(ITEM_RETRY_S)
            self.jobs_to_reload.append(stored)
            self.work_available.set()

    def _maintain_jobs(self) -> None:
        """Commit what has ended; check now and then whether jobs may be given up or forgotten."""
        now = monotonic()
        self.checks.refresh(self.jobs.values(), self.in_force(), now)
        ended = 0
        while ended < MAX_ENDS_PER_TURN and (job := self.checks.next()) is not None:
            if self.jobs.get(job.id) is not job:
                continue
            if job.done and now - job.committed_at > FINISHED_JOB_RETENTION_S:
                self._forget(job)
            elif not job.done and may_give_up(job, self.configuration_for(job), now):
                ended += job.fail_remaining(MAX_ENDS_PER_TURN - ended)
                if ended >= MAX_ENDS_PER_TURN:
                    self.checks.repeat(job)
        for job in self.jobs.values():
            if job.pending or job.running:
                try:
                    self._commit_if_due(job, now)
                except Exception as error:
                    self._note_fault(job, error)

    def _commit_if_due(self, job: OwnedJob, now: float) -> None:
        if not job.committing and now >= job.commit_after and self._wants_commit(job, now):
            job.committing = True
            job.commit_task = self.tasks.start(self._commit(job))

    def configuration_for(self, job: OwnedJob) -> Configuration | None:
        """Return the configuration in force, or None while it is older than the job.

        An adopted job may be on a route that this host's configuration does not have yet.
        """
        config = self.in_force()
        if config is None or config.version < job.stored.state.config_version:
            return None
        return config

    def _wants_commit(self, job: OwnedJob, now: float) -> bool:
        if job.dropped or job.done or not job.entered:
            return False
        if job.pending:
            all_ended = len(job.pending) + len(job.results) == len(job.items)
            return all_ended or now - job.pending_since >= COMMIT_DELAY_S
        return bool(job.running) and now - job.committed_at >= CHECKPOINT_INTERVAL_S

    async def _commit(self, job: OwnedJob, *, released: bool = False) -> None:
        """Commit the items that have ended, in as many transactions as they need."""
        # Small results are listed first, so that the transfer of large ones does not delay them.
        pending = sorted(job.pending, key=lambda row: len(row.text))
        try:
            await self._commit_next(job, pending, released)
            while pending:
                await self._commit_next(job, pending, released)
        except Superseded as error:
            self._reconcile(job, error.job)
        except KvRejected as error:
            metrics.shared().commits.add(1, {"result": "rejected"})
            emit(events.COMMIT_REJECTED, job=job.id, items=len(pending), **error.log_fields)
            job.commit_after = monotonic() + REJECTED_RETRY_S
        except KvUnreadable as error:
            # No result can be listed any more. If the state is readable again, the next sweep of
            # this host continues with it.
            metrics.shared().commits.add(1, {"result": "unreadable"})
            self.repository.note_unreadable(job.id, error)
            self.drop(job.id, "its stored state is unreadable")
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

    async def _commit_next(self, job: OwnedJob, pending: list[Result], released: bool) -> None:
        """Commit the leading results of *pending* that fit, and remove them from it.

        :raises Superseded: see :meth:`JobRepository.commit`.
        :raises KvError: likewise.
        """
        age_s = monotonic() - job.accepted_at
        work = CommittedWork(pending, job.failures, job.copy_partial(), age_s)
        before = len(job.stored.state.listed)
        stored = await self.repository.commit(job.stored, work, released=released)
        listed = len(stored.state.listed) - before
        job.apply_commit(stored, pending[:listed])
        del pending[:listed]
        metrics.shared().commits.add(1, {"result": "listed"})
        emit(events.ITEMS_LISTED, job=job.id, items=listed, listed=len(job.results))

    def _reconcile(self, job: OwnedJob, stored: StoredJob | None) -> None:
        """Continue from another writer's state, or drop the job if this host does not own it.

        A state that lists results unknown to this host makes it reload the job.
        """
        if stored is None:
            self.drop(job.id, "gone")
        elif stored.state.ended or stored.state.owner != self.own:
            self.drop(job.id, "ended" if stored.state.ended else "another host owns it")
        elif stored.state.unreadable:
            self.drop(job.id, "given up")
        elif job.is_continued_by(stored):
            job.apply_state(stored)
        else:
            self.drop(
                job.id, "the stored state lists results or items that this host does not have"
            )
            self.jobs_to_reload.append(stored)

    def _preempt_items(self) -> None:
        """Preempt the least urgent item at each target that has no slot left for a caller.

        A target gets the next preemption only after the other hosts know of the last one.
        """
        now = monotonic()
        propagation_s = PROPAGATION_MARGIN_S + self.propagation_delay_s()
        by_target: dict[TargetId, list[RunningItem]] = {}
        for item in self.running:
            by_target.setdefault(item.target, []).append(item)
        for target_id, items in by_target.items():
            if now - self.preempted_at.get(target_id, -propagation_s) < propagation_s:
                continue
            if self.must_preempt(target_id):
                self.preempted_at[target_id] = now
                self._preempt(
                    max(
                        items,
                        key=lambda item: (
                            self._sort_key(item.job, item.index, now),
                            item.started,
                        ),
                    )
                )

    def _note_lasting_runs(self) -> None:
        """Tell the backoff which runs have lasted longer than the time of early crashes."""
        now = monotonic()
        for item in self.running:
            if not item.lasting and now - item.started >= EARLY_CRASH_S:
                item.lasting = True
                keys = item.job.request_identity(item.index).suspects
                self.crash_backoff.note_running(keys, now)

    def _preempt(self, item: RunningItem) -> None:
        """Cancel a running item; it resumes later after its last event."""
        target = self.forwarder.targets.by_id.get(item.target)
        own = 0 if target is None else target.in_flight
        emit(
            events.ITEM_GAVE_WAY,
            job=item.job.id,
            index=item.index,
            item=item.job.items[item.index].id,
            target=item.target,
            load=own + self.forwarder.remote_in_flight(item.target),
        )
        metrics.shared().retries.add(1, {"reason": "gave-way"})
        item.job.not_before[item.index] = monotonic() + ITEM_RETRY_S
        if item.task is not None:
            item.task.cancel()

    def _start_items(self) -> None:
        now = monotonic()
        # Hosts that restart together and do not know of each other would all fill the same slots.
        if self.stopping or not self.may_start_items() or self._must_wait_for_commits():
            return
        propagation_s = PROPAGATION_MARGIN_S + self.propagation_delay_s()
        self._share_slots(now, propagation_s)
        if not self.start_allowance:
            return
        turn = StartTurn(now, propagation_s)
        order = turn.resume(self.order_startable(now), self.position)
        self.position = None
        for items, after in order:
            if self.configuration_for(items.job) is None:
                continue
            for index in items.list_indices(after):
                if turn.started >= MAX_STARTS_PER_TURN:
                    return
                if turn.passed >= MAX_PASSED_PER_TURN:
                    self.position = StartPosition(items.job.id, items.is_late, index)
                    return
                try:
                    goes_on = self._start_or_pass(items.job, index, turn)
                except Exception as error:
                    self._put_off(items.job, index, error)
                    turn.passed += 1
                    continue
                if not goes_on:
                    break
                if not self.start_allowance:
                    return

    def _put_off(self, job: OwnedJob, index: int, error: Exception) -> None:
        """Log that an item could not be started, and try it again after some time."""
        self._note_fault(job, error)
        if index not in job.running:
            job.not_before[index] = monotonic() + FAILED_START_RETRY_S
            job.open_items.take(index)
            job.note_stop(index)

    def _note_fault(self, job: OwnedJob, error: Exception) -> None:
        self.unreadable.note(
            events.ROW_FAILED,
            job_key(job.id),
            repr(error),
            job=job.id,
            where=locate_error(error),
        )

    def _start_or_pass(self, job: OwnedJob, index: int, turn: StartTurn) -> bool:
        """Start an item if it may start; return False if its job can't start more in this turn."""
        config = self.configuration_for(job)
        if config is None:
            return False
        path = job.items[index].path.partition("?")[0]
        version = job.find_version(index)
        place = job.stored.state.host, path
        if version is None and place in turn.closed:
            return False
        route = config.find_route(*place)
        if route is None:
            turn.passed += 1
            job.record_result(Result(index, ItemOutcome.DEAD))
            return True
        service = self._pick_service(route, version)
        if service not in turn.held_back:
            turn.held_back[service] = self.must_hold_back(service)
        if turn.held_back[service] or (version is None and service in turn.without_slot):
            return False
        if not self.crash_backoff.may_start(job.request_identity(index).suspects, turn.now):
            turn.passed += 1
            return True
        target, waits = self._choose_target_for(job, index, service, turn)
        if waits:
            turn.passed += 1
            return True
        if target is None:
            turn.without_slot.add(service)
            if turn.without_slot.issuperset(route.services):
                turn.closed.add(place)
            return False
        self.last_started_at[target.id] = turn.now
        self.start_allowance -= 1
        turn.started += 1
        self._start(job, index, target, route.max_attempts)
        return True

    def _report_waiting_items(self) -> None:
        """Update the metrics of waiting items, and log those that wait although targets have
        room."""
        now = monotonic()
        if self.waiting_items.is_due(now):
            self.waiting_items.update(list_waiting(self, now), now)

    def _must_wait_for_commits(self) -> bool:
        """Return whether the results that wait for a commit fill their share of memory."""
        waiting_bytes = sum(job.pending_bytes for job in self.jobs.values())
        results_wait = waiting_bytes >= self.max_waiting_bytes
        if results_wait and not self.results_wait:
            emit(events.RESULTS_WAIT, bytes=waiting_bytes, limit=self.max_waiting_bytes)
        self.results_wait = results_wait
        return results_wait

    def _pick_service(self, route: Route, version: SoftwareVersion | None) -> ServiceName:
        """Return the service for an item: the one that can continue its text, if there is one."""
        found = None
        if version is not None:
            found = self.forwarder.targets.find_service(route.services, version)
        return found or route.pick_service(self.rng)

    def _choose_target_for(
        self, job: OwnedJob, index: int, service: ServiceName, turn: StartTurn
    ) -> tuple[Target | None, bool]:
        """Return a target with a spare slot for an item, or None, and whether the item has to wait
        for a target that can continue its text."""
        version = job.find_version(index)
        if version is not None:
            if version not in turn.full:
                target = self._choose_target(service, turn.now, turn.propagation_s, version)
                if target is not None:
                    return target, False
                candidates = self.forwarder.targets.candidates(service, turn.now, version)
                turn.full[version] = bool(candidates)
            waiting_since = job.waiting_since.setdefault(index, turn.now)
            if turn.full[version] and turn.now - waiting_since < MAX_VERSION_WAIT_S:
                return None, True
        if service in turn.without_slot:
            return None, False
        return self._choose_target(service, turn.now, turn.propagation_s), False

    def _choose_target(
        self,
        service: ServiceName,
        now: float,
        propagation_s: float,
        version: SoftwareVersion | None = None,
    ) -> Target | None:
        """Return a target with a spare slot, or None."""
        candidates = self.forwarder.targets.candidates(service, now, version)
        excluded = {name for name, at in self.last_started_at.items() if now - at < propagation_s}
        excluded |= self.forwarder.suspicion.find_reserved()
        loads = self.forwarder.loads
        paces = loads.find_unusual_paces() if loads is not None else None
        return choose_batch_target(
            candidates,
            self.forwarder.remote_in_flight,
            self.find_limit,
            excluded,
            self.rng,
            paces,
        )

    def find_limit(self, target: Target) -> int:
        """Return how many slots of a target may be in use once an item has started there."""
        rate = self.find_call_rate(target.listed.service)
        return find_start_limit(max(1, target.listed.slots), rate)

    def _share_slots(self, now: float, propagation_s: float) -> None:
        """Compute how many of the spare slots of all targets this host may fill.

        Every host sees the same spare slots. If each host filled all of them, most items would be
        preempted at once.
        """
        if now - self.last_shared_at < propagation_s:
            return
        self.last_shared_at = now
        targets = self.forwarder.targets.working(now)
        spare = count_spare_slots(targets, self.forwarder.remote_in_flight, self.find_limit)
        own = self.sum_waiting_weight()
        self.start_allowance = allot_spare_slots(spare, own, self.remote_waiting(), self.rng)

    def _start(self, job: OwnedJob, index: int, target: Target, max_failures: int) -> None:
        former_text = job.begin_run(index, target.listed.version)
        running = RunningItem(
            job,
            index,
            target.id,
            monotonic(),
            events_before=job.count_events(index),
            former_text=former_text,
        )
        self.crash_backoff.note_start(job.request_identity(index).suspects, running.started)
        # The task counts the request as in flight only once it first runs, so target.begin() below
        # counts it until then.
        task = self.tasks.start(self._run_item(running, target, max_failures))
        running.task = task
        task.add_done_callback(lambda _: self._end_unbegun(running, target))
        job.note_start(index, task)
        self.running.append(running)
        target.begin()
        emit(
            events.ITEM_STARTED,
            job=job.id,
            index=index,
            item=job.items[index].id,
            target=target.id,
            load=target.in_flight + self.forwarder.remote_in_flight(target.id),
            after_event=job.partial[index].last_event if index in job.partial else None,
            version=target.listed.version,
        )

    async def _run_item(self, running: RunningItem, target: Target, max_failures: int) -> None:
        job, index = running.job, running.index
        crashed = False
        running.begun = True
        target.end()
        try:
            partial = job.partial.setdefault(index, PartialText(version=target.listed.version))
            text = await run_item(
                self.forwarder,
                target,
                job.items[index],
                job.request_identity(index),
                partial,
                job.stored.state.organisation,
            )
            job.record_result(Result(index, ItemOutcome.COMPLETE, text))
            target.record_success()
            self.forwarder.suspicion.note_answer(job.request_identity(index), is_success=True)
            self.item_times.note_end(
                len(partial.data),
                len(partial.data) - running.events_before,
                monotonic() - running.started,
            )
            metrics.shared().items.add(1, {"result": "complete"})
            took_ms = round((monotonic() - running.started) * 1000)
            emit(
                events.ITEM_ENDED,
                job=job.id,
                index=index,
                item=job.items[index].id,
                target=target.id,
                took_ms=took_ms,
            )
        except ItemUnprocessable:
            self.forwarder.suspicion.note_answer(job.request_identity(index), is_success=False)
            job.record_result(Result(index, ItemOutcome.DEAD))
            emit(events.ITEM_DEAD, job=job.id, index=index, reason="impossible")
            metrics.shared().items.add(1, {"result": "dead"})
        except ItemFailed as error:
            self.forwarder.suspicion.note_answer(job.request_identity(index), is_success=False)
            self._count_failure(job, index, max_failures, str(error))
        except (ConnectFailed, OtherInstance, TargetBusy, TargetFailed) as error:
            if running.former_text is not None and not isinstance(error, TargetFailed):
                job.restore_text(index, running.former_text)
            crashed = isinstance(error, TargetFailed) and await self._has_crashed(target)
            job.not_before[index] = monotonic() + ITEM_RETRY_S
            metrics.shared().retries.add(1, {"reason": type(error).__name__})
            emit(
                events.ITEM_RETRIED,
                job=job.id,
                index=index,
                item=job.items[index].id,
                target=target.id,
                reason=repr(error),
                crashed=crashed,
            )
        except Exception:
            job.not_before[index] = monotonic() + ITEM_RETRY_S
            raise
        finally:
            if crashed:
                number, now = number_target(target.id), monotonic()
                keys = job.request_identity(index).suspects
                self.crash_backoff.note_crash(number, keys, running.started, now)
            self._end_run(running)

    def _end_run(self, running: RunningItem) -> None:
        job, index = running.job, running.index
        self.running.remove(running)
        job.note_stop(index)
        self.crash_backoff.note_end(job.request_identity(index).suspects, running.started)

    def _end_unbegun(self, running: RunningItem, target: Target) -> None:
        """End a run whose task was cancelled before it began, and which has no other end."""
        if not running.begun:
            target.end()
            self._end_run(running)

    async def _has_crashed(self, target: Target) -> bool:
        """Return whether the target of a run that broke off has crashed."""
        await self.forwarder.crash_detector.wait(target)
        return target.closed_at is not None

    def _count_failure(self, job: OwnedJob, index: int, max_failures: int, reason: str) -> None:
        count = job.failures.get(index, 0) + 1
        job.failures[index] = count
        job.not_before[index] = monotonic() + ITEM_RETRY_S
        emit(events.ITEM_FAILED, job=job.id, index=index, count=count, reason=reason)
        if count >= max_failures:
            job.record_result(Result(index, ItemOutcome.DEAD))
            metrics.shared().items.add(1, {"result": "dead"})
