"""A file that tells the next run of a program how the former one ended."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from .files import sync_folder, sync_path

if TYPE_CHECKING:
    from pathlib import Path

RUNNING, STOPPED = b"running\n", b"stopped\n"
"""Contents of the file."""
MAX_BYTES = 64
"""Most bytes that are read of it. A loss of power may leave a file of any size, and whatever is
longer than the states tells nothing."""


class FormerRun(Enum):
    """How the former run of a program ended, as far as it is known."""

    STOPPED = "stopped"
    KILLED = "killed"
    UNKNOWN = "unknown"


class RunMarker:
    """The state of the current run, kept in a file.

    The file is synced, so that a power loss leaves the state of this run.

    :param path: path of the file, in a folder that outlives the process.
    """

    def __init__(self, path: Path) -> None:
        self.path = path

    def begin(self) -> FormerRun:
        """Mark this run as running; return how the former run ended.

        :raises OSError: the file cannot be read or written.
        """
        try:
            with self.path.open("rb") as file:
                found = file.read(MAX_BYTES)
        except FileNotFoundError:
            found = b""
        self._write(RUNNING)
        known = {RUNNING: FormerRun.KILLED, STOPPED: FormerRun.STOPPED}
        return known.get(found, FormerRun.UNKNOWN)

    def end(self) -> None:
        """Mark this run as stopped.

        :raises OSError: the file cannot be written.
        """
        self._write(STOPPED)

    def _write(self, state: bytes) -> None:
        """Write the state; a power loss meanwhile may leave a file that tells nothing."""
        self.path.write_bytes(state)
        sync_path(self.path)
        sync_folder(self.path.parent)
