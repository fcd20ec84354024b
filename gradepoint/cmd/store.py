"""``gradepoint-store``: bulk objects."""

from __future__ import annotations

import typer

from ..store.app import StoreApp
from .runner import SettingsOption, run_program

app = typer.Typer(add_completion=False)


@app.command()
def main(settings: SettingsOption) -> None:
    """Serve bulk objects for this host."""
    run_program("store", settings, StoreApp)


def run() -> None:
    """Console entry point."""
    app()
