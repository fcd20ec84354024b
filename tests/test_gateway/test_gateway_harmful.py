"""Requests that end the targets that run them.

A caller sent one request again and again, each time with another id and at another host. Each of
its sends ended a target, and with it every call that the target had: 14 lives of six targets within
14 seconds. Nothing connected one send with the next, since a request was known by the id of one
try, and only the number of targets within one try was bounded.

    9.6849 call_sent target=i-e62cc86b8a    9.7735 call_refused path=.../c8fa code=target_lost
    10.4877 call_sent target=i-4c5d52cfd0  10.5853 call_refused path=.../c8fa code=target_lost
    11.3987 call_sent target=i-b04cae69c9  11.5241 call_refused path=.../c8fa code=target_lost

and so on until 23.96, beside 206 tries of other calls at closed ports of targets that had ended.
"""

from __future__ import annotations

import pytest

from tests.support.harm import PATH, play_day, start_day
from tests.support.platform import Deployment, run_in_virtual_time

HARMFUL = [b"harmful one", b"harmful two"]
LATE_SENDS = 3
"""Sends of one harmful request that are allowed once every host has to know of it."""
SERVED_SHARE = 0.95


def make_distinct(number: int) -> tuple[str, bytes]:
    """Return path and body of a good call that no other one has."""
    return f"/{PATH}/{number}", b"good %d" % number


def make_neighbour(number: int) -> tuple[str, bytes]:
    """Return a good call that has the path of the harmful ones."""
    return f"/{PATH}/harm", b"good %d" % number


def make_equal(_: int) -> tuple[str, bytes]:
    """Return a good call that is the same request each time."""
    return f"/{PATH}/same", b"good"


@pytest.mark.parametrize("make_good", [make_distinct, make_neighbour, make_equal])
@pytest.mark.parametrize("work_s", [0.03, 0.3])
@pytest.mark.parametrize(("hosts", "targets"), [(4, 12), (6, 6)])
def test_a_request_that_ends_its_targets_is_held_back_and_good_calls_are_served(
    hosts: int, targets: int, work_s: float, make_good: object
) -> None:
    async def work(deployment: Deployment) -> None:
        day = await start_day(deployment, hosts, targets, HARMFUL, work_s)
        await play_day(day, make_good)  # type: ignore[arg-type]
        sends = [len(day.sends[body]) for body in HARMFUL]
        late = [day.late_sends(body) for body in HARMFUL]
        print(f"sends {sends}, late {late}, good {dict(day.outcomes())}")
        assert max(late) <= LATE_SENDS
        assert day.served >= SERVED_SHARE

    run_in_virtual_time(work)
