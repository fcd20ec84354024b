"""Tests of the batch worker's decisions: choice of targets, shares of slots, choice of adopters."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gradepoint.cmd.gateway_program import PLATFORM
from gradepoint.gateway.targets import ListedState, ListedTarget, Target
from gradepoint.ids import HostName, Incarnation, ItemId, JobId, ServiceName, TargetId, TargetName
from gradepoint.jobs.adoption import ADOPTERS_PER_HOST, Adoption, choose_adopter
from gradepoint.jobs.api import (
    MAX_CACHED_BYTES,
    MAX_CACHED_JOBS,
    PAGE_BYTES,
    JobView,
    evict_oldest,
    truncate_page,
)
from gradepoint.jobs.calls import ResultPage
from gradepoint.jobs.owned import OwnedJob
from gradepoint.jobs.records import (
    Item,
    ItemOutcome,
    JobState,
    PartialText,
    Result,
    join_items,
    make_job_id,
    split_items,
)
from gradepoint.jobs.repository import StoredJob
from gradepoint.jobs.slot_sharing import (
    allot_spare_slots,
    choose_batch_target,
    count_spare_slots,
)
from gradepoint.jobs.worker import NOT_YET_CREATED, RunningItem, Worker
from gradepoint.peers.presence import PRESENCE_PREFIX, HostPresence, HostTable
from gradepoint.peers.silence import SILENT_S, Silence
from gradepoint.routing.batch_headroom import find_start_limit
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic

RNG = random.Random(1)
HOSTS = [Incarnation(f"h{number}") for number in range(4)]


def make_targets(count: int, slots: int = 8) -> list[Target]:
    """Return *count* idle targets with *slots* slots each."""
    service = ServiceName("model")
    return [
        Target(ListedTarget(TargetName(f"t{n}"), service, f"t{n}:1", "a", slots, ListedState.READY))
        for n in range(count)
    ]


def find_limit(target: Target) -> int:
    """Return the slots that items may fill while the rate of calls is unknown."""
    return find_start_limit(target.listed.slots, None)


@pytest.mark.parametrize(("slots", "most"), [(1, 1), (2, 1), (4, 3), (8, 7), (16, 15)])
def test_batch_items_leave_reserved_slots_free(slots: int, most: int) -> None:
    """Without the reserve, a caller would have to queue behind batch items."""
    assert find_limit(make_targets(1, slots)[0]) == most
    (target,) = make_targets(1, slots)
    placed = 0
    while choose_batch_target([target], lambda _: 0, find_limit, (), RNG) is not None:
        target.in_flight += 1
        placed += 1
    assert placed == most


def test_items_are_spread_over_targets_with_free_slots() -> None:
    """All hosts see the same free slots. If each took the emptiest target, they would overfill it
    before they hear of each other.
    """
    targets = make_targets(9)
    targets[0].in_flight = 6
    found = Counter(
        target.id
        for _ in range(900)
        if (target := choose_batch_target(targets, lambda _: 0, find_limit, (), RNG)) is not None
    )
    assert len(found) == 9
    assert found.most_common(1)[0][1] < 200
    assert found[targets[0].id] < 20


def test_excluded_targets_get_no_further_item() -> None:
    """Other hosts have not heard of the item there yet; a second one could overfill the target."""
    targets = make_targets(3)
    fed: set[TargetId] = set()
    for _ in range(3):
        found = choose_batch_target(targets, lambda _: 0, find_limit, fed, RNG)
        assert found is not None
        fed.add(found.id)
    assert choose_batch_target(targets, lambda _: 0, find_limit, fed, RNG) is None


def test_hosts_share_spare_slots_by_weight() -> None:
    """If each host filled all spare slots by itself, most items would be preempted at once."""
    rng = random.Random(1)
    waiting = {Incarnation(f"h{number}"): 10 for number in range(16)}
    total = sum(waiting.values())
    started = [
        sum(allot_spare_slots(30, own, total - own, rng) for own in waiting.values())
        for _ in range(200)
    ]
    assert 29 < sum(started) / len(started) < 31
    assert max(started) <= 30 + len(waiting)
    assert allot_spare_slots(30, 0, 50, rng) == 0
    assert allot_spare_slots(7, 20, 0, rng) == 7
    targets = make_targets(2)
    assert count_spare_slots(targets, lambda _: 3, find_limit) == 2 * (7 - 3)
    assert count_spare_slots(targets, lambda _: 20, find_limit) == 0


def test_late_jobs_count_as_the_least_urgent_ones() -> None:
    """Aggregators choose the hosts that preempt by this; late items must not keep their slots."""
    config: Any = SimpleNamespace(
        version=1, find_route_by_name=lambda _: SimpleNamespace(due_s=18.0)
    )
    stub: Any = None
    worker = Worker(stub, stub, HOSTS[0], lambda: config, stub, stub, stub, stub, stub, stub, 1)
    now = monotonic()
    jobs = [
        OwnedJob(msgspec.structs.replace(make_job("j", HOSTS[0]), created=created), [], [], at)
        for created, at in ((7, now), (9, now), (3, now - 60.0))
    ]
    one, two = TargetId("one"), TargetId("two")
    for job, target in zip(jobs, (one, one, two), strict=True):
        worker.running.append(RunningItem(job, 0, target, now))
    assert worker.find_newest_jobs() == {one: 9, two: NOT_YET_CREATED}


def test_items_that_cannot_end_in_time_start_last() -> None:
    """With more work than slots, all jobs of a backlog ended shortly after their due time."""
    config: Any = SimpleNamespace(
        version=1, find_route_by_name=lambda _: SimpleNamespace(due_s=18.0)
    )
    stub: Any = None
    worker = Worker(stub, stub, HOSTS[0], lambda: config, stub, stub, stub, stub, stub, stub, 1)
    worker.item_times.note_end(events=100, run_events=100, run_s=5.0)
    now = monotonic()
    items: Any = [None]
    for name, age_s in (("hopeless", 13.0), ("older", 9.0), ("younger", 2.0)):
        created = 100 - int(age_s)
        stored = msgspec.structs.replace(make_job(name, HOSTS[0]), created=created)
        worker.jobs[JobId(name)] = OwnedJob(stored, items, [], now - age_s)
    assert list_starts(worker, now) == [("older", 0), ("younger", 0), ("hopeless", 0)]
    # An item that is nearly done keeps its place.
    former = worker.jobs[JobId("hopeless")]
    texts = {0: PartialText(90, ["text"] * 90)}
    worker.jobs[JobId("hopeless")] = OwnedJob(
        former.stored, items, [], former.accepted_at, partial=texts
    )
    assert list_starts(worker, now) == [("hopeless", 0), ("older", 0), ("younger", 0)]


def list_starts(worker: Worker, now: float) -> list[tuple[JobId, int]]:
    """Return the items that may start, in the order in which they start."""
    order = worker.order_startable(now)
    return [(items.job.id, index) for items in order for index in items.list_indices()]


def make_job(name: str, owner: Incarnation, *, ended: bool = False) -> StoredJob:
    """Return a stored job with one item, owned by *owner*."""
    state = JobState("r", "h", owner, 1, [ItemId("i")], [10], ended=ended)
    return StoredJob(JobId(name), state, 1, 1)


def test_jobs_of_lost_host_are_assigned_to_few_live_hosts() -> None:
    """If every host adopted jobs, each loss would make all hosts read all jobs."""
    live = {Incarnation(f"h{number}:x") for number in range(20)}
    lost = Incarnation("lost:x")
    adopters = {choose_adopter(JobId(f"j{n}"), lost, live) for n in range(60)}
    assert len(adopters) == ADOPTERS_PER_HOST
    left = live - adopters
    assert choose_adopter(JobId("j1"), lost, left) in left


def make_adoption(*listed: str) -> Adoption:
    """Return the adoption of host ``h0:now``, with the other incarnations *listed*."""
    table = HostTable()
    for incarnation in listed:
        host = incarnation.partition(":")[0]
        row = HostPresence(HostName(host), Incarnation(incarnation), "a", "127.0.0.1:1")
        table.put(PRESENCE_PREFIX + host, msgspec.json.encode(row))
    nothing: Any = None
    return Adoption(
        nothing, nothing, Incarnation("h0:now"), table, set, bool, bool, nothing, nothing
    )


@pytest.mark.parametrize(
    ("owner", "released", "orphan"),
    [
        ("h0:now", False, False),
        ("h0:now", True, True),
        ("h0:before", False, True),
        ("h1:now", False, False),
        ("h1:before", False, True),
        ("h2:gone", False, False),
    ],
)
def test_job_is_orphaned_if_released_or_owner_restarted(
    owner: str, released: bool, orphan: bool
) -> None:
    """A host that is only missing from the host list is given time to come back."""
    adoption = make_adoption("h1:now")
    state = msgspec.structs.replace(make_job("j", Incarnation(owner)).state, released=released)
    assert adoption.is_orphan(StoredJob(JobId("j"), state, 1, 1)) is orphan


def test_items_round_trip_through_parts() -> None:
    """A job whose items do not fit into one value must be read back unchanged from its parts."""
    items = [Item(ItemId(f"i{n}"), "/p", [("a", "b")], bytes([n]) * 100, n) for n in range(50)]
    parts = split_items(items, 1000)
    assert len(parts) > 4 and max(map(len, parts)) < 1200
    assert join_items(parts) == items


def test_page_has_at_least_one_result_and_bounded_size() -> None:
    """An empty page would keep a reader from ever getting past a large result."""
    ids = [ItemId(str(n)) for n in range(5)]
    rows = [Result(n, ItemOutcome.COMPLETE, "x" * (PAGE_BYTES // 2 - 20)) for n in range(5)]
    assert len(truncate_page(rows, ids)) == 2
    assert len(truncate_page([Result(0, ItemOutcome.COMPLETE, "x" * (PAGE_BYTES * 2))], ids)) == 1
    assert truncate_page([], ids) == []


@pytest.mark.parametrize("character", ["x", "ü", "\n", '"', "\x01", "\U0001f600"])
@pytest.mark.parametrize("id_bytes", [1, 3000])
def test_page_of_results_stays_within_one_megabyte(character: str, id_bytes: int) -> None:
    """The page was limited by the characters of the texts. In JSON, one character takes up to six
    bytes, and ids take their own share.
    """
    ids = [ItemId(f"{n:{id_bytes}}") for n in range(200)]
    rows = [Result(n, ItemOutcome.COMPLETE, character * 10_000) for n in range(200)]
    shown = truncate_page(rows, ids)
    raw = PLATFORM.job_dialect.encode_page(ResultPage(200, 0, shown, ids))
    assert 700_000 < len(raw) <= 1_000_000


def test_job_ids_are_safe_in_keys() -> None:
    """A slash or an overlong id from a client would reach other keys or be refused by the store."""
    assert make_job_id("9c41-d0_7") == "9c41-d0_7"
    strange = [make_job_id(text) for text in ("a/b", "ä", "x" * 500, "", "a b")]
    assert len(set(strange)) == len(strange)
    assert all(len(name) < 110 and "/" not in name for name in strange)


def test_no_sweep_if_lost_host_is_listed_again() -> None:
    """Presence entries may expire during a store outage although their hosts are alive."""

    async def main() -> None:
        adoption = make_adoption("h1:now")
        lost = Incarnation("h2:now")
        adoption.note_lost(lost)
        row = HostPresence(HostName("h2"), lost, "a", "127.0.0.1:1")
        adoption.hosts.put(PRESENCE_PREFIX + "h2", msgspec.json.encode(row))
        assert not await adoption._should_sweep()
        adoption.note_lost(lost)
        adoption.hosts.remove(PRESENCE_PREFIX + "h2")
        assert await adoption._should_sweep()
        adoption.request_sweep()
        assert await adoption._should_sweep()

    run_virtual(main())


def test_silent_listed_host_is_lost_and_adopts_nothing() -> None:
    """Jobs of a silent host must not wait for its lease, nor be assigned to it."""
    adoption = make_adoption("h1:a", "h2:b")
    silent = Incarnation("h1:a")
    assert not adoption.is_lost(silent)
    adoption.update_silent({silent})
    assert adoption.is_lost(silent) and silent in adoption.lost
    assert adoption.live == {Incarnation("h0:now"), Incarnation("h2:b")}
    adoption.update_silent(set())
    assert not adoption.is_lost(silent)


def test_job_orphaned_during_sweep_is_left_to_next_sweep() -> None:
    """A host falls silent while a sweep reads a job of this host. The jobs of the silent host then
    have no time since when they are orphaned, and a lookup without a default ended the sweep
    for all later jobs.
    """
    silent = Incarnation("h1:a")

    class Store:
        """Lists jobs of this host and of one that falls silent during the sweep."""

        async def list_jobs(self) -> list[StoredJob]:
            """Return a job of this host first, then the jobs of the other host."""
            rows = [make_job("own", Incarnation("h0:now")), *others]
            return [StoredJob(row.id, row.state, 1, 1) for row in rows]

    async def start_job(_: StoredJob) -> None:
        adoption.update_silent({silent})

    async def nothing(_: list[StoredJob]) -> None:
        pass

    adoption = make_adoption("h1:a", "h2:b")
    live = {Incarnation("h0:now"), Incarnation("h2:b")}
    others = [
        make_job(f"j{number}", silent)
        for number in range(9)
        if choose_adopter(JobId(f"j{number}"), silent, live) != adoption.own
    ]
    assert others
    store: Any = Store()
    adoption.repository, adoption.remind_owners = store, nothing
    adoption.worker = type("Worker", (), {"start_job": staticmethod(start_job)})()  # type: ignore[assignment]
    assert run_virtual(adoption.sweep())
    assert not adoption.unreadable.reasons


def test_silence_counts_after_delay_unless_isolated() -> None:
    """An isolated host hears nobody; it must not consider all other hosts lost."""
    incarnations = {Incarnation(f"h{number}") for number in range(4)}
    gone = Incarnation("h0")
    silence = Silence()
    assert not silence.update(incarnations, incarnations - {gone}, 1.0)
    assert silence.update(incarnations, incarnations - {gone}, 1.0 + SILENT_S) == {gone}
    assert not silence.update(incarnations, {gone}, 9.0)
    assert silence.isolated and not silence.lost(99.0)
    assert not silence.update(incarnations, incarnations, 9.5)
    assert not silence.isolated and not silence.since


def test_cache_of_finished_jobs_is_bounded_by_bytes() -> None:
    """The cache was bounded by jobs only, whatever the size of their texts."""
    cache: dict[JobId, JobView] = {}
    for number in range(8):
        row = Result(0, ItemOutcome.COMPLETE, str(number) * (MAX_CACHED_BYTES // 3))
        cache[JobId(str(number))] = JobView(1, [ItemId("a")], [row])
        evict_oldest(cache)
    assert list(cache) == ["6", "7"]
    row = Result(0, ItemOutcome.COMPLETE, "x" * MAX_CACHED_BYTES)
    cache[JobId("large")] = JobView(1, [ItemId("a")], [row])
    evict_oldest(cache)
    assert list(cache) == ["large"]
    for number in range(MAX_CACHED_JOBS * 2):
        cache[JobId(str(number))] = JobView(1, [ItemId("a")], [])
        evict_oldest(cache)
    assert len(cache) == MAX_CACHED_JOBS
