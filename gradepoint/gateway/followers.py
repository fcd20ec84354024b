"""Followers of the key-value service, which keep this host's copies of its data up to date.

They follow the configuration, the targets, live hosts, ended jobs and held requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import events
from ..errors import DecodingError
from ..kv.unreadable import UnreadableRows
from ..peers.presence import KNOWN_DATA_HOST_PREFIX, read_host
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import HostName, Incarnation, JobId, TargetName
    from ..kv.service import RangeResult, WatchEvent
    from ..peers.presence import HostTable
    from .configuration import Configuration
    from .targets import ListedTarget, TargetSet


class ActiveConfiguration(Struct):
    """The configuration in force; its version never decreases.

    :param decode: decodes a stored configuration.
    :param on_change: called with each new version.
    :ivar current: None until a configuration has been read.
    :ivar raw: encoded form of *current*, which is served to other hosts.
    """

    decode: Callable[[bytes], Configuration]
    on_change: Callable[[Configuration], None]
    current: Configuration | None = None
    raw: bytes = b""

    def offer(self, raw: bytes, source: str) -> None:
        """Put a configuration in force if it is newer than the current one.

        :param source: where it comes from, for the log.
        """
        try:
            found = self.decode(raw)
        except DecodingError as error:
            emit(events.CONFIG_UNREADABLE, source=source, reason=str(error))
            return
        if self.current is not None and found.version <= self.current.version:
            return
        former = self.current.version if self.current else 0
        self.current = found
        self.raw = raw
        emit(
            events.CONFIG_IN_FORCE,
            version=found.version,
            former=former,
            routes=len(found.routes),
            source=source,
        )
        self.on_change(found)


class OperatorFollower(Struct):
    """Follows the keys that the operator writes.

    :param config_key: key of the configuration.
    :param read_retired: returns the data host that a key orders to retire, or None for other keys.
    :param on_retire: called with each such order and its revision, each time it is read.
    :ivar unreadable: rows that cannot be used.
    """

    configuration: ActiveConfiguration
    config_key: str
    read_retired: Callable[[str], HostName | None]
    on_retire: Callable[[HostName, int], None]
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        for item in found.items:
            with self.unreadable.isolate(item.key):
                self._apply(item.key, item.value, item.revision, "read")

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        if event.value is not None:
            with self.unreadable.isolate(event.key):
                self._apply(event.key, event.value, event.revision, "watch")

    def _apply(self, key: str, value: bytes, revision: int, source: str) -> None:
        if key == self.config_key:
            self.configuration.offer(value, source)
        retired = self.read_retired(key)
        if retired is not None:
            self.on_retire(retired, revision)


class TargetFollower(Struct):
    """Follows the list of targets.

    :param decode: decodes the row of a key.
    :param read_name: returns the name of the target in a key.
    :ivar loaded: whether the list has been read at least once.
    :ivar unreadable: rows that cannot be used.
    """

    targets: TargetSet
    decode: Callable[[str, bytes], ListedTarget]
    read_name: Callable[[str], TargetName]
    loaded: bool = False
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        rows = {
            self.read_name(item.key): self._decode(item.key, item.value) for item in found.items
        }
        readable = [row for row in rows.values() if row is not None]
        unreadable = [name for name, row in rows.items() if row is None]
        self.targets.replace(readable, monotonic(), unreadable)
        self.loaded = True

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        if event.value is None:
            self.unreadable.clear(event.key)
            self.targets.mark_vanished(self.read_name(event.key), monotonic())
            return
        row = self._decode(event.key, event.value)
        if row is None:
            self.targets.mark_unreadable(self.read_name(event.key))
        else:
            self.targets.add(row, monotonic())

    def _decode(self, key: str, value: bytes) -> ListedTarget | None:
        with self.unreadable.isolate(key):
            try:
                row = self.decode(key, value)
            except DecodingError as error:
                self.unreadable.note(events.TARGET_UNREADABLE, key, str(error))
            else:
                self.unreadable.clear(key)
                return row
        return None


class LiveFollower(Struct):
    """Follows live hosts, ended jobs, held requests and the software versions of services.

    They have a common prefix, so that one watch is enough for all of them.

    :param own: the incarnation of this host.
    :param hosts: live gateways.
    :param data_hosts: live data hosts, which store jobs while the service is unavailable.
    :param end_prefix: prefix of the keys of ended jobs.
    :param on_host_lost: called with each incarnation of a gateway that is no longer listed.
    :param on_job_ended: called with the ID of each ended job.
    :param held_prefix: prefix of the keys of held requests.
    :param on_held: called with each of these keys and its value, None for a deleted one.
    :param versions_key: key of the record of software versions.
    :param on_versions: called with this record, None if it is deleted.
    :ivar listed_keys: keys that were listed, to notice in :meth:`reset` which are gone.
    :ivar was_read: whether the keys have been read at least once.
    :ivar unreadable: rows that cannot be used.
    """

    own: Incarnation
    hosts: HostTable
    data_hosts: HostTable
    end_prefix: str
    on_host_lost: Callable[[Incarnation], None]
    on_job_ended: Callable[[JobId], None]
    held_prefix: str
    on_held: Callable[[str, bytes | None], None]
    versions_key: str
    on_versions: Callable[[bytes | None], None]
    listed_keys: set[str] = field(default_factory=set)
    was_read: bool = False
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        listed = {item.key: item.value for item in found.items}
        changes = [*((key, None) for key in self.listed_keys - set(listed)), *listed.items()]
        for key, value in changes:
            with self.unreadable.isolate(key):
                self._apply(key, value)
        if not self.was_read:
            self.was_read = True
            self._report_former_run()

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        with self.unreadable.isolate(event.key):
            self._apply(event.key, event.value)

    def _report_former_run(self) -> None:
        """Log if the list names a former incarnation of this host; a planned stop removes it."""
        row = self.hosts.hosts.get(read_host(self.own))
        if row is not None and row.incarnation != self.own:
            emit(events.FORMER_RUN_LISTED, incarnation=row.incarnation)

    def _apply(self, key: str, value: bytes | None) -> None:
        if key.startswith(self.end_prefix):
            if value is not None:
                self.on_job_ended(key.removeprefix(self.end_prefix))  # type: ignore[arg-type]
            return
        if key.startswith(self.held_prefix):
            self._track_key(key, value)
            self.on_held(key, value)
            return
        if key == self.versions_key:
            self._track_key(key, value)
            self.on_versions(value)
            return
        if key.startswith(KNOWN_DATA_HOST_PREFIX):
            self._track_key(key, value)
            if value is None:
                self.data_hosts.remove_record(key)
            else:
                self.data_hosts.put_record(key, value)
            return
        table = self._find_table(key)
        if table is None:
            return
        self._track_key(key, value)
        former = self.hosts.incarnations
        if value is None:
            table.remove(key)
        else:
            table.put_readable(key, value)
        for incarnation in former - self.hosts.incarnations:
            self.on_host_lost(incarnation)

    def _track_key(self, key: str, value: bytes | None) -> None:
        """Update the set of listed keys."""
        if value is None:
            self.listed_keys.discard(key)
        else:
            self.listed_keys.add(key)

    def _find_table(self, key: str) -> HostTable | None:
        for table in (self.hosts, self.data_hosts):
            if key.startswith(table.prefix):
                return table
        return None
