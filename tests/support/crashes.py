"""Targets that crash and come back, in a deployment in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

from bench.platform.target import TargetStandin

from .platform import Deployment

BACK_S = 3.0
"""Seconds after its crash in which a target is back at its address, as another life."""


class Crashes:
    """Ends targets of a deployment and starts them again.

    :ivar ended: the number of ends of each target.
    :ivar lists_anew: a target that is back writes its row at once.
    """

    def __init__(self, deployment: Deployment, back_s: float = BACK_S) -> None:
        self.deployment = deployment
        self.back_s = back_s
        self.ended: dict[str, int] = {}
        self.down: set[str] = set()
        self.lists_anew = True

    async def add_targets(self, count: int, **more: Any) -> None:
        """Start targets, each of which ends when a harmful request begins to run."""
        for number in range(count):
            target = TargetStandin(f"t{number}", born=1, **more)
            target.on_harm = lambda _, target=target: self.end(target)  # type: ignore[misc]
            await self.deployment.add_target(target)

    def end(self, target: TargetStandin, *, comes_back: bool = True) -> None:
        """Crash a target: its port closes and every connection to it is reset."""
        if target.name in self.down:
            return
        self.down.add(target.name)
        self.ended[target.name] = self.ended.get(target.name, 0) + 1
        port = target.server.port
        target.server.abort()
        if comes_back:
            asyncio.get_running_loop().create_task(self._start_again(target, port))

    def reset_connections(self, target: TargetStandin) -> None:
        """Reset every connection of a target, which lives on."""
        for connection in list(target.server.connections):
            connection.writer.transport.abort()

    async def _start_again(self, target: TargetStandin, port: int) -> None:
        await asyncio.sleep(self.back_s)
        self.down.discard(target.name)
        target.working = 0
        target.born = (target.born or 0) + 1
        await target.start(port=port)
        if self.lists_anew:
            self.deployment.store.put(f"servers/{target.name}", target.entry())
