"""Limits of organisations, shared by the fleet without a word between hosts.

Each daemon grants its share, the fleet's limit divided by the live daemons. The
balancer spreads callers evenly enough for that; a share is never below one call.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import GradepointError

if TYPE_CHECKING:
    from ..config.document import Organisation

BURST_S = 2.0
"""Seconds of its rate that an organisation may use at once."""


@dataclass
class Bucket:
    """Token bucket of one organisation at one daemon."""

    tokens: float
    at: float
    in_flight: int = 0


@dataclass
class OrganisationLimits:
    """Admission of calls by organisation."""

    buckets: dict[str, Bucket] = field(default_factory=dict)

    def admit(self, organisation: Organisation, daemons: int, now: float) -> None:
        """Admit one call and count it; call :meth:`leave` at its end.

        :param daemons: live daemons that share the limit.
        :raises GradepointError: ``organisation_rate`` or ``organisation_in_flight``.
        """
        rate = organisation.requests_per_s / daemons
        burst = max(1.0, rate * BURST_S)
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = self.buckets[organisation.name] = Bucket(burst, now)
        bucket.tokens = min(burst, bucket.tokens + (now - bucket.at) * rate)
        bucket.at = now
        if bucket.in_flight >= max(1, organisation.in_flight // daemons):
            raise GradepointError("organisation_in_flight")
        if bucket.tokens < 1.0:
            wait = (1.0 - bucket.tokens) / rate
            raise GradepointError("organisation_rate", retry_after=max(0.05, wait))
        bucket.tokens -= 1.0
        bucket.in_flight += 1

    def leave(self, organisation: str) -> None:
        """Note the end of an admitted call."""
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            bucket.in_flight -= 1
