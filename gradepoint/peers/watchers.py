"""Few hosts watch the key-value service; the others are told by them.

A watch on every host would cost a call a host for each change. Every host works out from the
datagrams it hears which hosts watch; one that hears of none watches by itself. How old the views
may be is bounded by :mod:`~gradepoint.peers.proofs`.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from functools import lru_cache, partial
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..kv.follow import follow, read_whole
from ..kv.view import PrefixView, ViewPart
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .proofs import Proof, Proofs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import Incarnation
    from ..kv.relay import RelayedKv
    from ..kv.service import RangeResult, WatchEvent
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .beats import Beats, HeardBeat
    from .datagrams import Beat

WATCHERS = 3
"""Hosts that watch: any two may be lost or cut off at once without a pause in the news."""
LOOK_S = 0.25
"""Seconds between looks whether this host has to watch; a beat with news is looked at at once."""
FETCH_TIMEOUT_S = 0.5
"""Seconds a watcher has to tell the news: many times the way, well below the shortest bound."""
LEAST_LOOK_S = 0.02
"""Seconds between looks at least, whatever is due: many times a step of the clock."""
GRACE_S = 0.3
"""Seconds within which this host's own watch has to tell news that came another way too: several
times what it waits for changes that come together."""
JOIN_S = 0.2
"""Seconds after its first read in which a host only listens: those that watch are heard within
them, after a start of all hosts too. Else each start costs watches that are given up again."""
HOSTS_ASKED = 2
"""Hosts that are asked for the same news: one may have ended just now."""
DISTRUST_S = 3.0
"""Seconds for which a host watches by itself where nobody tells it the news, and for which one
that did not answer is not asked."""


class News(msgspec.Struct, frozen=True):
    """What a watcher tells a host that is behind, by name of the view.

    :param proven: see :class:`~gradepoint.peers.datagrams.Beat`.
    """

    parts: dict[str, ViewPart]
    proven: dict[str, Proof]


@lru_cache(maxsize=8)
def choose_watchers(lives: frozenset[Incarnation]) -> list[Incarnation]:
    """Return the lives that watch; every host that hears the same ones says the same."""
    return rank("watchers", lives)[:WATCHERS]


@dataclass
class Heard:
    """Implements :class:`~gradepoint.kv.follow.Follower`: says when a watch tells something."""

    view: PrefixView
    note: Callable[[], None]

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        self.note()
        self.view.reset(found)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        self.note()
        self.view.change(event)


@dataclass
class Watchers:
    """Keeps this host's views up to date, by watches of its own or by others' news.

    :param views: views by name; *prefixes* has the prefix of each.
    :param bounds_s: seconds by view in which a change has to be known.
    :ivar asking: questions whether a view lacks a change; *proving* has the views' names.
    :ivar told_at: monotonic time by view at which this host's own watch last told something.
    :ivar missed_at: monotonic time by view at which a change came another way than by that.
    :ivar failed_until: monotonic time by ``IP:PORT`` until which a host is not asked for news.
    :ivar untold_since: monotonic time since which there is news that no host tells.
    :ivar distrusted_until: monotonic time until which this host watches by itself.
    :ivar first_read: set once every view was read.
    :ivar listens_until: monotonic time before which it does not watch.
    """

    kv: RelayedKv
    own: Incarnation
    beats: Beats
    http: HttpClient
    prefixes: dict[str, str]
    views: dict[str, PrefixView]
    bounds_s: dict[str, float]
    tasks: TaskGroup = field(default_factory=TaskGroup)
    asking: TaskGroup = field(default_factory=TaskGroup)
    proving: set[str] = field(default_factory=set)
    told_at: dict[str, float] = field(default_factory=dict)
    missed_at: dict[str, float] = field(default_factory=dict)
    failed_until: dict[str, float] = field(default_factory=dict)
    untold_since: float | None = None
    watching: bool = False
    distrusted_until: float = 0.0
    listens_until: float = 0.0
    first_read: asyncio.Event = field(default_factory=asyncio.Event)
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    proofs: Proofs = field(init=False)

    def __post_init__(self) -> None:
        self.proofs = Proofs(self.kv, self.prefixes, self.views, self.bounds_s)

    def take_beat(self, beat: Beat) -> None:
        """Take the proofs of a host that watches; look at once where it tells of news.

        A host that watches itself hears the news at about the same time, and looks later whether
        it did.
        """
        self.proofs.hear(beat.proven)
        own = self.views
        news = any(revision > own[name].revision for name, revision in beat.views.items())
        if news and not self.watching:
            self.woken.set()

    def revisions(self) -> dict[str, int]:
        """Return the revision of each view, as other hosts hear of it."""
        return {name: view.revision for name, view in self.views.items()}

    async def run(self) -> None:
        """Watch or listen, whichever falls to this host, for ever."""
        await self._read_first()
        while True:
            if self.must_watch() != self.watching:
                await self._change_role()
            await self._catch_up()
            if self._find_deaf():
                await self._follow_anew()
            await self._wait_for_news(self._prove_old_views())

    async def _read_first(self) -> None:
        """Read every view once in a life, and leave the others time to be heard."""
        if self.first_read.is_set():
            return
        reads = [
            read_whole(self.kv, self.prefixes[name], view) for name, view in self.views.items()
        ]
        asked_at = monotonic()
        await asyncio.gather(*reads)
        self.proofs.proven_at.update(dict.fromkeys(self.views, asked_at))
        self.first_read.set()
        self.listens_until = monotonic() + JOIN_S

    async def _wait_for_news(self, longest_s: float) -> None:
        try:
            async with asyncio.timeout(longest_s):
                await self.woken.wait()
        except TimeoutError:
            pass
        self.woken.clear()

    def must_watch(self) -> bool:
        """Whether this host watches: it is one of the chosen, or hears of nobody who does."""
        now = monotonic()
        if now < self.distrusted_until:
            return True
        if now < self.listens_until:
            return False
        if self._rank() is not None:
            return True
        return not any(row.beat.watching for row in self.beats.heard.values())

    def _rank(self) -> int | None:
        """Return this host's place among the chosen, None if it is not one of them."""
        heard = self.beats.heard
        lives = {life for life, row in heard.items() if row.beat.reaches_store}
        if self.kv.reaches_store:
            lives.add(self.own)
        if not lives:
            # The service is away for all: more hosts that ask would bring no news.
            lives = {*heard, self.own}
        chosen = choose_watchers(frozenset(lives))
        return chosen.index(self.own) if self.own in chosen else None

    def _may_tell(self, heard: HeardBeat) -> bool:
        return heard.beat.watching and heard.beat.reaches_store

    async def _change_role(self) -> None:
        self.watching = not self.watching
        emit(events.WATCH_ROLE, watching=self.watching, heard=len(self.beats.heard))
        if self.watching:
            self._follow()
        else:
            await self.tasks.stop()

    def _follow(self) -> None:
        for name in self.views:
            self.tasks.keep(f"watch of {name}", partial(self._watch, name))

    async def _watch(self, name: str) -> None:
        view = self.views[name]
        heard = Heard(view, lambda: self.told_at.update({name: monotonic()}))
        await follow(self.kv, self.prefixes[name], heard, view.known_to)

    def _find_deaf(self) -> list[str]:
        """Return the views of which this host's own watch told nothing, though there was news.

        The watch may be on its way with the same news, a little behind.
        """
        now = monotonic()
        if not self.watching:
            self.missed_at.clear()
        for name, missed_at in list(self.missed_at.items()):
            if self.told_at.get(name, 0.0) > missed_at - GRACE_S:
                del self.missed_at[name]
        return [name for name, at in self.missed_at.items() if now - at >= GRACE_S]

    async def _follow_anew(self) -> None:
        """Begin the watches anew, since they seem to have fallen silent."""
        emit(events.WATCH_MISSED, views=sorted(self.missed_at))
        self.missed_at.clear()
        await self.tasks.stop()
        self._follow()

    def _prove_old_views(self) -> float:
        """Begin to prove the views that were not proven lately; return seconds until the next look.

        While the service answers nobody, only the hosts that watch ask whether it is back.
        """
        rank = self._rank()
        if rank is None and not self.kv.answers:
            return LOOK_S
        due = {name: self.proofs.due_in_s(name, rank) for name in self.views}
        for name in [name for name, due_s in due.items() if due_s <= 0]:
            if name not in self.proving:
                self.proving.add(name)
                self.asking.start(self._prove(name))
        soonest_s = min([LOOK_S, *(due_s for due_s in due.values() if due_s > 0)])
        return max(LEAST_LOOK_S, soonest_s)

    async def _prove(self, name: str) -> None:
        try:
            if await self.proofs.prove(name):
                self.missed_at.setdefault(name, monotonic())
        finally:
            self.proving.discard(name)

    async def _catch_up(self) -> None:
        """Fetch what a watcher knows and this host does not, from any of those ahead.

        One that has just ended is heard for a while. Where nobody tells the news for longer than a
        look, this host watches by itself.
        """
        ahead = self._find_ahead()
        now = monotonic()
        asked = [address for address in ahead if self.failed_until.get(address, 0.0) <= now]
        for address in random.sample(asked, min(HOSTS_ASKED, len(asked))):
            if await self._fetch(address):
                ahead = []
                break
            self.failed_until[address] = monotonic() + DISTRUST_S
        if not ahead:
            self.untold_since = None
        elif self.untold_since is None:
            self.untold_since = now
        elif now - self.untold_since >= LOOK_S:
            self.untold_since = None
            self.distrusted_until = now + DISTRUST_S
            self.woken.set()

    def _find_ahead(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts that watch and know more than this one."""
        own = self.revisions()
        return [
            row.address
            for row in self.beats.heard.values()
            if self._may_tell(row)
            and any(revision > own.get(name, 0) for name, revision in row.beat.views.items())
        ]

    async def _fetch(self, address: str) -> bool:
        """Take what a watcher knows and this host does not; return whether it told anything."""
        query = "&".join(f"{name}={revision}" for name, revision in self.revisions().items())
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                response = await self.http.send(split_address(address), "GET", f"/news?{query}")
                raw = await response.read()
            if response.status != 200:
                raise ResponseBroken(f"answered {response.status}")
            news = msgspec.msgpack.decode(raw, type=News)
        except (ConnectFailed, ResponseBroken, TimeoutError, msgspec.DecodeError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return False
        for name, part in news.parts.items():
            view = self.views[name]
            known = view.digest
            view.take(part)
            if view.digest != known:
                self.missed_at.setdefault(name, monotonic())
        self.proofs.hear(news.proven)
        return True

    async def stop(self) -> None:
        """End the watches and what asks for proof."""
        await self.asking.stop()
        await self.tasks.stop()

    def answer_news(self, request: Request) -> Response:
        """Tell another host what it lacks."""
        parts = {}
        for name, view in self.views.items():
            part = view.tell(int(request.query.get(name, "0")))
            if part is not None:
                parts[name] = part
        return Response(200, body=msgspec.msgpack.encode(News(parts, self.proofs.tell())))
