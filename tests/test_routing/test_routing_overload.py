"""Decision how many new connections an overloaded host accepts."""

from __future__ import annotations

import random

import pytest

from gradepoint.routing.overload import (
    INCREASE,
    MAX_LAG_S,
    MIN_LATE_CHECKS,
    MIN_SHARE,
    AcceptLimiter,
)

CHECK_S = 0.1
"""Seconds between two checks of the event loop."""


def accept_many(limiter: AcceptLimiter, count: int) -> int:
    """Return how many of some connections are accepted."""
    return sum(limiter.accept() for _ in range(count))


def test_all_connections_are_accepted_while_the_loop_keeps_up() -> None:
    limiter = AcceptLimiter()
    for _ in range(100):
        limiter.note_lag(MAX_LAG_S)
        assert limiter.accept()


def test_single_delays_of_the_loop_refuse_no_connection() -> None:
    limiter = AcceptLimiter()
    for check in range(100):
        limiter.note_lag(0.0 if check % MIN_LATE_CHECKS == 0 else 1.0)
        assert limiter.accept()


def test_share_falls_to_a_minimum_and_recovers() -> None:
    limiter = AcceptLimiter()
    for _ in range(50):
        limiter.note_lag(1.0)
    assert accept_many(limiter, 1000) == pytest.approx(1000 * MIN_SHARE, abs=1)
    for _ in range(int(1.0 / INCREASE)):
        limiter.note_lag(0.0)
    assert accept_many(limiter, 1000) == 1000


def test_overloaded_host_with_few_callers_accepts_some_of_them() -> None:
    limiter = AcceptLimiter()
    for _ in range(50):
        limiter.note_lag(1.0)
    accepted = 0
    for _ in range(10):
        limiter.note_lag(1.0)
        accepted += limiter.accept()
    assert accepted >= 4


@pytest.mark.parametrize("load", [0.5, 0.9, 1.5, 2.5, 5.0])
@pytest.mark.parametrize("seed", range(5))
def test_accepted_load_stays_near_the_capacity_of_the_host(load: float, seed: int) -> None:
    # The loop is late by the work that has not been done yet. Each connection brings 5 ms of work.
    rng = random.Random(seed)
    limiter = AcceptLimiter()
    backlog_s, accepted, refused, lags = 0.0, 0, 0, []
    for check in range(300):
        span_s = CHECK_S + backlog_s
        arrived = sum(rng.random() < 0.5 for _ in range(int(2 * load * span_s / 0.005)))
        taken = accept_many(limiter, arrived)
        backlog_s = max(0.0, backlog_s + taken * 0.005 - span_s)
        limiter.note_lag(backlog_s)
        if check >= 30:
            accepted, refused = accepted + taken, refused + arrived - taken
            lags.append(backlog_s)
    share = accepted / (accepted + refused)
    print(f"load {load}: accepted {share:.3f}, mean lag {sum(lags) / len(lags):.3f} s")
    assert share >= 0.75 * min(1.0, 1.0 / load)
    assert sum(lags) / len(lags) <= 2 * MAX_LAG_S
    if load < 1.0:
        assert share >= 0.99
