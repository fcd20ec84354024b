"""One host's listing of the open jobs serves all hosts that start.

After a start of all hosts, each of them looks for jobs whose owner is lost. If each one listed the
jobs by itself, the pages read would grow with the hosts and exceed the service's rate. So all hosts
choose the same one among those that they hear, and ask it. An answer only names jobs: a host reads
a job again before it adopts it, and adoption compares and swaps the job's state, so hosts may
choose differently, and an old answer does no harm.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import DecodingError, KvError, KvUnavailable
from ..peers.presence import read_host
from ..telemetry.logs import emit
from ..util import decoding
from ..util.clock import monotonic
from ..util.hashing import rank
from ..util.numbers import read_wire_number
from ..util.structs import Struct, field
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .repository import ListedJob

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import Incarnation, JobId
    from ..peers.heartbeats import Heartbeats
    from ..peers.presence import HostTable
    from ..util.tasks import TaskGroup
    from ..wire.http_client import HttpClient
    from ..wire.http_types import Request
    from .repository import JobRepository, StoredJob

START_WAIT_S = 0.8
"""Longest time in seconds after the first read of the list of hosts in which a starting host waits
until it hears all of them: hosts that got power together begin to serve over 0.5 s. The wait ends
at once in a fleet that runs already, and on a host that is alone."""
START_CHECK_GAP_S = 0.05
"""Seconds between these checks."""
ANSWER_WAIT_S = 0.5
"""Seconds after which the asked host answers that it is still busy. A host that was lost meanwhile
is noticed by the lack of such an answer."""
ANSWER_TIMEOUT_S = 1.5
"""Seconds until a host that does not answer at all is given up."""
BODY_TIMEOUT_S = 5.0
"""Seconds to receive an answer: 10,000 jobs take less than 1 MB, 0.5 s on a link of 15 Mbit/s."""
MAX_ASK_S = 2.0
"""Longest time in seconds for which other hosts are asked in one sweep."""
MAX_FAILED_SWEEPS = 2
"""Sweeps in succession that end as another host could not list the jobs; then this host lists them
by itself. The other hosts may be refused or cut off where this one is not."""
BUSY_PAUSE_S = (0.05, 0.15)
"""Shortest and longest pause in seconds until a busy host is asked again."""
MAX_HOSTS_ASKED = 2
"""Hosts that are asked in one sweep; then this host lists the jobs by itself."""
DISTRUST_S = 3.0
"""Seconds for which a host that did not list the jobs is not asked."""
MAX_ANSWER_BYTES = 1 << 20
"""Bytes of answers that are sent at once, unless it is one only; other hosts ask again."""
MILLISECONDS = 1000
LIST_PATH = "/open-jobs"
BAD_REQUEST_STATUS = 400
BUSY_STATUS = 503
FAILED_STATUS = 502


class Listing(Struct, frozen=True):
    """The open jobs.

    :param stored: their states, if this host has read them itself.
    """

    rows: list[ListedJob]
    stored: dict[JobId, StoredJob] = {}


def make_listing(jobs: list[StoredJob]) -> Listing:
    """Return the listing of the open ones among jobs that this host has read."""
    stored = {job.id: job for job in jobs if not job.state.done}
    return Listing([job.row for job in stored.values()], stored)


class SharedListing(Struct):
    """Lists the open jobs for this host and for others.

    :param http: client for calls to other hosts.
    :param wait_for_hosts: returns once this host has read the list of hosts.
    :param tasks: runs the listings.
    :ivar read_at: monotonic time, no earlier than this first read; 0 before it.
    :ivar running: the listing that is being made here.
    :ivar begun_at: monotonic time at which it has begun.
    :ivar latest: encoded rows of the last complete listing made here.
    :ivar latest_begun_at: monotonic time at which that one had begun.
    :ivar failed_until: by ``IP:PORT``, monotonic time until which a host is not asked.
    :ivar failed_sweeps: sweeps in succession that another host's failure has ended.
    :ivar answer_bytes: bytes of the answers that are being sent.
    """

    repository: JobRepository
    own: Incarnation
    hosts: HostTable
    heartbeats: Heartbeats
    http: HttpClient
    wait_for_hosts: Callable[[], Awaitable[object]]
    tasks: TaskGroup
    read_at: float = 0.0
    running: asyncio.Task[Listing] | None = None
    begun_at: float = float("-inf")
    latest: bytes = b""
    latest_begun_at: float = float("-inf")
    failed_until: dict[str, float] = field(default_factory=dict)
    failed_sweeps: int = 0
    answer_bytes: int = 0

    async def wait_for_others(self) -> None:
        """Wait until this host has read the list of hosts, and hears them or has waited enough.

        Hosts that start together then choose the same one, and its listing is new enough for all.
        """
        await self.wait_for_hosts()
        self.read_at = monotonic()
        while monotonic() < self.read_at + START_WAIT_S:
            heard = set(map(read_host, self.heartbeats.heard))
            if heard.issuperset(self.hosts.hosts.keys() - {read_host(self.own)}):
                break
            await asyncio.sleep(START_CHECK_GAP_S)

    async def list_open_jobs(self, since: float) -> Listing:
        """Return the open jobs, as listed by the chosen host, or here if no other one lists them.

        :param since: earliest monotonic time at which the listing may have begun.
        :raises KvError: the chosen host could not list the jobs.
        """
        ask_until = monotonic() + MAX_ASK_S
        if self.failed_sweeps < MAX_FAILED_SWEEPS:
            for address in self._find_listers():
                if monotonic() >= ask_until:
                    break
                rows = await self._ask(address, since, ask_until)
                if rows is not None:
                    self.failed_sweeps = 0
                    return Listing(rows)
        return await self._list_here(since)

    def _find_listers(self) -> list[str]:
        """Return ``IP:PORT`` of the hosts to ask before this one lists the jobs, the first first.

        They are ranked by name, so that a restart of all hosts changes nothing.
        """
        now = monotonic()
        addresses = {
            read_host(incarnation): row.address
            for incarnation, row in self.heartbeats.heard.items()
            if row.heartbeat.reaches_store and self.failed_until.get(row.address, 0.0) <= now
        }
        own = read_host(self.own)
        ranked = rank("listing of jobs", addresses.keys() | {own})
        return [addresses[host] for host in ranked[: ranked.index(own)][:MAX_HOSTS_ASKED]]

    async def _ask(self, address: str, since: float, until: float) -> list[ListedJob] | None:
        """Return the rows that another host lists; None if it does not answer in time.

        :param until: monotonic time until which a busy host is asked again.
        :raises KvUnavailable: it could not list the jobs.
        """
        try:
            while monotonic() < until:
                # Rounded down, and counted from its arrival: the listing is never too old.
                age_ms = int((monotonic() - since) * MILLISECONDS)
                response = await self.http.send(
                    split_address(address),
                    "GET",
                    f"{LIST_PATH}?age_ms={age_ms}",
                    timeout_s=ANSWER_TIMEOUT_S,
                )
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    raw = await response.read()
                if response.status == 200:
                    return decoding.decode_msgpack(raw, list[ListedJob])
                if response.status == FAILED_STATUS:
                    self.failed_until[address] = monotonic() + DISTRUST_S
                    self.failed_sweeps += 1
                    reason = raw.decode(errors="replace")
                    raise KvUnavailable(f"{address} could not list the jobs: {reason}")
                if response.status != BUSY_STATUS:
                    raise ResponseBroken(f"listing answered with status {response.status}")
                await asyncio.sleep(random.uniform(*BUSY_PAUSE_S))
            raise ResponseBroken("busy until the end of the sweep's time to ask")
        except (ConnectFailed, ResponseBroken, TimeoutError, DecodingError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            self.failed_until[address] = monotonic() + DISTRUST_S
            return None

    async def _list_here(self, since: float) -> Listing:
        """Return a listing made by this host, shared by all that wait for one; at most one runs at
        a time, however many hosts ask."""
        while True:
            running = self.running
            if running is None or running.done():
                self.begun_at = monotonic()
                running = self.running = self.tasks.start(self._list(), awaited=True)
            if self.begun_at >= since:
                return await asyncio.shield(running)
            await asyncio.wait([running])

    async def _list(self) -> Listing:
        begun_at = self.begun_at
        try:
            await self.repository.kv.pace.wait()
            listing = make_listing(await self.repository.list_jobs())
            self.latest = msgspec.msgpack.encode(listing.rows)
            self.latest_begun_at = begun_at
        finally:
            # The states of all jobs are not kept any longer than their readers need them.
            self.running = None
        return listing

    async def answer(self, request: Request) -> Response:
        """Answer another host's request for the open jobs.

        This host makes the listing itself and asks no other one, so requests never form a circle.
        """
        age_ms = read_wire_number(request.query.get("age_ms", "0"))
        if age_ms is None:
            return Response(BAD_REQUEST_STATUS)
        since = monotonic() - age_ms / MILLISECONDS
        if self.latest_begun_at < since:
            try:
                async with asyncio.timeout(ANSWER_WAIT_S):
                    await self._list_here(since)
            except TimeoutError:
                return Response(BUSY_STATUS)
            except KvError as error:
                # The host that asks logs it.
                return Response(FAILED_STATUS, body=str(error).encode())
        body = self.latest
        if self.answer_bytes and self.answer_bytes + len(body) > MAX_ANSWER_BYTES:
            return Response(BUSY_STATUS)
        self.answer_bytes += len(body)

        def release() -> None:
            self.answer_bytes -= len(body)

        return Response(200, body=body, release=release)
