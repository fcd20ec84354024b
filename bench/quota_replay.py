"""Compares designs of distributed rate limiting: ``python -m bench.quota_replay``.

Calls of organisations with quotas are replayed on a simulated fleet. Three designs get the same
calls, partitions and restarts:

- ``equal``: each host enforces an equal part of the quota with a token bucket of its own;
- ``home``: one host for each organisation, chosen by hash, grants every call; if it cannot be
  reached, no call is granted;
- ``told``: hosts report their grants to aggregators, which send back the remaining room. This is
  gradepoint's own code.

For each design the output has the share served of the calls that a limiter with perfect knowledge
would serve, and the largest share used of the calls that are tolerated in any window.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gradepoint.ids import Incarnation, OrganisationNumber
from gradepoint.routing.host_quotas import HostQuotas, RoomReport
from gradepoint.routing.quota_ledger import QuotaLedger
from gradepoint.routing.quotas import (
    Allowance,
    Bucket,
    Quota,
    QuotaTerms,
    Window,
    compute_allowance,
)
from gradepoint.util.hashing import rank

TERMS = QuotaTerms(5.0, 0.1, 20.0)
TICK_S = 0.01
REPORT_S = 0.03
"""Seconds between two reports of a host to the aggregators."""
DIGEST_S = 0.04
"""Seconds between two digests of an aggregator to the reporting hosts."""
FULL_REPORT_S = 0.25
"""Longest seconds without a report if nothing has changed."""
LATENCY_S = (0.001, 0.02)
"""Range of the latency of a message between hosts."""
LOSS_RATE = 0.01
"""Share of messages that are lost."""
STALE_S = 0.9
"""Seconds without a message after which a host or a digest is taken for stale."""
LEASE_S = 6.0
"""Seconds for which a host stays listed after its last renewal."""
AGGREGATORS = 3


class Fault(Enum):
    """A fault of some hosts: cut off from all others, restarting or suspended."""

    CUT = "cut"
    RESTART = "restart"
    SUSPEND = "suspend"


@dataclass(frozen=True)
class FaultPeriod:
    """A fault of *hosts* from *at* to *until*, in seconds of the replay."""

    fault: Fault
    hosts: frozenset[int]
    at: float
    until: float


@dataclass(frozen=True)
class Load:
    """The calls of some organisations to a fleet, and the fleet's faults.

    :param usual: usual calls a second of each organisation; its quota is *margin* times that.
    :param hot: organisation, factor, begin and end of each period in which it sends more.
    :param hosts_each: number of hosts to which the clients of one organisation connect.
    """

    hosts: int = 51
    usual: tuple[float, ...] = (20.0, 5.0, 1.0, 0.3)
    margin: float = 1.6
    hot: tuple[tuple[int, float, float, float], ...] = ()
    hosts_each: int = 9
    length_s: float = 30.0
    fault_periods: tuple[FaultPeriod, ...] = ()

    def quota(self, organisation: int) -> Quota:
        """Return an organisation's quota."""
        rate = max(1.0, self.usual[organisation] * self.margin)
        return Quota(rate, rate)

    def rate(self, organisation: int, now: float) -> float:
        """Return an organisation's calls a second: a square wave about its usual rate."""
        rate = self.usual[organisation] * (1.85 if now % 5.2 > 3.0 else 0.378)
        for name, factor, begin, end in self.hot:
            if name == organisation and begin <= now < end:
                rate *= factor
        return rate


def draw_calls(load: Load, rng: random.Random) -> list[tuple[float, int, int]]:
    """Draw time, organisation and host of each call, sorted by time."""
    calls = []
    for organisation in range(len(load.usual)):
        hosts = rng.sample(range(load.hosts), min(load.hosts, load.hosts_each))
        weights = [rng.random() for _ in hosts]
        now = 0.0
        while now < load.length_s:
            now += rng.expovariate(max(0.01, load.rate(organisation, now)))
            calls.append((now, organisation, rng.choices(hosts, weights)[0]))
    return sorted(calls)


Admit = Callable[[int, int, float], bool]


@dataclass
class Network:
    """Simulated network: which hosts run and reach each other, and the messages in flight.

    :ivar queue: arrival time, number, receiver and handler of each message in flight.
    """

    load: Load
    rng: random.Random
    queue: list[tuple[float, int, int, Callable[[float], None]]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def has_fault(self, fault: Fault, host: int, now: float) -> bool:
        """Whether a host has the given fault now."""
        return any(
            row.fault is fault and host in row.hosts and row.at <= now < row.until
            for row in self.load.fault_periods
        )

    def is_running(self, host: int, now: float) -> bool:
        """Whether a host is neither restarting nor suspended."""
        return not (
            self.has_fault(Fault.RESTART, host, now) or self.has_fault(Fault.SUSPEND, host, now)
        )

    def can_reach(self, source: int, host: int, now: float) -> bool:
        """Whether a message from *source* can reach *host*."""
        if source == host:
            return True
        cut = self.has_fault(Fault.CUT, source, now) or self.has_fault(Fault.CUT, host, now)
        return not cut and self.is_running(host, now)

    def send(self, source: int, host: int, now: float, take: Callable[[float], None]) -> None:
        """Send a message: *take* is called at *host* after the latency, unless it is lost."""
        if not self.can_reach(source, host, now) or (
            source != host and self.rng.random() < LOSS_RATE
        ):
            return
        latency = 0.0 if source == host else self.rng.uniform(*LATENCY_S)
        heapq.heappush(self.queue, (now + latency, next(self.numbers), host, take))

    def deliver(self, now: float) -> None:
        """Deliver the messages that are due; a host that does not run loses its messages."""
        while self.queue and self.queue[0][0] <= now:
            at, _, host, take = heapq.heappop(self.queue)
            if self.is_running(host, now):
                take(at)


@dataclass
class EqualShares:
    """The design ``equal``: each host enforces an equal part of the quota."""

    load: Load
    net: Network
    buckets: dict[tuple[int, int], Bucket] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Do nothing: hosts exchange no messages."""

    def admit(self, host: int, organisation: int, now: float) -> bool:
        """Grant a call at a host."""
        quota = self.load.quota(organisation)
        most = max(1.0, quota.burst / self.load.hosts)
        bucket = self.buckets.setdefault((host, organisation), Bucket(most, now))
        if bucket.fill(quota.calls_per_s / self.load.hosts, most, now) < 1.0:
            return False
        bucket.room -= 1.0
        return True


@dataclass
class HomeHostGrants:
    """The design ``home``: one host for each organisation grants all of its calls.

    Every call waits for the response of that host.
    """

    load: Load
    net: Network
    windows: dict[tuple[int, int, float], Window] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Do nothing: a host asks the home host when a call arrives."""

    def _believes_live(self, host: int, other: int, now: float) -> bool:
        """Whether *host* believes that *other* is live; it learns of faults after STALE_S."""
        return self.net.can_reach(host, other, now - STALE_S) or self.net.can_reach(
            host, other, now
        )

    def admit(self, host: int, organisation: int, now: float) -> bool:
        """Grant a call at a host."""
        names = [f"h{number}" for number in range(self.load.hosts)]
        ranked = [int(name[1:]) for name in rank(f"o{organisation}", names)]
        home = next((row for row in ranked if self._believes_live(host, row, now)), host)
        live_count = sum(self._believes_live(host, other, now) for other in range(self.load.hosts))
        if live_count * 2 <= self.load.hosts or not self.net.can_reach(host, home, now):
            return False
        restarts = [row.until for row in self.load.fault_periods if row.fault is Fault.RESTART]
        began = max((at for at in restarts if at <= now), default=0.0)
        allowance = compute_allowance(self.load.quota(organisation), TERMS)
        key = (home, organisation, began)
        window = self.windows.setdefault(key, Window())
        if window.count(allowance.window_s, now) > allowance.max_calls - 1.0:
            return False
        window.add(1, now)
        return True


@dataclass
class ReportingHost:
    """One host of :class:`AggregatedQuotas`, which is also an aggregator for others.

    :ivar digests: last digest from each aggregator, by host number.
    :ivar reports: for each reporting host, when its last report arrived and when it was sent.
    :ivar last_heard: when each other host was last reachable.
    :ivar last_grants: grants in the last report, which was sent at :attr:`full_report_at`.
    :ivar stopped: whether the host is restarting; it comes back as a new incarnation.
    """

    number: int
    incarnation: Incarnation
    quotas: HostQuotas
    ledger: QuotaLedger
    digests: dict[int, RoomReport] = field(default_factory=dict)
    reports: dict[Incarnation, tuple[float, float]] = field(default_factory=dict)
    last_heard: dict[int, float] = field(default_factory=dict)
    last_grants: dict[OrganisationNumber, int] = field(default_factory=dict)
    full_report_at: float = float("-inf")
    stopped: bool = False


class AggregatedQuotas:
    """The design ``told``: hosts report grants to aggregators and get the remaining room back.

    :ivar lease_until: end of the lease of each listed incarnation.
    """

    def __init__(self, load: Load, net: Network) -> None:
        self.load, self.net = load, net
        self.incarnation_numbers = itertools.count()
        self.lease_until: dict[Incarnation, float] = {}
        self.hosts = [self.make(number, 0.0) for number in range(load.hosts)]
        self.next_report = self.next_digest = self.next_expiry = 0.0

    def make(self, number: int, now: float) -> ReportingHost:
        """Return a new incarnation of a host and list it in place of the former one."""
        incarnation = Incarnation(f"h{number}:{next(self.incarnation_numbers)}")
        self.lease_until = {
            other: at
            for other, at in self.lease_until.items()
            if not other.startswith(f"h{number}:")
        }
        self.lease_until[incarnation] = now + LEASE_S

        def find_allowance(organisation: OrganisationNumber) -> Allowance:
            return compute_allowance(self.load.quota(int(organisation)), TERMS)

        def find_room(organisation: OrganisationNumber) -> float | None:
            return quotas.find_reported_room(organisation, find_allowance(organisation), self.now)

        quotas = HostQuotas(
            lambda: list(host.digests.values()),
            lambda: self.lease_until.get(incarnation, 0.0) > self.now,
            lambda: self.load.hosts,
            self.net.rng.random,
        )
        ledger = QuotaLedger(
            find_allowance,
            find_room,
            lambda: [other for other, until in self.lease_until.items() if until > self.now],
        )
        self.now = now
        host = ReportingHost(number, incarnation, quotas, ledger)
        host.last_heard = dict.fromkeys(range(self.load.hosts), now)
        return host

    def admit(self, host: int, organisation: int, now: float) -> bool:
        """Grant a call at a host."""
        self.now = now
        number = OrganisationNumber(organisation)
        allowance = compute_allowance(self.load.quota(organisation), TERMS)
        return self.hosts[host].quotas.admit(number, allowance, now) is None

    def tick(self, now: float) -> None:
        """Restart hosts; run the periodic reports, digests and expiry that are due."""
        self.now = now
        for host in list(self.hosts):
            if self.net.has_fault(Fault.RESTART, host.number, now):
                host.stopped = True
            elif host.stopped:
                self.hosts[host.number] = self.make(host.number, now)
        working = [host for host in self.hosts if self.net.is_running(host.number, now)]
        if now >= self.next_report:
            self.next_report = now + REPORT_S
            for host in working:
                self.report(host, now)
        if now >= self.next_digest:
            self.next_digest = now + DIGEST_S
            for host in working:
                self.digest(host, now)
        if now >= self.next_expiry:
            self.next_expiry = now + FULL_REPORT_S
            for host in working:
                self.expire(host, now)

    def report(self, host: ReportingHost, now: float) -> None:
        """Report the host's grants to the aggregators, unless nothing has changed lately."""
        grants = host.quotas.find_recent_grants(now)
        if grants == host.last_grants and now - host.full_report_at < FULL_REPORT_S:
            return
        host.last_grants, host.full_report_at = grants, now
        live = [number for number, at in host.last_heard.items() if now - at < STALE_S]
        ranked = rank("aggregators", [f"h{number}" for number in live])[:AGGREGATORS]
        for name in ranked:
            other = self.hosts[int(name[1:])]
            self.net.send(
                host.number,
                other.number,
                now,
                lambda at, other=other: self.take(other, host, grants, now, at),  # type: ignore[misc]
            )

    def take(
        self,
        aggregator: ReportingHost,
        host: ReportingHost,
        grants: dict[OrganisationNumber, int],
        sent_at: float,
        now: float,
    ) -> None:
        """Process a report at an aggregator, unless a newer one has already arrived."""
        if aggregator.reports.get(host.incarnation, (0.0, -1.0))[1] > sent_at:
            return
        aggregator.reports[host.incarnation] = (now, sent_at)
        aggregator.ledger.take(host.incarnation, grants, now)

    def digest(self, host: ReportingHost, now: float) -> None:
        """Send the remaining room to the hosts that report to this aggregator."""
        if not host.reports:
            return
        rooms, share = host.ledger.find_low_rooms(now), host.ledger.find_heard_share(now)
        for incarnation, (_, sent_at) in host.reports.items():
            number = int(incarnation.partition(":")[0][1:])
            other = self.hosts[number]
            if other.incarnation == incarnation:
                self.net.send(
                    host.number,
                    number,
                    now,
                    lambda at, other=other, until=sent_at: other.digests.__setitem__(  # type: ignore[misc]
                        host.number, RoomReport(rooms, at, until, share)
                    ),
                )

    def expire(self, host: ReportingHost, now: float) -> None:
        """Renew the host's lease, note which hosts it hears, and drop stale digests and reports."""
        self.lease_until[host.incarnation] = (
            now + LEASE_S
            if not self.net.has_fault(Fault.CUT, host.number, now)
            else self.lease_until.get(host.incarnation, 0.0)
        )
        for other in self.hosts:
            if self.net.can_reach(other.number, host.number, now) and self.net.is_running(
                other.number, now
            ):
                host.last_heard[other.number] = now
        for number in [
            row for row, received in host.digests.items() if now - received.at > STALE_S
        ]:
            del host.digests[number]
        for incarnation in [row for row, (at, _) in host.reports.items() if now - at > STALE_S]:
            del host.reports[incarnation]
            host.ledger.note_silent(incarnation, now)
        host.ledger.refresh_listed(now)
        host.quotas.forget(now)


Policy = EqualShares | HomeHostGrants | AggregatedQuotas
POLICIES: dict[str, Callable[[Load, Network], Policy]] = {
    "equal": EqualShares,
    "home": HomeHostGrants,
    "told": AggregatedQuotas,
}


@dataclass
class Outcome:
    """Result of one replay.

    :ivar servable: number of calls that a limiter with perfect knowledge would serve.
    :ivar served: number of calls that the design served, at most *servable* for each organisation.
    :ivar used: largest share used of the calls tolerated in a window, over all organisations.
    """

    servable: int = 0
    served: int = 0
    used: float = 0.0

    @property
    def share(self) -> float:
        """Share of the calls within the quotas that the design served."""
        return min(1.0, self.served / max(1, self.servable))


def replay(policy: str, load: Load, seed: int) -> Outcome:
    """Replay a load with the design named *policy*."""
    rng = random.Random(seed)
    calls = draw_calls(load, rng)
    net = Network(load, random.Random(seed + 1))
    design = POLICIES[policy](load, net)
    ideal_windows = {number: Window() for number in range(len(load.usual))}
    granted: dict[int, deque[float]] = {number: deque() for number in range(len(load.usual))}
    outcome, now = Outcome(), 0.0
    servable = dict.fromkeys(granted, 0)
    served = dict.fromkeys(granted, 0)
    for at, organisation, host in calls:
        while now <= at:
            net.deliver(now)
            design.tick(now)
            now += TICK_S
        if not net.is_running(host, at):
            continue
        quota, window = load.quota(organisation), ideal_windows[organisation]
        quota_calls = quota.calls_per_s * TERMS.window_s + quota.burst
        if window.count(TERMS.window_s, at) <= quota_calls - 1.0:
            window.add(1, at)
            servable[organisation] += 1
        if design.admit(host, organisation, at):
            served[organisation] += 1
            recent = granted[organisation]
            recent.append(at)
            while recent[0] < at - TERMS.window_s:
                recent.popleft()
            tolerated = quota_calls * (1 + TERMS.excess) + TERMS.slack
            outcome.used = max(outcome.used, len(recent) / tolerated)
    outcome.servable = sum(servable.values())
    outcome.served = sum(min(served[row], servable[row]) for row in servable)
    return outcome


HOT_PERIODS = ((0, 7.5, 8.0, 16.0), (1, 4.2, 10.0, 20.0), (3, 20.0, 5.0, 12.0))
FIFTH = frozenset(range(0, 51, 5))
THIRD = frozenset(range(0, 51, 3))
LOADS: dict[str, Load] = {
    "usual": Load(),
    "hot": Load(hot=HOT_PERIODS),
    "hot, few hosts": Load(hot=HOT_PERIODS, hosts_each=2),
    "a fifth cut off": Load(
        hot=HOT_PERIODS, fault_periods=(FaultPeriod(Fault.CUT, FIFTH, 9.0, 18.0),)
    ),
    "a third cut off": Load(
        hot=HOT_PERIODS, fault_periods=(FaultPeriod(Fault.CUT, THIRD, 9.0, 18.0),)
    ),
    "all restarted": Load(
        hot=HOT_PERIODS,
        fault_periods=(FaultPeriod(Fault.RESTART, frozenset(range(51)), 12.0, 13.0),),
    ),
    "a third suspended": Load(
        hot=HOT_PERIODS, fault_periods=(FaultPeriod(Fault.SUSPEND, THIRD, 9.0, 14.0),)
    ),
    "165 hosts, hot": Load(hosts=165, hot=HOT_PERIODS, hosts_each=20),
}


def main() -> None:
    """Print a row for each load and design."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for name, load in LOADS.items():
        for policy in POLICIES:
            rows = [replay(policy, load, seed) for seed in range(1, arguments.seeds + 1)]
            share = sum(row.share for row in rows) / len(rows)
            used = max(row.used for row in rows)
            print(f"{name:20} {policy:6} served {share:6.3f} of what fits; used {used:5.2f}")


if __name__ == "__main__":
    main()
