"""The first and last steps of a process.

This module imports little, and nothing but the standard library: it runs before the imports of the
program and also reports libraries that cannot be imported.
"""

from __future__ import annotations

import os
import signal
import sys
import traceback
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

from ..util.standard_error import print_error

if TYPE_CHECKING:
    from collections.abc import Iterator

EXIT_FAILURE = 1
"""Exit code after an unexpected error."""

IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
"""Signals that would end the process by default. Supervisors and log rotation send them to all
programs, also to one that has no handler for them yet."""
STANDARD_DESCRIPTORS = (0, 1, 2)


def prepare_process() -> None:
    """Make the process safe for the start of a program; called before the program's imports."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    open_standard_descriptors()


def open_standard_descriptors() -> None:
    """Open closed standard descriptors on the null device, if there is one.

    Otherwise sockets would get their numbers, and log lines would be written into them.
    """
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free number is given out, so that this one is.
            with suppress(OSError):
                os.open(os.devnull, os.O_RDWR)


@contextmanager
def report_end(program: str) -> Iterator[None]:
    """End the process with a last line that names the error, if one escapes from the block.

    :param program: name of the program in that line.
    """
    try:
        yield
    except Exception as error:
        traceback.print_exc()
        print_error(f"gradepoint-{program} ends: {error!r}")
        sys.exit(EXIT_FAILURE)
