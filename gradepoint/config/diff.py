"""Differences between two documents, shown to operators before they apply a change.

Entries of lists are matched by name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .document import Document

SECRET_FIELDS = frozenset({"keys"})
"""Fields of which only the number of values is shown."""


class Change(Enum):
    """Kind of a difference; the value is its mark in the output."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True)
class Difference:
    """One difference. It never contains hashes of keys.

    :param path: location in the document, such as ``targets[t1].state``.
    :param before: old value, for :attr:`Change.CHANGED` only.
    :param after: new value, for :attr:`Change.CHANGED` only.
    """

    change: Change
    path: str
    before: Any = None
    after: Any = None

    def render(self) -> str:
        """Return the difference as one line of text."""
        if self.change is Change.CHANGED:
            return f"~ {self.path}: {self.before!r} -> {self.after!r}"
        return f"{self.change.value} {self.path}"


def compare(before: Document | None, after: Document) -> list[Difference]:
    """Return the differences of *after* from *before*, or from an empty document if it is None."""
    old = msgspec.to_builtins(before) if before is not None else {}
    return list(_compare_values("", old, msgspec.to_builtins(after)))


def _compare_values(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted({*old, *new}):
            child_path = f"{path}.{name}" if path else name
            yield from _compare_field(child_path, name, old, new)
        return
    if _has_names(old) and _has_names(new):
        yield from _compare_values("", _index_by_name(path, old), _index_by_name(path, new))
        return
    yield Difference(Change.CHANGED, path, old, new)


def _compare_field(
    path: str, name: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Difference]:
    if name not in old:
        yield Difference(Change.ADDED, path)
    elif name not in new:
        yield Difference(Change.REMOVED, path)
    elif name in SECRET_FIELDS:
        if old[name] != new[name]:
            count = f"{len(old[name])} keys", f"{len(new[name])} keys"
            yield Difference(Change.CHANGED, path, *count)
    else:
        yield from _compare_values(path, old[name], new[name])


def _has_names(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(row, dict) and "name" in row for row in value)


def _index_by_name(path: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {f"{path}[{row['name']}]": row for row in rows}
