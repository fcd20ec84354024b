"""Traffic in which a part of some prompts crashes the targets, in a deployment in virtual time.

No two calls are alike: request id, path, body and the last part of the prompt always differ, and
harmful calls share their other parts with sound ones.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from functools import partial

from bench.platform.target import TargetStandin, read_shared_parts

from .crasher import TargetCrasher
from .platform import CallAnswer, Deployment, until

SYSTEM_PART = "5c1e07a2"
"""First part of every prompt, unless a harmful part takes its place."""
DOCUMENT_PARTS = ["91bd3f06", "a2c01177", "0b9e55d1", "77ac10fe", "3d2f8c41"]
"""Middle parts of prompts, of which each call has one."""
SOUND_INTERVAL_S = 0.05
HARMFUL_FROM_S = 4.0
TRAFFIC_S = 24.0
SETTLED_CRASHES = 5
"""Crashes under one part after which the hosts have to stop sending it."""
CONTACT_S = 3.0
"""Seconds in which all hosts have to learn of a crash."""
LATE_RUNS = 3
"""Allowed runs of a harmful part later than :data:`CONTACT_S` after these crashes."""
SERVED_SHARE = 0.95
"""Minimum share of sound calls served at the first attempt while harmful ones come."""


@dataclass
class Answered:
    """An answer to a sound call.

    :ivar sent_at: loop time at which its caller sent it.
    """

    sent_at: float
    answer: CallAnswer

    @property
    def served(self) -> bool:
        """Whether the caller got the whole answer."""
        return self.answer.status == 200 and not self.answer.broken


@dataclass
class PartTraffic:
    """Sound and harmful calls to one deployment.

    :param harmful: parts that crash the targets.
    :param position: place of the harmful part in a prompt, from 0.
    :param paths: path prefixes of the calls, taken in turn.
    :ivar runs: loop times at which each harmful part reached a target.
    :ivar crashes: loop times of the crashes under each harmful part.
    :ivar harmful_from_s: seconds of the traffic after which harmful calls begin.
    """

    deployment: Deployment
    crasher: TargetCrasher
    harmful: list[str]
    position: int
    paths: Sequence[str]
    runs: dict[str, list[float]] = field(default_factory=dict)
    crashes: dict[str, list[float]] = field(default_factory=dict)
    sound: list[Answered] = field(default_factory=list)
    harmful_answers: list[CallAnswer] = field(default_factory=list)
    begun_at: float = 0.0
    harmful_from_s: float = HARMFUL_FROM_S
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def make_prompt(self, number: int, harmful: str | None = None) -> str:
        """Return the parts of a prompt, the last of which no other prompt has."""
        parts = [SYSTEM_PART, self.rng.choice(DOCUMENT_PARTS)]
        if harmful is not None and self.position < len(parts):
            parts[self.position] = harmful
        elif harmful is not None:
            parts.append(harmful)
        return ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))

    async def call(self, harmful: str | None = None) -> CallAnswer:
        """Send one call that differs from all others."""
        number = next(self.numbers)
        return await self.deployment.call(
            f"/{self.paths[number % len(self.paths)]}/{number}",
            body=b"prompt %d" % number,
            gateway=number % len(self.deployment.gateways),
            x_prompt_prefix=self.make_prompt(number, harmful),
        )

    async def call_sound(self) -> None:
        """Send a sound call and keep its answer."""
        sent_at = asyncio.get_running_loop().time()
        self.sound.append(Answered(sent_at, await self.call()))

    async def call_harmful(self, part: str) -> None:
        """Send a call with a harmful part and keep its answer."""
        self.harmful_answers.append(await self.call(part))

    def count_late_runs(self, part: str) -> int:
        """Count the runs of a harmful part after all hosts have to know of it."""
        crashes = sorted(self.crashes.get(part, ()))[:SETTLED_CRASHES]
        if len(crashes) < SETTLED_CRASHES:
            return 0
        return sum(at > crashes[-1] + CONTACT_S for at in self.runs[part])

    def find_served_share(self, since_s: float) -> float:
        """Return the share of the sound calls sent after some time of the traffic that were
        served."""
        sent = [row for row in self.sound if row.sent_at - self.begun_at >= since_s]
        return sum(row.served for row in sent) / len(sent)

    def check(self) -> None:
        """Check that harmful parts are stopped while sound calls are served."""
        counts = {part: len(self.runs.get(part, ())) for part in self.harmful}
        late = {part: self.count_late_runs(part) for part in self.harmful}
        share = self.find_served_share(self.harmful_from_s)
        print(f"runs {counts}, late {late}, sound calls served {share:.3f}")
        assert max(late.values()) <= LATE_RUNS
        assert share >= SERVED_SHARE


async def start_part_traffic(
    deployment: Deployment,
    hosts: int,
    targets: int,
    harmful: list[str],
    *,
    position: int = 1,
    paths: Sequence[str] = ("plain/plain",),
    work_s: float = 0.1,
) -> PartTraffic:
    """Start hosts, and targets that harmful parts crash."""
    await deployment.start(gateways=hosts, targets=0)
    crasher = TargetCrasher(deployment)
    traffic = PartTraffic(deployment, crasher, harmful, position, paths)
    await crasher.add_targets(
        targets, work_s=work_s, event_interval_s=0.02, harmful_parts=set(harmful), crash_delay_s=0.1
    )
    for target in deployment.targets:
        _record_runs(traffic, target)
    for gateway in deployment.gateways:
        await until(lambda gateway=gateway: len(gateway.targets.by_id) == targets)  # type: ignore[misc]
    return traffic


def _record_runs(traffic: PartTraffic, target: TargetStandin) -> None:
    """Record when harmful parts reach a target, and when it crashes under them."""
    running: dict[str, str] = {}
    crash = target.on_crash

    def note_request(path: str, _: bytes) -> None:
        for part in set(traffic.harmful).intersection(read_shared_parts(target.seen[-1])):
            running[path] = part
            traffic.runs.setdefault(part, []).append(asyncio.get_running_loop().time())

    def note_crash(path: str) -> None:
        if target.name not in traffic.crasher.down:
            now = asyncio.get_running_loop().time()
            traffic.crashes.setdefault(running[path], []).append(now)
        crash(path)

    target.on_request = note_request
    target.on_crash = note_crash


async def send_part_traffic(
    traffic: PartTraffic,
    harmful_interval_s: float = 0.4,
    harmful_from_s: float = HARMFUL_FROM_S,
) -> None:
    """Send sound calls all the time, and harmful ones from *harmful_from_s* on."""
    traffic.harmful_from_s = harmful_from_s
    traffic.begun_at = asyncio.get_running_loop().time()
    senders = [_send_every(traffic.call_sound, SOUND_INTERVAL_S, TRAFFIC_S)]
    for part in traffic.harmful:
        call = partial(traffic.call_harmful, part)
        seconds = TRAFFIC_S - harmful_from_s
        senders.append(_send_every(call, harmful_interval_s, seconds, harmful_from_s))
    await asyncio.gather(*senders)


async def _send_every(
    call: Callable[[], Coroutine[None, None, None]],
    interval_s: float,
    seconds: float,
    delay_s: float = 0.0,
) -> None:
    """Start a call every *interval_s*, and wait until all have ended."""
    await asyncio.sleep(delay_s)
    calls = []
    for _ in range(int(seconds / interval_s)):
        calls.append(asyncio.ensure_future(call()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*calls)
