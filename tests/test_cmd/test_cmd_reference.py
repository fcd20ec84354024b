"""The generated pages match the catalogues, and every error code and event is used."""

from __future__ import annotations

import re
from pathlib import Path

from gradepoint.cmd.reference import reference_pages
from gradepoint.errors import CATALOGUE as ERRORS
from gradepoint.errors import Outcome
from gradepoint.events import CATALOGUE as EVENTS

ROOT = Path(__file__).resolve().parents[2]


def read_package_source() -> str:
    """Return the read_package_source of the package without the two catalogues."""
    paths = [
        path
        for path in (ROOT / "gradepoint").rglob("*.py")
        if path.name not in ("errors.py", "events.py")
    ]
    return "\n".join(path.read_text() for path in paths)


def test_reference_pages_are_up_to_date() -> None:
    for name, text in reference_pages().items():
        assert (ROOT / "docs" / "reference" / name).read_text() == text, (
            f"{name} is stale: run 'gradepoint reference docs/reference'"
        )


def test_every_error_code_is_used() -> None:
    text = read_package_source()
    unused = [code for code in ERRORS if f'"{code}"' not in text]
    assert not unused


def test_used_events_equal_declared_events() -> None:
    text = read_package_source()
    used = set(re.findall(r"events\.([A-Z_]+)", text))
    declared = {event.name.upper() for event in EVENTS.values()}
    assert used == declared


def test_error_kinds_are_consistent() -> None:
    # Callers retry by status and retry-after. A status below 500 other than 409 tells them that the
    # call did not run, and a limit without a delay would be retried at once.
    for kind in ERRORS.values():
        assert kind.remedy.endswith(".")
        if kind.outcome is Outcome.UNKNOWN:
            assert kind.status in (409, 500, 502, 503, 504)
        if kind.status == 429:
            assert kind.retry_after is not None
