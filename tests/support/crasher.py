"""Crashes and restarts of targets, in a deployment in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

from bench.platform.target import TargetStandin

from .platform import Deployment

RESTART_DELAY_S = 3.0
"""Seconds from a crash until the target is back at its address as a new incarnation."""
ROW_LIFETIME_S = 3.6
"""Seconds from a crash until the row of a target that restarts under another name is deleted."""


class TargetCrasher:
    """Crashes targets of a deployment and restarts them.

    :ivar crash_counts: the number of crashes of each target.
    :ivar down: names of the targets that have crashed and not restarted yet.
    :ivar relists_on_restart: whether a restarted target writes its store entry at once.
    :ivar renames_on_restart: whether a target restarts under another name, while its former row is
        listed for :data:`ROW_LIFETIME_S` after the crash.
    """

    def __init__(self, deployment: Deployment, restart_delay_s: float = RESTART_DELAY_S) -> None:
        self.deployment = deployment
        self.restart_delay_s = restart_delay_s
        self.crash_counts: dict[str, int] = {}
        self.down: set[str] = set()
        self.relists_on_restart = True
        self.renames_on_restart = False

    async def add_targets(self, count: int, **target_options: Any) -> None:
        """Start targets, each of which crashes when a harmful request starts to run."""
        for number in range(count):
            target = TargetStandin(f"t{number}", started_ms=1, **target_options)
            target.on_crash = lambda _, target=target: self.crash(target)  # type: ignore[misc]
            await self.deployment.add_target(target)

    def crash(self, target: TargetStandin, *, restarts: bool = True) -> None:
        """Crash a target: its port closes and every connection to it is reset."""
        if target.name in self.down:
            return
        self.down.add(target.name)
        self.crash_counts[target.name] = self.crash_counts.get(target.name, 0) + 1
        port = target.server.port
        target.server.abort()
        if restarts:
            asyncio.get_running_loop().create_task(self._restart(target, port))

    def reset_connections(self, target: TargetStandin) -> None:
        """Reset every connection of a target, which keeps running."""
        for connection in list(target.server.connections):
            connection.writer.transport.abort()

    async def _restart(self, target: TargetStandin, port: int) -> None:
        await asyncio.sleep(self.restart_delay_s)
        self.down.discard(target.name)
        if self.renames_on_restart:
            self._rename(target)
        target.working = 0
        target.started_ms = (target.started_ms or 0) + 1
        await target.start(port=port)
        if self.relists_on_restart:
            self.deployment.store.put(f"servers/{target.name}", target.entry())

    def _rename(self, target: TargetStandin) -> None:
        former = f"servers/{target.name}"
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, ROW_LIFETIME_S - self.restart_delay_s)
        loop.call_later(remaining_s, self.deployment.store.delete, former)
        target.name = f"{target.name.partition('.')[0]}.{(target.started_ms or 0) + 1}"
