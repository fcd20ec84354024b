"""Tests that a peer which stalls within an answer does not block the rest of a host."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.app import Gateway
from gradepoint.ids import ConfigVersion, Incarnation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Heartbeat
from gradepoint.standins.ports import LOOPBACK
from tests.support.platform import Deployment, configuration, run_deployment, until

VERSION = ConfigVersion(9)
HEARTBEAT_INTERVAL_S = 0.05


async def start_peer(payload: bytes) -> str:
    """Start a peer that sends *payload* on each connection and then nothing.

    :returns: the address of the peer.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(payload)
        await reader.read(-1)

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


async def send_heartbeats(gateway: Gateway, addresses: list[str]) -> None:
    """Send a gateway heartbeats of peers that have a newer configuration."""
    while True:
        for number, address in enumerate(addresses):
            incarnation = Incarnation(f"peer-{number}:1")
            heartbeat = Heartbeat(
                DATAGRAM_FORMAT, incarnation, VERSION, False, False, {}, [], {}, 0
            )
            gateway.heartbeats.receive(heartbeat, address)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def encode_answer(body: bytes) -> bytes:
    """Return a complete HTTP response."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def test_stalled_peer_does_not_block_expiry_sweep() -> None:
    # A peer may announce a newer configuration and then stall within its answer, without an error
    # and for ever. The sweep must still forget targets whose entry vanished and expire hosts whose
    # heartbeats stopped.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]
        peer = await start_peer(encode_answer(configuration(VERSION))[:-1])
        heartbeats = asyncio.ensure_future(send_heartbeats(gateway, [peer]))
        await until(lambda: bool(gateway.peer_http.connections_opened))
        deployment.store.delete("servers/t0")
        await until(lambda: len(gateway.targets.by_id) == 1)
        heartbeats.cancel()
        await until(lambda: not gateway.heartbeats.heard)

    run_deployment(work)


def test_configuration_fetched_from_another_peer_than_a_stalled_one() -> None:
    # If a host asked the same peer every time, it would keep its old configuration for as long as
    # that peer is stalled, although other peers have the newer one.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        whole = encode_answer(configuration(VERSION))
        # The peers with the lowest and the highest address are both stalled.
        peers = [await start_peer(payload) for payload in (whole[:-1], whole, whole[:-1], b"")]
        heartbeats = asyncio.ensure_future(send_heartbeats(gateway, peers))
        await until(lambda: gateway.configuration.current.version == VERSION)  # type: ignore[union-attr]
        heartbeats.cancel()

    run_deployment(work)
