"""Counts of successful and failed calls that are resent to other hosts for a while after a
change."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from ..ids import TargetNumber

RESEND_S = 2.0
"""Seconds for which results are resent after a change: many datagrams, since some may be lost."""
KNOWN_RESULTS_LIFETIME_S = 3 * RESEND_S
"""Seconds after which a receiver drops numbers that are no longer sent. The sender's next message
then contains the numbers before its new changes, so nothing is lost."""
COUNT_LIFETIME_S = 2 * KNOWN_RESULTS_LIFETIME_S
"""Seconds after its last change at which an aggregator drops a count. All receivers have dropped
theirs by then, so a count that starts again at zero is not compared with the former one."""


class ReportedResults(msgspec.Struct, frozen=True, array_like=True):
    """Results as sent to other hosts.

    :param good: successes so far.
    :param bad: failures so far.
    :param former_good: successes before the changes that are being sent: the starting point for a
        receiver that knew nothing of this count.
    :param former_bad: failures before these changes.
    """

    good: int
    bad: int
    former_good: int
    former_bad: int


class ResultCount(Struct):
    """Successes and failures so far.

    :ivar former_good: successes before the last changes.
    :ivar former_bad: failures before the last changes.
    :ivar changed_at: monotonic time of the last change.
    """

    good: int = 0
    bad: int = 0
    former_good: int = 0
    former_bad: int = 0
    changed_at: float = float("-inf")

    def add(self, good: int, bad: int) -> None:
        """Add results."""
        now = monotonic()
        if now - self.changed_at > RESEND_S:
            self.former_good, self.former_bad = self.good, self.bad
        self.good += good
        self.bad += bad
        self.changed_at = now

    def report_changes(self) -> ReportedResults | None:
        """Return the results to send; None if nothing changed recently."""
        if monotonic() - self.changed_at > RESEND_S:
            return None
        return ReportedResults(self.good, self.bad, self.former_good, self.former_bad)


class KnownResults(Struct):
    """Numbers last received from one sender for one count.

    :ivar good: known successes.
    :ivar bad: known failures.
    :ivar at: monotonic time at which they were last received.
    """

    good: int
    bad: int
    at: float = field(default_factory=monotonic)

    def take(self, received: ReportedResults) -> tuple[int, int]:
        """Update the known numbers; return the new successes and failures."""
        self.at = monotonic()
        new = max(0, received.good - self.good), max(0, received.bad - self.bad)
        self.good, self.bad = max(self.good, received.good), max(self.bad, received.bad)
        return new


def merge_results(
    heard: dict[TargetNumber, KnownResults], name: TargetNumber, received: ReportedResults | None
) -> tuple[int, int]:
    """Return the successes and failures in *received* that were not known for *name* before."""
    if received is None:
        return 0, 0
    if name not in heard:
        heard[name] = KnownResults(received.former_good, received.former_bad)
    return heard[name].take(received)


def forget_old_results(heard: dict[TargetNumber, KnownResults]) -> None:
    """Drop the numbers that are no longer sent; targets come and go for as long as hosts run."""
    oldest = monotonic() - KNOWN_RESULTS_LIFETIME_S
    for name in [name for name, known in heard.items() if known.at < oldest]:
        del heard[name]
