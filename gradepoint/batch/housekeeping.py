"""Housekeeping of bulk data: second copies restored, garbage and old work removed.

One host at a time does this, under a lease. Being only cautious matters, not being
alone: copies are immutable, and nothing referenced or young is ever deleted.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import GradepointError, KvError
from ..ids import ObjectHash
from ..kv.service import Delete, Expect, Transaction
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
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.versions import InForce
    from ..kv.service import KeyValue, KeyValueService
    from ..store.replicas import ReplicatedStore

PERIOD_S = 60.0
PAGE = 200
SECONDS_A_DAY = 86400
DELETES_AT_ONCE = 50
"""Deletions in one transaction; the service allows 128 operations."""


class Housekeeper:
    """Sweeps over all bulk objects and records.

    :param may_work: whether this host holds the lease now.
    """

    def __init__(
        self,
        service: KeyValueService,
        store: ReplicatedStore,
        config: InForce,
        may_work: Callable[[], bool],
    ) -> None:
        self.service = service
        self.store = store
        self.config = config
        self.may_work = may_work

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if not self.may_work() or self.config.record is None:
                continue
            try:
                await self.sweep()
            except (KvError, GradepointError, RpcError):
                continue

    async def sweep(self) -> None:
        """Do one round: retention, repair, collection."""
        await self.end_retention()
        # Objects are listed first, references read after: what is written between the two
        # is young, and the young are never deleted.
        listed = await self._list_objects()
        referenced = await self.referenced()
        await self.repair(referenced)
        await self.collect(listed, referenced)

    async def referenced(self) -> set[ObjectHash]:
        """Return every object that a record names."""
        names: set[ObjectHash] = set()
        for item in (await self.service.range(FILES_PREFIX)).items:
            record = msgspec.json.decode(item.value, type=FileRecord)
            names.update(ObjectHash(segment.hash) for segment in record.segments)
        for item in (await self.service.range(CHUNKS_PREFIX)).items:
            chunk = msgspec.json.decode(item.value, type=ChunkRecord)
            names.update(ObjectHash(bundle.hash) for bundle in chunk.bundles)
        return names

    async def repair(self, referenced: set[ObjectHash]) -> int:
        """Restore second copies; return how many were written."""
        written = 0
        ordered = sorted(referenced)
        for start in range(0, len(ordered), PAGE):
            found = await self.store.holders(ordered[start : start + PAGE])
            for name, holders in found.items():
                domains = {host.failure_domain for host in holders}
                if holders and len(domains) < COPIES and await self.store.copy(name, holders):
                    written += 1
        return written

    async def collect(
        self, listed: dict[str, list[ObjectHash]], referenced: set[ObjectHash]
    ) -> int:
        """Delete listed objects that nothing refers to and that are old enough."""
        least_age_s = self.config.document.retention.orphan_hours * 3600
        deleted = 0
        for host in self.store.data_hosts():
            for name in listed.get(host.name, []):
                if name in referenced:
                    continue
                if await self.store.delete(host, name, least_age_s):
                    emit(events.OBJECT_COLLECTED, object=name, data_host=host.name)
                    deleted += 1
        return deleted

    async def _list_objects(self) -> dict[str, list[ObjectHash]]:
        listed: dict[str, list[ObjectHash]] = {}
        for host in self.store.data_hosts():
            names: list[ObjectHash] = []
            try:
                while page := await self.store.list_names(host, names[-1] if names else "", PAGE):
                    names.extend(page)
            except RpcError:
                continue
            listed[host.name] = names
        return listed

    async def end_retention(self) -> None:
        """Delete the records of finished work that is past its time."""
        now = wall_seconds()
        retention = self.config.document.retention
        oldest = now - int(retention.results_days * SECONDS_A_DAY)
        in_use: set[str] = set()
        for item in (await self.service.range(JOBS_PREFIX)).items:
            job = msgspec.json.decode(item.value, type=JobRecord)
            ended = job.state is not JobState.IN_PROGRESS
            if ended and job.finished_at < oldest:
                chunks = (await self.service.range(chunks_prefix(job.job_id))).items
                await self._delete([*chunks, item])
            else:
                in_use.add(job.file_id)
        old_files = []
        for item in (await self.service.range(FILES_PREFIX)).items:
            file = msgspec.json.decode(item.value, type=FileRecord)
            if file.file_id not in in_use and file.created_at < oldest:
                old_files.append(item)
        await self._delete(old_files)
        await self._end_claims(now - int(retention.answers_days * SECONDS_A_DAY))

    async def _end_claims(self, oldest: int) -> None:
        old = []
        for item in (await self.service.range(claims.CLAIMS_PREFIX)).items:
            claim = msgspec.json.decode(item.value, type=claims.Claim)
            if claim.at < oldest:
                old.append(item)
        await self._delete(old)

    async def _delete(self, items: list[KeyValue]) -> None:
        for start in range(0, len(items), DELETES_AT_ONCE):
            group = items[start : start + DELETES_AT_ONCE]
            await self.service.transact(
                Transaction(
                    tuple(Expect(item.key, item.revision) for item in group),
                    (),
                    tuple(Delete(item.key) for item in group),
                )
            )
