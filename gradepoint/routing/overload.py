"""Decide how many new connections an overloaded host accepts, without I/O or clocks.

Load that answers: most new connections of a failure domain or region go to one host, which has not
enough processor time for them. All of its calls slow down, and it refuses calls although targets
have room. A connection that is closed before its request is read can be tried at another host at
once, so an overloaded host accepts only the share of them that it can serve.
"""

from __future__ import annotations

from ..util.structs import Struct

MAX_LAG_S = 0.05
"""Seconds by which the event loop may be late. Each event of a stream waits that long, of the 0.2 s
that callers allow between two; a call waits several times."""
MIN_LATE_CHECKS = 3
"""Consecutive checks that find the loop late before connections are refused. Reading a large
configuration or a garbage collection makes it late once."""
DECREASE = 0.7
"""Factor of the accepted share at each check while the loop is later than that."""
INCREASE = 0.02
"""Increase of the accepted share at each check while it is not: five seconds from the minimum to
all connections. A faster one overloads the host again each second."""
MIN_SHARE = 0.1
"""Minimum share of the new connections that are accepted, so that the host notices when it can
serve more."""
CREDIT_PER_CHECK = 0.5
"""Connections that each check allows besides, so that a host with few callers accepts one of them
at every second check at the latest."""


class AcceptLimiter(Struct):
    """The share of new connections that a host accepts.

    :ivar share: this share.
    :ivar late_checks: consecutive checks that found the loop late.
    :ivar credit: accepted connections that the share allows by now; at least 1 accepts one.
    """

    share: float = 1.0
    late_checks: int = 0
    credit: float = 0.0

    @property
    def limits(self) -> bool:
        """Whether some connections are refused."""
        return self.share < 1.0

    def note_lag(self, lag_s: float) -> None:
        """Take a measurement of how late the event loop is."""
        self.credit = min(1.0, self.credit + CREDIT_PER_CHECK)
        if lag_s <= MAX_LAG_S:
            self.late_checks = 0
            self.share = min(1.0, self.share + INCREASE)
            return
        self.late_checks += 1
        if self.late_checks >= MIN_LATE_CHECKS:
            self.share = max(MIN_SHARE, self.share * DECREASE)

    def accept(self) -> bool:
        """Decide about one new connection."""
        self.credit += self.share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
