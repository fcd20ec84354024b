"""Membership by the SWIM protocol (Das, Gupta and Motivala, 2002), without I/O.

In each round a host pings one other host. If no ack comes in time, it asks a few others to
ping that host. Without an ack by the end of the round the host becomes suspect, and it is
declared lost unless it refutes the suspicion in time. Updates are piggybacked on pings and
acks, so that the cost for each host does not grow with the fleet. Pings and acks also carry
the configuration version in force; see :mod:`gradepoint.fleet.distribution`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .messages import MAX_INCARNATION, Gossip, GossipKind, Member, MemberState

if TYPE_CHECKING:
    import random

INDIRECT_PINGS = 3
"""Hosts asked to ping a host that did not answer; also the hosts told of a planned leave."""

UPDATES_PER_DATAGRAM = 8
"""Most member updates piggybacked on one datagram."""

DIRECT_ACK_SHARE = 0.4
"""Share of a round to wait for a direct ack before other hosts are asked to ping."""

LOST_RETENTION_S = 86400.0
"""Seconds after which a lost host is forgotten."""

LOST_PING_INTERVAL = 5
"""Rounds between pings of a lost host.

Without them the two sides of a network partition would not find each other after it heals.
"""

STATE_PRECEDENCE = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.LOST: 3,
}
"""Of two updates with the same incarnation, the one with the higher value here wins."""


@dataclass(frozen=True)
class Send:
    """Instruction to the caller to send *message* to *member*."""

    member: Member
    message: Gossip


@dataclass
class Probe:
    """The ping of the current round.

    :param indirect: whether other hosts were asked to ping the member.
    :param acked: whether an ack arrived, directly or through another host.
    """

    member: Member
    sequence: int
    sent_at: float
    indirect: bool = False
    acked: bool = False


@dataclass
class QueuedUpdate:
    """A member update that is still to be sent in *transmissions_left* datagrams."""

    member: Member
    transmissions_left: int


@dataclass
class Membership:
    """The membership state of one host: what it knows of the others.

    The caller provides clock and network: it passes the monotonic time in *now* and sends
    the returned :class:`Send` items.

    :param own: the entry of this host itself, which is not in *members*.
    :param round_s: seconds between two pings.
    :param timeout_s: seconds after which a suspect or leaving host counts as lost.
    :ivar changed_at: time of each member's last change of state.
    :ivar queued_updates: updates to piggyback on datagrams, by host.
    :ivar probe_order: hosts still to be pinged before the next shuffle.
    :ivar relayed_pings: for each ping sent on request of another host, by its sequence
        number: the requester and the sequence number of the request.
    :ivar members_version: increased with each change of *members*.
    :ivar config_version: configuration version in force at this host.
    """

    own: Member
    round_s: float
    timeout_s: float
    random: random.Random
    members: dict[str, Member] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    queued_updates: dict[str, QueuedUpdate] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)
    probe: Probe | None = None
    relayed_pings: dict[int, tuple[str, int]] = field(default_factory=dict)
    sequence: int = 0
    round_number: int = 0
    members_version: int = 0
    last_tick: float | None = None
    config_version: int = 0

    def live(self) -> list[Member]:
        """Return the members that count as live, sorted by host name; suspects count as live."""
        states = (MemberState.LIVE, MemberState.SUSPECT)
        others = [member for member in self.members.values() if member.state in states]
        own = [self.own] if self.own.state is MemberState.LIVE else []
        return sorted([*others, *own], key=lambda member: member.host)

    def all_members(self) -> list[Member]:
        """Return all known members in any state, this host included."""
        return [*self.members.values(), self.own]

    def tick(self, now: float) -> list[Send]:
        """Advance the protocol to time *now*; must be called several times in each round."""
        self._compensate_for_pause(now)
        self.last_tick = now
        sends: list[Send] = []
        probe = self.probe
        if probe is not None and not probe.acked and not probe.indirect:
            if now - probe.sent_at >= self.round_s * DIRECT_ACK_SHARE:
                probe.indirect = True
                sends.extend(self._make_ping_requests(probe))
        if probe is None or now - probe.sent_at >= self.round_s:
            self._end_probe(now)
            sends.extend(self._start_probe(now))
        self._expire_members(now)
        return sends

    def receive(self, message: Gossip, now: float) -> list[Send]:
        """Process a datagram and return the messages to send in response."""
        for update in message.updates:
            self.apply_update(update, now)
        sender = self.members.get(message.sender)
        if message.kind is GossipKind.ACK:
            return self._handle_ack(message)
        if sender is None:
            return []
        if message.kind is GossipKind.PING:
            return [self._make_send(sender, GossipKind.ACK, message.sequence, self.own.host)]
        subject = self.members.get(message.subject)
        if subject is None:
            return []
        self.sequence += 1
        self.relayed_pings[self.sequence] = (message.sender, message.sequence)
        while len(self.relayed_pings) > 64:
            self.relayed_pings.pop(next(iter(self.relayed_pings)))
        return [self._make_send(subject, GossipKind.PING, self.sequence)]

    def announce(self, fanout: int) -> list[Send]:
        """Ping *fanout* random live members at once, to announce a new configuration version."""
        others = [member for member in self.live() if member.host != self.own.host]
        chosen = self.random.sample(others, min(fanout, len(others)))
        return [self._make_send(member, GossipKind.PING, 0) for member in chosen]

    def apply_update(self, update: Member, now: float) -> bool:
        """Apply an update about a member if it supersedes what is known.

        An update about this host itself is refuted if it is wrong.

        :return: whether the known state changed.
        """
        if update.host == self.own.host:
            return self._refute(update)
        known = self.members.get(update.host)
        if known is not None and not _supersedes(update, known):
            return False
        if known is None and update.state is MemberState.LOST:
            return False
        self.members[update.host] = update
        self.changed_at[update.host] = now
        self.members_version += 1
        self._queue_update(update)
        return True

    def leave(self) -> list[Send]:
        """Mark this host as leaving and return the messages that announce it."""
        self.own = msgspec.structs.replace(
            self.own, state=MemberState.LEAVING, incarnation=self.own.incarnation + 1
        )
        self._queue_update(self.own)
        return self.announce(INDIRECT_PINGS)

    def mark_leaving(self, host: str, now: float) -> None:
        """Mark a live host as leaving, because the platform lists it so."""
        member = self.members.get(host)
        if member is not None and member.state is MemberState.LIVE:
            self.apply_update(msgspec.structs.replace(member, state=MemberState.LEAVING), now)

    def _refute(self, update: Member) -> bool:
        suspected = update.state in (MemberState.SUSPECT, MemberState.LOST)
        if (
            self.own.state is MemberState.LIVE
            and suspected
            and (self.own.incarnation <= update.incarnation < MAX_INCARNATION)
        ):
            self.own = msgspec.structs.replace(self.own, incarnation=update.incarnation + 1)
            self._queue_update(self.own)
        return False

    def _handle_ack(self, message: Gossip) -> list[Send]:
        relay = self.relayed_pings.pop(message.sequence, None)
        if relay is not None:
            requester = self.members.get(relay[0])
            if requester is not None:
                return [self._make_send(requester, GossipKind.ACK, relay[1], message.subject)]
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence:
            if probe.member.host == message.subject:
                probe.acked = True
        return []

    def _make_ping_requests(self, probe: Probe) -> list[Send]:
        others = [
            member
            for member in self.live()
            if member.host not in (self.own.host, probe.member.host)
        ]
        chosen = self.random.sample(others, min(INDIRECT_PINGS, len(others)))
        kind = GossipKind.PING_REQUEST
        return [
            self._make_send(member, kind, probe.sequence, probe.member.host) for member in chosen
        ]

    def _end_probe(self, now: float) -> None:
        probe, self.probe = self.probe, None
        if probe is None or probe.acked:
            return
        member = self.members.get(probe.member.host)
        if member is not None and member.state is MemberState.LIVE:
            self.apply_update(msgspec.structs.replace(member, state=MemberState.SUSPECT), now)

    def _start_probe(self, now: float) -> list[Send]:
        self.round_number += 1
        member = self._next_probe_member()
        if member is None:
            return []
        self.sequence += 1
        self.probe = Probe(member, self.sequence, now)
        return [self._make_send(member, GossipKind.PING, self.sequence)]

    def _next_probe_member(self) -> Member | None:
        lost = [member for member in self.members.values() if member.state is MemberState.LOST]
        if lost and self.round_number % LOST_PING_INTERVAL == 0:
            return self.random.choice(lost)
        while True:
            if not self.probe_order:
                self.probe_order = [
                    host
                    for host, member in self.members.items()
                    if member.state is not MemberState.LOST
                ]
                self.random.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            member = self.members.get(self.probe_order.pop())
            if member is not None and member.state is not MemberState.LOST:
                return member

    def _expire_members(self, now: float) -> None:
        for member in list(self.members.values()):
            age = now - self.changed_at[member.host]
            can_time_out = member.state in (MemberState.SUSPECT, MemberState.LEAVING)
            if can_time_out and age >= self.timeout_s:
                self.apply_update(msgspec.structs.replace(member, state=MemberState.LOST), now)
            elif member.state is MemberState.LOST and age >= LOST_RETENTION_S:
                del self.members[member.host]
                del self.changed_at[member.host]

    def _compensate_for_pause(self, now: float) -> None:
        """Extend all timeouts by the time in which this host did not run.

        Otherwise a paused host would declare others lost because it did not process their acks.
        """
        if self.last_tick is None:
            return
        gap = now - self.last_tick
        if gap > 2 * self.round_s:
            self.probe = None
            for host in self.changed_at:
                self.changed_at[host] += gap

    def _queue_update(self, member: Member) -> None:
        transmissions = 3 * math.ceil(math.log2(len(self.members) + 2))
        self.queued_updates[member.host] = QueuedUpdate(member, transmissions)

    def _make_send(
        self, recipient: Member, kind: GossipKind, sequence: int, subject: str = ""
    ) -> Send:
        updates = self._select_updates(recipient)
        message = Gossip(kind, self.own.host, sequence, self.config_version, subject, updates)
        return Send(recipient, message)

    def _select_updates(self, recipient: Member) -> tuple[Member, ...]:
        chosen: list[Member] = []
        # A host under suspicion is told so first, so that it can refute it.
        if recipient.state in (MemberState.SUSPECT, MemberState.LOST):
            chosen.append(recipient)
            chosen.append(self.own)
        by_transmissions_left = sorted(
            self.queued_updates.values(), key=lambda queued: -queued.transmissions_left
        )
        for queued in by_transmissions_left[: UPDATES_PER_DATAGRAM - len(chosen)]:
            chosen.append(queued.member)
            queued.transmissions_left -= 1
            if queued.transmissions_left <= 0:
                del self.queued_updates[queued.member.host]
        return tuple(chosen)


def _supersedes(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state]
