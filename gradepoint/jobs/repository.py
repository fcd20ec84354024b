"""Reads and writes jobs in the key-value service.

Every change of a job is one transaction that compares and swaps the job's state, so that concurrent
writers cannot overwrite each other's changes.
"""

from __future__ import annotations

import asyncio
import random
import sys
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import (
    KvError,
    KvOverRate,
    KvRejected,
    KvUnavailable,
    KvUncertain,
    KvUnreadable,
)
from ..ids import Incarnation, JobId
from ..kv.service import ABSENT, Expect, KeyValue, Put, Transaction
from ..kv.unreadable import UnreadableRows
from ..telemetry import loop_time, metrics
from ..telemetry.logs import emit
from ..telemetry.loop_time import LoopPart
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .fragments import FragmentStore, WriteLimit, select_parts
from .quota_turns import QuotaTurns
from .records import (
    INPUT_PREFIX,
    JOB_PREFIX,
    LARGE_PREFIX,
    PARTIAL_PREFIX,
    RESULT_PREFIX,
    Item,
    ItemOutcome,
    JobState,
    PartialText,
    Quota,
    Result,
    decode_quota,
    decode_state,
    decode_value,
    encode_part,
    encode_partial,
    encode_state,
    end_key,
    input_prefix,
    is_job_id,
    job_key,
    join_items,
    join_results,
    part_key,
    partial_key,
    quota_key,
    result_prefix,
    split_items,
    split_rows,
)
from .token_counts import TokenCounts

if TYPE_CHECKING:
    from ..kv.service import KeyValueService, TransactionResult

MAX_PART_SHARE = 0.7
"""Share of the largest value that one part may fill. The rest is a margin: the encoding adds a few
bytes, and a service may count the base64 form of a value, which is a third larger."""
MAX_INPUT_PARTS = 24
"""Most parts of a job's items: a transaction takes 32 entries, and the job's state and the quota
need some of them."""
MAX_INPUT_BYTES = 6 << 20
"""Most bytes of items in the transaction that creates a job, since hosts relay requests of up to
8 MB; less where large ones got no answer lately. More items are stored as fragments before it."""
MAX_RESULT_PARTS = 24
"""Most parts of results in one commit, for the same reason."""
PART_PREFIXES = (INPUT_PREFIX, RESULT_PREFIX, LARGE_PREFIX, PARTIAL_PREFIX)
"""Prefixes of the keys whose values can be made smaller."""
MIN_PART_BYTES = 4 << 10
"""Size of a part below which it is not made smaller, although the service rejects it."""
REDUCTION_S = 60.0
"""Seconds for which parts stay smaller after a rejection; the reason for it may be gone then."""
REJECTED_RETRY_S = 60.0
"""Seconds until a write that the service rejected is sent again. The service does not say whether
its state or the write is the reason."""
MAX_LOADED_BYTES = 4 << 20
"""Most bytes of results that a reader of one page loads, if the sizes of the parts are known."""
NO_LIMIT = 1 << 62
"""Stands for the limit of a route without one; larger than any number of tokens."""
JOBS_PER_TURN = 32
"""Jobs whose states are decoded before other tasks run; a state of 200 items takes 0.15 ms."""
MAX_CONFLICT_ATTEMPTS = 20
"""Most attempts of a write that fails its comparison because other hosts wrote first. An attempt
takes two round trips to the key-value service, so more attempts would exceed the time in which a
job has to be accepted."""
MAX_CALLER_PAUSE_S = 0.08
"""Longest pause in seconds after a lost race of a creation that a caller waits for."""
OVER_RATE_PAUSE_S = (0.02, 0.08)
"""Shortest and longest pause in seconds until a creation above the service's rate is sent again."""
MAX_ENTRIES = 32
"""Entries of a transaction, conditions included."""
MAX_ENTRY_BYTES = 1 << 20
"""Most bytes of the jobs that are entered in one transaction, unless it has one job only."""
MAX_UNCERTAIN_ATTEMPTS = 3
"""Most attempts of a write that gets no answer, before its outcome is reported as uncertain."""
UNCERTAIN_RETRY_S = 0.1
"""Seconds between these attempts."""


class Admission(Enum):
    """How a submission ended.

    ``NEW``: the job was created. ``SPOOLED``: it is kept on data hosts. ``KNOWN``: it exists
    already, from an earlier submission. ``NO_ROOM``: its tokens exceed the limit.
    """

    NEW = "new"
    SPOOLED = "spooled"
    KNOWN = "known"
    NO_ROOM = "no-room"


class ListedJob(msgspec.Struct, frozen=True, array_like=True):
    """What a search for jobs of lost hosts needs of an unfinished job; about 60 bytes encoded."""

    id: JobId
    owner: Incarnation
    released: bool


class StoredJob(Struct, frozen=True):
    """A job's state and the revision it was read at.

    :param created: the revision at which the job was created in the key-value service.
    """

    id: JobId
    state: JobState
    revision: int
    created: int

    @property
    def row(self) -> ListedJob:
        """The job as listed."""
        return ListedJob(self.id, self.state.owner, self.state.released)


class Submission(Struct, frozen=True):
    """How a submission ended, and the job as stored, if this host knows it."""

    admission: Admission
    job: StoredJob | None


class OwedJob(Struct, frozen=True):
    """A job that was accepted and that the key-value service may not have yet."""

    id: JobId
    state: JobState
    items: list[Item]


class CommittedWork(Struct, frozen=True):
    """The data that a commit is to write.

    :param results: items that ended, with their texts, in the order in which they are listed.
    :param failures: failed attempts by index.
    :param partial: texts received so far for items that have not ended, by index.
    :param age_s: see :class:`JobState`.
    """

    results: list[Result]
    failures: dict[int, int] = field(default_factory=dict)
    partial: dict[int, PartialText] = field(default_factory=dict)
    age_s: float = 0.0


class Superseded(Exception):
    """Another writer changed the job first; nothing was written.

    :ivar job: the job as stored now; None if it does not exist any more.
    """

    def __init__(self, job: StoredJob | None) -> None:
        super().__init__("another writer changed the job")
        self.job = job


class JobRepository(Struct):
    """Reads and writes jobs.

    :param value_bytes: size of the largest value that the key-value service takes.
    :ivar quota_cache: quota records by key, as last read or written here; a stale one only fails
        a comparison.
    :ivar quota_turns: turns at the quota records, by key.
    :ivar token_counts: counts of waiting tokens from the jobs, by key of the quota record.
    :ivar write_limit: limit of the bytes in one transaction.
    :ivar reduced_part_bytes: most bytes of a part since the service rejected a larger one.
    :ivar reduced_at: monotonic time of that rejection.
    :ivar unreadable: records that cannot be used.
    :ivar unlisted: jobs whose states cannot be used, as of the last listing.
    """

    kv: KeyValueService
    value_bytes: int
    quota_cache: dict[str, KeyValue] = field(default_factory=dict)
    quota_turns: dict[str, QuotaTurns] = field(default_factory=dict)
    token_counts: dict[str, TokenCounts] = field(default_factory=dict)
    write_limit: WriteLimit = field(default_factory=WriteLimit)
    reduced_part_bytes: int = sys.maxsize
    reduced_at: float = float("-inf")
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)
    unlisted: UnreadableRows = field(default_factory=UnreadableRows)

    @property
    def fragments(self) -> FragmentStore:
        """Store of the parts that exceed one value."""
        return FragmentStore(self.kv, self.write_limit)

    @property
    def part_bytes(self) -> int:
        """Most bytes of items or results in one value."""
        most = min(int(self.value_bytes * MAX_PART_SHARE), self.write_limit.max_bytes)
        if monotonic() - self.reduced_at < REDUCTION_S:
            return min(most, self.reduced_part_bytes)
        return most

    def _reduce_parts(self, error: KvRejected) -> bool:
        """Make parts smaller than the value that the service rejected.

        :returns: whether the rejected value was a part that can be made smaller.
        """
        if not error.key.startswith(PART_PREFIXES) or error.size <= MIN_PART_BYTES:
            return False
        if self.part_bytes <= MIN_PART_BYTES:
            return False
        self.reduced_part_bytes = max(MIN_PART_BYTES, min(self.part_bytes, error.size) // 2)
        self.reduced_at = monotonic()
        emit(
            events.PARTS_REDUCED,
            key=error.key,
            size=error.size,
            limit=error.limit,
            part_bytes=self.reduced_part_bytes,
        )
        return True

    def note_unreadable(self, job_id: JobId, error: KvError) -> None:
        """Log that a record of a job cannot be read; once for each reason, unless it may pass."""
        if isinstance(error, KvUnreadable):
            self.unreadable.note(events.JOB_UNREADABLE, job_key(job_id), str(error), job=job_id)
        else:
            emit(events.JOB_UNREADABLE, job=job_id, reason=str(error))

    def check_size(self, job_id: JobId, state: JobState) -> None:
        """Check that a job's state fits into one value, whatever becomes of its items.

        The check needs no call, so that it has the same result at all hosts and in an outage.

        :raises KvRejected: it does not.
        """
        count = len(state.item_ids)
        listed = [Result(index, ItemOutcome.COMPLETE) for index in range(count)]
        part_sizes = [(1, self.value_bytes)] * count
        full = msgspec.structs.replace(state, listed=listed, commits=count, part_sizes=part_sizes)
        size = len(encode_state(full))
        limit = int(self.value_bytes * MAX_PART_SHARE)
        if size > limit:
            raise KvRejected("state of the job too large", job_key(job_id), size, limit)

    async def accept(
        self, job_id: JobId, state: JobState, items: list[Item], max_tokens: int
    ) -> Submission:
        """Create a job unless it exists or its tokens exceed the limit.

        :param max_tokens: most tokens that may wait under the job's limit; 0 for no limit.
        :raises KvUnavailable: nothing was written and nothing will be.
        :raises KvUncertain: the job may have been created, or may be later.
        :raises KvRejected: the service refuses the job.
        """
        while True:
            try:
                return await self._create(job_id, state, items, max_tokens)
            except KvRejected as error:
                if not self._reduce_parts(error):
                    raise

    async def _create(
        self, job_id: JobId, state: JobState, items: list[Item], max_tokens: int
    ) -> Submission:
        parts = split_items(items, self.part_bytes)
        limit = self.write_limit
        max_bytes = limit.max_bytes if limit.is_reduced else MAX_INPUT_BYTES
        if len(parts) > MAX_INPUT_PARTS or sum(map(len, parts)) > max_bytes:
            parts = split_items(items, sys.maxsize)
        state = msgspec.structs.replace(state, input_parts=len(parts))
        # Tokens are charged even without a limit, so that a limit that is configured later starts
        # from the right count.
        asked_at = monotonic()
        async with self._find_turns(quota_key(state.route, state.organisation)).take():
            return await self._create_within_quota(
                job_id, state, parts, max_tokens or NO_LIMIT, asked_at
            )

    def _find_turns(self, key: str) -> QuotaTurns:
        return self.quota_turns.setdefault(key, QuotaTurns())

    async def _create_within_quota(
        self,
        job_id: JobId,
        state: JobState,
        parts: list[bytes],
        max_tokens: int,
        asked_at: float,
    ) -> Submission:
        """Create a job, or refuse it by a count of the waiting tokens that began when it had been
        submitted: jobs that end between two submissions always make room for the second.

        :param asked_at: monotonic time of the submission.
        """
        puts: list[Put] = []
        key = quota_key(state.route, state.organisation)
        absent = Expect(job_key(job_id), ABSENT)
        tokens = sum(state.item_tokens)
        recounted = False
        turns = self._find_turns(key)
        for attempt in range(MAX_CONFLICT_ATTEMPTS):
            if attempt:
                await turns.pause_after_loss(MAX_CALLER_PAUSE_S)
                self._cache_quota(key, await self.kv.get(key))
            quota = self.quota_cache.get(key)
            waiting = self._read_quota(key)
            is_counted = waiting < NO_LIMIT
            if not is_counted or not _fits(waiting + tokens, max_tokens):
                if recounted and is_counted:
                    return await self._refuse_unless_known(job_id)
                # The record may have been overwritten again since the last count.
                since = monotonic() if recounted else asked_at
                quota, waiting = await self._recount(key, state, since)
                recounted = True
                if not _fits(waiting + tokens, max_tokens):
                    return await self._refuse_unless_known(job_id)
            puts = puts or await self._prepare_creation(job_id, state, parts)
            expects = (absent, Expect(key, quota.revision if quota else ABSENT))
            raw = _encode_quota(waiting + tokens)
            transaction = Transaction(expects, (*puts, Put(key, raw)))
            result = await self._write_with_retries(transaction)
            if result.succeeded:
                _count_creation("created")
                turns.note_success()
                self._cache_quota(key, KeyValue(key, raw, result.revision))
                return Submission(Admission.NEW, _new_job(job_id, state, result.revision))
            current = {item.key: item for item in result.current}
            if job_key(job_id) in current:
                _count_creation("known")
                return Submission(Admission.KNOWN, _read_stored(current[job_key(job_id)]))
            _count_creation("lost-race")
            self._cache_quota(key, current.get(key))
        raise KvUnavailable("every attempt lost a race against another host's submission")

    async def enter(self, jobs: list[OwedJob]) -> dict[JobId, Submission]:
        """Create the first of some owed jobs that share a limit, and as many others as fit into
        the same transaction; their tokens are charged, but no limit is checked.

        The calls are background work. Each job is created only if it does not exist.

        :param jobs: at least one job, oldest first.
        :returns: the jobs that the service has now; none if other hosts won all races.
        :raises KvError: as :meth:`accept`; a rejection refers to the first job.
        :raises KvUnreadable: the service has the first job, and its state cannot be decoded.
        """
        first = jobs[0]
        key = quota_key(first.state.route, first.state.organisation)
        with loop_time.shared().measure(LoopPart.ENTRY):
            batch = self._select_batch(jobs)
        if len(batch) > 1:
            try:
                return await self._enter_batch(key, batch)
            except KvRejected as error:
                # One of the jobs may be the reason, so the first is sent alone.
                emit(events.ENTRY_SPLIT, job=first.id, jobs=len(batch), **error.log_fields)
        await self.kv.pace.wait()
        return {first.id: await self.accept(first.id, first.state, first.items, 0)}

    def _select_batch(self, jobs: list[OwedJob]) -> dict[JobId, tuple[JobState, list[Put]]]:
        """Return the leading jobs that fit into one transaction, with the writes that create them.

        Empty if the first one does not, or needs fragments.
        """
        batch: dict[JobId, tuple[JobState, list[Put]]] = {}
        max_bytes = min(MAX_ENTRY_BYTES, self.write_limit.max_bytes)
        # The comparison and the write of the quota record take one entry each.
        entries, size = 2, 0
        for job in jobs:
            parts = split_items(job.items, self.part_bytes)
            # A condition, the state, and the parts.
            entries += 2 + len(parts)
            size += sum(map(len, parts))
            is_large = any(len(part) > self.part_bytes for part in parts)
            if entries > MAX_ENTRIES or size > max_bytes or is_large:
                break
            state = msgspec.structs.replace(job.state, input_parts=len(parts))
            batch[job.id] = state, _make_creation(job.id, state, parts)
        return batch

    async def _enter_batch(
        self, key: str, batch: dict[JobId, tuple[JobState, list[Put]]]
    ) -> dict[JobId, Submission]:
        turns = self._find_turns(key)
        entered: dict[JobId, Submission] = {}
        first = next(iter(batch))
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            # Callers' own creations take turns with this one, and must not wait for its pauses.
            await self.kv.pace.wait()
            async with turns.take():
                lost_race = await self._try_batch(key, batch, entered, first)
            if not lost_race:
                return entered
            await turns.pause_after_loss()
            self._cache_quota(key, await self.kv.get(key))
        return entered

    async def _try_batch(
        self,
        key: str,
        batch: dict[JobId, tuple[JobState, list[Put]]],
        entered: dict[JobId, Submission],
        first: JobId,
    ) -> bool:
        """Create the jobs of a batch in one transaction; return whether it lost a race.

        Jobs that the service has then are moved from *batch* to *entered*.
        """
        turns = self._find_turns(key)
        while batch:
            quota = self.quota_cache.get(key)
            waiting = self._read_quota(key)
            if waiting >= NO_LIMIT:
                quota, waiting = await self._recount(
                    key, next(iter(batch.values()))[0], monotonic()
                )
            tokens = sum(sum(state.item_tokens) for state, _ in batch.values())
            raw = _encode_quota(waiting + tokens)
            expects = [Expect(job_key(job_id), ABSENT) for job_id in batch]
            expects.append(Expect(key, quota.revision if quota else ABSENT))
            puts = [put for _, creation in batch.values() for put in creation]
            transaction = Transaction(tuple(expects), (*puts, Put(key, raw)))
            result = await self._write_with_retries(transaction, over_rate_attempts=1)
            if result.succeeded:
                turns.note_success()
                self._cache_quota(key, KeyValue(key, raw, result.revision))
                for job_id, (state, _) in batch.items():
                    _count_creation("created")
                    created = _new_job(job_id, state, result.revision)
                    entered[job_id] = Submission(Admission.NEW, created)
                return False
            current = {item.key: item for item in result.current}
            self._cache_quota(key, current.get(key))
            for job_id in list(batch):
                if job_key(job_id) not in current:
                    continue
                _count_creation("known")
                del batch[job_id]
                try:
                    known = _read_stored(current[job_key(job_id)])
                except KvUnreadable as error:
                    if job_id == first:
                        raise
                    # It stays owed, and is the first one later.
                    self.note_unreadable(job_id, error)
                else:
                    entered[job_id] = Submission(Admission.KNOWN, known)
            now_stored = self.quota_cache.get(key)
            if batch and (now_stored.revision if now_stored else ABSENT) != expects[-1].revision:
                _count_creation("lost-race")
                return True
        return False

    async def _prepare_creation(
        self, job_id: JobId, state: JobState, parts: list[bytes]
    ) -> list[Put]:
        """Store the fragments of large parts; return the writes that create the job."""
        values = await self.fragments.store_large_parts(job_id, parts, self.part_bytes)
        return _make_creation(job_id, state, values)

    async def _refuse_unless_known(self, job_id: JobId) -> Submission:
        known = await self.load(job_id)
        return Submission(Admission.NO_ROOM if known is None else Admission.KNOWN, known)

    async def _recount(
        self, key: str, state: JobState, since: float
    ) -> tuple[KeyValue | None, int]:
        """Count the waiting tokens from the jobs; return the quota record and the count.

        A job that is created meanwhile changes the revision of the quota record, which was read
        first, so that the write that uses this count fails its comparison.

        :param since: monotonic time before which the count may not have begun.
        """

        async def count() -> tuple[KeyValue | None, int]:
            quota = await self.kv.get(key)
            states = [job.state for job in await self.list_jobs()]
            return quota, sum(row.waiting_tokens for row in states if row.shares_limit(state))

        counts = self.token_counts.setdefault(key, TokenCounts())
        counted = await counts.count_since(since, count)
        cached = self.quota_cache.get(key)
        if cached is None or (counted.quota and counted.quota.revision > cached.revision):
            self._cache_quota(key, counted.quota)
        return counted.quota, counted.tokens

    def _read_quota(self, key: str) -> int:
        """Return the upper bound of the waiting tokens from the quota record as last read.

        A record that is no count counts as :data:`NO_LIMIT`, which forces a recount before any job
        is accepted.
        """
        item = self.quota_cache.get(key)
        if item is None:
            return 0
        try:
            tokens = decode_quota(item.value).tokens
        except KvUnreadable as error:
            self.unreadable.note(events.QUOTA_UNREADABLE, key, str(error))
            return NO_LIMIT
        self.unreadable.clear(key)
        return min(tokens, NO_LIMIT)

    def _cache_quota(self, key: str, item: KeyValue | None) -> None:
        if item is None:
            self.quota_cache.pop(key, None)
        else:
            self.quota_cache[key] = item

    async def _write_with_retries(
        self, transaction: Transaction, over_rate_attempts: int = MAX_UNCERTAIN_ATTEMPTS
    ) -> TransactionResult:
        """Apply a transaction that creates jobs, and retry it if it gets no answer.

        If a retry fails its comparison, an earlier attempt may have succeeded. The caller then
        finds the job under its key.

        :param over_rate_attempts: attempts that may exceed the service's rate.
        """
        uncertain: KvUncertain | None = None
        for attempt in range(MAX_UNCERTAIN_ATTEMPTS):
            try:
                result = await self.kv.transact(transaction)
                self.write_limit.note_answer(transaction)
                return result
            except KvUncertain as error:
                _count_creation("no-answer")
                self.write_limit.note_timeout(transaction)
                uncertain = error
            except KvOverRate:
                _count_creation("over-rate")
                if uncertain is None and attempt + 1 >= over_rate_attempts:
                    raise
                await asyncio.sleep(random.uniform(*OVER_RATE_PAUSE_S))
                continue
            except (KvUnavailable, KvRejected):
                _count_creation("refused")
                if uncertain is None:
                    raise
            if attempt + 1 < MAX_UNCERTAIN_ATTEMPTS:
                await asyncio.sleep(UNCERTAIN_RETRY_S)
        assert uncertain is not None
        raise uncertain

    async def load(self, job_id: JobId) -> StoredJob | None:
        """Return a job as stored, or None if there is no such job."""
        item = await self.kv.get(job_key(job_id))
        return None if item is None else _read_stored(item)

    async def load_items(self, job: StoredJob) -> list[Item]:
        """Return a job's items.

        :raises KvError: they could not be read.
        """
        prefix = input_prefix(job.id)
        items = join_items(await self._load_parts(job.id, prefix, job.state.input_parts))
        if [item.id for item in items] != job.state.item_ids:
            raise KvUnreadable(f"the parts below {prefix} hold other items than the state names")
        return items

    async def load_results(self, job: StoredJob) -> list[Result]:
        """Return a job's results with their texts, as many as *job* lists.

        :raises KvError: they could not be read.
        """
        if not job.state.commits:
            return []
        parts = await self._load_parts(job.id, result_prefix(job.id), job.state.commits)
        return _check_results(join_results(parts), job.state.listed)

    async def load_page(self, job: StoredJob, position: int, page_bytes: int) -> list[Result]:
        """Return results with their texts from *position* on, at least one if there are any.

        :param page_bytes: bytes of results that the caller needs; more may be returned.
        :raises KvError: they could not be read.
        """
        if not has_large_results(job.state):
            return (await self.load_results(job))[position:]
        found: list[Result] = []
        loaded_bytes = first = 0
        for number, (count, part_bytes) in enumerate(job.state.part_sizes):
            if first + count > position and (not found or loaded_bytes < page_bytes):
                part = await self._load_result_part(job, number)
                rows = _check_results(part, job.state.listed[first : first + count])
                found += rows[max(0, position - first) :]
                loaded_bytes += part_bytes
            first += count
        return found

    async def _load_result_part(self, job: StoredJob, number: int) -> list[Result]:
        key = part_key(result_prefix(job.id), number)
        item = await self.kv.get(key)
        if item is None:
            # It was written together with the state that lists it.
            raise KvUnreadable(f"{key} is missing")
        return join_results(await self.fragments.load_large_parts(job.id, [item.value]))

    async def load_partial(self, job: StoredJob) -> dict[int, PartialText]:
        """Return the texts of unfinished items as the last commit wrote them, by index.

        Items without a text begin anew, so unreadable texts are only logged.
        """
        if not job.state.partial:
            return {}
        item = await self.kv.get(partial_key(job.id))
        if item is None:
            return {}
        try:
            texts = decode_value(item.value, dict[int, PartialText])
        except KvUnreadable as error:
            self.unreadable.note(events.JOB_UNREADABLE, item.key, str(error), job=job.id)
            return {}
        return {index: texts[index] for index in texts if 0 <= index < len(job.state.item_ids)}

    async def _load_parts(self, job_id: JobId, prefix: str, count: int) -> list[bytes]:
        """Return the parts below a prefix.

        They are written in the transaction of the state that counts them.

        :raises KvUnreadable: some are missing, so that no later attempt finds them.
        """
        if count == 1:
            item = await self.kv.get(part_key(prefix, 0))
            found: tuple[KeyValue, ...] = () if item is None else (item,)
        else:
            found = (await self.kv.range(prefix)).items
        found = select_parts(found, prefix, count)
        return await self.fragments.load_large_parts(job_id, [item.value for item in found])

    async def list_jobs(self) -> list[StoredJob]:
        """Return every job whose state can be decoded; log the others, each once."""
        jobs = []
        unlisted = set()
        for number, item in enumerate((await self.kv.range(JOB_PREFIX)).items, 1):
            try:
                jobs.append(_read_stored(item))
            except KvUnreadable as error:
                unlisted.add(item.key)
                job_id = item.key.removeprefix(JOB_PREFIX)
                self.unlisted.note(events.JOB_UNREADABLE, item.key, str(error), job=job_id)
            if number % JOBS_PER_TURN == 0:
                await asyncio.sleep(0)
        self.unlisted.clear_all_but(unlisted)
        return jobs

    async def commit(
        self, job: StoredJob, work: CommittedWork, *, released: bool = False
    ) -> StoredJob:
        """Append results to the listed ones, and store the texts of unfinished items.

        Only the leading results that fit into one transaction are listed; the caller commits the
        others next.

        :param released: give the job up, so that any other host may adopt it. Ignored while results
            remain.
        :returns: the job with the results that were listed.
        :raises Superseded: another writer changed the job; nothing was listed.
        :raises KvRejected: the service refuses the state; nothing was listed.
        :raises KvError: no definite answer.
        """
        while True:
            try:
                return await self._commit(job, work, released=released)
            except KvRejected as error:
                if not self._reduce_parts(error):
                    raise

    async def _commit(self, job: StoredJob, work: CommittedWork, *, released: bool) -> StoredJob:
        state = job.state
        parts = self._select_parts(work.results)
        listed = work.results[: sum(map(len, parts))]
        prefix = result_prefix(job.id)
        encoded = [encode_part(part) for part in parts]
        values = await self.fragments.store_large_parts(job.id, encoded, self.part_bytes)
        puts = [
            Put(part_key(prefix, number), value)
            for number, value in enumerate(values, state.commits)
        ]
        partial = encode_partial(work.partial, self.part_bytes)
        if partial is not None:
            puts.append(Put(partial_key(job.id), partial))
        changed = msgspec.structs.replace(
            state,
            listed=state.listed + [Result(row.index, row.end) for row in listed],
            commits=state.commits + len(parts),
            failures={index: count for index, count in work.failures.items() if count},
            released=released and len(listed) == len(work.results),
            partial=partial is not None,
            age_s=max(state.age_s, work.age_s),
        )
        if state.knows_part_sizes:
            sizes = [(len(part), len(raw)) for part, raw in zip(parts, encoded, strict=True)]
            changed = msgspec.structs.replace(changed, part_sizes=state.part_sizes + sizes)
        return await self._replace_state(job, changed, *puts)

    def _select_parts(self, results: list[Result]) -> list[list[bytes]]:
        """Encode and group the leading results that fit into one transaction, at least one."""
        rows: list[bytes] = []
        size = 0
        for result in results:
            row = msgspec.msgpack.encode(result)
            size += len(row)
            if rows and size > self.write_limit.max_bytes:
                break
            rows.append(row)
        return split_rows(rows, self.part_bytes)[:MAX_RESULT_PARTS] if rows else []

    async def adopt(self, job: StoredJob, owner: Incarnation) -> StoredJob:
        """Make *owner* the owner of the job.

        :raises Superseded: another writer changed the job first.
        """
        state = msgspec.structs.replace(job.state, owner=owner, released=False)
        return await self._replace_state(job, state)

    async def give_up(self, job: StoredJob) -> StoredJob:
        """Mark a job whose items or results stay unreadable, so that no host runs it any more.

        :raises Superseded: another writer changed the job first.
        """
        state = msgspec.structs.replace(job.state, unreadable=True, released=False)
        return await self._replace_state(job, state)

    async def end(self, job_id: JobId) -> bool:
        """End a job at its client's request; return False if there is no such job.

        :raises KvError: no definite answer.
        """
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            job = await self.load(job_id)
            if job is None:
                return False
            if job.state.ended:
                return True
            notice = Put(end_key(job_id), b"")
            try:
                await self._replace_state(
                    job, msgspec.structs.replace(job.state, ended=True), notice
                )
            except Superseded:
                continue
            return True
        raise KvUnavailable("every attempt lost a race against another host's commit")

    async def _replace_state(self, job: StoredJob, state: JobState, *puts: Put) -> StoredJob:
        """Write a new state if nobody has changed the job since it was read.

        If the comparison fails, the job is read. When it holds exactly the new state, an earlier
        attempt of this write succeeded without an answer, and the write counts as done.

        :raises Superseded: another writer changed the job first.
        :raises KvError: no definite answer; a write that is applied late still has to pass the
            comparison.
        """
        key = job_key(job.id)
        raw = encode_state(state)
        transaction = Transaction((Expect(key, job.revision),), (Put(key, raw), *puts))
        try:
            result = await self.kv.transact(transaction)
        except KvUncertain:
            self.write_limit.note_timeout(transaction)
            raise
        self.write_limit.note_answer(transaction)
        if result.succeeded:
            return StoredJob(job.id, state, result.revision, job.created)
        current = await self.load(job.id)
        changed = current is not None and current.revision != job.revision
        if current is not None and changed and encode_state(current.state) == raw:
            return current
        emit(events.JOB_SUPERSEDED, job=job.id, owner=current.state.owner if current else "")
        raise Superseded(current)


def has_large_results(state: JobState) -> bool:
    """Whether the results of a job are known to be too large to load all of them for one page."""
    return state.knows_part_sizes and sum(size for _, size in state.part_sizes) > MAX_LOADED_BYTES


def _check_results(results: list[Result], listed: list[Result]) -> list[Result]:
    """Return results with their texts.

    :raises KvUnreadable: they are not those that the state lists.
    """
    if [(row.index, row.end) for row in results] != [(row.index, row.end) for row in listed]:
        raise KvUnreadable("the parts hold other results than the state lists")
    return results


def _fits(tokens: int, max_tokens: int) -> bool:
    """Whether a number of tokens may wait; without a limit any number may, and none is refused."""
    return max_tokens >= NO_LIMIT or tokens <= max_tokens


def _encode_quota(tokens: int) -> bytes:
    """Encode a quota record; the sum of numbers of another writer may be out of its range."""
    return msgspec.msgpack.encode(Quota(min(max(0, tokens), NO_LIMIT)))


def _make_creation(job_id: JobId, state: JobState, values: list[bytes]) -> list[Put]:
    """Return the writes that create a job whose items are stored as *values*."""
    prefix = input_prefix(job_id)
    return [
        Put(job_key(job_id), encode_state(state)),
        *(Put(part_key(prefix, number), value) for number, value in enumerate(values)),
    ]


def _count_creation(result: str) -> None:
    metrics.shared().creations.add(1, {"result": result})


def _new_job(job_id: JobId, state: JobState, revision: int) -> StoredJob:
    return StoredJob(job_id, state, revision, created=revision)


def _read_stored(item: KeyValue) -> StoredJob:
    """Decode a job.

    :raises KvUnreadable: its state cannot be decoded, or no host stores a job under such a key.
    """
    job_id = JobId(item.key.removeprefix(JOB_PREFIX))
    if not is_job_id(job_id):
        raise KvUnreadable(f"not the key of a job: {item.key!r}")
    return StoredJob(job_id, decode_state(item.value), item.revision, item.created)
