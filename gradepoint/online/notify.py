"""Notices to batch feeders: how many online calls this entry has in flight at each target."""

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
    """Sends in-flight counts to feeders on each change, and periodically without one.

    :ivar feeders: cache of the feeder host of each target.
    :ivar members_version: version of the member list that *feeders* is based on.
    """

    def __init__(self, pool: TargetPool, fleet: FleetView, host: str) -> None:
        self.pool = pool
        self.fleet = fleet
        self.host = host
        self.sockets: dict[tuple[str, int], PushSocket] = {}
        self.feeders: dict[str, str] = {}
        self.members_version = -1
        self.refreshed_at = 0.0

    async def run(self) -> None:
        """Send changed counts until cancelled.

        Changes are collected for ``GATHER_S``; all non-zero counts are sent again every
        ``REFRESH_S``, because feeders forget an entry that sends nothing.
        """
        while True:
            await asyncio.sleep(GATHER_S)
            if monotonic() - self.refreshed_at >= REFRESH_S:
                self.refreshed_at = monotonic()
                self.pool.changed_targets.update(
                    name for name, view in self.pool.views.items() if view.in_flight
                )
            if self.pool.changed_targets:
                self.send_changes()

    def send_changes(self) -> None:
        """Send the counts of the changed targets, in one message per feeder host."""
        changed_targets, self.pool.changed_targets = self.pool.changed_targets, set()
        if self.members_version != self.fleet.members_version:
            self.members_version = self.fleet.members_version
            self.feeders.clear()
        by_host: dict[str, dict[str, int]] = {}
        for target in changed_targets:
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
        """Close all connections."""
        for socket in self.sockets.values():
            socket.close()
        self.sockets.clear()
