"""A file that tells the next run of a program how the former one ended."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

RUNNING, STOPPED = b"running\n", b"stopped\n"
"""Contents of the file."""


class FormerRun(Enum):
    """How the former run of a program ended, as far as it is known."""

    STOPPED = "stopped"
    KILLED = "killed"
    UNKNOWN = "unknown"


class RunMarker:
    """The state of the current run, kept in a file.

    The file is not synced, so that a power loss may leave the state of an earlier run.

    :param path: path of the file, in a folder that outlives the process.
    """

    def __init__(self, path: Path) -> None:
        self.path = path

    def begin(self) -> FormerRun:
        """Mark this run as running; return how the former run ended.

        :raises OSError: the file cannot be read or written.
        """
        try:
            found = self.path.read_bytes()
        except FileNotFoundError:
            found = b""
        self.path.write_bytes(RUNNING)
        known = {RUNNING: FormerRun.KILLED, STOPPED: FormerRun.STOPPED}
        return known.get(found, FormerRun.UNKNOWN)

    def end(self) -> None:
        """Mark this run as stopped.

        :raises OSError: the file cannot be written.
        """
        self.path.write_bytes(STOPPED)
