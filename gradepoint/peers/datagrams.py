"""Datagrams between hosts, and the socket that sends and receives them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Protocol, cast

import msgspec

from .. import events
from ..errors import DecodingError
from ..ids import (
    CapacityClass,
    ConfigVersion,
    Incarnation,
    OrganisationNumber,
    ServiceName,
    SoftwareVersion,
    StreamKey,
    StreamRequest,
    SuspectKey,
    TargetNumber,
)
from ..routing.suspects import SuspectsMessage
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import hash32
from ..wire.addresses import is_address, split_address
from .capacity import UNKNOWN_CLASS
from .results import ReportedResults

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import TargetId

DATAGRAM_FORMAT = 8
"""Version of the datagram format; datagrams of other versions are dropped."""


@lru_cache(maxsize=4096)
def number_target(target: TargetId) -> TargetNumber:
    """Return the number that represents a target in datagrams; it takes a third of the bytes of the
    id."""
    return TargetNumber(hash32(target))


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat of a host: shows that it is alive and what others may ask it for.

    :param incarnation: the sender's incarnation.
    :param config_version: version of its current configuration.
    :param reaches_store: the host's own calls to the key-value service are answered.
    :param watching: it watches the service and passes changes on to others.
    :param views: revision of each of its views; empty unless it watches.
    :param jobs: short hashes of the jobs that it runs or ran last.
    :param proven: by view, milliseconds since the view was known to miss no change, and the digest
        of its contents.
    :param proofs: number of proofs that the host obtained itself.
    :param capacity: class of its link and memory; see :mod:`.capacity`.
    """

    format: int
    incarnation: Incarnation
    config_version: ConfigVersion
    reaches_store: bool
    watching: bool
    views: dict[str, int]
    jobs: list[int]
    proven: dict[str, tuple[int, int]]
    proofs: int
    capacity: CapacityClass = UNKNOWN_CLASS


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """What one host has in flight, sent to the aggregators.

    :param number: rises with each report of an incarnation.
    :param calls: callers' calls in flight, by target.
    :param items: batch items in flight, by target.
    :param waiting: weight of the batch items that could start.
    :param results: results of the incarnation's calls by target, where they changed recently.
    :param relies: the host relies on the receiver's sums, and not on those of another aggregator.
    :param suspects: requests that the host saw on targets that crashed.
    :param trials: target reserved for the host's trial of a suspected request, by request.
    :param clock_ms: the host's clock when it sends this.
    :param grants: calls granted by the host so far by organisation, where this changed recently.
    :param paces: events received from a target since the host's last report, and the milliseconds
        that these took over all answers, by target.
    :param refused: short numbers of the requests that the host refused lately for lack of room.
    :param demands: demand of the host's largest organisations while there is a shortage, in tenths
        of a slot: calls in flight, and refused calls per second times the seconds of a call.
    :param newest_jobs: creation revision of the least urgent job that has an item at a target, by
        target; the largest for a late job. It stays the same over time, unlike an age, so that it
        causes no reports.
    """

    format: int
    incarnation: Incarnation
    number: int
    calls: dict[TargetNumber, int]
    items: dict[TargetNumber, int]
    waiting: int
    results: dict[TargetNumber, ReportedResults]
    relies: bool = False
    suspects: SuspectsMessage = msgspec.field(default_factory=SuspectsMessage)
    trials: dict[SuspectKey, TargetNumber] = {}
    clock_ms: int = 0
    grants: dict[OrganisationNumber, int] = {}
    paces: dict[TargetNumber, tuple[int, int]] = {}
    refused: list[int] = []
    demands: dict[OrganisationNumber, int] = {}
    newest_jobs: dict[TargetNumber, int] = {}


class Sums(msgspec.Struct, frozen=True, array_like=True):
    """Sums of one aggregator over all hosts.

    :param loads: calls and items in flight, by target.
    :param results: results of all hosts' calls by target since the aggregator started, where they
        changed recently.
    :param waiting: weight of the batch items that could start.
    :param preempting: short numbers of the hosts that must preempt an item, by target.
    :param relied_on: some host relies on these sums, so every change is sent.
    :param all_results: *results* contains all recent changes; otherwise only new failures.
    :param suspects: requests that were on targets that crashed.
    :param trials: target reserved for the trial of a suspected request, by request.
    :param rooms: room of organisations near their limit, in tenths of calls.
    :param heard_percent: percentage of the listed hosts whose grants are included.
    :param items: batch items in flight, by target; they are included in *loads*.
    :param paces: median tenths of a millisecond between two events of an answer in about the last
        second, by target.
    :param refused: short numbers of the requests that any host refused lately for lack of room.
    :param shares: percentage of its calls that an organisation above its fair share may send, for
        those organisations only.
    :param call_rates: mean tenths of calls per second that arrive at each target of a service;
        empty until the aggregator has measured them.
    :param all_paces: *paces* contains all gaps; otherwise only those that have changed much.
    """

    aggregator: Incarnation
    loads: dict[TargetNumber, int]
    results: dict[TargetNumber, ReportedResults]
    waiting: int
    preempting: dict[TargetNumber, list[int]]
    relied_on: bool = True
    all_results: bool = True
    suspects: SuspectsMessage = msgspec.field(default_factory=SuspectsMessage)
    trials: dict[SuspectKey, TargetNumber] = {}
    rooms: dict[OrganisationNumber, int] = {}
    heard_percent: int = 100
    items: dict[TargetNumber, int] = {}
    paces: dict[TargetNumber, int] = {}
    refused: list[int] = []
    shares: dict[OrganisationNumber, int] = {}
    call_rates: dict[ServiceName, int] = {}
    all_paces: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Sums of an aggregator, addressed to one host.

    :param number: number of the receiver's last report that is included; 0 for none.
    :param sums: :class:`Sums`, encoded once for all hosts.
    :param clock_ms: the aggregator's clock when it sends this.
    """

    format: int
    number: int
    sums: msgspec.Raw
    clock_ms: int = 0


class RelayedDigest(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Sums of an aggregator, addressed to one host and to those that it relays them to.

    :param number: as in :class:`Digest`, for the host that relays.
    :param sums: as in :class:`Digest`.
    :param clock_ms: as in :class:`Digest`.
    :param receivers: ``IP:PORT`` of each host to relay the digest to, and the number for it.
    """

    format: int
    number: int
    sums: msgspec.Raw
    clock_ms: int
    receivers: list[tuple[str, int]]


class StreamRow(msgspec.Struct, frozen=True, array_like=True):
    """The software version that began a stream.

    :param expires_ms: milliseconds for which the caller may still resume the stream.
    """

    key: StreamKey
    version: SoftwareVersion
    expires_ms: int


class StreamNotice(msgspec.Struct, frozen=True, array_like=True, tag="stream"):
    """Streams of one request, sent to the hosts that record them and as an answer to
    :class:`StreamQuery`.

    :param rows: the streams; empty if the sender has no record.
    """

    format: int
    request: StreamRequest
    rows: list[StreamRow] = []


class StreamQuery(msgspec.Struct, frozen=True, array_like=True, tag="stream-query"):
    """Asks which software version began a stream.

    :param key: None asks for the newest stream of each version.
    """

    format: int
    request: StreamRequest
    key: StreamKey | None = None


Message = Heartbeat | Report | Digest | RelayedDigest | StreamNotice | StreamQuery

MAX_DATAGRAM_BYTES = 65_507
"""Maximum payload of a UDP datagram over IPv4."""
MAX_QUEUED_BYTES = 640 << 10
"""Bytes that may wait in the event loop until the socket takes them; without a bound they grew
without end where the link was slower than what was sent. On a link of 15 Mbit/s they wait 0.35 s,
less than half of the time after which a digest is outdated."""
MAX_QUEUED_DIGEST_BYTES = 512 << 10
"""Bytes that may wait when a digest is to be sent: one digest to each of 400 hosts, sent at once,
takes 440 KB. The rest is for heartbeats and reports, which are small and keep this host in the
fleet: a heartbeat to 400 hosts takes 60 KB."""
DROP_REPORT_GAP_S = 1.0
"""Minimum seconds between two log lines on dropped datagrams."""


class DatagramTransport(Protocol):
    """What is used of asyncio's datagram transports."""

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """See :meth:`asyncio.DatagramTransport.sendto`."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait for the socket to take them."""

    def close(self) -> None:
        """See :meth:`asyncio.BaseTransport.close`."""


decode_message = decoding.make_msgpack_decoder(Message)


@dataclass
class DatagramSocket:
    """Sends and receives datagrams.

    Datagrams that cannot be sent soon are dropped, since later ones supersede them.

    :param on_message: called with each message and the ``IP:PORT`` it came from.
    :ivar dropped: datagrams dropped since the last log line about them.
    :ivar drops_reported_at: monotonic time of that line.
    :ivar malformed_reported_at: monotonic time of the last log line about a malformed datagram.
    """

    on_message: Callable[[Message, str], None]
    transport: DatagramTransport | None = None
    dropped: int = 0
    drops_reported_at: float = float("-inf")
    malformed_reported_at: float = float("-inf")

    async def start(self, address: str, port: int) -> None:
        """Bind the socket and listen for datagrams."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(address, port)
        )
        # asyncio.DatagramTransport does not declare get_write_buffer_size.
        self.transport = cast("DatagramTransport", transport)

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send(self, raw: bytes, address: str) -> None:
        """Send an encoded message to ``IP:PORT``; delivery is not guaranteed."""
        if self.transport is None:
            return
        if not is_address(address):
            # asyncio looks up names while the event loop waits, and closes the transport at errors
            # that are no OSError, such as a port out of range.
            self._drop("bad-address")
        elif len(raw) > MAX_DATAGRAM_BYTES:
            self._drop("too-long")
        elif not self._may_queue(raw, MAX_QUEUED_BYTES):
            self._drop("queue-full")
        else:
            self.transport.sendto(raw, split_address(address))

    def send_digest(self, raw: bytes, address: str) -> bool:
        """Send an encoded digest unless much is queued; return whether it was passed on."""
        if not self._may_queue(raw, MAX_QUEUED_DIGEST_BYTES):
            self._drop("queue-full")
            return False
        self.send(raw, address)
        return True

    def _may_queue(self, raw: bytes, limit: int) -> bool:
        queued = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return not queued or queued + len(raw) <= limit

    def _drop(self, reason: str) -> None:
        metrics.shared().dropped_datagrams.add(1, {"reason": reason})
        self.dropped += 1
        now = monotonic()
        if now - self.drops_reported_at >= DROP_REPORT_GAP_S:
            emit(events.DATAGRAMS_DROPPED, reason=reason, count=self.dropped)
            self.dropped, self.drops_reported_at = 0, now

    def take(self, raw: bytes, address: str) -> None:
        """Decode a datagram and pass it on; drop it if it is malformed or of another format
        version."""
        try:
            message = decode_message(raw)
        except DecodingError as error:
            metrics.shared().dropped_datagrams.add(1, {"reason": "malformed"})
            now = monotonic()
            if now - self.malformed_reported_at >= DROP_REPORT_GAP_S:
                emit(events.BEAT_DROPPED, reason=str(error), member=address)
                self.malformed_reported_at = now
            return
        if message.format == DATAGRAM_FORMAT:
            self.on_message(message, address)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, socket: DatagramSocket) -> None:
        self.socket = socket

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        ip, port = addr
        self.socket.take(data, f"{ip}:{port}")
