"""Runs one program: settings, logs, signals and a clean end."""

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


class App(Protocol):
    """What every program offers to its runner."""

    async def start(self) -> None:
        """Start to serve."""

    async def stop(self) -> None:
        """End work in progress and stop."""


def run_command(main: Callable[[Path], None]) -> None:
    """Run a program's *main* with the settings file that the command line names.

    typer is loaded only where the words are others: it takes 0.04 s of a start, by
    ``python -X importtime``, in which a host that was killed serves nobody.
    """
    words = sys.argv[1:]
    if len(words) == 2 and words[0] == "--settings":
        main(Path(words[1]))
        return
    from .settings_command import run_settings_command

    run_settings_command(main)


def run_program(name: str, settings_path: Path, create: Callable[[Settings], App]) -> None:
    """Run a program until it is asked to stop."""
    settings = require_settings(load_settings(settings_path))
    logs.configure(name, settings.host, settings.log_level, settings.log_style)
    metrics.shared().connect()
    run_in_loop(_serve(name, settings, create))


def require_settings(loaded: Result[T, list[str]]) -> T:
    """Return checked settings, or end the program with every problem."""
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    return loaded.ok_value


async def _serve(name: str, settings: Settings, create: Callable[[Settings], App]) -> None:
    stopped = stop_event()
    app = create(settings)
    await app.start()
    logs.emit(events.PROGRAM_STARTED, address=settings.address)
    await stopped.wait()
    logs.emit(events.PROGRAM_STOPPING)
    await app.stop()


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
