"""Messages of other processes, and members that they name, cost themselves only."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gradepoint.errors import DecodingError
from gradepoint.fleet.host_list import HostListClient, HostState
from gradepoint.fleet.membership import Membership
from gradepoint.fleet.messages import Gossip, GossipKind, Member, MemberState
from gradepoint.fleet.transport import GossipTransport
from gradepoint.routing.notices import InFlightNotice
from gradepoint.standins.ports import free_port
from gradepoint.util import decoding
from gradepoint.wire.push import PullSocket, PushSocket
from gradepoint.wire.rpc import Failed, RpcError, RpcPool

MEMBER = Member("h", "127.0.0.1", 1, 2, 3, 4, 0, "d", "r", 5)


@pytest.mark.parametrize(
    "changes",
    [{"incarnation": (1 << 64) - 1}, {"incarnation": -1}, {"gossip_port": 70000}]
    + [{name: -1} for name in ("gossip_port", "notice_port", "store_port", "control_port")],
)
def test_member_with_a_number_outside_its_range_is_not_decoded(changes: dict[str, Any]) -> None:
    """The next incarnation could not be encoded: no host sent datagrams any more."""
    update = msgspec.structs.replace(MEMBER, state=MemberState.SUSPECT, **changes)
    raw = msgspec.msgpack.encode(Gossip(GossipKind.PING, "x", 1, 0, "", (update,)))
    with pytest.raises(DecodingError):
        decoding.decode_msgpack(raw, Gossip)


def test_highest_incarnation_can_be_refuted() -> None:
    membership = Membership(MEMBER, 1.0, 5.0, random.Random(1))
    highest = msgspec.structs.replace(MEMBER, state=MemberState.SUSPECT, incarnation=1 << 62)
    membership.apply_update(highest, 0.0)
    assert msgspec.msgpack.encode(membership.own)


@pytest.mark.parametrize("address", ["no such name", "host.example", ""])
def test_member_without_an_ip_address_stops_no_message_to_others(address: str) -> None:
    """The first raised an exception in the loop that sends to all; a name is looked up."""
    sent = []
    transport = GossipTransport(lambda _: None)
    fake: Any = SimpleNamespace(
        is_closing=lambda: False, sendto=lambda _, target: sent.append(target)
    )
    transport.transport = fake
    message = Gossip(GossipKind.PING, "h", 1, 0)
    transport.send(address, 1, message)
    transport.send("127.0.0.1", 0, message)
    transport.send("127.0.0.1", 1, message)
    assert sent == [("127.0.0.1", 1)]

    async def main() -> None:
        PushSocket("no such name", 1).send(Failed("x"))
        with pytest.raises(RpcError):
            await RpcPool(Failed).client("no such name", 1).call(Failed("x"), timeout_s=1.0)

    asyncio.run(main())


def test_message_that_cannot_be_applied_does_not_end_the_receipt_of_others() -> None:
    """The feeder got no counts of online calls until its program was started again."""
    received: list[str] = []

    def receive(notice: InFlightNotice) -> None:
        if notice.entry == "odd":
            raise OverflowError("odd")
        received.append(notice.entry)

    async def main() -> None:
        port = free_port()
        socket = PullSocket(InFlightNotice, receive)
        await socket.start("127.0.0.1", port)
        sender = PushSocket("127.0.0.1", port, immediate=False)
        assert sender.send(InFlightNotice("odd", {}))
        async with asyncio.timeout(10.0):
            while not received:
                sender.send(InFlightNotice("sound", {}))
                await asyncio.sleep(0.1)
        sender.close()
        await socket.stop()

    asyncio.run(main())


def test_listed_host_of_another_form_hides_no_other_host() -> None:
    """The whole answer was left out, so that no leaving host was noticed."""
    rows = [{"name": "a", "state": "resting"}, 7, {"name": "b", "state": "leaving"}, {"name": 1}]

    async def read() -> bytes:
        return msgspec.json.encode({"hosts": rows})

    async def request(*_: Any, **__: Any) -> Any:
        return SimpleNamespace(status=200, read=read)

    async def main() -> None:
        client = HostListClient("http://x")
        client.http = SimpleNamespace(request=request)  # type: ignore[assignment]
        assert await client.refresh() == {"b": HostState.LEAVING}

    asyncio.run(main())
