"""Exchange of the software versions that began streams, by datagrams between hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..routing.stream_versions import (
    ASKED_HOLDERS,
    HOLDERS,
    StreamRecord,
    StreamRecords,
    rank_holders,
)
from ..util.clock import monotonic
from ..util.structs import Struct, field
from .datagrams import DATAGRAM_FORMAT, StreamNotice, StreamQuery, StreamRow

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..ids import HostName, SoftwareVersion, StreamKey, StreamRequest
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
    :ivar ended: set once a host knows the stream, or all have answered.
    """

    unanswered: set[str]
    calls: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class StreamVersions(Struct):
    """Records which software version began a stream at other hosts, and asks them for it.

    :param own: this host.
    :param list_hosts: returns the listed hosts.
    :param list_heard: returns the hosts whose heartbeats arrive.
    :ivar lookups: running lookups by request and stream.
    """

    socket: DatagramSocket
    own: HostName
    list_hosts: Callable[[], Iterable[HostPresence]]
    list_heard: Callable[[], Collection[HostName]]
    records: StreamRecords = field(default_factory=StreamRecords)
    lookups: dict[tuple[StreamRequest, StreamKey | None], Lookup] = field(default_factory=dict)

    def record(
        self,
        request: StreamRequest,
        key: StreamKey,
        version: SoftwareVersion,
        lifetime_s: float,
    ) -> None:
        """Record the version that began a stream, here and at the hosts that keep it.

        :param lifetime_s: seconds for which the caller may resume the stream.
        """
        record = StreamRecord(key, request, version, monotonic() + lifetime_s)
        self.records.add(record)
        raw = encode_notice(request, [record])
        others = self._list_others()
        heard = self.list_heard()
        # A host that has just started may hear none of the others yet.
        live = [host for host in others if host.host in heard] or others
        for address in find_holders(request, live, HOLDERS):
            self.socket.send(raw, address)

    async def find(self, request: StreamRequest, key: StreamKey | None) -> SoftwareVersion | None:
        """Return the version that began a stream.

        None if neither this host nor the hosts that answer in time have a record.

        :param key: None if the caller does not name the stream. Then the version is returned that
            all streams of the request have in common, if there is one.
        """
        record = None if key is None else self.records.find(key, monotonic())
        if record is not None:
            return record.version
        await self._ask(request, key)
        if key is None:
            versions = list(self.records.find_newest(request, monotonic()))
            return versions[0] if len(versions) == 1 else None
        record = self.records.find(key, monotonic())
        return None if record is None else record.version

    def receive(self, notice: StreamNotice, address: str) -> None:
        """Keep the records that another host sends, or note that it has none."""
        now = monotonic()
        for row in notice.rows:
            expires_at = now + row.expires_ms / MILLISECONDS
            self.records.add(StreamRecord(row.key, notice.request, row.version, expires_at))
        found = {row.key for row in notice.rows}
        for (request, key), lookup in self.lookups.items():
            if request == notice.request:
                lookup.unanswered.discard(address)
                if not lookup.unanswered or key in found:
                    lookup.ended.set()

    def answer(self, query: StreamQuery, address: str) -> None:
        """Tell another host what this one knows of a stream."""
        now = monotonic()
        if query.key is None:
            records = list(self.records.find_newest(query.request, now).values())
        else:
            record = self.records.find(query.key, now)
            records = [] if record is None else [record]
        self.socket.send(encode_notice(query.request, records), address)

    async def _ask(self, request: StreamRequest, key: StreamKey | None) -> None:
        """Ask the hosts that keep the records of a request, until they have answered or the time is
        over."""
        lookup = self.lookups.get((request, key))
        if lookup is None:
            holders = find_holders(request, self._list_others(), ASKED_HOLDERS)
            lookup = self.lookups[request, key] = Lookup(set(holders))
        lookup.calls += 1
        raw = msgspec.msgpack.encode(StreamQuery(DATAGRAM_FORMAT, request, key))
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
                self.lookups.pop((request, key), None)

    def _list_others(self) -> list[HostPresence]:
        return [host for host in self.list_hosts() if host.host != self.own]


def encode_notice(request: StreamRequest, records: Iterable[StreamRecord]) -> bytes:
    """Return the datagram that tells of streams of one request."""
    now = monotonic()
    rows = [
        StreamRow(record.key, record.version, round((record.expires_at - now) * MILLISECONDS))
        for record in records
    ]
    return msgspec.msgpack.encode(StreamNotice(DATAGRAM_FORMAT, request, rows))


def find_holders(request: StreamRequest, hosts: Collection[HostPresence], count: int) -> list[str]:
    """Return ``IP:PORT`` of the first *count* hosts that keep the records of a request."""
    addresses = {host.host: host.peer_address for host in hosts}
    ranked = rank_holders(request, [(host.host, host.failure_domain) for host in hosts])
    return [addresses[host] for host in ranked[:count]]
