"""Pure decisions of the batch worker: where an item goes, whose gives way, who takes over."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import msgspec
import pytest

from gradepoint.gateway.targets import ListedState, ListedTarget, Target
from gradepoint.ids import HostName, Incarnation, ItemId, JobId, ServiceName, TargetId, TargetName
from gradepoint.jobs.adoption import ADOPTERS, Adoption, choose_adopter
from gradepoint.jobs.api import PAGE_BYTES, cut_page
from gradepoint.jobs.feeding import (
    batch_slots,
    choose_batch_target,
    count_spare_slots,
    share_of_slots,
)
from gradepoint.jobs.records import (
    Item,
    ItemEnd,
    JobState,
    Result,
    join_items,
    name_job,
    split_items,
)
from gradepoint.jobs.repository import StoredJob
from gradepoint.peers.presence import PRESENCE_PREFIX, HostPresence, HostTable
from gradepoint.peers.silence import SILENT_S, Silence
from gradepoint.standins.virtual_time import run_virtual

RNG = random.Random(1)
HOSTS = [Incarnation(f"h{number}") for number in range(4)]


def make_targets(count: int, slots: int = 8) -> list[Target]:
    """Return idle targets."""
    service = ServiceName("model")
    return [
        Target(ListedTarget(TargetName(f"t{n}"), service, f"t{n}:1", "a", slots, ListedState.READY))
        for n in range(count)
    ]


@pytest.mark.parametrize(("slots", "most"), [(1, 1), (2, 1), (4, 3), (8, 7), (16, 15)])
def test_batch_leaves_slots_free_and_never_queues(slots: int, most: int) -> None:
    assert batch_slots(slots) == most
    (target,) = make_targets(1, slots)
    placed = 0
    while choose_batch_target([target], lambda _: 0, (), RNG) is not None:
        target.in_flight += 1
        placed += 1
    assert placed == most


def test_hosts_that_see_the_same_free_slots_fill_different_targets() -> None:
    targets = make_targets(9)
    targets[0].in_flight = 6
    found = Counter(
        target.id
        for _ in range(900)
        if (target := choose_batch_target(targets, lambda _: 0, (), RNG)) is not None
    )
    assert len(found) == 9
    assert found.most_common(1)[0][1] < 200
    assert found[targets[0].id] < 20


def test_a_target_gets_one_item_of_a_host_until_the_others_heard_of_it() -> None:
    targets = make_targets(3)
    fed: set[TargetId] = set()
    for _ in range(3):
        found = choose_batch_target(targets, lambda _: 0, fed, RNG)
        assert found is not None
        fed.add(found.id)
    assert choose_batch_target(targets, lambda _: 0, fed, RNG) is None


def test_hosts_fill_the_spare_slots_together_and_not_each_by_itself() -> None:
    rng = random.Random(1)
    waiting = {Incarnation(f"h{number}"): 10 for number in range(16)}
    total = sum(waiting.values())
    started = [
        sum(share_of_slots(30, own, total - own, rng) for own in waiting.values())
        for _ in range(200)
    ]
    assert 29 < sum(started) / len(started) < 31
    assert max(started) <= 30 + len(waiting)
    assert share_of_slots(30, 0, 50, rng) == 0
    assert share_of_slots(7, 20, 0, rng) == 7
    targets = make_targets(2)
    assert count_spare_slots(targets, lambda _: 3) == 2 * (batch_slots(8) - 3)
    assert count_spare_slots(targets, lambda _: 20) == 0


def make_job(name: str, owner: Incarnation, *, ended: bool = False) -> StoredJob:
    """Return a job with one item."""
    state = JobState("r", "h", owner, 1, [ItemId("i")], [10], ended=ended)
    return StoredJob(JobId(name), state, 1, 1)


def test_each_job_of_a_lost_host_goes_to_one_of_a_few_live_hosts() -> None:
    live = {Incarnation(f"h{number}:x") for number in range(20)}
    lost = Incarnation("lost:x")
    adopters = {choose_adopter(JobId(f"j{n}"), lost, live) for n in range(60)}
    assert len(adopters) == ADOPTERS
    left = live - adopters
    assert choose_adopter(JobId("j1"), lost, left) in left


def make_adoption(*listed: str) -> Adoption:
    """Return the adoption of host h0 with *listed* other lives."""
    table = HostTable()
    for life in listed:
        host = life.partition(":")[0]
        row = HostPresence(HostName(host), Incarnation(life), "a", "127.0.0.1:1")
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
def test_a_job_has_no_host_where_its_owner_left_or_began_anew(
    owner: str, released: bool, orphan: bool
) -> None:
    """A host that is merely missing is waited for."""
    adoption = make_adoption("h1:now")
    state = msgspec.structs.replace(make_job("j", Incarnation(owner)).state, released=released)
    assert adoption.is_orphan(StoredJob(JobId("j"), state, 1, 1)) is orphan


def test_items_survive_their_parts() -> None:
    items = [Item(ItemId(f"i{n}"), "/p", [("a", "b")], bytes([n]) * 100, n) for n in range(50)]
    parts = split_items(items, 1000)
    assert len(parts) > 4 and max(map(len, parts)) < 1200
    assert join_items(parts) == items


def test_a_page_has_one_result_at_least_and_stays_small() -> None:
    rows = [Result(n, ItemEnd.COMPLETE, "x" * (PAGE_BYTES // 2)) for n in range(5)]
    assert len(cut_page(rows)) == 2
    assert len(cut_page([Result(0, ItemEnd.COMPLETE, "x" * (PAGE_BYTES * 2))])) == 1
    assert cut_page([]) == []


def test_job_names_fit_a_key() -> None:
    assert name_job("9c41-d0_7") == "9c41-d0_7"
    strange = [name_job(text) for text in ("a/b", "ä", "x" * 500, "", "a b")]
    assert len(set(strange)) == len(strange)
    assert all(len(name) < 110 and "/" not in name for name in strange)


def test_hosts_that_only_lapsed_are_waited_for_before_anyone_looks() -> None:
    async def main() -> None:
        adoption = make_adoption("h1:now")
        lost = Incarnation("h2:now")
        adoption.note_lost(lost)
        row = HostPresence(HostName("h2"), lost, "a", "127.0.0.1:1")
        adoption.hosts.put(PRESENCE_PREFIX + "h2", msgspec.json.encode(row))
        assert not await adoption._has_reason()
        adoption.note_lost(lost)
        adoption.hosts.remove(PRESENCE_PREFIX + "h2")
        assert await adoption._has_reason()
        adoption.look()
        assert await adoption._has_reason()

    run_virtual(main())


def test_a_listed_host_that_is_silent_is_lost_and_adopts_nothing() -> None:
    adoption = make_adoption("h1:a", "h2:b")
    silent = Incarnation("h1:a")
    assert not adoption.is_lost(silent)
    adoption.note_silent({silent})
    assert adoption.is_lost(silent) and silent in adoption.lost
    assert adoption.live == {Incarnation("h0:now"), Incarnation("h2:b")}
    adoption.note_silent(set())
    assert not adoption.is_lost(silent)


def test_a_job_whose_host_falls_silent_during_a_look_is_left_to_the_next_one() -> None:
    """A host fell silent while an own job was read anew. Since when its job had been without a host
    was not known, and the fault ended the look for all jobs that came after it.
    """
    silent = Incarnation("h1:a")

    class Store:
        """Lists jobs of this host and of one that falls silent meanwhile."""

        async def list_jobs(self) -> list[StoredJob]:
            """Return them."""
            rows = [make_job("own", Incarnation("h0:now")), *others]
            return [StoredJob(row.id, row.state, 1, 1) for row in rows]

    async def take(_: StoredJob) -> None:
        adoption.note_silent({silent})

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
    adoption.repository, adoption.remind = store, nothing
    adoption.worker = type("Worker", (), {"take": staticmethod(take)})()  # type: ignore[assignment]
    assert run_virtual(adoption.sweep())


def test_silence_counts_after_a_while_and_not_where_this_host_is_cut_off() -> None:
    lives = {Incarnation(f"h{number}") for number in range(4)}
    gone = Incarnation("h0")
    silence = Silence()
    assert not silence.update(lives, lives - {gone}, 1.0)
    assert silence.update(lives, lives - {gone}, 1.0 + SILENT_S) == {gone}
    assert not silence.update(lives, {gone}, 9.0)
    assert silence.isolated and not silence.lost(99.0)
    assert not silence.update(lives, lives, 9.5)
    assert not silence.isolated and not silence.since
