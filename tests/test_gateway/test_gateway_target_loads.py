"""Tests of the paces and loads of targets that hosts exchange, and of the choice by them."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.crest_replay import SHAPES, STRATEGIES, replay
from gradepoint.gateway.answer_progress import MAX_SAMPLE_GAP_S, AnswerProgress, count_events
from gradepoint.gateway.choice import choose_target
from gradepoint.gateway.target_loads import DEFAULT_CALL_S, TargetLoads
from gradepoint.gateway.targets import TargetSet
from gradepoint.ids import Incarnation, TargetId
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Digest, Message, Report, number_target
from gradepoint.peers.occupancy import Occupancy, ReceivedGaps
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.datagram_net import DatagramNet
from tests.support.targets import SERVICE, listed_target

TARGETS = 6
GAP_S = 0.033
CHANGE_S = 0.15
"""Mean seconds between two changes of what a host has in flight, as in the known deployments."""
NAMES = [TargetId(f"t{number}") for number in range(TARGETS)]


class Host:
    """A host that has answers of some targets running all the time."""

    def __init__(self, net: DatagramNet, name: str, rng: random.Random) -> None:
        self.incarnation, self.rng = Incarnation(f"{name}:life"), rng
        self.targets = TargetSet(1.0)
        self.targets.replace([listed_target(target) for target in NAMES], 0.0)
        held = (NAMES[(int(name[1:]) + step) % TARGETS] for step in (0, 2, 3))
        self.calls = {number_target(target): 1 for target in held}
        self.answers = [
            SimpleNamespace(target=target, progress=AnswerProgress())
            for number, target in self.targets.by_number.items()
            if number in self.calls
        ]
        for target in self.targets.by_id.values():
            target.in_flight = self.calls.get(number_target(target.id), 0)
        self.waiting = 0
        self.occupancy = Occupancy(
            net.add(name, self.incarnation, self.take),
            self.incarnation,
            self.report,
            lambda *_: None,
            Aggregation(self.targets.find_slots),
        )
        self.loads = TargetLoads(self.targets, self.occupancy, lambda _: 0)
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
        ]

    def report(self, number: int) -> Report:
        """Return this host's report."""
        paces = count_events(self.answers, monotonic())  # type: ignore[arg-type]
        return Report(
            DATAGRAM_FORMAT,
            self.incarnation,
            number,
            self.calls,
            {},
            self.waiting,
            {},
            paces=paces,
        )

    def take(self, message: Message, address: str) -> None:
        """Process a datagram."""
        if isinstance(message, Digest):
            self.occupancy.receive(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def receive_events(self, slowness: Callable[[TargetId, float], float]) -> None:
        """Receive events of all answers, and report changes now and then."""

        async def receive(answer: SimpleNamespace) -> None:
            await asyncio.sleep(self.rng.uniform(0.0, GAP_S))
            while True:
                answer.progress.events += 1
                await asyncio.sleep(GAP_S * slowness(answer.target.id, monotonic()))

        async def change() -> None:
            while True:
                await asyncio.sleep(self.rng.expovariate(1 / CHANGE_S))
                self.waiting += 1
                self.occupancy.changed.set()

        self.tasks += [asyncio.ensure_future(receive(answer)) for answer in self.answers]
        self.tasks.append(asyncio.ensure_future(change()))


async def start(slowness: Callable[[TargetId, float], float]) -> list[Host]:
    """Return hosts that have exchanged paces for three seconds."""
    net, rng = DatagramNet(), random.Random(1)
    hosts = [Host(net, f"h{number}", rng) for number in range(12)]
    for host in hosts:
        await host.receive_events(slowness)
    await asyncio.sleep(3.0)
    return hosts


def find_share(host: Host, target: TargetId) -> float:
    """Return the share of 400 calls of a host that it sends to *target*."""
    candidates = host.targets.candidates(SERVICE, monotonic())
    remote, rng = host.occupancy.in_flight, random.Random(1)
    chosen = (choose_target(candidates, "a", (), remote, rng, (), host.loads) for _ in range(400))
    return Counter(found.id for found in chosen if found is not None)[target] / 400


@pytest.mark.parametrize("phase_s", [0.0, 0.07, 0.14])
def test_slowed_target_loses_work_within_a_second_and_gets_it_back(phase_s: float) -> None:
    async def main() -> None:
        slow_at, usual_at = monotonic() + 3.0 + phase_s, monotonic() + 6.0

        def slowness(target: TargetId, now: float) -> float:
            return 3.0 if target == NAMES[0] and slow_at <= now < usual_at else 1.0

        hosts = await start(slowness)
        await asyncio.sleep(phase_s)
        shares = [find_share(host, NAMES[0]) for host in hosts]
        assert all(host.loads.pace(NAMES[0]) == 1.0 for host in hosts)
        await asyncio.sleep(1.0)
        for host, share in zip(hosts, shares, strict=True):
            assert host.loads.pace(NAMES[0]) < 0.75
            assert find_share(host, NAMES[0]) < share / 2
        await asyncio.sleep(1.0)
        assert all(0.3 < host.loads.pace(NAMES[0]) < 0.4 for host in hosts)
        await asyncio.sleep(1.0 - phase_s + 1.0)
        for host, share in zip(hosts, shares, strict=True):
            assert host.loads.pace(NAMES[0]) == 1.0
            assert find_share(host, NAMES[0]) == share
            for task in host.tasks:
                task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("phase_s", [0.0, 0.07, 0.14])
@pytest.mark.parametrize("slowness_in_pause", [2.5, 1000.0])
def test_pause_of_half_a_second_is_no_new_speed(slowness_in_pause: float, phase_s: float) -> None:
    async def main() -> None:
        pause_at = monotonic() + 3.0 + phase_s

        def slowness(target: TargetId, now: float) -> float:
            if target == NAMES[0] and pause_at <= now < pause_at + 0.5:
                return min(slowness_in_pause, (pause_at + 0.5 - now) / GAP_S + 1.0)
            return 1.0

        hosts = await start(slowness)
        for _ in range(60):
            await asyncio.sleep(0.05)
            assert all(host.loads.pace(name) == 1.0 for host in hosts for name in NAMES)
        for host in hosts:
            for task in host.tasks:
                task.cancel()

    run_virtual(main())


def make_loads(gaps: dict[TargetId, int], *, enabled: bool = True) -> TargetLoads:
    """Return the loads of a host that has just received *gaps* and knows no load of others."""
    targets = TargetSet(1.0)
    targets.replace([listed_target(name) for name in NAMES], 0.0)
    received = ReceivedGaps({number_target(name): gap for name, gap in gaps.items()}, monotonic())
    sums = SimpleNamespace(
        find_gaps=lambda: received,
        in_flight=lambda _: 0,
        items_in_flight=lambda _: 0,
        digest_age_s=lambda: 0.0,
    )
    return TargetLoads(targets, sums, lambda _: 0, enabled=enabled)  # type: ignore[arg-type]


@given(
    st.lists(st.floats(0.93, 1.07), min_size=TARGETS, max_size=TARGETS),
    st.lists(st.integers(0, 12), min_size=TARGETS, max_size=TARGETS),
    st.integers(0, 1000),
)
def test_choice_among_targets_of_equal_pace_is_by_load_alone(
    noise: list[float], in_flight: list[int], seed: int
) -> None:
    loads = make_loads({name: round(330 * n) for name, n in zip(NAMES, noise, strict=True)})
    candidates = loads.targets.candidates(SERVICE, 0.0)
    for target, number in zip(candidates, in_flight, strict=True):
        target.in_flight = number
    with_model, without = random.Random(seed), random.Random(seed)
    for _ in range(5):
        found = choose_target(candidates, "a", (), lambda _: 0, with_model, (), loads)
        assert found is choose_target(candidates, "a", (), lambda _: 0, without)
    assert with_model.getstate() == without.getstate()


def test_new_incarnation_starts_at_the_usual_pace() -> None:
    loads = make_loads({name: 990 if name == NAMES[0] else 330 for name in NAMES})
    assert loads.pace(NAMES[0]) == pytest.approx(1 / 3)
    loads.targets.put(listed_target(NAMES[0], born_ms=5))
    assert loads.pace(loads.targets.by_name[listed_target(NAMES[0]).name].id) == 1.0


def test_setting_turns_paces_off() -> None:
    loads = make_loads({name: 990 if name == NAMES[0] else 330 for name in NAMES}, enabled=False)
    assert not loads.find_unusual_paces()


def test_room_and_occupancy_count_slots_by_pace() -> None:
    loads = make_loads({name: 660 if name == NAMES[0] else 330 for name in NAMES})
    loads.targets.by_id[NAMES[1]].in_flight = 11
    assert loads.count_room(SERVICE) == 8 * 5.5 - 11
    assert loads.occupancy(SERVICE) == 11 / (8 * 5.5)
    loads.targets.by_id[NAMES[2]].in_flight = 99
    assert loads.count_room(SERVICE) == 0.0
    loads.targets.replace([], 0.0)
    loads.targets.sweep(2.0)
    assert loads.occupancy(SERVICE) == float("inf")


def test_mean_call_time_is_that_of_a_target_of_usual_pace() -> None:
    loads = make_loads({name: 660 if name == NAMES[0] else 330 for name in NAMES})
    assert loads.call_s(SERVICE) == DEFAULT_CALL_S
    for _ in range(100):
        loads.note_call(loads.targets.by_id[NAMES[0]], 1.2)
        loads.note_call(loads.targets.by_id[NAMES[1]], 0.6)
    assert loads.call_s(SERVICE) == pytest.approx(0.6)


def test_suspended_host_and_unread_answers_do_not_make_targets_look_slow() -> None:
    progress = AnswerProgress()
    assert progress.sample(1.0) is None
    progress.events = 1
    assert progress.sample(1.1) is None
    progress.events = 4
    assert progress.sample(1.2) == (3, pytest.approx(0.1))
    assert progress.sample(1.3 + MAX_SAMPLE_GAP_S) is None
    assert progress.sample(2.1) == (0, pytest.approx(0.05))
    assert progress.sample(2.3) is None, "nobody reads this answer, or it has failed"


def count_late(way: str, shape: str) -> float:
    """Return the late calls per 100 of a strategy with seeds 1 and 2."""
    rows = [replay(SHAPES[shape], STRATEGIES[way], seed) for seed in (1, 2)]
    return 100 * sum(row.late for row in rows) / sum(row.calls for row in rows)


@pytest.mark.parametrize(("shape", "most"), [("A", 5.0), ("A, a sixth gone", 12.0)])
def test_uneven_targets_make_few_late_calls(shape: str, most: float) -> None:
    late = count_late("items by pace", shape)
    assert late < most
    assert late < 0.7 * count_late("the product's", shape)
