"""Limits of organisations in fleets whose daemons tell each other nothing of them.

Each daemon grants its share, the fleet's limit divided by the live daemons. The
balancer spreads callers evenly enough for that; a share is never below one call.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import GradepointError
from .quotas import LEAST_RETRY_S, Bucket

if TYPE_CHECKING:
    from ..config.document import Organisation

BURST_S = 2.0
"""Seconds of its rate that an organisation may use at once."""


@dataclass
class OrganisationLimits:
    """Admission of calls by organisation.

    :ivar buckets: calls that each organisation may make at this daemon now.
    :ivar in_flight: its calls under way here.
    """

    buckets: dict[str, Bucket] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)

    def admit(self, organisation: Organisation, daemons: int, now: float) -> None:
        """Admit one call and count it; call :meth:`leave` at its end.

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
            raise GradepointError("organisation_rate", retry_after=max(LEAST_RETRY_S, wait))
        bucket.room -= 1.0
        self.in_flight[organisation.name] += 1

    def leave(self, organisation: str) -> None:
        """Note the end of an admitted call."""
        if self.in_flight[organisation] > 1:
            self.in_flight[organisation] -= 1
        else:
            del self.in_flight[organisation]
