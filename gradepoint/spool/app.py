"""The data host program: composes spool, presence and metrics on one event loop."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..ids import HostName
from ..jobs.repository import JobRepository
from ..kv.service import Put
from ..peers.presence import (
    DATA_HOST_PREFIX,
    KNOWN_DATA_HOST_PREFIX,
    HostPresence,
    Presence,
    make_incarnation,
)
from ..telemetry import metrics
from ..telemetry.logs import emit, report_dropped_lines
from ..util.run_marker import FormerRun, RunMarker
from ..util.tasks import TaskGroup
from ..wire.http_client import HttpClient
from ..wire.http_types import Response
from ..wire.listening import open_port
from .bounds import METRICS_CONNECTIONS, derive_bounds
from .disk import SpoolDisk
from .host import SpoolHost
from .server import SpoolServer

if TYPE_CHECKING:
    from ..kv.service import KeyValueService
    from ..wire.http_types import Request
    from .settings import DataHostSettings

CONNECT_TIMEOUT_S = 0.25
"""Seconds until a connection attempt to a host fails: many times the network delay between failure
domains."""
MAX_PEER_ANSWER_BYTES = 64 << 10
"""Most bytes of the answer of a host that is asked to run a job; its status suffices."""
RUN_MARKER_FILE = "run"
"""File in the data folder that tells how the former run ended."""


class DataHost:
    """The components of one data host, and their start and stop.

    :param store: client of the key-value service.
    """

    def __init__(self, settings: DataHostSettings, store: KeyValueService) -> None:
        self.settings = settings
        own = HostPresence(
            host=HostName(settings.host),
            incarnation=make_incarnation(HostName(settings.host)),
            failure_domain=settings.failure_domain,
            peer_address=f"{settings.address}:{settings.peer_port}",
        )
        self.presence = Presence(store, own, DATA_HOST_PREFIX, self.make_records)
        bounds = derive_bounds(settings.memory_mb)
        self.http = HttpClient(CONNECT_TIMEOUT_S, max_body_bytes=MAX_PEER_ANSWER_BYTES)
        self.spool = SpoolHost(
            SpoolDisk(Path(settings.data_folder), settings.disk_mb),
            store,
            JobRepository(store, settings.store_value_bytes),
            self.http,
            bounds,
        )
        self.server = SpoolServer(self.handle, bounds.max_connections, bounds.body_bytes)
        self.metrics_server = SpoolServer(self.answer_metrics, METRICS_CONNECTIONS, 0)
        metrics.shared().unentered_jobs.read = self.spool.read_held_jobs
        metrics.shared().oldest_unentered_job.read = self.spool.read_oldest_s
        self.tasks = TaskGroup()
        metrics.shared().failing_loops.read = self.tasks.read_failing_s
        self.marker = RunMarker(Path(settings.data_folder) / RUN_MARKER_FILE)

    async def handle(self, request: Request) -> Response:
        """Answer a request of another host; see :meth:`SpoolHost.handle`.

        An order to retire a host that had this address before gets 404. Gateways of the former
        version do not name the host.
        """
        own = self.presence.own.host
        if request.path == "/retire" and request.query.get("host", own) != own:
            return Response(404)
        return await self.spool.handle(request)

    def make_records(self) -> tuple[Put, ...]:
        """Return the record of this host; a host to be retired writes none."""
        if self.spool.retiring:
            return ()
        own = self.presence.own
        return (Put(KNOWN_DATA_HOST_PREFIX + own.host, msgspec.json.encode(own)),)

    async def start(self) -> None:
        """Load the jobs on the disk, listen, and announce this host to other hosts."""
        settings = self.settings
        self.tasks.start_loop("log", lambda: report_dropped_lines(events.LINES_LEFT_OUT))
        # A port that both have is needed for the other hosts.
        if settings.metrics_port != settings.peer_port:
            self.tasks.start(self.open_metrics())
        await self.spool.open_disk()
        self.report_former_run()
        await self.spool.load_at_start()
        await open_port(
            "peers",
            f"{settings.address}:{settings.peer_port}",
            lambda: self.server.start(settings.address, settings.peer_port),
        )
        if settings.metrics_port == settings.peer_port:
            self.tasks.start(self.open_metrics())
        self.tasks.start_loop("presence", self.presence.run)
        self.tasks.start_loop("spool", self.spool.run)
        self.tasks.start_loop("spool-files", self.spool.load_unread)

    async def open_metrics(self) -> None:
        """Open the port of the metrics, as soon as that is possible."""
        address, port = self.settings.address, self.settings.metrics_port
        await open_port(
            "metrics", f"{address}:{port}", lambda: self.metrics_server.start(address, port)
        )

    def report_former_run(self) -> None:
        """Count this start, and log if the former run did not stop in order."""
        former = FormerRun.UNKNOWN
        try:
            former = self.marker.begin()
        except OSError as error:
            emit(events.RUN_MARKER_FAILED, reason=repr(error))
        metrics.shared().starts.add(1, {"former_run": former.value})
        if former is FormerRun.KILLED:
            emit(events.FORMER_RUN_KILLED)

    async def answer_metrics(self, _request: Request) -> Response:
        """Answer with this process's counters and histograms."""
        return Response(200, {"content-type": "text/plain; version=0.0.4"}, await metrics.render())

    async def stop(self) -> None:
        """Remove this host from the host list and stop; the jobs that it keeps stay on the disk."""
        await self.tasks.stop()
        await self.presence.withdraw()
        self.abort()
        try:
            self.marker.end()
        except OSError as error:
            emit(events.RUN_MARKER_FAILED, reason=repr(error))

    def abort(self) -> None:
        """Close all sockets at once."""
        for server in (self.server, self.metrics_server):
            server.abort()
        self.http.close()
