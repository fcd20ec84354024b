"""Exchange of the software versions that began streams, by datagrams between hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..routing.stream_versions import (
    ASKED_HOLDERS,
    HOLDERS,
    StreamRecords,
    make_stream_key,
    rank_holders,
)
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .datagrams import DATAGRAM_FORMAT, StreamNotice, StreamQuery

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..ids import HostName, RequestId, SoftwareVersion, StreamKey
    from .datagrams import DatagramSocket
    from .presence import HostPresence

MAX_LOOKUP_S = 0.3
"""Seconds after which a lookup ends without an answer, so that the caller can still be served by
another host: the usual goal of a first event."""
QUERY_GAP_S = 0.05
"""Seconds until hosts that have not answered are asked again, since datagrams may be lost. A round
trip between regions takes less."""
MILLISECONDS = 1000


class Lookup(Struct, eq=False):
    """A question to other hosts that is not answered yet.

    :param unanswered: ``IP:PORT`` of the hosts that have not answered.
    :ivar calls: number of calls that wait for the answer.
    :ivar ended: set once a host knows the version, or all have answered.
    """

    unanswered: set[str]
    calls: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class StreamVersions(Struct):
    """Records which software version began a stream at other hosts, and asks them for it.

    :param own: this host.
    :param list_hosts: returns the listed hosts.
    :param list_heard: returns the hosts whose heartbeats arrive.
    :ivar lookups: running lookups by stream.
    """

    socket: DatagramSocket
    own: HostName
    list_hosts: Callable[[], Iterable[HostPresence]]
    list_heard: Callable[[], Collection[HostName]]
    records: StreamRecords = field(default_factory=StreamRecords)
    lookups: dict[StreamKey, Lookup] = field(default_factory=dict)

    def record(self, request: RequestId, version: SoftwareVersion, lifetime_s: float) -> None:
        """Record the version that began a stream, here and at the hosts that keep it.

        :param request: id of the call that brings the first event.
        :param lifetime_s: seconds for which the caller may resume the stream.
        """
        key = make_stream_key(request)
        self.records.add(key, version, monotonic() + lifetime_s)
        notice = StreamNotice(DATAGRAM_FORMAT, key, version, round(lifetime_s * MILLISECONDS))
        raw = msgspec.msgpack.encode(notice)
        others = self._list_others()
        heard = self.list_heard()
        # A host that has just started may hear none of the others yet.
        for address in find_holders(key, [o for o in others if o.host in heard] or others, HOLDERS):
            self.socket.send(raw, address)

    async def find(self, request: RequestId) -> SoftwareVersion | None:
        """Return the version that began a stream; None if neither this host nor the hosts that
        answer in time have a record.

        :param request: id of the call that brought the first event.
        """
        key = make_stream_key(request)
        record = self.records.find(key, monotonic())
        if record is None:
            await self._ask(key)
            record = self.records.find(key, monotonic())
        return None if record is None else record.version

    def receive(self, notice: StreamNotice, address: str) -> None:
        """Keep a record that another host sends, or note that it has none."""
        lookup = self.lookups.get(notice.key)
        if notice.version is not None:
            expires_at = monotonic() + notice.expires_ms / MILLISECONDS
            self.records.add(notice.key, notice.version, expires_at)
            if lookup is not None:
                lookup.ended.set()
        elif lookup is not None:
            lookup.unanswered.discard(address)
            if not lookup.unanswered:
                lookup.ended.set()

    def answer(self, query: StreamQuery, address: str) -> None:
        """Tell another host what this one knows of a stream."""
        now = monotonic()
        record = self.records.find(query.key, now)
        notice = StreamNotice(DATAGRAM_FORMAT, query.key)
        if record is not None:
            expires_ms = round((record.expires_at - now) * MILLISECONDS)
            notice = StreamNotice(DATAGRAM_FORMAT, query.key, record.version, expires_ms)
        self.socket.send(msgspec.msgpack.encode(notice), address)

    async def _ask(self, key: StreamKey) -> None:
        """Ask the hosts that keep the record of a stream, until one has it or the time is over."""
        lookup = self.lookups.get(key)
        if lookup is None:
            holders = find_holders(key, self._list_others(), ASKED_HOLDERS)
            lookup = self.lookups[key] = Lookup(set(holders))
        lookup.calls += 1
        raw = msgspec.msgpack.encode(StreamQuery(DATAGRAM_FORMAT, key))
        until = monotonic() + MAX_LOOKUP_S
        try:
            while lookup.unanswered and not lookup.ended.is_set() and monotonic() < until:
                for address in lookup.unanswered:
                    self.socket.send(raw, address)
                try:
                    async with asyncio.timeout(QUERY_GAP_S):
                        await lookup.ended.wait()
                except TimeoutError:
                    continue
        finally:
            lookup.calls -= 1
            if not lookup.calls:
                self.lookups.pop(key, None)

    def _list_others(self) -> list[HostPresence]:
        return [host for host in self.list_hosts() if host.host != self.own]


def find_holders(key: StreamKey, hosts: Collection[HostPresence], count: int) -> list[str]:
    """Return ``IP:PORT`` of the first *count* hosts that keep the record of a stream."""
    addresses = {host.host: host.peer_address for host in hosts}
    ranked = rank_holders(key, [(host.host, host.failure_domain) for host in hosts])
    return [addresses[host] for host in ranked[:count]]
