"""An address to which no datagram can be sent costs no other host its datagrams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from gradepoint.errors import DecodingError
from gradepoint.ids import HostName, Incarnation, StreamRequest
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, DatagramSocket, StreamQuery
from gradepoint.peers.presence import HostPresence, decode_presence
from gradepoint.standins.ports import free_port
from tests.support.platform import Deployment, run_in_virtual_time

if TYPE_CHECKING:
    from gradepoint.peers.datagrams import Message

BAD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    f"127.0.0.1:{10**30}",
    "127.0.0.1\0:9",
    "\ud800:9",
    "a..b:9",
    "localhost:9",
    "127.0.0.1",
    "127.0.0.1:x",
)


def make_presence(address: str) -> bytes:
    """Return the presence of host ``other`` with a peer address."""
    row = HostPresence(HostName("other"), Incarnation("other:1"), "zone-a", address)
    return msgspec.json.encode(row)


def test_datagrams_to_bad_addresses_leave_the_socket_open() -> None:
    # asyncio closes a datagram transport at the first error that is no OSError. All heartbeats
    # and reports of the host ended with it, without a log line.
    async def work() -> None:
        taken: list[Message] = []
        port = free_port()
        receiver = DatagramSocket(lambda message, _: taken.append(message))
        sender = DatagramSocket(lambda *_: None)
        await receiver.start("127.0.0.1", port)
        await sender.start("127.0.0.1", 0)
        query = StreamQuery(DATAGRAM_FORMAT, StreamRequest(1))
        raw = msgspec.msgpack.encode(query)
        for address in BAD_ADDRESSES:
            sender.send(raw, address)
            assert sender.send_digest(raw, address)
        async with asyncio.timeout(10.0):
            while not taken:
                sender.send(raw, f"127.0.0.1:{port}")
                await asyncio.sleep(0.01)
        sender.stop()
        receiver.stop()
        assert taken[0] == query

    asyncio.run(work())


@pytest.mark.parametrize("address", [row for row in BAD_ADDRESSES if "\ud800" not in row])
def test_presence_with_a_bad_address_is_unreadable(address: str) -> None:
    with pytest.raises(DecodingError):
        decode_presence("other", make_presence(address))


def test_presence_with_a_bad_address_ends_no_heartbeats() -> None:
    # No gateway heard another one any more, and none learned what the others had in flight.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=3, targets=1)
        for number, address in enumerate(("127.0.0.1:70000", "127.0.0.1:-1")):
            row = make_presence(address).replace(b"other", f"other-{number}".encode())
            deployment.store.put(f"gp/live/host/other-{number}", row)
        await asyncio.sleep(5.0)
        for gateway in deployment.gateways:
            assert set(gateway.hosts.hosts) == {"host-0", "host-1", "host-2"}
            assert len(gateway.heartbeats.heard) == 2
            assert gateway.knows_occupancy()

    run_in_virtual_time(work)
