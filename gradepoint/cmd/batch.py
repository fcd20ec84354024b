"""``gradepoint-batch``: batch jobs."""

from __future__ import annotations

import typer

from ..batch.app import BatchApp
from .runner import SettingsOption, run_program

app = typer.Typer(add_completion=False)


@app.command()
def main(settings: SettingsOption) -> None:
    """Serve batch jobs for this host."""
    run_program("batch", settings, BatchApp)


def run() -> None:
    """Console entry point."""
    app()
