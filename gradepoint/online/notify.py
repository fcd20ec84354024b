"""Tells the feeders of targets how many calls this entry has in flight there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..routing.notices import GATHER_S, REFRESH_S, InFlightNotice, feeder_host
from ..util.clock import monotonic
from ..wire.push import PushSocket

if TYPE_CHECKING:
    from ..fleet.local import FleetView
    from .targets import TargetPool


class FeederNotifier:
    """Sends counts to feeders when they change, and now and then anyway."""

    def __init__(self, pool: TargetPool, fleet: FleetView, host: str) -> None:
        self.pool = pool
        self.fleet = fleet
        self.host = host
        self.sockets: dict[tuple[str, int], PushSocket] = {}
        self.feeders: dict[str, str] = {}
        self.members_version = -1
        self.refreshed_at = 0.0

    async def run(self) -> None:
        """Tell changes for ever."""
        while True:
            await asyncio.sleep(GATHER_S)
            if monotonic() - self.refreshed_at >= REFRESH_S:
                self.refreshed_at = monotonic()
                self.pool.changed.update(
                    name for name, view in self.pool.views.items() if view.in_flight
                )
            if self.pool.changed:
                self.tell()

    def tell(self) -> None:
        """Send the counts of changed targets, one message for each feeder."""
        changed, self.pool.changed = self.pool.changed, set()
        if self.members_version != self.fleet.members_version:
            self.members_version = self.fleet.members_version
            self.feeders.clear()
        by_host: dict[str, dict[str, int]] = {}
        for target in changed:
            host = self.feeders.get(target)
            if host is None:
                host = self.feeders[target] = feeder_host(target, self.fleet.hosts())
            by_host.setdefault(host, {})[target] = self.pool.views[target].in_flight
        for member in self.fleet.members:
            counts = by_host.get(member.host)
            if counts:
                socket = self._socket(member.address, member.notice_port)
                socket.send(InFlightNotice(self.host, counts))

    def _socket(self, address: str, port: int) -> PushSocket:
        key = (address, port)
        if key not in self.sockets:
            self.sockets[key] = PushSocket(address, port)
        return self.sockets[key]

    def close(self) -> None:
        """Close every connection."""
        for socket in self.sockets.values():
            socket.close()
        self.sockets.clear()
