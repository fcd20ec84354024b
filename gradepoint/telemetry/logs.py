"""Structured logs: every line is a numbered event from :mod:`gradepoint.events`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from typing import Any

    from ..events import Event


def configure(program: str, host: str, level: str = "INFO", style: str = "json") -> None:
    """Send log lines to standard error.

    :param style: ``json`` for one JSON object a line, ``text`` for people.
    """
    logger.remove()
    logger.configure(extra={"program": program, "host": host})
    if style == "json":
        logger.add(_write_json, level=level, enqueue=False)
        return
    text = "{time:HH:mm:ss.SSS} {level: <7} {extra[program]} {message}"
    logger.add(sys.stderr, level=level, format=text, enqueue=False)


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")


def emit(event: Event, **fields: Any) -> None:
    """Log *event* with its fields."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=1).log(event.level, f"{event.number} {event.name} {text}".rstrip())
