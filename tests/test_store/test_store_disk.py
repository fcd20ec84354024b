"""The folder of the store program."""

from __future__ import annotations

from pathlib import Path

from gradepoint.ids import ObjectHash
from gradepoint.store.disk import DiskStore
from gradepoint.util.hashing import sha256_hex


def test_foreign_entries_of_the_store_s_folder_are_passed_over(tmp_path: Path) -> None:
    # One entry that is not the program's own ended it at each start, and each list of objects.
    (tmp_path / "temporary" / "folder" / "inner").mkdir(parents=True)
    (tmp_path / "objects" / "lost+found").mkdir(parents=True)
    (tmp_path / "objects" / "note").write_text("not an object")
    name = ObjectHash(sha256_hex(b"object"))
    store = DiskStore(tmp_path)
    store.put(name, b"object")
    (tmp_path / "objects" / name[:2] / "note").write_text("not an object")
    (tmp_path / "objects" / name[:2] / ("0" * 64)).symlink_to(tmp_path / "nowhere")
    assert list(store.names()) == [name]
    assert DiskStore(tmp_path).read(name) == b"object"
