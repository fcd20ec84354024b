"""Housekeeping of stored data: replica repair, garbage collection and retention.

One host at a time does this, under a lease. Correctness does not depend on the lease: copies
are immutable, and an object that is referenced or young is never deleted.
"""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError, KvError
from ..ids import ObjectHash
from ..kv.records import decode_records
from ..kv.service import Delete, Expect, Transaction
from ..kv.unreadable import UnreadableRows
from ..online import claims
from ..store.replicas import COPIES
from ..telemetry.logs import emit
from ..util.clock import wall_seconds
from ..wire.rpc import RpcError
from .records import (
    CHUNKS_PREFIX,
    FILES_PREFIX,
    JOBS_PREFIX,
    ChunkRecord,
    FileRecord,
    JobRecord,
    JobState,
    chunks_prefix,
    key_of_chunk,
    key_of_file,
    key_of_job,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..config.versions import ConfigInForce
    from ..kv.service import KeyValue, KeyValueService
    from ..store.replicas import ReplicatedStore

SWEEP_PERIOD_S = 60.0
PAGE_SIZE = 200
"""Objects per request to a data host."""
SECONDS_PER_DAY = 86400
MAX_DELETES_PER_TRANSACTION = 50
"""Deletions per transaction. Each has a comparison too; the service allows 128 operations."""

OBJECT_NAME = re.compile(rb'"([0-9a-f]{64})"')
FILE_ID = re.compile(rb'"(file-[^"\\]+)"')
"""Names in a record that cannot be decoded. A program of a newer version may have written it, so
that what it refers to is kept."""


class Housekeeper:
    """Checks all bulk objects and records periodically.

    A record that cannot be decoded is left as it is, and what it names is kept.

    :param holds_lease: returns whether this host holds the housekeeping lease now.
    """

    def __init__(
        self,
        service: KeyValueService,
        store: ReplicatedStore,
        config: ConfigInForce,
        holds_lease: Callable[[], bool],
    ) -> None:
        self.service = service
        self.store = store
        self.config = config
        self.holds_lease = holds_lease
        self.unreadable = UnreadableRows()

    async def run(self) -> None:
        """Sweep every ``SWEEP_PERIOD_S`` until cancelled, while this host holds the lease."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            if not self.holds_lease() or self.config.record is None:
                continue
            try:
                await self.sweep()
            except (KvError, GradepointError, RpcError):
                continue

    async def sweep(self) -> None:
        """Delete expired records, repair replicas and collect garbage, once."""
        await self.expire_records()
        # Objects are listed before references are read, so references written in between are
        # seen. An object whose reference is written later is young, and young objects are
        # never deleted.
        listed = await self._list_objects()
        referenced = await self.referenced()
        await self.repair(referenced)
        await self.collect(listed, referenced)

    async def referenced(self) -> set[ObjectHash]:
        """Return all objects that a file or chunk record refers to."""
        names: set[ObjectHash] = set()
        files = (await self.service.range(FILES_PREFIX)).items
        readable = set()
        for item, record in decode_records(files, FileRecord, self.unreadable, key_of_file):
            readable.add(item.key)
            names.update(ObjectHash(segment.hash) for segment in record.segments)
        chunks = (await self.service.range(CHUNKS_PREFIX)).items
        for item, chunk in decode_records(chunks, ChunkRecord, self.unreadable, key_of_chunk):
            readable.add(item.key)
            names.update(ObjectHash(bundle.hash) for bundle in chunk.bundles)
        unreadable = [item for item in (*files, *chunks) if item.key not in readable]
        names.update(ObjectHash(name) for name in _find_names(OBJECT_NAME, unreadable))
        return names

    async def repair(self, referenced: set[ObjectHash]) -> int:
        """Restore missing second copies; return the number of copies written."""
        written = 0
        ordered = sorted(referenced)
        for start in range(0, len(ordered), PAGE_SIZE):
            found = await self.store.holders(ordered[start : start + PAGE_SIZE])
            for name, holders in found.items():
                domains = {host.failure_domain for host in holders}
                if holders and len(domains) < COPIES and await self.store.copy(name, holders):
                    written += 1
        return written

    async def collect(
        self, listed: dict[str, list[ObjectHash]], referenced: set[ObjectHash]
    ) -> int:
        """Delete the listed objects that are unreferenced and old enough; return their number.

        :param listed: objects by data host.
        """
        min_age_s = self.config.document.retention.orphan_hours * 3600
        deleted = 0
        for host in self.store.data_hosts():
            for name in listed.get(host.name, []):
                if name in referenced:
                    continue
                if await self.store.delete(host, name, min_age_s):
                    emit(events.OBJECT_COLLECTED, object=name, data_host=host.name)
                    deleted += 1
        return deleted

    async def _list_objects(self) -> dict[str, list[ObjectHash]]:
        listed: dict[str, list[ObjectHash]] = {}
        for host in self.store.data_hosts():
            names: list[ObjectHash] = []
            try:
                while page := await self.store.list_names(
                    host, names[-1] if names else "", PAGE_SIZE
                ):
                    names.extend(page)
            except RpcError:
                continue
            listed[host.name] = names
        return listed

    async def expire_records(self) -> None:
        """Delete records past their retention time.

        These are ended jobs with their chunks, files that no remaining job uses, and
        idempotency claims.
        """
        now = wall_seconds()
        retention = self.config.document.retention
        expire_before = now - int(retention.results_days * SECONDS_PER_DAY)
        jobs = (await self.service.range(JOBS_PREFIX)).items
        readable = set()
        in_use: set[str] = set()
        for item, job in decode_records(jobs, JobRecord, self.unreadable, key_of_job):
            readable.add(item.key)
            ended = job.state is not JobState.IN_PROGRESS
            if ended and job.finished_at < expire_before:
                chunks = (await self.service.range(chunks_prefix(job.job_id))).items
                await self._delete([*chunks, item])
            else:
                in_use.add(job.file_id)
        in_use |= _find_names(FILE_ID, (item for item in jobs if item.key not in readable))
        old_files = []
        files = (await self.service.range(FILES_PREFIX)).items
        for item, file in decode_records(files, FileRecord, self.unreadable, key_of_file):
            if file.file_id not in in_use and file.created_at < expire_before:
                old_files.append(item)
        await self._delete(old_files)
        await self._expire_claims(now - int(retention.answers_days * SECONDS_PER_DAY))

    async def _expire_claims(self, expire_before: int) -> None:
        items = (await self.service.range(claims.CLAIMS_PREFIX)).items
        rows = decode_records(items, claims.Claim, self.unreadable)
        await self._delete([item for item, claim in rows if claim.at < expire_before])

    async def _delete(self, items: list[KeyValue]) -> None:
        for start in range(0, len(items), MAX_DELETES_PER_TRANSACTION):
            group = items[start : start + MAX_DELETES_PER_TRANSACTION]
            await self.service.transact(
                Transaction(
                    tuple(Expect(item.key, item.revision) for item in group),
                    (),
                    tuple(Delete(item.key) for item in group),
                )
            )


def _find_names(pattern: re.Pattern[bytes], items: Iterable[KeyValue]) -> set[str]:
    """Return the names that match *pattern* in the values of some rows."""
    found = (match for item in items for match in pattern.findall(item.value))
    return {name.decode(errors="replace") for name in found}
