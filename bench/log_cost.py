"""Processor time of a log line, written and left out: ``python -m bench.log_cost``."""

from __future__ import annotations

import time

from gradepoint import events
from gradepoint.telemetry import logs
from gradepoint.telemetry.line_writer import LineWriter

LINES = 20_000


def measure(lines_per_s: float, level: str) -> float:
    """Return microseconds of processor time for a line."""
    logs.configure("bench", "bench", level=level)
    logs._writers[:] = [LineWriter(len, lines_per_s=lines_per_s)]
    begun = time.process_time()
    for number in range(LINES):
        logs.emit(events.CALL_SENT, request=f"r{number}", route="r", target="t", load=0.5)
    return (time.process_time() - begun) / LINES * 1e6


def main() -> None:
    """Print the three costs."""
    print(f"written: {measure(1e9, 'INFO'):.1f} us a line")
    print(f"left out: {measure(1.0, 'INFO'):.1f} us a line")
    print(f"below the level: {measure(1e9, 'ERROR'):.1f} us a line")


if __name__ == "__main__":
    main()
