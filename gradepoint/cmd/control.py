"""``gradepoint-control``: membership and configuration."""

from __future__ import annotations

import typer

from ..fleet.app import ControlApp
from .runner import SettingsOption, run_program

app = typer.Typer(add_completion=False)


@app.command()
def main(settings: SettingsOption) -> None:
    """Serve membership and configuration for this host."""
    run_program("control", settings, ControlApp)


def run() -> None:
    """Console entry point."""
    app()
