"""Watchers: a few hosts watch the key-value service and pass changes on to the others.

If every host watched, each change would cost one call per host. Every host computes from the
heartbeats it hears which hosts watch; a host that hears no watcher watches the service directly.
:mod:`~gradepoint.peers.proofs` limits the age of the views.
"""

from __future__ import annotations

import asyncio
import random
from functools import lru_cache, partial
from typing import TYPE_CHECKING, cast

import msgspec

from .. import events
from ..errors import DecodingError, KvError, KvOverRate
from ..kv.follow import MAX_BACKOFF_S, Backoff, follow
from ..kv.service import PartialRange
from ..kv.view import PrefixView, ViewUpdate
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.numbers import read_wire_number
from ..util.structs import Struct, field
from ..util.tasks import RESTART_DELAY_S, TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .presence import read_host
from .proofs import MILLISECONDS, Proof, Proofs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..ids import HostName, Incarnation
    from ..kv.relay import RelayedKv
    from ..kv.service import PagedService, RangeResult, WatchEvent
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .datagrams import Heartbeat
    from .heartbeats import Heartbeats, ReceivedHeartbeat

WATCHER_COUNT = 3
"""Number of watchers: any two may be lost or cut off at once without a gap in the updates."""
CHECK_GAP_S = 0.25
"""Seconds between checks whether this host has to watch. A heartbeat that shows newer revisions
triggers a check at once."""
FETCH_TIMEOUT_S = 0.5
"""Seconds that a watcher has to answer a request for updates: many times the transmission time, and
well below the shortest bound."""
MIN_CHECK_GAP_S = 0.02
"""Minimum seconds between checks, whatever is due: many times the resolution of the clock."""
OWN_WATCH_GRACE_S = 0.3
"""Seconds within which this host's own watch must deliver a change that also came another way:
several times the delay by which a watch batches changes."""
FIRST_READ_BACKOFF_S = 0.2
"""Longest delay in seconds between retries of the first reads, without which a host serves nothing.
When 300 hosts start together, the service refuses calls above its rate for half a second, and a
longer delay would leave its rate unused afterwards."""
FIRST_READ_GAP_S = 0.1
"""Seconds between the attempts of all hosts together to read a view for the first time, once they
hear each other. One host tries as often as it did alone; the others are there in case it fails, and
leave the service's rate to it, to leases and to proofs."""
MAX_FIRST_READ_PAUSE_S = 5.0
"""Longest delay in seconds between these attempts of one host."""
MAX_TAKEN_AGE_S = 10.0
"""Age in seconds of a proof up to which a host that starts takes the whole view from another one.
A read of several pages takes as long as that when the service refuses most of them, and whoever
takes the view has it proven within the view's bound, as hosts do that have read it."""
RELAY_AFTER_FAILURES = 3
"""First reads without an answer after which other hosts that reach the service are asked to relay
them: this host may be cut off, also from the hosts that offer views."""
HOSTS_VIEW = "live"
"""View that names the other hosts. It is read first where the service refuses calls: hosts that
know each other need to read the other views only once."""
SHARE_S = 3.0
"""Seconds after its first read in which a host that does not watch announces its proofs to hosts
that start too; by then the watchers are chosen and announce theirs."""
JOIN_DELAY_S = 0.2
"""Seconds after its first read in which a host does not watch. The current watchers are heard
within that time; otherwise each start would open watches that are closed again."""
START_SPREAD_S = 0.8
"""Seconds after its first read in which a host counts listed hosts that it does not hear among
those that may watch. Hosts that got power together begin to serve over 0.5 s, and each of them
would choose watchers among the few that it hears. Views are proven after 1 s, whoever watches."""
STAND_IN_DELAY_S = 1.3
"""Seconds after its first read in which a host that is not chosen does not watch, although it hears
no watcher: the chosen hosts may have started 0.5 s later and may still choose among listed hosts. A
host that gets no proof either reads a view after 1.5 s at the earliest."""
REGAIN_S = 1.0
"""Seconds after a time in which no heard host reached the service, in which all heard hosts count
among those that may watch. Hosts find out within that time that the service is back, one after
another, and the first ones would choose watchers among themselves. The former watchers keep their
role."""
MAX_UPDATE_BYTES = 16 << 20
"""Bytes of answers with updates that a watcher sends at once; beyond that, a host is told to ask
again. With 3,000 targets a whole view has 1 MB, and 300 hosts that asked for it together after a
start of all ended watchers of 200 MB."""
BUSY_STATUS = 503
BAD_REQUEST_STATUS = 400
DIGEST_FIELD = "-digest"
"""Suffix of the query field with the digest of a view."""
MAX_HOSTS_ASKED = 2
"""Hosts that are asked for the same updates; one of them may have just stopped."""
DISTRUST_S = 3.0
"""Seconds for which a host watches the service directly when no host provides the updates, and for
which a host that did not answer is not asked."""


class ViewUpdates(msgspec.Struct, frozen=True):
    """A watcher's answer to a host that is behind, by name of the view.

    :param parts: what the host is missing.
    :param proven: see :class:`~gradepoint.peers.datagrams.Heartbeat`.
    """

    parts: dict[str, ViewUpdate]
    proven: dict[str, Proof]


@lru_cache(maxsize=8)
def choose_watchers(hosts: frozenset[HostName]) -> list[HostName]:
    """Return the hosts that watch; all hosts that know the same hosts compute the same.

    They are chosen by name, so that a restart of all hosts changes no role.
    """
    return rank("watchers", hosts)[:WATCHER_COUNT]


class EventNotifier(Struct):
    """Implements :class:`~gradepoint.kv.follow.Follower`: reports each event of a watch, then
    applies it to the view."""

    view: PrefixView
    on_event: Callable[[], None]

    def reset(self, found: RangeResult) -> None:
        """See :meth:`Follower.reset`."""
        self.on_event()
        self.view.reset(found)

    def change(self, event: WatchEvent) -> None:
        """See :meth:`Follower.change`."""
        self.on_event()
        self.view.change(event)


class Watchers(Struct):
    """Keeps this host's views current, by its own watches or by other hosts' updates.

    :param prefixes: prefix of each view.
    :param views: views by name; those without which no call is served come first.
    :param bounds_s: by view, seconds within which a change must be known.
    :param listed: returns the names of the hosts listed in the key-value service.
    :ivar tasks: this host's watches.
    :ivar proof_tasks: running proofs.
    :ivar proving: names of the views being proven.
    :ivar event_at: by view, monotonic time of the last event from this host's own watch.
    :ivar missed_at: by view, monotonic time at which a change first came another way than by the
        watch.
    :ivar failed_until: by ``IP:PORT``, monotonic time until which a host is not asked for updates.
    :ivar behind_since: monotonic time since which there are updates that no host provides.
    :ivar watching: whether this host watches.
    :ivar distrusted_until: monotonic time until which this host watches the service directly
        because other hosts fail to provide updates.
    :ivar started_at: monotonic time of this host's first read of all views.
    :ivar unreached_at: monotonic time at which no heard host reached the service last.
    :ivar first_read: set once every view has been read.
    :ivar wake_up: set to check at once.
    :ivar update_bytes: bytes of the answers with updates that are being sent.
    :ivar unread: names of the views that have not been read, in the order of :attr:`views`.
    :ivar first_reads: the pages read so far of each of these.
    :ivar refused: whether the service refused or did not answer a first read.
    """

    kv: RelayedKv
    own: Incarnation
    heartbeats: Heartbeats
    http: HttpClient
    prefixes: dict[str, str]
    views: dict[str, PrefixView]
    bounds_s: dict[str, float]
    listed: Callable[[], set[HostName]]
    tasks: TaskGroup = field(default_factory=TaskGroup)
    proof_tasks: TaskGroup = field(default_factory=TaskGroup)
    proving: set[str] = field(default_factory=set)
    event_at: dict[str, float] = field(default_factory=dict)
    missed_at: dict[str, float] = field(default_factory=dict)
    failed_until: dict[str, float] = field(default_factory=dict)
    behind_since: float | None = None
    watching: bool = False
    distrusted_until: float = 0.0
    started_at: float = 0.0
    unreached_at: float = float("-inf")
    first_read: asyncio.Event = field(default_factory=asyncio.Event)
    wake_up: asyncio.Event = field(default_factory=asyncio.Event)
    update_bytes: int = 0
    refused: bool = False

    def __post_init__(self) -> None:
        self.unread = list(self.views)
        self.first_reads = {name: PartialRange(self.prefixes[name]) for name in self.views}
        self.proofs = Proofs(self.kv, self.prefixes, self.views, self.bounds_s)

    def process_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat: accept a watcher's proofs, and check at once if it has newer
        revisions.

        A host that watches gets the changes by itself at about the same time, and checks later
        whether it did.
        """
        if heartbeat.watching:
            # A view that has not been read has the digest of an empty one, but no proof.
            proofs = heartbeat.proven.items()
            self.proofs.receive({name: row for name, row in proofs if name not in self.unread})
        if self._find_offered(heartbeat.proven, 0.0):
            self.wake_up.set()
        own = self.views
        newer = any(revision > own[name].revision for name, revision in heartbeat.views.items())
        if newer and not self.watching:
            self.wake_up.set()

    def revisions(self) -> dict[str, int]:
        """Return the revision of each view, for comparison with other hosts."""
        return {name: view.revision for name, view in self.views.items()}

    def list_proofs(self) -> dict[str, Proof]:
        """Return the proofs to announce; empty on a host that neither watches nor has just
        started."""
        starting = self.unread or monotonic() < self.started_at + SHARE_S
        return self.proofs.list_proofs() if self.watching or starting else {}

    async def run(self) -> None:
        """Keep the views current forever: watch, or fetch updates from watchers, whichever role
        applies."""
        await self._read_first()
        while True:
            if self.must_watch() != self.watching:
                await self._change_role()
            await self._catch_up()
            if self._find_silent_watches():
                await self._restart_watches()
            await self._wait_for_update(self._prove_old_views())

    async def _read_first(self) -> None:
        """Get every view once per run of the process, from the service or from another host.

        The views are read one after another. When all hosts start together, the service's rate of
        reads then goes first to the first views, without which a host serves no calls.
        """
        if self.first_read.is_set():
            return
        reading: asyncio.Task[None] | None = None
        try:
            while self.unread:
                if reading is None:
                    reading = asyncio.ensure_future(self._read_unread())
                await self._wait_for_offer(reading)
                if reading.done():
                    await reading
                elif await self._take_offered():
                    # A view that has been taken need not be read any further.
                    reading.cancel()
                    reading = None
        finally:
            if reading is not None:
                reading.cancel()
        self.first_read.set()
        self.started_at = monotonic()

    async def _wait_for_offer(self, reading: asyncio.Task[None]) -> None:
        """Wait until another host offers a view, *reading* has ended or the next check is due."""
        waiting = asyncio.ensure_future(self.wake_up.wait())
        try:
            await asyncio.wait(
                [reading, waiting], timeout=CHECK_GAP_S, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiting.cancel()
        self.wake_up.clear()

    async def _read_unread(self) -> None:
        """Read the views that this host lacks from the service."""
        # The service itself is asked first: another host would begin at the first page.
        service = cast("PagedService", self.kv.direct)
        reads = self.first_reads
        backoffs = {name: Backoff(self.prefixes[name]) for name in self.unread}
        failures = 0
        while self.unread:
            name = HOSTS_VIEW if self.refused and HOSTS_VIEW in self.unread else self.unread[0]
            view = self.views[name]
            try:
                if failures >= RELAY_AFTER_FAILURES and self.heartbeats.helpers():
                    reads[name].begun_at = monotonic()
                    found = await self.kv.range(self.prefixes[name])
                else:
                    found = await service.read_on(reads[name])
            except KvError as error:
                self.refused = True
                failures += not isinstance(error, KvOverRate)
                backoffs[name].max_delay_s = self._find_longest_pause_s(reads[name])
                await backoffs[name].wait_after_failure(error)
                continue
            backoffs[name].record_success()
            if not self.tasks.run_step(f"first read of {name}", partial(view.reset, found)):
                # It is tried again after the other views, with its pages as long as they are fresh.
                self.unread.append(self.unread.pop(self.unread.index(name)))
                await asyncio.sleep(RESTART_DELAY_S)
                continue
            self.proofs.proven_at[name] = reads[name].begun_at
            if self.refused:
                # The other hosts are known already, and learn by this at once that there is a view
                # to take. Where nothing is refused, all views are read before they are known.
                self.proofs.count += 1
            self.unread.remove(name)

    def _find_longest_pause_s(self, read: PartialRange) -> float:
        """Return the longest delay in seconds until a refused first read is tried again.

        A host that has pages needs the fewest reads to get the others.
        """
        hosts = {read_host(self.own), *map(read_host, self.heartbeats.heard)}
        if read.items or choose_watchers(frozenset(hosts))[0] == read_host(self.own):
            return FIRST_READ_BACKOFF_S
        return min(MAX_FIRST_READ_PAUSE_S, max(FIRST_READ_BACKOFF_S, FIRST_READ_GAP_S * len(hosts)))

    def _find_offered(self, proven: Mapping[str, Proof], since_s: float) -> list[str]:
        """Return the views that this host lacks and another one has read lately.

        :param proven: the proofs that the other host announced.
        :param since_s: seconds since then.
        """
        max_age_ms = (MAX_TAKEN_AGE_S - since_s) * MILLISECONDS
        return [name for name in self.unread if name in proven and proven[name][0] <= max_age_ms]

    async def _take_offered(self) -> bool:
        """Take views that this host lacks from other hosts; return whether it got any."""
        now = monotonic()
        before = len(self.unread)
        sources = [
            row.address
            for row in self.heartbeats.heard.values()
            if self._find_offered(row.heartbeat.proven, now - row.at)
            and self.failed_until.get(row.address, 0.0) <= now
        ]
        for address in random.sample(sources, min(MAX_HOSTS_ASKED, len(sources))):
            if await self._fetch(address) is False:
                self.failed_until[address] = monotonic() + DISTRUST_S
            elif len(self.unread) < before:
                break
        return len(self.unread) < before

    def _take(self, name: str, part: ViewUpdate) -> None:
        """Apply a whole view, and give its proofs the usual time before this host asks for one."""
        self.views[name].apply_update(part)
        self.proofs.tried_at[name] = monotonic()
        self.unread.remove(name)
        emit(events.VIEW_TAKEN, view=name, revision=part.revision, keys=len(part.items))

    async def _wait_for_update(self, longest_s: float) -> None:
        try:
            async with asyncio.timeout(longest_s):
                await self.wake_up.wait()
        except TimeoutError:
            pass
        self.wake_up.clear()

    def must_watch(self) -> bool:
        """Whether this host has to watch: it is one of the chosen watchers, or hears no watcher.

        A host that has just started leaves time for other hosts to be heard.
        """
        now = monotonic()
        if now < self.distrusted_until:
            return True
        if now < self.started_at + JOIN_DELAY_S:
            return False
        if self._rank() is not None:
            return True
        if now < self.started_at + STAND_IN_DELAY_S:
            return False
        return not any(row.heartbeat.watching for row in self.heartbeats.heard.values())

    def _rank(self) -> int | None:
        """Return this host's rank among the chosen watchers; None if it is not one of them."""
        heard = self.heartbeats.heard
        own = read_host(self.own)
        hosts = {
            read_host(incarnation)
            for incarnation, row in heard.items()
            if row.heartbeat.reaches_store
        }
        if self.kv.reaches_store:
            hosts.add(own)
        now = monotonic()
        if not hosts:
            self.unreached_at = now
        if now < self.unreached_at + REGAIN_S:
            # No host reaches the service, so choose from all: more watchers would not bring any
            # updates.
            hosts = {own, *map(read_host, heard)}
        if now < self.started_at + START_SPREAD_S:
            hosts |= self.listed() - set(map(read_host, heard)) - {own}
        chosen = choose_watchers(frozenset(hosts))
        return chosen.index(own) if own in chosen else None

    def _is_update_source(self, heard: ReceivedHeartbeat) -> bool:
        return heard.heartbeat.watching and heard.heartbeat.reaches_store

    async def _change_role(self) -> None:
        self.watching = not self.watching
        emit(events.WATCH_ROLE, watching=self.watching, heard=len(self.heartbeats.heard))
        if self.watching:
            self._start_watches()
        else:
            await self.tasks.stop()

    def _start_watches(self) -> None:
        for name in self.views:
            self.tasks.start_loop(f"watch of {name}", partial(self._watch, name))

    async def _watch(self, name: str) -> None:
        view = self.views[name]
        heard = EventNotifier(view, lambda: self.event_at.update({name: monotonic()}))
        known_revision = view.known_revision if view.is_applied else 0
        await follow(self.kv, self.prefixes[name], heard, known_revision)

    def _find_silent_watches(self) -> list[str]:
        """Return the views whose watch on this host delivered nothing although there was a change.

        The watch may still deliver the same change a little later, so :data:`OWN_WATCH_GRACE_S`
        must pass.
        """
        now = monotonic()
        if not self.watching:
            self.missed_at.clear()
        for name, missed_at in list(self.missed_at.items()):
            if self.event_at.get(name, 0.0) > missed_at - OWN_WATCH_GRACE_S:
                del self.missed_at[name]
        if now < self.kv.recovered_at + MAX_BACKOFF_S + OWN_WATCH_GRACE_S:
            # A watch that failed in an outage may not have been opened again.
            return []
        return [name for name, at in self.missed_at.items() if now - at >= OWN_WATCH_GRACE_S]

    async def _restart_watches(self) -> None:
        """Restart the watches because they seem to have fallen silent."""
        emit(events.WATCH_MISSED, views=sorted(self.missed_at))
        self.missed_at.clear()
        await self.tasks.stop()
        self._start_watches()

    def _prove_old_views(self) -> float:
        """Start to prove the views that are due; return the seconds until the next check.

        While no host reaches the service, only the watchers check whether it is back.
        """
        rank = self._rank()
        reached_s = monotonic() - self.unreached_at
        due = {name: self.proofs.due_in_s(name, rank, reached_s) for name in self.views}
        for name in [name for name, due_s in due.items() if due_s <= 0]:
            if name not in self.proving:
                self.proving.add(name)
                self.proof_tasks.start(self._prove(name))
        soonest_s = min([CHECK_GAP_S, *(due_s for due_s in due.values() if due_s > 0)])
        return max(MIN_CHECK_GAP_S, soonest_s)

    async def _prove(self, name: str) -> None:
        try:
            if await self.proofs.prove(name):
                self.missed_at.setdefault(name, monotonic())
        finally:
            self.proving.discard(name)

    async def _catch_up(self) -> None:
        """Fetch missing changes from any watcher that is ahead of this host.

        A watcher that has just stopped is still heard for a while. If no host provides the updates
        for longer than :data:`CHECK_GAP_S`, this host watches the service directly.
        """
        ahead = self._find_ahead()
        now = monotonic()
        asked = [address for address in ahead if self.failed_until.get(address, 0.0) <= now]
        for address in random.sample(asked, min(MAX_HOSTS_ASKED, len(asked))):
            answered = await self._fetch(address)
            if answered is None:
                # It is asked again after :data:`CHECK_GAP_S`; proofs bound the age of the views.
                ahead = []
                continue
            if answered:
                ahead = []
                break
            self.failed_until[address] = monotonic() + DISTRUST_S
        if not ahead:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since >= CHECK_GAP_S:
            self.behind_since = None
            self.distrusted_until = now + DISTRUST_S
            self.wake_up.set()

    def _find_ahead(self) -> list[str]:
        """Return ``IP:PORT`` of the watchers that have newer revisions than this host."""
        own = self.revisions()
        return [
            row.address
            for row in self.heartbeats.heard.values()
            if self._is_update_source(row)
            and any(revision > own.get(name, 0) for name, revision in row.heartbeat.views.items())
        ]

    async def _fetch(self, address: str) -> bool | None:
        """Fetch and apply updates from one watcher; return whether it answered, or None if it is
        busy with the updates of other hosts."""
        # A view that has not been read has the digest of an empty one.
        query = "&".join(
            f"{name}=0"
            if name in self.unread
            else f"{name}={view.revision}&{name}{DIGEST_FIELD}={view.digest}"
            for name, view in self.views.items()
        )
        asked_at = monotonic()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                response = await self.http.send(split_address(address), "GET", f"/news?{query}")
                raw = await response.read()
            if response.status == BUSY_STATUS:
                return None
            if response.status != 200:
                raise ResponseBroken(f"news request answered with status {response.status}")
            updates = decoding.decode_msgpack(raw, ViewUpdates)
        except (ConnectFailed, ResponseBroken, TimeoutError, DecodingError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return False
        offered = self._find_offered(updates.proven, monotonic() - asked_at)
        for name, part in updates.parts.items():
            view = self.views.get(name)
            if view is None:
                # A host of another version has a view that this one does not.
                continue
            if name in self.unread:
                if name in offered and part.whole:
                    self.tasks.run_step(f"update of {name}", partial(self._take, name, part))
                continue
            known = view.digest
            self.tasks.run_step(f"update of {name}", partial(view.apply_update, part))
            if view.digest != known:
                self.missed_at.setdefault(name, monotonic())
        proven = {name: row for name, row in updates.proven.items() if name not in self.unread}
        self.proofs.receive(proven, asked_at)
        return True

    async def stop(self) -> None:
        """Stop all watches and running proofs."""
        await self.proof_tasks.stop()
        await self.tasks.stop()

    def answer_update_request(self, request: Request) -> Response:
        """Answer another host's request for updates with the changes it is missing; 400 for a
        field that is no number."""
        parts = {}
        query = request.query
        for name, view in self.views.items():
            revision = read_wire_number(query.get(name, "0"))
            digest_text = query.get(name + DIGEST_FIELD)
            digest = None if digest_text is None else read_wire_number(digest_text)
            if revision is None or (digest is None and digest_text is not None):
                return Response(BAD_REQUEST_STATUS)
            part = view.make_update(revision, digest)
            if part is not None:
                parts[name] = part
        body = msgspec.msgpack.encode(ViewUpdates(parts, self.proofs.list_proofs()))
        if self.update_bytes and self.update_bytes + len(body) > MAX_UPDATE_BYTES:
            return Response(BUSY_STATUS)
        self.update_bytes += len(body)

        def release() -> None:
            self.update_bytes -= len(body)

        return Response(200, body=body, release=release)
