"""Generates the traces in bench/traces for the demo: ``python -m bench.make_demo_traces``."""

from __future__ import annotations

import random

from .processes import ROOT
from .traces import Kind, TraceLine, poisson_times, write_trace

SECONDS = 12.0


def make_kasitoo(seed: int = 1) -> list[TraceLine]:
    """Return online calls of shops with a burst from second 6 to 8, and one large batch job."""
    rng = random.Random(seed)
    times = poisson_times(rng, 8, 0, SECONDS) + poisson_times(rng, 40, 6, 8)
    lines = [
        TraceLine(
            t=t,
            kind=Kind.ONLINE,
            prompt_tokens=rng.randint(20, 120),
            output_tokens=rng.randint(4, 14),
            prefix=f"shop-{rng.randint(1, 12)}",
            stream=rng.random() < 0.8,
            keyed=rng.random() < 0.1,
        )
        for t in times
    ]
    lines.append(
        TraceLine(t=0.5, kind=Kind.BATCH_JOB, items=600, prompt_tokens=60, output_tokens=24)
    )
    return lines


def make_lanternby(seed: int = 2) -> list[TraceLine]:
    """Return online calls of tills, service calls, and a small batch job each second."""
    rng = random.Random(seed)
    lines = [
        TraceLine(
            t=t,
            kind=Kind.ONLINE,
            prompt_tokens=rng.randint(20, 60),
            output_tokens=rng.randint(6, 16),
            prefix="till",
            stream=True,
        )
        for t in poisson_times(rng, 10, 0, SECONDS)
    ]
    for t in poisson_times(rng, 6, 0, SECONDS):
        repeatable = rng.random() < 0.5
        lines.append(TraceLine(t=t, kind=Kind.SERVICE, repeatable=repeatable, keyed=not repeatable))
    for number in range(8):
        lines.append(
            TraceLine(
                t=0.5 + number, kind=Kind.BATCH_JOB, items=30, prompt_tokens=80, output_tokens=30
            )
        )
    return lines


if __name__ == "__main__":
    folder = ROOT / "bench" / "traces"
    write_trace(folder / "demo-kasitoo-turg.jsonl", make_kasitoo())
    write_trace(folder / "demo-lanternby.jsonl", make_lanternby())
