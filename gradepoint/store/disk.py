"""Immutable objects on one disk; each file is named by the SHA-256 of its content."""

from __future__ import annotations

import os
import shutil
import time
from typing import TYPE_CHECKING

from .. import events
from ..errors import StoreError
from ..ids import ObjectHash
from ..telemetry.logs import emit
from ..util.files import make_folder, sync_folder, sync_path, write_durably
from ..util.hashing import sha256_hex

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

HASH_DIGITS = 64
"""Hexadecimal digits of a SHA-256."""

MIN_FREE_BYTES = 256 << 20
"""Disk space kept free: writes are refused before the disk is really full."""


class DiskStore:
    """The objects below one data folder.

    :ivar objects: folder of the objects, in subfolders by the first two digits of the name.
    :ivar temporary: folder of files being written; its content is deleted at start.
    :ivar corrupt: folder to which corrupt files are moved.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.objects = folder / "objects"
        self.temporary = folder / "temporary"
        self.corrupt = folder / "corrupt"
        make_folder(self.objects)
        make_folder(self.temporary)
        # A predecessor may have been killed between a new name and its sync.
        sync_folder(self.objects)
        sync_folder(folder)
        for leftover in self.temporary.iterdir():
            try:
                leftover.unlink()
            except OSError as error:
                emit(events.STORE_ENTRY_IGNORED, path=str(leftover), reason=error.strerror)

    def path(self, name: ObjectHash) -> Path:
        """Return the path of an object's file.

        :raises StoreError: *name* is not a hash.
        """
        if not is_object_name(name):
            raise StoreError(f"{name!r} is not an object name")
        return self.objects / name[:2] / name

    def put(self, name: ObjectHash, data: bytes) -> None:
        """Write an object durably, so that it survives a loss of power.

        If a good copy is already there, only its modification time is updated, from which
        :meth:`delete` takes its age. A corrupt copy is replaced.

        :raises StoreError: the data does not match its name, or the disk is full.
        """
        if sha256_hex(data) != name:
            raise StoreError("the data does not match its hash")
        final = self.path(name)
        if final.exists() and self.read(name) is not None:
            os.utime(final)
            sync_path(final)
            sync_folder(final.parent)
            return
        if shutil.disk_usage(self.folder).free < MIN_FREE_BYTES + len(data):
            raise StoreError("the disk is full")
        make_folder(final.parent)
        write_durably(final, self.temporary / name, data)

    def read(self, name: ObjectHash) -> bytes | None:
        """Return an object, or None if it is missing, truncated or corrupt."""
        try:
            data = self.path(name).read_bytes()
        except FileNotFoundError:
            return None
        return data if sha256_hex(data) == name else None

    def has(self, name: ObjectHash) -> bool:
        """Return whether the object's file exists; its content is not checked."""
        return self.path(name).exists()

    def quarantine(self, name: ObjectHash) -> None:
        """Move a corrupt file out of the objects folder, so that the next repair restores it."""
        self.corrupt.mkdir(exist_ok=True)
        self.path(name).rename(self.corrupt / name)

    def delete(self, name: ObjectHash, min_age_s: float) -> bool:
        """Delete an object that was last put at least *min_age_s* seconds ago.

        :return: whether it was deleted; False if it is missing or more recent.
        """
        path = self.path(name)
        try:
            if time.time() - path.stat().st_mtime < min_age_s:
                return False
            path.unlink()
        except FileNotFoundError:
            return False
        return True

    def names(self) -> Iterator[ObjectHash]:
        """Yield the names of all objects in ascending order; other entries are passed over."""
        for folder in sorted(self.objects.iterdir()):
            if not folder.is_dir():
                continue
            for path in sorted(folder.iterdir()):
                if is_object_name(path.name) and path.is_file():
                    yield ObjectHash(path.name)


def is_object_name(name: str) -> bool:
    """Whether *name* is a SHA-256 in hexadecimal digits."""
    return len(name) == HASH_DIGITS and set(name) <= set("0123456789abcdef")
