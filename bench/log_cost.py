"""Measures the processor time of log lines: ``python -m bench.log_cost``.

A line may be written, dropped by the rate limit or below the log level.
"""

from __future__ import annotations

import time

from gradepoint import events
from gradepoint.telemetry import logs
from gradepoint.telemetry.line_writer import LineWriter

LINES = 20_000


def measure(lines_per_s: float, level: str) -> float:
    """Return the processor time of one log call in microseconds."""
    logs.configure("bench", "bench", level=level)
    logs._writers[:] = [LineWriter(len, lines_per_s=lines_per_s)]
    begun = time.process_time()
    for number in range(LINES):
        logs.emit(events.CALL_SENT, request=f"r{number}", route="r", target="t", load=0.5)
    return (time.process_time() - begun) / LINES * 1e6


def main() -> None:
    """Print the cost of a written line, a dropped one and one below the level."""
    print(f"written: {measure(1e9, 'INFO'):.1f} us a line")
    print(f"left out: {measure(1.0, 'INFO'):.1f} us a line")
    print(f"below the level: {measure(1e9, 'ERROR'):.1f} us a line")


if __name__ == "__main__":
    main()
