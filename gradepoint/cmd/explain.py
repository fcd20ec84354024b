"""``gradepoint explain-request``: the story of one id from several hosts' logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..telemetry.story import tell_story
from .render import print_json

if TYPE_CHECKING:
    from pathlib import Path

    from ..telemetry.story import LogLine, Story


def explain_request(wanted: str, files: list[Path], as_json: bool) -> bool:
    """Print the story of an id; return whether any line names it."""
    lines: list[str] = []
    for file in files:
        lines += file.read_text(errors="replace").splitlines()
    story = tell_story(wanted, lines)
    if as_json:
        print_json(msgspec.to_builtins(story) | {"cause": _as_row(story.cause)})
    else:
        _print_story(story)
    return bool(story.lines)


def _as_row(line: LogLine | None) -> object:
    return None if line is None else msgspec.to_builtins(line)


def _print_story(story: Story) -> None:
    rows = [(line, " ") for line in story.lines] + [(line, "~") for line in story.context]
    for line, mark in sorted(rows, key=lambda row: row[0].time):
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        print(f"{line.time} {mark} {line.host} {line.event} {fields}")
    if story.bad_lines:
        print(f"{story.bad_lines} lines could not be read")
    if story.cause is None:
        print(f"no line names {story.id}")
    else:
        print(f"cause: {story.cause.event} at {story.cause.host}: {story.cause.meaning}")
