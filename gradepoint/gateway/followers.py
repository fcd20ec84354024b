"""What this host believes: configuration, targets, live hosts; kept up by watches."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import HostName, Incarnation, JobId, TargetName
    from ..kv.service import RangeResult, WatchEvent
    from ..peers.presence import HostTable
    from .configuration import Configuration
    from .targets import ListedTarget, TargetSet


@dataclass
class ActiveConfiguration:
    """The configuration in force; its version only rises.

    :param decode: decodes a stored configuration.
    :param on_change: called with each new version.
    """

    decode: Callable[[bytes], Configuration]
    on_change: Callable[[Configuration], None]
    current: Configuration | None = None
    raw: bytes = b""

    def offer(self, raw: bytes, source: str) -> None:
        """Take a configuration if it is newer than the one in force."""
        try:
            found = self.decode(raw)
        except msgspec.DecodeError as error:
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


@dataclass
class OperatorFollower:
    """Follows what the operator writes.

    :param config_key: key of the configuration.
    :param read_retired: returns the data host that a key asks to be emptied, or None.
    :param on_retire: told of each such order, with its revision, whenever it is read.
    """

    configuration: ActiveConfiguration
    config_key: str
    read_retired: Callable[[str], HostName | None]
    on_retire: Callable[[HostName, int], None]

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        for item in found.items:
            self._apply(item.key, item.value, item.revision, "read")

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        if event.value is not None:
            self._apply(event.key, event.value, event.revision, "watch")

    def _apply(self, key: str, value: bytes, revision: int, source: str) -> None:
        if key == self.config_key:
            self.configuration.offer(value, source)
        retired = self.read_retired(key)
        if retired is not None:
            self.on_retire(retired, revision)


@dataclass
class TargetFollower:
    """Follows the list of targets.

    :ivar loaded: the list was read at least once.
    """

    targets: TargetSet
    decode: Callable[[str, bytes], ListedTarget]
    read_name: Callable[[str], TargetName]
    loaded: bool = False

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
            self.targets.vanish(self.read_name(event.key), monotonic())
            return
        row = self._decode(event.key, event.value)
        if row is None:
            self.targets.put_unreadable(self.read_name(event.key))
        else:
            self.targets.put(row)

    def _decode(self, key: str, value: bytes) -> ListedTarget | None:
        try:
            return self.decode(key, value)
        except msgspec.DecodeError as error:
            emit(events.TARGET_UNREADABLE, key=key, reason=str(error))
            return None


@dataclass
class LiveFollower:
    """Follows live hosts, ended jobs and requests that are held back: one prefix, so that one watch
    serves them all.

    :param data_hosts: hosts that keep jobs while the service is away.
    :param end_prefix: prefix of the keys that tell of ended jobs.
    :param held_prefix: prefix of the keys of what is held back; *on_held* is told of their values.
    """

    hosts: HostTable
    data_hosts: HostTable
    end_prefix: str
    on_host_lost: Callable[[Incarnation], None]
    on_job_ended: Callable[[JobId], None]
    held_prefix: str
    on_held: Callable[[str, bytes | None], None]
    listed_keys: set[str] = field(default_factory=set)

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        listed = {item.key: item.value for item in found.items}
        for key in self.listed_keys - set(listed):
            self._apply(key, None)
        for key, value in listed.items():
            self._apply(key, value)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        self._apply(event.key, event.value)

    def _apply(self, key: str, value: bytes | None) -> None:
        if key.startswith(self.end_prefix):
            if value is not None:
                self.on_job_ended(key.removeprefix(self.end_prefix))  # type: ignore[arg-type]
            return
        if key.startswith(self.held_prefix):
            self._track_key(key, value)
            self.on_held(key, value)
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
        """Remember which keys are listed, to miss those that are gone."""
        if value is None:
            self.listed_keys.discard(key)
        else:
            self.listed_keys.add(key)

    def _find_table(self, key: str) -> HostTable | None:
        for table in (self.hosts, self.data_hosts):
            if key.startswith(table.prefix):
                return table
        return None
