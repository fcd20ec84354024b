"""The control node of one host: membership, configuration in force, local programs.

It exchanges gossip with the control nodes of other hosts over UDP. Over RPC it answers them
and the other programs of its host. The configuration comes from the key-value service
(on hosts that watch it) or from a peer whose gossip announces a newer version.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..config.versions import CURRENT_KEY, ConfigInForce, ConfigRecord, decode_record
from ..errors import DecodingError, KvError
from ..kv.etcd import EtcdClient
from ..kv.service import ABSENT
from ..kv.unreadable import UnreadableRows
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.listening import open_port
from ..wire.rpc import Failed, Message, RpcError, RpcPool, RpcServer
from .config_history import ConfigHistory
from .distribution import ANNOUNCE_FANOUT, select_watchers
from .host_list import HostListClient, HostState
from .membership import Membership
from .messages import (
    ControlReply,
    ControlRequest,
    FetchConfig,
    FetchMembers,
    FetchStatus,
    Gossip,
    Member,
    MembersAnswer,
    StatusAnswer,
    Sync,
    SyncAnswer,
)
from .transport import GossipTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import Settings
    from .membership import Send

TICKS_PER_ROUND = 5
"""Calls of :meth:`Membership.tick` in each gossip round (``heartbeat_s``)."""

HOST_LIST_PERIOD_S = 2.0
"""Seconds between reads of the platform's host list."""

REPORT_LIFETIME_S = 5.0
"""Seconds after which a program's report no longer counts in this host's status."""

PAUSE_ROUNDS = 3.0
"""Gossip rounds without a tick after which the process is assumed to have been paused."""

WATCH_RETRY_S = 1.0
"""Seconds between attempts to watch the configuration, and the shortest back-off."""

WATCH_RETRY_MAX_S = 15.0
"""Longest back-off in seconds while the key-value service fails."""


@dataclass
class ProgramReport:
    """Latest report of a program of this host.

    :ivar config_version: configuration version in force in the program.
    :ivar in_flight: calls in progress at targets that take no new work, by target name.
    :ivar at: monotonic seconds at which the report arrived.
    """

    config_version: int
    in_flight: dict[str, int]
    at: float


@dataclass
class KvHealth:
    """Tracks whether the key-value service answers, and logs each change.

    :ivar failing_since: monotonic seconds of the first failure since the last success; None
        while the service answers.
    """

    failing_since: float | None = None

    def record_call(self, succeeded: bool) -> None:
        """Record the outcome of one call."""
        if succeeded and self.failing_since is not None:
            emit(events.KV_RECOVERED, after_s=round(monotonic() - self.failing_since, 1))
            self.failing_since = None
        elif not succeeded and self.failing_since is None:
            self.failing_since = monotonic()
            emit(events.KV_FAILING)


@dataclass
class ControlCounts:
    """Counters of the work done by the control node, for capacity measurements.

    :ivar changes: monotonic seconds at which each configuration version came into force here.
    """

    config_fetches: int = 0
    ticks: int = 0
    changes: dict[int, float] = field(default_factory=dict)


class ControlNode:
    """Holds the state of the control program and connects it to network, timers and peers.

    :ivar in_force_at: monotonic seconds at which the current version came into force here.
    :ivar programs: latest report of each program of this host, by program name.
    :ivar config_changed: set when a version comes into force; a new event then replaces it.
    :ivar fetching: whether a configuration fetch from a peer is in progress.
    :ivar on_pause: called after a pause of the process, to drop leases that may have expired.
    :ivar logged_members_version: membership version at which joined and lost hosts were last
        logged.
    :ivar logged_live: the live hosts at that version.
    """

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.kv = EtcdClient(settings.kv_url, settings.kv_timeout_s)
        self.kv_health = KvHealth()
        self.config = ConfigInForce()
        self.in_force_at = monotonic()
        self.history = ConfigHistory()
        self.host_list = HostListClient(settings.host_list_url)
        self.programs: dict[str, ProgramReport] = {}
        self.pool = RpcPool(ControlReply)
        self.rpc = RpcServer(ControlRequest, self.handle)
        self.transport = GossipTransport(self._receive)
        self.tasks = TaskGroup()
        self.counts = ControlCounts()
        self.config_changed = asyncio.Event()
        self.membership = Membership(
            _own_member(settings), settings.heartbeat_s, settings.member_timeout_s, self.random
        )
        self.fetching = False
        self.unreadable = UnreadableRows()
        self.on_pause: list[Callable[[], None]] = []
        self.logged_members_version = -1
        self.logged_live: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force here."""
        return self.config.record is not None

    async def start(self) -> None:
        """Open the sockets, join the fleet and start the background loops."""
        settings = self.settings
        gossip = f"{settings.address}:{settings.gossip_port}"
        await open_port(
            "gossip datagrams",
            gossip,
            lambda: self.transport.start(settings.address, settings.gossip_port),
        )
        await open_port(
            "gossip", gossip, lambda: self.rpc.start(settings.address, settings.gossip_port)
        )
        await self._join()
        for loop in (self._tick_loop, self._watch_loop, self._host_list_loop, self._join_loop):
            self.tasks.start_loop(loop.__name__, loop)

    async def stop(self) -> None:
        """Announce to some peers that this host leaves, then stop."""
        for send in self.membership.leave():
            self._send(send)
        await self.abort()

    async def abort(self) -> None:
        """Stop without notifying other hosts, as a killed process does."""
        await self.tasks.stop()
        self.transport.stop()
        self.pool.close()
        await self.rpc.stop()

    # Joining and gossip

    async def _join(self) -> None:
        for seed in self.settings.seeds:
            address, port = split_address(seed)
            if (address, port) != (self.settings.address, self.settings.gossip_port):
                await self._join_through(address, port)

    async def _join_through(self, address: str, port: int) -> None:
        try:
            reply, _ = await self.pool.client(address, port).call(
                FetchMembers(self.membership.own), timeout_s=1.0
            )
        except RpcError:
            return
        if not isinstance(reply, MembersAnswer):
            return
        for member in reply.members:
            self.membership.apply_update(member, monotonic())
        if reply.config_version > self.config.version:
            await self._fetch_from(address, port)

    async def _join_loop(self) -> None:
        """Retry joining through the seeds while no other live host is known."""
        while True:
            await asyncio.sleep(self.settings.heartbeat_s * 2)
            if len(self.membership.live()) <= 1:
                await self._join()

    async def _tick_loop(self) -> None:
        last = monotonic()
        while True:
            gap, last = monotonic() - last, monotonic()
            if gap > PAUSE_ROUNDS * self.settings.heartbeat_s:
                emit(events.LOOP_PAUSED, seconds=round(gap, 1))
                for drop in self.on_pause:
                    drop()
            self.counts.ticks += 1
            self._log_members()
            for send in self.membership.tick(monotonic()):
                self._send(send)
            await asyncio.sleep(self.settings.heartbeat_s / TICKS_PER_ROUND)

    def _log_members(self) -> None:
        """Log hosts that joined or were lost since the last call."""
        if self.logged_members_version == self.membership.members_version:
            return
        self.logged_members_version = self.membership.members_version
        live = {member.host for member in self.membership.live()}
        for host in sorted(live - self.logged_live):
            emit(events.MEMBER_JOINED, member=host)
        for host in sorted(self.logged_live - live):
            emit(events.MEMBER_LOST, member=host)
        self.logged_live = live

    def _send(self, send: Send) -> None:
        self.transport.send(send.member.address, send.member.gossip_port, send.message)

    def _receive(self, message: Gossip) -> None:
        for send in self.membership.receive(message, monotonic()):
            self._send(send)
        if message.config_version > self.config.version and not self.fetching:
            sender = self.membership.members.get(message.sender)
            if sender is not None:
                self.tasks.start(self._fetch_from(sender.address, sender.gossip_port))

    # Configuration

    async def _fetch_from(self, address: str, port: int) -> None:
        self.fetching = True
        try:
            client = self.pool.client(address, port)
            reply, _ = await client.call(FetchConfig(self.config.version))
            record = self.history.extract_record(self.config.record, reply)
            if record is None:
                # The delta does not apply to the current version: fetch the whole record.
                reply, _ = await client.call(FetchConfig())
                record = self.history.extract_record(None, reply)
            self.counts.config_fetches += 1
            if record is not None:
                self.apply_config_record(record)
        except RpcError:
            pass
        finally:
            self.fetching = False

    def apply_config_record(self, record: ConfigRecord) -> None:
        """Put a record in force if its version is newer, and announce it to some peers at once."""
        if not self.config.take(record):
            return
        self.history.add(record)
        self.in_force_at = monotonic()
        self.membership.config_version = record.version
        self.config_changed.set()
        self.config_changed = asyncio.Event()
        self.counts.changes[record.version] = self.in_force_at
        emit(events.CONFIG_IN_FORCE, version=record.version, applied_by=record.applied_by)
        for send in self.membership.announce(ANNOUNCE_FANOUT):
            self._send(send)

    def is_watcher(self) -> bool:
        """Return whether this host is one of those that watch the key-value service."""
        return self.settings.host in select_watchers(self.membership.live())

    async def _watch_loop(self) -> None:
        delay_s = WATCH_RETRY_S
        while True:
            try:
                if self.is_watcher() or not self.ready:
                    await self._watch()
                    delay_s = WATCH_RETRY_S
            except (KvError, OSError):
                self.kv_health.record_call(False)
                delay_s = min(WATCH_RETRY_MAX_S, delay_s * 2)
            # Jitter prevents a burst of requests from all hosts when the service recovers.
            await asyncio.sleep(delay_s * self.random.uniform(0.5, 1.0))

    async def _watch(self) -> None:
        item = await self.kv.get(CURRENT_KEY)
        self.kv_health.record_call(True)
        if item is not None:
            self._apply_stored(item.value)
        if not self.is_watcher():
            return
        start = (item.revision if item else ABSENT) + 1
        async for event in self.kv.watch(CURRENT_KEY, start):
            if event.value is not None:
                self._apply_stored(event.value)
            if not self.is_watcher():
                return

    def _apply_stored(self, raw: bytes) -> None:
        """Put a stored record in force; the former one stays if it cannot be decoded."""
        try:
            record = decode_record(raw)
        except DecodingError as error:
            self.unreadable.note(events.CONFIG_UNREADABLE, CURRENT_KEY, str(error))
            return
        self.unreadable.clear(CURRENT_KEY)
        self.apply_config_record(record)

    # Hosts

    async def _host_list_loop(self) -> None:
        while True:
            listed = await self.host_list.refresh()
            for host, state in listed.items():
                if state is HostState.LEAVING:
                    self.membership.mark_leaving(host, monotonic())
            await asyncio.sleep(HOST_LIST_PERIOD_S)

    # Requests

    async def handle(self, message: Message, data: bytes) -> tuple[Message, bytes]:
        """Answer a request of a peer or of a program of this host."""
        if isinstance(message, Sync):
            return self._sync(message), b""
        if isinstance(message, FetchConfig):
            return self.history.answer(self.config.record, message.have), b""
        if isinstance(message, FetchMembers):
            if message.joining is not None:
                self.membership.apply_update(message.joining, monotonic())
            return MembersAnswer(self.membership.all_members(), self.config.version), b""
        if isinstance(message, FetchStatus):
            return self.status(), b""
        return Failed("unknown request"), b""

    def _sync(self, message: Sync) -> SyncAnswer:
        self.programs[message.program] = ProgramReport(
            message.config_version, message.in_flight, monotonic()
        )
        newer = self.config.version > message.config_version
        members_changed = self.membership.members_version != message.members_version
        return SyncAnswer(
            self.config.record if newer else None,
            self.membership.live() if members_changed else None,
            self.membership.members_version,
        )

    def status(self) -> StatusAnswer:
        """Return this host's state.

        The reported version is the lowest of the control node and of all programs that reported
        within :data:`REPORT_LIFETIME_S`: a version counts once every program has it.
        """
        now = monotonic()
        reports = {
            name: report
            for name, report in self.programs.items()
            if now - report.at < REPORT_LIFETIME_S
        }
        in_flight: dict[str, int] = {}
        for report in reports.values():
            for target, count in report.in_flight.items():
                in_flight[target] = in_flight.get(target, 0) + count
        versions = {name: report.config_version for name, report in reports.items()}
        lowest_version = min([self.config.version, *versions.values()])
        return StatusAnswer(
            self.settings.host,
            lowest_version,
            round(now - self.in_force_at, 3),
            versions,
            in_flight,
            self.kv_health.failing_since is None,
        )

    async def fleet_status(self) -> list[StatusAnswer | str]:
        """Return the status of every live host, or the name of a host that did not answer."""
        members = self.membership.live()
        return list(await asyncio.gather(*(self._ask_status(member) for member in members)))

    async def _ask_status(self, member: Member) -> StatusAnswer | str:
        if member.host == self.settings.host:
            return self.status()
        try:
            client = self.pool.client(member.address, member.gossip_port)
            reply, _ = await client.call(FetchStatus(), timeout_s=1.0)
        except RpcError:
            return member.host
        return reply if isinstance(reply, StatusAnswer) else member.host


def _own_member(settings: Settings) -> Member:
    return Member(
        settings.host,
        settings.address,
        settings.gossip_port,
        settings.control_port,
        settings.batch_port,
        settings.notice_port,
        settings.store_port if settings.data_folder else 0,
        settings.failure_domain,
        settings.region,
        # Incarnation: it increases with each start, so that this entry supersedes updates about
        # the process before the restart.
        time.time_ns() // 1_000_000,
    )
