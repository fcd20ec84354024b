"""Immutable objects on one disk, each file named by the SHA-256 of its bytes."""

from __future__ import annotations

import os
import shutil
import time
from typing import TYPE_CHECKING

from ..errors import StoreError
from ..ids import ObjectHash
from ..util.files import write_durably
from ..util.hashing import sha256_hex

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

HASH_DIGITS = 64
LEAST_FREE_BYTES = 256 << 20
"""Disk space kept free, so that a full disk is refused before it is reached."""


class DiskStore:
    """The objects below one data folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.objects = folder / "objects"
        self.temporary = folder / "temporary"
        self.corrupt = folder / "corrupt"
        self.objects.mkdir(parents=True, exist_ok=True)
        self.temporary.mkdir(parents=True, exist_ok=True)
        for left_over in self.temporary.iterdir():
            left_over.unlink()

    def path(self, name: ObjectHash) -> Path:
        """Return the file of an object.

        :raises StoreError: *name* is not a hash.
        """
        if len(name) != HASH_DIGITS or not set(name) <= set("0123456789abcdef"):
            raise StoreError(f"{name!r} is not an object name")
        return self.objects / name[:2] / name

    def put(self, name: ObjectHash, data: bytes) -> None:
        """Write an object so that it survives a loss of power.

        :raises StoreError: the data does not match its name, or the disk is full.
        """
        if sha256_hex(data) != name:
            raise StoreError("the data does not match its hash")
        final = self.path(name)
        if final.exists() and self.read(name) is not None:
            os.utime(final)
            return
        if shutil.disk_usage(self.folder).free < LEAST_FREE_BYTES + len(data):
            raise StoreError("the disk is full")
        final.parent.mkdir(exist_ok=True)
        write_durably(final, self.temporary / name, data)

    def read(self, name: ObjectHash) -> bytes | None:
        """Return an object, or None if it is missing, truncated or corrupt."""
        try:
            data = self.path(name).read_bytes()
        except FileNotFoundError:
            return None
        return data if sha256_hex(data) == name else None

    def has(self, name: ObjectHash) -> bool:
        """Return whether a file of that name is there; its content is not checked."""
        return self.path(name).exists()

    def set_aside(self, name: ObjectHash) -> None:
        """Move a corrupt file away, so that the next repair restores the copy."""
        self.corrupt.mkdir(exist_ok=True)
        self.path(name).rename(self.corrupt / name)

    def delete(self, name: ObjectHash, least_age_s: float) -> bool:
        """Delete an object that was last put at least *least_age_s* ago."""
        path = self.path(name)
        try:
            if time.time() - path.stat().st_mtime < least_age_s:
                return False
            path.unlink()
        except FileNotFoundError:
            return False
        return True

    def names(self) -> Iterator[ObjectHash]:
        """Yield every object's name in order."""
        for folder in sorted(self.objects.iterdir()):
            for path in sorted(folder.iterdir()):
                yield ObjectHash(path.name)
