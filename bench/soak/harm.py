"""A request that crashes every target that runs it, sent repeatedly beside a soak's other calls.

The gateways must recognise such a request after three crashes and stop forwarding it.
"""

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
RESTART_DELAY_S = 1.5
"""Seconds after which a crashed target starts again, as a new incarnation."""
PROPAGATION_S = 3.0
"""Seconds after the third crash within which every connected host knows the harmful request."""
ALLOWED_LATE_SENDS = 3
"""Sends allowed after that; each host started since the third crash allows one more."""


@dataclass
class HarmfulRequest:
    """Sends the harmful request of one run, and crashes and restarts the targets that run it.

    :param proxies: the proxy in front of each target, in the order of *targets*.
    :param list_target: writes the store entry of the target with the given index.
    :ivar sends: loop times at which the request reached a target, by path. The same body on
        another path is another request.
    :ivar crashes: loop times at which the request crashed a target, by path.
    :ivar restarting: indexes of targets that have crashed and have not started again yet.
    """

    seed: int
    targets: list[TargetStandin]
    proxies: list[Proxy]
    list_target: Callable[[int], None]
    sends: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    restarting: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} harm")
        for number, target in enumerate(self.targets):
            target.started_ms = 1
            target.harmful = {BODY}
            target.on_request = self._record_send
            target.on_crash = lambda path, number=number: self._crash_target(number, path)  # type: ignore[misc]
            self.list_target(number)

    async def send_forever(self, choose_host: Callable[[], tuple[str, int]], host: str) -> None:
        """Send the request through chosen hosts until cancelled, each time with a new id."""
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

    def find_violations(self, starts: list[float]) -> list[str]:
        """Return a message for each path on which the request reached targets for too long.

        :param starts: loop times at which hosts started. A host that has just started may not know
            the request yet.
        """
        violations = []
        for path, crashes in self.crashes.items():
            if len(crashes) < 3:
                continue
            late_sends = sum(at > crashes[2] + PROPAGATION_S for at in self.sends[path])
            allowed = ALLOWED_LATE_SENDS + sum(at > crashes[2] for at in starts)
            if late_sends > allowed:
                violations.append(
                    f"{path} reached targets {late_sends} times after it was known to be harmful, "
                    f"allowed are {allowed}"
                )
        return violations

    def _record_send(self, path: str, body: bytes) -> None:
        if body == BODY:
            self.sends[path].append(asyncio.get_running_loop().time())

    def _crash_target(self, number: int, path: str) -> None:
        if number in self.restarting:
            return
        self.restarting.add(number)
        loop = asyncio.get_running_loop()
        self.crashes[path].append(loop.time())
        self.proxies[number].close()
        self.targets[number].server.abort()
        loop.create_task(self._restart_target(number))

    async def _restart_target(self, number: int) -> None:
        target, proxy = self.targets[number], self.proxies[number]
        await asyncio.sleep(RESTART_DELAY_S)
        target.working = 0
        target.started_ms = (target.started_ms or 0) + 1
        await target.start(port=proxy.target[1])
        await proxy.start("127.0.0.1", proxy.port)
        self.restarting.discard(number)
        self.list_target(number)
