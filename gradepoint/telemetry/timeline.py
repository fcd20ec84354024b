"""Timelines of requests, jobs and items, built from the logs of several hosts.

:func:`build_timeline` collects the log lines about one identifier and determines the most likely
cause of its outcome.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from ..errors import DecodingError
from ..events import CATALOGUE
from ..util import decoding

if TYPE_CHECKING:
    from collections.abc import Iterable

ID_FIELDS = ("request", "job", "item", "key")
"""Fields that hold the identifier of a request, job or item."""
CONTEXT_AFTER_S = 5.0
"""Seconds after the last line in which context events still belong to a timeline. A host that
crashed reports it only by its restart, which comes after its last line."""
COMMON_FIELDS = frozenset(("time", "level", "program", "host", "event", "event_name", "message"))
"""Fields of every line, which are not repeated in :attr:`LogLine.fields`."""
FINAL_EVENTS = frozenset(("call_answered", "call_refused", "items_listed", "job_ended"))
"""Events that complete a request or job; no answer is due after them."""
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
"""State changes of targets, hosts and services. Those about a target or host that a timeline names
are shown as its context."""

KEY_EVENTS = frozenset(
    (
        "target_ended",
        "request_suspected",
        "request_held",
        "request_cleared",
        "no_room",
        "call_returned",
    )
)
"""Events that identify requests and parts of prompts by key, since each attempt of a request has an
id of its own."""


STORE_KEY_EVENTS = frozenset(("kv_rejected", "parts_reduced"))
"""Events about a key of the key-value service, one part of which is the id of a job."""


@dataclass(frozen=True)
class LogLine:
    """One log line.

    :param time: time stamp in ISO 8601 format.
    :param host: host that wrote the line.
    :param level: name of the log level.
    :param event: event name.
    :param fields: fields of the event, without :data:`COMMON_FIELDS`.
    """

    time: str
    host: str
    level: str
    event: str
    fields: dict[str, Any]

    @property
    def meaning(self) -> str:
        """Meaning of the event by the event catalogue; empty for an unknown event."""
        return next((row.meaning for row in CATALOGUE.values() if row.name == self.event), "")


@dataclass
class Timeline:
    """Log lines about one request, job or item.

    :ivar id: identifier of the request, job or item, or the key of a request.
    :ivar lines: lines that name the identifier, in order of time.
    :ivar context: state changes of the targets and hosts that *lines* name, in order of time.
    :ivar bad_lines: number of lines that could not be decoded.
    """

    id: str
    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)
    bad_lines: int = 0

    @property
    def cause(self) -> LogLine | None:
        """Line that most likely explains the outcome; None if there are no lines.

        This is the last line that reports a failure. Without one, it is the restart of the host
        that wrote the last line, if no final event was logged; otherwise it is the last line.
        """
        failures = [line for line in self.lines if _is_failure(line)]
        if failures or not self.lines:
            return failures[-1] if failures else None
        last = self.lines[-1]
        restarts = [
            line
            for line in self.context
            if line.event == "program_started" and line.host == last.host and line.time > last.time
        ]
        if restarts and last.event not in FINAL_EVENTS:
            return restarts[0]
        return last


def build_timeline(wanted: str, lines: Iterable[str]) -> Timeline:
    """Build the timeline of a request, job or item.

    Lines may come from several hosts, in any order, and may be truncated. The lines of a request
    that was held back name its key, or that of a part of its prompt. The key leads to the crashes
    of targets that ran other attempts of this request, or prompts with this part. A stream that its
    caller took up again has the lines of all calls for it.

    :param wanted: id of a request, job or item, the key of a request or part, or a part of prompts.
    """
    timeline = Timeline(wanted)
    context_lines: list[LogLine] = []
    key_lines: list[LogLine] = []
    decoded: list[LogLine] = []
    for text in lines:
        line = _read_line(text)
        if line is None:
            timeline.bad_lines += bool(text.strip())
        else:
            decoded.append(line)
    attempts = _find_attempts(wanted, decoded)
    for line in decoded:
        if any(line.fields.get(name) in attempts for name in ID_FIELDS):
            timeline.lines.append(line)
        elif line.event in STORE_KEY_EVENTS:
            if wanted in str(line.fields.get("key")).split("/"):
                timeline.lines.append(line)
        elif line.event in CONTEXT_EVENTS:
            context_lines.append(line)
        elif line.event in KEY_EVENTS:
            key_lines.append(line)
    keys = {wanted, *(line.fields.get("key") for line in timeline.lines)} - {None}
    keys |= {
        line.fields["part"]
        for line in (*timeline.lines, *key_lines)
        if line.fields.get("key") in keys and line.fields.get("part")
    }
    timeline.lines += [line for line in key_lines if keys & _read_keys(line)]
    timeline.lines.sort(key=lambda line: line.time)
    timeline.context = _choose_context(timeline.lines, context_lines)
    return timeline


def _find_attempts(wanted: str, lines: list[LogLine]) -> set[object]:
    """Return the ids of all calls for the stream of the call *wanted*, or only this one.

    Callers that take a stream up name the call that began it.
    """
    taken_up = [line for line in lines if line.fields.get("resumes")]
    first = {line.fields["resumes"] for line in taken_up if line.fields.get("request") == wanted}
    first.add(wanted)
    later = {line.fields.get("request") for line in taken_up if line.fields["resumes"] in first}
    return {*first, *later} - {None}


def _read_keys(line: LogLine) -> set[object]:
    """Return the keys of requests and the parts of prompts that a line names."""
    requests, parts = line.fields.get("requests"), line.fields.get("parts")
    return {
        line.fields.get("key"),
        line.fields.get("part"),
        *(requests if isinstance(requests, list) else ()),
        *(part for row in (parts if isinstance(parts, list) else ()) for part in row),
    }


def _choose_context(lines: list[LogLine], context_lines: list[LogLine]) -> list[LogLine]:
    if not lines:
        return []
    targets = {line.fields.get("target") for line in lines} - {None}
    hosts = {line.host for line in lines}
    first, last = lines[0].time, _add_seconds(lines[-1].time, CONTEXT_AFTER_S)
    found = [
        line
        for line in context_lines
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
    """Decode a line; text before its first brace, such as a prefix by the log system, is ignored.

    :returns: the line, or None if it is not an event.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        row = decoding.decode_json(text[start:].strip().encode())
    except DecodingError:
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
