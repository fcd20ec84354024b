"""Many hosts' membership and configuration spread in one process, in virtual time.

Runs the product's own decisions (:mod:`gradepoint.fleet.membership`,
:mod:`gradepoint.fleet.distribution`); only the network and the fetch of a document are
stood in for. Events are kept in one heap, so that 400 hosts run fast.
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
FETCH_S = 0.004


@dataclass
class GossipHost:
    """One host of the simulation."""

    membership: Membership
    alive: bool = True
    in_force_at: dict[int, float] = field(default_factory=dict)
    bytes_sent: int = 0
    bytes_received: int = 0
    messages: int = 0
    fetches: int = 0
    paused_until: float = 0.0


class GossipFleet:
    """Hosts on a network with latency, loss and cuts."""

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
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.hosts: dict[str, GossipHost] = {}
        self.round_s = round_s
        self.timeout_s = timeout_s
        self.cut: Callable[[Member, Member], bool] = lambda a, b: False
        members = [self.make_member(number, domains, regions) for number in range(count)]
        for member in members:
            self.add(member, members)

    def make_member(self, number: int, domains: int, regions: int) -> Member:
        """Return the entry of one host."""
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
        """Add a host that knows *known*."""
        rng = random.Random(self.rng.random())
        host = GossipHost(Membership(member, self.round_s, self.timeout_s, rng))
        for other in known:
            if other.host != member.host:
                host.membership.members[other.host] = other
                host.membership.changed_at[other.host] = self.now
        self.hosts[member.host] = host
        self.at(self.rng.uniform(0, self.round_s), lambda: self.tick(host))
        return host

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Run *action* after *delay* seconds."""
        heapq.heappush(self.heap, (self.now + delay, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Let *seconds* pass."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = end

    def tick(self, host: GossipHost) -> None:
        """Advance one host."""
        if not host.alive:
            return
        wait = max(self.round_s / TICKS_PER_ROUND, host.paused_until - self.now)
        if host.paused_until <= self.now:
            self.send_all(host, host.membership.tick(self.now))
        self.at(wait, lambda: self.tick(host))

    def send_all(self, host: GossipHost, sends: list[Send]) -> None:
        """Put datagrams on the network."""
        for send in sends:
            size = len(msgspec.msgpack.encode(send.message))
            host.bytes_sent += size
            host.messages += 1
            if self.rng.random() < self.loss:
                continue
            if self.cut(host.membership.own, send.member):
                continue
            latency = self.rng.uniform(0.0005, 0.003)
            self.at(latency, lambda send=send, size=size: self.deliver(send, size))  # type: ignore[misc]

    def deliver(self, send: Send, size: int) -> None:
        """Hand a datagram to its host."""
        host = self.hosts.get(send.member.host)
        if host is None or not host.alive or host.paused_until > self.now:
            return
        host.bytes_received += size
        self.send_all(host, host.membership.receive(send.message, self.now))
        self.maybe_fetch(host, send.message)

    def maybe_fetch(self, host: GossipHost, message: Gossip) -> None:
        """Fetch a newer version from the sender, as the control program does."""
        version = message.config_version
        if version <= host.membership.config_version:
            return
        sender = self.hosts[message.sender]
        if self.cut(host.membership.own, sender.membership.own):
            return
        host.fetches += 1
        self.at(FETCH_S, lambda: self.put_in_force(host, version))

    def put_in_force(self, host: GossipHost, version: int) -> None:
        """Take a version and tell some peers."""
        if not host.alive or version <= host.membership.config_version:
            return
        host.membership.config_version = version
        host.in_force_at[version] = self.now
        self.send_all(host, host.membership.announce(ANNOUNCE_FANOUT))

    def publish(self, version: int, *, reachable: Callable[[Member], bool] = lambda _: True) -> int:
        """Write a version to the service: the watchers hear of it; return how many watch."""
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
                self.at(WATCH_DELAY_S, lambda host=host: self.put_in_force(host, version))  # type: ignore[misc]
        return len(names)

    def living(self) -> list[GossipHost]:
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.alive]

    def seen_states(self, name: str) -> set[MemberState]:
        """Return what the living hosts think of one host."""
        return {
            host.membership.members[name].state
            for host in self.living()
            if name in host.membership.members
        }
