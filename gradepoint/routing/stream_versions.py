"""Which software version began a stream: records, and the hosts that keep them. Without I/O.

A caller whose connection breaks resumes its stream at any host, often because the first host is
gone. Each stream is therefore recorded at a few other hosts, which follow from the id of the call
that began it: any host finds them without knowing the first one.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from ..ids import HostName, RequestId, SoftwareVersion, StreamKey
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

    :param expires_at: monotonic time from which the stream's caller waits no longer.
    """

    version: SoftwareVersion
    expires_at: float


class StreamRecords(Struct):
    """The records that this host keeps, by stream."""

    records: dict[StreamKey, StreamRecord] = field(default_factory=dict)

    def add(self, key: StreamKey, version: SoftwareVersion, expires_at: float) -> None:
        """Add or replace the record of a stream."""
        self.records.pop(key, None)
        if len(self.records) >= MAX_RECORDS:
            del self.records[next(iter(self.records))]
        self.records[key] = StreamRecord(version, expires_at)

    def find(self, key: StreamKey, now: float) -> StreamRecord | None:
        """Return the record of a stream, unless it has expired."""
        record = self.records.get(key)
        return None if record is None or record.expires_at <= now else record

    def forget(self, now: float) -> None:
        """Drop records that have expired."""
        for key in [key for key, record in self.records.items() if record.expires_at <= now]:
            del self.records[key]


def make_stream_key(request: RequestId) -> StreamKey:
    """Return the key of the stream that a call began."""
    return StreamKey(hash64(request))


@lru_cache(maxsize=4096)
def _hash_host(host: HostName) -> int:
    return hash64(host)


def rank_holders(key: StreamKey, hosts: Iterable[tuple[HostName, str]]) -> list[HostName]:
    """Return the hosts in the order in which they keep the record of a stream.

    The order takes one host of each failure domain in turn, so that the loss of a domain leaves
    other holders. A host that joins or leaves changes the order of the others little.
    """
    scored = sorted(
        ((mix64(key ^ _hash_host(host)), host, domain) for host, domain in hosts), reverse=True
    )
    seen: dict[str, int] = {}
    turns: list[tuple[int, int, HostName]] = []
    for position, (_, host, domain) in enumerate(scored):
        turns.append((seen.get(domain, 0), position, host))
        seen[domain] = seen.get(domain, 0) + 1
    return [host for _, _, host in sorted(turns)]
