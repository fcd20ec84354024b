"""The datagrams that hosts send each other, and the socket that carries them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import ConfigVersion, Incarnation, OrganisationNumber, RequestKey, TargetNumber
from ..routing.suspects import ToldSuspects
from ..telemetry.logs import emit
from ..util.hashing import short_number
from ..wire.addresses import split_address
from .results import ToldResults

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import TargetId

DATAGRAM_FORMAT = 7
"""Version of the datagrams; others are dropped."""


@lru_cache(maxsize=4096)
def number_target(target: TargetId) -> TargetNumber:
    """Return what stands for a target in datagrams: a third of the bytes of its id."""
    return TargetNumber(short_number(target))


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Tells that a host lives, and what others may ask it for.

    :param reaches_store: the host's own calls to the key-value service are answered.
    :param watching: it watches the service and tells others the news.
    :param views: revision of each of its views; empty unless it watches.
    :param proven: milliseconds since each of these was known to lack no change, and its digest.
    :param proofs: rises with each proof that the host got itself.
    :param jobs: short hashes of the jobs that it runs or ran last.
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
    """What one host has in flight, told to the aggregators.

    :param number: rises with each report of one life.
    :param relies: the host relies on the receiver's sums; on those of another one otherwise.
    :param calls: callers' calls in flight, by target.
    :param items: batch items in flight, by target.
    :param waiting: weight of the batch items that could start.
    :param results: results of the host's calls in this life, by target, where they changed
        lately.
    :param suspects: requests that the host saw on targets that ended.
    :param trials: targets that a suspected request of the host has to itself, by request.
    :param clock_ms: the host's clock as it sends this.
    :param grants: calls that the host granted so far, by organisation, where that changed lately.
    """

    format: int
    incarnation: Incarnation
    number: int
    calls: dict[TargetNumber, int]
    items: dict[TargetNumber, int]
    waiting: int
    results: dict[TargetNumber, ToldResults]
    relies: bool = False
    suspects: ToldSuspects = msgspec.field(default_factory=ToldSuspects)
    trials: dict[RequestKey, TargetNumber] = {}
    clock_ms: int = 0
    grants: dict[OrganisationNumber, int] = {}


class Sums(msgspec.Struct, frozen=True, array_like=True):
    """What one aggregator knows of the whole fleet.

    :param loads: calls and items in flight, by target.
    :param results: results of all hosts' calls since the aggregator began, by target, where
        they changed lately.
    :param all_results: *results* has all of these; else only those with new failures.
    :param suspects: requests that were on targets that ended.
    :param trials: targets that a suspected request has to itself, by request.
    :param waiting: weight of the batch items that could start.
    :param giving_way: short numbers of the hosts that take an item back, by target.
    :param relied_on: some host relies on them, so that every change is told.
    :param rooms: tenths of calls that there is room for, of organisations that near their limit.
    :param heard_percent: listed hosts whose grants they include, in a hundred.
    """

    aggregator: Incarnation
    loads: dict[TargetNumber, int]
    results: dict[TargetNumber, ToldResults]
    waiting: int
    giving_way: dict[TargetNumber, list[int]]
    relied_on: bool = True
    all_results: bool = True
    suspects: ToldSuspects = msgspec.field(default_factory=ToldSuspects)
    trials: dict[RequestKey, TargetNumber] = {}
    rooms: dict[OrganisationNumber, int] = {}
    heard_percent: int = 100


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """An aggregator's sums as one host gets them.

    :param number: the receiver's own report that they include; 0 for none.
    :param sums: :class:`Sums`, encoded once for all hosts.
    :param clock_ms: the aggregator's clock as it sends this.
    """

    format: int
    number: int
    sums: msgspec.Raw
    clock_ms: int = 0


Message = Beat | Report | Digest


@dataclass
class DatagramSocket:
    """Sends and receives the hosts' datagrams.

    :param on_message: called with each message and the ``IP:PORT`` it came from.
    """

    on_message: Callable[[Message, str], None]
    transport: asyncio.DatagramTransport | None = None
    decoder: msgspec.msgpack.Decoder[Message] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Message)
    )

    async def start(self, address: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(address, port)
        )

    def stop(self) -> None:
        """Stop to listen."""
        if self.transport is not None:
            self.transport.close()

    def send(self, raw: bytes, address: str) -> None:
        """Send an encoded message to ``IP:PORT``; it may be lost."""
        if self.transport is not None:
            self.transport.sendto(raw, split_address(address))

    def take(self, raw: bytes, address: str) -> None:
        """Decode a datagram and hand it on."""
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
