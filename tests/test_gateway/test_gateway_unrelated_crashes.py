"""Tests that crashes which no request caused hold back no sound request and no part of prompts.

A third of the targets crash one after the other, as with a fault of their machines. By hand:
``python -m tests.test_gateway.test_gateway_unrelated_crashes FIRST_SEED COUNT``.
"""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import dataclass, field

import msgspec
import pytest

from gradepoint.telemetry import logs
from gradepoint.util.hashing import sha256_hex
from tests.support.crasher import TargetCrasher
from tests.support.platform import CallAnswer, Deployment, job_item, run_in_virtual_time, until

HOSTS = 3
CALL_INTERVAL_S = 0.05
TRAFFIC_S = 10.0
CRASHES_FROM_S = 3.0
PATHS = ["single/plain", "plain", "plain/plain", "stream", "resume"]
SYSTEM_PART = "5c1e07a2"
POPULAR_REQUESTS = 5
COMMON_PARTS = 5
RARE_PARTS = 40
HELD_CODES = (b"request_held", b"prompt_part_held")


@dataclass
class Draw:
    """Sound traffic and unrelated crashes of one seed.

    :ivar held: keys that any host has held back.
    """

    deployment: Deployment
    seed: int
    held: set[int] = field(default_factory=set)
    answers: list[CallAnswer] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def run(self) -> None:
        """Send sound calls and items while a third of the targets crash one after the other."""
        targets = self.rng.choice([6, 12])
        await self.deployment.start(gateways=HOSTS, targets=0)
        crasher = TargetCrasher(self.deployment, self.rng.choice([0.4, 3.0]))
        crasher.renames_on_restart = self.rng.random() < 0.5
        work_s = self.rng.choice([0.1, 0.5, 2.0])
        await crasher.add_targets(targets, work_s=work_s, events=10, event_interval_s=work_s / 10)
        for gateway in self.deployment.gateways:
            await until(lambda gateway=gateway: len(gateway.targets.by_id) >= targets)  # type: ignore[misc]
        await self._submit_items()
        crashes = asyncio.ensure_future(self._crash_targets(crasher, targets // 3))
        calls = []
        for number in range(int(TRAFFIC_S / CALL_INTERVAL_S)):
            calls.append(asyncio.ensure_future(self._call(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
            self._note_held()
        await asyncio.gather(*calls, crashes)
        self._note_held()

    def check(self) -> None:
        """Check that nothing was held back."""
        assert not self.held
        assert not [a for a in self.answers if any(code in a.body for code in HELD_CODES)]

    def _note_held(self) -> None:
        for gateway in self.deployment.gateways:
            self.held.update(gateway.suspicion.suspects.held)

    async def _submit_items(self) -> None:
        items = [job_item("job", index) for index in range(12)]
        for item in items:
            item["headers"]["X-Prompt-Prefix"] = self._draw_prompt()
        body = msgspec.json.encode({"items": items})
        await self.deployment.call("/night/job", body=body, request_id="job")

    async def _crash_targets(self, crasher: TargetCrasher, count: int) -> None:
        await asyncio.sleep(CRASHES_FROM_S)
        for _ in range(count):
            running = [t for t in self.deployment.targets if t.name not in crasher.down]
            crasher.crash(self.rng.choice(running))
            await asyncio.sleep(self.rng.uniform(0.02, 1.0))

    def _draw_prompt(self) -> str:
        document = self.rng.choice(
            [f"d{self.rng.randrange(COMMON_PARTS)}", f"e{self.rng.randrange(RARE_PARTS)}"]
        )
        return f"{SYSTEM_PART}:100,{sha256_hex(document.encode())[:8]}:100,{self.rng.random()}:1"

    async def _call(self, number: int) -> None:
        """Send a call, and once more if it fails, with the same content and another id."""
        path = self.rng.choice(PATHS)
        popular = self.rng.random() < 0.3
        name = f"popular-{self.rng.randrange(POPULAR_REQUESTS)}" if popular else f"call-{number}"
        prompt = self._draw_prompt()
        for attempt in range(2):
            answer = await self.deployment.call(
                f"/{path}/{name}",
                body=name.encode(),
                gateway=(number + attempt) % HOSTS,
                x_prompt_prefix=prompt,
            )
            self.answers.append(answer)
            if answer.status == 200 and not answer.broken:
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.05)))


def run_draw(seed: int) -> Draw:
    """Run the draw of a seed."""
    draws: list[Draw] = []

    async def work(deployment: Deployment) -> None:
        draws.append(Draw(deployment, seed))
        await draws[0].run()

    run_in_virtual_time(work, seed)
    return draws[0]


@pytest.mark.parametrize("seed", range(12))
def test_unrelated_crashes_hold_back_no_sound_request_and_no_sound_part(seed: int) -> None:
    run_draw(seed).check()


if __name__ == "__main__":
    logs.configure("tests", "tests", level="ERROR")
    first, count = map(int, sys.argv[1:3])
    for seed in range(first, first + count):
        draw = run_draw(seed)
        failed = sum(answer.status != 200 for answer in draw.answers)
        print(f"seed {seed}: held {len(draw.held)}, {failed} of {len(draw.answers)} not served")
