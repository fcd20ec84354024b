"""Asks whether anything listens at an address."""

from __future__ import annotations

import asyncio
from enum import Enum

from .addresses import split_address


class PortState(Enum):
    """What a new connection to an address shows."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


async def look_at_port(address: str, timeout_s: float) -> PortState:
    """Open a connection to ``IP:PORT`` and close it again.

    A process that has ended leaves its port closed; a host without power says nothing.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(*split_address(address))
    except ConnectionRefusedError:
        return PortState.CLOSED
    except (OSError, TimeoutError):
        return PortState.SILENT
    writer.transport.abort()
    return PortState.OPEN
