"""Structured logs: every line is a numbered event from :mod:`gradepoint.events`."""

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
"""loguru's number of the level from which a line tells of a failure."""
REPORT_S = 1.0
"""Seconds between reports of what was left out, and between tries to write what waits."""
STANDARD_OUTPUT = 1

_writers: list[LineWriter] = []


def configure(program: str, host: str, level: str = "INFO", style: str = "json") -> None:
    """Send log lines to standard output.

    :param style: ``json`` for one JSON object a line, bounded and never waiting; ``text``
        for people.
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
    """Log *event* with its fields."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=1).log(event.level, f"{event.number} {event.name} {text}".rstrip())


async def report_left_out(event: Event) -> None:
    """Write what waits, and tell of lines that were left out, for ever."""
    while True:
        await asyncio.sleep(REPORT_S)
        for writer in _writers:
            writer.flush()
            counts = writer.take_left_out()
            if counts:
                emit(event, lines=sum(counts.values()), by_event=counts)
