"""A request that ends the targets that run it, sent again and again beside a soak's other calls."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field

from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from ..platform.target import TargetStandin
from .proxy import Proxy

BODY = b"ends its target"
BACK_S = 1.5
"""Seconds after its end in which a target is back, as another life."""
CONTACT_S = 3.0
"""Seconds after its third end in which every host that is in touch knows the request."""
LATE_SENDS = 3
"""Sends that are allowed after that, and one more for each start of a host since."""


@dataclass
class Harm:
    """The harmful request of one run, and the targets that it ends.

    :param list_target: lists a target at its place, as its entry tells it.
    :ivar sends: seconds of the loop at which it came to a target, and *ends* at which it ended one,
        by path: on each, it is another request.
    """

    seed: int
    targets: list[TargetStandin]
    ways: list[Proxy]
    list_target: Callable[[int], None]
    sends: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    ends: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    down: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} harm")
        for number, target in enumerate(self.targets):
            target.born = 1
            target.harmful = {BODY}
            target.on_request = self._note_send
            target.on_harm = lambda path, number=number: self._end(number, path)  # type: ignore[misc]
            self.list_target(number)

    async def send_for_ever(self, choose_host: Callable[[], tuple[str, int]], host: str) -> None:
        """Send the request through some host, each time with another id."""
        number = 0
        with closing(HttpClient()) as http:
            while True:
                await asyncio.sleep(self.rng.uniform(0.05, 0.4))
                number += 1
                kind = self.rng.choice(["single/plain", "plain", "resume"])
                headers = [
                    ("host", host),
                    ("x-attempt-id", f"harm-{number}"),
                    ("x-time-left-ms", "3000"),
                ]
                try:
                    response = await http.send(
                        choose_host(), "POST", f"/{kind}/harm", BODY, headers, timeout_s=4.0
                    )
                    await response.read()
                except (ConnectFailed, ResponseBroken):
                    continue

    def find_broken(self, starts: list[float]) -> list[str]:
        """Return what was broken.

        :param starts: seconds at which hosts started.
        """
        broken = []
        for path, ends in self.ends.items():
            if len(ends) < 3:
                continue
            late = sum(at > ends[2] + CONTACT_S for at in self.sends[path])
            allowed = LATE_SENDS + sum(at > ends[2] for at in starts)
            if late > allowed:
                broken.append(f"{path} came to targets {late} times too late, not {allowed}")
        return broken

    def _note_send(self, path: str, body: bytes) -> None:
        if body == BODY:
            self.sends[path].append(asyncio.get_running_loop().time())

    def _end(self, number: int, path: str) -> None:
        if number in self.down:
            return
        self.down.add(number)
        loop = asyncio.get_running_loop()
        self.ends[path].append(loop.time())
        self.ways[number].close()
        self.targets[number].server.abort()
        loop.create_task(self._start_again(number))

    async def _start_again(self, number: int) -> None:
        target, way = self.targets[number], self.ways[number]
        await asyncio.sleep(BACK_S)
        target.working = 0
        target.born = (target.born or 0) + 1
        await target.start(port=way.target[1])
        await way.start("127.0.0.1", way.port)
        self.down.discard(number)
        self.list_target(number)
