"""Output of the command line, as tables or JSON."""

from __future__ import annotations

from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table


def print_json(value: Any) -> None:
    """Print *value* as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_status(body: dict[str, Any]) -> None:
    """Print the state of the fleet as a table."""
    states = {row["host"]: row for row in body["members"]}
    table = Table(title=f"version {body['version']} in force")
    for name in ("host", "domain", "state", "version", "age s", "service", "behind"):
        table.add_column(name)
    for row in body["hosts"]:
        member = states.get(row["host"], {})
        table.add_row(
            row["host"],
            member.get("failure_domain", "?"),
            member.get("state", "?"),
            str(row.get("config_version", "?")),
            str(row.get("in_force_age_s", "?")),
            "ok" if row.get("kv_reachable") else "silent",
            row.get("behind", ""),
        )
    Console().print(table)
    lost = [row["host"] for row in body["members"] if row["state"] == "lost"]
    if lost:
        print(f"lost: {', '.join(sorted(lost))}")


def print_jobs(body: dict[str, Any]) -> None:
    """Print jobs as a table."""
    table = Table()
    for name in ("job", "organisation", "state", "done", "failed", "total"):
        table.add_column(name)
    for job in body["jobs"]:
        counts = job["request_counts"]
        table.add_row(
            job["id"],
            job["organisation"],
            job["status"],
            str(counts["completed"]),
            str(counts["failed"]),
            str(counts["total"]),
        )
    Console().print(table)
