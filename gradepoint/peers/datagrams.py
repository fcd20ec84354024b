"""Datagrams between hosts, and the socket that sends and receives them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import ConfigVersion, Incarnation, OrganisationNumber, RequestKey, TargetNumber
from ..routing.suspects import SuspectsMessage
from ..telemetry.logs import emit
from ..util.hashing import hash32
from ..wire.addresses import split_address
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
    :param demands: calls in flight and lately refused, by organisation, while there is a shortage.
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
    trials: dict[RequestKey, TargetNumber] = {}
    clock_ms: int = 0
    grants: dict[OrganisationNumber, int] = {}
    paces: dict[TargetNumber, tuple[int, int]] = {}
    refused: list[int] = []
    demands: dict[OrganisationNumber, int] = {}


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
        second, by target; without all results, only those that have changed much.
    :param refused: short numbers of the requests that any host refused lately for lack of room.
    :param shares: percentage of its calls that an organisation above its fair share may send, for
        those organisations only.
    """

    aggregator: Incarnation
    loads: dict[TargetNumber, int]
    results: dict[TargetNumber, ReportedResults]
    waiting: int
    preempting: dict[TargetNumber, list[int]]
    relied_on: bool = True
    all_results: bool = True
    suspects: SuspectsMessage = msgspec.field(default_factory=SuspectsMessage)
    trials: dict[RequestKey, TargetNumber] = {}
    rooms: dict[OrganisationNumber, int] = {}
    heard_percent: int = 100
    items: dict[TargetNumber, int] = {}
    paces: dict[TargetNumber, int] = {}
    refused: list[int] = []
    shares: dict[OrganisationNumber, int] = {}


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


Message = Heartbeat | Report | Digest


@dataclass
class DatagramSocket:
    """Sends and receives datagrams.

    :param on_message: called with each message and the ``IP:PORT`` it came from.
    """

    on_message: Callable[[Message, str], None]
    transport: asyncio.DatagramTransport | None = None
    decoder: msgspec.msgpack.Decoder[Message] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Message)
    )

    async def start(self, address: str, port: int) -> None:
        """Bind the socket and listen for datagrams."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(address, port)
        )

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send(self, raw: bytes, address: str) -> None:
        """Send an encoded message to ``IP:PORT``; delivery is not guaranteed."""
        if self.transport is not None:
            self.transport.sendto(raw, split_address(address))

    def take(self, raw: bytes, address: str) -> None:
        """Decode a datagram and pass it on; drop it if it is malformed or of another format
        version."""
        try:
            message = self.decoder.decode(raw)
        except msgspec.DecodeError as error:
            emit(events.BEAT_DROPPED, reason=str(error), member=address)
            return
        if message.format == DATAGRAM_FORMAT:
            self.on_message(message, address)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, socket: DatagramSocket) -> None:
        self.socket = socket

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        ip, port = addr
        self.socket.take(data, f"{ip}:{port}")
