"""A follower of keys that records its updates, for tests."""

from __future__ import annotations

from gradepoint.kv.service import RangeResult, WatchEvent


class ValuesFollower:
    """Implements :class:`~gradepoint.kv.follow.Follower` by keeping the current values.

    :ivar resets: the number of full lists received so far.
    """

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.resets = 0

    def reset(self, found: RangeResult) -> None:
        """Replace all values by those of a full list."""
        self.values = {item.key: item.value for item in found.items}
        self.resets += 1

    def change(self, event: WatchEvent) -> None:
        """Apply one change."""
        if event.value is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.value
