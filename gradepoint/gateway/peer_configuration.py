"""Fetches newer configurations from other hosts."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from .configuration import NO_VERSION

if TYPE_CHECKING:
    from ..peers.heartbeats import Heartbeats
    from ..wire.http_client import HttpClient
    from .followers import ActiveConfiguration

POLL_S = 0.25
"""Seconds between checks of the versions that peers announce."""
TIMEOUT_S = 0.5
"""Seconds that a peer has to send its configuration. It is many times the network delay, and short
enough to ask several peers within the shortest time in which a change has to be known."""


async def follow_peers(
    heartbeats: Heartbeats, http: HttpClient, active: ActiveConfiguration
) -> None:
    """Fetch newer configurations from peers, forever."""
    while True:
        await asyncio.sleep(POLL_S)
        current = active.current
        newer = heartbeats.find_newer_config(current.version if current else NO_VERSION)
        if newer:
            # A random peer is asked each time, since any of them may never answer this host.
            await _fetch(random.choice(newer), http, active)


async def _fetch(address: str, http: HttpClient, active: ActiveConfiguration) -> None:
    """Fetch the configuration from the peer at ``IP:PORT``; a failure is only logged."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            response = await http.send(split_address(address), "GET", "/config")
            raw = await response.read()
    except (ConnectFailed, ResponseBroken, TimeoutError) as error:
        emit(events.PEER_SILENT, member=address, reason=repr(error))
        return
    if response.status == 200:
        active.offer(raw, f"peer {address}")
