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


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes created and renamed entries in it durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
