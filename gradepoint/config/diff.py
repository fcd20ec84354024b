"""Differences between two documents, by the names of their entries."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .document import Document

SECRET_FIELDS = frozenset({"keys"})


class Change(Enum):
    """Kind of a difference."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True)
class Difference:
    """One difference; hashes of keys are never shown."""

    change: Change
    path: str
    before: Any = None
    after: Any = None

    def render(self) -> str:
        """Return one line for people."""
        if self.change is Change.CHANGED:
            return f"~ {self.path}: {self.before!r} -> {self.after!r}"
        return f"{self.change.value} {self.path}"


def compare(before: Document | None, after: Document) -> list[Difference]:
    """Return what *after* changes."""
    old = msgspec.to_builtins(before) if before is not None else {}
    return list(_walk("", old, msgspec.to_builtins(after)))


def _walk(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted({*old, *new}):
            below = f"{path}.{name}" if path else name
            yield from _walk_field(below, name, old, new)
        return
    if _named(old) and _named(new):
        yield from _walk("", _by_name(path, old), _by_name(path, new))
        return
    yield Difference(Change.CHANGED, path, old, new)


def _walk_field(
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
        yield from _walk(path, old[name], new[name])


def _named(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(row, dict) and "name" in row for row in value)


def _by_name(path: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {f"{path}[{row['name']}]": row for row in rows}
