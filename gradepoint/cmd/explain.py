"""``gradepoint explain-request``: the timeline of one identifier from several hosts' logs."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

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
    for line in timeline.lines:
        if line.event == "no_room":
            print(describe_refusal(line, timeline.lines))


def describe_refusal(refusal: LogLine, lines: list[LogLine]) -> str:
    """Return why a call was refused for lack of room, when it was asked to return, and when it did.

    :param refusal: line of the event ``no_room``.
    :param lines: the lines of the timeline.
    """
    fields = refusal.fields
    age = fields.get("age_ms")
    known = "no digest" if age is None else f"known {age} ms before"
    why = {
        "share": f"organisation {fields.get('organisation')} was above its fair share",
        "unknown_occupancy": "the other hosts' calls were unknown, and this host's part was used",
    }.get(
        str(fields.get("reason")),
        f"the least expected delay was {fields.get('delay_ms')} ms, with "
        f"{fields.get('goal_left_ms')} ms left of the goal",
    )
    returned = next(
        (
            line
            for line in lines
            if line.event == "call_returned"
            and line.fields.get("key") == fields.get("key")
            and line.time >= refusal.time
        ),
        None,
    )
    seen = (
        "no return is in these logs"
        if returned is None
        else f"returned at {returned.time} to {returned.host} as {returned.fields.get('request')}"
    )
    return (
        f"refused for load at {refusal.host} after a wait of {fields.get('waited_ms')} ms: {why} "
        f"(occupancy {fields.get('occupancy')}, room {fields.get('room')}, {known}; rank "
        f"{fields.get('rank')}); asked to return after {fields.get('return_ms')} ms, at "
        f"{_add_ms(refusal.time, fields.get('return_ms'))}; {seen}"
    )


def _add_ms(time: str, wait_ms: Any) -> str:
    try:
        return (datetime.fromisoformat(time) + timedelta(milliseconds=wait_ms)).isoformat()
    except (ValueError, TypeError):
        return "an unknown time"
