"""``gradepoint-batch``: program that runs batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .process import prepare_process, report_end

if TYPE_CHECKING:
    from pathlib import Path


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    with report_end("batch"):
        from ..batch.app import BatchApp
        from .runner import run_command, run_program

    def main(settings: Path) -> None:
        """Run batch jobs on this host."""
        run_program("batch", settings, BatchApp)

    run_command("batch", main)
