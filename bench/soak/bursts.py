"""Bursts of crashes of targets that run long batch items, one burst after the other."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from gradepoint.util.tasks import TaskGroup

from ..platform.target import TargetStandin
from .proxy import Proxy

EVENT_INTERVAL_S = 0.4
"""Seconds between events, so that an item runs on several of the targets that crash."""
SUBMIT_INTERVAL_S = 1.5
"""Seconds between jobs: what is submitted fits on the targets."""
MAX_ADOPTION_S = 7.0
"""Seconds after which the job of a lost host is continued."""
MAX_LISTING_S = 5.0
"""Seconds beyond its work after which an item is listed once targets have room."""
CRASHED_SHARE = 0.3
CRASH_INTERVAL_S = 0.4
DOWN_S = 0.4
ROW_LIFETIME_S = 3.6
"""Seconds from a crash until the entry of the former incarnation is deleted."""


@dataclass
class CrashBursts:
    """Crashes targets in bursts, and starts them again at the same address under other names.

    :param targets: targets of the soak, with the proxies through which hosts reach them.
    :param list_target: writes the store entry of a target by its number.
    :param delist_target: deletes the store entry of a target by its name.
    :ivar crashes: number of crashes.
    """

    seed: int
    targets: list[TargetStandin]
    proxies: list[Proxy]
    list_target: Callable[[int], None]
    delist_target: Callable[[str], None]
    tasks: TaskGroup
    crashes: int = 0
    down: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} bursts")
        for target in self.targets:
            target.event_interval_s = EVENT_INTERVAL_S

    def find_listing_limit_s(self, events: int) -> float:
        """Return the seconds after the last crash in which every item has to be listed.

        :param events: number of events of an item.
        """
        return MAX_ADOPTION_S + events * EVENT_INTERVAL_S + MAX_LISTING_S

    async def crash_forever(self) -> None:
        """Crash random targets in bursts until cancelled; each starts again all the same."""
        while True:
            for _ in range(5):
                count = max(1, round(CRASHED_SHARE * len(self.targets)))
                for number in self.rng.sample(range(len(self.targets)), count):
                    if number not in self.down:
                        self.down.add(number)
                        self.tasks.start(self._crash(number))
                await asyncio.sleep(CRASH_INTERVAL_S)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))

    async def _crash(self, number: int) -> None:
        target, proxy = self.targets[number], self.proxies[number]
        self.crashes += 1
        former = target.name
        proxy.close()
        target.server.abort()
        await asyncio.sleep(DOWN_S)
        target.name = f"t{number}-{self.crashes}"
        target.working = 0
        await target.start(port=proxy.target[1])
        await proxy.start("127.0.0.1", proxy.port)
        self.list_target(number)
        self.down.discard(number)
        await asyncio.sleep(ROW_LIFETIME_S - DOWN_S)
        self.delist_target(former)
