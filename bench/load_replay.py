"""Compares ways of admission when targets are missing: ``python -m bench.load_replay``.

Uses the fleet of :mod:`bench.crest_replay` and gradepoint's own decisions. Callers have 5 s, come
back once after a refusal at the time they are given, and reach another host. Each row is one way:
per 100 calls, those in time at the first attempt, in time after a refusal, late, refused, refused
twice and failed, and the mean worth of a call (docs/design/load.md, Requirements).
"""

from __future__ import annotations

import argparse
import heapq
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from statistics import mean

import msgspec

from gradepoint.routing.admission import (
    SHORTAGE_S,
    TREND_S,
    CallTerms,
    LoadTrend,
    LoadView,
    Pacing,
    ReturnSchedule,
    ServiceLoad,
    Verdict,
    begins_by,
    decide,
    estimate_earliest_return,
    find_latest_return,
    make_terms,
)
from gradepoint.routing.target_model import estimate_delay_s

from .crest_replay import (
    CALL_S,
    COMPETING,
    FIRST_TOKEN_S,
    UNEVEN,
    Fleet,
    Shape,
    Work,
    make_model,
)

GOAL_S = 0.3
"""Seconds from the arrival of an attempt to its first event."""
TIMEOUT_S = 5.0
"""Seconds that a caller has for all attempts together."""
RECOGNISED_S = 0.12
"""Seconds until all hosts know of a refusal: a report and a digest."""
RETRY_DECISION_S = 0.025
"""Seconds after which a waiting call decides again; about half of a digest interval, as changes of
single targets arrive at any time."""
MAX_HOLD_S = 2.5
"""Seconds for which calls wait at a host in the way without refusals."""
LATE_WORTH = 1 / 7
RETURNED_WORTH = (1 + LATE_WORTH) / 2
LATEST_DISPATCH_S = 1.9
"""Seconds after its arrival until which the all-knowing scheduler can serve a refused call in time:
the longest honoured return time and the goal."""
EARLIEST_DISPATCH_S = 0.3
"""Seconds after its arrival from which it can serve a refused call."""
OUTAGE_RETURN_S = 0.1
"""Seconds within which the callers of an outage come back after it."""


class Way(Enum):
    """Way of admission.

    ``OFF``: every call is sent at once. ``ON``: gradepoint's admission. ``HOLD``: calls wait at
    their hosts until a slot is free; none is refused. ``ALL_KNOWING``: one scheduler that knows the
    state of all targets at once.
    """

    OFF = "off"
    ON = "on"
    HOLD = "hold"
    ALL_KNOWING = "all-knowing"


@dataclass(frozen=True)
class Scenario:
    """A deployment and what fails.

    :param outage: first and last second in which all hosts are down; None for none.
    """

    shape: Shape
    outage: tuple[float, float] | None = None


def lose(shape: Shape, share: float) -> Shape:
    """Return a deployment without a share of its targets, for 36 s (six waves)."""
    return replace(shape, lost_share=share, length_s=36.0)


SCENARIOS = {
    "A": Scenario(lose(UNEVEN, 0.0)),
    "A, a sixth gone": Scenario(lose(UNEVEN, 1 / 6)),
    "A, a fifth gone": Scenario(lose(UNEVEN, 1 / 5)),
    # The outage ends 0.7 s after the start of a peak.
    "A, after an outage": Scenario(lose(UNEVEN, 0.0), (21.3, 22.3)),
    "A, a third gone": Scenario(lose(UNEVEN, 1 / 3)),
    "B": Scenario(lose(COMPETING, 0.0)),
    "B, a sixth gone": Scenario(lose(COMPETING, 1 / 6)),
    "B, a fifth gone": Scenario(lose(COMPETING, 1 / 5)),
    "B, a third gone": Scenario(lose(COMPETING, 1 / 3)),
    "B, after an outage": Scenario(lose(COMPETING, 0.0), (21.3, 22.3)),
}


@dataclass(eq=False)
class Call(Work):
    """A call with all its attempts.

    :ivar first_at: time of its first attempt; :attr:`arrived` is that of the current one.
    :ivar attempts: attempts that reached a host.
    :ivar refused_by: host that refused it.
    """

    first_at: float = 0.0
    attempts: int = 0
    refused_by: int = -1
    refused_at: float = float("-inf")
    terms: CallTerms | None = None

    @property
    def deadline(self) -> float:
        """Time by which its caller gives up."""
        return self.first_at + TIMEOUT_S


@dataclass
class Tally:
    """Numbers of calls by their outcome."""

    calls: int = 0
    in_time: int = 0
    returned: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    failed: int = 0

    @property
    def worth(self) -> float:
        """Mean worth of a call; 1 is a call in time at its first attempt."""
        total = self.in_time + RETURNED_WORTH * self.returned + LATE_WORTH * self.late
        return total / max(1, self.calls)


@dataclass
class HostState:
    """What one host keeps for admission."""

    schedule: ReturnSchedule = field(default_factory=ReturnSchedule)
    pacing: Pacing = field(default_factory=Pacing)
    trend: LoadTrend = field(default_factory=LoadTrend)


class LoadFleet(Fleet):
    """A fleet whose hosts admit calls in one of the ways.

    :ivar whole: outcomes of all calls.
    :ivar after: outcomes of the calls that first arrived in the second after the outage.
    :ivar during: outcomes of the calls that first arrived during the outage.
    """

    def __init__(self, scenario: Scenario, way: Way, seed: int) -> None:
        super().__init__(scenario.shape, make_model(), seed)
        self.way, self.outage = way, scenario.outage
        self.whole, self.after, self.during = Tally(), Tally(), Tally()
        self.host_states = [HostState() for _ in range(scenario.shape.hosts)]
        self.refusals: deque[float] = deque()
        self.queue: deque[Call] = deque()
        self.missed: deque[Call] = deque()
        self.waiting: set[Call] = set()
        if self.outage:
            self.schedule(self.outage[0], "outage", Work(0, 0.0, False, 0.0))

    def schedule(self, at: float, kind: str, work: Work) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.numbers), kind, work))

    def tallies(self, call: Call) -> list[Tally]:
        """Return the tallies that a call belongs to."""
        found = [self.whole]
        if self.outage and self.outage[0] <= call.first_at < self.outage[1]:
            found.append(self.during)
        elif self.outage and self.outage[1] <= call.first_at < self.outage[1] + 1.0:
            found.append(self.after)
        return found

    def count(self, call: Call, outcome: str) -> None:
        """Count an outcome of a call."""
        for tally in self.tallies(call):
            setattr(tally, outcome, getattr(tally, outcome) + 1)

    def call(self, now: float, host: int) -> None:
        """Let a new call arrive; during an outage its caller comes back afterwards."""
        call = Call(host, CALL_S * self.arrivals.uniform(0.6, 1.4), False, now, first_at=now)
        self.count(call, "calls")
        if self.outage and self.outage[0] <= now < self.outage[1]:
            call.attempts = 1
            back = self.outage[1] + self.rng.uniform(0.0, OUTAGE_RETURN_S)
            self.schedule(back, "return", call)
            return
        self.attempt(now, call)

    def handle(self, now: float, kind: str, call: Work) -> None:
        """Handle an event of admission."""
        if kind == "outage":
            self.lose_calls(now)
        elif isinstance(call, Call) and kind == "return":
            call.host = self.rng.randrange(self.shape.hosts)
            self.attempt(now, call)
        elif isinstance(call, Call) and call in self.waiting:
            self.decide(now, call)

    def lose_calls(self, now: float) -> None:
        """End all calls, whose hosts lost power."""
        for index, target in enumerate(self.targets):
            for work in [
                row for row in (*target.waiting, *target.running) if isinstance(row, Call)
            ]:
                if work.started is None:
                    target.waiting.remove(work)
                    self.count(work, "failed")
                else:
                    target.running.remove(work)
                self.record_change(now, work, -1)
            self.fill(now, index)
        for call in (*self.waiting, *self.queue, *self.missed):
            self.count(call, "failed")
        self.waiting.clear()
        self.queue.clear()
        self.missed.clear()

    def attempt(self, now: float, call: Call) -> None:
        """Let an attempt of a call arrive at its host."""
        call.arrived = now
        call.attempts += 1
        known = now - call.refused_at >= RECOGNISED_S or call.host == call.refused_by
        returning = call.refused_by >= 0 and known
        call.terms = make_terms(now, GOAL_S, TIMEOUT_S, call.deadline - now, returning=returning)
        if self.way is Way.ALL_KNOWING:
            self.queue.append(call)
            self.dispatch(now)
        elif self.way is Way.OFF:
            call.target = self.draw(call.host)
            self.send(now, call)
        else:
            self.decide(now, call)

    def draw(self, host: int) -> int:
        """Return the target that gradepoint's target model takes of two."""
        assert self.strategy.compare is not None
        return self.choose_sampled(host, self.strategy.compare)

    def delay(self, host: int, index: int) -> float:
        """Return the expected delay of a new call at a target, as its host knows it."""
        return estimate_delay_s(self.see(host, index), CALL_S)

    def sum_up(self, host: int) -> ServiceLoad:
        """Return the load of all targets as a host knows it."""
        loads = [self.see(host, index) for index in range(len(self.targets))]
        return ServiceLoad(
            calls=sum(load.calls for load in loads),
            capacity=sum(load.slots * load.pace for load in loads),
            own_calls=sum(self.own_in_flight[host]) - sum(self.own_items[host]),
            hosts=self.shape.hosts,
            call_s=CALL_S,
            delay_s=self.shape.delay_s,
            goal_s=GOAL_S,
        )

    def decide(self, now: float, call: Call) -> None:
        """Send a call, let it wait or refuse it."""
        assert call.terms is not None
        terms, host = call.terms, call.host
        self.waiting.discard(call)
        drawn = self.draw(host)
        if self.way is Way.HOLD:
            if self.delay(host, drawn) > 0 and now < call.arrived + MAX_HOLD_S:
                free = [i for i in range(len(self.targets)) if self.delay(host, i) <= 0]
                if not free:
                    self.wait(now, call, call.arrived + MAX_HOLD_S)
                    return
                drawn = self.rng.choice(free)
            call.target = drawn
            self.send(now, call)
            return
        shortage = bool(self.refusals) and now - self.refusals[-1] <= SHORTAGE_S
        drawn_delay = self.delay(host, drawn)
        if drawn_delay <= 0.0 and not (shortage or terms.late):
            call.target = drawn
            self.send(now, call)
            return
        delays = [self.delay(host, index) for index in range(len(self.targets))]
        least = min(delays)
        load = self.sum_up(host)
        occupancy = load.calls / load.capacity
        if terms.late and now < terms.goal_at:
            occupancy = max(occupancy, load.own_occupancy)
        view = LoadView(least, occupancy, CALL_S, shortage=shortage)
        verdict = decide(terms, view, now)
        if verdict is Verdict.SEND and not (load.has_ample_room or terms.returning or terms.late):
            if not self.host_states[host].pacing.take(load, now):
                verdict = decide(terms, msgspec.structs.replace(view, in_turn=False), now)
        if verdict is Verdict.WAIT:
            self.wait(now, call, terms.wait_until)
        elif verdict is Verdict.REFUSE:
            self.refuse(now, call, load)
        elif verdict is Verdict.EXPIRE:
            self.count(call, "failed")
        else:
            fits = begins_by(drawn_delay, now, terms.goal_at)
            if verdict is not Verdict.SEND or not fits or not (load.has_ample_room or terms.late):
                limit = terms.goal_at if verdict is Verdict.SEND else float("-inf")
                weights = [
                    weight * pace if delay <= least or begins_by(delay, now, limit) else 0.0
                    for weight, pace, delay in zip(
                        self.weigh_locations(host), self.paces, delays, strict=True
                    )
                ]
                pair = self.rng.choices(range(len(delays)), weights, k=2)
                drawn = min(pair, key=lambda index: delays[index])
            call.target = drawn
            self.send(now, call)

    def wait(self, now: float, call: Call, until: float) -> None:
        """Let a call decide again, at *until* at the latest."""
        self.waiting.add(call)
        self.schedule(min(now + RETRY_DECISION_S, until), "wake", call)

    def refuse(self, now: float, call: Call, load: ServiceLoad) -> None:
        """Refuse a call; its caller comes back if it has not before."""
        self.count(call, "refused")
        if call.refused_by >= 0:
            self.count(call, "refused_twice")
        if call.attempts >= 2:
            self.count(call, "failed")
            return
        known = now - RECOGNISED_S
        self.refusals.append(now)
        while now - self.refusals[0] > TREND_S + RECOGNISED_S:
            self.refusals.popleft()
        refused_per_s = sum(1 for at in self.refusals if at <= known) / TREND_S
        state = self.host_states[call.host]
        state.trend.add(now, load.calls)
        growth = state.trend.find_growth()
        earliest = estimate_earliest_return(max(0.0, -load.room), growth, refused_per_s)
        latest = find_latest_return(call.deadline - now)
        gap = self.shape.hosts / load.completions_per_s
        call.refused_by, call.refused_at = call.host, now
        return_s = state.schedule.allocate(now, earliest, latest, gap, self.rng)
        self.schedule(now + return_s, "return", call)

    def dispatch(self, now: float) -> None:
        """Start calls as the all-knowing scheduler does, while there is room."""
        while self.queue and now + FIRST_TOKEN_S > self.queue[0].arrived + GOAL_S:
            self.missed.append(self.queue.popleft())
        while self.queue or (self.missed and now > self.missed[0].first_at + EARLIEST_DISPATCH_S):
            index = self.find_room(now)
            if index is None:
                return
            if self.queue:
                call = self.queue.popleft()
            else:
                call = self.missed.popleft()
                if now <= call.first_at + LATEST_DISPATCH_S:
                    call.refused_by, call.arrived = call.host, now
                    self.count(call, "refused")
            call.target = index
            self.send(now, call)

    def find_room(self, now: float) -> int | None:
        """Return the fastest target with a free slot, or that runs an item, which is preempted."""
        free = [
            index
            for index, target in enumerate(self.targets)
            if len(target.running) + len(target.waiting) < self.shape.slots
        ]
        if free:
            return max(free, key=lambda index: self.find_rate(index, now)[0])
        for index, target in enumerate(self.targets):
            items = [work for work in (*target.waiting, *target.running) if work.is_item]
            if items:
                self.preempt(now, items[0])
                return index
        return None

    def fill(self, now: float, index: int) -> None:
        """Start waiting work at a target while it has free slots."""
        target = self.targets[index]
        while target.waiting and len(target.running) < self.shape.slots:
            work = target.waiting.popleft()
            work.started = now
            work.run_number = next(self.numbers)
            target.running.append(work)
            if isinstance(work, Call):
                self.count_start(self.find_end(index, now, FIRST_TOKEN_S), work)
            end = self.find_end(index, now, work.remaining_s)
            heapq.heappush(self.events, (end, work.run_number, "end", work))

    def count_start(self, first_event_at: float, call: Call) -> None:
        """Count the outcome of a call whose first event comes at *first_event_at*."""
        after_refusal = call.refused_by >= 0
        since = call.arrived if after_refusal else call.first_at
        if first_event_at > call.deadline:
            self.count(call, "failed")
        elif first_event_at - since > GOAL_S:
            self.count(call, "late")
        else:
            self.count(call, "returned" if after_refusal else "in_time")

    def end(self, now: float, work: Work, run_number: int) -> None:
        """End a run, unless it was preempted before."""
        super().end(now, work, run_number)
        if self.way is Way.ALL_KNOWING:
            self.dispatch(now)


def replay(scenario: Scenario, way: Way, seed: int) -> LoadFleet:
    """Replay a load with one way of admission."""
    fleet = LoadFleet(scenario, way, seed)
    fleet.run()
    return fleet


def format_row(title: str, tallies: list[Tally]) -> str:
    """Return a row of the mean over all seeds, per 100 calls."""
    shares = [
        mean(100 * getattr(tally, name) / max(1, tally.calls) for tally in tallies)
        for name in ("in_time", "returned", "late", "refused", "refused_twice", "failed")
    ]
    worth = [tally.worth for tally in tallies]
    cells = " | ".join(f"{share:.1f}" for share in shares)
    return f"| {title} | {cells} | {mean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f}) |"


def main() -> None:
    """Print a row for each scenario and way."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--way", choices=[way.value for way in Way], action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    arguments = parser.parse_args()
    for name in arguments.scenario or SCENARIOS:
        for way in [Way(value) for value in arguments.way or [way.value for way in Way]]:
            fleets = [replay(SCENARIOS[name], way, seed) for seed in range(1, arguments.seeds + 1)]
            print(format_row(f"{name}, {way.value}", [row.whole for row in fleets]), flush=True)
            if SCENARIOS[name].outage:
                print(format_row("- calls of the outage", [row.during for row in fleets]))
                print(format_row("- the second after", [row.after for row in fleets]), flush=True)


if __name__ == "__main__":
    main()
