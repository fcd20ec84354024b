"""Measures how calls are served while the fleet owes much batch work, and after all hosts restart.

``python -m bench.owed_work [--jobs N] [--kill] [--entry PREFIX KIND COUNT BYTES] ...``

Jobs are accepted while the store answers 503, and entered once it is back. Callers of another
route, whose targets are idle, send calls all the time. Each row is a second after the store's
return: calls sent and served, resets, the processor time of the busiest gateway as a share of a
core, and the jobs that the store has and those that are done.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import os
import random
import tempfile
from collections import Counter
from contextlib import closing
from pathlib import Path

import msgspec

from gradepoint.errors import KvUnreadable
from gradepoint.ids import Incarnation, ItemId
from gradepoint.jobs.records import JobState, Quota, decode_state, encode_state, quota_key
from gradepoint.util.clock import monotonic
from gradepoint.util.tasks import TaskGroup
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from .endless_answers import HOST, make_route
from .foreign_values import KINDS
from .platform.store import PlatformStoreStandin as StoreStandin
from .platform.store import RateLimit, StoreFault
from .platform.target import TargetStandin, plain_response
from .processes import reserve_subnet
from .soak.fleet import DataHostProcess, GatewayProcess, ProgramProcess
from .soak.proxy import Proxy

SETTLE_S = 2.0
"""Seconds after the last trouble from which calls have to be served as before."""
MIN_SERVED_SHARE = 0.9
CALL_TIMEOUT_S = 2.0
TARGETS = 4
ITEM_EVENTS = 24
ITEM_TOKENS = 1
ITEM_BODY = b"item"
JOB_PREFIX = "gp/job/"
OBSERVATION_INTERVAL_S = 0.1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Fleet:
    """Programs, stand-ins and callers of one run.

    :ivar sent: calls by second since :attr:`started_at`.
    :ivar served: those that were answered in full.
    :ivar outcomes: calls by second and outcome, except for those served.
    """

    def __init__(self, arguments: argparse.Namespace, folder: Path) -> None:
        self.arguments = arguments
        self.folder = folder
        self.store = StoreStandin()
        self.targets: list[TargetStandin] = []
        self.proxies: list[Proxy] = []
        self.gateways: list[GatewayProcess] = []
        self.data_hosts: list[DataHostProcess] = []
        self.tasks = TaskGroup()
        self.rng = random.Random(arguments.seed)
        self.sent: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.outcomes: Counter[tuple[int, str]] = Counter()
        self.busiest: dict[int, float] = {}
        self.entered: dict[int, int] = {}
        self.done: dict[int, int] = {}
        self.started_at = monotonic()

    @property
    def programs(self) -> list[ProgramProcess]:
        """All programs."""
        return [*self.gateways, *self.data_hosts]

    @property
    def second(self) -> int:
        """Number of whole seconds since the trouble ended; negative before."""
        return int((monotonic() - self.started_at) // 1)

    async def start(self) -> None:
        """Start stand-ins and programs, and wait until all gateways are ready."""
        self.subnet, self.guard = reserve_subnet()
        store_ip, _, store_port = (await self.store.start()).rpartition(":")
        self._configure()
        for number in range(TARGETS):
            await self._add_target(TargetStandin(f"calls-{number}", service="calls"))
            item_s = self.arguments.item_s
            items = TargetStandin(
                f"items-{number}",
                service="items",
                events=ITEM_EVENTS,
                event_interval_s=item_s / ITEM_EVENTS,
            )
            await self._add_target(items)
        idle = TargetStandin("idle", service="idle")
        await self._add_target(idle)
        for number in range(self.arguments.idle_targets):
            self.store.put(f"servers/idle-{number:04d}", idle.entry())
        for number in range(self.arguments.gateways + self.arguments.data_hosts):
            address = f"{self.subnet}{number + 1}"
            proxy = Proxy((store_ip, int(store_port)))
            await proxy.start(address)
            self.proxies.append(proxy)
            if number < self.arguments.data_hosts:
                name = f"data-{number}"
                self.data_hosts.append(DataHostProcess(name, address, self.folder, proxy))
            else:
                name = f"host-{number - self.arguments.data_hosts}"
                self.gateways.append(GatewayProcess(name, address, self.folder, proxy))
        for program in self.programs:
            self._start_program(program)
        while not all([await self._is_ready(gateway) for gateway in self.gateways]):
            await asyncio.sleep(0.1)
        # Calls on the new processes import and allocate what later ones use.
        await asyncio.sleep(2.0)

    def _start_program(self, program: ProgramProcess) -> None:
        program.start()
        if self.arguments.cores and program.process is not None:
            available = sorted(os.sched_getaffinity(0))
            os.sched_setaffinity(program.process.pid, available[-self.arguments.cores :])

    async def _add_target(self, target: TargetStandin) -> None:
        await target.start()
        self.targets.append(target)
        self.store.put(f"servers/{target.name}", target.entry())

    def _configure(self) -> None:
        routes = [make_route("calls", "safe", "calls"), make_route("night", "batch", "items")]
        for route in routes:
            route.update(max_queued_tokens=100_000_000, due_ms=600_000, retention_s=6000)
        limits = {
            "header_bytes": 8192,
            "body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        services = [{"name": name, "max_conns": 400} for name in ("calls", "items")]
        document = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", msgspec.json.encode(document))

    async def _is_ready(self, gateway: GatewayProcess) -> bool:
        with closing(HttpClient()) as http:
            try:
                address = gateway.address, gateway.ports[1]
                response = await http.send(address, "GET", "/api/ready", fresh=True, timeout_s=1.0)
                await response.read()
            except (ConnectFailed, ResponseBroken, TimeoutError):
                return False
        return response.status == 200

    async def submit_jobs(self) -> int:
        """Submit all jobs, one after another; return how many were accepted."""
        accepted = 0
        with closing(HttpClient()) as http:
            for number in range(self.arguments.jobs):
                job = f"job-{self.arguments.seed}-{number}"
                gateway = self.gateways[number % len(self.gateways)]
                rows = [
                    {
                        "id": f"{job}.{index}",
                        "path": f"/night/{index}",
                        "headers": {},
                        "body": base64.b64encode(ITEM_BODY).decode(),
                        "tokens": ITEM_TOKENS,
                    }
                    for index in range(self.arguments.items)
                ]
                headers = [("host", HOST), ("x-attempt-id", job), ("x-time-left-ms", "5000")]
                body = msgspec.json.encode({"items": rows})
                try:
                    response = await http.send(
                        gateway.callers, "POST", f"/night/{job}", body, headers, timeout_s=5.0
                    )
                    await response.read()
                    accepted += response.status == 202
                    self.outcomes[-1, f"submit {response.status}"] += 1
                except (ConnectFailed, ResponseBroken, TimeoutError) as error:
                    self.outcomes[-1, f"submit {type(error).__name__}"] += 1
        return accepted

    async def call_forever(self) -> None:
        """Send calls of the other route at a steady rate."""
        number = 0
        with closing(HttpClient()) as http:
            while True:
                number += 1
                self.tasks.start(self._call(http, f"call-{self.arguments.seed}-{number}"))
                await asyncio.sleep(1 / self.arguments.rate)

    async def _call(self, http: HttpClient, request_id: str) -> None:
        second = self.second
        self.sent[second] += 1
        gateway = self.rng.choice(self.gateways)
        headers = [("host", HOST), ("x-attempt-id", request_id), ("x-time-left-ms", "2000")]
        path = f"/calls/plain/{request_id}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await http.send(gateway.callers, "POST", path, b"prompt", headers)
                body = await response.read()
            outcome = str(response.status)
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            outcome, body = type(error).__name__, b""
        if outcome == "200" and body == plain_response(request_id):
            self.served[second] += 1
        else:
            self.outcomes[second, outcome] += 1

    async def observe_forever(self) -> None:
        """Note the processor time of the busiest gateway and the entered jobs each second."""
        used = {gateway.name: self._processor_s(gateway) for gateway in self.gateways}
        while True:
            await asyncio.sleep(OBSERVATION_INTERVAL_S)
            for program in self.programs:
                program.observe()
            if self.second - 1 in self.busiest:
                continue
            now = {gateway.name: self._processor_s(gateway) for gateway in self.gateways}
            self.busiest[self.second - 1] = max(now[name] - used[name] for name in now)
            used = now
            states = [self._read_state(key) for key in self.store.keys.keys]
            found = [state for state in states if state is not None]
            self.entered[self.second - 1] = len(found)
            self.done[self.second - 1] = sum(state.done for state in found)

    def _read_state(self, key: str) -> JobState | None:
        """Return the state of a job; None for other keys and for entries of another writer."""
        if not key.startswith(JOB_PREFIX):
            return None
        try:
            return decode_state(self.store.read(key) or b"")
        except (KvUnreadable, RecursionError):
            return None

    def _processor_s(self, gateway: GatewayProcess) -> float:
        try:
            text = Path(f"/proc/{gateway.process.pid}/stat").read_text()  # type: ignore[union-attr]
        except OSError:
            return 0.0
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS

    def _put_entries(self) -> None:
        """Write the entries of another writer that the command line asks for."""
        state = JobState("night", HOST, Incarnation("other:1"), 1, [ItemId("item")], [ITEM_TOKENS])
        sound_values = {
            "servers/": self.targets[0].entry(),
            JOB_PREFIX: encode_state(state),
            quota_key("night"): msgspec.msgpack.encode(Quota(0)),
        }
        for prefix, kind, count, size in self.arguments.entry:
            sound = sound_values.get(prefix, b"")
            for number in range(int(count)):
                value = KINDS[kind](sound, self.rng, int(size))
                self.store.put(f"{prefix}other-{number}" if prefix.endswith("/") else prefix, value)

    async def run(self) -> bool:
        """Run the trouble and the calls; return whether calls were served soon enough."""
        arguments = self.arguments
        await self.start()
        if arguments.jobs:
            self.store.fault = StoreFault.BUSY
            await asyncio.sleep(0.5)
            accepted = await self.submit_jobs()
            print(f"{accepted} of {arguments.jobs} jobs accepted", flush=True)
        self.started_at = monotonic() + 3600.0
        self.tasks.start(self.call_forever())
        self.tasks.start(self.observe_forever())
        await asyncio.sleep(arguments.before_s)
        if arguments.store_away:
            self.store.fault = StoreFault.BUSY
        self._put_entries()
        if arguments.kill:
            for program in self.programs:
                program.kill_and_wait()
            await asyncio.sleep(arguments.down_s)
            for program in self.programs:
                self._start_program(program)
        if arguments.store_rate:
            self.store.reads, self.store.writes = map(RateLimit, arguments.store_rate)
        if not arguments.store_away:
            self.store.fault = StoreFault.NONE
        calls_before = dict(self.store.calls)
        self.started_at = monotonic()
        await asyncio.sleep(arguments.watch_s)
        calls = {
            path: count - calls_before.get(path, 0) for path, count in self.store.calls.items()
        }
        return self._print(calls)

    def _print(self, calls: dict[str, int]) -> bool:
        late = []
        for second in range(self.arguments.watch_s - 2):
            sent, served = self.sent[second], self.served[second]
            other = {name: n for (at, name), n in sorted(self.outcomes.items()) if at == second}
            share = served / sent if sent else 0.0
            if second >= SETTLE_S and share < MIN_SERVED_SHARE:
                late.append(second)
            print(
                f"second {second}: {served} of {sent} served ({share:.2f}), {other}, busiest "
                f"{self.busiest.get(second, 0.0):.2f} of a core, {self.entered.get(second, 0)} "
                f"jobs, {self.done.get(second, 0)} done"
            )
        print("store calls:", dict(sorted(calls.items())))
        print("log events:", self._count_events())
        for program in self.programs:
            program.observe()
            print(f"{program.name}: at most {program.peak_memory_mb:.0f} MB")
            for row in program.violations:
                print("ended:", row)
        print(f"below {MIN_SERVED_SHARE} from second {SETTLE_S:.0f} on: {late or 'never'}")
        return not late

    def _count_events(self) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for program in self.programs:
            for line in program.log.read_bytes().splitlines():
                try:
                    counts[msgspec.json.decode(line)["event"]] += 1
                except (msgspec.DecodeError, KeyError, TypeError):
                    counts["(no event)"] += 1
        return dict(counts.most_common(24))

    async def stop(self) -> None:
        """End all programs and stand-ins."""
        await self.tasks.stop()
        for program in self.programs:
            program.kill_and_wait()
        for proxy in self.proxies:
            await proxy.stop()
        for server in (self.store.server, *(target.server for target in self.targets)):
            server.abort()
        self.guard.close()


async def measure(arguments: argparse.Namespace, folder: Path) -> bool:
    """Make one run; return whether calls were served soon enough."""
    fleet = Fleet(arguments, folder)
    try:
        return await fleet.run()
    finally:
        await fleet.stop()


def main() -> None:
    """Run the measurement that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=49)
    parser.add_argument("--items", type=int, default=200)
    parser.add_argument("--item-s", type=float, default=12.0, help="seconds that an item takes")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--data-hosts", type=int, default=3)
    parser.add_argument("--idle-targets", type=int, default=0, help="listed targets without calls")
    parser.add_argument("--rate", type=float, default=60.0, help="calls per second")
    parser.add_argument("--cores", type=int, default=0, help="cores that the programs share")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--before-s", type=float, default=2.0, help="seconds of calls before")
    parser.add_argument("--watch-s", type=int, default=20, help="seconds of calls afterwards")
    parser.add_argument("--kill", action="store_true", help="kill all programs at once")
    parser.add_argument("--down-s", type=float, default=0.0, help="seconds until they start again")
    parser.add_argument("--store-away", action="store_true", help="the store does not return")
    parser.add_argument("--store-rate", type=float, nargs=2, metavar=("READS", "WRITES"))
    parser.add_argument(
        "--entry",
        nargs=4,
        action="append",
        default=[],
        metavar=("PREFIX", "KIND", "COUNT", "BYTES"),
        help=f"entries of another writer before the kill; kinds: {', '.join(KINDS)}",
    )
    parser.add_argument("--folder", type=Path, help="folder of the logs; kept")
    arguments = parser.parse_args()
    if arguments.folder is not None:
        arguments.folder.mkdir(parents=True, exist_ok=True)
        served = asyncio.run(measure(arguments, arguments.folder))
    else:
        with tempfile.TemporaryDirectory() as folder:
            served = asyncio.run(measure(arguments, Path(folder)))
    raise SystemExit(0 if served else 1)


if __name__ == "__main__":
    main()
