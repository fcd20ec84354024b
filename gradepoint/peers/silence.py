"""Listed hosts that are not heard: pure, from what this host hears."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import Incarnation

SILENT_S = 1.2
"""Seconds for which a host is not heard any more until it counts as lost though it is listed: with
the time until it is not heard, a third of what its lease takes to run out. A process that is killed
is back sooner, and runs its jobs itself."""


@dataclass
class Silence:
    """Since when which listed hosts are not heard.

    :ivar since: monotonic time by life.
    :ivar isolated: more than half of the listed hosts are not heard, so that this one is cut off
        rather than they.
    """

    since: dict[Incarnation, float] = field(default_factory=dict)
    isolated: bool = False

    def update(
        self, listed: Collection[Incarnation], heard: Collection[Incarnation], now: float
    ) -> set[Incarnation]:
        """Take what is listed and heard now, both without this host; return who is lost."""
        silent = set(listed) - set(heard)
        self.since = {life: self.since.get(life, now) for life in silent}
        self.isolated = 2 * len(silent) > len(listed)
        return self.lost(now)

    def lost(self, now: float) -> set[Incarnation]:
        """Return the lives that have been silent for long enough."""
        if self.isolated:
            return set()
        return {life for life, since in self.since.items() if now - since >= SILENT_S}
