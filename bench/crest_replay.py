"""Compares target choice and batch preemption under bursts: ``python -m bench.crest_replay``.

Square waves of online calls are replayed beside batch items on a simulated fleet. A host learns of
the other hosts' in-flight work some hundredths of a second late, as it does through the
aggregators. Each row of the output is one strategy: the share of calls whose first token is late,
preemptions for each finished item, the mean time of an item, the number of items finished, and the
share of the items that were done when they were due.

Targets may work at different speeds and pause for short times. Hosts learn of a target's pace from
the work done there in the last second, as they do through the aggregators.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from statistics import mean, median
from typing import Any

from gradepoint.gateway.choice import choose_target, sample_weighted
from gradepoint.gateway.targets import ListedState, ListedTarget
from gradepoint.gateway.targets import Target as GradepointTarget
from gradepoint.ids import ServiceName, TargetId, TargetName, TargetNumber
from gradepoint.jobs.slot_sharing import allot_spare_slots
from gradepoint.routing.batch_headroom import (
    CallArrivals,
    find_preemption_limit,
    find_start_limit,
)
from gradepoint.routing.target_model import (
    SAMPLE_S,
    GapHistories,
    TargetLoad,
    choose_load,
    compute_paces,
    estimate_delay_s,
    find_paced_load,
)

CALL_S = 0.7
"""Mean seconds that a call occupies a slot."""
ITEM_S = 4.8
"""Mean seconds that a batch item occupies a slot."""
FIRST_TOKEN_S = 0.055
"""Seconds from the start of a call on a slot to its first token."""
LATE_FIRST_TOKEN_S = 0.3
"""Seconds from arrival after which a first token is late."""
PATIENT_CALLS = 5
"""Calls at a target from which a patient strategy lets one more wait, since one ends soon."""
ITEM_RETRY_S = 0.3
"""Seconds until a preempted item may start again."""
DUE_S = 18.0
"""Seconds from the arrival of a job in which its items are due."""
DUE_MARGIN_S = 1.0
"""Seconds that an item needs beyond its remaining time to start again and end before it is due."""
DOMAINS = 3
PAUSE_INTERVALS = 997
"""Intervals of the length of a pause after which the pauses repeat; more than a replay has."""
PACE_REFRESH_S = 0.2
"""Seconds between two digests with the paces of targets."""
GOLDEN_RATIO = 0.618034
"""Multiples of this have evenly spread fractional parts."""
EVENT_GAP_S = 0.033
"""Seconds between two events of an answer of a target of speed 1."""


@dataclass(frozen=True)
class Shape:
    """A deployment and its load.

    :param items: items of each batch job.
    :param low: length in seconds and load factor of the low part of each wave.
    :param high: length in seconds and load factor of the high part of each wave.
    :param delay_s: mean delay with which hosts learn of each other's in-flight work.
    :param lost_share: share of the targets that are missing.
    :param item_s: mean seconds that a batch item occupies a slot.
    :param speeds: speeds of the targets, in turn.
    :param pause_s: length of the pauses in seconds.
    :param pause_share: share of the targets that pause at a time.
    :param pause_factor: factor by which a pausing target is slower.
    :param slowed: targets that are slow for a time: index, first and last second, and the factor
        by which the target is slower.
    """

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
    lost_share: float = 0.0
    item_s: float = ITEM_S
    speeds: tuple[float, ...] = (1.0,)
    pause_s: float = 0.6
    pause_share: float = 0.0
    pause_factor: float = 2.5
    slowed: tuple[tuple[int, float, float, float], ...] = ()

    def rate(self, now: float) -> float:
        """Return the calls a second at time *now*."""
        period = self.low[0] + self.high[0]
        factor = self.low[1] if now % period < self.low[0] else self.high[1]
        return self.calls_per_s * factor


UNEVEN = Shape(
    hosts=74,
    targets=30,
    calls_per_s=134.0,
    jobs_per_s=1.71,
    low=(3.6, 0.391),
    high=(2.4, 1.91),
    delay_s=0.09,
    item_s=5.0,
    speeds=(0.6, 1.0, 1.6),
    pause_share=0.15,
)
"""Deployment A of docs/design/load.md: targets of three speeds that pause."""
COMPETING = Shape(
    hosts=68,
    targets=45,
    calls_per_s=202.0,
    jobs_per_s=1.93,
    low=(3.6, 0.391),
    high=(2.4, 1.91),
    delay_s=0.087,
    item_s=5.0,
)
"""Deployment B of docs/design/load.md, without its organisations."""

SHAPES = {
    "30 targets": Shape(),
    "a fifth gone": Shape(lost_share=0.2),
    "45 targets, longer waves": Shape(
        targets=45, low=(3.8, 0.378), high=(2.8, 1.85), calls_per_s=150.0, jobs_per_s=1.6
    ),
    "6 hosts, 6 targets": Shape(
        hosts=6, targets=6, calls_per_s=27.0, jobs_per_s=0.34, delay_s=0.035
    ),
    "A": UNEVEN,
    "A, a sixth gone": replace(UNEVEN, lost_share=1 / 6),
    "B": COMPETING,
    "B, a sixth gone": replace(COMPETING, lost_share=1 / 6),
}


@dataclass(eq=False)
class Work:
    """An online call or a batch item.

    :ivar remaining_s: seconds on a slot that it still needs.
    :ivar started: when its current run started; None while it waits.
    :ivar run_number: number of the current run; an end event with another number is obsolete.
    """

    host: int
    remaining_s: float
    is_item: bool
    arrived: float
    target: int = -1
    started: float | None = None
    run_number: int = 0


@dataclass(eq=False)
class Target:
    """One target: the work on its slots, and its queue in order of arrival."""

    running: list[Work] = field(default_factory=list)
    waiting: deque[Work] = field(default_factory=deque)


Compare = Callable[[list[TargetLoad]], int]
Choose = Callable[[list[float], list[float], random.Random], int]


def weighted_by_free_slots(power: float) -> Choose:
    """Return a random choice weighted by a power of the free slots.

    If no target has a free slot, the least loaded one is chosen.
    """

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = [max(0.0, row) ** power * weight for row, weight in zip(free, weights, strict=True)]
        if any(drawn):
            return rng.choices(range(len(free)), drawn)[0]
        return max(range(len(free)), key=lambda index: (free[index], rng.random()))

    return choose


def emptiest_of_sample(count: int) -> Choose:
    """Return the choice of the emptiest of *count* targets drawn by location weight."""

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = sample_weighted(list(range(len(free))), weights, count, rng)
        return max(drawn, key=lambda index: free[index])

    return choose


def emptiest_of_weighted_sample(count: int, power: float) -> Choose:
    """Return the choice of the emptiest of *count* targets drawn by a power of the free slots."""

    def choose(free: list[float], weights: list[float], rng: random.Random) -> int:
        drawn = [max(0.0, row) ** power * weight for row, weight in zip(free, weights, strict=True)]
        if not any(drawn):
            return max(range(len(free)), key=lambda index: (free[index], rng.random()))
        found = rng.choices(range(len(free)), drawn, k=count)
        return max(found, key=lambda index: (free[index], rng.random()))

    return choose


def emptier_of_two_or_weighted(free: list[float], weights: list[float], rng: random.Random) -> int:
    """Return the emptier of two targets; if it is full, draw by the square of the free slots."""
    found = emptiest_of_sample(2)(free, weights, rng)
    return found if free[found] > 0 else weighted_by_free_slots(2)(free, weights, rng)


Pick = Callable[["list[Held]", int, random.Random], "list[Held]"]


@dataclass(frozen=True)
class Held:
    """An item at a target.

    :param urgency: whether it is late, and when its job arrived; more urgent items sort first.
    :param needed_s: seconds that it still needs there at the target's usual speed.
    """

    work: Work
    urgency: tuple[bool, float]
    needed_s: float


def rank_by_urgency(held: Held) -> tuple[object, ...]:
    """Return the sort key of an item; the last one is preempted, as in gradepoint."""
    return (*held.urgency, held.work.started or float("inf"))


def pick_least_urgent(items: list[Held], count: int, rng: random.Random) -> list[Held]:
    """Return the last item by urgency of each of the hosts whose items are the least urgent.

    Gradepoint chooses in the same way.
    """
    by_host: dict[int, Held] = {}
    for held in sorted(rng.sample(items, len(items)), key=rank_by_urgency):
        by_host[held.work.host] = held
    return sorted(by_host.values(), key=lambda held: held.urgency, reverse=True)[:count]


def pick_of_hosts(rank: Callable[[Held], tuple[object, ...]]) -> Pick:
    """Return a choice of hosts at random, and of each its last item by *rank*."""

    def pick(items: list[Held], count: int, rng: random.Random) -> list[Held]:
        hosts = sorted({held.work.host for held in items})
        return [
            max((held for held in items if held.work.host == host), key=rank)
            for host in rng.sample(hosts, min(count, len(hosts)))
        ]

    return pick


def pick_of_all(rank: Callable[[Held], tuple[object, ...]]) -> Pick:
    """Return a choice of the last items of all hosts by *rank*."""
    return lambda items, count, _: sorted(items, key=rank, reverse=True)[:count]


@dataclass(frozen=True)
class Strategy:
    """One strategy of target choice and preemption.

    :param choose: choice of a call's target; None uses gradepoint's own decision.
    :param home_weight: weight of targets in the host's own failure domain; others have 1.
    :param patient: whether a call may wait for another call that ends soon, before an item is
        preempted.
    :param reserved: slots of each target that batch leaves free for calls.
    :param compare: returns the index of the chosen one of the sampled targets. It takes precedence
        over *choose*.
    :param sampled: number of targets that are sampled for *compare*.
    :param uneven_sampled: number of targets that are sampled while the targets' paces differ; 0 for
        *sampled*.
    :param draw_pace_power: power of the pace by which sampled targets are weighted.
    :param item_pace_power: power of the pace by which targets of items are weighted.
    :param classes: the targets' paces are replaced by those of this many quantiles; 0 keeps them.
    :param ahead: slots of each target that preemption keeps free.
    :param follows_rate: items leave slots free by the rate of calls, as gradepoint decides;
        *reserved* and *ahead* do not apply.
    :param pick: chooses the items to preempt.
    :param near_end_s: items that need at most this many seconds are not preempted.
    :param exempts_due: items that can only just end before they are due are not preempted.
    """

    choose: Choose | None
    home_weight: float = 3.0
    patient: bool = False
    reserved: int = 1
    compare: Compare | None = None
    sampled: int = 2
    uneven_sampled: int = 0
    draw_pace_power: float = 0.0
    item_pace_power: float = 0.0
    classes: int = 0
    ahead: int = 0
    follows_rate: bool = False
    pick: Pick = pick_least_urgent
    near_end_s: float = 0.0
    exempts_due: bool = False


Rank = Callable[[TargetLoad], tuple[float, ...]]


def rank_by_load(target: TargetLoad) -> tuple[float, ...]:
    """Return the calls and items in flight per slot."""
    return ((target.calls + target.items) / target.slots,)


def rank_by_paced_load(target: TargetLoad) -> tuple[float, ...]:
    """Return the calls and items in flight per slot and pace."""
    return (find_paced_load(target),)


def rank_by_delay(target: TargetLoad) -> tuple[float, ...]:
    """Return the expected delay, then the calls and items in flight per slot and pace."""
    return (estimate_delay_s(target, CALL_S), find_paced_load(target))


def choose_by(rank: Rank) -> Compare:
    """Return a choice of the target with the smallest rank."""
    return lambda loads: min(range(len(loads)), key=lambda index: rank(loads[index]))


def choose_as_model(loads: list[TargetLoad]) -> int:
    """Return the choice of gradepoint's target model."""
    return choose_load(loads, CALL_S)


def make_model(draw_pace_power: float = 1.0, **changes: Any) -> Strategy:
    """Return gradepoint's target model, or a variant of it."""
    model = Strategy(None, compare=choose_as_model, draw_pace_power=draw_pace_power)
    return replace(model, **changes)


STRATEGIES: dict[str, Strategy] = {
    "the product's": Strategy(None, follows_rate=True),
    "drawn by the square": Strategy(weighted_by_free_slots(2)),
    "by the cube": Strategy(weighted_by_free_slots(3)),
    "by the fourth power": Strategy(weighted_by_free_slots(4)),
    "by the eighth power": Strategy(weighted_by_free_slots(8)),
    "emptiest": Strategy(emptiest_of_sample(1000)),
    "best of two": Strategy(emptiest_of_sample(2)),
    "best of four": Strategy(emptiest_of_sample(4)),
    "square, home twice": Strategy(weighted_by_free_slots(2), home_weight=2.0),
    "square, no home": Strategy(weighted_by_free_slots(2), home_weight=1.0),
    "fourth, home twice": Strategy(weighted_by_free_slots(4), home_weight=2.0),
    "square, patient": Strategy(weighted_by_free_slots(2), patient=True),
    "fourth, patient": Strategy(weighted_by_free_slots(4), patient=True),
    "square, two reserved": Strategy(weighted_by_free_slots(2), reserved=2),
    "two by free slots": Strategy(emptiest_of_weighted_sample(2, 1)),
    "two by the square": Strategy(emptiest_of_weighted_sample(2, 2)),
    "two, two reserved": Strategy(emptiest_of_sample(2), reserved=2),
    "two, three reserved": Strategy(emptiest_of_sample(2), reserved=3),
    "two, no home, two res.": Strategy(emptiest_of_sample(2), home_weight=1.0, reserved=2),
    "two free, two reserved": Strategy(emptiest_of_weighted_sample(2, 1), reserved=2),
    "two, else the square": Strategy(emptier_of_two_or_weighted, reserved=2),
    "four, two reserved": Strategy(emptiest_of_sample(4), reserved=2),
    "three, two reserved": Strategy(emptiest_of_sample(3), reserved=2),
    "load": Strategy(None, compare=choose_by(rank_by_load)),
    "load / pace": Strategy(None, compare=choose_by(rank_by_paced_load)),
    "delay, load / pace": Strategy(None, compare=choose_by(rank_by_delay)),
    "two by pace": make_model(),
    "two, not by pace": make_model(draw_pace_power=0),
    "two by pace^2": make_model(draw_pace_power=2),
    "three, not by pace": make_model(draw_pace_power=0, uneven_sampled=3),
    "three by pace": make_model(uneven_sampled=3),
    "three classes": make_model(classes=3),
    "items by pace": make_model(item_pace_power=1),
    "items by pace^4": make_model(item_pace_power=4),
    "items by 1/pace": make_model(item_pace_power=-1),
    "least delay of all": Strategy(None, compare=choose_by(rank_by_delay), sampled=1000),
}
BY_PACE = STRATEGIES["two by pace"]
PICK_BY_HOST = pick_of_hosts(rank_by_urgency)
BY_RATE = replace(BY_PACE, follows_rate=True)
BY_HOST = replace(BY_RATE, pick=PICK_BY_HOST)
STRATEGIES |= {
    "fixed, host's choice": replace(BY_PACE, pick=PICK_BY_HOST),
    "one slot ahead": replace(BY_PACE, ahead=1, pick=PICK_BY_HOST),
    "one ahead, two reserved": replace(BY_PACE, ahead=1, reserved=2, pick=PICK_BY_HOST),
    "two ahead, three res.": replace(BY_PACE, ahead=2, reserved=3, pick=PICK_BY_HOST),
    "by rate, host's choice": BY_HOST,
    "by rate, near end kept": replace(BY_HOST, near_end_s=0.2),
    "by rate, due kept": replace(BY_HOST, exempts_due=True),
    "by rate": BY_RATE,
    "by rate, host's longest": replace(
        BY_RATE, pick=pick_of_hosts(lambda held: (*held.urgency, held.needed_s))
    ),
    "by rate, longest": replace(BY_RATE, pick=pick_of_all(lambda held: (held.needed_s,))),
    "by rate, least urgent": replace(BY_RATE, pick=pick_of_all(rank_by_urgency)),
}
"""Ways to preempt items, each with the choice of targets drawn by pace."""


def count_items_to_preempt(calls: int, items: int, slots: int, *, patient: bool) -> int:
    """Return how many items must release their slots to calls at a target."""
    surplus = calls + items - slots
    if patient and surplus == 1 and slots - items >= PATIENT_CALLS:
        return 0
    return max(0, min(surplus, items))


@dataclass
class Figures:
    """Result of one replay.

    :ivar late: calls whose first token was late.
    :ivar done: finished batch items.
    :ivar due: items that are due before the end of the replay.
    :ivar done_in_time: those of them that ended before they were due.
    :ivar item_seconds: seconds from arrival to end of each finished item.
    """

    calls: int = 0
    late: int = 0
    preemptions: int = 0
    done: int = 0
    due: int = 0
    done_in_time: int = 0
    item_seconds: list[float] = field(default_factory=list)


def classify(paces: list[float], classes: int) -> list[float]:
    """Return paces replaced by the median of their quantile; 0 classes leave them unchanged."""
    if not classes:
        return paces
    ordered = sorted(range(len(paces)), key=lambda index: paces[index])
    found = list(paces)
    for number in range(classes):
        members = ordered[len(ordered) * number // classes : len(ordered) * (number + 1) // classes]
        for index in members:
            found[index] = median(paces[member] for member in members)
    return found


def list_target(index: int, slots: int) -> GradepointTarget:
    """Return a target as gradepoint's own choice takes it."""
    row = ListedTarget(
        TargetName(f"t{index}"),
        ServiceName("model"),
        "127.0.0.1:1",
        f"d{index % DOMAINS}",
        slots,
        ListedState.READY,
    )
    return GradepointTarget(row)


class Fleet:
    """Simulates hosts and targets under one load and strategy.

    :ivar reported: calls and items in flight at each target, as reported to all hosts.
    :ivar own_in_flight: in-flight work of each host at each target, known to the host at once.
    :ivar own_items: the items among :attr:`own_in_flight`.
    :ivar own_reported: the part of :attr:`reported` that stems from each host.
    :ivar own_reported_items: the items among :attr:`own_reported`.
    :ivar pauses: whether a target pauses, by target and number of the interval of the length of a
        pause.
    :ivar arrivals: draws the calls, so that every strategy gets the same ones.
    :ivar jobs: draws the jobs.
    :ivar paces: believed pace of each target.
    :ivar gaps: samples of the targets' gaps between events.
    :ivar measured_at: time up to which events are counted.
    :ivar work_done: work of one slot of each target up to then, in seconds at speed 1.
    :ivar next_digest: time at which hosts learn the paces next.
    :ivar pending_updates: changes that are not reported yet.
    :ivar open_items: items of each host that wait for a slot.
    :ivar preempted_at: time of the last preemption at each target.
    :ivar call_arrivals: calls that hosts have reported.
    :ivar rate: calls per second at each target; None while it is unknown or does not matter.
    """

    def __init__(self, shape: Shape, strategy: Strategy, seed: int) -> None:
        self.shape, self.strategy, self.rng = shape, strategy, random.Random(seed)
        count = max(1, round(shape.targets * (1 - shape.lost_share)))
        self.targets = [Target() for _ in range(count)]
        self.reported = [[0, 0] for _ in range(count)]
        self.own_in_flight = [[0] * count for _ in range(shape.hosts)]
        self.own_items = [[0] * count for _ in range(shape.hosts)]
        self.own_reported = [[0] * count for _ in range(shape.hosts)]
        self.own_reported_items = [[0] * count for _ in range(shape.hosts)]
        self.pending_updates: deque[tuple[float, int, int, int, bool]] = deque()
        self.events: list[tuple[float, int, str, Work]] = []
        self.numbers = itertools.count()
        self.open_items: list[list[Work]] = [[] for _ in range(shape.hosts)]
        self.weights = [self.rng.random() ** 2 + 0.05 for _ in range(shape.hosts)]
        self.preempted_at = [-1.0] * count
        self.listed = [list_target(index, shape.slots) for index in range(count)]
        self.figures = Figures()
        pause_rng, self.arrivals = random.Random(seed), random.Random(seed)
        self.jobs = random.Random(seed)
        self.pauses = [
            [pause_rng.random() < shape.pause_share for _ in range(PAUSE_INTERVALS)]
            for _ in range(count)
        ]
        self.paces = [1.0] * count
        self.gaps = GapHistories()
        self.measured_at = self.next_digest = 0.0
        self.work_done = [0.0] * count
        self.call_arrivals = CallArrivals()
        self.rate: float | None = None

    def find_rate(self, index: int, now: float) -> tuple[float, float]:
        """Return the speed of a target at time *now*, and until when it stays the same."""
        shape = self.shape
        rate, until = shape.speeds[index % len(shape.speeds)], float("inf")
        if shape.pause_share:
            # The tolerance keeps rounding from finding the interval that ends at this time.
            interval = int(now / shape.pause_s + 1e-6)
            until = (interval + 1) * shape.pause_s
            rate /= shape.pause_factor if self.pauses[index][interval % PAUSE_INTERVALS] else 1.0
        for slowed, start, end, factor in shape.slowed:
            if slowed == index:
                rate /= factor if start <= now < end else 1.0
                until = min([until, *(edge for edge in (start, end) if edge > now)])
        return rate, until

    def work_between(self, index: int, start: float, end: float) -> float:
        """Return the work of one slot of a target from *start* to *end*, in seconds at speed 1."""
        done = 0.0
        while start < end:
            rate, until = self.find_rate(index, start)
            done += rate * (min(until, end) - start)
            start = until
        return done

    def find_end(self, index: int, now: float, work_s: float) -> float:
        """Return when a slot has done *work_s* seconds of work at speed 1."""
        while True:
            rate, until = self.find_rate(index, now)
            if now + work_s / rate <= until:
                return now + work_s / rate
            work_s -= rate * (until - now)
            now = until

    def measure_paces(self, now: float) -> None:
        """Count the events of running work as the aggregators do, and let hosts learn the paces."""
        end = max(0.0, now - self.shape.delay_s)
        counts = {}
        for index, target in enumerate(self.targets):
            before = self.work_done[index] / EVENT_GAP_S
            self.work_done[index] += self.work_between(index, self.measured_at, end)
            after = self.work_done[index] / EVENT_GAP_S
            # Each run has its own phase, and only complete events are counted.
            phases = [work.run_number * GOLDEN_RATIO for work in target.running]
            events = sum(math.floor(after + row) - math.floor(before + row) for row in phases)
            ms = round(1000 * len(target.running) * (end - self.measured_at))
            if ms:
                counts[TargetNumber(index)] = (events, ms)
        self.measured_at = end
        self.gaps.add(counts, now)
        self.gaps.close(now)
        if now >= self.next_digest:
            self.next_digest = now + PACE_REFRESH_S
            paces = compute_paces(self.gaps.gaps)
            found = [paces.get(TargetNumber(index), 1.0) for index in range(len(self.targets))]
            self.paces = classify(found, self.strategy.classes)

    def record_change(self, now: float, work: Work, change: int) -> None:
        """Record a change of a host's in-flight work; the other hosts learn of it later."""
        self.own_in_flight[work.host][work.target] += change
        self.own_items[work.host][work.target] += change if work.is_item else 0
        due = now + self.shape.delay_s * self.rng.uniform(0.6, 1.2)
        self.pending_updates.append((due, work.host, work.target, change, work.is_item))

    def apply_updates(self, now: float) -> None:
        """Report the changes that are due to all hosts."""
        while self.pending_updates and self.pending_updates[0][0] <= now:
            _, host, target, change, is_item = self.pending_updates.popleft()
            self.reported[target][is_item] += change
            self.own_reported[host][target] += change
            self.own_reported_items[host][target] += change if is_item else 0
            if not is_item:
                self.call_arrivals.observe({}, {TargetNumber(target): max(0, change)}, now)
        if self.strategy.follows_rate:
            numbers = [TargetNumber(index) for index in range(len(self.targets))]
            self.rate = self.call_arrivals.find_rate(numbers, now)

    def load(self, host: int, target: int) -> int:
        """Return a target's load as *host* knows it: its own work plus what others reported."""
        return (
            sum(self.reported[target])
            - self.own_reported[host][target]
            + self.own_in_flight[host][target]
        )

    def see(self, host: int, target: int) -> TargetLoad:
        """Return a target as *host* sees it."""
        items = (
            self.reported[target][1]
            - self.own_reported_items[host][target]
            + self.own_items[host][target]
        )
        calls = self.load(host, target) - items
        return TargetLoad(calls, items, self.shape.slots, self.paces[target])

    def weigh_locations(self, host: int) -> list[float]:
        """Return a host's weight of each target by failure domain."""
        home_domain = host % DOMAINS
        return [
            self.strategy.home_weight if index % DOMAINS == home_domain else 1.0
            for index in range(len(self.targets))
        ]

    def send(self, now: float, work: Work) -> None:
        """Send a call or item to the target chosen for it."""
        self.record_change(now, work, 1)
        work.started = None
        self.targets[work.target].waiting.append(work)
        self.fill(now, work.target)

    def fill(self, now: float, index: int) -> None:
        """Start waiting work at a target while it has free slots."""
        target = self.targets[index]
        while target.waiting and len(target.running) < self.shape.slots:
            work = target.waiting.popleft()
            work.started = now
            work.run_number = next(self.numbers)
            target.running.append(work)
            if not work.is_item:
                wait = self.find_end(index, now, FIRST_TOKEN_S) - work.arrived
                self.figures.calls += 1
                self.figures.late += wait > LATE_FIRST_TOKEN_S
            end = self.find_end(index, now, work.remaining_s)
            heapq.heappush(self.events, (end, work.run_number, "end", work))

    def end(self, now: float, work: Work, run_number: int) -> None:
        """End a run, unless it was preempted before."""
        target = self.targets[work.target]
        if work.run_number != run_number or work not in target.running:
            return
        target.running.remove(work)
        self.record_change(now, work, -1)
        if work.is_item:
            self.figures.done += 1
            in_time = now - work.arrived <= DUE_S <= self.shape.length_s - work.arrived
            self.figures.done_in_time += in_time
            self.figures.item_seconds.append(now - work.arrived)
        self.fill(now, work.target)

    def preempt_items(self, now: float) -> None:
        """Preempt items at targets that have too much work in flight."""
        strategy = self.strategy
        limit = find_preemption_limit(self.shape.slots, self.rate) - strategy.ahead
        for index, (calls, items) in enumerate(self.reported):
            if now - self.preempted_at[index] < self.shape.delay_s + 0.03:
                continue
            count = count_items_to_preempt(calls, items, limit, patient=strategy.patient)
            if not count:
                continue
            for held in strategy.pick(self.list_preemptible(index, now), count, self.rng):
                self.preempted_at[index] = now
                self.preempt(now, held.work)

    def list_preemptible(self, index: int, now: float) -> list[Held]:
        """Return the items at a target that may be preempted."""
        speed = self.shape.speeds[index % len(self.shape.speeds)]
        found = []
        target = self.targets[index]
        for work in (*target.waiting, *target.running):
            if not work.is_item:
                continue
            begun = now if work.started is None else work.started
            needed_s = (work.remaining_s - self.work_between(index, begun, now)) / speed
            left_s = work.arrived + DUE_S - now
            must_stay = self.strategy.exempts_due and 0 < left_s < needed_s + DUE_MARGIN_S
            if needed_s > self.strategy.near_end_s and not must_stay:
                found.append(Held(work, (left_s < 0, work.arrived), needed_s))
        return found

    def preempt(self, now: float, work: Work) -> None:
        """Remove an item from its target; it resumes later with the time that remains."""
        target = self.targets[work.target]
        if work.started is None:
            target.waiting.remove(work)
        else:
            target.running.remove(work)
            work.remaining_s -= self.work_between(work.target, work.started, now)
            self.figures.preemptions += 1
        self.record_change(now, work, -1)
        heapq.heappush(self.events, (now + ITEM_RETRY_S, next(self.numbers), "open", work))
        self.fill(now, work.target)

    def feed(self, now: float) -> None:
        """Start open items of each host in the slots that all hosts together leave free."""
        most = find_start_limit(self.shape.slots, self.rate) - (self.strategy.reserved - 1)
        waiting = sum(map(len, self.open_items))
        for host, items in enumerate(self.open_items):
            if not items:
                continue
            items.sort(key=lambda work: (now - work.arrived > DUE_S, work.arrived))
            free = [most - self.load(host, index) for index in range(len(self.targets))]
            spare = sum(max(0, row) for row in free)
            count = allot_spare_slots(spare, len(items), waiting - len(items), self.rng)
            for _ in range(min(count, len(items))):
                weights = [
                    max(0, row) ** 2 * pace**self.strategy.item_pace_power
                    for row, pace in zip(free, self.paces, strict=True)
                ]
                if not any(weights):
                    break
                index = self.rng.choices(range(len(free)), weights)[0]
                free[index] = 0
                work = items.pop(0)
                work.target = index
                self.send(now, work)

    def call(self, now: float, host: int) -> None:
        """Let a call arrive at a host and send it to a target."""
        work = Work(host, CALL_S * self.arrivals.uniform(0.6, 1.4), False, now)
        if self.strategy.compare is not None:
            work.target = self.choose_sampled(host, self.strategy.compare)
        elif self.strategy.choose is None:
            work.target = self.choose_as_gradepoint(host)
        else:
            slots = float(self.shape.slots)
            free = [slots - self.load(host, index) for index in range(len(self.targets))]
            work.target = self.strategy.choose(free, self.weigh_locations(host), self.rng)
        self.send(now, work)

    def choose_sampled(self, host: int, compare: Compare) -> int:
        """Return the target that *compare* takes of a sample."""
        indexes = list(range(len(self.targets)))
        drawn = indexes
        strategy = self.strategy
        uneven = any(pace != 1.0 for pace in self.paces)
        count = strategy.uneven_sampled if uneven and strategy.uneven_sampled else strategy.sampled
        if count < len(indexes):
            weights = [
                weight * pace**strategy.draw_pace_power
                for weight, pace in zip(self.weigh_locations(host), self.paces, strict=True)
            ]
            drawn = sample_weighted(indexes, weights, count, self.rng)
        else:
            self.rng.shuffle(drawn)
        return drawn[compare([self.see(host, index) for index in drawn])]

    def choose_as_gradepoint(self, host: int) -> int:
        """Return the target that gradepoint's own decision takes with the knowledge of *host*."""
        for index, target in enumerate(self.listed):
            target.in_flight = self.own_in_flight[host][index]
        numbers = {target.id: index for index, target in enumerate(self.listed)}

        def elsewhere(target: TargetId) -> int:
            index = numbers[target]
            return sum(self.reported[index]) - self.own_reported[host][index]

        found = choose_target(self.listed, f"d{host % DOMAINS}", (), elsewhere, self.rng)
        assert found is not None
        return numbers[found.id]

    def handle(self, now: float, kind: str, work: Work) -> None:
        """Handle an event of another kind, which extensions of this replay schedule."""

    def run(self) -> Figures:
        """Simulate the load to its end."""
        now = next_call = next_job = next_feed = next_preemption_check = 0.0
        next_paces = 0.0
        while now < self.shape.length_s:
            due = self.events[0][0] if self.events else float("inf")
            now = min(due, next_call, next_job, next_feed, next_preemption_check)
            self.apply_updates(now)
            if now >= next_paces:
                self.measure_paces(now)
                next_paces = now + SAMPLE_S
            if now == due:
                _, run_number, kind, work = heapq.heappop(self.events)
                if kind == "end":
                    self.end(now, work, run_number)
                elif kind == "open":
                    self.open_items[work.host].append(work)
                else:
                    self.handle(now, kind, work)
            elif now == next_call:
                host = self.arrivals.choices(range(self.shape.hosts), self.weights)[0]
                self.call(now, host)
                next_call = now + self.arrivals.expovariate(self.shape.rate(now))
            elif now == next_job:
                host = self.jobs.randrange(self.shape.hosts)
                if now + DUE_S <= self.shape.length_s:
                    self.figures.due += self.shape.items
                for _ in range(self.shape.items):
                    work = Work(host, self.shape.item_s * self.jobs.uniform(0.6, 1.4), True, now)
                    self.open_items[host].append(work)
                next_job = now + self.jobs.expovariate(self.shape.jobs_per_s)
            elif now == next_feed:
                self.feed(now)
                next_feed = now + self.shape.delay_s + 0.03
            else:
                self.preempt_items(now)
                next_preemption_check = now + 0.03
        return self.figures


def replay(shape: Shape, strategy: Strategy, seed: int) -> Figures:
    """Replay a load with a strategy."""
    return Fleet(shape, strategy, seed).run()


def main() -> None:
    """Print a row for each shape and strategy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--way", choices=STRATEGIES, action="append")
    parser.add_argument("--shape", choices=SHAPES, action="append")
    arguments = parser.parse_args()
    for name in arguments.shape or SHAPES:
        for title in arguments.way or STRATEGIES:
            strategy = STRATEGIES[title]
            rows = [replay(SHAPES[name], strategy, seed) for seed in range(1, arguments.seeds + 1)]
            late = [100 * row.late / max(1, row.calls) for row in rows]
            preemptions = [row.preemptions / max(1, row.done) for row in rows]
            in_time = [100 * row.done_in_time / max(1, row.due) for row in rows]
            item_seconds = [mean(row.item_seconds) if row.item_seconds else 0.0 for row in rows]
            print(
                f"{name:24} {title:22} late {mean(late):6.2f}% ({min(late):.2f} to {max(late):.2f})"
                f"  cuts an item {mean(preemptions):5.2f}  an item took {mean(item_seconds):5.2f} s"
                f"  done {mean(row.done for row in rows):5.0f}  in time {mean(in_time):6.2f}%"
            )


if __name__ == "__main__":
    main()
