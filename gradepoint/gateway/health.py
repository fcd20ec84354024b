"""Health of a target: the failure rate of calls from all hosts, and ejection.

The functions read no clock; the caller passes the time.
"""

from __future__ import annotations

from ..util.structs import Struct

SAMPLE_WEIGHT = 0.15
"""Weight of one answer in the moving average; about the last dozen answers count."""
FAILING_SHARE = 0.3
"""Failure rate from which a target is ejected: three failures in a row, or a third of all answers.
A target that fails one answer in twenty stays four standard deviations below this."""
RECOVERED_SHARE = 0.1
"""Failure rate below which a target counts as recovered, so that its next ejection is short."""
FIRST_EJECTION_S = 0.5
"""Seconds of the first ejection. A crashed target is delisted only after a few times as long."""
LONGEST_EJECTION_S = 4.0
"""Maximum seconds of an ejection; a recovered target is tried again within this time."""


class TargetHealth(Struct):
    """Moving average of a target's failures, and its ejection.

    :ivar failure_share: exponential moving average of failures, from 0 to 1.
    :ivar ejection_s: seconds of the last ejection; each further one is twice as long, until the
        target has recovered.
    :ivar ejected_until: monotonic time until which it is ejected.
    """

    failure_share: float = 0.0
    ejection_s: float = 0.0
    ejected_until: float = 0.0

    def record_success(self) -> None:
        """Count a complete answer that came in time."""
        self.failure_share *= 1 - SAMPLE_WEIGHT
        if self.failure_share < RECOVERED_SHARE:
            self.ejection_s = 0.0

    def record_failure(self, now: float) -> bool:
        """Count a failure; return whether it ejects the target."""
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        if self.failure_share < FAILING_SHARE or now < self.ejected_until:
            return False
        self._eject(now)
        return True

    def record_unreachable(self, now: float) -> bool:
        """Count a failed connection, which ejects the target at once; return whether it did."""
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        if now < self.ejected_until:
            return False
        self._eject(now)
        return True

    def _eject(self, now: float) -> None:
        self.ejection_s = min(LONGEST_EJECTION_S, max(FIRST_EJECTION_S, self.ejection_s * 2))
        self.ejected_until = now + self.ejection_s
