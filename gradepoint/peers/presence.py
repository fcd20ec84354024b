"""Presence of live hosts in the key-value service: one leased key per host."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import DecodingError, KvError, KvRejected, KvUnavailable
from ..ids import HostName, Incarnation
from ..kv.omission import RowLimit
from ..kv.service import Put, Transaction
from ..kv.unreadable import UnreadableRows
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import new_token
from ..util.structs import Struct, field
from ..wire.addresses import is_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..kv.omission import RowLimits
    from ..kv.service import KeyValueService

INCARNATION_DIGITS = 10
"""Hexadecimal digits that identify an incarnation of a host: 40 bits, sent in every datagram."""
LIVE_PREFIX = "gp/live/"
"""Prefix of the keys that every host watches: presence of hosts and notices of ended jobs."""
PRESENCE_PREFIX = LIVE_PREFIX + "host/"
DATA_HOST_PREFIX = LIVE_PREFIX + "data/"
KNOWN_DATA_HOST_PREFIX = LIVE_PREFIX + "known-data/"
"""Prefix of the records of data hosts, which outlive their leases. They tell a gateway that starts
after an outage which data hosts may hold jobs although they are not listed."""
LEASE_TTL_S = 6
"""Seconds from a host's last lease renewal until it counts as lost. Its jobs make no progress in
that time, so it is a fraction of the shortest time in which jobs are due. Half of it covers a
service that is slow or refuses calls for a moment."""
NO_LEASE = 0
"""Lease of a key that was written without one, as the records of hosts are."""
RENEWAL_S = LEASE_TTL_S * 0.4
"""Seconds between renewals; a renewal may fail for more than a second before the lease expires."""
FIRST_RETRY_S = 0.1
"""Longest delay in seconds until a failed renewal is retried, half as much more with each failure;
half of it is the shortest. It spreads the retries of hosts that start together and are refused
above the store's rate of writes."""
MAX_UNUSED_LEASE_S = LEASE_TTL_S / 3
"""Age in seconds up to which a lease that could not be used at once is still used: enough of its
lifetime must be left for the first renewal."""
GONE_HOST_MEMORY_S = 30.0
"""Seconds for which a host that is no longer listed may still come back with its disk: several
times the longest outage that the system is designed for."""
MAX_PRESENCE_BYTES = 4 << 10
"""Size in bytes of the largest presence value or record that is kept; they have about 150."""
MAX_RETRY_S = 1.0
"""Maximum seconds between retries. A host is listed again well within two seconds after the service
returns, and an unavailable service gets few calls."""


class HostPresence(msgspec.Struct, frozen=True):
    """Value of a host's presence key.

    :param incarnation: identifies one run of the host's process.
    :param peer_address: ``IP:PORT`` at which other hosts reach it, over TCP and UDP.
    """

    host: HostName
    incarnation: Incarnation
    failure_domain: str
    peer_address: str


def decode_presence(host: str, value: bytes) -> HostPresence:
    """Return what a presence key or record says of the host that its key names.

    :raises DecodingError: *value* cannot be decoded, describes another host or has no valid peer
        address.
    """
    row = decoding.decode_json(value, HostPresence)
    if host != row.host or host != read_host(row.incarnation):
        raise DecodingError(f"describes another host: {row.host!r}, {row.incarnation!r}")
    # A datagram to a name would wait for its look-up, and one to port 0 cannot be sent.
    if not is_address(row.peer_address) or row.peer_address.endswith(":0"):
        raise DecodingError(f"invalid peer address: {row.peer_address!r}")
    return row


def make_presence_limits() -> RowLimits:
    """Return the limits of the values of presence keys and records."""

    def make_limit(prefix: str) -> RowLimit:
        def is_presence(key: str, value: bytes) -> bool:
            try:
                decode_presence(key.removeprefix(prefix), value)
            except DecodingError:
                return False
            return True

        return RowLimit(prefix, MAX_PRESENCE_BYTES, is_presence)

    return tuple(map(make_limit, (PRESENCE_PREFIX, DATA_HOST_PREFIX, KNOWN_DATA_HOST_PREFIX)))


def make_incarnation(host: HostName) -> Incarnation:
    """Return a new identifier for a run of *host*'s process."""
    return Incarnation(f"{host}:{new_token()[:INCARNATION_DIGITS]}")


def read_host(incarnation: Incarnation) -> HostName:
    """Return the host that an incarnation belongs to."""
    return HostName(incarnation.rpartition(":")[0])


class Presence(Struct):
    """Keeps this host's presence key and its lease alive.

    :param prefix: prefix of the key, which depends on the role of the host.
    :param make_records: returns the keys that are written together with it and have no lease.
    :param is_listed: whether the view of this host lists it as it is; without a view, its keys are
        read with each renewal.
    :ivar lease: id of the lease; 0 without one.
    :ivar valid_until: monotonic time until which the lease is certainly valid.
    :ivar granted: id of a lease that no key uses yet; 0 without one.
    :ivar granted_at: monotonic time at which it was asked for.
    """

    kv: KeyValueService
    own: HostPresence
    prefix: str = PRESENCE_PREFIX
    make_records: Callable[[], tuple[Put, ...]] = tuple
    is_listed: Callable[[], bool] = lambda: False
    lease: int = 0
    valid_until: float = 0.0
    granted: int = 0
    granted_at: float = 0.0
    lost: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def holds_lease(self) -> bool:
        """Whether the lease is certainly valid, so that other hosts consider this one live."""
        return monotonic() < self.valid_until

    async def run(self) -> None:
        """Renew the lease forever; obtain a new one if it expired."""
        pause_s = FIRST_RETRY_S
        while True:
            try:
                await self._renew()
                pause_s = FIRST_RETRY_S
                await asyncio.sleep(RENEWAL_S)
            except KvError as error:
                emit(events.PRESENCE_FAILING, reason=str(error), lease=self.lease)
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(MAX_RETRY_S, pause_s * 1.5)

    async def _renew(self) -> None:
        asked_at = monotonic()
        if not self.lease or not await self.kv.keep_lease(self.lease):
            if self.lease:
                emit(events.PRESENCE_LAPSED, lease=self.lease)
            self.lease = 0
            granted_at = await self._grant(asked_at)
            try:
                await self.kv.transact(Transaction((), self._make_puts(self.granted)))
            except (KvUnavailable, KvRejected):
                # The lease was not used, so the next attempt needs no new one.
                raise
            except KvError:
                self.granted = 0
                raise
            asked_at = granted_at
            self.lease, self.granted = self.granted, 0
            self.valid_until = asked_at + LEASE_TTL_S
            return
        self.valid_until = asked_at + LEASE_TTL_S
        if not self.is_listed():
            await self._restore_keys()

    def _make_puts(self, lease: int) -> tuple[Put, ...]:
        """Return the presence key under a lease, and the records."""
        key = self.prefix + self.own.host
        return (Put(key, msgspec.json.encode(self.own), lease), *self.make_records())

    async def _restore_keys(self) -> None:
        """Write those of this host's keys again that another writer has changed or deleted.

        A renewal of the lease does not show that. Keys under another lease stay: a second process
        with the name of this host may hold it, and hosts that replace each other's keys in turn
        would have their jobs adopted each time. The key is gone when that lease ends.

        :raises KvError: they could not be read or written.
        """
        lease = self.lease
        changed = []
        for put in self._make_puts(lease):
            stored = await self.kv.get(put.key)
            if stored is not None and stored.lease not in (NO_LEASE, lease):
                return
            if stored is None or stored.value != put.value:
                changed.append(put)
        # A host that stops has revoked its lease meanwhile.
        if changed and lease == self.lease:
            emit(events.PRESENCE_OVERWRITTEN, keys=" ".join(put.key for put in changed))
            await self.kv.transact(Transaction((), tuple(changed)))

    async def _grant(self, now: float) -> float:
        """Obtain a lease unless there is an unused one that is new enough.

        :returns: monotonic time from which its lifetime certainly counts.
        """
        if not self.granted or now - self.granted_at >= MAX_UNUSED_LEASE_S:
            self.granted = await self.kv.grant_lease(LEASE_TTL_S)
            self.granted_at = now
        return self.granted_at

    async def withdraw(self) -> None:
        """Revoke the lease at once, before a planned shutdown."""
        lease, self.lease = self.lease, 0
        self.valid_until = 0.0
        if lease:
            try:
                await self.kv.revoke_lease(lease)
            except KvError as error:
                emit(events.PRESENCE_FAILING, reason=str(error), lease=lease)


class HostTable(Struct):
    """Live hosts as listed in the key-value service.

    :param prefix: prefix of their keys.
    :ivar hosts: listed hosts by name.
    :ivar known: hosts that have a record, listed or not.
    :ivar gone: hosts that are no longer listed, with the monotonic time of removal, or of the first
        read of their record if they were not listed then.
    :ivar unreadable: rows that cannot be used.
    """

    prefix: str = PRESENCE_PREFIX
    hosts: dict[HostName, HostPresence] = field(default_factory=dict)
    known: dict[HostName, HostPresence] = field(default_factory=dict)
    gone: dict[HostName, tuple[HostPresence, float]] = field(default_factory=dict)
    unreadable: UnreadableRows = field(default_factory=UnreadableRows)

    @property
    def incarnations(self) -> set[Incarnation]:
        """The incarnations that are listed now."""
        return {row.incarnation for row in self.hosts.values()}

    def find_current(self, heard: Iterable[Incarnation]) -> set[Incarnation]:
        """Return an incarnation for each listed host: the listed one, or another one of the same
        host if that one is heard and the listed one is not.

        After a restart of all hosts, the list names former incarnations until it is read again.

        :param heard: incarnations whose datagrams arrive.
        """
        by_host = {read_host(incarnation): incarnation for incarnation in heard}
        known = set(heard)
        return {
            row.incarnation if row.incarnation in known else by_host.get(row.host, row.incarnation)
            for row in self.hosts.values()
        }

    def is_replaced(self, incarnation: Incarnation) -> bool:
        """Whether another incarnation of the same host is listed, so that this one has ended."""
        row = self.hosts.get(read_host(incarnation))
        return row is not None and row.incarnation != incarnation

    def put(self, key: str, value: bytes) -> None:
        """Add or update a host from its key.

        :raises DecodingError: see :func:`decode_presence`.
        """
        row = decode_presence(key.removeprefix(self.prefix), value)
        if self.hosts.get(row.host) != row:
            emit(events.MEMBER_JOINED, member=row.host, incarnation=row.incarnation)
        self.hosts[row.host] = row
        self.unreadable.clear(key)
        self.gone.pop(row.host, None)

    def put_readable(self, key: str, value: bytes) -> None:
        """Add or update a host from its key; remove the host if the value cannot be read."""
        try:
            self.put(key, value)
        except DecodingError as error:
            self.unreadable.note(events.HOST_UNREADABLE, key, str(error))
            self._drop(HostName(key.removeprefix(self.prefix)))

    def remove(self, key: str) -> None:
        """Remove a host whose key was deleted."""
        self.unreadable.clear(key)
        self._drop(HostName(key.removeprefix(self.prefix)))

    def _drop(self, host: HostName) -> None:
        row = self.hosts.pop(host, None)
        if row is not None:
            self.gone[row.host] = row, monotonic()
            emit(events.MEMBER_LOST, member=row.host, incarnation=row.incarnation)

    def put_record(self, key: str, value: bytes) -> None:
        """Take the record of a host; a host that is not listed counts as gone from then on.

        Reading the same record again does not prolong that.
        """
        try:
            row = decode_presence(key.removeprefix(KNOWN_DATA_HOST_PREFIX), value)
        except DecodingError as error:
            self.unreadable.note(events.HOST_UNREADABLE, key, str(error))
            return
        self.unreadable.clear(key)
        is_new = self.known.get(row.host) != row
        self.known[row.host] = row
        if is_new and row.host not in self.hosts:
            self.gone[row.host] = row, monotonic()
            emit(events.MEMBER_LOST, member=row.host, incarnation=row.incarnation)

    def remove_record(self, key: str) -> None:
        """Forget the record of a host that has been retired."""
        self.unreadable.clear(key)
        self.known.pop(HostName(key.removeprefix(KNOWN_DATA_HOST_PREFIX)), None)

    def find_missing(self) -> list[HostPresence]:
        """Return the hosts that are gone since :data:`GONE_HOST_MEMORY_S` seconds or less."""
        oldest = monotonic() - GONE_HOST_MEMORY_S
        self.gone = {name: lost for name, lost in self.gone.items() if lost[1] >= oldest}
        return [row for row, _ in self.gone.values()]
