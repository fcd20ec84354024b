"""``gradepoint-batch``: program that runs batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..batch.app import BatchApp
from .runner import run_command, run_program

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Run batch jobs on this host."""
    run_program("batch", settings, BatchApp)


def run() -> None:
    """Run the console entry point."""
    run_command("batch", main)
