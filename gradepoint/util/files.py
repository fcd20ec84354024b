"""Files that survive a loss of power."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def write_durably(final: Path, temporary: Path, data: bytes) -> None:
    """Write *final* whole or not at all, through *temporary* on the same disk."""
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(final)
    sync_folder(final.parent)


def sync_folder(folder: Path) -> None:
    """Make the names in a folder last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
