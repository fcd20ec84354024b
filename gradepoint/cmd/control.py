"""``gradepoint-control``: membership and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleet.app import ControlApp
from .runner import run_command, run_program

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Serve membership and configuration for this host."""
    run_program("control", settings, ControlApp)


def run() -> None:
    """Console entry point."""
    run_command(main)
