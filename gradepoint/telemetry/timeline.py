"""Puts the lines of several hosts' logs about one request together, and names the cause."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from ..events import CATALOGUE

if TYPE_CHECKING:
    from collections.abc import Iterable

ID_FIELDS = ("request", "job", "item", "key")
AFTERMATH_S = 5.0
"""Seconds after the last line in which a change of belief still belongs to a story: a host that
was lost says so by starting again."""
COMMON_FIELDS = frozenset(("time", "level", "program", "host", "event", "event_name", "message"))
ANSWERS = frozenset(("call_answered", "call_refused", "items_listed", "job_ended"))
"""Events after which a request or job owes nothing more."""
CONTEXT_EVENTS = frozenset(
    (
        "target_ejected",
        "target_vanished",
        "target_state",
        "target_closed",
        "store_lost",
        "store_regained",
        "config_in_force",
        "program_started",
        "program_stopping",
        "program_stopped",
        "member_lost",
    )
)
"""Changes of what a host believed; those about a target or host in the story belong to it."""

KEY_EVENTS = frozenset(("target_ended", "request_suspected", "request_held", "request_cleared"))
"""Events that name requests by their keys, since each try has another id."""


@dataclass(frozen=True)
class LogLine:
    """One line of a log."""

    time: str
    host: str
    level: str
    event: str
    fields: dict[str, Any]

    @property
    def meaning(self) -> str:
        """What the catalogue says of its event."""
        return next((row.meaning for row in CATALOGUE.values() if row.name == self.event), "")


@dataclass
class Story:
    """What logs tell of one request, job or item.

    :ivar lines: lines that name it, by time.
    :ivar context: changes of belief about the targets and hosts that those lines name.
    :ivar bad_lines: lines that could not be read.
    """

    id: str
    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)
    bad_lines: int = 0

    @property
    def cause(self) -> LogLine | None:
        """The last line that tells of a failure; a host's new start after the last line, where
        no answer was told; or the last line."""
        failures = [line for line in self.lines if _is_failure(line)]
        if failures or not self.lines:
            return failures[-1] if failures else None
        last = self.lines[-1]
        restarts = [
            line
            for line in self.context
            if line.event == "program_started" and line.host == last.host and line.time > last.time
        ]
        if restarts and last.event not in ANSWERS:
            return restarts[0]
        return last


def tell_story(wanted: str, lines: Iterable[str]) -> Story:
    """Return what *lines* tell of the request, job or item *wanted*, or of a request by its key.

    Lines may come from several hosts, in any order, and may be cut. A request that was held back
    leads by its key to the ends of targets under other tries of it.
    """
    story = Story(wanted)
    others: list[LogLine] = []
    by_key: list[LogLine] = []
    for text in lines:
        line = _read_line(text)
        if line is None:
            story.bad_lines += bool(text.strip())
        elif any(line.fields.get(name) == wanted for name in ID_FIELDS):
            story.lines.append(line)
        elif line.event in CONTEXT_EVENTS:
            others.append(line)
        elif line.event in KEY_EVENTS:
            by_key.append(line)
    keys = {wanted, *(line.fields.get("key") for line in story.lines)} - {None}
    story.lines += [line for line in by_key if keys & _read_keys(line)]
    story.lines.sort(key=lambda line: line.time)
    story.context = _choose_context(story.lines, others)
    return story


def _read_keys(line: LogLine) -> set[object]:
    """Return the keys of requests that a line names."""
    named = line.fields.get("requests")
    return {line.fields.get("key"), *(named if isinstance(named, list) else ())}


def _choose_context(lines: list[LogLine], others: list[LogLine]) -> list[LogLine]:
    if not lines:
        return []
    targets = {line.fields.get("target") for line in lines} - {None}
    hosts = {line.host for line in lines}
    first, last = lines[0].time, _add_seconds(lines[-1].time, AFTERMATH_S)
    found = [
        line
        for line in others
        if first <= line.time <= last
        and (
            line.fields.get("target") in targets
            or (line.fields.get("target") is None and line.host in hosts)
        )
    ]
    return sorted(found, key=lambda line: line.time)


def _add_seconds(time: str, seconds: float) -> str:
    try:
        return (datetime.fromisoformat(time) + timedelta(seconds=seconds)).isoformat()
    except ValueError:
        return time


def _is_failure(line: LogLine) -> bool:
    status = line.fields.get("status", 200)
    return line.level in ("WARNING", "ERROR") or (isinstance(status, int) and status >= 300)


def _read_line(text: str) -> LogLine | None:
    """Decode a line; whatever stands before its first brace is left out."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        row = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    if not isinstance(row, dict) or "event_name" not in row:
        return None
    return LogLine(
        time=str(row.get("time", "")),
        host=str(row.get("host", "")),
        level=str(row.get("level", "")),
        event=str(row["event_name"]),
        fields={name: value for name, value in row.items() if name not in COMMON_FIELDS},
    )
