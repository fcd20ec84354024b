"""Which hosts are heard, and what each of them can be asked for."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import ConfigVersion
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .datagrams import Member
from .members import KnownMembers, MemberTable, MissingMembers, add_own, strip_beat

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ..ids import Incarnation
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .datagrams import Beat, DatagramSocket, MemberNews
    from .presence import HostPresence

LOOK_S = 0.1
"""Seconds between looks whether this host's beat changed: far below the time in which other
hosts miss a job's owner or a way to the key-value service."""
NEWS_LOOK_S = 0.03
"""Seconds between looks on a host that watches: news of the service is announced that much
later, a hundredth of the shortest bound on it."""
LONGEST_GAP_S = 0.4
"""Seconds after which a beat is sent to the aggregators though nothing changed, to show that the
host lives."""
STALE_GAPS = 2.5
"""Longest gaps after which a host is not heard any more: two beats are missing."""
STALE_S = LONGEST_GAP_S * STALE_GAPS
"""Seconds for which a beat that came directly shows that its host lives."""
TELLER_STALE_S = 0.8
"""Seconds after its last word until an aggregator's members do not count any more: it tells them
four times a second."""
TELLER_AVOIDED_S = 3.0
"""Seconds for which a host that ought to tell the members and does not is not chosen for it."""
KEPT_S = 1.5
"""Seconds for which hosts that were heard count as heard while nobody tells of members: the time
until the next aggregators do. It is below the time in which others take a host for lost that is cut
off, so that such a host knows first, and answers nobody from memory."""
GREETING_S = 1.0
"""Seconds between beats to a listed host that is not heard, and after which a host that hears of
no members says so to all."""
AGAIN_S = 1.0
"""Seconds after which what all hosts have to hear directly is told once more: one in a hundred
datagrams may be lost, and who lacks a job's owner asks the key-value service at each read."""
DIFFERENT_S = 0.3
"""Seconds for which an aggregator's members may differ from what is known of them until they are
asked for: the next datagrams mostly tell."""
ASK_GAP_S = 2.0
"""Seconds between questions while the aggregator has more to tell: where many hosts change
something in turn, all would ask all the time, and each question costs some milliseconds."""
ASK_JITTER_S = 0.1
"""Longest seconds more by lot, so that not all hosts ask at once."""
ASK_TIMEOUT_S = 0.5
"""Seconds that an aggregator has to tell its members: many times the way."""
LONGEST_LOOK_S = 0.75
"""Seconds between looks at who is silent, after which it was this host that stood still: three
looks are missing. Nobody is blamed for that time."""
WAKING_S = 0.3
"""Seconds after such a time in which nobody is left out: what came meanwhile is read in them."""


@dataclass
class HeardBeat:
    """The newest beat of a host, when it came and from which ``IP:PORT``."""

    beat: Beat
    at: float
    address: str


@dataclass
class ToldMembers:
    """Members as one aggregator tells them.

    :ivar at: monotonic time of its last word.
    :ivar version: newest configuration that it has.
    :ivar different_since: since when its digest is another one; None while it is the same.
    :ivar asked_at: monotonic time of the last question.
    """

    at: float
    version: ConfigVersion = ConfigVersion(0)
    table: MemberTable = field(default_factory=MemberTable)
    different_since: float | None = None
    asking: bool = False
    asked_at: float = float("-inf")

    def may_ask(self, now: float, *, more: bool) -> bool:
        """Whether to ask for the difference now.

        :param more: the aggregator has more to tell by itself.
        """
        return not self.asking and (not more or now - self.asked_at >= ASK_GAP_S)


@dataclass
class Beats:
    """What other hosts say of themselves, and how this one says it.

    :param own: makes this host's beat.
    :param on_beat: called after each beat that came directly.
    :param http: asks aggregators for what their datagrams left out; None never asks.
    :ivar heard: the hosts that live, by what aggregators tell and what comes directly.
    :ivar direct: newest beat that came directly, by life.
    :ivar own_life: this host's life, once it has beaten.
    :ivar number: of its newest beat.
    :ivar hears: the members that this host hears itself, told where it is an aggregator.
    :ivar told: members by the aggregator that tells them.
    :ivar tellers: aggregators of this host, each with the monotonic time since which it ought to
        tell.
    :ivar avoided_until: monotonic time by life until which a silent one is not chosen.
    :ivar greeted_at: monotonic time of the last beat to each host that is listed and not heard.
    :ivar covered_at: monotonic time at which an aggregator last told of most hosts.
    :ivar merged: what :attr:`heard` was worked out from.
    :ivar stood_still: this host stood still, and nobody has told of members since.
    """

    socket: DatagramSocket
    own: Callable[[], Beat]
    on_beat: Callable[[Beat], None] = lambda _: None
    http: HttpClient | None = None
    heard: dict[Incarnation, HeardBeat] = field(default_factory=dict)
    direct: dict[Incarnation, HeardBeat] = field(default_factory=dict)
    hears: MemberTable = field(default_factory=MemberTable)
    told: dict[Incarnation, ToldMembers] = field(default_factory=dict)
    tellers: dict[Incarnation, float] = field(default_factory=dict)
    avoided_until: dict[Incarnation, float] = field(default_factory=dict)
    greeted_at: dict[Incarnation, float] = field(default_factory=dict)
    own_life: Incarnation | None = None
    number: int = 0
    looked_at: float = field(default_factory=monotonic)
    covered_at: float = float("-inf")
    merged: tuple[object, ...] = ()
    stood_still: bool = False
    tasks: TaskGroup = field(default_factory=TaskGroup)

    async def run(
        self,
        peers: Callable[[], Iterable[HostPresence]],
        aggregators: Callable[[], Collection[Incarnation]],
        own_address: str,
    ) -> None:
        """Send this host's beat to those that have to hear it, for ever.

        The aggregators hear whatever changes, and now and then. All hosts hear what this one says
        of its views, since only few say that. Listed hosts that are not heard are greeted, so that
        hosts that start at once know each other before there are aggregators.

        :param peers: returns the listed hosts.
        """
        sent: Beat | None = None
        sent_at = 0.0
        again_at = float("inf")
        while True:
            beat = self._make_beat(sent)
            now = monotonic()
            changed = sent is None or beat.number != sent.number
            if changed:
                self._hear_itself(beat, own_address)
            addresses = self._find_unheard(peers(), now)
            tells_all = needs_telling(beat, sent) or now >= again_at
            # By the next look it would be too late: two beats have to be lost to lose a host.
            due = now + LOOK_S - sent_at > LONGEST_GAP_S
            tells = tells_all or changed or due
            if tells_all:
                addresses = self._find_all(peers())
                is_news = sent is not None and needs_telling(beat, sent)
                again_at = now + AGAIN_S if is_news else float("inf")
            if tells or self._has_new(aggregators()):
                addresses |= self._find_tellers(aggregators())
                sent, sent_at = beat, now
            self.send(beat, addresses)
            await asyncio.sleep(NEWS_LOOK_S if beat.watching else LOOK_S)

    def _make_beat(self, sent: Beat | None) -> Beat:
        """Return this host's beat; its number rises where others have to be told of it."""
        beat = msgspec.structs.replace(self.own(), number=self.number)
        if sent is None or strip_beat(beat) != msgspec.structs.replace(
            strip_beat(sent), config_version=beat.config_version
        ):
            self.number += 1
            beat = msgspec.structs.replace(beat, number=self.number)
        return beat

    def _has_new(self, aggregators: Collection[Incarnation]) -> bool:
        """Whether there is an aggregator that this host has not beaten to."""
        return not self.tellers.keys() >= set(aggregators)

    def _hear_itself(self, beat: Beat, address: str) -> None:
        self.own_life = beat.incarnation
        self.hears.put(Member(strip_beat(beat), address))

    def _find_all(self, peers: Iterable[HostPresence]) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of every host that is listed or heard."""
        listed = {peer.incarnation: peer.peer_address for peer in peers}
        return listed | self.addresses()

    def _find_tellers(self, aggregators: Collection[Incarnation]) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of the aggregators, and take note of which they are."""
        now = monotonic()
        self.tellers = {life: self.tellers.get(life, now) for life in aggregators}
        heard = self.heard
        return {life: heard[life].address for life in aggregators if life in heard}

    def _find_unheard(self, peers: Iterable[HostPresence], now: float) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of listed hosts that are not heard and were not greeted lately."""
        unheard = {
            peer.incarnation: peer.peer_address
            for peer in peers
            if peer.incarnation not in self.heard
            and peer.incarnation != self.own_life
            and now - self.greeted_at.get(peer.incarnation, float("-inf")) >= GREETING_S
        }
        if unheard:
            recent = now - GREETING_S
            kept = {life: at for life, at in self.greeted_at.items() if at >= recent}
            self.greeted_at = {**kept, **dict.fromkeys(unheard, now)}
        return unheard

    def send(self, beat: Beat, addresses: dict[Incarnation, str]) -> None:
        """Send a beat of this host once."""
        if not addresses:
            return
        raw = msgspec.msgpack.encode(beat)
        for life, address in addresses.items():
            if life != beat.incarnation:
                self.socket.send(raw, address)

    def hear(self, beat: Beat, address: str) -> None:
        """Take another host's beat; one that was not known is answered at once."""
        life = beat.incarnation
        known = self.direct.get(life)
        if known is not None and known.beat.number > beat.number:
            return
        now = monotonic()
        self.hears.put(Member(strip_beat(beat), address))
        self.direct[life] = HeardBeat(beat, now, address)
        answered = life in self.heard or now - self.greeted_at.get(life, 0.0) < GREETING_S
        self.heard[life] = self.direct[life]
        if not answered:
            own = msgspec.structs.replace(self.own(), number=self.number)
            self.socket.send(msgspec.msgpack.encode(own), address)
        self.on_beat(beat)

    def find_digest(self) -> int:
        """Return what stands for the hosts that this one hears itself now."""
        now = monotonic()
        self._allow_for_pause(now)
        self._forget_direct(now)
        return self.hears.digest

    def tell_members(self, version: ConfigVersion) -> MemberNews:
        """Return which hosts this one hears itself, as an aggregator tells it."""
        return self.hears.tell(version)

    def hear_members(self, teller: Incarnation, news: MemberNews) -> None:
        """Take which hosts an aggregator hears."""
        now = monotonic()
        told = self.told.setdefault(teller, ToldMembers(now))
        told.at, told.version = now, news.version
        known = told.table.digest
        self.stood_still = False
        same = told.table.take(news)
        if same:
            told.different_since = None
        elif told.different_since is None:
            told.different_since = now + random.uniform(0.0, ASK_JITTER_S)
        elif now - told.different_since >= DIFFERENT_S and told.may_ask(now, more=news.more):
            told.asking, told.asked_at = True, now
            self.tasks.start(self._ask_for_members(teller, told))
        if told.table.digest != known:
            self._merge(now)

    async def _ask_for_members(self, teller: Incarnation, told: ToldMembers) -> None:
        """Ask an aggregator for what is not known of its members."""
        try:
            known = [Member(row.beat, row.address) for row in self.heard.values()]
            asked = msgspec.msgpack.encode(told.table.describe(known))
            missing = await self._fetch_missing(teller, asked)
            if missing is not None:
                told.table.take_missing(missing, known)
                told.different_since = None
                self._merge(monotonic())
        finally:
            told.asking = False

    async def _fetch_missing(self, teller: Incarnation, asked: bytes) -> MissingMembers | None:
        address = self.find_address(teller)
        if self.http is None or address is None:
            return None
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                response = await self.http.send(split_address(address), "POST", "/members", asked)
                raw = await response.read()
            return msgspec.msgpack.decode(raw, type=MissingMembers)
        except (ConnectFailed, ResponseBroken, TimeoutError, msgspec.DecodeError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return None

    async def answer_members(self, request: Request) -> Response:
        """Tell another host what it lacks of the members that this one hears."""
        known = msgspec.msgpack.decode(await request.read_body(), type=KnownMembers)
        return Response(200, body=msgspec.msgpack.encode(self.hears.find_missing(known)))

    def forget_silent(self) -> None:
        """Leave out hosts that are not heard any more, and avoid aggregators that do not tell."""
        now = monotonic()
        self._allow_for_pause(now)
        self._forget_direct(now)
        for life, since in self.tellers.items():
            told = self.told.get(life)
            last_word = since if told is None else max(since, told.at)
            if now - last_word > TELLER_STALE_S and life not in self.avoided_until:
                emit(events.AGGREGATOR_SILENT, member=life)
                self.avoided_until[life] = now + TELLER_AVOIDED_S
        over = [life for life, until in self.avoided_until.items() if until <= now]
        for life in over:
            del self.avoided_until[life]
        self._merge(now)

    def _allow_for_pause(self, now: float) -> None:
        """Do not blame others for a time in which this host stood still."""
        gap_s, self.looked_at = now - self.looked_at, now
        if gap_s <= LONGEST_LOOK_S:
            return
        self.stood_still = True
        for row in self.direct.values():
            row.at = max(row.at, now - STALE_S + WAKING_S)
        for told in self.told.values():
            told.at = max(told.at, now - TELLER_STALE_S + WAKING_S)
        waking = now - TELLER_STALE_S + WAKING_S
        self.tellers = {life: max(since, waking) for life, since in self.tellers.items()}
        self.covered_at = max(self.covered_at, now - KEPT_S + WAKING_S)

    def _forget_direct(self, now: float) -> None:
        """Leave out hosts that this one does not hear itself any more."""
        oldest = now - STALE_S
        for life, row in self.direct.items():
            if row.at < oldest and life in self.hears.rows:
                self.hears.remove(life)
        self.direct = {
            life: row for life, row in self.direct.items() if row.at >= oldest or life in self.heard
        }

    def _merge(self, now: float) -> None:
        """Work out who lives: whoever is heard here, or by any aggregator that tells."""
        telling = [told for told in self.told.values() if now - told.at <= TELLER_STALE_S]
        fresh = [row for row in self.direct.values() if now - row.at <= STALE_S]
        # Where most hosts are missing, it is rather the tellers that hear little.
        covering = [told for told in telling if 2 * len(told.table.rows) > len(self.heard)]
        self.covered_at = max([self.covered_at, *(told.at for told in covering)])
        keeps = not covering and now - self.covered_at <= KEPT_S
        merged = (
            keeps,
            tuple(told.table.digest for told in telling),
            frozenset((row.beat.incarnation, row.beat.number) for row in fresh),
        )
        if merged == self.merged:
            return
        self.merged = merged
        heard = {row.beat.incarnation: row for row in fresh}
        for told in telling:
            for member in told.table.rows.values():
                self._hear_told(heard, member, now)
        self.heard = {**self.heard, **heard} if keeps else heard
        self.told = {life: told for life, told in self.told.items() if now - told.at <= KEPT_S}

    def _hear_told(self, heard: dict[Incarnation, HeardBeat], member: Member, now: float) -> None:
        """Take a member that another host hears; what came directly says more."""
        life, number = member.beat.incarnation, member.beat.number
        known = heard.get(life)
        if life == self.own_life or (known is not None and known.beat.number >= number):
            return
        direct = self.direct.get(life)
        if direct is not None and direct.beat.number >= number:
            heard[life] = direct
        elif direct is not None:
            heard[life] = HeardBeat(add_own(member.beat, direct.beat), now, member.address)
        else:
            heard[life] = HeardBeat(member.beat, now, member.address)

    def helpers(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts that reach the key-value service."""
        return [heard.address for heard in self.heard.values() if heard.beat.reaches_store]

    def find_owners(self, job: int) -> list[tuple[Incarnation, str]]:
        """Return life and ``IP:PORT`` of the hosts that say that they have a job."""
        heard = self.heard.items()
        return [(life, row.address) for life, row in heard if job in row.beat.jobs]

    def find_owner(self, job: int) -> tuple[Incarnation, str] | None:
        """Return the life and ``IP:PORT`` of the host that runs a job, by its short hash.

        None where several say that they have it: one was taken for lost and does not know it
        yet, or holds it until it can write it.
        """
        owners = self.find_owners(job)
        return owners[0] if len(owners) == 1 else None

    def find_address(self, life: Incarnation) -> str | None:
        """Return ``IP:PORT`` of a host that is heard."""
        heard = self.heard.get(life)
        return None if heard is None else heard.address

    def addresses(self) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of every host that is heard."""
        return {life: heard.address for life, heard in self.heard.items()}

    def find_tellers(self) -> dict[Incarnation, str]:
        """Return ``IP:PORT`` of the hosts that may be chosen as aggregators."""
        return {
            life: heard.address
            for life, heard in self.heard.items()
            if life not in self.avoided_until
        }

    def find_newer_config(self, version: ConfigVersion) -> list[str]:
        """Return ``IP:PORT`` of the peers whose configuration is newer than *version*."""
        newer = {
            life: row.address
            for life, row in self.heard.items()
            if row.beat.config_version > version
        }
        for teller, told in self.told.items():
            if told.version > version and teller in self.heard:
                newer[teller] = self.heard[teller].address
        return list(newer.values())


def needs_telling(beat: Beat, sent: Beat | None) -> bool:
    """Whether a beat says something that all hosts have to hear at once, and directly.

    A newer configuration can wait: every host has it at about the same time, from the watchers. So
    can the ages of views, which always grow; a new proof of them cannot. Whether the host reaches
    the store is told by the aggregators.
    """
    if sent is None:
        return True
    own = (beat.watching, beat.views, beat.proofs, beat.jobs)
    return own != (sent.watching, sent.views, sent.proofs, sent.jobs)
