"""Generates the reference pages under ``docs/reference`` from tables in the code."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..config.schema import document_schema
from ..errors import CATALOGUE as ERRORS
from ..events import CATALOGUE as EVENTS
from ..gateway.settings import TABLE as GATEWAY_TABLE
from ..settings import REQUIRED, TABLE, Setting
from ..spool.settings import TABLE as DATA_HOST_TABLE

GENERATED_NOTE = "<!-- written by `gradepoint reference docs/reference`; do not edit -->"


def reference_pages() -> dict[str, str]:
    """Return the contents of the generated pages by file name."""
    schema = msgspec.json.format(msgspec.json.encode(document_schema()), indent=2).decode()
    return {
        "errors.md": _errors_page(),
        "events.md": _events_page(),
        "settings.md": _settings_page(),
        "config.schema.json": schema + "\n",
    }


def write_reference(folder: Path) -> None:
    """Write all generated pages into *folder*, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in reference_pages().items():
        (folder / name).write_text(text)


def _errors_page() -> str:
    rows = [
        f"| `{kind.code}` | {kind.status} | {kind.category.value} | {kind.outcome.value} | "
        f"{'-' if kind.retry_after is None else kind.retry_after} | {kind.remedy} |"
        for kind in ERRORS.values()
    ]
    heading = [
        "# Error codes",
        "",
        GENERATED_NOTE,
        "",
        "Every refusal and failure has one of these codes in `error.code` and, for calls,",
        "in the `gradepoint-reason` header. `gradepoint explain CODE` prints a row.",
        "",
        "| code | status | who acts | outcome | retry after (s) | remedy |",
        "|---|---|---|---|---|---|",
    ]
    return "\n".join([*heading, *rows]) + "\n"


def _events_page() -> str:
    rows = [
        f"| {event.number} | `{event.name}` | {event.level} | {event.meaning} |"
        for event in sorted(EVENTS.values(), key=lambda event: event.number)
    ]
    heading = [
        "# Log events",
        "",
        GENERATED_NOTE,
        "",
        "Every log line has the fields `event` and `event_name`. Numbers are never reused.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    return "\n".join([*heading, *rows]) + "\n"


def _settings_table(table: tuple[Setting, ...]) -> list[str]:
    rows = ["| name | type | default | meaning |", "|---|---|---|---|"]
    for row in table:
        default = "required" if row.default is REQUIRED else f"`{row.default!r}`"
        rows.append(f"| `{row.name}` | {row.kind.__name__} | {default} | {row.meaning} |")
    return rows


def _settings_page() -> str:
    heading = [
        "# Settings of a process",
        "",
        GENERATED_NOTE,
        "",
        "A JSON file, given with `--settings`; all programs of a host share one file.",
        "",
    ]
    gateway = [
        "",
        "## Settings of the gateway",
        "",
        "The platform writes this file from the template `deploy/gateway-settings.json`.",
        "",
    ]
    data_host = [
        "",
        "## Settings of the data host",
        "",
        "The platform writes this file from the template `deploy/data-host-settings.json`.",
        "",
    ]
    rows = [*heading, *_settings_table(TABLE)]
    rows += [*gateway, *_settings_table(GATEWAY_TABLE)]
    rows += [*data_host, *_settings_table(DATA_HOST_TABLE)]
    return "\n".join(rows) + "\n"
