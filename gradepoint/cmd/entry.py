"""``gradepoint-entry``: program that serves callers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..online.entry import EntryApp
from .runner import run_command, run_program

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Serve callers over HTTP on this host."""
    run_program("entry", settings, EntryApp)


def run() -> None:
    """Run the console entry point."""
    run_command("entry", main)
