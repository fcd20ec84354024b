"""The built-in scenarios: fleets and generated traces with fixed seeds."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from bench.traces import Kind, TraceLine, poisson_times

from .simulation import FleetShape

KASITOO = FleetShape(
    "kasitoo-turg", entries=6, runners=6, domain_s=0.001, caller_s=0.003, tail_preference=0.3
)
LANTERNBY = FleetShape(
    "lanternby", entries=9, runners=9, domain_s=0.0005, caller_s=0.001, tail_preference=0.9
)
LARGE = FleetShape("letter-1", entries=40, runners=84, domains=5, models=21)


@dataclass(frozen=True)
class Scenario:
    """A trace and the fleet on which it is replayed.

    :param seconds: length of the replay.
    :param bursty: whether the objectives for bursty traces apply.
    """

    name: str
    shape: FleetShape
    seconds: float
    lines: list[TraceLine]
    bursty: bool


def online_calls(
    rng: random.Random,
    times: list[float],
    *,
    prompt: tuple[int, int] = (60, 400),
    output: tuple[int, int] = (8, 40),
    prefixes: int = 40,
    prefix_tokens: int = 40,
    org: str = "demo",
    model: str = "model-0",
) -> list[TraceLine]:
    """Return online calls that arrive at *times*.

    :param prompt: range of the tokens in the prompt after its shared prefix.
    :param output: range of the output tokens.
    :param prefixes: number of different shared prefixes.
    :param prefix_tokens: tokens of each shared prefix.
    """
    return [
        TraceLine(
            t=t,
            kind=Kind.ONLINE,
            org=org,
            model=model,
            prompt_tokens=rng.randint(*prompt) + prefix_tokens,
            output_tokens=rng.randint(*output),
            prefix=f"{org}-{rng.randrange(prefixes)}",
            prefix_tokens=prefix_tokens,
            deadline_s=10.0,
        )
        for t in times
    ]


def batch_job(items: int, t: float = 0.0) -> TraceLine:
    """Return a batch job with the prompt and output lengths of translations."""
    return TraceLine(t=t, kind=Kind.BATCH_JOB, items=items, prompt_tokens=220, output_tokens=160)


def burst_times(rng: random.Random, seconds: float, base: float, peak: float) -> list[float]:
    """Return arrival times at a base rate, with bursts of 1 to 10 s at the peak rate."""
    times = poisson_times(rng, base, 0, seconds)
    now = rng.uniform(4, 10)
    while now < seconds:
        length = rng.uniform(1, 10)
        times += poisson_times(rng, peak - base, now, min(seconds, now + length))
        now += length + rng.uniform(5, 20)
    return sorted(times)


def make_scenarios(scale: float = 1.0) -> dict[str, Scenario]:
    """Return all scenarios by name; *scale* below 1 shortens them for CI."""
    seconds = 120.0 * scale
    items = 40000
    scenarios: list[Scenario] = []

    def add(name: str, shape: FleetShape, lines: list[TraceLine], *, bursty: bool = True) -> None:
        ordered = sorted([batch_job(items), *lines], key=lambda line: line.t)
        scenarios.append(Scenario(name, shape, seconds, ordered, bursty))

    rng = random.Random(1)
    add(
        "kasitoo-steady",
        KASITOO,
        online_calls(rng, poisson_times(rng, 60, 0, seconds)),
        bursty=False,
    )
    add(
        "lanternby-steady",
        LANTERNBY,
        online_calls(rng, poisson_times(rng, 90, 0, seconds)),
        bursty=False,
    )
    add("kasitoo-bursts", KASITOO, online_calls(rng, burst_times(rng, seconds, 30, 160)))
    add("lanternby-bursts", LANTERNBY, online_calls(rng, burst_times(rng, seconds, 40, 240)))
    day = [
        t
        for t in poisson_times(rng, 120, 0, seconds)
        if rng.random() < 0.5 - 0.5 * math.cos(2 * math.pi * t / seconds)
    ]
    add("kasitoo-day", KASITOO, online_calls(rng, day))
    add(
        "kasitoo-prefix",
        KASITOO,
        online_calls(
            rng, poisson_times(rng, 60, 0, seconds), prefixes=60, prefix_tokens=900, prompt=(20, 80)
        ),
        bursty=False,
    )
    long_tail = online_calls(rng, poisson_times(rng, 50, 0, seconds))
    long_tail += online_calls(rng, poisson_times(rng, 1, 0, seconds), prompt=(3000, 7000))
    add("kasitoo-long-prompts", KASITOO, long_tail, bursty=False)
    flood = online_calls(rng, poisson_times(rng, 40, 0, seconds))
    flood += online_calls(rng, poisson_times(rng, 500, seconds * 0.3, seconds * 0.6), org="flood")
    add("kasitoo-flood", KASITOO, flood)
    base = online_calls(rng, burst_times(rng, seconds, 30, 130))
    middle = seconds * 0.4
    add(
        "kasitoo-target-lost",
        KASITOO,
        [*base, TraceLine(t=middle, kind=Kind.FAULT, fault="lost", subject="runner-1", for_s=10.0)],
    )
    add(
        "kasitoo-target-slow",
        KASITOO,
        [
            *base,
            TraceLine(
                t=middle, kind=Kind.FAULT, fault="slow", subject="runner-1", for_s=20.0, value=5.0
            ),
        ],
    )
    add(
        "kasitoo-reports-late",
        KASITOO,
        [*base, TraceLine(t=1.0, kind=Kind.FAULT, fault="report_lag", for_s=seconds, value=5.0)],
    )
    add(
        "lanternby-domain-lost",
        LANTERNBY,
        [
            *online_calls(rng, burst_times(rng, seconds, 40, 160)),
            TraceLine(t=middle, kind=Kind.FAULT, fault="lost", subject="domain-1", for_s=20.0),
        ],
    )
    add(
        "kasitoo-drain",
        KASITOO,
        [
            *base,
            TraceLine(t=middle, kind=Kind.FAULT, fault="drain", subject="runner-2", for_s=60.0),
        ],
    )
    large: list[TraceLine] = []
    for model in range(LARGE.models):
        large += online_calls(rng, burst_times(rng, seconds / 3, 3, 16), model=f"model-{model}")
    ordered = sorted([batch_job(items), *large], key=lambda line: line.t)
    scenarios.append(Scenario("letter-1-tenth", LARGE, seconds / 3, ordered, True))
    return {scenario.name: scenario for scenario in scenarios}
