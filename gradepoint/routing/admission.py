"""Decides whether a call is sent, waits briefly, or is refused and when it should return.

The functions are pure: times are arguments, and random numbers come from a generator that is
passed in. The requirements and figures are in docs/design/load.md, section Admission.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import Enum
from typing import TYPE_CHECKING

from ..util.structs import Struct, field
from .fair_shares import compute_rank_room

if TYPE_CHECKING:
    import random

FIRST_EVENT_S = 0.06
"""Seconds from the start of a call on a slot to its first event, with the transmission both ways. A
call is in time only if this still fits into its goal."""
MIN_GOAL_S = 0.2
"""Seconds to a first event that are always allowed: those of a call for which an item is preempted
(0.1 s), :data:`FIRST_EVENT_S`, and a margin. Calls of a route with a shorter goal cannot meet it
however much room there is, so a refusal would gain them nothing."""
WAIT_SHARE = 0.2
"""Share of the goal for which a call may wait for room. A refusal is of use to the caller only
within a quarter of the goal; the rest of the quarter is left for reading the call and for the
refusal itself."""
LATE_WAIT_SHARE = 0.5
"""Share of the remaining time for which a late call may wait. The other half is left to run it."""
LATE_OCCUPANCY = 0.85
"""Occupancy from which late calls wait. Below it, a target without a free slot is rarely drawn, so
that a late call displaces no call that can be in time."""
SHORTAGE_S = 1.0
"""Seconds after a refusal for lack of room in which the shortage counts as present. Callers return
after at least 0.3 s, so shorter gaps between refusals occur within one shortage. It is also more
than the time of a call, so that the demands of organisations are measured over whole calls."""
MIN_RETURN_S = 0.3
"""Minimum ``Retry-After`` in seconds: within it, all hosts get the number of the refused request
and recognise it."""
HONOURED_SHARE = 1 / 3
"""Share of the caller's remaining time up to which it honours ``Retry-After``."""
RETURN_MARGIN = 0.95
"""Share of the longest honoured time that is used, since the caller's time passes on the way."""
REPORTED_S = 0.3
"""Seconds for which the numbers of refused requests are sent to other hosts; the shortest time
after which a caller returns."""
REMEMBERED_S = 3.0
"""Seconds for which a refused request is remembered; more than the longest ``Retry-After`` of a
caller that has 5 s."""
MAX_REMEMBERED = 4096
"""Maximum number of remembered requests, about 400 kB; refusals of some 1,300 calls per second."""
MAX_REPORTED = 32
"""Maximum number of refused requests in a host's report, so that a report stays one datagram."""
MAX_SUMMED = 128
"""Maximum number of refused requests in a digest, so that a digest stays one datagram."""
QUEUE_SHARE = 0.5
"""Share of the calls that could wait in targets for a slot within the goal that count as room while
hosts pace their calls. The other half covers calls that hosts send to the same target before they
learn of each other's. With a third of the targets of deployment A gone, all of it makes 18.7 late
calls per 100, half of it 13.4; none of it makes 9.5, but refuses 19.3 instead of 12.7, and 5.8
instead of 1.0 with a fifth of the targets of B gone (``python -m bench.load_replay``)."""
PACING_GAIN = 0.5
"""Share of the free room that all hosts together use in the time in which they learn of each
other's calls. With less than 1, room that hosts see is not used twice."""
TREND_S = 0.3
"""Seconds over which the change of the calls in flight is measured. Shorter periods show the
reporting interval of single hosts; longer ones miss the end of a peak."""
MIN_TREND_S = 0.05
"""Minimum seconds between two samples that are compared: about one digest interval."""


class Verdict(Enum):
    """What to do with a call.

    ``SEND``: send it as usual, to a target that can begin it in time if there is one.
    ``SEND_LEAST``: send it to the target with the least expected delay. ``WAIT``: decide again when
    occupancy changes. ``REFUSE``: refuse it with a return time. ``EXPIRE``: no target can begin it
    before its deadline.
    """

    SEND = "send"
    SEND_LEAST = "send-least"
    WAIT = "wait"
    REFUSE = "refuse"
    EXPIRE = "expire"


class CallTerms(Struct, frozen=True):
    """What is known of a call on its arrival; times are monotonic seconds.

    :param goal_at: time by which its first event is in time; at least :data:`MIN_GOAL_S` after its
        arrival.
    :param deadline: time by which its answer has to be complete.
    :param wait_until: time until which it may wait for room.
    :param late: it waits behind the calls that can be in time: an earlier attempt used up its goal,
        or it is a returning call of an organisation above its fair share.
    :param returning: its request was refused for lack of room just before.
    :param rank: 0 is the most urgent.
    """

    goal_at: float
    deadline: float
    wait_until: float
    late: bool = False
    returning: bool = False
    rank: int = 0


class LoadView(Struct, frozen=True):
    """What a host knows of the targets of a service when it decides about a call.

    :param least_delay_s: least expected delay of a new call at any candidate.
    :param occupancy: calls in flight / (slots x pace) over all candidates.
    :param call_s: mean seconds that a call occupies a slot.
    :param known: the occupancy is recent and covers enough hosts.
    :param may_admit: the host may send a further call while occupancy is unknown.
    :param shortage: a host refused a call for lack of room lately.
    :param allowed: the share of the call's organisation allows it.
    :param in_turn: the host may use room now that other hosts may be using at the same time.
    """

    least_delay_s: float
    occupancy: float
    call_s: float
    known: bool = True
    may_admit: bool = True
    shortage: bool = False
    allowed: bool = True
    in_turn: bool = True


class ServiceLoad(Struct, frozen=True):
    """Load of all targets of a service, as one host knows it.

    Where targets are full, all hosts see the same few free slots and would all use them. Then each
    host paces its calls: together they send as many as end, and a part of the free room.

    :param calls: calls in flight of all hosts.
    :param capacity: slots x pace of all targets.
    :param own_calls: calls in flight of this host.
    :param hosts: number of hosts.
    :param call_s: mean seconds that a call occupies a slot.
    :param delay_s: seconds until hosts know of each other's calls.
    :param goal_s: seconds from a call's arrival to its first event.
    """

    calls: float
    capacity: float
    own_calls: int
    hosts: int
    call_s: float
    delay_s: float
    goal_s: float

    @property
    def room(self) -> float:
        """Calls that targets can begin in time beside those in flight; negative if there are too
        many."""
        queue_s = QUEUE_SHARE * max(0.0, self.goal_s - FIRST_EVENT_S)
        return self.capacity * (1.0 + queue_s / self.call_s) - self.calls

    @property
    def occupancy(self) -> float:
        """Calls in flight per slot of usual pace; 0 if the slots are unknown."""
        return self.calls / self.capacity if self.capacity else 0.0

    @property
    def completions_per_s(self) -> float:
        """Calls of all hosts that end per second."""
        return min(self.calls, self.capacity) / self.call_s

    @property
    def own_share(self) -> float:
        """This host's share of the calls of all hosts; at least an equal part."""
        return min(1.0, max(1.0 / self.hosts, self.own_calls / max(1.0, self.calls)))

    @property
    def has_ample_room(self) -> bool:
        """Whether the room exceeds the calls that other hosts may have sent meanwhile."""
        unseen = self.completions_per_s * self.delay_s * (1.0 - self.own_share)
        return unseen <= 0.0 or self.room >= unseen

    @property
    def paced_calls_per_s(self) -> float:
        """Calls per second that this host may send while there is no ample room."""
        change = PACING_GAIN * self.room / self.delay_s
        return self.own_share * max(0.0, self.completions_per_s + change)

    @property
    def own_occupancy(self) -> float:
        """Occupancy if every host had as many calls in flight as this one.

        After an outage, callers come back to all hosts at once, before these learn of each other's
        calls.
        """
        return self.own_calls * self.hosts / self.capacity if self.capacity else 0.0


class Pacing(Struct):
    """Calls that a host may send while there is no ample room.

    :ivar calls: calls that it may send at once.
    :ivar at: monotonic time of the last change.
    """

    calls: float = 1.0
    at: float = float("-inf")

    def take(self, load: ServiceLoad, now: float) -> bool:
        """Take the turn of one call; return False if it is too early for it."""
        rate = load.paced_calls_per_s
        most = max(1.0, rate * load.delay_s)
        self.calls = min(most, self.calls + rate * max(0.0, now - self.at))
        self.at = now
        if self.calls < 1.0:
            return False
        self.calls -= 1.0
        return True


def is_late(goal_s: float, timeout_s: float, remaining_s: float) -> bool:
    """Return whether an earlier attempt of a call has used up its goal.

    :param goal_s: the route's latency goal.
    :param timeout_s: the route's timeout, which a caller has for all attempts together.
    :param remaining_s: seconds until the caller's deadline, on the call's arrival.
    """
    return remaining_s < timeout_s - goal_s


def make_terms(
    now: float,
    goal_s: float,
    timeout_s: float,
    remaining_s: float,
    *,
    returning: bool = False,
    deferred: bool = False,
    rank: int = 0,
) -> CallTerms:
    """Return the terms of a call that arrives at *now*.

    :param goal_s: the route's latency goal.
    :param timeout_s: the route's timeout, which a caller has for all attempts together.
    :param remaining_s: seconds until the caller's deadline.
    :param returning: its request was refused for lack of room just before.
    :param deferred: it is a returning call that waits behind all others, since its organisation is
        above its fair share. While demand exceeds the room, such calls fill all slots otherwise.
    """
    late = deferred or (is_late(goal_s, timeout_s, remaining_s) and not returning)
    wait_s = LATE_WAIT_SHARE * remaining_s if late else min(WAIT_SHARE * goal_s, remaining_s)
    return CallTerms(
        goal_at=now + max(goal_s, MIN_GOAL_S),
        deadline=now + remaining_s,
        wait_until=now + max(0.0, wait_s),
        late=late,
        returning=returning,
        rank=0 if returning else rank,
    )


def begins_by(delay_s: float, now: float, limit: float) -> bool:
    """Return whether a call's first event comes by *limit* from a target with this expected
    delay."""
    return now + delay_s + FIRST_EVENT_S <= limit


def find_occupancy_limit(rank: int, goal_left_s: float, call_s: float) -> float:
    """Return the occupancy up to which a call of *rank* may be sent in a shortage.

    The room is what can begin within the goal: the slots, and the calls that wait in targets for
    less than *goal_left_s*.
    """
    queued = max(0.0, goal_left_s - FIRST_EVENT_S) / call_s if call_s > 0 else 0.0
    return compute_rank_room(1.0 + queued, rank)


def decide(terms: CallTerms, view: LoadView, now: float) -> Verdict:
    """Decide about a call that has not been sent yet."""
    if not view.known:
        return _decide_blind(terms, view, now)
    # A free slot cannot be improved on by waiting, nor by returning when the goal has passed.
    in_time = view.least_delay_s <= 0.0 or begins_by(view.least_delay_s, now, terms.goal_at)
    if terms.late:
        if view.occupancy < LATE_OCCUPANCY:
            return Verdict.SEND if in_time else Verdict.SEND_LEAST
        return Verdict.WAIT if now < terms.wait_until else Verdict.SEND_LEAST
    if terms.returning:
        if in_time:
            return Verdict.SEND
        in_deadline = begins_by(view.least_delay_s, now, terms.deadline)
        return Verdict.SEND_LEAST if in_deadline else Verdict.EXPIRE
    if not view.allowed:
        return Verdict.REFUSE
    if in_time and view.in_turn and not _exceeds_rank(terms, view, now):
        return Verdict.SEND
    if now >= terms.wait_until or _is_hopeless(terms, view, now):
        return Verdict.REFUSE
    return Verdict.WAIT


def _decide_blind(terms: CallTerms, view: LoadView, now: float) -> Verdict:
    """Decide while occupancy is unknown, by the host's own calls in flight alone."""
    # After an outage of all hosts, the calls of the outage come together with fresh ones, which
    # alone can be in time. Hosts that start together hear each other within 0.3 s, about a goal.
    if terms.late and now < min(terms.goal_at, terms.wait_until):
        return Verdict.WAIT
    if view.may_admit or terms.returning:
        return Verdict.SEND
    if terms.late:
        return Verdict.WAIT if now < terms.wait_until else Verdict.SEND_LEAST
    return Verdict.REFUSE


def _exceeds_rank(terms: CallTerms, view: LoadView, now: float) -> bool:
    if not view.shortage or terms.rank <= 0:
        return False
    return view.occupancy >= find_occupancy_limit(terms.rank, terms.goal_at - now, view.call_s)


def _is_hopeless(terms: CallTerms, view: LoadView, now: float) -> bool:
    """Return whether waiting does not help.

    While a call waits, its goal comes nearer and the expected delay falls by about the same time.
    The first completion among several targets may come sooner than expected, but not by more than
    the time of the wait.
    """
    missing_s = now + view.least_delay_s + FIRST_EVENT_S - terms.goal_at
    return missing_s > terms.wait_until - now


class LoadTrend(Struct):
    """Change of the calls in flight of a service, from samples taken when calls find no room.

    :ivar samples: times and calls in flight, the oldest first.
    """

    samples: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, in_flight: float) -> None:
        """Add a sample."""
        if self.samples and now - self.samples[-1][0] < MIN_TREND_S:
            return
        self.samples.append((now, in_flight))
        while now - self.samples[0][0] > TREND_S:
            self.samples.popleft()

    def find_growth(self) -> float | None:
        """Return the growth in calls per second; None if it is unknown."""
        if len(self.samples) < 2:
            return None
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        return (last - first) / (last_at - first_at)


def estimate_earliest_return(excess: float, growth: float | None, refused_per_s: float) -> float:
    """Return the seconds until the excess is expected to be gone; infinite if this is unknown.

    Completions minus arrivals are the calls per second by which the number in flight shrinks, less
    those refused, which arrived as well.

    :param excess: calls in flight beyond what can be begun in time.
    :param growth: growth of the calls in flight per second; None if unknown.
    :param refused_per_s: calls per second that all hosts refuse.
    """
    if growth is None:
        return float("inf")
    surplus_per_s = -growth - refused_per_s
    if surplus_per_s <= 0:
        return float("inf")
    return max(MIN_RETURN_S, excess / surplus_per_s)


def find_latest_return(remaining_s: float) -> float:
    """Return the longest ``Retry-After`` in seconds that a caller honours."""
    return RETURN_MARGIN * HONOURED_SHARE * max(0.0, remaining_s)


class ReturnSchedule(Struct):
    """Return times that one host has given to refused calls.

    :ivar next_at: earliest monotonic time of the next return.
    """

    next_at: float = float("-inf")

    def allocate(
        self, now: float, earliest_s: float, latest_s: float, gap_s: float, rng: random.Random
    ) -> float:
        """Return the seconds after which a refused call should return, and reserve that time.

        :param earliest_s: seconds until room is expected; infinite if unknown.
        :param latest_s: longest time that the caller honours.
        :param gap_s: minimum seconds between two returns to all hosts from this host.
        """
        if earliest_s >= latest_s:
            return latest_s
        at = max(self.next_at, now + earliest_s)
        if at > now + latest_s:
            # The schedule is full; a random start keeps the hosts' schedules apart.
            at = now + rng.uniform((earliest_s + latest_s) / 2, latest_s)
        self.next_at = at + gap_s
        return at - now


class RefusedRequest(Struct):
    """A request that was refused for lack of room.

    :ivar at: monotonic time at which this host refused it or learned of it.
    :ivar own: this host refused it.
    :ivar returned: a call of this request has been admitted as its return.
    """

    at: float
    own: bool
    returned: bool = False


class RefusedMemory(Struct):
    """Recently refused requests of all hosts, by the number that hosts send each other.

    :ivar requests: the requests in order of :attr:`RefusedRequest.at`.
    """

    requests: OrderedDict[int, RefusedRequest] = field(default_factory=OrderedDict)

    def add_own(self, number: int, now: float) -> None:
        """Record a refusal by this host."""
        self._put(number, RefusedRequest(now, own=True), now)

    def add_remote(self, number: int, now: float) -> None:
        """Record a refusal by another host; one that is known keeps its time."""
        if number not in self.requests:
            self._put(number, RefusedRequest(now, own=False), now)

    def take_return(self, number: int, now: float) -> bool:
        """Return whether a call is the return of a refused request.

        One refusal counts for one return, so that many calls with one body gain nothing by a
        refusal of one of them.
        """
        known = self.requests.get(number)
        if known is None or known.returned or now - known.at > REMEMBERED_S:
            return False
        known.returned = True
        return True

    def list_reported(self, now: float) -> list[int]:
        """Return the numbers of this host's own recent refusals, the newest first."""
        found: list[int] = []
        for number, known in reversed(self.requests.items()):
            if now - known.at > REPORTED_S or len(found) == MAX_REPORTED:
                break
            if known.own:
                found.append(number)
        return found

    def count_since(self, since: float) -> int:
        """Return the number of refusals of all hosts since *since*."""
        count = 0
        for known in reversed(self.requests.values()):
            if known.at < since:
                break
            count += 1
        return count

    def is_shortage(self, now: float) -> bool:
        """Whether any host refused a call for lack of room lately."""
        if not self.requests:
            return False
        return now - next(reversed(self.requests.values())).at <= SHORTAGE_S

    def forget(self, now: float) -> None:
        """Drop what is too old or too much."""
        while self.requests:
            oldest = next(iter(self.requests.values()))
            if now - oldest.at <= REMEMBERED_S and len(self.requests) <= MAX_REMEMBERED:
                return
            self.requests.popitem(last=False)

    def _put(self, number: int, known: RefusedRequest, now: float) -> None:
        self.requests[number] = known
        self.requests.move_to_end(number)
        self.forget(now)


class RefusedNumbers(Struct):
    """Numbers of refused requests that an aggregator got from all hosts.

    :ivar heard_at: monotonic time at which each number was first heard, in this order.
    """

    heard_at: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def take(self, numbers: list[int], now: float) -> None:
        """Add the numbers of a host's report, which repeats them for a while."""
        for number in numbers:
            if now - self.heard_at.get(number, float("-inf")) > REMEMBERED_S:
                self.heard_at[number] = now
                self.heard_at.move_to_end(number)
        while self.heard_at:
            oldest = next(iter(self.heard_at.values()))
            if now - oldest <= REMEMBERED_S and len(self.heard_at) <= MAX_REMEMBERED:
                return
            self.heard_at.popitem(last=False)

    def list_summed(self, now: float) -> list[int]:
        """Return the recent numbers for a digest, the newest first."""
        found: list[int] = []
        for number, at in reversed(self.heard_at.items()):
            if now - at > REPORTED_S or len(found) == MAX_SUMMED:
                break
            found.append(number)
        return found
