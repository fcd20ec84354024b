"""Counts of good and bad results that are told to other hosts for a while after each change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ..util.clock import monotonic

if TYPE_CHECKING:
    from ..ids import TargetNumber

TOLD_S = 2.0
"""Seconds for which results are told after they changed: many datagrams, of which some may
be lost."""


class ToldResults(msgspec.Struct, frozen=True, array_like=True):
    """Results as they are told.

    :param good: successes so far, and *bad* failures.
    :param former_good: successes before the changes told now, and *former_bad* failures: what
        a listener starts from that did not hear of them before.
    """

    good: int
    bad: int
    former_good: int
    former_bad: int


@dataclass
class ResultCount:
    """Successes and failures so far.

    :ivar former_good: successes before the last changes, and *former_bad* failures.
    :ivar changed_at: monotonic time of the last change.
    """

    good: int = 0
    bad: int = 0
    former_good: int = 0
    former_bad: int = 0
    changed_at: float = float("-inf")

    def add(self, good: int, bad: int) -> None:
        """Count results."""
        now = monotonic()
        if now - self.changed_at > TOLD_S:
            self.former_good, self.former_bad = self.good, self.bad
        self.good += good
        self.bad += bad
        self.changed_at = now

    def tell(self) -> ToldResults | None:
        """Return what is told now, None if nothing changed lately."""
        if monotonic() - self.changed_at > TOLD_S:
            return None
        return ToldResults(self.good, self.bad, self.former_good, self.former_bad)


@dataclass
class HeardResults:
    """What one teller said last of one count.

    :ivar good: successes that are known of, and *bad* failures.
    """

    good: int
    bad: int

    def take(self, told: ToldResults) -> tuple[int, int]:
        """Return the successes and failures that are new."""
        new = max(0, told.good - self.good), max(0, told.bad - self.bad)
        self.good, self.bad = max(self.good, told.good), max(self.bad, told.bad)
        return new


def take_results(
    heard: dict[TargetNumber, HeardResults], name: TargetNumber, told: ToldResults | None
) -> tuple[int, int]:
    """Return what is new in *told* beside what was heard of *name* before."""
    if told is None:
        return 0, 0
    if name not in heard:
        heard[name] = HeardResults(told.former_good, told.former_bad)
    return heard[name].take(told)
