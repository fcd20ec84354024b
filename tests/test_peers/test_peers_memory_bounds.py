"""Bounds of what hosts keep of each other; without them, a host of a large fleet runs out of
memory."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from gradepoint.ids import (
    ConfigVersion,
    Incarnation,
    OrganisationNumber,
    SuspectKey,
    TargetId,
    TargetNumber,
)
from gradepoint.peers import aggregation as aggregation_module
from gradepoint.peers import datagrams, heartbeats
from gradepoint.peers.aggregation import Aggregation
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    MAX_DATAGRAM_BYTES,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_DIGEST_BYTES,
    DatagramSocket,
    Heartbeat,
    Report,
    number_target,
)
from gradepoint.peers.heartbeats import Heartbeats
from gradepoint.peers.occupancy import SENT_REPORT_LIFETIME_S
from gradepoint.peers.results import (
    COUNT_LIFETIME_S,
    KNOWN_RESULTS_LIFETIME_S,
    ReportedResults,
    ResultCount,
)
from gradepoint.routing import quota_ledger, suspects
from gradepoint.routing.quota_ledger import DETECTION_DELAY_S, GRANT_STEP_S, QuotaLedger
from gradepoint.routing.quotas import SPREAD_STEPS, Allowance, Window
from gradepoint.routing.suspects import Suspects, Trial
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.telemetry import metrics
from gradepoint.wire.addresses import split_address
from tests.test_peers.test_peers_occupancy import NUMBER, start, stop

ADDRESS = "127.0.0.2:9"
SIZE = 1000


@dataclass
class StalledTransport:
    """Stands in for asyncio's transport; its socket takes no datagrams, so all are queued.

    :ivar queued: datagrams that wait.
    """

    queued: list[bytes] = field(default_factory=list)

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue a datagram."""
        assert addr == split_address(ADDRESS)
        self.queued.append(data)

    def close(self) -> None:
        """Drop what is queued."""
        self.queued.clear()

    def get_write_buffer_size(self) -> int:
        """Return the queued bytes."""
        return sum(map(len, self.queued))


def make_stalled_socket() -> tuple[DatagramSocket, StalledTransport]:
    """Return a socket whose link takes nothing."""
    socket, transport = DatagramSocket(lambda *_: None), StalledTransport()
    socket.transport = transport
    return socket, transport


def test_datagrams_that_the_link_does_not_take_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(datagrams, "emit", lambda _, **fields: logged.append(fields))
    counter = metrics.shared().dropped_datagrams
    counted: list[int] = []
    monkeypatch.setattr(counter, "add", lambda amount, _: counted.append(amount))

    async def main() -> None:
        socket, transport = make_stalled_socket()
        for _ in range(1000):
            socket.send(b"x" * SIZE, ADDRESS)
        assert transport.get_write_buffer_size() <= MAX_QUEUED_BYTES
        assert sum(counted) == 1000 - len(transport.queued)
        assert len(logged) == 1

    run_virtual(main())


def test_malformed_datagrams_do_not_write_a_line_each(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(datagrams, "emit", lambda _, **fields: logged.append(fields))

    async def main() -> None:
        socket, _ = make_stalled_socket()
        for _ in range(1000):
            socket.take(b"\xc1", ADDRESS)
        assert len(logged) == 1

    run_virtual(main())


def test_digests_leave_room_for_heartbeats() -> None:
    socket, transport = make_stalled_socket()
    sent = [socket.send_digest(b"x" * SIZE, ADDRESS) for _ in range(1000)]
    assert sum(sent) == len(transport.queued) == MAX_QUEUED_DIGEST_BYTES // SIZE
    socket.send(b"beat", ADDRESS)
    assert transport.queued[-1] == b"beat"


def test_datagram_that_udp_cannot_carry_is_dropped() -> None:
    socket, transport = make_stalled_socket()
    socket.send(b"x" * (MAX_DATAGRAM_BYTES + 1), ADDRESS)
    assert not transport.queued


def test_slow_link_does_not_leave_out_the_same_hosts_each_time() -> None:
    async def main() -> None:
        net, hosts = await start(9)
        first = hosts[0].occupancy.aggregators[0]
        aggregator = next(host for host in hosts if host.incarnation == first)
        reached: set[str] = set()
        taken = 0

        def send_digest(raw: bytes, address: str) -> bool:
            nonlocal taken
            taken += 1
            if taken % 8 >= 3:
                return False
            reached.add(address)
            net.send(aggregator.name, raw, address)
            return True

        aggregator.socket.send_digest = send_digest  # type: ignore[method-assign]
        for step in range(12):
            hosts[0].set_load(step)
            await asyncio.sleep(0.1)
        assert len(reached) == 8
        stop(hosts)

    run_virtual(main())


def test_results_of_former_targets_are_dropped_without_losing_new_ones() -> None:
    # Each incarnation of a target has a number of its own, so a host that runs for months hears
    # of any number of them.
    async def main() -> None:
        _, hosts = await start(6)
        first = hosts[0].occupancy.aggregators[0]
        aggregator = next(host for host in hosts if host.incarnation == first)
        hosts[0].end_calls(3, 1)
        await asyncio.sleep(1.0)
        assert NUMBER in aggregator.occupancy.aggregation.results
        await asyncio.sleep(COUNT_LIFETIME_S + KNOWN_RESULTS_LIFETIME_S)
        for host in hosts:
            occupancy = host.occupancy
            assert not any(occupancy.known_results.values())
            assert not any(occupancy.own_results.values())
            assert not any(occupancy.aggregation.known_results.values())
            assert not occupancy.aggregation.results
            assert not occupancy.aggregation.sent_failures
        hosts[0].end_calls(0, 1)
        await asyncio.sleep(1.0)
        assert [sum(bad for _, bad in host.received_results) for host in hosts[1:]] == [2] * 5
        stop(hosts)

    run_virtual(main())


def test_own_reports_are_kept_for_limited_time() -> None:
    async def main() -> None:
        _, hosts = await start(6)
        await asyncio.sleep(3 * SENT_REPORT_LIFETIME_S)
        sent = hosts[0].occupancy.sent
        assert len(sent) <= SENT_REPORT_LIFETIME_S / 0.2
        stop(hosts)

    run_virtual(main())


def test_number_of_reports_and_heartbeats_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(aggregation_module, "MAX_REPORTING_HOSTS", 10)
    monkeypatch.setattr(heartbeats, "MAX_HEARD", 10)

    async def main() -> None:
        aggregation = Aggregation(lambda _: 8)
        own = Heartbeat(
            DATAGRAM_FORMAT, Incarnation("x"), ConfigVersion(1), True, False, {}, [], {}, 0
        )
        received = Heartbeats(DatagramSocket(lambda *_: None), lambda: own)
        for number in range(30):
            await asyncio.sleep(0.001)
            host = Incarnation(f"h:{number}")
            report = Report(DATAGRAM_FORMAT, host, 1, {NUMBER: 1}, {}, 0, {})
            aggregation.take(report, ADDRESS)
            received.receive(
                Heartbeat(DATAGRAM_FORMAT, host, ConfigVersion(1), True, False, {}, [], {}, 0),
                ADDRESS,
            )
        newest = [f"h:{number}" for number in range(20, 30)]
        assert [*aggregation.reports] == [*received.heard] == newest
        assert aggregation.loads == {NUMBER: 10}
        assert len(aggregation.ledger.counts) == 10

    run_virtual(main())


def make_ledger(allowance: Allowance) -> QuotaLedger:
    """Return a ledger whose organisations all have the same allowance."""
    return QuotaLedger(lambda _: allowance, lambda _: allowance.max_calls, list)


def test_grant_counts_of_a_host_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_ledger, "MAX_COUNTS", 20)
    monkeypatch.setattr(quota_ledger, "MIN_COUNTS_PER_HOST", 5)
    ledger = make_ledger(Allowance(100.0, 5.0, 1.0))
    host = Incarnation("h")
    for number in range(50):
        ledger.take(host, {OrganisationNumber(number): 1}, float(number))
    assert [*ledger.counts[host]] == [*ledger.average_rates[host]] == [*range(30, 50)]
    ledger.take(host, {OrganisationNumber(1): 7}, 60.0)
    assert ledger.windows[OrganisationNumber(1)].count(5.0, 60.0) == 1


def test_reported_rooms_are_the_lowest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_ledger, "MAX_LOW_ROOMS", 3)
    ledger = make_ledger(Allowance(10.0, 5.0, 1.0))
    host = Incarnation("h")
    ledger.take(host, {}, 0.0)
    numbers = [OrganisationNumber(number) for number in range(8)]
    ledger.take(host, dict.fromkeys(numbers, 1), 9.0)
    ledger.take(host, {number: 9 + number % 4 for number in numbers}, 9.5)
    assert sorted(ledger.find_low_rooms(9.5)) == [2, 3, 7]


def test_window_has_few_entries_for_many_grants() -> None:
    window = Window()
    for step in range(10_000):
        window.add(1, step * 0.0005, GRANT_STEP_S)
    assert len(window.grants) <= 5.0 / GRANT_STEP_S + 1
    assert window.count(2.5, 5.0) == pytest.approx(5000, abs=25)


def make_silent_hosts(ledger: QuotaLedger, hosts: list[Incarnation], seed: int) -> None:
    """Let hosts grant calls of random organisations and then be silent since second 3."""
    rng = random.Random(seed)
    numbers = [OrganisationNumber(number) for number in range(20)]
    ledger.list_incarnations = lambda: hosts
    for host in hosts:
        ledger.take(host, dict.fromkeys(rng.sample(numbers, 10), 0), 0.0)
        counts = ledger.counts[host]
        ledger.take(host, {number: rng.randrange(1, 9) for number in counts}, 1.0)
        ledger.note_silent(host, 3.0)
    ledger.refresh_listed(3.2)


def test_hosts_that_were_silent_leave_few_entries() -> None:
    # Each host that came back added ten entries to the window of each organisation.
    hosts = [Incarnation(f"h{number}") for number in range(200)]
    ledger = make_ledger(Allowance(1000.0, 5.0, 1.0))
    make_silent_hosts(ledger, hosts, 1)
    for step, host in enumerate(hosts):
        ledger.take(host, {}, 4.0 + step * 0.005)
        ledger.find_low_rooms(4.0 + step * 0.005)
    for window in ledger.windows.values():
        assert len(window.grants) + len(window.spread) <= 2 * SPREAD_STEPS
    ledger.refresh_listed(5.0)
    assert not ledger.returned


def test_hosts_that_were_silent_are_charged_while_no_digest_is_made() -> None:
    hosts = [Incarnation(f"h{number}") for number in range(50)]
    ledger = make_ledger(Allowance(1000.0, 5.0, 1.0))
    make_silent_hosts(ledger, hosts, 1)
    for host in hosts:
        ledger.take(host, {}, 3.5)
    assert len(ledger.returned) == 50
    ledger.refresh_listed(3.6)
    assert not ledger.returned
    assert all(window.spread for window in ledger.windows.values())


@pytest.mark.parametrize("seed", range(5))
def test_reserved_grants_are_those_of_each_silent_host(seed: int) -> None:
    hosts = [Incarnation(f"h{number}") for number in range(7)]
    allowance = Allowance(1000.0, 5.0, 1.0)
    ledger = make_ledger(allowance)
    make_silent_hosts(ledger, hosts, seed)
    now = 3.7
    count = ledger._sum_max_grants([(row, now) for row in ledger.silent.values()])
    share = allowance.equal_share_per_s(len(hosts))
    for number in map(OrganisationNumber, range(25)):
        expected = sum(
            max(share, row.average_rates.get(number, 0.0)) * (now - row.since + DETECTION_DELAY_S)
            for row in ledger.silent.values()
        )
        assert count(number, allowance) == pytest.approx(expected)


def test_revoked_crashes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspects, "MAX_ALIVE", 4)
    known = Suspects()
    for number in range(10):
        target = TargetNumber(number)
        known.note_crash(target, [(SuspectKey(1), Trial.NONE)], 1.0)
        known.note_alive(target, 1.0)
    assert [*known.alive] == [6, 7, 8, 9]


def test_known_results_start_again_at_the_numbers_before_the_change() -> None:
    async def main() -> None:
        aggregation = Aggregation(lambda _: 8)
        own, target = ResultCount(), number_target(TargetId("t"))

        def report(number: int) -> None:
            changes = own.report_changes()
            results: dict[TargetNumber, ReportedResults] = (
                {} if changes is None else {target: changes}
            )
            aggregation.take(
                Report(DATAGRAM_FORMAT, Incarnation("h"), number, {}, {}, 0, results), ADDRESS
            )

        own.add(5, 0)
        report(1)
        await asyncio.sleep(KNOWN_RESULTS_LIFETIME_S + 0.1)
        report(2)
        aggregation.forget_silent()
        assert aggregation.known_results[Incarnation("h")] == {}
        own.add(2, 0)
        report(3)
        assert aggregation.results[target].good == 7

    run_virtual(main())
