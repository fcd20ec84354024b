"""Counters count before their library is loaded, and after it."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys

from gradepoint.telemetry import metrics
from gradepoint.telemetry.metrics import LateCounter, LateHistogram

HEAVY = ("opentelemetry.sdk", "prometheus_client", "typer")


class FakeInstrument:
    """Stands for the library's counter or histogram."""

    def __init__(self) -> None:
        self.seen: list[tuple[float, dict[str, str] | None]] = []

    def add(self, amount: float, labels: dict[str, str] | None = None) -> None:
        """Take a count."""
        self.seen.append((amount, labels))

    record = add


class FakeMeter:
    """Makes instruments."""

    def __init__(self) -> None:
        self.made: dict[str, FakeInstrument] = {}

    def create_counter(self, name: str, *_: str) -> FakeInstrument:
        """Return a new instrument."""
        return self.made.setdefault(name, FakeInstrument())

    create_histogram = create_counter


def test_what_was_counted_early_is_handed_over_once() -> None:
    counter, histogram, meter = LateCounter("calls"), LateHistogram("time", "s"), FakeMeter()
    counter.add(1, {"reason": "a"})
    counter.add(2, {"reason": "a"})
    counter.add(1)
    histogram.record(0.5)
    for instrument in (counter, histogram):
        instrument.connect(meter)
    counter.add(5, {"reason": "b"})
    histogram.record(0.7)
    assert meter.made["calls"].seen == [(3, {"reason": "a"}), (1, {}), (5, {"reason": "b"})]
    assert meter.made["time"].seen == [(0.5, None), (0.7, None)]


def test_the_page_shows_what_was_counted_before_it_was_asked_for() -> None:
    metrics.shared().objects.add(3, {"operation": "early"})
    first = asyncio.run(metrics.render())
    metrics.shared().objects.add(1, {"operation": "early"})
    second = asyncio.run(metrics.render())
    for page, count in ((first, 3.0), (second, 4.0)):
        assert re.search(rb'gradepoint_objects_total\{operation="early".*\} %.1f\n' % count, page)


def test_a_program_starts_without_the_libraries_that_its_first_call_does_not_need() -> None:
    for program in ("gateway", "data_host"):
        code = f"import sys, gradepoint.cmd.{program}; print(*sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(done.stdout.decode().split())
        assert loaded.isdisjoint(HEAVY)


def test_a_wrong_command_line_is_explained() -> None:
    code = [sys.executable, "-m", "gradepoint.cmd.data_host"]
    wrong = subprocess.run([*code, "--setting", "x"], capture_output=True, check=False)
    assert wrong.returncode == 2 and b"--settings" in wrong.stderr
    told = subprocess.run([*code, "--help"], capture_output=True, check=True)
    assert b"Keep jobs for this host" in told.stdout
