"""How well a target answers, as calls of the whole fleet show it: pure, without clocks."""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.15
"""Weight of one answer in the moving average: about the last dozen count."""
FAILING_SHARE = 0.3
"""Average from which a target is left out: three failures in a row, or a third of all. Targets
that lose or spoil one answer in twenty stay four deviations below."""
RECOVERED_SHARE = 0.1
"""Average below which a target counts as well again, so that its next ejection is short."""
FIRST_EJECTION_S = 0.5
"""Seconds a target is left out first; a crashed one is listed as gone a few times as late."""
LONGEST_EJECTION_S = 4.0
"""Seconds of the longest ejection: a target that is back is tried again within this time."""


@dataclass
class TargetHealth:
    """The moving average of a target's failures and what follows from it.

    :ivar failure_share: share of failures among its last answers.
    :ivar ejected_until: monotonic time until which it is left out.
    """

    failure_share: float = 0.0
    ejection_s: float = 0.0
    ejected_until: float = 0.0

    def record_success(self) -> None:
        """Count an answer that was whole and in time."""
        self.failure_share *= 1 - SAMPLE_WEIGHT
        if self.failure_share < RECOVERED_SHARE:
            self.ejection_s = 0.0

    def record_failure(self, now: float) -> bool:
        """Count a failure; return whether the target is left out from now on."""
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        if self.failure_share < FAILING_SHARE or now < self.ejected_until:
            return False
        self._eject(now)
        return True

    def record_unreachable(self, now: float) -> bool:
        """Count a connection that was not made, which is enough by itself."""
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        if now < self.ejected_until:
            return False
        self._eject(now)
        return True

    def _eject(self, now: float) -> None:
        self.ejection_s = min(LONGEST_EJECTION_S, max(FIRST_EJECTION_S, self.ejection_s * 2))
        self.ejected_until = now + self.ejection_s
