"""Which software version began a stream: records, and the hosts that keep them. Without I/O.

A caller whose connection breaks resumes its stream at any host, often because the first host is
gone. Each stream is therefore recorded at a few other hosts, which follow from its request: any
host finds them without knowing the first one. A caller that names the call which began the stream
is answered by the record of that stream. One that does not is answered if all streams of its
request, of any caller, have begun at one version.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from ..ids import HostName, RequestId, SoftwareVersion, StreamKey, StreamRequest
from ..util.hashing import hash64, mix64
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterable

HOLDERS = 4
"""Hosts at which a stream is recorded, beside the one that sends it. A stream can be resumed as
long as one of them is left; with half of all hosts lost at once, 15 of 16 streams can."""
ASKED_HOLDERS = 2 * HOLDERS
"""Hosts that are asked: more than those that keep the record, since the host that sent it may not
have known the same hosts as the one that asks."""
MAX_RECORDS = 65_536
"""Records that a host keeps, about 0.2 KB each; beyond that the oldest is dropped. A host of the
largest fleet has some hundred."""


class StreamRecord(Struct, frozen=True):
    """The software version that began a stream.

    :param request: the request that the stream answers.
    :param expires_at: monotonic time from which the stream's caller waits no longer.
    """

    key: StreamKey
    request: StreamRequest
    version: SoftwareVersion
    expires_at: float


class StreamRecords(Struct):
    """The records that this host keeps.

    :ivar records: records by stream, the oldest first.
    :ivar by_request: the streams of each request.
    """

    records: dict[StreamKey, StreamRecord] = field(default_factory=dict)
    by_request: dict[StreamRequest, set[StreamKey]] = field(default_factory=dict)

    def add(self, record: StreamRecord) -> None:
        """Add or replace the record of a stream."""
        self._remove(record.key)
        if len(self.records) >= MAX_RECORDS:
            self._remove(next(iter(self.records)))
        self.records[record.key] = record
        self.by_request.setdefault(record.request, set()).add(record.key)

    def find(self, key: StreamKey, now: float) -> StreamRecord | None:
        """Return the record of a stream, unless it has expired."""
        record = self.records.get(key)
        return None if record is None or record.expires_at <= now else record

    def find_newest(
        self, request: StreamRequest, now: float
    ) -> dict[SoftwareVersion, StreamRecord]:
        """Return the record that expires last of each version among the streams of a request."""
        newest: dict[SoftwareVersion, StreamRecord] = {}
        for key in self.by_request.get(request, ()):
            record = self.records[key]
            known = newest.get(record.version, record)
            if record.expires_at > now and record.expires_at >= known.expires_at:
                newest[record.version] = record
        return newest

    def forget(self, now: float) -> None:
        """Drop records that have expired."""
        for key in [key for key, record in self.records.items() if record.expires_at <= now]:
            self._remove(key)

    def _remove(self, key: StreamKey) -> None:
        record = self.records.pop(key, None)
        if record is not None:
            keys = self.by_request[record.request]
            keys.remove(key)
            if not keys:
                del self.by_request[record.request]


def make_stream_key(call: RequestId) -> StreamKey:
    """Return the key of the stream that a call began."""
    return StreamKey(hash64(call.encode()))


def make_stream_request(host: str, method: str, path: str, body: bytes) -> StreamRequest:
    """Return the hash of what all calls for one stream have in common."""
    parts = (host.lower().encode(), method.encode(), path.encode(), body)
    return StreamRequest(hash64(b"\0".join(parts)))


@lru_cache(maxsize=4096)
def _hash_host(host: HostName) -> int:
    return hash64(host.encode())


def rank_holders(request: StreamRequest, hosts: Iterable[tuple[HostName, str]]) -> list[HostName]:
    """Return the hosts in the order in which they keep the records of a request.

    The order takes one host of each failure domain in turn, so that the loss of a domain leaves
    other holders. A host that joins or leaves changes the order of the others little.
    """
    scored = sorted(
        ((mix64(request ^ _hash_host(host)), host, domain) for host, domain in hosts), reverse=True
    )
    seen: dict[str, int] = {}
    turns: list[tuple[int, int, HostName]] = []
    for position, (_, host, domain) in enumerate(scored):
        turns.append((seen.get(domain, 0), position, host))
        seen[domain] = seen.get(domain, 0) + 1
    return [host for _, _, host in sorted(turns)]
