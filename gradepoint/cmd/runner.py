"""Startup and shutdown of programs: settings, logs, metrics and signals."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Protocol, TypeVar

from result import Err, Result

from .. import events
from ..settings import check_read, check_settings, read_settings
from ..telemetry import logs, metrics
from ..util.clock import monotonic
from ..util.loop import run_coroutine
from ..util.memory import read_peak_memory_bytes
from ..util.standard_error import print_error
from ..util.tasks import locate_error
from .process import report_end

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from signal import Signals
    from typing import Any

    from ..settings import Settings

T = TypeVar("T")

EXIT_SETTINGS = 2
"""Exit code for wrong usage or invalid settings."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MEGABYTE = 1_000_000
SETTINGS_POLL_S = 0.1
"""Seconds between attempts to read a settings file that is missing or incomplete."""
REPORT_INTERVAL_S = 10.0
"""Seconds between lines that tell what a start waits for."""


class App(Protocol):
    """Interface of a program for :func:`run_program`."""

    async def start(self) -> None:
        """Start serving; may be cancelled."""

    async def stop(self) -> None:
        """Finish work in progress and stop; *start* need not have returned."""


def run_command(program: str, main: Callable[[Path], None]) -> None:
    """Call *main* with the settings file given on the command line.

    typer is imported only if the arguments are not exactly ``--settings FILE``. Its import takes
    0.04 s (``python -X importtime``), which would delay the first call after a crash.

    :param program: name of the program in its last line, if it ends with an error.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "--settings":
        with report_end(program):
            main(Path(arguments[1]))
        return
    from .settings_command import run_settings_command

    run_settings_command(main)


def run_program(name: str, settings_path: Path, create: Callable[[Settings], App]) -> None:
    """Run a program until a stop signal arrives.

    :param name: name of the program in log lines.
    :param create: creates the program from its settings.
    """
    settings = require_settings(name, settings_path, check_settings)
    logs.configure(name, settings.host, settings.log_level, settings.log_style)
    metrics.shared().connect()
    run_logged(run_until_stopped(create(settings), settings.address))


def require_settings(
    program: str, path: Path, check: Callable[[object], Result[T, list[str]]]
) -> T:
    """Return validated settings, or print all problems and exit with :data:`EXIT_SETTINGS`.

    A file that is missing or incomplete may be about to be written, and is waited for.

    :param check: checks the decoded file.
    """
    printed_at = float("-inf")
    while isinstance(read := read_settings(path), Err):
        if monotonic() - printed_at >= REPORT_INTERVAL_S:
            printed_at = monotonic()
            print_error(f"gradepoint-{program} waits for its settings: {read.err_value}")
        time.sleep(SETTINGS_POLL_S)
    checked = check_read(path, read, check)
    if isinstance(checked, Err):
        for problem in checked.err_value:
            print_error(problem)
        sys.exit(EXIT_SETTINGS)
    return checked.ok_value


def run_logged(work: Coroutine[Any, Any, None]) -> None:
    """Run a program's coroutine to its end, and log an error that ends it."""
    try:
        run_coroutine(work)
    except Exception as error:
        logs.emit(
            events.PROGRAM_FAILED,
            reason=repr(error),
            where=locate_error(error),
            peak_memory_mb=read_peak_memory_mb(),
        )
        raise


async def run_until_stopped(
    app: App, address: str, on_started: Callable[[], None] = lambda: None
) -> None:
    """Start a program and stop it after SIGTERM or SIGINT, which may come during its start.

    :param address: the address that it serves at, for the log.
    :param on_started: called once the program has started.
    """
    stop_requested = stop_event()
    starting = asyncio.ensure_future(app.start())
    stopping = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        on_started()
        logs.emit(events.PROGRAM_STARTED, address=address)
        await stopping
    else:
        starting.cancel()
        await asyncio.wait([starting])
    logs.emit(events.PROGRAM_STOPPING, signal=stop_requested.signal)
    await app.stop()
    logs.emit(
        events.PROGRAM_ENDED,
        signal=stop_requested.signal,
        peak_memory_mb=read_peak_memory_mb(),
    )
    # The loop removes its handlers when it closes; a further signal would change the exit code.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))


class StopEvent(asyncio.Event):
    """Event that a stop signal sets.

    :ivar signal: name of the signal; empty before it.
    """

    signal = ""

    def request(self, number: Signals) -> None:
        """Set the event because of a signal."""
        self.signal = number.name
        self.set()


def stop_event() -> StopEvent:
    """Return an event that is set by SIGTERM and SIGINT."""
    stop_requested = StopEvent()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.request, number)
    return stop_requested


def read_peak_memory_mb() -> float:
    """Return the most resident memory that this process has had, in megabytes."""
    return round(read_peak_memory_bytes() / MEGABYTE, 1)
