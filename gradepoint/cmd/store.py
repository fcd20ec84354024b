"""``gradepoint-store``: program that stores bulk objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .process import prepare_process, report_end

if TYPE_CHECKING:
    from pathlib import Path


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    with report_end("store"):
        from ..store.app import StoreApp
        from .runner import run_command, run_program

    def main(settings: Path) -> None:
        """Store and serve bulk objects on this host."""
        run_program("store", settings, StoreApp)

    run_command("store", main)
