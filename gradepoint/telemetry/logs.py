"""Structured logs.

Every line is an event of the catalogue in :mod:`gradepoint.events`.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from .line_writer import LineWriter, write_to

if TYPE_CHECKING:
    from typing import Any

    from ..events import Event

WARNING_NUMBER = 30
"""loguru's number of the WARNING level; lines of this level or above report failures."""
REPORT_INTERVAL_S = 1.0
"""Seconds between reports of dropped lines, and between attempts to write queued lines."""
STANDARD_OUTPUT = 1
"""File descriptor of the standard output."""

_writers: list[LineWriter] = []


def configure(program: str, host: str, level: str = "INFO", style: str = "json") -> None:
    """Send log lines to standard output.

    :param program: name of the program, written with every line.
    :param host: name of the host, written with every line.
    :param level: lowest level that is written.
    :param style: ``json`` for one JSON object per line, written by a :class:`LineWriter`, which
        never blocks and limits the rate; ``text`` for human readers, without these limits.
    """
    logger.remove()
    logger.configure(extra={"program": program, "host": host})
    _writers.clear()
    if style == "json":
        _writers.append(LineWriter(write_to(STANDARD_OUTPUT)))
        logger.add(_write_json, level=level, enqueue=False)
        return
    text = "{time:HH:mm:ss.SSS} {level: <7} {extra[program]} {message}"
    logger.add(sys.stdout, level=level, format=text, enqueue=False)


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        **record["extra"],
    }
    raw = msgspec.json.encode(line, enc_hook=str) + b"\n"
    failure = record["level"].no >= WARNING_NUMBER
    for writer in _writers:
        writer.offer(raw, record["extra"].get("event_name", ""), failure=failure)


def emit(event: Event, **fields: Any) -> None:
    """Log *event* with its fields.

    :param fields: values by the field names that appear in the log line.
    """
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=1).log(event.level, f"{event.number} {event.name} {text}".rstrip())


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
