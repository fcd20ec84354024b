"""A request that crashes every target that runs it, sent repeatedly beside a soak's other calls.

The gateways must recognise such a request after three crashes and stop forwarding it. The harm may
also lie in a part of the prompts of requests that differ otherwise, which must be recognised after
five crashes.
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
PART = "bad0c0de"
"""Part of prompts that crashes targets."""
RESTART_DELAY_S = 1.5
"""Seconds after which a crashed target starts again, as a new incarnation."""
SETTLED_CRASHES = 3
"""Crashes after which hosts must recognise a harmful request."""
SETTLED_PART_CRASHES = 5
"""Crashes after which hosts must recognise a harmful part of prompts."""
PROPAGATION_S = 3.0
"""Seconds after these crashes within which every connected host knows what is harmful."""
ALLOWED_LATE_SENDS = 3
"""Sends allowed after that; each host started since these crashes allows one more."""


@dataclass
class HarmfulRequest:
    """Sends the harmful request of one run, and crashes and restarts the targets that run it.

    :param proxies: the proxy in front of each target, in the order of *targets*.
    :param list_target: writes the store entry of the target with the given index.
    :param by_part: whether each request differs from all others but for a part of the prompt.
    :ivar sends: loop times at which the request reached a target, by path. The same body on
        another path is another request. Requests that share the part count as one.
    :ivar crashes: loop times at which the request crashed a target, in the same way.
    :ivar restarting: indexes of targets that have crashed and have not started again yet.
    """

    seed: int
    targets: list[TargetStandin]
    proxies: list[Proxy]
    list_target: Callable[[int], None]
    by_part: bool = False
    sends: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    restarting: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} harm")
        for number, target in enumerate(self.targets):
            target.started_ms = 1
            if self.by_part:
                target.harmful_parts = {PART}
            else:
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
                path, body = f"/{kind}/harm", BODY
                if self.by_part:
                    path, body = f"{path}/{number}", b"prompt %d" % number
                    headers.append(("x-prompt-prefix", f"5c1e07a2:9,{PART}:9,{number:x}:9"))
                try:
                    response = await http.send(
                        choose_host(), "POST", path, body, headers, timeout_s=4.0
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
        settled = SETTLED_PART_CRASHES if self.by_part else SETTLED_CRASHES
        for path, crashes in self.crashes.items():
            if len(crashes) < settled:
                continue
            settled_at = crashes[settled - 1]
            late_sends = sum(at > settled_at + PROPAGATION_S for at in self.sends[path])
            allowed = ALLOWED_LATE_SENDS + sum(at > settled_at for at in starts)
            if late_sends > allowed:
                violations.append(
                    f"{path} reached targets {late_sends} times after it was known to be harmful, "
                    f"allowed are {allowed}"
                )
        return violations

    def _record_send(self, path: str, body: bytes) -> None:
        if body == BODY or (self.by_part and "/harm/" in path):
            self.sends[self._name(path)].append(asyncio.get_running_loop().time())

    def _name(self, path: str) -> str:
        """Return the name under which a harmful request is counted."""
        return f"part {PART}" if self.by_part else path

    def _crash_target(self, number: int, path: str) -> None:
        if number in self.restarting:
            return
        self.restarting.add(number)
        loop = asyncio.get_running_loop()
        self.crashes[self._name(path)].append(loop.time())
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
