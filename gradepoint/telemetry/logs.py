"""Structured logs.

Every line is an event of the catalogue in :mod:`gradepoint.events`. JSON lines are written without
loguru, whose import takes 11 ms of processor time, a tenth of a gateway's start.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import traceback
from datetime import datetime
from typing import TYPE_CHECKING

import msgspec

from .line_writer import LineWriter, write_to

if TYPE_CHECKING:
    from typing import Any

    from ..events import Event

LEVELS = {
    "TRACE": 5,
    "DEBUG": 10,
    "INFO": 20,
    "SUCCESS": 25,
    "WARNING": 30,
    "ERROR": 40,
    "CRITICAL": 50,
}
"""loguru's levels and their numbers; lines of WARNING or above report failures."""
REPORT_INTERVAL_S = 1.0
"""Seconds between reports of dropped lines, and between attempts to write queued lines."""
STANDARD_OUTPUT = 1
"""File descriptor of the standard output."""
MAX_REPORTED_FAILURES = 10
"""Log lines that cannot be encoded and are reported on the standard error. More could fill a pipe
that nobody reads, and writing would block."""

_writers: list[LineWriter] = []
"""Writers of JSON lines; empty before :func:`configure` and with style ``text``."""
_common: dict[str, str] = {}
"""Fields of every JSON line: name of the program and of the host."""
_failures = 0
"""Number of log lines that could not be encoded."""
_lowest = LEVELS["INFO"]
"""Number of the lowest level of which JSON lines are written."""


def configure(program: str, host: str, level: str = "INFO", style: str = "json") -> None:
    """Send log lines to standard output.

    :param program: name of the program, written with every line.
    :param host: name of the host, written with every line.
    :param level: lowest level that is written.
    :param style: ``json`` for one JSON object per line, written by a :class:`LineWriter`, which
        never blocks and limits the rate; ``text`` for human readers, without these limits.
    """
    global _lowest
    if level not in LEVELS:
        raise ValueError(f"Level {level!r} does not exist")
    _writers.clear()
    if style == "json":
        _common.update(program=program, host=host)
        _lowest = LEVELS[level]
        _writers.append(LineWriter(write_to(STANDARD_OUTPUT)))
        return
    from loguru import logger

    logger.remove()
    logger.configure(extra={"program": program, "host": host})
    text = "{time:HH:mm:ss.SSS} {level: <7} {extra[program]} {message}"
    logger.add(sys.stdout, level=level, format=text, enqueue=False)


def emit(event: Event, **fields: Any) -> None:
    """Log *event* with its fields.

    :param fields: values by the field names that appear in the log line.
    """
    global _failures
    if _writers:
        try:
            _write_json(event, fields)
        except Exception:
            # A call must not fail because its log line cannot be encoded, nor because the standard
            # error is a closed pipe.
            _failures += 1
            if _failures <= MAX_REPORTED_FAILURES:
                with contextlib.suppress(OSError):
                    traceback.print_exc()
        return
    from loguru import logger

    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=1).log(event.level, f"{event.number} {event.name} {text}".rstrip())


def _write_json(event: Event, fields: dict[str, Any]) -> None:
    number = LEVELS[event.level]
    if number < _lowest:
        return
    line = {
        "time": datetime.now().astimezone().isoformat(),
        "level": event.level,
        **_common,
        "event": event.number,
        "event_name": event.name,
        **fields,
    }
    raw = msgspec.json.encode(line, enc_hook=str) + b"\n"
    for writer in _writers:
        writer.offer(raw, event.name, failure=number >= LEVELS["WARNING"])


async def report_dropped_lines(event: Event) -> None:
    """Write queued lines and report dropped ones every :data:`REPORT_INTERVAL_S`; never returns.

    :param event: event under which dropped lines are reported.
    """
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for writer in _writers:
            writer.flush()
            counts = writer.take_dropped()
            if counts:
                emit(event, lines=sum(counts.values()), by_event=counts)
