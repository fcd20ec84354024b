"""Replays square waves of calls beside batch on a fleet: ``python -m bench.crest_replay``.

Hosts see what the others have in flight some hundredths of a second late, as they do through the
aggregators. Each row is one way to choose a target for a call, or to take slots from batch items:
calls whose first token is late, items cut and items done.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import mean

from gradepoint.gateway.choice import choose_target, draw_some
from gradepoint.gateway.targets import ListedState, ListedTarget
from gradepoint.gateway.targets import Target as ListedTargetRow
from gradepoint.ids import ServiceName, TargetId, TargetName
from gradepoint.jobs.feeding import batch_slots, share_of_slots

CALL_S = 0.7
ITEM_S = 4.8
FIRST_TOKEN_S = 0.055
LATE_S = 0.3
PATIENT_CALLS = 5
"""Calls at a target from which a patient way lets one more wait: one of them ends soon."""
REST_S = 0.3
"""Seconds until an item that gave way may start again."""
DOMAINS = 3


@dataclass(frozen=True)
class Shape:
    """A deployment and its load."""

    hosts: int = 51
    targets: int = 30
    slots: int = 8
    calls_per_s: float = 131.0
    jobs_per_s: float = 1.29
    items: int = 10
    low: tuple[float, float] = (3.0, 0.378)
    high: tuple[float, float] = (2.2, 1.85)
    length_s: float = 60.0
    delay_s: float = 0.075
    gone: float = 0.0

    def rate(self, now: float) -> float:
        """Return the calls a second at a moment."""
        period = self.low[0] + self.high[0]
        part = self.low[1] if now % period < self.low[0] else self.high[1]
        return self.calls_per_s * part


SHAPES = {
    "30 targets": Shape(),
    "a fifth gone": Shape(gone=0.2),
    "45 targets, longer waves": Shape(
        targets=45, low=(3.8, 0.378), high=(2.8, 1.85), calls_per_s=150.0, jobs_per_s=1.6
    ),
    "6 hosts, 6 targets": Shape(
        hosts=6, targets=6, calls_per_s=27.0, jobs_per_s=0.34, delay_s=0.035
    ),
}


@dataclass(eq=False)
class Work:
    """A call or an item at a target."""

    host: int
    left_s: float
    is_item: bool
    arrived: float
    target: int = -1
    started: float | None = None
    token: int = 0


@dataclass(eq=False)
class Target:
    """One target: slots, and a queue in order of arrival."""

    running: list[Work] = field(default_factory=list)
    waiting: deque[Work] = field(default_factory=deque)


Choose = Callable[[list[float], list[float], random.Random], int]


def draw(power: float) -> Choose:
    """Return the choice by lot, by a power of the free slots; the least loaded where none is."""

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = [max(0.0, row) ** power * weight for row, weight in zip(free, weights, strict=True)]
        if any(drawn):
            return rng.choices(range(len(free)), drawn)[0]
        return max(range(len(free)), key=lambda index: (free[index], rng.random()))

    return choose


def best_of(count: int) -> Choose:
    """Return the choice of the emptiest of some that are drawn."""

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = draw_some(list(range(len(free))), weights, count, rng)
        return max(drawn, key=lambda index: free[index])

    return choose


def best_drawn(count: int, power: float) -> Choose:
    """Return the choice of the emptiest of some that are drawn by a power of their free slots."""

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = [max(0.0, row) ** power * weight for row, weight in zip(free, weights, strict=True)]
        if not any(drawn):
            return max(range(len(free)), key=lambda index: (free[index], rng.random()))
        found = rng.choices(range(len(free)), drawn, k=count)
        return max(found, key=lambda index: (free[index], rng.random()))

    return choose


def two_else_drawn(free: list[float], weights: list[float], rng: random.Random) -> int:
    """Return the emptier of two; where both are full, one drawn by the square of the free slots."""
    found = best_of(2)(free, weights, rng)
    return found if free[found] > 0 else draw(2)(free, weights, rng)


@dataclass(frozen=True)
class Way:
    """One way to decide.

    :param choose: None for the product's own decision.
    :param patient: whether calls may wait for calls that end soon before an item gives way.
    """

    choose: Choose | None
    home: float = 3.0
    patient: bool = False
    reserved: int = 1


WAYS: dict[str, Way] = {
    "the product's": Way(None),
    "drawn by the square": Way(draw(2)),
    "by the cube": Way(draw(3)),
    "by the fourth power": Way(draw(4)),
    "by the eighth power": Way(draw(8)),
    "emptiest": Way(best_of(1000)),
    "best of two": Way(best_of(2)),
    "best of four": Way(best_of(4)),
    "square, home twice": Way(draw(2), home=2.0),
    "square, no home": Way(draw(2), home=1.0),
    "fourth, home twice": Way(draw(4), home=2.0),
    "square, patient": Way(draw(2), patient=True),
    "fourth, patient": Way(draw(4), patient=True),
    "square, two reserved": Way(draw(2), reserved=2),
    "two by free slots": Way(best_drawn(2, 1)),
    "two by the square": Way(best_drawn(2, 2)),
    "two, two reserved": Way(best_of(2), reserved=2),
    "two, three reserved": Way(best_of(2), reserved=3),
    "two, no home, two res.": Way(best_of(2), home=1.0, reserved=2),
    "two free, two reserved": Way(best_drawn(2, 1), reserved=2),
    "two, else the square": Way(two_else_drawn, reserved=2),
    "four, two reserved": Way(best_of(4), reserved=2),
    "three, two reserved": Way(best_of(3), reserved=2),
}


def count_to_give_way(calls: int, items: int, slots: int, *, patient: bool) -> int:
    """Return how many items give their slots to calls at a target."""
    surplus = calls + items - slots
    if patient and surplus == 1 and slots - items >= PATIENT_CALLS:
        return 0
    return max(0, min(surplus, items))


@dataclass
class Figures:
    """What a way made of a load."""

    calls: int = 0
    late: int = 0
    cut: int = 0
    done: int = 0
    took: list[float] = field(default_factory=list)


def list_target(index: int, slots: int) -> ListedTargetRow:
    """Return a target as the product knows it."""
    row = ListedTarget(
        TargetName(f"t{index}"),
        ServiceName("model"),
        "127.0.0.1:1",
        f"d{index % DOMAINS}",
        slots,
        ListedState.READY,
    )
    return ListedTargetRow(row)


class Fleet:
    """Hosts and targets under one load and way."""

    def __init__(self, shape: Shape, way: Way, seed: int) -> None:
        self.shape, self.way, self.rng = shape, way, random.Random(seed)
        count = max(1, round(shape.targets * (1 - shape.gone)))
        self.targets = [Target() for _ in range(count)]
        self.told = [[0, 0] for _ in range(count)]
        self.own = [[0] * count for _ in range(shape.hosts)]
        self.own_told = [[0] * count for _ in range(shape.hosts)]
        self.news: deque[tuple[float, int, int, int, bool]] = deque()
        self.events: list[tuple[float, int, str, Work]] = []
        self.numbers = itertools.count()
        self.open: list[list[Work]] = [[] for _ in range(shape.hosts)]
        self.weights = [self.rng.random() ** 2 + 0.05 for _ in range(shape.hosts)]
        self.gave_way = [-1.0] * count
        self.listed = [list_target(index, shape.slots) for index in range(count)]
        self.figures = Figures()

    def note(self, now: float, work: Work, change: int) -> None:
        """Count what a host has in flight; the others hear of it later."""
        self.own[work.host][work.target] += change
        due = now + self.shape.delay_s * self.rng.uniform(0.6, 1.2)
        self.news.append((due, work.host, work.target, change, work.is_item))

    def hear(self, now: float) -> None:
        """Have everybody hear what is due."""
        while self.news and self.news[0][0] <= now:
            _, host, target, change, is_item = self.news.popleft()
            self.told[target][is_item] += change
            self.own_told[host][target] += change

    def load(self, host: int, target: int) -> int:
        """Return what *host* takes a target's load for."""
        return sum(self.told[target]) - self.own_told[host][target] + self.own[host][target]

    def weigh(self, host: int) -> list[float]:
        """Return how much rather a host chooses each target for where it is."""
        home = host % DOMAINS
        return [
            self.way.home if index % DOMAINS == home else 1.0 for index in range(len(self.targets))
        ]

    def send(self, now: float, work: Work) -> None:
        """Send a call or item to its target."""
        self.note(now, work, 1)
        work.started = None
        self.targets[work.target].waiting.append(work)
        self.fill(now, work.target)

    def fill(self, now: float, index: int) -> None:
        """Begin what waits at a target while it has slots."""
        target = self.targets[index]
        while target.waiting and len(target.running) < self.shape.slots:
            work = target.waiting.popleft()
            work.started = now
            work.token = next(self.numbers)
            target.running.append(work)
            if not work.is_item:
                wait = now - work.arrived + FIRST_TOKEN_S
                self.figures.calls += 1
                self.figures.late += wait > LATE_S
            heapq.heappush(self.events, (now + work.left_s, work.token, "end", work))

    def end(self, now: float, work: Work, token: int) -> None:
        """End a run, unless it was cut."""
        target = self.targets[work.target]
        if work.token != token or work not in target.running:
            return
        target.running.remove(work)
        self.note(now, work, -1)
        if work.is_item:
            self.figures.done += 1
            self.figures.took.append(now - work.arrived)
        self.fill(now, work.target)

    def give_way(self, now: float) -> None:
        """Take items back where more is in flight than slots."""
        for index, (calls, items) in enumerate(self.told):
            if now - self.gave_way[index] < self.shape.delay_s + 0.03:
                continue
            count = count_to_give_way(calls, items, self.shape.slots, patient=self.way.patient)
            target = self.targets[index]
            held = [work for work in (*target.waiting, *target.running) if work.is_item]
            for work in self.rng.sample(held, min(count, len(held))):
                self.gave_way[index] = now
                self.cut(now, work)

    def cut(self, now: float, work: Work) -> None:
        """Take an item back; it goes on where it was."""
        target = self.targets[work.target]
        if work.started is None:
            target.waiting.remove(work)
        else:
            target.running.remove(work)
            work.left_s -= now - work.started
            self.figures.cut += 1
        self.note(now, work, -1)
        heapq.heappush(self.events, (now + REST_S, next(self.numbers), "open", work))
        self.fill(now, work.target)

    def feed(self, now: float) -> None:
        """Start items in the slots that all hosts together leave."""
        most = batch_slots(self.shape.slots) - (self.way.reserved - 1)
        waiting = sum(map(len, self.open))
        for host, items in enumerate(self.open):
            if not items:
                continue
            free = [most - self.load(host, index) for index in range(len(self.targets))]
            spare = sum(max(0, row) for row in free)
            count = share_of_slots(spare, len(items), waiting - len(items), self.rng)
            for _ in range(min(count, len(items))):
                weights = [max(0, row) ** 2 for row in free]
                if not any(weights):
                    break
                index = self.rng.choices(range(len(free)), weights)[0]
                free[index] = 0
                work = items.pop(0)
                work.target = index
                self.send(now, work)

    def call(self, now: float, host: int) -> None:
        """Have a call come to a host."""
        work = Work(host, CALL_S * self.rng.uniform(0.6, 1.4), False, now)
        if self.way.choose is None:
            work.target = self.choose_as_the_product(host)
        else:
            slots = float(self.shape.slots)
            free = [slots - self.load(host, index) for index in range(len(self.targets))]
            work.target = self.way.choose(free, self.weigh(host), self.rng)
        self.send(now, work)

    def choose_as_the_product(self, host: int) -> int:
        """Return what the product's decision takes by what *host* knows."""
        for index, target in enumerate(self.listed):
            target.in_flight = self.own[host][index]
        numbers = {target.id: index for index, target in enumerate(self.listed)}

        def elsewhere(target: TargetId) -> int:
            index = numbers[target]
            return sum(self.told[index]) - self.own_told[host][index]

        found = choose_target(self.listed, f"d{host % DOMAINS}", (), elsewhere, self.rng)
        assert found is not None
        return numbers[found.id]

    def run(self) -> Figures:
        """Play the load."""
        now = next_call = next_job = next_feed = next_look = 0.0
        while now < self.shape.length_s:
            due = self.events[0][0] if self.events else float("inf")
            now = min(due, next_call, next_job, next_feed, next_look)
            self.hear(now)
            if now == due:
                _, token, kind, work = heapq.heappop(self.events)
                if kind == "end":
                    self.end(now, work, token)
                else:
                    self.open[work.host].append(work)
            elif now == next_call:
                host = self.rng.choices(range(self.shape.hosts), self.weights)[0]
                self.call(now, host)
                next_call = now + self.rng.expovariate(self.shape.rate(now))
            elif now == next_job:
                host = self.rng.randrange(self.shape.hosts)
                for _ in range(self.shape.items):
                    work = Work(host, ITEM_S * self.rng.uniform(0.6, 1.4), True, now)
                    self.open[host].append(work)
                next_job = now + self.rng.expovariate(self.shape.jobs_per_s)
            elif now == next_feed:
                self.feed(now)
                next_feed = now + self.shape.delay_s + 0.03
            else:
                self.give_way(now)
                next_look = now + 0.03
        return self.figures


def replay(shape: Shape, way: Way, seed: int) -> Figures:
    """Replay a load under a way."""
    return Fleet(shape, way, seed).run()


def main() -> None:
    """Print a row for each shape and way."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--way", choices=WAYS, action="append")
    parser.add_argument("--shape", choices=SHAPES, action="append")
    arguments = parser.parse_args()
    for name in arguments.shape or SHAPES:
        for title in arguments.way or WAYS:
            way = WAYS[title]
            rows = [replay(SHAPES[name], way, seed) for seed in range(1, arguments.seeds + 1)]
            late = [100 * row.late / max(1, row.calls) for row in rows]
            cut = [row.cut / max(1, row.done) for row in rows]
            took = [mean(row.took) if row.took else 0.0 for row in rows]
            print(
                f"{name:24} {title:22} late {mean(late):6.2f}% ({min(late):.2f} to {max(late):.2f})"
                f"  cuts an item {mean(cut):5.2f}  an item took {mean(took):5.2f} s"
                f"  done {mean(row.done for row in rows):5.0f}"
            )


if __name__ == "__main__":
    main()
