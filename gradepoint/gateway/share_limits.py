"""Limits of organisations on this host while there is not enough room for all calls.

The aggregator computes the shares from the demands that all hosts report. They come with its
digests and are not stored, so a host without digests limits no organisation.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING

from ..ids import OrganisationNumber
from ..peers.aggregation import DEMAND_UNITS_PER_SLOT
from ..routing.admission import SHORTAGE_S
from ..routing.fair_shares import (
    MAX_SHARES,
    PERCENT,
    EvenAdmission,
    select_largest_demands,
)
from ..util.clock import monotonic
from ..util.hashing import hash32
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..ids import ServiceName, TargetId
    from .configuration import Route
    from .organisations import Organisation, Organisations
    from .targets import Target

MAX_ACCUMULATORS = 4 * MAX_SHARES
"""Organisations whose accumulators are kept. The listed organisations change while the load
does; one that is listed again within a few seconds continues where it was."""
MAX_REFUSALS = 4096
"""Refusals that are remembered for :data:`SHORTAGE_S`: several times what one host refuses."""


class ShareLimits(Struct):
    """Limits organisations above their fair share, and measures this host's part of the demands.

    :param find_shares: returns the percentage of its new calls that an organisation may send, for
        limited organisations only; empty without a recent digest.
    :param hears_shortage: whether another host refused calls for lack of room lately.
    :param count_in_flight: returns the calls of this host in flight by organisation.
    :param call_s: returns the mean seconds of a call to a service.
    :param draw: returns a random number from 0 to 1.
    :param on_shortage: called when this host's first call is refused for lack of room, so that the
        demands are reported at once.
    :ivar accumulators: admission of each organisation that was limited lately.
    :ivar refusals: time, organisation and expected seconds of the calls that this host refused for
        lack of room in the last :data:`SHORTAGE_S`; None for a call without an organisation.
    :ivar shortage_heard_at: monotonic time at which *hears_shortage* was last found true. Digests
        name refused requests for 0.3 s only.
    """

    find_shares: Callable[[], Mapping[OrganisationNumber, int]]
    hears_shortage: Callable[[], bool]
    count_in_flight: Callable[[], Mapping[OrganisationNumber, int]]
    call_s: Callable[[ServiceName], float]
    draw: Callable[[], float]
    on_shortage: Callable[[], None] = lambda: None
    accumulators: OrderedDict[OrganisationNumber, EvenAdmission] = field(
        default_factory=OrderedDict
    )
    refusals: deque[tuple[float, OrganisationNumber | None, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_REFUSALS)
    )
    shortage_heard_at: float = float("-inf")

    def allows(self, number: OrganisationNumber) -> bool:
        """Whether a fresh call of an organisation is within the organisation's share.

        Each call counts, so this is to be asked once a call, and only while the occupancy is at
        least :data:`~gradepoint.routing.fair_shares.SHARES_FROM_OCCUPANCY`. Returning calls are
        exempt and are not to be asked for.
        """
        percent = self.find_shares().get(number)
        if percent is None:
            return True
        accumulator = self.accumulators.get(number)
        if accumulator is None:
            accumulator = EvenAdmission(math.floor(self.draw() * PERCENT) % PERCENT)
            self.accumulators[number] = accumulator
            if len(self.accumulators) > MAX_ACCUMULATORS:
                self.accumulators.popitem(last=False)
        self.accumulators.move_to_end(number)
        return accumulator.admits(percent)

    def is_limited(self, number: OrganisationNumber) -> bool:
        """Whether an organisation is above its fair share.

        Its returning calls are exempt from the share, but wait behind all other calls: otherwise
        they fill all slots while demand stays above the room.
        """
        return number in self.find_shares()

    def rank(self, organisation: Organisation | None, route: Route) -> int:
        """Return the rank of a fresh call; 0 is the most urgent."""
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return max(0, route.priority)

    def record_refusal(self, number: OrganisationNumber | None, service: ServiceName) -> None:
        """Record that a call was refused for lack of room or beyond its organisation's share.

        :param number: its organisation; None if it has none.
        """
        self._forget(monotonic())
        is_first = not self.refusals
        self.refusals.append((monotonic(), number, self.call_s(service)))
        if is_first:
            self.on_shortage()

    def check_shortage(self) -> bool:
        """Return whether a host refused a call for lack of room in the last :data:`SHORTAGE_S`
        seconds, as far as this host knows."""
        now = monotonic()
        self._forget(now)
        if self.hears_shortage():
            self.shortage_heard_at = now
        return bool(self.refusals) or now - self.shortage_heard_at <= SHORTAGE_S

    def find_demands(self) -> dict[OrganisationNumber, int]:
        """Return this host's part of the demand of each organisation during a shortage.

        A refused call counts with its expected time, so that the demand of an organisation does
        not depend on how many of its calls are admitted.

        :return: the largest demands, in 1/:data:`DEMAND_UNITS_PER_SLOT` slots; empty if there is no
            shortage.
        """
        if not self.check_shortage():
            return {}
        demands: dict[OrganisationNumber, float] = dict(self.count_in_flight())
        for _, number, call_s in self.refusals:
            if number is not None:
                demands[number] = demands.get(number, 0.0) + call_s / SHORTAGE_S
        return select_largest_demands(
            {number: round(demand * DEMAND_UNITS_PER_SLOT) for number, demand in demands.items()}
        )

    def _forget(self, now: float) -> None:
        while self.refusals and now - self.refusals[0][0] > SHORTAGE_S:
            self.refusals.popleft()


def count_calls_by_organisation(
    targets: Iterable[Target], organisations: Organisations | None
) -> dict[OrganisationNumber, int]:
    """Return the calls that run at targets, by organisation.

    The caller of a request is the organisation's name, and is empty for a batch item.
    """
    if organisations is None:
        return {}
    callers = Counter(request.caller for target in targets for request in target.running)
    counts = {hash32(caller.decode(errors="replace")): callers[caller] for caller in callers}
    return {
        OrganisationNumber(number): count
        for number, count in counts.items()
        if number in organisations.by_number
    }


def compute_room(targets: Iterable[Target], pace: Callable[[TargetId], float]) -> float:
    """Return the slots that targets offer to calls, weighted by their paces.

    :param pace: returns the speed of a target relative to the usual one.
    :return: infinite without targets, or if the slots of one are unknown.
    """
    rooms = [target.listed.slots * pace(target.id) for target in targets]
    return sum(rooms) if rooms and all(rooms) else math.inf
