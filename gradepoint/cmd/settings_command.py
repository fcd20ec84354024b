"""Full command-line parser shared by the programs: prints help and usage errors."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from collections.abc import Callable

SettingsOption = Annotated[Path, typer.Option("--settings", help="Settings file of this host.")]


def run_settings_command(main: Callable[[Path], None]) -> None:
    """Parse the command line and call *main* with the path of the settings file."""
    app = typer.Typer(add_completion=False)

    @app.command(help=main.__doc__)
    def command(settings: SettingsOption) -> None:
        main(settings)

    app()
