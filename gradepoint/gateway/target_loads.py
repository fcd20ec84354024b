"""What this host knows of the targets' pace and load: expected delays, room and occupancy."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..peers.datagrams import number_target
from ..routing.target_model import (
    MAX_SAMPLE_AGE_S,
    USUAL_PACE,
    TargetLoad,
    choose_load,
    compute_paces,
    estimate_delay_s,
)
from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import ServiceName, TargetId, TargetNumber
    from ..peers.occupancy import Occupancy, ReceivedGaps
    from ..telemetry.metrics import Labels
    from .targets import Target, TargetSet

DEFAULT_CALL_S = 0.7
"""Mean seconds of a call before one has completed: a usual call of the known deployments."""
CALL_WEIGHT = 0.1
"""Weight of a completed call in the moving average of call times, so that about the last ten
count."""


class TargetLoads(Struct):
    """Paces and loads of the targets, as known from the aggregators and from this host's calls.

    :param sums: what other hosts have in flight, and the gaps between events.
    :param count_own_items: returns the batch items that this host has in flight at a target.
    :param enabled: whether paces are used; otherwise all targets count as alike.
    :ivar paces: paces that differ from the usual one, computed from :attr:`used`.
    :ivar used: the gaps that :attr:`paces` were computed from.
    :ivar call_seconds: moving average of the seconds of completed calls, at usual pace.
    """

    targets: TargetSet
    sums: Occupancy
    count_own_items: Callable[[TargetId], int]
    enabled: bool = True
    paces: dict[TargetNumber, float] = field(default_factory=dict)
    used: ReceivedGaps | None = None
    call_seconds: dict[ServiceName, float] = field(default_factory=dict)

    def pace(self, target_id: TargetId) -> float:
        """Return a target's speed in relation to the others of its service; 1.0 if unknown."""
        return self.find_unusual_paces().get(number_target(target_id), USUAL_PACE)

    def find_unusual_paces(self) -> dict[TargetNumber, float]:
        """Return the paces that differ from 1.0, computed anew when other gaps have arrived."""
        received = self.sums.find_gaps() if self.enabled else None
        if received is not None and monotonic() - received.at > MAX_SAMPLE_AGE_S:
            received = None
        if received is not self.used:
            self.used = received
            self.paces = {} if received is None else self._compute_paces(received.gaps)
        return self.paces

    def expected_delay_s(self, target: Target) -> float:
        """Return the seconds that a new call is expected to wait for a slot of a target."""
        return estimate_delay_s(self.find_load(target), self.call_s(target.listed.service))

    def call_s(self, service: ServiceName) -> float:
        """Return the mean seconds that a service's calls take at a target of usual pace."""
        return self.call_seconds.get(service, DEFAULT_CALL_S)

    def count_room(self, service: ServiceName) -> float:
        """Return how many more calls fit into the slots of a service's candidates at usual pace.

        Items leave their slots to calls, so they are not subtracted.
        """
        calls, capacity = self._sum_up(service)
        return max(0.0, capacity - calls)

    def occupancy(self, service: ServiceName) -> float:
        """Return the calls in flight per slot of usual pace; infinite without candidates."""
        calls, capacity = self._sum_up(service)
        return calls / capacity if capacity else math.inf

    def age_s(self) -> float:
        """Return the seconds since the newest digest; infinite without one."""
        return self.sums.digest_age_s()

    def choose(self, drawn: list[Target]) -> Target:
        """Return the target among *drawn* that a new call is sent to; all are of one service."""
        return drawn[choose_load(self.find_loads(drawn), self.call_s(drawn[0].listed.service))]

    def note_call(self, target: Target, seconds: float) -> None:
        """Include a completed call in the mean call time of its service.

        :param seconds: time from the first event of a stream, or from the sending of another call,
            to the end of the answer.
        """
        service, paced_s = target.listed.service, seconds * self.pace(target.id)
        known = self.call_seconds.get(service)
        self.call_seconds[service] = (
            paced_s if known is None else known + CALL_WEIGHT * (paced_s - known)
        )

    def read_paces(self) -> dict[Labels, float]:
        """Return the pace of each target, for the metrics page."""
        return {(("target", name),): self.pace(name) for name in self.targets.by_id}

    def read_delays_s(self) -> dict[Labels, float]:
        """Return the expected delay of each target, for the metrics page."""
        return {
            (("target", name),): self.expected_delay_s(target)
            for name, target in self.targets.by_id.items()
        }

    def _compute_paces(self, gaps: dict[TargetNumber, int]) -> dict[TargetNumber, float]:
        paces: dict[TargetNumber, float] = {}
        for targets in self.targets.by_service.values():
            numbers = [number_target(target.id) for target in targets]
            found = compute_paces({number: gaps[number] for number in numbers if number in gaps})
            paces.update((number, pace) for number, pace in found.items() if pace != USUAL_PACE)
        return paces

    def find_load(self, target: Target) -> TargetLoad:
        """Return the calls and items in flight at a target over all hosts, its slots and pace."""
        return self.find_loads([target])[0]

    def find_loads(self, targets: Iterable[Target]) -> list[TargetLoad]:
        """Return the loads of targets, as :meth:`find_load` does."""
        paces = self.find_unusual_paces()
        loads = []
        for target in targets:
            total = target.in_flight + self.sums.in_flight(target.id)
            # Calls and items come from different digests if an aggregator is being replaced.
            items = self.count_own_items(target.id) + self.sums.items_in_flight(target.id)
            items = min(total, max(0, items))
            pace = paces.get(number_target(target.id), USUAL_PACE)
            loads.append(TargetLoad(total - items, items, max(1, target.listed.slots), pace))
        return loads

    def _sum_up(self, service: ServiceName) -> tuple[int, float]:
        """Return the calls in flight at a service's candidates, and their slots times pace."""
        loads = self.find_loads(self.targets.candidates(service, monotonic()))
        capacity = sum(load.slots * load.pace for load in loads)
        return sum(load.calls for load in loads), capacity
