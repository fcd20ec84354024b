"""Traces: timed calls, batch jobs and faults as JSON lines (docs/reference/traces.md)."""

from __future__ import annotations

import random
from enum import Enum
from pathlib import Path

import msgspec


class Kind(Enum):
    """Kind of a trace line: an online completion, a service call, a batch job or a fault."""

    ONLINE = "online"
    SERVICE = "service"
    BATCH_JOB = "lot"
    FAULT = "fault"


class TraceLine(msgspec.Struct, omit_defaults=True):
    """One line of a trace; the field names are the keys of the file.

    :param t: seconds from the trace's start.
    :param prefix: name of the prefix that the prompt shares with others, *prefix_tokens* long.
    :param keyed: whether the call has an idempotency key.
    :param items: number of items of a batch job.
    :param fault: kind of a fault; *subject* is the target or failure domain it affects, *for_s* its
        duration in seconds and *value* its strength.
    """

    t: float
    kind: Kind
    org: str = "demo"
    model: str = ""
    prompt_tokens: int = 32
    output_tokens: int = 8
    prefix: str = ""
    prefix_tokens: int = 0
    stream: bool = True
    repeatable: bool = True
    keyed: bool = False
    deadline_s: float = 30.0
    items: int = 0
    fault: str = ""
    subject: str = ""
    for_s: float = 0.0
    value: float = 0.0


def read_trace(path: Path) -> list[TraceLine]:
    """Read a trace file; return its lines sorted by time."""
    lines = [
        msgspec.json.decode(raw, type=TraceLine)
        for raw in path.read_bytes().splitlines()
        if raw.strip()
    ]
    return sorted(lines, key=lambda line: line.t)


def write_trace(path: Path, lines: list[TraceLine]) -> None:
    """Write a trace file, sorted by time."""
    path.parent.mkdir(parents=True, exist_ok=True)
    ordered = sorted(lines, key=lambda line: line.t)
    path.write_bytes(b"\n".join(msgspec.json.encode(line) for line in ordered) + b"\n")


def poisson_times(rng: random.Random, rate: float, start: float, end: float) -> list[float]:
    """Draw the arrival times of a Poisson process of *rate* a second."""
    times: list[float] = []
    now = start
    while rate > 0:
        now += rng.expovariate(rate)
        if now >= end:
            break
        times.append(round(now, 4))
    return times
