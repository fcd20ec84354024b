"""Probes whether a process listens at an address."""

from __future__ import annotations

import asyncio
from enum import Enum

from .addresses import split_address


class PortState(Enum):
    """Result of connecting to an address.

    ``OPEN``: accepted. ``CLOSED``: refused, so that the host runs but no process listens.
    ``SILENT``: any other error, or no response in time.
    """

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


async def probe_port(address: str, timeout_s: float) -> PortState:
    """Open a connection to ``IP:PORT`` and close it again.

    The port of a process that has ended is closed; a host without power does not respond.
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
