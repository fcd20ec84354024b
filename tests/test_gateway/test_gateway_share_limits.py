"""Fair shares over several hosts, rank of calls, and the operators' page about load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import pytest

from gradepoint.admin.client import AdminAnswer
from gradepoint.cmd.load import show_load
from gradepoint.gateway.load_page import LoadSources, answer_load
from gradepoint.gateway.organisations import Organisation, Organisations
from gradepoint.gateway.refusals import MAX_LABELS, OTHER_ORGANISATIONS, SHOWN_S, RecentRefusals
from gradepoint.gateway.share_limits import (
    MAX_ACCUMULATORS,
    ShareLimits,
    compute_room,
)
from gradepoint.gateway.targets import ListedState, ListedTarget, Target
from gradepoint.ids import (
    Incarnation,
    OrganisationName,
    OrganisationNumber,
    ServiceName,
    TargetId,
    TargetName,
)
from gradepoint.peers.aggregation import STALE_S, Aggregation
from gradepoint.peers.datagrams import DATAGRAM_FORMAT, Digest, Message, Report
from gradepoint.peers.occupancy import MAX_GAP_S, SHARES_LIFETIME_S, Occupancy
from gradepoint.platform.configuration import decode_configuration
from gradepoint.routing.admission import SHORTAGE_S
from gradepoint.standins.virtual_time import run_virtual
from tests.support.datagram_net import DatagramNet
from tests.support.platform import configuration, organisation, route

SERVICE = ServiceName("model")
LARGE, SMALL = OrganisationNumber(1), OrganisationNumber(2)
ROOM = 20.0


class Host:
    """A host with calls of organisations, its reports and its limits.

    :ivar hears_refusals: digests name refused requests of other hosts.
    """

    def __init__(self, net: DatagramNet, name: str) -> None:
        self.name, self.incarnation = name, Incarnation(f"{name}:1")
        self.in_flight: dict[OrganisationNumber, int] = {}
        self.hears_refusals = False
        self.occupancy = Occupancy(
            net.add(name, self.incarnation, self.take),
            self.incarnation,
            self.report,
            lambda _, __, ___: None,
            Aggregation(lambda _: None, find_room=lambda: ROOM),
        )
        self.limits = ShareLimits(
            self.occupancy.find_shares,
            lambda: self.occupancy.hears_shortage() or self.hears_refusals,
            lambda: self.in_flight,
            lambda _: 0.5,
            lambda: 0.0,
            self.occupancy.changed.set,
        )
        self.tasks = [
            asyncio.ensure_future(self.occupancy.run_reports(net.reachable)),
            asyncio.ensure_future(self.occupancy.run_digests()),
            asyncio.ensure_future(self.sweep()),
        ]

    def report(self, number: int) -> Report:
        demands = self.limits.find_demands()
        return Report(DATAGRAM_FORMAT, self.incarnation, number, {}, {}, 0, {}, demands=demands)

    def take(self, message: Message, address: str) -> None:
        if isinstance(message, Digest):
            self.occupancy.receive(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.occupancy.forget_silent()

    async def refuse(self, seconds: float, per_s: int = 10) -> None:
        """Refuse calls of the large organisation at a steady rate."""
        for _ in range(int(seconds * per_s)):
            self.limits.record_refusal(LARGE, SERVICE)
            await asyncio.sleep(1 / per_s)


def run_hosts(work: Callable[[DatagramNet, list[Host]], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        net = DatagramNet()
        hosts = [Host(net, f"h{number}") for number in range(6)]
        await asyncio.sleep(1.0)
        for host in hosts:
            host.in_flight = {LARGE: 6, SMALL: 1}
            host.hears_refusals = True
        await work(net, hosts)
        for task in [task for host in hosts for task in host.tasks]:
            task.cancel()

    run_virtual(main())


def test_shares_reach_all_hosts_in_a_shortage_and_end_with_it() -> None:
    async def work(net: DatagramNet, hosts: list[Host]) -> None:
        await hosts[0].refuse(2.0)
        # 36 calls and 10 refused calls per second of 0.5 s each: 41 slots wanted; the level is 14.
        assert {host.limits.find_shares()[LARGE] for host in hosts} <= {33, 34, 35}
        assert all(SMALL not in host.limits.find_shares() for host in hosts)
        admitted = [hosts[3].limits.allows(LARGE) for _ in range(100)]
        assert 33 <= sum(admitted) <= 35
        assert all(hosts[3].limits.allows(SMALL) for _ in range(10))
        for host in hosts:
            host.in_flight = {LARGE: 2, SMALL: 1}
            host.hears_refusals = False
        await asyncio.sleep(SHORTAGE_S + 3 * MAX_GAP_S)
        assert not any(host.limits.find_shares() or host.limits.check_shortage() for host in hosts)

    run_hosts(work)


def test_next_aggregator_limits_when_the_preferred_is_lost_in_a_shortage() -> None:
    async def work(net: DatagramNet, hosts: list[Host]) -> None:
        await hosts[0].refuse(2.0)
        first = hosts[0].occupancy.aggregators[0]
        net.silent.add(next(host.name for host in hosts if host.incarnation == first))
        others = [host for host in hosts if host.incarnation != first]
        for _ in range(20):
            await others[0].refuse(0.1)
            assert all(LARGE in host.limits.find_shares() for host in others)

    run_hosts(work)


def test_host_that_is_cut_off_limits_no_organisation() -> None:
    # Outdated shares would refuse calls after the shortage has ended.
    async def work(net: DatagramNet, hosts: list[Host]) -> None:
        await hosts[0].refuse(2.0)
        aggregators = hosts[0].occupancy.aggregators
        host = next(host for host in hosts if host.incarnation not in aggregators)
        net.silent.add(host.name)
        await asyncio.sleep(max(SHARES_LIFETIME_S, STALE_S) + 0.3)
        assert all(host.limits.allows(LARGE) for _ in range(20))

    run_hosts(work)


def test_restarted_host_limits_nobody_until_a_digest_arrives() -> None:
    async def work(net: DatagramNet, hosts: list[Host]) -> None:
        await hosts[0].refuse(2.0)
        net.remove("h5")
        for task in hosts[5].tasks:
            task.cancel()
        hosts[5] = Host(net, "h5")
        assert hosts[5].limits.allows(LARGE)
        await hosts[0].refuse(1.0)
        assert LARGE in hosts[5].limits.find_shares()

    run_hosts(work)


def make_limits(shares: dict[OrganisationNumber, int]) -> ShareLimits:
    return ShareLimits(lambda: shares, lambda: False, dict, lambda _: 0.7, lambda: 0.5)


def test_demands_are_reported_only_in_a_shortage() -> None:
    async def main() -> None:
        limits = make_limits({})
        limits.count_in_flight = lambda: {LARGE: 3}
        assert limits.find_demands() == {}
        limits.record_refusal(SMALL, SERVICE)
        limits.record_refusal(None, SERVICE)
        assert limits.find_demands() == {LARGE: 30, SMALL: 7}
        await asyncio.sleep(SHORTAGE_S + 0.1)
        assert limits.find_demands() == {}

    run_virtual(main())


def test_accumulators_are_bounded_when_the_listed_organisations_change() -> None:
    shares = {OrganisationNumber(row): 50 for row in range(3900)}
    limits = make_limits(shares)
    assert sum(limits.allows(row) for row in shares) == len(shares)
    assert len(limits.accumulators) == MAX_ACCUMULATORS


@pytest.mark.parametrize(
    ("priority", "rank"), [(0, 0), (3, 3), (None, 2), ("high", 2), (-1, 0), (True, 2)]
)
def test_priority_of_the_organisation_takes_precedence(priority: Any, rank: int) -> None:
    # An invalid priority must not make the keys of the organisation unknown.
    rows = [{**organisation("a", "key"), "priority": priority}]
    found = decode_configuration(configuration(1, [route("r", "safe", priority=2)], rows))
    assert found.organisations is not None
    assert make_limits({}).rank(found.organisations.find(b"key"), found.routes[0]) == rank
    assert make_limits({}).rank(None, found.routes[0]) == 2


def make_target(name: str, slots: int) -> Target:
    listed = ListedTarget(TargetName(name), SERVICE, "ip:1", "d", slots, ListedState.READY)
    return Target(listed)


def test_room_is_unlimited_where_slots_are_unknown() -> None:
    # A room of 0 would refuse nearly all calls of all organisations.
    paces = {TargetId("a"): 1.0, TargetId("b"): 0.5}
    assert compute_room([make_target("a", 8), make_target("b", 8)], paces.__getitem__) == 12.0
    assert compute_room([make_target("a", 8), make_target("b", 0)], lambda _: 1.0) == float("inf")
    assert compute_room([], lambda _: 1.0) == float("inf")


def test_labels_of_refusals_are_bounded_and_old_refusals_are_dropped() -> None:
    async def main() -> None:
        refusals = RecentRefusals()
        for row in range(3900):
            refusals.record("no_room", OrganisationName(f"o{row}"))
        counts = refusals.count_recent()
        assert len(counts) == MAX_LABELS + 1
        assert counts["no_room", OTHER_ORGANISATIONS] == 3900 - MAX_LABELS
        await asyncio.sleep(SHOWN_S + 1.0)
        assert not refusals.count_recent()

    run_virtual(main())


class FakeLoads:
    """A target model that has no digest."""

    def pace(self, target_id: TargetId) -> float:
        return 0.5

    def expected_delay_s(self, target: Target) -> float:
        return float("inf")

    def count_room(self, service: ServiceName) -> float:
        return 3.0

    def occupancy(self, service: ServiceName) -> float:
        return 0.9

    def age_s(self) -> float:
        return float("inf")


def test_load_command_shows_targets_refusals_and_limited_organisations(
    capsys: pytest.CaptureFixture[str],
) -> None:
    acme = Organisation(OrganisationName("acme"), ())
    refusals = RecentRefusals()
    refusals.record("no_room", acme.name)
    sources = LoadSources(
        FakeLoads(),
        lambda: [make_target("t0", 8)],
        lambda _: 5,
        lambda _: 2,
        lambda: {SERVICE: 4},
        refusals,
        lambda: {acme.number: 30, OrganisationNumber(7): 40},
        lambda: Organisations((acme,)),
        lambda: True,
    )

    def ask(_method: str, path: str) -> AdminAnswer:
        return AdminAnswer(200, msgspec.json.decode(answer_load(sources).body))

    show_load(ask, as_json=False)
    assert capsys.readouterr().out.splitlines() == [
        "This gateway receives nothing from other hosts.",
        "There is a shortage.",
        "service model: room for 3 calls, occupancy 0.9, 4 waiting here",
        "target t0: pace 0.5, unknown delay, 5 calls and 2 items in 8 slots",
        "refused in 10 s: 1 no_room, acme",
        "above its share: acme, 30% of its calls admitted",
        "above its share: 00000007, 40% of its calls admitted",
    ]
