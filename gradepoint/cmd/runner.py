"""Startup and shutdown of programs: settings, logs, metrics and signals."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Protocol, TypeVar

from result import Err, Result

from .. import events
from ..settings import load_settings
from ..telemetry import logs, metrics
from ..util.loop import run_coroutine as run_in_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import Settings

T = TypeVar("T")

EXIT_SETTINGS = 2
"""Exit code for wrong usage or invalid settings."""


class App(Protocol):
    """Interface of a program for :func:`run_program`."""

    async def start(self) -> None:
        """Start serving; return when the program is ready."""

    async def stop(self) -> None:
        """Finish work in progress and stop."""


def run_command(main: Callable[[Path], None]) -> None:
    """Call *main* with the settings file given on the command line.

    typer is imported only if the arguments are not exactly ``--settings FILE``. Its import takes
    0.04 s (``python -X importtime``), which would delay the first call after a crash.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "--settings":
        main(Path(arguments[1]))
        return
    from .settings_command import run_settings_command

    run_settings_command(main)


def run_program(name: str, settings_path: Path, create: Callable[[Settings], App]) -> None:
    """Run a program until a stop signal arrives.

    :param name: name of the program in log lines.
    :param create: creates the program from its settings.
    """
    settings = require_settings(load_settings(settings_path))
    logs.configure(name, settings.host, settings.log_level, settings.log_style)
    metrics.shared().connect()
    run_in_loop(_serve(name, settings, create))


def require_settings(loaded: Result[T, list[str]]) -> T:
    """Return validated settings, or print all problems and exit with :data:`EXIT_SETTINGS`."""
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    return loaded.ok_value


async def _serve(name: str, settings: Settings, create: Callable[[Settings], App]) -> None:
    stop_requested = stop_event()
    app = create(settings)
    await app.start()
    logs.emit(events.PROGRAM_STARTED, address=settings.address)
    await stop_requested.wait()
    logs.emit(events.PROGRAM_STOPPING)
    await app.stop()


def stop_event() -> asyncio.Event:
    """Return an event that is set by SIGTERM and SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    return stop_requested
