"""Presence of live hosts in the key-value service: one leased key for each host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import KvError
from ..ids import HostName, Incarnation
from ..kv.service import Put, Transaction
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import new_token
from ..wire.addresses import split_address

if TYPE_CHECKING:
    from ..kv.service import KeyValueService

LIFE_DIGITS = 10
"""Hexadecimal digits that name a life of one host: 40 bits, in every datagram."""
LIVE_PREFIX = "gp/live/"
"""Prefix of what every host follows: presence of hosts and notices of ended jobs."""
PRESENCE_PREFIX = LIVE_PREFIX + "host/"
DATA_HOST_PREFIX = LIVE_PREFIX + "data/"
LEASE_TTL_S = 6
"""Seconds after its last renewal until a host counts as lost. Its jobs rest that long, so it
is a fraction of the shortest time in which jobs are due; half of it bridges a store that is
slow or refuses calls for a moment."""
RENEWAL_S = LEASE_TTL_S * 0.4
"""Seconds between renewals: one may fail for longer than a second before the lease lapses."""
RETRY_S = 0.4
"""Seconds until a failed renewal is tried again, doubled each time."""
REMEMBERED_S = 30.0
"""Seconds for which a host that is not listed any more may still come back with its disk:
several of the longest outages that are planned for."""
LONGEST_RETRY_S = 1.0
"""Seconds of the longest pause between tries: a host is listed again well within two seconds
of the service's return, and a service that is away is asked little."""


class HostPresence(msgspec.Struct, frozen=True):
    """What a live host says of itself.

    :param incarnation: names one life of its process.
    :param peer_address: ``IP:PORT`` at which other hosts reach it, over TCP and UDP.
    """

    host: HostName
    incarnation: Incarnation
    failure_domain: str
    peer_address: str


def make_incarnation(host: HostName) -> Incarnation:
    """Return a new name for a life of *host*'s process."""
    return Incarnation(f"{host}:{new_token()[:LIFE_DIGITS]}")


def read_host(incarnation: Incarnation) -> HostName:
    """Return the host that a life belongs to."""
    return HostName(incarnation.rpartition(":")[0])


@dataclass
class Presence:
    """Keeps this host's key alive.

    :param prefix: of the key; it tells what the host does.
    :ivar valid_until: monotonic time until which the lease certainly stands.
    """

    kv: KeyValueService
    own: HostPresence
    prefix: str = PRESENCE_PREFIX
    lease: int = 0
    valid_until: float = 0.0
    lost: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def holds_lease(self) -> bool:
        """Whether other hosts certainly take this one for live."""
        return monotonic() < self.valid_until

    async def run(self) -> None:
        """Renew the lease for ever; take a new one where it lapsed."""
        pause_s = RETRY_S
        while True:
            try:
                await self._renew()
                pause_s = RETRY_S
                await asyncio.sleep(RENEWAL_S)
            except KvError as error:
                emit(events.PRESENCE_FAILING, reason=str(error), lease=self.lease)
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, pause_s * 2)

    async def _renew(self) -> None:
        asked_at = monotonic()
        if not self.lease or not await self.kv.keep_lease(self.lease):
            if self.lease:
                emit(events.PRESENCE_LAPSED, lease=self.lease)
            self.lease = 0
            lease = await self.kv.grant_lease(LEASE_TTL_S)
            key = self.prefix + self.own.host
            put = Put(key, msgspec.json.encode(self.own), lease)
            await self.kv.transact(Transaction((), (put,)))
            self.lease = lease
        self.valid_until = asked_at + LEASE_TTL_S

    async def withdraw(self) -> None:
        """Take this host out at once, before a planned end."""
        lease, self.lease = self.lease, 0
        self.valid_until = 0.0
        if lease:
            try:
                await self.kv.revoke_lease(lease)
            except KvError as error:
                emit(events.PRESENCE_FAILING, reason=str(error), lease=lease)


@dataclass
class HostTable:
    """Live hosts as the key-value service lists them.

    :param prefix: of their keys.
    :ivar gone: hosts that are not listed any more, each with the monotonic time of its loss.
    """

    prefix: str = PRESENCE_PREFIX
    hosts: dict[HostName, HostPresence] = field(default_factory=dict)
    gone: dict[HostName, tuple[HostPresence, float]] = field(default_factory=dict)

    @property
    def incarnations(self) -> set[Incarnation]:
        """The lives that are listed now."""
        return {row.incarnation for row in self.hosts.values()}

    def is_replaced(self, incarnation: Incarnation) -> bool:
        """Whether a newer life of the same host is listed, so that this one has ended."""
        row = self.hosts.get(read_host(incarnation))
        return row is not None and row.incarnation != incarnation

    def put(self, key: str, value: bytes) -> None:
        """Take a host's key.

        :raises msgspec.DecodeError: *value* names no host that can be reached.
        """
        row = msgspec.json.decode(value, type=HostPresence)
        try:
            split_address(row.peer_address)
        except ValueError as error:
            raise msgspec.ValidationError(f"no address: {row.peer_address!r}") from error
        if self.hosts.get(row.host) != row:
            emit(events.MEMBER_JOINED, member=row.host, incarnation=row.incarnation)
        self.hosts[row.host] = row
        self.gone.pop(row.host, None)

    def put_readable(self, key: str, value: bytes) -> None:
        """Take a host's key if its value can be read, and list no host there otherwise."""
        try:
            self.put(key, value)
        except msgspec.DecodeError as error:
            emit(events.HOST_UNREADABLE, key=key, reason=str(error))
            self.remove(key)

    def remove(self, key: str) -> None:
        """Take note that a host's key is gone."""
        row = self.hosts.pop(HostName(key.removeprefix(self.prefix)), None)
        if row is not None:
            self.gone[row.host] = row, monotonic()
            emit(events.MEMBER_LOST, member=row.host, incarnation=row.incarnation)

    def find_missing(self) -> list[HostPresence]:
        """Return the hosts that are not listed, but were :data:`REMEMBERED_S` ago or later."""
        oldest = monotonic() - REMEMBERED_S
        self.gone = {name: lost for name, lost in self.gone.items() if lost[1] >= oldest}
        return [row for row, _ in self.gone.values()]
