"""Few hosts watch the key-value service; the others are told by them.

A watch on every host would cost a call a host for each change. Every host works out from the
datagrams it hears which hosts watch; one that hears of none watches by itself.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..kv.follow import follow, read_whole
from ..kv.view import PrefixView, ViewPart
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import Incarnation
    from ..kv.service import KeyValueService
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
JOIN_S = 0.2
"""Seconds after its first read in which a host only listens: those that watch are heard within
them, after a start of all hosts too. Else each start costs watches that are given up again."""
DISTRUST_S = 3.0
"""Seconds for which a host watches by itself after a watcher's news could not be fetched."""


class News(msgspec.Struct, frozen=True):
    """What a watcher tells a host that is behind, by name of the view."""

    parts: dict[str, ViewPart]


@lru_cache(maxsize=8)
def choose_watchers(lives: frozenset[Incarnation]) -> list[Incarnation]:
    """Return the lives that watch; every host that hears the same ones says the same."""
    return rank("watchers", lives)[:WATCHERS]


@dataclass
class Watchers:
    """Keeps this host's views up to date, by watches of its own or by others' news.

    :param views: views by name; *prefixes* has the prefix of each.
    :param reaches_store: whether this host's own calls to the service are answered.
    :ivar distrusted_until: monotonic time until which this host watches by itself.
    :ivar first_read: set once every view was read.
    :ivar listens_until: monotonic time before which it does not watch.
    """

    kv: KeyValueService
    own: Incarnation
    beats: Beats
    http: HttpClient
    prefixes: dict[str, str]
    views: dict[str, PrefixView]
    reaches_store: Callable[[], bool]
    tasks: TaskGroup = field(default_factory=TaskGroup)
    watching: bool = False
    distrusted_until: float = 0.0
    listens_until: float = 0.0
    first_read: asyncio.Event = field(default_factory=asyncio.Event)
    woken: asyncio.Event = field(default_factory=asyncio.Event)

    def take_beat(self, beat: Beat) -> None:
        """Look at once where a watcher tells of news."""
        own = self.views
        if any(revision > own[name].revision for name, revision in beat.views.items()):
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
            if not self.watching:
                await self._catch_up()
            await self._wait_for_news()

    async def _read_first(self) -> None:
        """Read every view once, and leave the others time to be heard."""
        reads = [
            read_whole(self.kv, self.prefixes[name], view) for name, view in self.views.items()
        ]
        await asyncio.gather(*reads)
        self.first_read.set()
        self.listens_until = monotonic() + JOIN_S

    async def _wait_for_news(self) -> None:
        try:
            async with asyncio.timeout(LOOK_S):
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
        heard = self.beats.heard
        lives = {life for life, row in heard.items() if row.beat.reaches_store}
        if self.reaches_store():
            lives.add(self.own)
        if not lives:
            # The service is away for all: more hosts that ask would bring no news.
            lives = {*heard, self.own}
        if self.own in choose_watchers(frozenset(lives)):
            return True
        return not any(row.beat.watching for row in heard.values())

    def _may_tell(self, heard: HeardBeat) -> bool:
        return heard.beat.watching and heard.beat.reaches_store

    async def _change_role(self) -> None:
        self.watching = not self.watching
        emit(events.WATCH_ROLE, watching=self.watching, heard=len(self.beats.heard))
        if self.watching:
            for name, view in self.views.items():
                self.tasks.start(follow(self.kv, self.prefixes[name], view, view.revision))
        else:
            await self.tasks.stop()

    async def _catch_up(self) -> None:
        """Fetch what a watcher knows and this host does not."""
        own = self.revisions()
        for heard in [row for row in self.beats.heard.values() if self._may_tell(row)]:
            if any(revision > own.get(name, 0) for name, revision in heard.beat.views.items()):
                await self._fetch(heard.address)
                return

    async def _fetch(self, address: str) -> None:
        query = "&".join(f"{name}={revision}" for name, revision in self.revisions().items())
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                response = await self.http.send((ip, int(port)), "GET", f"/news?{query}")
                raw = await response.read()
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            self.distrusted_until = monotonic() + DISTRUST_S
            return
        for name, part in msgspec.msgpack.decode(raw, type=News).parts.items():
            self.views[name].take(part)

    def answer_news(self, request: Request) -> Response:
        """Tell another host what it lacks."""
        parts = {}
        for name, view in self.views.items():
            part = view.tell(int(request.query.get(name, "0")))
            if part is not None:
                parts[name] = part
        return Response(200, body=msgspec.msgpack.encode(News(parts)))
