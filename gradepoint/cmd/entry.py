"""``gradepoint-entry``: program that serves callers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .process import prepare_process, report_end

if TYPE_CHECKING:
    from pathlib import Path


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    with report_end("entry"):
        from ..online.entry import EntryApp
        from .runner import run_command, run_program

    def main(settings: Path) -> None:
        """Serve callers over HTTP on this host."""
        run_program("entry", settings, EntryApp)

    run_command("entry", main)
