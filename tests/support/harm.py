"""Traffic with requests that crash their targets, in a deployment in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .crasher import TargetCrasher
from .platform import CallAnswer, Deployment, until

HARMFUL_INTERVAL_S = 0.25
"""Seconds between repeats of one harmful request."""
GOOD_INTERVAL_S = 0.05
"""Seconds between good calls."""
TRAFFIC_S = 14.0
"""Seconds for which calls are sent."""
PROPAGATION_S = 3.0
"""Seconds after its third crash within which every host has to know a harmful request."""
PATH = "single/plain"
"""Path of calls that may run only once and whose answers are not streamed."""


@dataclass
class HarmfulTraffic:
    """Records the sends and the answers of harmful and good calls.

    :ivar sends: loop times at which each harmful body reached a target.
    :ivar good_answers: answers to good calls.
    :ivar harmful_answers: answers to harmful calls.
    """

    deployment: Deployment
    crasher: TargetCrasher
    harmful: list[bytes]
    sends: dict[bytes, list[float]] = field(default_factory=dict)
    good_answers: list[CallAnswer] = field(default_factory=list)
    harmful_answers: list[CallAnswer] = field(default_factory=list)

    def count_late_sends(self, body: bytes) -> int:
        """Count the sends of a harmful body after every host has to know it.

        That is :data:`PROPAGATION_S` after its third crash.
        """
        sends = self.sends.get(body, [])
        if len(sends) < 3:
            return 0
        third_crash = sends[2] + self.deployment.targets[0].crash_delay_s
        return sum(at > third_crash + PROPAGATION_S for at in sends)

    @property
    def served_share(self) -> float:
        """Share of the good calls that were answered with 200."""
        return sum(answer.status == 200 for answer in self.good_answers) / len(self.good_answers)

    def good_status_counts(self) -> Counter[int]:
        """Return how many good calls got each status."""
        return Counter(answer.status for answer in self.good_answers)


async def start_harmful_traffic(
    deployment: Deployment, hosts: int, targets: int, harmful: list[bytes], work_s: float
) -> HarmfulTraffic:
    """Start hosts and then targets that harmful requests crash."""
    await deployment.start(gateways=hosts, targets=0)
    crasher = TargetCrasher(deployment)
    traffic = HarmfulTraffic(deployment, crasher, harmful)
    await crasher.add_targets(targets, work_s=work_s, crash_delay_s=0.1, harmful=set(harmful))
    for target in deployment.targets:
        target.on_request = lambda _, body: _record_send(traffic, body)
    for gateway in deployment.gateways:
        await until(lambda gateway=gateway: len(gateway.targets.by_id) == targets)  # type: ignore[misc]
    return traffic


def _record_send(traffic: HarmfulTraffic, body: bytes) -> None:
    if body in traffic.harmful:
        traffic.sends.setdefault(body, []).append(asyncio.get_running_loop().time())


async def send_repeatedly(
    traffic: HarmfulTraffic,
    answers: list[CallAnswer],
    interval_s: float,
    make_call: Callable[[int], tuple[str, bytes]],
    seconds: float = TRAFFIC_S,
) -> None:
    """Send a call every *interval_s*, to the hosts in turn, without waiting for the answers.

    :param make_call: returns path and body of the call with the given number.
    """
    calls = []
    for number in range(int(seconds / interval_s)):
        path, body = make_call(number)
        host = number % len(traffic.deployment.gateways)
        calls.append(asyncio.ensure_future(traffic.deployment.call(path, body=body, gateway=host)))
        await asyncio.sleep(interval_s)
    answers += await asyncio.gather(*calls)


async def send_harmful_traffic(
    traffic: HarmfulTraffic, make_good: Callable[[int], tuple[str, bytes]]
) -> None:
    """Send the harmful requests repeatedly, and good calls at the same time."""
    harmful_senders = [
        send_repeatedly(
            traffic,
            traffic.harmful_answers,
            HARMFUL_INTERVAL_S,
            lambda _, body=body: (f"/{PATH}/harm", body),
        )  # type: ignore[misc]
        for body in traffic.harmful
    ]
    await asyncio.gather(
        send_repeatedly(traffic, traffic.good_answers, GOOD_INTERVAL_S, make_good), *harmful_senders
    )
