"""A host whose peer falls silent within an answer goes on with everything else."""

from __future__ import annotations

import asyncio

from gradepoint.gateway.app import Gateway
from gradepoint.ids import ConfigVersion, Incarnation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Beat
from gradepoint.standins.ports import LOOPBACK
from tests.support.platform import Deployment, configuration, run_deployment, until

VERSION = ConfigVersion(9)
BEATS_S = 0.05


async def start_peer(says: bytes) -> str:
    """Listen as a peer that says a few bytes to each connection and nothing more."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(says)
        await reader.read(-1)

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


async def beat_for(gateway: Gateway, addresses: list[str]) -> None:
    """Have a gateway hear, again and again, that peers have a newer configuration."""
    while True:
        for number, address in enumerate(addresses):
            life = Incarnation(f"peer-{number}:1")
            beat = Beat(DATAGRAM_FORMAT, life, VERSION, False, False, {}, [], {}, 0)
            gateway.beats.hear(beat, address)
        await asyncio.sleep(BEATS_S)


def encode_answer(body: bytes) -> bytes:
    """Return a whole answer."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def test_the_sweep_goes_on_while_a_peer_is_silent() -> None:
    # A peer may say that it has a newer configuration and then fall silent within its answer,
    # for good and without an error. Targets whose row vanished must be forgotten all the same,
    # and hosts that are not heard any more left out.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]
        peer = await start_peer(encode_answer(configuration(VERSION))[:-1])
        beating = asyncio.ensure_future(beat_for(gateway, [peer]))
        await until(lambda: bool(gateway.peer_http.opened))
        deployment.store.delete("servers/t0")
        await until(lambda: len(gateway.targets.by_id) == 1)
        beating.cancel()
        await until(lambda: not gateway.beats.heard)

    run_deployment(work)


def test_a_configuration_is_taken_from_another_peer_than_the_silent_one() -> None:
    # Asking the same peer every time would leave the host with its old configuration for as
    # long as that one is silent, whoever else has the newer one.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        whole = encode_answer(configuration(VERSION))
        # The address that comes last in order, and first, must not matter.
        peers = [await start_peer(said) for said in (whole[:-1], whole, whole[:-1], b"")]
        beating = asyncio.ensure_future(beat_for(gateway, peers))
        await until(lambda: gateway.configuration.current.version == VERSION)  # type: ignore[union-attr]
        beating.cancel()

    run_deployment(work)
