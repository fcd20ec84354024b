"""Replays organisations that compete for too little room: ``python -m bench.share_replay``.

Hosts with an uneven part of the demand use gradepoint's own decisions about shares. The targets are
one pool of slots with a queue, and admission refuses fresh calls while the calls in flight, as
known some time ago, fill the pool. A refused caller returns once and is then admitted. Quotas are
not applied. Four designs get the same calls:

- ``off``: admission alone;
- ``host``: each host divides an equal part of the room among its own demands;
- ``shares``: an aggregator divides the room among the demands of all hosts;
- ``defer``: the same, and returning calls of limited organisations wait behind all other calls.

A call counts as served if it begins within its goal, counted from its last attempt. For each design
the output has the mean worth of a call and the parts of the calls that are served, at once and in
total; the worth of a call of the organisations with their usual load; and the served parts of the
worst tenth of the organisations and of the worst one, as fractions of the part of all calls.
Organisations with few calls are left out of the last two.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from gradepoint.gateway.share_limits import ShareLimits
from gradepoint.ids import OrganisationNumber, ServiceName
from gradepoint.peers.aggregation import DEMAND_UNITS_PER_SLOT
from gradepoint.routing.fair_shares import SHARES_FROM_OCCUPANCY, compute_shares
from gradepoint.util.clock import SOURCES, read_monotonic

HOSTS = 68
HOSTS_EACH = 9
"""Hosts to which the clients of one organisation connect."""
ZIPF_EXPONENT = 1.2
CALLS_PER_S = 202.0
LOW_S, HIGH_S = 3.6, 2.4
"""Seconds of the two halves of a wave, which have these multiples of the mean load:"""
LOW, HIGH = 0.391, 1.91
CALL_S = (0.6, 0.85)
"""Range of the seconds of a call in a slot."""
START_LIMIT_S = 0.24
"""Seconds in a queue after which a call is late: the goal without the time to a first event."""
RETURN_S = (0.8, 1.58)
"""Range of ``Retry-After`` in seconds, up to the latest that a caller honours."""
DIGEST_GAP_S = 0.05
DIGEST_DELAY_S = 0.075
"""Seconds from a change until other hosts know of it."""
MIN_CALLS = 10
"""Calls below which the served part of an organisation is mostly chance."""
LATE_WORTH = 1 / 7
"""Worth of a call that is answered late; one that is served at once is worth 1."""
RETURNED_WORTH = (1 + LATE_WORTH) / 2
"""Worth of a call that was refused and is then served within its goal."""
MAX_WAIT_S = 3.0
"""Seconds in a queue after which the caller of a returning call has left."""
SERVICE = ServiceName("model")


class Design(Enum):
    """How organisations are limited in a shortage."""

    OFF = "off"
    HOST = "host"
    SHARES = "shares"
    DEFER = "defer"


@dataclass(frozen=True)
class Load:
    """Calls of organisations to a fleet.

    :param slots: slots of all targets that work.
    :param hot: multiple of the usual load by organisation; the largest organisation is 0.
    """

    organisations: int = 83
    slots: int = 360
    hot: Mapping[int, float] = field(default_factory=dict)
    length_s: float = 60.0


@dataclass(frozen=True)
class Call:
    """One attempt of a call."""

    organisation: OrganisationNumber
    host: int
    duration_s: float
    arrived_at: float
    returning: bool = False


def draw_calls(load: Load, rng: random.Random) -> Iterator[Call]:
    """Draw the calls of a load, each organisation's at a few hosts of uneven weight."""
    sizes = [(row + 1) ** -ZIPF_EXPONENT for row in range(load.organisations)]
    usual = CALLS_PER_S / sum(sizes)
    rates = [size * usual * load.hot.get(row, 1.0) for row, size in enumerate(sizes)]
    hosts = [rng.sample(range(HOSTS), HOSTS_EACH) for _ in rates]
    weights = [[rng.random() for _ in range(HOSTS_EACH)] for _ in rates]
    total, cumulated, now = sum(rates), list(itertools.accumulate(rates)), 0.0
    while now < load.length_s:
        level = LOW if now % (LOW_S + HIGH_S) < LOW_S else HIGH
        now += rng.expovariate(total * level)
        row = rng.choices(range(load.organisations), cum_weights=cumulated)[0]
        host = rng.choices(hosts[row], weights[row])[0]
        yield Call(OrganisationNumber(row), host, rng.uniform(*CALL_S), now)


@dataclass
class Fleet:
    """Hosts and a pool of slots.

    :ivar queue: calls that wait for a slot.
    :ivar deferred: returning calls of limited organisations, which wait until *queue* is empty.
    :ivar ends: time and call of each call in a slot.
    :ivar known: time and number of calls in flight, the oldest first.
    :ivar digests: arrival time and shares of each digest on its way, the oldest first.
    """

    load: Load
    design: Design
    rng: random.Random
    now: float = 0.0
    queue: deque[Call] = field(default_factory=deque)
    deferred: deque[Call] = field(default_factory=deque)
    ends: list[tuple[float, int, Call]] = field(default_factory=list)
    known: deque[tuple[float, int]] = field(default_factory=lambda: deque([(0.0, 0)]))
    digests: deque[tuple[float, dict[OrganisationNumber, int]]] = field(default_factory=deque)
    shares: dict[OrganisationNumber, int] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    served: Counter[OrganisationNumber] = field(default_factory=Counter)
    served_at_once: int = 0
    worth: defaultdict[OrganisationNumber, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    in_flight: list[Counter[OrganisationNumber]] = field(
        default_factory=lambda: [Counter() for _ in range(HOSTS)]
    )

    def __post_init__(self) -> None:
        self.limits = [self._make_limits(host) for host in range(HOSTS)]

    def _make_limits(self, host: int) -> ShareLimits:
        return ShareLimits(
            lambda: self._find_shares(host),
            lambda: bool(self.shares),
            lambda: self.in_flight[host],
            lambda _: sum(CALL_S) / 2,
            self.rng.random,
        )

    def _find_shares(self, host: int) -> dict[OrganisationNumber, int]:
        if self.design is Design.HOST:
            return self._divide([self.limits[host]], self.load.slots / HOSTS)
        return self.shares

    def _divide(self, limits: list[ShareLimits], room: float) -> dict[OrganisationNumber, int]:
        demands: Counter[OrganisationNumber] = Counter()
        for row in limits:
            demands.update(row.find_demands())
        in_slots = {number: units / DEMAND_UNITS_PER_SLOT for number, units in demands.items()}
        return compute_shares(in_slots, room)

    def count_in_flight(self) -> int:
        """Return the calls in slots and in the queue."""
        return len(self.ends) + len(self.queue)

    def advance(self, until: float) -> None:
        """End calls and start queued ones up to a time."""
        while self.ends and self.ends[0][0] <= until:
            self.now, _, call = heapq.heappop(self.ends)
            self.in_flight[call.host][call.organisation] -= 1
            for queue in (self.queue, self.deferred):
                while queue and self.now - queue[0].arrived_at > MAX_WAIT_S:
                    queue.popleft()
            if self.queue or self.deferred:
                self._start((self.queue or self.deferred).popleft())
        self.now = until
        self.known.append((until, self.count_in_flight()))
        while len(self.known) > 1 and self.known[1][0] <= until - DIGEST_DELAY_S:
            self.known.popleft()
        while self.digests and self.digests[0][0] <= until:
            self.shares = self.digests.popleft()[1]

    def send_digest(self) -> None:
        """Compute the shares from the hosts' demands and send them."""
        if self.design in (Design.SHARES, Design.DEFER):
            shares = self._divide(self.limits, self.load.slots)
            self.digests.append((self.now + DIGEST_DELAY_S, shares))

    def take(self, call: Call) -> bool:
        """Admit a call, or refuse it and return False."""
        limits = self.limits[call.host]
        occupancy = self.known[0][1] / self.load.slots
        is_limited = self.design is not Design.OFF and occupancy >= SHARES_FROM_OCCUPANCY
        allowed = call.returning or (
            occupancy < 1.0 and not (is_limited and not limits.allows(call.organisation))
        )
        if not allowed:
            limits.record_refusal(call.organisation, SERVICE)
            return False
        self.in_flight[call.host][call.organisation] += 1
        if len(self.ends) < self.load.slots:
            self._start(call)
        elif (
            self.design is Design.DEFER and call.returning and limits.is_limited(call.organisation)
        ):
            self.deferred.append(call)
        else:
            self.queue.append(call)
        return True

    def _start(self, call: Call) -> None:
        heapq.heappush(self.ends, (self.now + call.duration_s, next(self.numbers), call))
        if self.now - call.arrived_at > START_LIMIT_S:
            worth = LATE_WORTH
        else:
            self.served[call.organisation] += 1
            self.served_at_once += not call.returning
            worth = RETURNED_WORTH if call.returning else 1.0
        self.worth[call.organisation] += worth


@dataclass
class Outcome:
    """Result of one replay, as printed."""

    worth: float
    served: float
    at_once: float
    worth_of_usual: float
    worst_tenth: float
    worst: float


def replay(load: Load, design: Design, seed: int) -> Outcome:
    """Replay a load with one design."""
    rng = random.Random(seed)
    fleet = Fleet(load, design, random.Random(seed + 1))
    SOURCES.monotonic = lambda: fleet.now
    try:
        return _run(load, fleet, rng)
    finally:
        SOURCES.monotonic = read_monotonic


def _run(load: Load, fleet: Fleet, rng: random.Random) -> Outcome:
    calls: Counter[OrganisationNumber] = Counter()
    pending = [(call.arrived_at, next(fleet.numbers), call) for call in draw_calls(load, rng)]
    heapq.heapify(pending)
    digest_at = 0.0
    while pending:
        at, _, call = heapq.heappop(pending)
        while digest_at <= at:
            fleet.advance(digest_at)
            fleet.send_digest()
            digest_at += DIGEST_GAP_S
        fleet.advance(at)
        calls[call.organisation] += not call.returning
        if not fleet.take(call):
            returns_at = at + rng.uniform(*RETURN_S)
            host = rng.randrange(HOSTS)
            again = Call(call.organisation, host, call.duration_s, returns_at, returning=True)
            heapq.heappush(pending, (returns_at, next(fleet.numbers), again))
    fleet.advance(load.length_s + 10.0)
    return _sum_up(load, fleet, calls)


def _sum_up(load: Load, fleet: Fleet, calls: Counter[OrganisationNumber]) -> Outcome:
    part = fleet.served.total() / calls.total()
    usual = [row for row in calls if row not in load.hot]
    parts = sorted(fleet.served[row] / calls[row] for row in calls if calls[row] >= MIN_CALLS)
    tenth = parts[: max(1, len(parts) // 10)]
    return Outcome(
        sum(fleet.worth.values()) / calls.total(),
        part,
        fleet.served_at_once / calls.total(),
        sum(fleet.worth[row] for row in usual) / sum(calls[row] for row in usual),
        sum(tenth) / len(tenth) / part,
        parts[0] / part,
    )


ONE_HOT = {1: 7.0}
THREE_HOT = {0: 3.0, 2: 5.0, 9: 7.0}
LOADS = {
    "83, usual": Load(),
    "83, one hot": Load(hot=ONE_HOT),
    "83, three hot": Load(hot=THREE_HOT),
    "83, one hot, a fifth gone": Load(slots=288, hot={1: 3.0}),
    "83, largest hot, fifth gone": Load(slots=288, hot={0: 5.0}),
    "3,900, one hot": Load(3900, hot=ONE_HOT),
    "3,900, three hot": Load(3900, hot=THREE_HOT),
}


def main() -> None:
    """Print a row for each load and design."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    for name, load in LOADS.items():
        for design in Design:
            rows = [replay(load, design, seed) for seed in seeds]
            means = {
                key: sum(getattr(row, key) for row in rows) / len(rows) for key in vars(rows[0])
            }
            print(f"{name:27} {design.value:7}", *(f"{k} {v:.3f}" for k, v in means.items()))


if __name__ == "__main__":
    main()
