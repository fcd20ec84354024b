"""The gateway program: composes calls, jobs, followers and peers on one event loop."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from .. import events
from ..ids import HostName
from ..jobs.adoption import Adoption
from ..jobs.api import JobApi
from ..jobs.intake import Intake
from ..jobs.records import END_PREFIX
from ..jobs.repository import JobRepository
from ..jobs.shared_listing import LIST_PATH, SharedListing
from ..jobs.worker import Worker
from ..kv.relay import RelayedKv
from ..kv.view import PrefixView
from ..peers.aggregation import Aggregation
from ..peers.capacity import classify_capacity
from ..peers.datagrams import (
    DatagramSocket,
    Digest,
    Message,
    RelayedDigest,
    Report,
    StreamNotice,
    StreamQuery,
)
from ..peers.heartbeats import Heartbeats
from ..peers.occupancy import Occupancy
from ..peers.presence import (
    DATA_HOST_PREFIX,
    LIVE_PREFIX,
    HostPresence,
    HostTable,
    Presence,
    make_incarnation,
    read_host,
)
from ..peers.silence import Silence
from ..peers.stream_versions import StreamVersions
from ..peers.watchers import Watchers
from ..routing.host_quotas import HostQuotas
from ..routing.quota_ledger import QuotaLedger
from ..routing.quotas import QuotaTerms
from ..routing.recovery import ItemStarts, RecoveryLimits, is_occupancy_known
from ..spool.client import SpoolClient
from ..telemetry import loop_time, metrics
from ..telemetry.logs import emit, report_dropped_lines
from ..telemetry.loop_time import LoopPart
from ..util.clock import monotonic
from ..util.memory_budget import MemoryBudget
from ..util.rng import new_rng
from ..util.run_marker import FormerRun
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import HttpClient
from ..wire.http_server import HttpServer
from ..wire.http_types import Response
from ..wire.listening import Port, open_free_ports, wait_until_all_open, wait_until_open
from ..wire.ports import probe_port
from .accept_gate import AcceptGate
from .admission_gate import AdmissionGate
from .caller_limits import make_limits, read_limits
from .callers import CallerCheck, RevocationTerms
from .calls import CallRouter
from .followers import ActiveConfiguration, LiveFollower, OperatorFollower, TargetFollower
from .forwarding import Forwarder
from .held import HELD_PREFIX, PAGE, HeldRequests
from .outgoing import make_heartbeat, make_report
from .peer_configuration import follow_peers
from .quota_gate import QuotaGate
from .quota_page import PAGE as QUOTA_PAGE
from .quota_page import answer_quotas
from .readiness import Readiness, Requirement
from .refresh import SharedRefresh
from .refusals import RecentRefusals
from .retirement import Retirement
from .row_limits import make_row_limits
from .share_limits import ShareLimits, compute_room, count_calls_by_organisation
from .stall import StallDetector
from .stream_origins import StreamOrigins
from .suspicion import Suspicion, connect_suspicion
from .target_crashes import CrashDetector
from .target_loads import TargetLoads
from .targets import TargetSet
from .version_history import VERSIONS_KEY, VersionHistory

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from ..ids import OrganisationNumber, ServiceName
    from ..kv.relay import LongPollService
    from ..wire.http_types import Request
    from .configuration import Configuration
    from .parts import PlatformAdapter
    from .settings import GatewaySettings

CONNECT_TIMEOUT_S = 0.25
"""Seconds until a connection attempt to a target or host fails. It is many times the delay between
failure domains, and a fraction of the shortest latency goal, so that another target can still
answer in time."""
MAX_PEER_ANSWER_BYTES = 16 << 20
"""Maximum bytes of an answer of another gateway. The longest is a range that it reads for this host
in the store: the states of all jobs, about 10 KB each."""
MAX_DATA_HOST_ANSWER_BYTES = 65_536
"""Maximum bytes of an answer of a data host about a job, which is a status."""
TARGET_READ_BYTES = 16_384
"""Bytes that are taken from a target's socket at once. Four times as many may wait where a caller
does not read its answer."""
UNACKNOWLEDGED_MS = 1500
"""Milliseconds without a TCP acknowledgement until a connection counts as broken."""
LINGER_SHARE = 0.75
"""Fraction of the drain time for which a target whose row vanished stays a last resort."""
MAX_VIEW_AGE_S = {"operator": 2.0, "targets": 2.0, "live": 4.0}
"""Seconds in which a host has to know of a change, by view. For the operator's keys and targets, it
is the shortest time in which a configuration has to be in force and a leaving target may get no
more calls. For ``live``, it is about the time in which an ended job has to stop; the job's own host
also learns of the end at each commit."""
LOAD_PATH = "/load"
"""Path of the operators' page on load (:mod:`.load_page`)."""
SWEEP_S = 0.25
"""Seconds between sweeps for vanished targets, silent hosts and expired records."""
STOP_LISTENING_S = 3.0
"""Seconds from the stop signal until the platform stops sending connections: it checks readiness
every second and removes a host after two failures. If most hosts of a failure domain stop, the
platform still sends calls later. These are refused, since the process would end before they are
answered."""
STOP_POLL_S = 0.05
"""Seconds between checks whether all calls are answered during a stop."""
STOP_RESERVE_S = 1.0
"""Seconds reserved before the kill to abort what still runs and to end the process."""


class Gateway:
    """All components of one gateway host.

    The constructor wires them up; lambdas refer to components that are created later.

    :param listener: the open port for callers; None opens it at the start.
    :ivar reachable: set once other hosts can reach this one.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: LongPollService,
        platform: PlatformAdapter,
        listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self.listener = listener
        self.socket = DatagramSocket(self.take_message)
        self.heartbeats = Heartbeats(
            self.socket,
            lambda: make_heartbeat(self),
            lambda heartbeat: self.watchers.process_heartbeat(heartbeat),
        )
        self.peer_http = HttpClient(
            CONNECT_TIMEOUT_S, UNACKNOWLEDGED_MS, max_body_bytes=MAX_PEER_ANSWER_BYTES
        )
        self.data_host_http = HttpClient(
            CONNECT_TIMEOUT_S, UNACKNOWLEDGED_MS, max_body_bytes=MAX_DATA_HOST_ANSWER_BYTES
        )
        self.kv = kv = RelayedKv(store, self.peer_http, self.heartbeats.helpers)
        self.platform = platform
        self.tasks = TaskGroup()
        self.memory = MemoryBudget(
            settings.max_request_bytes, lambda size: self.worker.make_room(size)
        )
        metrics.shared().reserved_memory.read = lambda: {(): float(self.memory.used_bytes)}
        self.stopping = False
        self.reachable = asyncio.Event()
        self.adopting: asyncio.Task[Any] | None = None
        self.confirming: asyncio.Task[Any] | None = None
        self.renewing: asyncio.Task[Any] | None = None
        self.own = HostPresence(
            host=HostName(settings.host),
            incarnation=make_incarnation(HostName(settings.host)),
            failure_domain=settings.failure_domain,
            peer_address=f"{settings.address}:{settings.peer_port}",
        )
        self.capacity = classify_capacity(settings.link_mbps, settings.memory_mb)
        self.hosts = HostTable()
        self.data_hosts = HostTable(DATA_HOST_PREFIX)
        self.presence = Presence(kv, self.own, is_listed=self.is_listed)
        self.retirement = Retirement(
            kv,
            self.peer_http,
            self.own.host,
            self.hosts,
            self.data_hosts,
            platform.status_key,
            platform.encode_drained_status,
            lambda: self.watchers.first_read.wait(),
        )
        self.silence = Silence()
        self.targets = TargetSet(
            settings.drain_ms / 1000 * LINGER_SHARE,
            self.note_load_change,
            # A call on an idle connection to the former incarnation would fail and lose an attempt.
            lambda former: self.forwarder.http.close_idle(split_address(former.address)),
        )
        self.occupancy = Occupancy(
            self.socket,
            self.own.incarnation,
            lambda number: make_report(self, number),
            self.targets.record_remote_results,
            Aggregation(
                self.targets.find_slots,
                self.make_ledger(),
                # Without the services' targets, no rate of calls is measured or sent.
                lambda: (
                    self.targets.number_by_service(monotonic()) if settings.batch_headroom else {}
                ),
                lambda: compute_room(self.targets.working(monotonic()), self.loads.pace),
            ),
            lambda: {**self.heartbeats.capacities(), self.own.incarnation: self.capacity},
            lambda refused: self.take_remote_refusals(refused),
        )
        self.stall_detector = StallDetector(self.refresh_after_stall)
        self.crash_detector = CrashDetector(
            self.targets,
            lambda address: probe_port(address, CONNECT_TIMEOUT_S),
            self.occupancy.in_flight,
            lambda: self.watchers.proofs.proven_at.get("targets", float("-inf")),
        )
        self.suspicion = Suspicion(
            self.targets,
            self.occupancy.in_flight,
            new_rng(),
            self.occupancy.find_trials,
            lambda: self.occupancy.changed.set(),
        )
        connect_suspicion(self.suspicion, self.crash_detector, self.occupancy.aggregation)
        self.held = HeldRequests(kv, self.suspicion)
        self.suspicion.on_suspected = self.held.store
        self.suspicion.on_cleared = self.held.remove
        self.loads = TargetLoads(
            self.targets,
            self.occupancy,
            lambda target: self.worker.count_items(target),
            enabled=settings.target_model,
        )
        self.forwarder = Forwarder(
            self.targets,
            platform.dialect,
            HttpClient(CONNECT_TIMEOUT_S, UNACKNOWLEDGED_MS, read_bytes=TARGET_READ_BYTES),
            settings.failure_domain,
            self.occupancy.in_flight,
            self.crash_detector,
            self.suspicion,
            wait_until_fresh=self.stall_detector.wait,
            loads=self.loads,
            memory=self.memory,
        )
        self.suspicion.find_writing = self.forwarder.find_writing
        self.stream_versions = StreamVersions(
            self.socket,
            self.own.host,
            lambda: self.hosts.hosts.values(),
            lambda: {read_host(incarnation) for incarnation in self.heartbeats.heard},
        )
        self.version_history = VersionHistory(
            kv, self.own.incarnation, self.targets, lambda: self.watchers.watching
        )
        self.forwarder.origins = StreamOrigins(
            self.stream_versions,
            self.version_history,
            self.targets,
            SharedRefresh(lambda: self.watchers.proofs.prove("targets")),
            lambda: self.watchers.proofs.proven_at.get("targets", float("-inf")),
        )
        self.configuration = ActiveConfiguration(platform.decode_configuration, self.apply_limits)
        self.quotas = self.make_quotas()
        self.item_starts = ItemStarts()
        self.refusals = RecentRefusals()
        self.share_limits = ShareLimits(
            self.occupancy.find_shares,
            self.occupancy.hears_shortage,
            self.count_calls_by_organisation,
            self.loads.call_s,
            new_rng().random,
            lambda: self.occupancy.changed.set(),
        )
        self.admission = AdmissionGate(
            lambda service: self.targets.candidates(service, monotonic()),
            self.loads,
            lambda: self.knows_occupancy(),
            lambda: len(self.hosts.hosts),
            RecoveryLimits(new_rng().random),
            lambda: self.worker.in_flight(),
            lambda: self.occupancy.delay_s,
            self.note_refused_call,
            self.share_limits.allows,
            self.share_limits.is_limited,
            self.share_limits.rank,
            self.forwarder.rng,
            self.find_position,
        )
        self.repository = JobRepository(kv, settings.store_value_bytes)
        self.worker = Worker(
            self.repository,
            self.forwarder,
            self.own.incarnation,
            lambda: self.configuration.current,
            self.occupancy.must_preempt,
            lambda: self.occupancy.delay_s,
            self.occupancy.remote_waiting,
            self.may_start_items,
            self.must_hold_back_items,
            self.occupancy.find_call_rate,
            settings.max_waiting_bytes,
            memory=self.memory,
        )
        self.intake = Intake(
            self.repository,
            SpoolClient(
                self.data_host_http,
                self.find_data_hosts,
                lambda: [host.peer_address for host in self.data_hosts.find_missing()],
                settings.spool_copies,
            ),
            lambda: self.kv.is_available,
            self.worker.run_early,
            lambda stored, items: self.jobs.handle_entered_job(stored, items),
            lambda job_id: self.jobs.is_run_elsewhere(job_id),
            lambda: self.jobs.leaving,
            settings.quota_excess,
        )
        self.jobs = JobApi(
            self.repository,
            self.intake,
            self.worker,
            self.presence,
            platform.job_dialect,
            self.peer_http,
            self.heartbeats.find_owner,
            self.heartbeats.find_address,
            self.heartbeats.count_announced_jobs,
            self.hosts,
            lambda: self.adoption.request_sweep(),
            lambda: self.silence.isolated,
            self.may_miss_jobs,
        )
        self.shared_listing = SharedListing(
            self.repository,
            self.own.incarnation,
            self.hosts,
            self.heartbeats,
            self.peer_http,
            lambda: self.watchers.first_read.wait(),
            self.tasks,
        )
        self.adoption = Adoption(
            self.repository,
            self.worker,
            self.own.incarnation,
            self.hosts,
            lambda: set(self.heartbeats.heard),
            lambda: self.presence.holds_lease,
            lambda: self.watchers.watching,
            self.jobs.remind_idle_owners,
            self.jobs.notify_former_owner,
            kv.pace,
            self.shared_listing,
        )
        self.target_follower = TargetFollower(
            self.targets, platform.decode_target, platform.read_target_name
        )
        self.watchers = self.make_watchers()
        metrics.shared().unentered_jobs.read = self.intake.read_waiting_jobs
        metrics.shared().oldest_unentered_job.read = self.intake.read_oldest_s
        metrics.shared().view_age.read = self.watchers.proofs.read_ages_s
        metrics.shared().view_rows.read = self.watchers.proofs.read_rows
        metrics.shared().view_stored.read = self.watchers.proofs.read_stored_bytes
        metrics.shared().target_pace.read = self.loads.read_paces
        metrics.shared().target_delay.read = self.loads.read_delays_s
        waiting_items = self.worker.waiting_items
        metrics.shared().waiting_items.read = waiting_items.read_counts
        metrics.shared().oldest_waiting_item.read = lambda: waiting_items.read_oldest_s(monotonic())
        self.calls = CallRouter(
            platform.dialect,
            platform.job_dialect,
            self.configuration,
            CallerCheck(
                self.configuration,
                lambda: self.watchers.proofs.age_s("operator", monotonic()),
                SharedRefresh(lambda: self.watchers.proofs.prove("operator")),
                RevocationTerms(settings.revoke_strictly, settings.revoke_ms / 1000),
            ),
            self.quotas,
            self.refusals,
            self.share_limits,
            self.forwarder,
            self.jobs,
            self.watchers.first_read,
            self.stall_detector,
            self.admission if settings.admission else None,
        )
        self.caller_limits = make_limits(settings.memory_bytes)
        self.callers = HttpServer(self.calls.answer, self.caller_limits)
        self.accept_gate = AcceptGate(lambda: len(self.hosts.hosts))
        self.callers.budget = self.memory
        self.callers.may_accept = self.accept_gate.accept
        self.stall_detector.on_lag = self.accept_gate.note_lag
        self.readiness = Readiness(
            self.find_missing_requirements,
            lambda: self.presence.holds_lease,
            lambda: len(self.targets.by_id),
            lambda: {
                name: reason
                for group in self.find_task_groups()
                for name, reason in group.find_failing().items()
            },
        )
        metrics.shared().failing_loops.read = lambda: {
            labels: failing_s
            for group in self.find_task_groups()
            for labels, failing_s in group.read_failing_s().items()
        }
        metrics.shared().not_ready.read = self.readiness.read_missing_s
        self.ready_server = HttpServer(self.answer_ready)
        self.peer_server = HttpServer(self.answer_peer)
        self.metrics_server = HttpServer(self.answer_metrics)

    async def start(self) -> None:
        """Open the ports and start the background loops.

        Ports that cannot be opened yet are waited for while the others serve. Returns once all
        ports but that of the metrics are open.
        """
        metrics.shared().starts.add(1, {"former_run": FormerRun.UNKNOWN.value})
        self.readiness.report()
        self.calls.started_at = self.stall_detector.last_check_at = monotonic()
        peer_ports, other_ports, metrics_port = self.list_ports()
        waiting_peer_ports = await open_free_ports(peer_ports)
        waiting_ports = await open_free_ports(other_ports)
        for port in await open_free_ports([metrics_port]):
            self.tasks.start(wait_until_open(port))
        if not waiting_peer_ports:
            self.reachable.set()
        self.start_loops()
        await asyncio.gather(
            self.wait_until_reachable(waiting_peer_ports), wait_until_all_open(waiting_ports)
        )

    def list_ports(self) -> tuple[list[Port], list[Port], Port]:
        """Return the ports for other hosts, those for callers, and that of the metrics."""
        settings = self.settings
        callers, ready = settings.callers_address, settings.ready_address
        peers = f"{settings.address}:{settings.peer_port}"
        return (
            [
                Port("peers", peers, lambda: self.peer_server.start(*split_address(peers))),
                Port("datagrams", peers, lambda: self.socket.start(*split_address(peers))),
            ],
            [
                Port(
                    "callers",
                    callers,
                    lambda: self.callers.start(*split_address(callers), self.listener),
                ),
                Port("readiness", ready, lambda: self.ready_server.start(*split_address(ready))),
            ],
            Port(
                "metrics",
                f"{settings.address}:{settings.metrics_port}",
                lambda: self.metrics_server.start(settings.address, settings.metrics_port),
            ),
        )

    async def wait_until_reachable(self, ports: list[Port]) -> None:
        """Set :attr:`reachable` once the ports for other hosts are open."""
        await wait_until_all_open(ports)
        self.reachable.set()

    def is_listed(self) -> bool:
        """Whether the list of live hosts has this run of the host."""
        return self.hosts.hosts.get(self.own.host) == self.own

    async def announce(self) -> None:
        """Keep this host listed once others can reach it; never returns.

        Until then, another program may listen at its address.
        """
        await self.reachable.wait()
        await self.presence.run()

    def start_loops(self) -> None:
        """Start the loops that run until the process stops."""
        start_loop = self.tasks.start_loop
        start_loop("standstill", self.stall_detector.run)
        start_loop("log", lambda: report_dropped_lines(events.LINES_LEFT_OUT))
        start_loop("watchers", self.watchers.run)
        self.renewing = start_loop("presence", self.announce)
        start_loop("beats", lambda: self.heartbeats.run(lambda: list(self.hosts.hosts.values())))
        start_loop("reports", lambda: self.occupancy.run_reports(self.heartbeats.addresses))
        start_loop("digests", self.occupancy.run_digests)
        start_loop("worker", self.worker.run)
        self.adopting = start_loop("adoption", self.adoption.run)
        start_loop("sweep", self.sweep)
        start_loop("closed targets", self.crash_detector.run_probes)
        start_loop(
            "peers", lambda: follow_peers(self.heartbeats, self.peer_http, self.configuration)
        )

    def find_task_groups(self) -> list[TaskGroup]:
        """Return the groups of tasks that run background loops or steps of them."""
        return [self.tasks, self.watchers.tasks, self.retirement.tasks, self.worker.tasks]

    def find_position(self) -> int:
        """Return the position of this host among the listed hosts, by name."""
        return sum(host < self.own.host for host in self.hosts.hosts)

    def note_refused_call(self) -> None:
        """Tell other hosts of a call refused for lack of room, and start no items for a while."""
        self.occupancy.changed.set()
        self.item_starts.note_refusal(monotonic())

    def take_remote_refusals(self, refused: list[int]) -> None:
        """Process the numbers of refused requests that a digest lists."""
        if refused:
            self.item_starts.note_refusal(monotonic())
        self.admission.take_sums(refused)

    def note_load_change(self) -> None:
        """Report a change of this host's calls in flight, and let waiting calls decide again."""
        self.occupancy.changed.set()
        self.admission.notify()

    def make_ledger(self) -> QuotaLedger:
        """Return the ledger that sums the grants of all hosts while this host is an aggregator."""
        return QuotaLedger(
            lambda number: self.quotas.find_allowance(number),
            lambda number: self.quotas.find_reported_room(number),
            lambda: self.hosts.find_current([self.own.incarnation, *self.heartbeats.heard]),
        )

    def make_quotas(self) -> QuotaGate:
        """Return the quota enforcement of this host."""
        settings = self.settings
        host = HostQuotas(
            self.occupancy.find_room_reports,
            lambda: self.presence.holds_lease,
            lambda: len(self.hosts.hosts),
            new_rng().random,
        )
        terms = QuotaTerms(settings.quota_window_s, settings.quota_excess, settings.quota_slack)
        return QuotaGate(self.configuration, host, terms, self.forwarder.rng)

    def count_calls_by_organisation(self) -> dict[OrganisationNumber, int]:
        """Return this host's calls in flight by organisation."""
        current = self.configuration.current
        return count_calls_by_organisation(
            self.targets.by_id.values(), current.organisations if current else None
        )

    def make_watchers(self) -> Watchers:
        """Return the watchers that keep configuration, targets and live hosts up to date."""
        platform = self.platform
        limits = make_row_limits(platform)
        operator = OperatorFollower(
            self.configuration,
            platform.config_key,
            platform.read_retired_host,
            self.retirement.answer,
        )
        live = LiveFollower(
            self.own.incarnation,
            self.hosts,
            self.data_hosts,
            END_PREFIX,
            self.adoption.note_lost,
            self.worker.check_end,
            HELD_PREFIX,
            self.held.apply,
            VERSIONS_KEY,
            self.version_history.apply,
        )
        return Watchers(
            self.kv,
            self.own.incarnation,
            self.heartbeats,
            self.peer_http,
            {
                "operator": platform.operator_prefix,
                "targets": platform.targets_prefix,
                "live": LIVE_PREFIX,
            },
            {
                "operator": PrefixView(operator, limits),
                "targets": PrefixView(self.target_follower, limits),
                "live": PrefixView(live, limits),
            },
            MAX_VIEW_AGE_S,
            lambda: set(self.hosts.hosts),
        )

    def find_data_hosts(self) -> list[str]:
        """Return ``IP:PORT`` of the listed data hosts."""
        return [host.peer_address for host in self.data_hosts.hosts.values()]

    def may_miss_jobs(self) -> bool:
        """Whether accepted jobs may exist that this host can't find.

        Such a job isn't in the key-value service yet, and the data hosts that store it aren't known
        to this host.
        """
        if not self.settings.spool_copies:
            return False
        if not self.watchers.views["live"].revision:
            return True
        known = self.data_hosts.hosts or self.data_hosts.find_missing()
        return self.kv.had_recent_outage and bool(known)

    def knows_occupancy(self) -> bool:
        """Whether a digest tells what the other hosts have in flight.

        An aggregator that has just started knows of few listed hosts, so this host also has to
        hear half of those that it has read from the service.
        """
        if not self.watchers.first_read.is_set():
            return False
        now = monotonic()
        heard_share = (len(self.heartbeats.heard) + 1) / max(1, len(self.hosts.hosts))
        return any(
            is_occupancy_known(
                now - heard.at,
                now - heard.room_report.covers_until,
                min(heard_share, heard.room_report.heard_share),
            )
            for heard in self.occupancy.heard.values()
        )

    def may_start_items(self) -> bool:
        """Whether enough is known of the other hosts to start batch items."""
        return self.item_starts.may_start(monotonic(), known=self.knows_occupancy())

    def must_hold_back_items(self, service: ServiceName) -> bool:
        """Whether items of a service have to leave the slots to callers that were refused."""

        def find_occupancy() -> float:
            return self.loads.occupancy(service) if self.knows_occupancy() else math.inf

        return self.item_starts.are_held_back(monotonic(), find_occupancy)

    @property
    def ready(self) -> bool:
        """Whether this host is ready for calls."""
        return self.readiness.ready

    def find_missing_requirements(self) -> list[Requirement]:
        """Return what this host lacks to be ready for calls."""
        met = {
            Requirement.CONFIGURATION: self.configuration.current is not None,
            Requirement.TARGETS: self.target_follower.loaded,
            Requirement.PORTS: self.reachable.is_set(),
            Requirement.RUNNING: not self.stopping,
        }
        return [requirement for requirement, is_met in met.items() if not is_met]

    def take_message(self, message: Message, address: str) -> None:
        """Take a datagram from another host."""
        started_at = monotonic()
        self.dispatch(message, address)
        loop_time.shared().note(LoopPart.PEERS, started_at)

    def dispatch(self, message: Message, address: str) -> None:
        """Pass a datagram to the component that it is for."""
        if isinstance(message, Digest):
            self.occupancy.receive(message)
        elif isinstance(message, RelayedDigest):
            self.occupancy.relay(message)
        elif isinstance(message, Report):
            self.occupancy.aggregation.take(message, address)
        elif isinstance(message, StreamNotice):
            self.stream_versions.receive(message, address)
        elif isinstance(message, StreamQuery):
            self.stream_versions.answer(message, address)
        else:
            self.heartbeats.receive(message, address)

    def apply_limits(self, configuration: Configuration) -> None:
        """Apply a configuration's limits to callers' connections."""
        self.callers.limits = read_limits(configuration.limits, self.caller_limits)

    async def answer_ready(self, _request: Request) -> Response:
        """Answer the platform's readiness check."""
        return Response(200 if self.readiness.answer_check() else 503)

    async def answer_metrics(self, request: Request) -> Response:
        """Answer with metrics, or with a page for operators: held requests, quotas or load."""
        if request.path.startswith(PAGE):
            return await self.held.answer(request)
        if request.path == QUOTA_PAGE:
            return answer_quotas(self.quotas, request.query.get("organisation", ""))
        if request.path == LOAD_PATH:
            # Imported when it is first requested, since the import would delay the start.
            from .load_page import answer_load, collect_sources

            return answer_load(collect_sources(self))
        return Response(200, {"content-type": "text/plain; version=0.0.4"}, await metrics.render())

    async def answer_peer(self, request: Request) -> Response:
        """Answer an HTTP request of another host."""
        if request.path == "/config" and self.configuration.raw:
            return Response(body=self.configuration.raw)
        if request.path == "/news":
            return self.watchers.answer_update_request(request)
        if request.path == "/kv":
            return await self.kv.answer_peer(request)
        if request.path == LIST_PATH:
            return await self.shared_listing.answer(request)
        return await self.jobs.answer_peer(request)

    async def sweep(self) -> None:
        """Periodically remove expired state and detect silent hosts, forever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            with loop_time.shared().measure(LoopPart.SWEEP):
                self.sweep_once()

    def sweep_once(self) -> None:
        """Remove expired state, detect silent hosts, and report whether this host is ready.

        Each step runs, whether or not others raise an exception.
        """
        now = monotonic()
        steps: dict[str, Callable[[], object]] = {
            "sweep of targets": lambda: self.targets.sweep(now),
            "sweep of heartbeats": self.heartbeats.forget_silent,
            "sweep of reports": self.occupancy.forget_silent,
            "sweep of suspicions": self.suspicion.forget,
            "sweep of streams": lambda: self.stream_versions.records.forget(now),
            "sweep of versions": lambda: self.version_history.sweep(now),
            "sweep of quotas": lambda: self.quotas.host.forget(now),
            "sweep of silent hosts": self.update_silent_hosts,
            "report of readiness": self.readiness.report,
        }
        for name, step in steps.items():
            self.tasks.run_step(name, step)

    def update_silent_hosts(self) -> None:
        """Have the jobs of hosts that are listed but not heard taken over."""
        listed = self.hosts.incarnations - {self.own.incarnation}
        lost = self.silence.update(listed, self.heartbeats.heard, monotonic())
        self.adoption.update_silent(lost)

    async def refresh_after_stall(self) -> None:
        """Refresh this host's data after a stall.

        Reads the configuration and targets again. In the background, it confirms that this host
        still owns its jobs: there may be many of them, and calls wait for the refresh. Idle
        connections are closed first, since they may be broken unnoticed.
        """
        self.forwarder.http.close()
        self.peer_http.close()
        self.data_host_http.close()
        prove = self.watchers.proofs.prove
        if self.confirming is not None:
            self.confirming.cancel()
        self.confirming = self.tasks.start(self.worker.confirm_jobs())
        await asyncio.gather(prove("operator"), prove("targets"))

    def reload(self) -> None:
        """Log that the settings file changed; no setting takes effect without a restart."""
        emit(events.SETTINGS_RELOADED, host=self.settings.host)

    async def stop(self) -> None:
        """Hand over jobs, finish running calls and close everything before the kill.

        Calls get the time that *grace_s* leaves; what still runs after that is aborted.
        """
        begun = monotonic()
        self.stopping = True
        self.calls.refuses_from = begun + STOP_LISTENING_S
        self.callers.draining = True
        self.jobs.leaving = True
        handing_over = self.tasks.start(self._hand_over())
        last = begun + self.settings.grace_s - STOP_RESERVE_S
        while monotonic() < last:
            quiet = not self.callers.busy_count and handing_over.done()
            if quiet and monotonic() > begun + STOP_LISTENING_S:
                break
            self.callers.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        emit(
            events.PROGRAM_STOPPED,
            busy=self.callers.busy_count,
            handed_over=handing_over.done(),
            took_s=round(monotonic() - begun, 2),
        )
        self.abort()
        await self.tasks.stop()
        await self.watchers.stop()
        await self.retirement.tasks.stop()
        await self.stall_detector.tasks.stop()
        await self.crash_detector.tasks.stop()
        await self.held.tasks.stop()
        await self.version_history.tasks.stop()

    def abort(self) -> None:
        """Close all listening sockets and their connections at once."""
        for server in (self.callers, self.ready_server, self.peer_server, self.metrics_server):
            server.abort()
        self.socket.stop()

    async def _hand_over(self) -> None:
        """Release all jobs to other hosts and remove this host from the list of live hosts."""
        if self.adopting is not None:
            self.adopting.cancel()
        await self.worker.release_all()
        if self.renewing is not None:
            self.renewing.cancel()
        await self.presence.withdraw()
