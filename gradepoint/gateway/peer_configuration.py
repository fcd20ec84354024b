"""Takes newer configurations from other hosts, whoever of them answers."""

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
    from ..peers.beats import Beats
    from ..wire.http_client import HttpClient
    from .followers import ActiveConfiguration

POLL_S = 0.25
"""Seconds between looks for peers' versions."""
TIMEOUT_S = 0.5
"""Seconds that a peer has to send its configuration: many times the way, and short enough to ask
several others within the shortest bound on news."""


async def follow_peers(beats: Beats, http: HttpClient, active: ActiveConfiguration) -> None:
    """Take newer configurations from peers, for ever."""
    while True:
        await asyncio.sleep(POLL_S)
        current = active.current
        newer = beats.find_newer_config(current.version if current else NO_VERSION)
        if newer:
            # Any of them may be silent for good towards this host, so it is not always the
            # same one that is asked.
            await _fetch(random.choice(newer), http, active)


async def _fetch(address: str, http: HttpClient, active: ActiveConfiguration) -> None:
    """Read the configuration from the peer at ``IP:PORT``."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            response = await http.send(split_address(address), "GET", "/config")
            raw = await response.read()
    except (ConnectFailed, ResponseBroken, TimeoutError) as error:
        emit(events.PEER_SILENT, member=address, reason=repr(error))
        return
    if response.status == 200:
        active.offer(raw, f"peer {address}")
