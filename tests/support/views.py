"""What a follower of keys was told, for tests."""

from __future__ import annotations

from gradepoint.kv.service import RangeResult, WatchEvent


class KeptValues:
    """Implements :class:`~gradepoint.kv.follow.Follower`: keeps what it is told.

    :ivar resets: whole lists so far.
    """

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.resets = 0

    def reset(self, found: RangeResult) -> None:
        """Take all keys."""
        self.values = {item.key: item.value for item in found.items}
        self.resets += 1

    def change(self, event: WatchEvent) -> None:
        """Take one change."""
        if event.value is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.value
