"""Detection of lost hosts among the listed ones, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import Incarnation

SILENT_S = 1.2
"""Seconds without heartbeats after which a silent host counts as lost although it is listed.
Together with the time until it counts as silent, this is a third of the time until its lease
expires. A killed process is back sooner and runs its jobs itself."""


class Silence(Struct):
    """Listed hosts that are not heard, and since when.

    :ivar since: monotonic time by incarnation.
    :ivar isolated: more than half of the listed hosts are not heard, so this host is probably cut
        off rather than they.
    """

    since: dict[Incarnation, float] = field(default_factory=dict)
    isolated: bool = False

    def update(
        self, listed: Collection[Incarnation], heard: Collection[Incarnation], now: float
    ) -> set[Incarnation]:
        """Update with the hosts listed and heard now, both without this one; return the lost
        hosts."""
        silent = set(listed) - set(heard)
        self.since = {incarnation: self.since.get(incarnation, now) for incarnation in silent}
        self.isolated = 2 * len(silent) > len(listed)
        return self.lost(now)

    def lost(self, now: float) -> set[Incarnation]:
        """Return the incarnations that have been silent long enough; none while this host is
        isolated."""
        if self.isolated:
            return set()
        return {incarnation for incarnation, since in self.since.items() if now - since >= SILENT_S}
