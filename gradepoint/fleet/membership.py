"""Membership by SWIM (Das, Gupta and Motivala, 2002), as pure decisions.

Each host pings one other at a time, asks a few others to ping it when no answer comes,
suspects it, and calls it lost when it did not refute the suspicion in time. News rides
on pings and acks, so that the cost for each host does not grow with the fleet. Pings
also carry the configuration version in force; see :mod:`gradepoint.fleet.distribution`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .messages import Gossip, GossipKind, Member, MemberState

if TYPE_CHECKING:
    import random

INDIRECT_PINGS = 3
UPDATES_PER_DATAGRAM = 8
DIRECT_SHARE = 0.4
"""Share of a round to wait for a direct answer before asking others."""
REMEMBER_LOST_S = 86400.0
LOST_PING_EVERY = 5
"""Every so many rounds a lost host is pinged too, so that a healed cut is found."""

STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.LOST: 3,
}


@dataclass(frozen=True)
class Send:
    """Decision: send *message* to *member*."""

    member: Member
    message: Gossip


@dataclass
class Probe:
    """The ping of the current round."""

    member: Member
    sequence: int
    sent_at: float
    indirect: bool = False
    answered: bool = False


@dataclass
class Rumour:
    """News to pass on, *sends_left* more times."""

    member: Member
    sends_left: int


@dataclass
class Membership:
    """What one host knows of the others.

    :param timeout_s: seconds from suspicion to loss.
    """

    own: Member
    round_s: float
    timeout_s: float
    random: random.Random
    members: dict[str, Member] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    rumours: dict[str, Rumour] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    probe: Probe | None = None
    relayed: dict[int, tuple[str, int]] = field(default_factory=dict)
    sequence: int = 0
    round: int = 0
    version: int = 0
    last_tick: float | None = None
    config_version: int = 0

    def live(self) -> list[Member]:
        """Return this host and the others that count as live, by name."""
        states = (MemberState.LIVE, MemberState.SUSPECT)
        others = [member for member in self.members.values() if member.state in states]
        own = [self.own] if self.own.state is MemberState.LIVE else []
        return sorted([*others, *own], key=lambda member: member.host)

    def everyone(self) -> list[Member]:
        """Return all members known, this host included."""
        return [*self.members.values(), self.own]

    def tick(self, now: float) -> list[Send]:
        """Advance; call several times a round."""
        self._allow_for_pause(now)
        self.last_tick = now
        sends: list[Send] = []
        probe = self.probe
        if probe is not None and not probe.answered and not probe.indirect:
            if now - probe.sent_at >= self.round_s * DIRECT_SHARE:
                probe.indirect = True
                sends.extend(self._ask_others(probe))
        if probe is None or now - probe.sent_at >= self.round_s:
            self._end_probe(now)
            sends.extend(self._start_probe(now))
        self._expire(now)
        return sends

    def receive(self, message: Gossip, now: float) -> list[Send]:
        """Take a datagram; return the answers."""
        for update in message.updates:
            self.learn(update, now)
        sender = self.members.get(message.sender)
        if message.kind is GossipKind.ACK:
            return self._take_ack(message)
        if sender is None:
            return []
        if message.kind is GossipKind.PING:
            return [self._make(sender, GossipKind.ACK, message.sequence, self.own.host)]
        subject = self.members.get(message.subject)
        if subject is None:
            return []
        self.sequence += 1
        self.relayed[self.sequence] = (message.sender, message.sequence)
        while len(self.relayed) > 64:
            self.relayed.pop(next(iter(self.relayed)))
        return [self._make(subject, GossipKind.PING, self.sequence)]

    def announce(self, fanout: int) -> list[Send]:
        """Ping *fanout* random members at once, to spread a new configuration version."""
        others = [member for member in self.live() if member.host != self.own.host]
        chosen = self.random.sample(others, min(fanout, len(others)))
        return [self._make(member, GossipKind.PING, 0) for member in chosen]

    def learn(self, update: Member, now: float) -> bool:
        """Take an update about a member if it is later than what is known."""
        if update.host == self.own.host:
            return self._refute(update)
        known = self.members.get(update.host)
        if known is not None and not _is_later(update, known):
            return False
        if known is None and update.state is MemberState.LOST:
            return False
        self.members[update.host] = update
        self.changed_at[update.host] = now
        self.version += 1
        self._spread(update)
        return True

    def leave(self) -> list[Send]:
        """Tell others that this host is leaving."""
        self.own = msgspec.structs.replace(
            self.own, state=MemberState.LEAVING, incarnation=self.own.incarnation + 1
        )
        self._spread(self.own)
        return self.announce(INDIRECT_PINGS)

    def mark_leaving(self, host: str, now: float) -> None:
        """Note that the platform lists a host as leaving."""
        member = self.members.get(host)
        if member is not None and member.state is MemberState.LIVE:
            self.learn(msgspec.structs.replace(member, state=MemberState.LEAVING), now)

    def _refute(self, update: Member) -> bool:
        bad = update.state in (MemberState.SUSPECT, MemberState.LOST)
        if (
            self.own.state is MemberState.LIVE
            and bad
            and (update.incarnation >= self.own.incarnation)
        ):
            self.own = msgspec.structs.replace(self.own, incarnation=update.incarnation + 1)
            self._spread(self.own)
        return False

    def _take_ack(self, message: Gossip) -> list[Send]:
        relay = self.relayed.pop(message.sequence, None)
        if relay is not None:
            asker = self.members.get(relay[0])
            if asker is not None:
                return [self._make(asker, GossipKind.ACK, relay[1], message.subject)]
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence:
            if probe.member.host == message.subject:
                probe.answered = True
        return []

    def _ask_others(self, probe: Probe) -> list[Send]:
        others = [
            member
            for member in self.live()
            if member.host not in (self.own.host, probe.member.host)
        ]
        chosen = self.random.sample(others, min(INDIRECT_PINGS, len(others)))
        kind = GossipKind.PING_REQUEST
        return [self._make(member, kind, probe.sequence, probe.member.host) for member in chosen]

    def _end_probe(self, now: float) -> None:
        probe, self.probe = self.probe, None
        if probe is None or probe.answered:
            return
        member = self.members.get(probe.member.host)
        if member is not None and member.state is MemberState.LIVE:
            self.learn(msgspec.structs.replace(member, state=MemberState.SUSPECT), now)

    def _start_probe(self, now: float) -> list[Send]:
        self.round += 1
        member = self._next_member()
        if member is None:
            return []
        self.sequence += 1
        self.probe = Probe(member, self.sequence, now)
        return [self._make(member, GossipKind.PING, self.sequence)]

    def _next_member(self) -> Member | None:
        lost = [member for member in self.members.values() if member.state is MemberState.LOST]
        if lost and self.round % LOST_PING_EVERY == 0:
            return self.random.choice(lost)
        while True:
            if not self.order:
                self.order = [
                    host
                    for host, member in self.members.items()
                    if member.state is not MemberState.LOST
                ]
                self.random.shuffle(self.order)
                if not self.order:
                    return None
            member = self.members.get(self.order.pop())
            if member is not None and member.state is not MemberState.LOST:
                return member

    def _expire(self, now: float) -> None:
        for member in list(self.members.values()):
            age = now - self.changed_at[member.host]
            silent = member.state in (MemberState.SUSPECT, MemberState.LEAVING)
            if silent and age >= self.timeout_s:
                self.learn(msgspec.structs.replace(member, state=MemberState.LOST), now)
            elif member.state is MemberState.LOST and age >= REMEMBER_LOST_S:
                del self.members[member.host]
                del self.changed_at[member.host]

    def _allow_for_pause(self, now: float) -> None:
        """Do not blame others for a time in which this host stood still."""
        if self.last_tick is None:
            return
        gap = now - self.last_tick
        if gap > 2 * self.round_s:
            self.probe = None
            for host in self.changed_at:
                self.changed_at[host] += gap

    def _spread(self, member: Member) -> None:
        times = 3 * math.ceil(math.log2(len(self.members) + 2))
        self.rumours[member.host] = Rumour(member, times)

    def _make(self, to: Member, kind: GossipKind, sequence: int, subject: str = "") -> Send:
        updates = self._updates_for(to)
        message = Gossip(kind, self.own.host, sequence, self.config_version, subject, updates)
        return Send(to, message)

    def _updates_for(self, to: Member) -> tuple[Member, ...]:
        chosen: list[Member] = []
        # A host that is thought ill of hears so first, to refute it.
        if to.state in (MemberState.SUSPECT, MemberState.LOST):
            chosen.append(to)
            chosen.append(self.own)
        fresh = sorted(self.rumours.values(), key=lambda rumour: -rumour.sends_left)
        for rumour in fresh[: UPDATES_PER_DATAGRAM - len(chosen)]:
            chosen.append(rumour.member)
            rumour.sends_left -= 1
            if rumour.sends_left <= 0:
                del self.rumours[rumour.member.host]
        return tuple(chosen)


def _is_later(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATE_ORDER[update.state] > STATE_ORDER[known.state]
