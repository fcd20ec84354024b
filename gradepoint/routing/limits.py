"""Per-daemon limits of organisations, for deployments whose daemons do not exchange counts.

Each daemon grants its share: the limit of the whole deployment divided by the number of live
daemons. The load balancer spreads callers evenly enough for that. A share is never below one call.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import GradepointError
from .quotas import MIN_RETRY_AFTER_S, Bucket

if TYPE_CHECKING:
    from ..config.document import Organisation

BURST_S = 2.0
"""Seconds' worth of its rate that an organisation may use at once."""


@dataclass
class OrganisationLimits:
    """Admits calls by organisation at one daemon.

    :ivar buckets: token bucket of each organisation.
    :ivar in_flight: calls in flight of each organisation.
    """

    buckets: dict[str, Bucket] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)

    def admit(self, organisation: Organisation, daemons: int, now: float) -> None:
        """Admit one call and count it; the caller must call :meth:`leave` when it ends.

        :param daemons: live daemons that share the limit.
        :raises GradepointError: ``organisation_rate`` or ``organisation_in_flight``.
        """
        rate = organisation.requests_per_s / daemons
        burst = max(1.0, rate * BURST_S)
        bucket = self.buckets.setdefault(organisation.name, Bucket(burst, now))
        room = bucket.fill(rate, burst, now)
        if self.in_flight[organisation.name] >= max(1, organisation.in_flight // daemons):
            raise GradepointError("organisation_in_flight")
        if room < 1.0:
            wait = (1.0 - room) / rate
            raise GradepointError("organisation_rate", retry_after=max(MIN_RETRY_AFTER_S, wait))
        bucket.room -= 1.0
        self.in_flight[organisation.name] += 1

    def leave(self, organisation: str) -> None:
        """Record the end of an admitted call."""
        if self.in_flight[organisation] > 1:
            self.in_flight[organisation] -= 1
        else:
            del self.in_flight[organisation]
