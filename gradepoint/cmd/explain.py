"""``gradepoint explain-request``: the timeline of one identifier from several hosts' logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..telemetry.timeline import build_timeline
from .render import print_json

if TYPE_CHECKING:
    from pathlib import Path

    from ..telemetry.timeline import LogLine, Timeline


def explain_request(wanted: str, files: list[Path], as_json: bool) -> bool:
    """Print the timeline of a request, job or item; return whether any line names it.

    :param files: log files of the hosts.
    """
    lines: list[str] = []
    for file in files:
        lines += file.read_text(errors="replace").splitlines()
    timeline = build_timeline(wanted, lines)
    if as_json:
        print_json(msgspec.to_builtins(timeline) | {"cause": _encode_line(timeline.cause)})
    else:
        _print_timeline(timeline)
    return bool(timeline.lines)


def _encode_line(line: LogLine | None) -> object:
    return None if line is None else msgspec.to_builtins(line)


def _print_timeline(timeline: Timeline) -> None:
    rows = [(line, " ") for line in timeline.lines] + [(line, "~") for line in timeline.context]
    for line, mark in sorted(rows, key=lambda row: row[0].time):
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        print(f"{line.time} {mark} {line.host} {line.event} {fields}")
    if timeline.bad_lines:
        print(f"{timeline.bad_lines} lines could not be decoded")
    if timeline.cause is None:
        print(f"no line names {timeline.id}")
    else:
        print(f"cause: {timeline.cause.event} at {timeline.cause.host}: {timeline.cause.meaning}")
