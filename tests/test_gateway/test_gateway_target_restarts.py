"""Tests of targets that restart under the same name, and of unreadable target entries."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from bench.platform.target import TargetFault, TargetStandin
from gradepoint.gateway.targets import REPLACED_RETRY_S, TargetSet
from gradepoint.ids import Incarnation, TargetId, TargetName
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Digest, Sums, number_target
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from tests.support.crasher import TargetCrasher
from tests.support.platform import Deployment, run_in_virtual_time, until
from tests.support.targets import SERVICE, listed_target

UNREADABLE = [b"", b"\xff\xfe", b"[]", b'{"service": "model"}', b'{"service": "\xff"}']


def test_restarted_target_is_a_new_incarnation() -> None:
    replaced: list[TargetId] = []
    targets = TargetSet(last_resort_s=1.5, on_replaced=lambda former: replaced.append(former.id))
    targets.put(listed_target("t0", born_ms=1))
    former = targets.by_name[TargetName("t0")]
    former.begin()
    former.record_failure("refused", unreachable=True)
    targets.put(listed_target("t0", born_ms=2))
    target = targets.by_name[TargetName("t0")]
    assert replaced == [former.id]
    assert target.id != former.id and list(targets.by_id) == [target.id]
    assert (target.in_flight, target.health.ejected_until) == (0, 0.0)
    assert targets.candidates(SERVICE, 0.0) == [target]
    former.end()
    assert target.in_flight == 0
    # Results that other hosts report of the former incarnation do not count for the new one.
    targets.record_remote_results(number_target(former.id), 0, 50)
    assert target.health.ejected_until == 0.0


def test_late_notice_of_restart_replaces_vanished_incarnation() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.put(listed_target("t0", born_ms=1))
    targets.mark_vanished(TargetName("t0"), 0.0)
    targets.replace([listed_target("t0", born_ms=2)], 0.5)
    targets.sweep(9.0)
    assert [t.listed.born_ms for t in targets.candidates(SERVICE, 9.0)] == [2]


def test_unreadable_entry_excludes_target_until_readable() -> None:
    targets = TargetSet(last_resort_s=1.5)
    targets.put(listed_target("t0", born_ms=1))
    targets.mark_unreadable(TargetName("t0"))
    assert not targets.candidates(SERVICE, 0.0)
    targets.mark_vanished(TargetName("t0"), 0.0)
    assert not targets.candidates(SERVICE, 0.1)
    targets.put(listed_target("t0", born_ms=1))
    assert [t.name for t in targets.candidates(SERVICE, 0.2)] == ["t0"]
    targets.replace([listed_target("t1")], 1.0, [TargetName("t0")])
    assert [t.name for t in targets.candidates(SERVICE, 1.0)] == ["t1"]


def test_restart_clears_ejection_and_occupancy() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=0)
        target = TargetStandin("t0", started_ms=1)
        await deployment.add_target(target)
        gateway = deployment.gateways[0]
        targets = gateway.targets
        await until(lambda: TargetName("t0") in targets.by_name)
        target.faults = [TargetFault.ERROR]
        former = targets.by_name[TargetName("t0")]
        for _ in range(20):
            former.record_failure("broken")
        occupied = {number_target(former.id): 100}
        sums = Sums(Incarnation("another:1"), occupied, {}, 0, {})
        raw = msgspec.Raw(msgspec.msgpack.encode(sums))
        gateway.occupancy.receive(Digest(DATAGRAM_FORMAT, 0, raw))
        assert gateway.occupancy.in_flight(former.id) == 100
        target.faults, target.started_ms = [], 2
        deployment.store.put("servers/t0", target.entry())
        await until(lambda: targets.by_name[TargetName("t0")].listed.born_ms == 2)
        restarted = targets.by_name[TargetName("t0")]
        assert restarted.health.ejected_until == 0.0
        assert gateway.occupancy.in_flight(restarted.id) == 0
        answer = await deployment.call("/plain/x")
        assert answer.status == 200
        # The header carries the name of the target without this host's incarnation suffix.
        assert target.seen[-1].headers["x-target-instance"] == "t0"

    run_in_virtual_time(work)


def test_stream_resumes_on_next_incarnation_of_same_target() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=0)
        target = TargetStandin(
            "t0", started_ms=1, events=6, event_interval_s=0.1, faults=[TargetFault.CUT]
        )
        await deployment.add_target(target)
        targets = deployment.gateways[0].targets
        await until(lambda: TargetName("t0") in targets.by_name)
        former = targets.by_name[TargetName("t0")]

        async def restart() -> None:
            await until(lambda: target.working > 0)
            target.faults, target.started_ms = [], 2
            deployment.store.put("servers/t0", target.entry())
            await until(lambda: targets.by_name[TargetName("t0")] is not former)

        answer, _ = await asyncio.gather(deployment.call("/resume/x"), restart())
        assert (answer.status, answer.broken) == (200, False)
        assert len(target.seen) == 2

    run_in_virtual_time(work)


@pytest.mark.parametrize("raw", UNREADABLE)
def test_unreadable_store_entry_affects_only_its_target(raw: bytes) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=2)
        deployment.store.put("servers/t0", raw)
        deployment.store.put("servers/never-seen", raw)
        for gateway in deployment.gateways:
            targets = gateway.targets
            await until(
                lambda targets=targets: [t.name for t in targets.working(0.0)] == ["t1"]  # type: ignore[misc]
            )
        for _ in range(6):
            assert (await deployment.call("/plain/x")).status == 200
        assert not deployment.targets[0].seen
        # A host that starts, and a full read of the store, give the same result.
        late = await deployment.add_gateway("late")
        assert [t.name for t in late.targets.working(0.0)] == ["t1"]
        await late.refresh_after_stall()
        assert [t.name for t in late.targets.working(0.0)] == ["t1"]
        # Updates are still received, including those of the unreadable entry.
        deployment.store.put("servers/t0", deployment.targets[0].entry())
        for gateway in deployment.gateways:
            targets = gateway.targets
            await until(lambda targets=targets: len(targets.working(0.0)) == 2)  # type: ignore[misc]

    run_in_virtual_time(work)


def test_target_with_a_newer_one_at_its_address_gets_no_calls() -> None:
    """Items were sent to the former incarnation until its row expired, 0.3 s apart."""
    targets = TargetSet(last_resort_s=1.5)
    targets.replace([listed_target("a", address="t:1"), listed_target("b", address="t:2")], 0.0)
    targets.add(listed_target("c", address="t:1"), 1.0)
    assert {t.name for t in targets.candidates(SERVICE, 1.1)} == {"b", "c"}
    assert {t.name for t in targets.candidates(SERVICE, 1.1 + REPLACED_RETRY_S)} == {"a", "b", "c"}
    targets.mark_vanished(TargetName("a"), 2.0)
    targets.sweep(4.0)
    assert list(targets.by_address["t:1"]) == [targets.by_name[TargetName("c")]]


def test_answer_of_another_incarnation_tells_which_of_two_rows_is_current() -> None:
    # A host that reads the whole list cannot tell which of the rows is older.
    async def main() -> None:
        targets = TargetSet(last_resort_s=1.5)
        rows = [listed_target("a", address="t:1"), listed_target("b", address="t:1")]
        targets.replace(rows, 0.0)
        now = asyncio.get_running_loop().time()
        assert {t.name for t in targets.candidates(SERVICE, now)} == {"a", "b"}
        for stale, current in (("b", "a"), ("a", "b")):
            targets.note_other_instance(targets.by_name[TargetName(stale)])
            assert [t.name for t in targets.candidates(SERVICE, now)] == [current]

    run_virtual(main())


def test_other_instance_without_a_sign_of_a_crash_excludes_no_target() -> None:
    # Targets also reject calls whose caller expects another software version.
    targets = TargetSet(last_resort_s=1.5)
    targets.add(listed_target("a", address="t:1"), 0.0)
    target = targets.by_name[TargetName("a")]
    targets.note_other_instance(target)
    assert targets.candidates(SERVICE, 0.0) == [target]
    target.crash_doubted = True
    targets.note_other_instance(target)
    assert not targets.candidates(SERVICE, monotonic())


def test_crashed_target_that_restarts_under_another_name_rejects_few_items() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=0)
        crasher = TargetCrasher(deployment, restart_delay_s=0.4)
        crasher.renames_on_restart = True
        await crasher.add_targets(6, events=20, event_interval_s=0.1)
        assert (await deployment.submit("job", 24)).status == 202
        rng = random.Random(1)
        for _ in range(10):
            crasher.crash(rng.choice(deployment.targets))
            await asyncio.sleep(0.4)
        await deployment.read_all_results("job")
        requests = [request for target in deployment.targets for request in target.seen]
        runs = sum(target.ran.total() for target in deployment.targets)
        crashes = sum(crasher.crash_counts.values())
        assert len(requests) - runs <= crashes

    run_in_virtual_time(work)
