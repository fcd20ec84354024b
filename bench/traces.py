"""Traces: what callers, operators and failures do, and when (docs/reference/traces.md)."""

from __future__ import annotations

import random
from enum import Enum
from pathlib import Path

import msgspec


class Kind(Enum):
    """Kind of a trace line."""

    ONLINE = "online"
    SERVICE = "service"
    LOT = "lot"
    FAULT = "fault"


class TraceLine(msgspec.Struct, omit_defaults=True):
    """One line of a trace.

    :param t: seconds from the trace's start.
    :param prefix: name of the prompt's shared beginning.
    :param items: items of a lot.
    :param fault: kind of a fault, with *subject*, *for_s* and *value*.
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
    """Return a trace's lines in order of time."""
    lines = [
        msgspec.json.decode(raw, type=TraceLine)
        for raw in path.read_bytes().splitlines()
        if raw.strip()
    ]
    return sorted(lines, key=lambda line: line.t)


def write_trace(path: Path, lines: list[TraceLine]) -> None:
    """Write a trace."""
    path.parent.mkdir(parents=True, exist_ok=True)
    ordered = sorted(lines, key=lambda line: line.t)
    path.write_bytes(b"\n".join(msgspec.json.encode(line) for line in ordered) + b"\n")


def poisson_times(rng: random.Random, rate: float, start: float, end: float) -> list[float]:
    """Return arrival times at *rate* a second."""
    times: list[float] = []
    now = start
    while rate > 0:
        now += rng.expovariate(rate)
        if now >= end:
            break
        times.append(round(now, 4))
    return times
