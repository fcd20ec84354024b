"""``gradepoint-control``: program for membership and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .process import prepare_process, report_end

if TYPE_CHECKING:
    from pathlib import Path


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    with report_end("control"):
        from ..fleet.app import ControlApp
        from .runner import run_command, run_program

    def main(settings: Path) -> None:
        """Run membership and configuration on this host."""
        run_program("control", settings, ControlApp)

    run_command("control", main)
