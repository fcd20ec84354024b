"""Durable file operations: what they write survives a power failure."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def write_durably(final: Path, temporary: Path, data: bytes | memoryview) -> None:
    """Write a file atomically and durably.

    The data is written to *temporary*, synced and then renamed, so that *final* is either complete
    or absent after a crash.

    :param temporary: path on the same file system as *final*.
    """
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(final)
    sync_folder(final.parent)


def make_folder(folder: Path) -> None:
    """Make a folder and its missing parents, whose names survive a power failure as well.

    :raises OSError: it cannot be made, or a file has its name.
    """
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for made in reversed(missing):
        sync_folder(made.parent)


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes created and renamed entries in it durable."""
    sync_path(folder)


def sync_path(path: Path) -> None:
    """Sync what was written to a file or folder, and its times."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
