"""Keeps in the key-value service which software versions may have begun the streams in progress.

Records of single streams are lost if all hosts stop at once. Where a service has had one version
only, its streams can still be resumed, but a host that has just started does not know what was
listed before.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import DecodingError, KvError
from ..ids import Incarnation, ServiceName, SoftwareVersion
from ..kv.service import ABSENT, Expect, Put, Transaction
from ..kv.unreadable import UnreadableRows
from ..peers.presence import LIVE_PREFIX
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..kv.service import KeyValueService
    from .targets import TargetSet

VERSIONS_KEY = LIVE_PREFIX + "versions"
"""Key of the record; every host watches it."""
RETENTION_S = 120.0
"""Seconds for which a version stays recorded after its last target: longer than any stream."""
WRITE_TIMEOUT_S = 0.3
"""Seconds that the first event of a stream waits until its version is recorded."""
MAX_WRITES = 3
"""Writes that are tried while other hosts change the record at the same time."""
RETRY_S = 1.0
"""Seconds after a failed write in which no stream waits for another one."""

VersionTable = dict[ServiceName, set[SoftwareVersion]]
"""Software versions by service."""


class VersionRecord(msgspec.Struct, frozen=True):
    """Stored form of the record.

    :param creator: incarnation of the host that created it. What that host knows of the time
        before is not more than its own list of targets.
    :param versions: software versions by service.
    """

    creator: Incarnation
    versions: dict[ServiceName, list[SoftwareVersion]]


class VersionHistory(Struct):
    """The recorded versions of each service.

    Each version is recorded before a caller gets the first event of a stream of it, unless the
    service is unavailable.

    :param watching: whether this host is one of those that keep the record up to date.
    :ivar record: None until it has been read.
    :ivar failed_at: monotonic time of the last write that failed.
    :ivar unreadable: the record, while it cannot be decoded.
    """

    kv: KeyValueService
    own: Incarnation
    targets: TargetSet
    watching: Callable[[], bool]
    record: VersionRecord | None = None
    failed_at: float = float("-inf")
    tasks: TaskGroup = field(default_factory=TaskGroup)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def apply(self, value: bytes | None) -> None:
        """Apply the record as the service lists it; None if it does not exist."""
        self.record = None if value is None else self._decode(value)

    def find_only_version(self, services: Iterable[ServiceName]) -> SoftwareVersion | None:
        """Return the only software version that services have had, by the record and the list of
        targets; None if there were several or none, or if the record does not reach back."""
        if self.record is None or self.record.creator == self.own:
            return None
        versions: set[SoftwareVersion] = set()
        for service in services:
            versions.update(self.record.versions.get(service, ()))
            versions.update(target.listed.version for target in self.targets.by_service[service])
        return versions.pop() if len(versions) == 1 else None

    async def ensure_recorded(self, service: ServiceName, version: SoftwareVersion) -> None:
        """Return once a version is recorded, or could not be within :data:`WRITE_TIMEOUT_S`."""
        if self._is_recorded(service, version) or monotonic() < self.failed_at + RETRY_S:
            return
        write = self.tasks.start(self._write({service: {version}}, {}))
        await asyncio.wait([write], timeout=WRITE_TIMEOUT_S)
        if not write.done():
            self.failed_at = monotonic()

    def sweep(self, now: float) -> None:
        """Record versions that are new in the list of targets, and drop those that are gone."""
        if not self.watching() or now < self.failed_at + RETRY_S:
            return
        listed = {
            service: {target.listed.version for target in targets}
            for service, targets in self.targets.by_service.items()
        }
        added = {
            service: {v for v in versions if not self._is_recorded(service, v)}
            for service, versions in listed.items()
        }
        added = {service: versions for service, versions in added.items() if versions}
        removed = self._find_expired(listed, now)
        if added or removed:
            self.tasks.start(self._write(added, removed))

    def _is_recorded(self, service: ServiceName, version: SoftwareVersion) -> bool:
        return self.record is not None and version in self.record.versions.get(service, ())

    def _find_expired(self, listed: VersionTable, now: float) -> VersionTable:
        """Return the recorded versions without a target for :data:`RETENTION_S` seconds."""
        if self.record is None or now - self.targets.known_since < RETENTION_S:
            return {}
        expired: VersionTable = {}
        for service, versions in self.record.versions.items():
            former = self.targets.former_versions.get(service, {})
            for version in set(versions) - listed.get(service, set()):
                if now - former.get(version, float("-inf")) >= RETENTION_S:
                    expired.setdefault(service, set()).add(version)
        return expired

    async def _write(self, added: VersionTable, removed: VersionTable) -> None:
        """Add and remove versions in the record; a failure is only logged."""
        try:
            for _ in range(MAX_WRITES):
                if await self._try_write(added, removed):
                    return
        except KvError as error:
            emit(events.VERSIONS_NOT_KEPT, reason=str(error))
        self.failed_at = monotonic()

    async def _try_write(self, added: VersionTable, removed: VersionTable) -> bool:
        """Add and remove versions; return False if another host has changed the record meanwhile.

        :raises KvError: the key-value service failed.
        """
        current = await self.kv.get(VERSIONS_KEY)
        stored = None if current is None else self._decode(current.value)
        table: VersionTable = {}
        if stored is not None:
            table = {service: set(versions) for service, versions in stored.versions.items()}
        for service, versions in added.items():
            table[service] = table.get(service, set()) | versions
        for service, versions in removed.items():
            table[service] = table.get(service, set()) - versions
        rows = {service: sorted(versions) for service, versions in table.items() if versions}
        record = VersionRecord(self.own if stored is None else stored.creator, rows)
        revision = ABSENT if current is None else current.revision
        put = Put(VERSIONS_KEY, msgspec.json.encode(record))
        written = await self.kv.transact(Transaction((Expect(VERSIONS_KEY, revision),), (put,)))
        if written.succeeded:
            self.record = record
        return written.succeeded

    def _decode(self, value: bytes) -> VersionRecord | None:
        """Return the decoded record, or None if that fails; a new one replaces it then."""
        try:
            record = decoding.decode_json(value, VersionRecord)
        except DecodingError as error:
            self.unreadable.note(events.VERSIONS_UNREADABLE, VERSIONS_KEY, str(error))
            return None
        self.unreadable.clear(VERSIONS_KEY)
        return record
