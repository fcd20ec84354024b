"""Replays the calls of organisations with quotas on a fleet: ``python -m bench.quota_replay``.

Three designs see the same calls, cuts and restarts:

- ``equal``: each host grants its part of the quota by itself, from a bucket that fills with time;
- ``home``: one host an organisation, by hash, grants every call; without it, nothing is granted;
- ``told``: hosts tell their grants, and those that add them up tell the room that is left.

For each: what is served of the calls that an all-knowing limiter would serve, and the largest share
of what is tolerated in any window that was used.
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
from gradepoint.routing.host_quotas import HostQuotas, Word
from gradepoint.routing.quota_ledger import QuotaLedger
from gradepoint.routing.quotas import Allowance, Bucket, Quota, QuotaTerms, Window, allow
from gradepoint.util.hashing import rank

TERMS = QuotaTerms(5.0, 0.1, 20.0)
TICK_S = 0.01
REPORT_S = 0.03
DIGEST_S = 0.04
TELL_ALL_S = 0.25
WAY_S = (0.001, 0.02)
LOST = 0.01
STALE_S = 0.9
LEASE_S = 6.0
AGGREGATORS = 3


class Fault(Enum):
    """What happens to some hosts for a while."""

    CUT = "cut"
    RESTART = "restart"
    SUSPEND = "suspend"


@dataclass(frozen=True)
class Trouble:
    """A fault of *hosts* from *at* to *until*."""

    fault: Fault
    hosts: frozenset[int]
    at: float
    until: float


@dataclass(frozen=True)
class Load:
    """Calls of some organisations at a fleet.

    :param usual: calls a second by organisation; its quota is *margin* times that.
    :param hot: organisation, factor, begin and end of the times it sends more.
    :param hosts_each: hosts that the clients of one organisation reach.
    """

    hosts: int = 51
    usual: tuple[float, ...] = (20.0, 5.0, 1.0, 0.3)
    margin: float = 1.6
    hot: tuple[tuple[int, float, float, float], ...] = ()
    hosts_each: int = 9
    length_s: float = 30.0
    troubles: tuple[Trouble, ...] = ()

    def quota(self, organisation: int) -> Quota:
        """Return an organisation's quota."""
        rate = max(1.0, self.usual[organisation] * self.margin)
        return Quota(rate, rate)

    def rate(self, organisation: int, now: float) -> float:
        """Return how often an organisation calls: square waves about its usual."""
        rate = self.usual[organisation] * (1.85 if now % 5.2 > 3.0 else 0.378)
        for name, factor, begin, end in self.hot:
            if name == organisation and begin <= now < end:
                rate *= factor
        return rate


def draw_calls(load: Load, rng: random.Random) -> list[tuple[float, int, int]]:
    """Return time, organisation and host of each call."""
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
class Net:
    """Which hosts are up and reach each other, and messages on their way."""

    load: Load
    rng: random.Random
    queue: list[tuple[float, int, int, Callable[[float], None]]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def is_in(self, fault: Fault, host: int, now: float) -> bool:
        """Whether a host has a fault now."""
        return any(
            row.fault is fault and host in row.hosts and row.at <= now < row.until
            for row in self.load.troubles
        )

    def works(self, host: int, now: float) -> bool:
        """Whether a host runs."""
        return not (self.is_in(Fault.RESTART, host, now) or self.is_in(Fault.SUSPEND, host, now))

    def reaches(self, source: int, host: int, now: float) -> bool:
        """Whether a message gets from one host to another."""
        if source == host:
            return True
        cut = self.is_in(Fault.CUT, source, now) or self.is_in(Fault.CUT, host, now)
        return not cut and self.works(host, now)

    def send(self, source: int, host: int, now: float, take: Callable[[float], None]) -> None:
        """Have *take* called at *host* after the way, unless the message is lost."""
        if not self.reaches(source, host, now) or (source != host and self.rng.random() < LOST):
            return
        way = 0.0 if source == host else self.rng.uniform(*WAY_S)
        heapq.heappush(self.queue, (now + way, next(self.numbers), host, take))

    def deliver(self, now: float) -> None:
        """Hand over what has arrived."""
        while self.queue and self.queue[0][0] <= now:
            at, _, host, take = heapq.heappop(self.queue)
            if self.works(host, now):
                take(at)


@dataclass
class EqualShares:
    """Each host grants its part."""

    load: Load
    net: Net
    buckets: dict[tuple[int, int], Bucket] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Do nothing: hosts do not speak."""

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
class HomeGrants:
    """One host an organisation grants its calls; the answer to each call waits for its word."""

    load: Load
    net: Net
    windows: dict[tuple[int, int, float], Window] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Do nothing: hosts ask when a call comes."""

    def _heard(self, host: int, other: int, now: float) -> bool:
        """Whether *host* takes *other* for live: it hears of faults a while later."""
        return self.net.reaches(host, other, now - STALE_S) or self.net.reaches(host, other, now)

    def admit(self, host: int, organisation: int, now: float) -> bool:
        """Grant a call at a host."""
        names = [f"h{number}" for number in range(self.load.hosts)]
        ranked = [int(name[1:]) for name in rank(f"o{organisation}", names)]
        home = next((row for row in ranked if self._heard(host, row, now)), host)
        heard = sum(self._heard(host, other, now) for other in range(self.load.hosts))
        if heard * 2 <= self.load.hosts or not self.net.reaches(host, home, now):
            return False
        restarts = [row.until for row in self.load.troubles if row.fault is Fault.RESTART]
        began = max((at for at in restarts if at <= now), default=0.0)
        allowance = allow(self.load.quota(organisation), TERMS)
        key = (home, organisation, began)
        window = self.windows.setdefault(key, Window())
        if window.count(allowance.window_s, now) > allowance.most - 1.0:
            return False
        window.add(1, now)
        return True


@dataclass
class ToldHost:
    """One host of :class:`ToldRooms`."""

    number: int
    life: Incarnation
    quotas: HostQuotas
    ledger: QuotaLedger
    words: dict[int, Word] = field(default_factory=dict)
    reports: dict[Incarnation, tuple[float, float]] = field(default_factory=dict)
    heard: dict[int, float] = field(default_factory=dict)
    last: dict[OrganisationNumber, int] = field(default_factory=dict)
    told_all_at: float = float("-inf")
    dead: bool = False


class ToldRooms:
    """Hosts tell grants, and hear of room."""

    def __init__(self, load: Load, net: Net) -> None:
        self.load, self.net = load, net
        self.lives = itertools.count()
        self.listed: dict[Incarnation, float] = {}
        self.hosts = [self.make(number, 0.0) for number in range(load.hosts)]
        self.next_report = self.next_digest = self.next_sweep = 0.0

    def make(self, number: int, now: float) -> ToldHost:
        """Return a host that has just started."""
        life = Incarnation(f"h{number}:{next(self.lives)}")
        self.listed = {
            other: at for other, at in self.listed.items() if not other.startswith(f"h{number}:")
        }
        self.listed[life] = now + LEASE_S

        def find_allowance(organisation: OrganisationNumber) -> Allowance:
            return allow(self.load.quota(int(organisation)), TERMS)

        def find_told(organisation: OrganisationNumber) -> float | None:
            return quotas.find_told_room(organisation, find_allowance(organisation), self.now)

        quotas = HostQuotas(
            lambda: list(host.words.values()),
            lambda: self.listed.get(life, 0.0) > self.now,
            lambda: self.load.hosts,
            self.net.rng.random,
        )
        ledger = QuotaLedger(
            find_allowance,
            find_told,
            lambda: [other for other, until in self.listed.items() if until > self.now],
        )
        self.now = now
        host = ToldHost(number, life, quotas, ledger)
        host.heard = dict.fromkeys(range(self.load.hosts), now)
        return host

    def admit(self, host: int, organisation: int, now: float) -> bool:
        """Grant a call at a host."""
        self.now = now
        number = OrganisationNumber(organisation)
        allowance = allow(self.load.quota(organisation), TERMS)
        return self.hosts[host].quotas.admit(number, allowance, now) is None

    def tick(self, now: float) -> None:
        """Report, add up, tell, and take note of who is silent."""
        self.now = now
        for host in list(self.hosts):
            if self.net.is_in(Fault.RESTART, host.number, now):
                host.dead = True
            elif host.dead:
                self.hosts[host.number] = self.make(host.number, now)
        working = [host for host in self.hosts if self.net.works(host.number, now)]
        if now >= self.next_report:
            self.next_report = now + REPORT_S
            for host in working:
                self.report(host, now)
        if now >= self.next_digest:
            self.next_digest = now + DIGEST_S
            for host in working:
                self.digest(host, now)
        if now >= self.next_sweep:
            self.next_sweep = now + TELL_ALL_S
            for host in working:
                self.sweep(host, now)

    def report(self, host: ToldHost, now: float) -> None:
        """Tell the aggregators what a host granted."""
        told = host.quotas.tell(now)
        if told == host.last and now - host.told_all_at < TELL_ALL_S:
            return
        host.last, host.told_all_at = told, now
        live = [number for number, at in host.heard.items() if now - at < STALE_S]
        ranked = rank("aggregators", [f"h{number}" for number in live])[:AGGREGATORS]
        for name in ranked:
            other = self.hosts[int(name[1:])]
            self.net.send(
                host.number,
                other.number,
                now,
                lambda at, other=other: self.take(other, host, told, now, at),  # type: ignore[misc]
            )

    def take(
        self,
        aggregator: ToldHost,
        host: ToldHost,
        told: dict[OrganisationNumber, int],
        sent_at: float,
        now: float,
    ) -> None:
        """Take a report at an aggregator, unless a newer one came."""
        if aggregator.reports.get(host.life, (0.0, -1.0))[1] > sent_at:
            return
        aggregator.reports[host.life] = (now, sent_at)
        aggregator.ledger.take(host.life, told, now)

    def digest(self, host: ToldHost, now: float) -> None:
        """Tell reporting hosts the room."""
        if not host.reports:
            return
        rooms, share = host.ledger.tell(now), host.ledger.find_heard_share(now)
        for life, (_, sent_at) in host.reports.items():
            number = int(life.partition(":")[0][1:])
            other = self.hosts[number]
            if other.life == life:
                self.net.send(
                    host.number,
                    number,
                    now,
                    lambda at, other=other, until=sent_at: other.words.__setitem__(  # type: ignore[misc]
                        host.number, Word(rooms, at, until, share)
                    ),
                )

    def sweep(self, host: ToldHost, now: float) -> None:
        """Leave out what is too old."""
        self.listed[host.life] = (
            now + LEASE_S
            if not self.net.is_in(Fault.CUT, host.number, now)
            else self.listed.get(host.life, 0.0)
        )
        for other in self.hosts:
            if self.net.reaches(other.number, host.number, now) and self.net.works(
                other.number, now
            ):
                host.heard[other.number] = now
        for number in [row for row, word in host.words.items() if now - word.at > STALE_S]:
            del host.words[number]
        for life in [row for row, (at, _) in host.reports.items() if now - at > STALE_S]:
            del host.reports[life]
            host.ledger.note_silent(life, now)
        host.ledger.look_around(now)
        host.quotas.forget(now)


Policy = EqualShares | HomeGrants | ToldRooms
POLICIES: dict[str, Callable[[Load, Net], Policy]] = {
    "equal": EqualShares,
    "home": HomeGrants,
    "told": ToldRooms,
}


@dataclass
class Outcome:
    """What a design did.

    :ivar within: calls that an all-knowing limiter would serve, and *served* how many were served
        while no more than that.
    :ivar used: largest share of what is tolerated in any window, over all organisations.
    """

    within: int = 0
    served: int = 0
    used: float = 0.0

    @property
    def share(self) -> float:
        """Share of the calls within the quotas that were served."""
        return min(1.0, self.served / max(1, self.within))


def replay(policy: str, load: Load, seed: int) -> Outcome:
    """Replay a load under a design."""
    rng = random.Random(seed)
    calls = draw_calls(load, rng)
    net = Net(load, random.Random(seed + 1))
    design = POLICIES[policy](load, net)
    truth = {number: Window() for number in range(len(load.usual))}
    granted: dict[int, deque[float]] = {number: deque() for number in range(len(load.usual))}
    outcome, now = Outcome(), 0.0
    within = dict.fromkeys(granted, 0)
    served = dict.fromkeys(granted, 0)
    for at, organisation, host in calls:
        while now <= at:
            net.deliver(now)
            design.tick(now)
            now += TICK_S
        if not net.works(host, at):
            continue
        quota, window = load.quota(organisation), truth[organisation]
        fits = quota.calls_per_s * TERMS.window_s + quota.burst
        if window.count(TERMS.window_s, at) <= fits - 1.0:
            window.add(1, at)
            within[organisation] += 1
        if design.admit(host, organisation, at):
            served[organisation] += 1
            lately = granted[organisation]
            lately.append(at)
            while lately[0] < at - TERMS.window_s:
                lately.popleft()
            tolerated = fits * (1 + TERMS.excess) + TERMS.slack
            outcome.used = max(outcome.used, len(lately) / tolerated)
    outcome.within = sum(within.values())
    outcome.served = sum(min(served[row], within[row]) for row in within)
    return outcome


HOT = ((0, 7.5, 8.0, 16.0), (1, 4.2, 10.0, 20.0), (3, 20.0, 5.0, 12.0))
FIFTH = frozenset(range(0, 51, 5))
THIRD = frozenset(range(0, 51, 3))
LOADS: dict[str, Load] = {
    "usual": Load(),
    "hot": Load(hot=HOT),
    "hot, few hosts": Load(hot=HOT, hosts_each=2),
    "a fifth cut off": Load(hot=HOT, troubles=(Trouble(Fault.CUT, FIFTH, 9.0, 18.0),)),
    "a third cut off": Load(hot=HOT, troubles=(Trouble(Fault.CUT, THIRD, 9.0, 18.0),)),
    "all restarted": Load(
        hot=HOT, troubles=(Trouble(Fault.RESTART, frozenset(range(51)), 12.0, 13.0),)
    ),
    "a third suspended": Load(hot=HOT, troubles=(Trouble(Fault.SUSPEND, THIRD, 9.0, 14.0),)),
    "165 hosts, hot": Load(hosts=165, hot=HOT, hosts_each=20),
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
