"""Tests with requests that crash the targets that run them.

A caller may send one harmful request repeatedly, each time with another id and to another host.
Each send crashes a target and fails every call on it. If hosts know a request only by the id of one
call and bound only the targets of that call, nothing connects the sends: one such request can crash
six targets 14 times within 14 seconds, about one crash a second, while other calls make 206
attempts at closed ports of crashed targets.
"""

from __future__ import annotations

import pytest

from tests.support.harm import PATH, send_harmful_traffic, start_harmful_traffic
from tests.support.platform import Deployment, run_in_virtual_time

HARMFUL = [b"harmful one", b"harmful two"]
LATE_SENDS = 3
"""Sends of one harmful request allowed after every host has to know of it."""
SERVED_SHARE = 0.95


def make_distinct(number: int) -> tuple[str, bytes]:
    """Return a path and a body that no other good call has."""
    return f"/{PATH}/{number}", b"good %d" % number


def make_neighbour(number: int) -> tuple[str, bytes]:
    """Return the path of the harmful calls and a distinct body."""
    return f"/{PATH}/harm", b"good %d" % number


def make_equal(_: int) -> tuple[str, bytes]:
    """Return the same path and body for every good call."""
    return f"/{PATH}/same", b"good"


@pytest.mark.parametrize("make_good", [make_distinct, make_neighbour, make_equal])
@pytest.mark.parametrize("work_s", [0.03, 0.3])
@pytest.mark.parametrize(("hosts", "targets"), [(4, 12), (6, 6)])
def test_crashing_request_held_while_good_calls_are_served(
    hosts: int, targets: int, work_s: float, make_good: object
) -> None:
    async def work(deployment: Deployment) -> None:
        traffic = await start_harmful_traffic(deployment, hosts, targets, HARMFUL, work_s)
        await send_harmful_traffic(traffic, make_good)  # type: ignore[arg-type]
        sends = [len(traffic.sends[body]) for body in HARMFUL]
        late = [traffic.count_late_sends(body) for body in HARMFUL]
        print(f"sends {sends}, late {late}, good {dict(traffic.good_status_counts())}")
        assert max(late) <= LATE_SENDS
        assert traffic.served_share >= SERVED_SHARE

    run_in_virtual_time(work)
