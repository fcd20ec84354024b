"""Discrete-event simulation of membership and configuration distribution on many hosts.

It runs the production code (:mod:`gradepoint.fleet.membership`,
:mod:`gradepoint.fleet.distribution`) in virtual time; only the network and the fetch of a
configuration are simulated. All events are in one heap, so that 400 hosts run fast.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..fleet.distribution import ANNOUNCE_FANOUT, select_watchers
from ..fleet.membership import Membership, Send
from ..fleet.messages import Gossip, Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

TICKS_PER_ROUND = 5
WATCH_DELAY_S = 0.05
"""Seconds until a watching host gets a new version from the key-value service."""

FETCH_DELAY_S = 0.004
"""Seconds that a host needs to fetch a version from a peer."""


@dataclass
class GossipHost:
    """One host of the simulation.

    :param in_force_at: time at which each configuration version came into force here.
    :param paused_until: time until which the host neither ticks nor receives.
    """

    membership: Membership
    alive: bool = True
    in_force_at: dict[int, float] = field(default_factory=dict)
    bytes_sent: int = 0
    bytes_received: int = 0
    messages: int = 0
    fetches: int = 0
    paused_until: float = 0.0


class GossipFleet:
    """Hosts on a network with latency, packet loss and partitions.

    :param loss: share of the datagrams that is lost.
    :ivar cut: returns whether the network drops datagrams from one member to another.
    """

    def __init__(
        self,
        count: int,
        domains: int,
        seed: int,
        *,
        round_s: float = 1.0,
        timeout_s: float = 8.0,
        loss: float = 0.0,
        regions: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.hosts: dict[str, GossipHost] = {}
        self.round_s = round_s
        self.timeout_s = timeout_s
        self.cut: Callable[[Member, Member], bool] = lambda a, b: False
        members = [self.make_member(number, domains, regions) for number in range(count)]
        for member in members:
            self.add(member, members)

    def make_member(self, number: int, domains: int, regions: int) -> Member:
        """Return the membership entry of one host."""
        domain = number % domains
        return Member(
            f"host-{number}",
            f"10.0.{number // 250}.{number % 250}",
            8403,
            8402,
            8401,
            8407,
            8405 if number < domains * 2 else 0,
            f"domain-{domain}",
            f"region-{domain % regions}",
            1,
        )

    def add(self, member: Member, known: list[Member]) -> GossipHost:
        """Add a host that knows the members *known* from the start."""
        rng = random.Random(self.rng.random())
        host = GossipHost(Membership(member, self.round_s, self.timeout_s, rng))
        for other in known:
            if other.host != member.host:
                host.membership.members[other.host] = other
                host.membership.changed_at[other.host] = self.now
        self.hosts[member.host] = host
        self.schedule(self.rng.uniform(0, self.round_s), lambda: self.tick(host))
        return host

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule *action* to run after *delay* seconds."""
        heapq.heappush(self.event_queue, (self.now + delay, next(self.event_numbers), action))

    def run(self, seconds: float) -> None:
        """Advance virtual time by *seconds* and run the events that are due."""
        end = self.now + seconds
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.event_queue)
            action()
        self.now = end

    def tick(self, host: GossipHost) -> None:
        """Run a membership tick of one host and schedule the next."""
        if not host.alive:
            return
        wait = max(self.round_s / TICKS_PER_ROUND, host.paused_until - self.now)
        if host.paused_until <= self.now:
            self.send_all(host, host.membership.tick(self.now))
        self.schedule(wait, lambda: self.tick(host))

    def send_all(self, host: GossipHost, sends: list[Send]) -> None:
        """Send datagrams over the simulated network."""
        for send in sends:
            size = len(msgspec.msgpack.encode(send.message))
            host.bytes_sent += size
            host.messages += 1
            if self.rng.random() < self.loss:
                continue
            if self.cut(host.membership.own, send.member):
                continue
            latency = self.rng.uniform(0.0005, 0.003)
            self.schedule(latency, lambda send=send, size=size: self.deliver(send, size))  # type: ignore[misc]

    def deliver(self, send: Send, size: int) -> None:
        """Deliver a datagram to its host."""
        host = self.hosts.get(send.member.host)
        if host is None or not host.alive or host.paused_until > self.now:
            return
        host.bytes_received += size
        self.send_all(host, host.membership.receive(send.message, self.now))
        self.fetch_if_newer(host, send.message)

    def fetch_if_newer(self, host: GossipHost, message: Gossip) -> None:
        """Fetch a newer version from the sender, as the control program does."""
        version = message.config_version
        if version <= host.membership.config_version:
            return
        sender = self.hosts[message.sender]
        if self.cut(host.membership.own, sender.membership.own):
            return
        host.fetches += 1
        self.schedule(FETCH_DELAY_S, lambda: self.put_in_force(host, version))

    def put_in_force(self, host: GossipHost, version: int) -> None:
        """Put a version in force on a host and announce it to some peers."""
        if not host.alive or version <= host.membership.config_version:
            return
        host.membership.config_version = version
        host.in_force_at[version] = self.now
        self.send_all(host, host.membership.announce(ANNOUNCE_FANOUT))

    def publish(self, version: int, *, reachable: Callable[[Member], bool] = lambda _: True) -> int:
        """Publish a version in the key-value service, which notifies the watching hosts.

        :param reachable: returns whether the service reaches a member.
        :return: number of watching hosts.
        """
        names = {
            name
            for host in self.hosts.values()
            if host.alive
            for name in select_watchers(host.membership.live())
            if name == host.membership.own.host
        }
        for name in sorted(names):
            host = self.hosts[name]
            if reachable(host.membership.own):
                self.schedule(WATCH_DELAY_S, lambda host=host: self.put_in_force(host, version))  # type: ignore[misc]
        return len(names)

    def running_hosts(self) -> list[GossipHost]:
        """Return the hosts that have not crashed."""
        return [host for host in self.hosts.values() if host.alive]

    def known_states(self, name: str) -> set[MemberState]:
        """Return the states in which the running hosts have one host."""
        return {
            host.membership.members[name].state
            for host in self.running_hosts()
            if name in host.membership.members
        }
