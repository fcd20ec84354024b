"""``gradepoint-control``: program for membership and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleet.app import ControlApp
from .runner import run_command, run_program

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Run membership and configuration on this host."""
    run_program("control", settings, ControlApp)


def run() -> None:
    """Run the console entry point."""
    run_command("control", main)
