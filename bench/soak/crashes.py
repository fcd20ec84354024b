"""Crashes of targets that send answers without a length.

The system closes the connections of a killed process in order, and its port accepts connections
for some more milliseconds.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from gradepoint.util.tasks import TaskGroup

from ..platform.target import TargetStandin
from .proxy import Proxy, ProxyMode

UNFRAMED_SHARE = 0.5
"""Share of streams that have neither a length nor chunks."""
DRAIN_SHARE = 0.3
"""Share of ends that a target announces by draining."""
MAX_DRAIN_S = 0.3
MAX_DYING_S = 0.03
"""Most seconds for which the port of a killed process accepts connections."""
MAX_DOWN_SHARE = 0.5
"""Most targets that are down at the same time."""


@dataclass
class TargetCrashes:
    """Kills targets, or lets them drain and end while streams run, and replaces them.

    :param targets: targets of the soak, with the proxies through which hosts reach them.
    :param list_target: writes the store entry of a target by its number, with its state.
    :param delist_target: deletes the store entry of a target by its name.
    :ivar counts: number of ends by kind.
    :ivar down: numbers of the targets that have ended and not been replaced yet.
    """

    seed: int
    targets: list[TargetStandin]
    proxies: list[Proxy]
    list_target: Callable[[int, str], None]
    delist_target: Callable[[str], None]
    tasks: TaskGroup
    counts: Counter[str] = field(default_factory=Counter)
    down: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} crashes")
        for target in self.targets:
            target.unframed_share = UNFRAMED_SHARE
            target.framing_rng = random.Random(f"{self.seed} {target.name} framing")

    async def crash_forever(self) -> None:
        """Crash random targets until cancelled; those that are down then are replaced all the
        same.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            number = self.rng.randrange(len(self.targets))
            if number not in self.down and len(self.down) < len(self.targets) * MAX_DOWN_SHARE:
                self.down.add(number)
                self.tasks.start(self._crash(number))

    async def _crash(self, number: int) -> None:
        target, proxy = self.targets[number], self.proxies[number]
        drains = self.rng.random() < DRAIN_SHARE
        drain_s, dying_s = self.rng.uniform(0.0, MAX_DRAIN_S), self.rng.uniform(0.0, MAX_DYING_S)
        down_s = self.rng.uniform(0.3, 2.0)
        self.counts["drain" if drains else "kill"] += 1
        if drains:
            self.list_target(number, "draining")
            await asyncio.sleep(drain_s)
        proxy.start_dying()
        target.server.abort()
        await asyncio.sleep(dying_s)
        proxy.close()
        await asyncio.sleep(down_s)
        self.delist_target(target.name)
        target.name = f"t{number}-{sum(self.counts.values())}"
        target.working = 0
        await target.start(port=proxy.target[1])
        proxy.set_mode(ProxyMode.PASS)
        await proxy.start("127.0.0.1", proxy.port)
        self.list_target(number, "ready")
        self.down.discard(number)
