"""Refuses part of the callers' new connections while this host is overloaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import events
from ..routing.overload import AcceptLimiter
from ..telemetry import loop_time, metrics
from ..telemetry.logs import emit
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

MILLISECONDS = 1000


class AcceptGate(Struct):
    """Accepts callers' connections as far as the event loop keeps up.

    :param count_hosts: returns the number of listed hosts, this one included. A single host accepts
        all, since callers have no other one.
    """

    count_hosts: Callable[[], int]
    limiter: AcceptLimiter = field(default_factory=AcceptLimiter)

    def note_lag(self, lag_s: float) -> None:
        """Take a measurement of how late the event loop is."""
        limited = self.limiter.limits
        self.limiter.note_lag(lag_s)
        if self.limiter.limits is not limited:
            event = events.HOST_OVERLOADED if self.limiter.limits else events.HOST_RELIEVED
            shares = loop_time.shared().find_shares()
            emit(event, lag_ms=round(lag_s * MILLISECONDS), shares=shares)

    def accept(self) -> bool:
        """Decide about one new connection."""
        if self.limiter.accept() or self.count_hosts() < 2:
            return True
        metrics.shared().refused_connections.add(1, {})
        return False
