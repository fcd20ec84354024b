"""Opens the ports of a program at its start, and waits for those that cannot be opened yet.

A port may still belong to a predecessor that stops, or to a connection that the system gave it to,
and the address of a host may be set up later than its programs start.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RETRY_S = 0.1
"""Seconds between attempts to open a port."""
REPORT_INTERVAL_S = 10.0
"""Seconds between log lines about a port that cannot be opened."""


class Port(Struct, frozen=True):
    """A port that a program listens on.

    :param name: purpose of the port, for the log.
    :param address: its address, for the log.
    :param open: opens it.
    """

    name: str
    address: str
    open: Callable[[], Awaitable[None]]


async def open_free_ports(ports: list[Port]) -> list[Port]:
    """Open ports in their order; return those that cannot be opened now."""
    waiting = []
    for port in ports:
        try:
            await port.open()
        except OSError as error:
            _report(port, error, 0.0)
            waiting.append(port)
    return waiting


async def wait_until_open(port: Port) -> None:
    """Open a port as soon as that is possible."""
    started_at = reported_at = monotonic()
    while True:
        await asyncio.sleep(RETRY_S)
        now = monotonic()
        try:
            await port.open()
        except OSError as error:
            if now - reported_at >= REPORT_INTERVAL_S:
                reported_at = now
                _report(port, error, now - started_at)
            continue
        emit(
            events.PORT_OPENED,
            name=port.name,
            address=port.address,
            waited_s=round(now - started_at, 1),
        )
        return


async def wait_until_all_open(ports: list[Port]) -> None:
    """Open several ports, each as soon as that is possible."""
    await asyncio.gather(*(wait_until_open(port) for port in ports))


async def open_port(name: str, address: str, open_it: Callable[[], Awaitable[None]]) -> None:
    """Open a port, at once or as soon as that is possible; the parameters are those of
    :class:`Port`."""
    await wait_until_all_open(await open_free_ports([Port(name, address, open_it)]))


def _report(port: Port, error: OSError, waits_s: float) -> None:
    emit(
        events.PORT_WAITS,
        name=port.name,
        address=port.address,
        reason=str(error),
        waits_s=round(waits_s, 1),
    )
