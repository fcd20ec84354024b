"""``gradepoint-store``: program that stores bulk objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..store.app import StoreApp
from .runner import run_command, run_program

if TYPE_CHECKING:
    from pathlib import Path


def main(settings: Path) -> None:
    """Store and serve bulk objects on this host."""
    run_program("store", settings, StoreApp)


def run() -> None:
    """Run the console entry point."""
    run_command("store", main)
