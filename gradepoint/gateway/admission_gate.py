"""Admission of callers' calls on this host: their waits for room and their refusals.

The decisions are made by :mod:`gradepoint.routing.admission`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from .. import events
from ..errors import GradepointError, Outcome
from ..routing.admission import (
    TREND_S,
    CallTerms,
    LoadTrend,
    LoadView,
    Pacing,
    RefusedMemory,
    ReturnSchedule,
    ServiceLoad,
    Verdict,
    begins_by,
    decide,
    estimate_earliest_return,
    find_latest_return,
    is_late,
    make_terms,
)
from ..routing.fair_shares import SHARES_FROM_OCCUPANCY
from ..routing.recovery import choose_turn
from ..routing.target_model import estimate_delay_s
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.rng import new_rng
from ..util.structs import Struct, field
from .identity import format_key

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping

    from ..ids import OrganisationNumber, RequestKey, ServiceName, TargetId
    from ..routing.target_model import TargetLoad
    from .configuration import Route
    from .live import LiveCall
    from .organisations import Organisation
    from .targets import Target

NUMBER_MASK = 0xFFFFFFFF
"""Bits of a request key that hosts send each other. Among the thousand requests that are remembered
at a time, a fresh call is mistaken for one of them once in four million calls."""
DEFAULT_DELAY_S = 0.1
"""Seconds until hosts know of each other's calls where this is not measured."""
MIN_CALL_S = 0.001
"""Minimum mean seconds of a call, where the measured time is too short to matter."""
MILLISECONDS = 1000


class TargetLoads(Protocol):
    """What this host believes of the speed and load of targets."""

    def find_loads(self, targets: Iterable[Target]) -> list[TargetLoad]:
        """Return the calls and items in flight at targets over all hosts, their slots and paces."""

    def expected_delay_s(self, target: Target) -> float:
        """Return the seconds until a target is expected to begin a new call."""

    def call_s(self, service: ServiceName) -> float:
        """Return the mean seconds that a call of a service occupies a slot."""

    def age_s(self) -> float:
        """Return the seconds since the newest digest; infinite without one."""


class RecoveryLimits(Protocol):
    """Limits of a host that does not know the other hosts' calls."""

    def may_admit(self, own_in_flight: int, slots: int, hosts: int) -> bool:
        """Return whether the host may send a further call."""

    def retry_after_s(self) -> float:
        """Return the seconds after which a refused call should return."""


def get_route_priority(organisation: Organisation | None, route: Route) -> int:
    """Return the rank of a call where organisations have none."""
    return route.priority


class AdmissionGate(Struct):
    """Admits calls, lets them wait for room, and refuses them.

    :param find_candidates: returns the targets of a service that may get a call.
    :param knows_occupancy: whether a recent digest covers enough of the listed hosts.
    :param count_hosts: returns the number of listed hosts.
    :param recovery: limits while occupancy is unknown.
    :param find_own_items: returns this host's batch items in flight by target.
    :param find_delay_s: returns the seconds until hosts know of each other's calls.
    :param on_refused: called after each refusal, so that other hosts learn of it at once.
    :param allows: returns whether the share of an organisation allows a fresh call; called at most
        once for each call, in a shortage.
    :param is_limited: returns whether an organisation is above its fair share.
    :param find_rank: returns the rank of a call; 0 is the most urgent.
    :param find_position: returns the position of this host among the listed ones.
    :ivar sent_unknown: calls sent while occupancy was unknown.
    :ivar memory: refused requests of all hosts.
    :ivar schedules: return times by service.
    :ivar pacings: turns of this host's calls by service, while there is no ample room.
    :ivar trends: change of the calls in flight by service.
    :ivar waiting: futures of the waiting calls in order of arrival, with the call's service.
    :ivar waking: the waiting calls are being woken one after another.
    :ivar wake_again: occupancy changed while they were.
    """

    find_candidates: Callable[[ServiceName], list[Target]]
    loads: TargetLoads
    knows_occupancy: Callable[[], bool]
    count_hosts: Callable[[], int]
    recovery: RecoveryLimits
    find_own_items: Callable[[], Mapping[TargetId, int]] = dict
    find_delay_s: Callable[[], float] = lambda: DEFAULT_DELAY_S
    on_refused: Callable[[], None] = lambda: None
    allows: Callable[[OrganisationNumber], bool] = lambda _: True
    is_limited: Callable[[OrganisationNumber], bool] = lambda _: False
    find_rank: Callable[[Organisation | None, Route], int] = get_route_priority
    rng: random.Random = field(default_factory=new_rng)
    find_position: Callable[[], int] = lambda: 0
    sent_unknown: int = 0
    memory: RefusedMemory = field(default_factory=RefusedMemory)
    schedules: dict[ServiceName, ReturnSchedule] = field(default_factory=dict)
    pacings: dict[ServiceName, Pacing] = field(default_factory=dict)
    trends: dict[ServiceName, LoadTrend] = field(default_factory=dict)
    waiting: dict[asyncio.Future[None], ServiceName] = field(default_factory=dict)
    waking: bool = False
    wake_again: bool = False

    def has_room(self, call: LiveCall, target: Target) -> bool:
        """Whether a call can be sent to the *target* that was drawn for it without a decision.

        This is the way of every call where there is room: it looks at the drawn target only.
        """
        if target.listed.slots <= 0 or target.trial is not None:
            # Without a number of slots, room is unknown; a trial of a suspected request has its
            # own rules.
            return True
        now = monotonic()
        self.memory.forget(now)
        if self.memory.requests or not self.knows_occupancy():
            return False
        late = is_late(call.route.goal_s, call.route.timeout_s, call.deadline - call.arrived_at)
        return not late and self.loads.expected_delay_s(target) <= 0.0

    def sum_up(
        self, service: ServiceName, goal_s: float, loads: list[tuple[Target, TargetLoad]]
    ) -> ServiceLoad:
        """Return the load of all targets of a service whose number of slots is known.

        :param loads: the candidates of the service with their loads.
        """
        items = self.find_own_items()
        known = [(target, load) for target, load in loads if target.listed.slots > 0]
        return ServiceLoad(
            calls=sum(load.calls for _, load in known),
            capacity=sum(load.slots * load.pace for _, load in known),
            own_calls=sum(target.in_flight - items.get(target.id, 0) for target, _ in known),
            hosts=max(1, self.count_hosts()),
            call_s=max(MIN_CALL_S, self.loads.call_s(service)),
            delay_s=self.find_delay_s(),
            goal_s=goal_s,
        )

    def find_delay_to_begin(self, target: Target) -> float:
        """Return the expected delay at a target; 0 if its number of slots is unknown."""
        return 0.0 if target.listed.slots <= 0 else self.loads.expected_delay_s(target)

    def choose_in_turn(self, targets: list[Target]) -> Target | None:
        """Return the target whose turn it is, for a call while occupancy is unknown."""
        if not targets:
            return None
        ordered = sorted(targets, key=lambda target: target.name)
        index = choose_turn(
            self.find_position(), max(1, self.count_hosts()), self.sent_unknown, len(ordered)
        )
        self.sent_unknown += 1
        return ordered[index]

    def take_sums(self, refused: list[int]) -> None:
        """Take the refused requests of a digest, and let waiting calls decide again."""
        now = monotonic()
        for number in reversed(refused):
            self.memory.add_remote(number, now)
        self.notify()

    def notify(self) -> None:
        """Let waiting calls decide again, since the occupancy of targets changed.

        They decide one after another, each after the former one's call counts as in flight.
        """
        if not self.waiting:
            return
        if self.waking:
            self.wake_again = True
            return
        self.waking = True
        asyncio.get_running_loop().call_soon(self._wake_next, list(self.waiting))

    def _wake_next(self, futures: list[asyncio.Future[None]]) -> None:
        while futures and futures[0].done():
            futures.pop(0)
        if not futures:
            self.waking = False
            if self.wake_again:
                self.wake_again = False
                self.notify()
            return
        futures.pop(0).set_result(None)
        # The woken call decides in the next callback, and its sending task begins in the one after
        # the callback that is scheduled here.
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._wake_next, futures)

    async def wait(self, service: ServiceName, until: float) -> None:
        """Wait until occupancy changes, at most until the monotonic time *until*."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[future] = service
        try:
            async with asyncio.timeout(max(0.0, until - monotonic())):
                await future
        except TimeoutError:
            pass
        finally:
            del self.waiting[future]


class PendingCall(Struct):
    """A call that is not admitted yet.

    :ivar key: key of its request.
    :ivar known: occupancy was known at the last decision.
    :ivar allowed: the share of its organisation allowed it; None before it was asked for.
    """

    gate: AdmissionGate
    call: LiveCall
    terms: CallTerms
    key: RequestKey
    known: bool = True
    allowed: bool | None = None

    @property
    def decide_again_at(self) -> float:
        """Monotonic time at which a waiting call decides even if nothing has changed."""
        terms = self.terms
        if not self.known and monotonic() < terms.goal_at:
            return min(terms.goal_at, terms.wait_until)
        return terms.wait_until

    def choose(self, drawn: Target) -> Target | None:
        """Return the target to send the call to, or None if it has to wait.

        :param drawn: target that the usual choice takes.
        :raises GradepointError: the call is refused.
        """
        gate, call, now = self.gate, self.call, monotonic()
        if drawn.listed.slots <= 0 or drawn.trial is not None:
            return self._admit(drawn)
        self.known = gate.knows_occupancy()
        shortage = gate.memory.is_shortage(now)
        drawn_delay_s = gate.find_delay_to_begin(drawn)
        if drawn_delay_s <= 0.0 and not (shortage or self.terms.late):
            view = LoadView(0.0, 0.0, gate.loads.call_s(call.service), self.known)
            if self.known and decide(self.terms, view, now) is Verdict.SEND:
                return self._admit(drawn)
        # The load of each target is looked up once: with 45 targets, it is most of the decision's
        # cost, and a waiting call decides at each digest.
        candidates = gate.find_candidates(call.service)
        loads = list(zip(candidates, gate.loads.find_loads(candidates), strict=True))
        call_s = gate.loads.call_s(call.service)
        excluded = call.forwarder.suspicion.find_reserved() | call.tried
        delays = {
            target.id: estimate_delay_s(load, call_s) if target.listed.slots > 0 else 0.0
            for target, load in loads
            if target.id not in excluded and call.version in (None, target.listed.version)
        } or {drawn.id: drawn_delay_s}
        least_delay_s = min(delays.values())
        load = gate.sum_up(call.service, call.route.goal_s, loads)
        ample = load.has_ample_room
        if shortage and self.known and load.occupancy >= SHARES_FROM_OCCUPANCY:
            self._ask_for_share()
        verdict = self._decide(least_delay_s, load, now, shortage=shortage)
        if verdict is Verdict.SEND and not ample and not self.terms.returning:
            pacing = gate.pacings.setdefault(call.service, Pacing())
            if self.known and not self.terms.late and not pacing.take(load, now):
                verdict = self._decide(least_delay_s, load, now, shortage=shortage, in_turn=False)
        if verdict is Verdict.WAIT:
            return None
        if verdict is Verdict.REFUSE:
            raise self._refuse(least_delay_s, load, now)
        if verdict is Verdict.EXPIRE:
            metrics.shared().admission_returns.add(1, {"outcome": "expired"})
            raise GradepointError("deadline_exceeded", outcome=Outcome.NOT_RUN)
        if verdict is Verdict.SEND:
            fits = begins_by(drawn_delay_s, now, self.terms.goal_at)
            if not self.known:
                usable = [target for target in candidates if target.id in delays]
                return self._admit(gate.choose_in_turn(usable) or drawn)
            if fits and (ample or self.terms.late):
                return self._admit(drawn)
        limit = self.terms.goal_at if verdict is Verdict.SEND else float("-inf")

        def accept(target: Target) -> bool:
            delay_s = delays.get(target.id, float("inf"))
            return delay_s <= least_delay_s or begins_by(delay_s, now, limit)

        return self._admit(call.choose(accept) or drawn)

    def _ask_for_share(self) -> None:
        """Find out once whether the share of the call's organisation allows the call."""
        organisation, terms = self.call.organisation, self.terms
        if self.allowed is None and organisation is not None:
            exempt = terms.returning or terms.late
            self.allowed = exempt or self.gate.allows(organisation.number)

    def _decide(
        self,
        least_delay_s: float,
        load: ServiceLoad,
        now: float,
        *,
        shortage: bool,
        in_turn: bool = True,
    ) -> Verdict:
        gate = self.gate
        may_admit = self.known or gate.recovery.may_admit(
            load.own_calls, round(load.capacity), load.hosts
        )
        occupancy = load.occupancy
        if self.terms.late and now < self.terms.goal_at:
            # By then, digests include the calls that came to all hosts together with this one.
            occupancy = max(occupancy, load.own_occupancy)
        view = LoadView(
            least_delay_s,
            occupancy,
            load.call_s,
            self.known,
            may_admit,
            shortage,
            self.allowed is not False,
            in_turn,
        )
        return decide(self.terms, view, now)

    def _admit(self, target: Target) -> Target:
        if self.terms.returning:
            metrics.shared().admission_returns.add(1, {"outcome": "sent"})
            emit(
                events.CALL_RETURNED,
                request=self.call.head.request_id,
                key=format_key(self.key),
                target=target.id,
                delay_ms=round(self.gate.find_delay_to_begin(target) * MILLISECONDS),
            )
        return target

    def _refuse(self, least_delay_s: float, load: ServiceLoad, now: float) -> GradepointError:
        """Record a refusal, and return its error with the time to return."""
        gate, call = self.gate, self.call
        reason = (
            "unknown_occupancy" if not self.known else "share" if self.allowed is False else "room"
        )
        return_s = self._allocate_return(load, now)
        age_s = gate.loads.age_s()
        gate.memory.add_own(self.key & NUMBER_MASK, now)
        metrics.shared().admission_refusals.add(1, {"reason": reason})
        emit(
            events.NO_ROOM,
            request=call.head.request_id,
            key=format_key(self.key),
            route=call.route.name,
            service=call.service,
            reason=reason,
            delay_ms=round(least_delay_s * MILLISECONDS),
            goal_left_ms=round((self.terms.goal_at - now) * MILLISECONDS),
            waited_ms=round((now - call.arrived_at) * MILLISECONDS),
            room=round(max(0.0, load.capacity - load.calls), 1),
            occupancy=round(load.occupancy, 2),
            age_ms=round(age_s * MILLISECONDS) if age_s < float("inf") else None,
            call_ms=round(load.call_s * MILLISECONDS),
            organisation=call.organisation.name if call.organisation else None,
            rank=self.terms.rank,
            return_ms=round(return_s * MILLISECONDS),
        )
        gate.on_refused()
        return GradepointError("no_room", retry_after=round(return_s, 3))

    def _allocate_return(self, load: ServiceLoad, now: float) -> float:
        """Return the seconds after which the refused call should come back."""
        gate, service = self.gate, self.call.service
        latest_s = find_latest_return(self.terms.deadline - now)
        if not self.known:
            return min(gate.recovery.retry_after_s(), latest_s)
        trend = gate.trends.setdefault(service, LoadTrend())
        trend.add(now, load.calls)
        earliest_s = estimate_earliest_return(
            max(0.0, -load.room),
            trend.find_growth(),
            gate.memory.count_since(now - TREND_S) / TREND_S,
        )
        completions_per_s = load.completions_per_s
        gap_s = load.hosts / completions_per_s if completions_per_s > 0 else 0.0
        schedule = gate.schedules.setdefault(service, ReturnSchedule())
        return schedule.allocate(now, earliest_s, latest_s, gap_s, gate.rng)


def begin_admission(gate: AdmissionGate, call: LiveCall) -> PendingCall:
    """Return the state of a call for which a decision has to be made."""
    now = monotonic()
    key = call.request.key
    returning = gate.memory.take_return(key & NUMBER_MASK, now)
    organisation = call.organisation
    deferred = returning and organisation is not None and gate.is_limited(organisation.number)
    terms = make_terms(
        call.arrived_at,
        call.route.goal_s,
        call.route.timeout_s,
        call.deadline - call.arrived_at,
        returning=returning,
        deferred=deferred,
        rank=gate.find_rank(organisation, call.route),
    )
    return PendingCall(gate, call, terms, key)
