"""Expected delays and room of targets, for admission.

All targets count as equally fast, and batch items count as calls, since digests do not separate
them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.clock import monotonic
from .choice import get_load

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import ServiceName, TargetId
    from .targets import Target, TargetSet

CALL_S = 0.7
"""Mean seconds that a call occupies a slot, as the platform states it."""


@dataclass
class TargetLoads:
    """Loads of the targets as this host knows them.

    :param remote_in_flight: returns the calls and items that other hosts have in flight at a
        target.
    :param newest_digest_at: returns the monotonic time of receipt of the newest digest.
    """

    targets: TargetSet
    remote_in_flight: Callable[[TargetId], int]
    newest_digest_at: Callable[[], float]

    def pace(self, target_id: TargetId) -> float:
        """Return the speed of a target relative to the others; 1.0 is usual."""
        return 1.0

    def expected_delay_s(self, target: Target) -> float:
        """Return the seconds until a target is expected to begin a new call."""
        slots = max(1, target.listed.slots)
        surplus = get_load(target, self.remote_in_flight) * slots + 1 - slots
        return max(0.0, surplus) * CALL_S / (slots * self.pace(target.id))

    def call_s(self, service: ServiceName) -> float:
        """Return the mean seconds that a call of a service occupies a slot."""
        return CALL_S

    def count_room(self, service: ServiceName) -> float:
        """Return how many more calls the candidates of a service can run at once."""
        calls, slots = self._sum_up(service)
        return max(0.0, slots - calls)

    def occupancy(self, service: ServiceName) -> float:
        """Return calls in flight / (slots x pace) over all candidates of a service."""
        calls, slots = self._sum_up(service)
        return calls / slots if slots else 0.0

    def age_s(self) -> float:
        """Return the seconds since the newest digest; infinite without one."""
        return monotonic() - self.newest_digest_at()

    def _sum_up(self, service: ServiceName) -> tuple[float, float]:
        calls = slots = 0.0
        for target in self.targets.candidates(service, monotonic()):
            calls += target.in_flight + self.remote_in_flight(target.id)
            slots += max(1, target.listed.slots) * self.pace(target.id)
        return calls, slots
