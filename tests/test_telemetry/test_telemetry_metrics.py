"""Instruments work before and after the metrics library is imported."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys

from gradepoint.telemetry import metrics
from gradepoint.telemetry.metrics import BufferedCounter, BufferedHistogram

DEFERRED_LIBRARIES = ("opentelemetry.sdk", "prometheus_client", "typer")


class FakeInstrument:
    """Fake of the library's counter or histogram, which records what it receives."""

    def __init__(self) -> None:
        self.seen: list[tuple[float, dict[str, str] | None]] = []

    def add(self, amount: float, labels: dict[str, str] | None = None) -> None:
        """Record an amount and its labels."""
        self.seen.append((amount, labels))

    record = add


class FakeMeter:
    """Fake meter, which keeps the instruments it creates by name."""

    def __init__(self) -> None:
        self.made: dict[str, FakeInstrument] = {}

    def create_counter(self, name: str, *_: str) -> FakeInstrument:
        """Return the instrument of a name, creating it if needed."""
        return self.made.setdefault(name, FakeInstrument())

    create_histogram = create_counter


def test_buffered_values_are_passed_to_the_library_once() -> None:
    # Values recorded before the connection must be neither lost nor counted twice.
    counter, histogram, meter = (
        BufferedCounter("calls"),
        BufferedHistogram("time", "s"),
        FakeMeter(),
    )
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


def test_page_shows_counts_from_before_its_first_request() -> None:
    # The first request of the page imports the library and connects the instruments.
    metrics.shared().objects.add(3, {"operation": "early"})
    first = asyncio.run(metrics.render())
    metrics.shared().objects.add(1, {"operation": "early"})
    second = asyncio.run(metrics.render())
    for page, count in ((first, 3.0), (second, 4.0)):
        assert re.search(rb'gradepoint_objects_total\{operation="early".*\} %.1f\n' % count, page)


def test_program_start_does_not_import_deferred_libraries() -> None:
    # Importing these libraries at startup would delay the first call after a restart.
    for program in ("gateway", "data_host"):
        code = f"import sys, gradepoint.cmd.{program}; print(*sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(done.stdout.decode().split())
        assert loaded.isdisjoint(DEFERRED_LIBRARIES)


def test_wrong_command_line_prints_usage() -> None:
    # The command line is parsed without typer where it has the usual form; any other form must
    # still get usage errors and help.
    code = [sys.executable, "-m", "gradepoint.cmd.data_host"]
    wrong = subprocess.run([*code, "--setting", "x"], capture_output=True, check=False)
    assert wrong.returncode == 2 and b"--settings" in wrong.stderr
    shown = subprocess.run([*code, "--help"], capture_output=True, check=True)
    assert b"Keep jobs for this host" in shown.stdout
