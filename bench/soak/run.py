"""One seeded soak.

Callers send traffic while sequential and overlapping faults are injected. Then the faults end, and
the ledger checks the guarantees given to callers once the fleet has recovered.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path as FilePath

import msgspec

from gradepoint.util.tasks import TaskGroup
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from ..platform.store import PlatformStoreStandin, StoreFault
from ..platform.target import TargetStandin
from .answering import end_programs, find_silent_programs, wait_ready
from .bursts import SUBMIT_INTERVAL_S, CrashBursts
from .crashes import TargetCrashes
from .entries import ForeignEntries
from .fleet import DataHostProcess, GatewayProcess, ProgramProcess
from .harm import HarmfulRequest
from .ledger import Ledger
from .organisations import Organisations
from .power import ITEM_SERVICE, ITEM_TARGETS, OWING_S, PowerLosses
from .proxy import Proxy, ProxyMode
from .resuming import ResumingCaller
from .routes import CALL_KINDS, HOST, make_configuration
from .served import JUDGED_S, KINDS, SETTLE_S, ServedCalls
from .sizes import Sizes, encode_submission, find_repeated_rejections
from .starts import TroubledStarts

VERSIONS = ("v1", "v2")
"""Software versions of the targets, in runs with several."""
RECOVERY_LIMIT_S = 60.0
"""Seconds after the last fault within which every accepted item must be listed as a result, every
program must answer, and after which all programs must stop within the same time."""
OBSERVATION_INTERVAL_S = 0.1
"""Seconds between looks at the memory and the end of each process."""


@dataclass
class Soak:
    """One run of the soak.

    :param seed: seed of every random draw; the run's request ids contain it.
    :param folder: folder of settings files, logs and data folders.
    :param faults_s: seconds during which faults are injected.
    :param gateways: number of gateways.
    :param callers: number of concurrent callers.
    :param cores: number of cores that all programs share; 0 for all.
    :param events: number of events in each stream.
    :param with_harm: whether a request that crashes its targets is sent beside the other calls.
    :param with_harmful_part: whether such requests share only a part of their prompts.
    :param with_early_ends: whether targets send streams without a length or chunks, and end some
        streams in order inside an event.
    :param with_versions: whether targets of two software versions serve side by side and replace
        each other, and callers resume streams that break.
    :param with_sizes: whether sizes of items, texts and values are drawn from the seed.
    :param with_crashes: whether targets send streams without a length or chunks and are killed, or
        drain and end, while they send them.
    :param with_bursts: whether targets crash in bursts while they run long items.
    :param with_starts: whether programs are started again in trouble; for real processes only.
    :param with_power: whether programs lose power in the same moment, and calls are counted by the
        second after the last trouble.
    :param with_entries: whether another writer writes entries into the store, which stand while
        programs are killed and lose power.
    :param owing_s: most seconds in which items are submitted that are owed at the last loss.
    :param organisations: organisations whose API keys the callers use; None sends no keys.
    :param suspend: suspends a gateway's host for some seconds; None if hosts cannot be suspended.
    :param make_gateway: creates a gateway, which need not be a separate process.
    :param make_data_host: creates a data host, which need not be a separate process.
    :ivar proxies: those of the targets first, then those between hosts and the metadata store.
    :ivar injected_faults: number of faults injected so far, by kind.
    :ivar gateway_start_times: loop times at which gateways were started again.
    :ivar version: version of the configuration written last.
    :ivar replaced_targets: number of targets that were replaced by another version.
    :ivar last_id: number of the request id given out last.
    """

    seed: int
    folder: FilePath
    faults_s: float = 8.0
    gateways: int = 3
    data_host_count: int = 3
    target_count: int = 4
    callers: int = 6
    cores: int = 0
    events: int = 8
    with_harm: bool = False
    with_harmful_part: bool = False
    with_early_ends: bool = False
    with_versions: bool = False
    with_sizes: bool = False
    with_crashes: bool = False
    with_bursts: bool = False
    with_starts: bool = False
    with_power: bool = False
    with_entries: bool = False
    owing_s: float = OWING_S
    organisations: Organisations | None = None
    suspend: Callable[[GatewayProcess, float], None] | None = None
    make_gateway: Callable[..., GatewayProcess] = GatewayProcess
    make_data_host: Callable[..., DataHostProcess] = DataHostProcess

    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    fleet: list[GatewayProcess] = field(default_factory=list)
    data_hosts: list[DataHostProcess] = field(default_factory=list)
    targets: list[TargetStandin] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    injected_faults: Counter[str] = field(default_factory=Counter)
    gateway_start_times: list[float] = field(default_factory=list)
    harm: HarmfulRequest | None = None
    crashes: TargetCrashes | None = None
    bursts: CrashBursts | None = None
    starts: TroubledStarts | None = None
    power: PowerLosses | None = None
    entries: ForeignEntries | None = None
    sizes: Sizes | None = None
    version: int = 1
    calm: bool = False
    replaced_targets: int = 0
    last_id: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.ledger = Ledger(self.targets, self.events)
        if self.with_versions:
            self.ledger.versions = VERSIONS
        if self.with_sizes:
            self.sizes = Sizes(self.seed, self.events)
            self.store.keys.limits = self.sizes.limits
            self.ledger.data_bytes = self.sizes.data_bytes
        if self.with_power:
            self.power = self._make_power()
            self.target_count += ITEM_TARGETS
        self.folder.mkdir(parents=True, exist_ok=True)

    async def run(self) -> list[str]:
        """Run the soak; return a message for each violated guarantee."""
        try:
            await self._start()
            self.tasks.start(self._observe_programs())
            load_tasks = [self.tasks.start(self._call_forever()) for _ in range(self.callers)]
            load_tasks.append(self.tasks.start(self._submit_forever()))
            load_tasks += self._start_resuming_callers()
            harm = self._start_harm()
            fault_tasks = [
                self.tasks.start(self._inject_repeatedly(kind)) for kind in self._draw_fault_kinds()
            ]
            if self.with_crashes:
                fault_tasks.append(self.tasks.start(self._make_crashes().crash_forever()))
            if self.with_bursts:
                fault_tasks.append(self.tasks.start(self._make_bursts().crash_forever()))
            if self.with_starts:
                self.starts = TroubledStarts(
                    self.seed, lambda: self.programs, self._note_start, self.tasks
                )
                fault_tasks.append(self.tasks.start(self.starts.restart_forever()))
            if self.with_entries:
                self.entries = self._make_entries()
                fault_tasks.append(self.tasks.start(self.entries.write_forever()))
            if self.suspend is not None:
                fault_tasks.append(self.tasks.start(self._suspend_hosts(self.suspend)))
            served = None
            if self.power is None:
                await asyncio.sleep(self.faults_s)
            else:
                served = await self._lose_power(self.power, load_tasks)
            for task in fault_tasks:
                task.cancel()
            await asyncio.wait(fault_tasks)
            for task in fault_tasks:
                if not task.cancelled():
                    task.result()
            if self.starts is not None:
                await self.starts.wait_until_passed()
            self._end_faults()
            ended_at = asyncio.get_running_loop().time()
            recovers_by = ended_at + RECOVERY_LIMIT_S
            await asyncio.sleep(1.0 if served is None else SETTLE_S + JUDGED_S)
            for task in load_tasks:
                task.cancel()
            if served is not None:
                await served.wait()
                self.ledger.violations += served.find_violations(ended_at)
            await self._check_jobs()
            self.ledger.violations += await find_silent_programs(self.programs, recovers_by)
            if harm is not None:
                self.ledger.violations += harm.find_violations(self.gateway_start_times)
            if self.organisations is not None:
                self.ledger.violations += self.organisations.violations
            self.ledger.violations += await end_programs(self.programs, RECOVERY_LIMIT_S)
            lives = sum(program.incarnation for program in self.programs)
            self.ledger.violations += find_repeated_rejections(self.store.rejected, lives)
            return self.ledger.close()
        finally:
            await self._stop()

    def _make_power(self) -> PowerLosses:
        return PowerLosses(
            self.seed,
            self.store,
            self.fleet,
            self.data_hosts,
            self.targets,
            self.proxies,
            self._restart,
            self._relist_target,
            self._submit_debt,
            self.owing_s,
        )

    async def _lose_power(
        self, power: PowerLosses, load_tasks: list[asyncio.Task[None]]
    ) -> ServedCalls:
        """Lose power until the faults end; start counted calls before the last loss."""
        self.tasks.start(power.observe_forever())
        losses = self.tasks.start(power.lose_forever())
        await asyncio.sleep(self.faults_s)
        losses.cancel()
        served = ServedCalls(
            self.seed,
            self.ledger,
            lambda: [gateway.callers for gateway in self.fleet],
            self._next_id,
            self._headers,
            self.tasks,
        )
        load_tasks += [self.tasks.start(served.call_forever(kind)) for kind in KINDS]
        await power.lose_last()
        return served

    async def _submit_debt(self, items: int) -> bool:
        """Submit a job of many items; return whether it was accepted."""
        job = f"job-{self._next_id()}"
        with closing(HttpClient()) as http:
            accepted = await self._submit(http, job, [b"item"] * items)
        if accepted:
            self.ledger.accepted[job] = items
        return accepted

    @property
    def programs(self) -> list[ProgramProcess]:
        """All programs."""
        return [*self.fleet, *self.data_hosts]

    async def _observe_programs(self) -> None:
        while True:
            for program in self.programs:
                program.observe()
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def _start(self) -> None:
        address = await self.store.start()
        store = address.rpartition(":")
        self._write_configuration()
        for number in range(self.target_count):
            await self._add_target(f"t{number}")
        store_address = store[0], int(store[2])
        for number in range(self.data_host_count):
            address = f"127.0.2.{number + 1}"
            proxy = await self._open_proxy(store_address, address)
            data_host = self.make_data_host(f"data-{number}", address, self.folder, proxy)
            self._prepare_program(data_host)
            data_host.start()
            self.data_hosts.append(data_host)
        for number in range(self.gateways):
            address = f"127.0.1.{number + 1}"
            proxy = await self._open_proxy(store_address, address)
            gateway = self.make_gateway(f"host-{number}", address, self.folder, proxy)
            self._prepare_program(gateway)
            gateway.start()
            self.fleet.append(gateway)
        await wait_ready(self.fleet)

    def _prepare_program(self, program: ProgramProcess) -> None:
        program.cores = self.cores
        if self.power is not None:
            program.byte_code = self.folder / "byte-code" / program.name
        if self.sizes is not None:
            program.more_settings.update(self.sizes.settings)

    def _start_resuming_callers(self) -> list[asyncio.Task[None]]:
        """Start callers who resume broken streams if this run has them."""
        if not self.with_versions:
            return []
        caller = ResumingCaller(
            self.ledger, lambda rng: rng.choice(self.fleet).callers, HOST, self.seed
        )
        return [self.tasks.start(caller.call_forever(n)) for n in range(self.callers)]

    def _start_harm(self) -> HarmfulRequest | None:
        """Start sending the harmful request if this run has one."""
        if not self.with_harm and not self.with_harmful_part:
            return None
        harm = HarmfulRequest(
            self.seed,
            self.targets,
            self.proxies[: self.target_count],
            self._relist_target,
            by_part=self.with_harmful_part,
        )
        self.harm = harm
        self.tasks.start(harm.send_forever(lambda: harm.rng.choice(self.fleet).callers, HOST))
        return harm

    def _make_crashes(self) -> TargetCrashes:
        crashes = TargetCrashes(
            self.seed,
            self.targets,
            self.proxies[: self.target_count],
            self._relist_target,
            lambda name: self.store.delete(f"servers/{name}"),
            self.tasks,
        )
        self.crashes = crashes
        return crashes

    def _make_bursts(self) -> CrashBursts:
        bursts = CrashBursts(
            self.seed,
            self.targets,
            self.proxies[: self.target_count],
            self._relist_target,
            lambda name: self.store.delete(f"servers/{name}"),
            self.tasks,
        )
        self.bursts = bursts
        return bursts

    def _make_entries(self) -> ForeignEntries:
        service = ITEM_SERVICE if self.power else "model"
        return ForeignEntries(self.seed, self.store, service, self._list_names)

    def _list_names(self) -> list[str]:
        """Return names of hosts, targets, jobs and organisations, and addresses of targets."""
        names = [*(program.name for program in self.programs), "night", "model", HOST]
        for target, proxy in zip(self.targets, self.proxies, strict=False):
            names += [target.name, f"127.0.0.1:{proxy.port}"]
        if self.organisations is not None:
            names += [str(row["name"]) for row in self.organisations.list_rows(self.version)]
        return [*names, *list(self.ledger.accepted)[-1:]]

    async def _suspend_hosts(self, suspend: Callable[[GatewayProcess, float], None]) -> None:
        """Suspend random hosts, one at a time, for 0.5 to 6 seconds.

        The choices come from a generator of their own, so that they leave the other draws of the
        seed as they are.
        """
        rng = random.Random(f"{self.seed} suspension")
        while True:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            seconds = rng.uniform(0.5, 6.0)
            suspend(rng.choice(self.fleet), seconds)
            self.injected_faults["suspension"] += 1
            await asyncio.sleep(seconds)

    def _relist_target(self, number: int, state: str = "ready") -> None:
        """Write the store entry of a target that has started again or changed its state."""
        self._list_target(self.targets[number], self.proxies[number].port, state)

    async def _open_proxy(self, destination: tuple[str, int], address: str) -> Proxy:
        proxy = Proxy(destination)
        await proxy.start(address)
        self.proxies.append(proxy)
        return proxy

    async def _add_target(self, name: str) -> None:
        target = TargetStandin(name, events=self.events, event_interval_s=0.01)
        target.data_bytes = self.ledger.data_bytes
        target.rng = random.Random(f"{self.seed} {name}")
        if self.with_versions:
            target.version = VERSIONS[len(self.targets) % len(VERSIONS)]
            target.event_interval_s = 0.04
        if self.with_early_ends:
            target.unframed_share, target.early_end_share = 0.5, 0.1
            target.framing_rng = random.Random(f"{self.seed} {name} framing")
        if self.power is not None and len(self.targets) >= self.target_count - ITEM_TARGETS:
            self.power.prepare_target(target)
        ip, _, port = (await target.start()).rpartition(":")
        proxy = Proxy((ip, int(port)))
        await proxy.start(ip)
        self.proxies.append(proxy)
        self.targets.append(target)
        if self.organisations is not None:
            self.organisations.observe(target)
        self._list_target(target, proxy.port)

    def _list_target(self, target: TargetStandin, port: int, state: str = "ready") -> None:
        entry = msgspec.json.decode(target.entry(state))
        entry["addr"] = f"127.0.0.1:{port}"
        self.store.put(f"servers/{target.name}", msgspec.json.encode(entry))

    def _write_configuration(self) -> None:
        document = make_configuration(self.version, ITEM_SERVICE if self.power else "model")
        if self.organisations is not None:
            document["tenants"] = self.organisations.list_rows(self.version)
        self.store.put("op/config", msgspec.json.encode(document))

    def _next_id(self) -> str:
        self.last_id += 1
        return f"s{self.seed}-{self.last_id}"

    async def _call_forever(self) -> None:
        """Send calls until cancelled; the client keeps connections until their process is gone."""
        with closing(HttpClient()) as http:
            while True:
                gateway = self.rng.choice(self.fleet)
                if self.version > 1 and self.rng.random() < 0.2:
                    await self._probe_version(http, gateway)
                    continue
                kind = self.rng.choice(list(CALL_KINDS))
                await self._call(http, gateway, kind)
                await asyncio.sleep(self.rng.random() * 0.02)

    async def _call(self, http: HttpClient, gateway: GatewayProcess, kind: str) -> None:
        request_id = self._next_id()
        # The stand-in target sends a plain response, no stream, where the path has /plain/.
        path = f"/{kind}/{request_id}" if kind != "single" else f"/single/plain/{request_id}"
        pieces: list[bytes] = []
        status, cut = 0, True
        headers = self._headers(request_id)
        try:
            async with asyncio.timeout(6.0):
                response = await http.send(
                    gateway.callers, "POST", path, b"prompt", headers, timeout_s=6.0
                )
                status = response.status
                async for piece in response.stream():
                    pieces.append(piece)
                cut = False
        except (ConnectFailed, ResponseBroken, TimeoutError):
            pass
        self.ledger.record_call(kind, request_id, status, b"".join(pieces), cut)

    def _headers(self, request_id: str) -> list[tuple[str, str]]:
        headers = [("host", HOST), ("x-attempt-id", request_id), ("x-time-left-ms", "3000")]
        if self.organisations is None:
            return headers
        return self.organisations.add_key(request_id, headers)

    async def _probe_version(self, http: HttpClient, gateway: GatewayProcess) -> None:
        """Call a route that a configuration version added.

        Within one incarnation of a gateway, the route must not disappear again.
        """
        version, incarnation = (
            self.rng.randint(2, self.version),
            f"{gateway.name}.{gateway.incarnation}",
        )
        request_id = self._next_id()
        try:
            response = await http.send(
                gateway.callers,
                "POST",
                f"/v{version}/plain/{request_id}",
                b"",
                self._headers(request_id),
                timeout_s=6.0,
                fresh=True,
            )
            await response.read()
        except (ConnectFailed, ResponseBroken):
            return
        if incarnation == f"{gateway.name}.{gateway.incarnation}":
            self.ledger.record_version(incarnation, version, response.status)

    async def _submit_forever(self) -> None:
        with closing(HttpClient()) as http:
            while True:
                job = f"job-{self._next_id()}"
                bodies = [b"item"] * self.rng.randint(1, 6)
                if self.sizes is not None:
                    bodies = self.sizes.draw_bodies(job)
                if await self._submit(http, job, bodies):
                    self.ledger.accepted[job] = len(bodies)
                    self.tasks.start(self._poll_results(job))
                await asyncio.sleep(self.rng.uniform(0.1, 0.4))
                if self.with_bursts:
                    await asyncio.sleep(SUBMIT_INTERVAL_S)

    async def _submit(self, http: HttpClient, job: str, bodies: list[bytes]) -> bool:
        body = encode_submission(job, bodies)
        for _ in range(3):
            gateway = self.rng.choice(self.fleet)
            try:
                response = await http.send(
                    gateway.callers,
                    "POST",
                    f"/night/{job}",
                    body,
                    self._headers(job),
                    timeout_s=5.0,
                    fresh=True,
                )
                await response.read()
            except (ConnectFailed, ResponseBroken):
                continue
            self.ledger.outcomes[f"submit {response.status}"] += 1
            if response.status == 202:
                return True
        return False

    async def _read_results(
        self, http: HttpClient, job: str, position: int | None = None
    ) -> int | None:
        """Read a page of results; return how many are known.

        :param position: position of the first one; None for a random one up to the known end.
        """
        known = self.ledger.results.get(job, {})
        if position is None:
            position = self.rng.randint(0, len(known))
        gateway = self.rng.choice(self.fleet)
        headers = [*self._headers(job), ("x-wait-ms", "500")]
        target = f"/api/lots/{job}?after_rev={position}"
        try:
            response = await http.send(
                gateway.callers, "GET", target, b"", headers, timeout_s=5.0, fresh=True
            )
            raw = await response.read()
        except (ConnectFailed, ResponseBroken):
            return None
        if response.status == 404:
            self.ledger.record_missing(job, "an accepted job is unknown")
        if response.status != 200:
            return None
        self.ledger.record_results(job, position, msgspec.json.decode(raw)["results"])
        if self.sizes is not None:
            self.ledger.violations += await self.sizes.find_wrong_bodies(
                http, gateway.callers, job, self._headers(job)
            )
        return len(self.ledger.results.get(job, {}))

    async def _poll_results(self, job: str) -> None:
        with closing(HttpClient()) as http:
            for _ in range(8):
                await asyncio.sleep(self.rng.uniform(0.2, 0.8))
                await self._read_results(http, job)

    async def _check_jobs(self) -> None:
        """Read the results of every accepted job until all its items are listed."""
        limit_s = RECOVERY_LIMIT_S
        if self.bursts is not None:
            limit_s = self.bursts.find_listing_limit_s(self.events)
        if self.power is not None:
            limit_s += self.power.hurry()
        until = asyncio.get_running_loop().time() + limit_s
        with closing(HttpClient()) as http:
            if self.sizes is not None:
                # One after another, the pages of many large results alone take longer than that.
                jobs = self.ledger.accepted.items()
                await asyncio.gather(*(self._check_job(http, *job, until) for job in jobs))
                return
            for job, items in self.ledger.accepted.items():
                await self._check_job(http, job, items, until)

    async def _check_job(self, http: HttpClient, job: str, items: int, until: float) -> None:
        while (await self._read_results(http, job, self._next_position(job)) or 0) < items:
            ended = not any(gateway.alive for gateway in self.fleet)
            if ended or asyncio.get_running_loop().time() > until:
                results = len(self.ledger.results.get(job, {}))
                self.ledger.record_missing(job, f"{items - results} of {items} items not listed")
                return
            await asyncio.sleep(0.05)

    def _next_position(self, job: str) -> int | None:
        """Return the position to read next; None for a random one.

        A page holds few large results: random positions would rarely show further ones.
        """
        is_paged = self.sizes is not None or self.power is not None
        return None if not is_paged else len(self.ledger.results.get(job, {}))

    def _draw_fault_kinds(self) -> list[str]:
        kinds = ["kill", "pause", "term", "hup", "store", "store-path", "target-path"]
        kinds += ["target-fault", "target-leaves", "configuration", "history", "clock"]
        kinds += ["data-host", "disk"]
        if self.with_versions:
            return ["release", *self.rng.sample(kinds, self.rng.randint(4, len(kinds)))]
        return self.rng.sample(kinds, self.rng.randint(4, len(kinds)))

    async def _inject_repeatedly(self, kind: str) -> None:
        """Inject one kind of fault repeatedly until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            self.injected_faults[kind] += 1
            await self._inject(kind)

    async def _inject(self, kind: str) -> None:
        gateway = self.rng.choice(self.fleet)
        duration_s = self.rng.uniform(0.2, 2.0)
        if kind == "kill":
            gateway.kill_and_wait()
            await asyncio.sleep(duration_s)
            await self._restart(gateway)
        elif kind == "term":
            gateway.send(signal.SIGTERM)
            await asyncio.sleep(duration_s + 3.0)
            gateway.kill_and_wait()
            await self._restart(gateway)
        elif kind == "pause":
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            gateway.send(signal.SIGCONT)
        elif kind == "data-host":
            data_host = self.rng.choice(self.data_hosts)
            data_host.kill_and_wait()
            await asyncio.sleep(duration_s)
            await self._restart(data_host)
        elif kind == "disk":
            # Always the same disk, so that only one is lost: its jobs survive on other data hosts.
            self.data_hosts[0].kill_and_wait()
            if self.power is not None:
                self.power.find_folder(self.data_hosts[0]).lose_disk()
            shutil.rmtree(self.data_hosts[0].disk, ignore_errors=True)
            await self._restart(self.data_hosts[0])
        elif kind == "hup":
            gateway.send(signal.SIGHUP)
        elif kind == "store":
            self.store.fault = self.rng.choice(list(StoreFault)[1:])
            self.store.only_transactions = self.rng.random() < 0.5
            await asyncio.sleep(duration_s)
            self.store.fault = StoreFault.NONE
        elif kind in ("store-path", "target-path"):
            count = self.target_count
            candidates = self.proxies[:count] if kind == "target-path" else self.proxies[count:]
            proxy = self.rng.choice(candidates)
            proxy.set_mode(self.rng.choice(list(ProxyMode)[1:]))
            await asyncio.sleep(duration_s)
            proxy.set_mode(ProxyMode.PASS)
        elif kind == "target-fault":
            target = self.rng.choice(self.targets)
            target.fault_rate = 0.5
            await asyncio.sleep(duration_s)
            target.fault_rate = 0.0
        elif kind == "target-leaves":
            number = self.rng.randrange(self.target_count)
            self._list_target(self.targets[number], self.proxies[number].port, "draining")
            await asyncio.sleep(duration_s)
            self._list_target(self.targets[number], self.proxies[number].port)
        elif kind == "release":
            number = self.rng.randrange(self.target_count)
            self._list_target(self.targets[number], self.proxies[number].port, "draining")
            await asyncio.sleep(duration_s / 4)
            self._replace_target(number)
        elif kind == "configuration":
            self.version += 1
            self._write_configuration()
        elif kind == "history":
            self.store.compact_history()
        elif kind == "clock":
            self.store.keys.expire()

    def _replace_target(self, number: int) -> None:
        """Replace a target by one of the other software version, at the same address.

        Streams that run there end as they began.
        """
        target = self.targets[number]
        self.store.delete(f"servers/{target.name}")
        self.replaced_targets += 1
        target.name = f"t{number}-{self.replaced_targets}"
        target.version = VERSIONS[1 - VERSIONS.index(target.version)]
        self._list_target(target, self.proxies[number].port)

    async def _restart(self, program: ProgramProcess) -> None:
        """Start a program again, in trouble if this run has troubles."""
        if self.starts is not None:
            await self.starts.start(program)
            return
        self._note_start(program)
        program.start()

    def _note_start(self, program: ProgramProcess) -> None:
        if isinstance(program, GatewayProcess):
            self.gateway_start_times.append(asyncio.get_running_loop().time())

    def _end_faults(self) -> None:
        self.store.fault = StoreFault.NONE
        if self.power is not None:
            self.power.end_troubles()
        for target in self.targets:
            target.fault_rate = 0.0
        for number, target in enumerate(self.targets):
            self._list_target(target, self.proxies[number].port)
        for proxy in self.proxies:
            proxy.set_mode(ProxyMode.PASS)
        for process in self.programs:
            process.send(signal.SIGCONT)
            if process.stopping or not process.alive:
                process.start()

    async def _stop(self) -> None:
        await self.tasks.stop()
        for process in self.programs:
            process.kill_and_wait()
        for proxy in self.proxies:
            await proxy.stop()
        for target in self.targets:
            target.server.abort()
        self.store.server.abort()
