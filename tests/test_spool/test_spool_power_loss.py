"""What a loss of power leaves of a data host's files."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path

import pytest

from gradepoint.spool.disk import SpoolDisk
from gradepoint.spool.records import encode_job
from gradepoint.store.disk import DiskStore
from gradepoint.util.hashing import sha256_hex
from gradepoint.util.run_marker import FormerRun, RunMarker
from tests.test_spool.test_spool_disk import load_host, make_job

DATA = b"content"


@pytest.fixture
def synced(monkeypatch: pytest.MonkeyPatch) -> list[Path]:
    """Return the list of files and folders that are synced, in their order."""
    paths: list[Path] = []
    sync = os.fsync

    def logged_sync(descriptor: int) -> None:
        sync(descriptor)
        paths.append(Path(os.readlink(f"/proc/self/fd/{descriptor}")))

    monkeypatch.setattr(os, "fsync", logged_sync)
    return paths


def open_spool(folder: Path) -> None:
    SpoolDisk(folder, 10).open()


@pytest.mark.parametrize("make", [open_spool, DiskStore])
def test_new_data_folder_lasts_with_its_parents(
    make: Callable[[Path], object], synced: list[Path], tmp_path: Path
) -> None:
    # Jobs were synced, but not the names of the folders above them.
    make(tmp_path / "disk" / "data")
    assert {tmp_path, tmp_path / "disk", tmp_path / "disk" / "data"} <= set(synced)


def test_names_of_found_jobs_are_synced_before_they_count(
    synced: list[Path], tmp_path: Path
) -> None:
    # A predecessor that was killed after a rename left a name that was not synced.
    open_spool(tmp_path)
    synced.clear()
    open_spool(tmp_path)
    assert tmp_path / "spool" in synced


def test_new_subfolder_of_objects_lasts(synced: list[Path], tmp_path: Path) -> None:
    # The object and its folder were synced, but not the name of the folder.
    store = DiskStore(tmp_path)
    synced.clear()
    store.put(sha256_hex(DATA), DATA)
    assert store.objects in synced


def test_object_that_is_there_is_synced_before_it_counts(
    synced: list[Path], tmp_path: Path
) -> None:
    store = DiskStore(tmp_path)
    store.put(sha256_hex(DATA), DATA)
    synced.clear()
    store.put(sha256_hex(DATA), DATA)
    # The time counts, too: an object is deleted by its age.
    path = store.path(sha256_hex(DATA))
    assert synced == [path, path.parent]


def test_run_marker_lasts(synced: list[Path], tmp_path: Path) -> None:
    # After a loss of power, the marker of an earlier stop counted as that of the last run.
    marker = RunMarker(tmp_path / "marker")
    for change in (marker.begin, marker.end):
        synced.clear()
        change()
        assert synced == [marker.path, tmp_path]


DAMAGES: list[Callable[[bytes], bytes]] = [
    lambda content: b"",
    lambda content: content[:1],
    lambda content: content[: len(content) // 2],
    lambda content: content[:-1],
    lambda content: content[: len(content) // 2] + bytes(len(content) - len(content) // 2),
    lambda content: bytes(len(content)),
    lambda content: random.Random(7).randbytes(len(content)),
]
"""Cut, empty, zeros and noise."""


@pytest.mark.parametrize("damage", DAMAGES)
def test_damaged_files_of_the_spool_hide_no_whole_job(
    damage: Callable[[bytes], bytes], tmp_path: Path
) -> None:
    open_spool(tmp_path)
    content = encode_job(make_job("whole"))
    for name in ("spool/damaged", "spool-temporary/whole", "spool-temporary/left", "run"):
        (tmp_path / name).write_bytes(damage(content))
    (tmp_path / "spool" / "whole").write_bytes(content)
    host = load_host(tmp_path)
    assert list(host.held) == ["whole"]
    assert not host.unread
    assert not list((tmp_path / "spool-temporary").iterdir())


@pytest.mark.parametrize(
    "content", [b"", b"run", b"stopp", bytes(8), b"\xff\x00\x80noise", b"x" * 5000]
)
def test_damaged_run_marker_tells_nothing(content: bytes, tmp_path: Path) -> None:
    marker = RunMarker(tmp_path / "marker")
    marker.path.write_bytes(content)
    assert marker.begin() is FormerRun.UNKNOWN
    assert marker.begin() is FormerRun.KILLED


def test_run_marker_of_any_size_does_not_fill_the_memory(tmp_path: Path) -> None:
    # A damaged size, or a link to a device, was read until the process was killed.
    marker = RunMarker(tmp_path / "marker")
    marker.path.touch()
    os.truncate(marker.path, 1 << 40)
    assert marker.begin() is FormerRun.UNKNOWN
    assert marker.begin() is FormerRun.KILLED
