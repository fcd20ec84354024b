"""``gradepoint-entry``: callers' HTTP."""

from __future__ import annotations

import typer

from ..online.entry import Entry
from .runner import SettingsOption, run_program

app = typer.Typer(add_completion=False)


@app.command()
def main(settings: SettingsOption) -> None:
    """Serve callers' HTTP for this host."""
    run_program("entry", settings, Entry)


def run() -> None:
    """Console entry point."""
    app()
