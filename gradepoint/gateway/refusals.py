"""Recent refusals of this host by reason and organisation, for metrics and the operators' page."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from ..telemetry import metrics
from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from ..ids import OrganisationName

SHOWN_S = 10.0
"""Seconds for which refusals are listed: about two waves of load."""
BUCKET_S = 1.0
"""Seconds that are counted together."""
MAX_LABELS = 64
"""Organisations with a metric label of their own. Each label is a time series that is never
removed, and there may be 3,900 organisations."""
OTHER_ORGANISATIONS = "(other)"
"""Label of the organisations beyond :data:`MAX_LABELS`."""
NO_ORGANISATION = "(none)"
"""Label of calls without an organisation."""


class RecentRefusals(Struct):
    """Counts refusals by reason and organisation.

    :ivar labels: organisations with a label of their own.
    :ivar buckets: start and counts of each period of :data:`BUCKET_S`, the oldest first.
    """

    labels: set[str] = field(default_factory=set)
    buckets: deque[tuple[float, Counter[tuple[str, str]]]] = field(default_factory=deque)

    def record(self, reason: str, organisation: OrganisationName | None) -> None:
        """Count a refusal.

        :param reason: code of the error, one of the catalogue.
        :param organisation: the caller's organisation; None if it has none.
        """
        label = self._choose_label(organisation)
        metrics.shared().organisation_refusals.add(1, {"reason": reason, "organisation": label})
        now = monotonic()
        if not self.buckets or now - self.buckets[-1][0] >= BUCKET_S:
            self.buckets.append((now, Counter()))
            self._forget(now)
        self.buckets[-1][1][reason, label] += 1

    def count_recent(self) -> Counter[tuple[str, str]]:
        """Return the refusals of the last :data:`SHOWN_S` seconds by reason and organisation."""
        self._forget(monotonic())
        counts: Counter[tuple[str, str]] = Counter()
        for _, bucket in self.buckets:
            counts.update(bucket)
        return counts

    def _forget(self, now: float) -> None:
        while self.buckets and now - self.buckets[0][0] > SHOWN_S:
            self.buckets.popleft()

    def _choose_label(self, organisation: OrganisationName | None) -> str:
        if organisation is None:
            return NO_ORGANISATION
        if organisation not in self.labels:
            if len(self.labels) >= MAX_LABELS:
                return OTHER_ORGANISATIONS
            self.labels.add(organisation)
        return organisation
