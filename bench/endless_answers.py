"""Measures what answers without end cost a gateway: memory, and the time of its other calls.

``python -m bench.endless_answers [BODY ...]``

For each kind of body of :mod:`bench.platform.endless`, a gateway process has two targets of one
service, one of which answers without end in a process of its own, and a target of another service.
Calls, streams and batch items go to the first service, and calls to the second one. The same is
measured with two sound targets first.
"""

from __future__ import annotations

import asyncio
import base64
import subprocess
import sys
import tempfile
from collections import Counter
from contextlib import closing
from pathlib import Path

import msgspec

from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from .platform.endless import BODIES, EndlessTarget
from .platform.store import PlatformStoreStandin
from .platform.target import TargetStandin
from .processes import ROOT, reserve_subnet
from .soak.fleet import GatewayProcess
from .soak.proxy import Proxy

SECONDS = 8.0
CALL_INTERVAL_S = 0.05
WARM_UP_S = 2.0
HOST = "calls.example"
TOKENS = "10,20"
SOUND = "sound"


def make_route(name: str, kind: str, service: str = "model") -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 3,
        "resumable": kind == "streaming",
        "gap_goal_ms": 200,
        "due_ms": 18000,
        "retention_s": 60,
        "max_queued_tokens": 100_000,
    }


class Run:
    """One gateway with its targets and callers.

    :ivar outcomes: number of answers by route and outcome.
    :ivar other_times_s: durations of the calls to the other service.
    :ivar template: store entry of a target.
    :ivar targets: targets that run in this process.
    """

    def __init__(self, body: str, folder: Path) -> None:
        self.body = body
        self.folder = folder
        self.outcomes: Counter[str] = Counter()
        self.other_times_s: list[float] = []
        self.store = PlatformStoreStandin()
        self.template = b""
        self.targets: list[TargetStandin] = []

    async def measure(self) -> None:
        """Run the calls and print a row."""
        subnet, guard = reserve_subnet()
        store_ip, _, store_port = (await self.store.start()).rpartition(":")
        proxy = Proxy((store_ip, int(store_port)))
        gateway = GatewayProcess("host-0", f"{subnet}1", self.folder, proxy)
        await proxy.start(gateway.address)
        self._configure()
        sound = TargetStandin("t0", events=6)
        await self._add_target(sound)
        self.template = sound.entry()
        await self._add_target(TargetStandin("other", service="other", work_s=0.03))
        endless = await self._add_second(f"{subnet}2")
        gateway.start()
        try:
            with closing(HttpClient()) as http:
                await self._wait_ready(http, gateway)
                await self._send(http, gateway, WARM_UP_S)
                self.outcomes.clear()
                self.other_times_s.clear()
                before = read_memory_mb(gateway, "VmRSS")
                await self._send(http, gateway, SECONDS)
                self._print(read_memory_mb(gateway, "VmHWM") - before)
        finally:
            gateway.kill_and_wait()
            if endless is not None:
                endless.kill()
                endless.wait()
            for server in (self.store.server, *(target.server for target in self.targets)):
                server.abort()
            await proxy.stop()
            guard.close()

    def _print(self, grown_mb: float) -> None:
        times = sorted(self.other_times_s)
        served = {name: count for name, count in sorted(self.outcomes.items())}
        print(
            f"{self.body}: {grown_mb:.1f} MB more, calls to the other service "
            f"{1000 * times[len(times) // 2]:.1f} ms (median), "
            f"{1000 * times[int(len(times) * 0.99)]:.1f} ms (99th percentile), {served}",
            flush=True,
        )

    def _configure(self) -> None:
        routes = [
            make_route("plain", "safe"),
            make_route("resume", "streaming"),
            make_route("night", "batch"),
            make_route("other", "safe", "other"),
        ]
        limits = {
            "header_bytes": 8192,
            "body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        services = [{"name": name, "max_conns": 200} for name in ("model", "other")]
        document = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", msgspec.json.encode(document))

    async def _add_target(self, target: TargetStandin) -> None:
        await target.start()
        self.targets.append(target)
        self.store.put(f"servers/{target.name}", target.entry())

    async def _add_second(self, ip: str) -> subprocess.Popen[str] | None:
        if self.body == SOUND:
            await self._add_target(TargetStandin("t1", events=6))
            return None
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.endless_answers", "--serve", self.body, ip],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        address = process.stdout.readline().strip()
        entry = {**msgspec.json.decode(self.template), "addr": address}
        self.store.put("servers/endless", msgspec.json.encode(entry))
        return process

    async def _wait_ready(self, http: HttpClient, gateway: GatewayProcess) -> None:
        while True:
            try:
                response = await http.send((gateway.address, gateway.ports[1]), "GET", "/")
                await response.read()
                if response.status == 200:
                    return
            except (ConnectFailed, ResponseBroken):
                pass
            await asyncio.sleep(0.05)

    async def _send(self, http: HttpClient, gateway: GatewayProcess, seconds: float) -> None:
        tasks = []
        for number in range(int(seconds / CALL_INTERVAL_S)):
            for route in ("plain/plain", "resume", "other/plain"):
                tasks.append(asyncio.ensure_future(self._call(http, gateway, route, number)))
            if number % 20 == 0:
                tasks.append(asyncio.ensure_future(self._run_job(http, gateway, number, seconds)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _call(
        self, http: HttpClient, gateway: GatewayProcess, route: str, number: int
    ) -> None:
        fields = self._make_headers(f"{route}-{monotonic()}")
        started_at = monotonic()
        try:
            response = await http.send(
                gateway.callers, "POST", f"/{route}/{number}", b"prompt", fields, timeout_s=6.0
            )
            await response.read()
            outcome = str(response.status)
        except (ConnectFailed, ResponseBroken):
            outcome = "cut"
        if route.startswith("other"):
            self.other_times_s.append(monotonic() - started_at)
        self.outcomes[f"{route} {outcome}"] += 1

    async def _run_job(
        self, http: HttpClient, gateway: GatewayProcess, number: int, seconds: float
    ) -> None:
        job = f"job-{seconds}-{number}"
        item = {
            "path": f"/night/{number}",
            "headers": {"X-Token-Counts": TOKENS},
            "body": base64.b64encode(b"body").decode(),
            "tokens": 30,
        }
        items = [{"id": f"{job}-{index}", **item} for index in range(6)]
        body = msgspec.json.encode({"items": items})
        response = await http.send(
            gateway.callers, "POST", f"/night/{job}", body, self._make_headers(job), timeout_s=6.0
        )
        await response.read()
        listed = 0
        deadline = monotonic() + 10.0
        while listed < len(items) and monotonic() < deadline:
            response = await http.send(
                gateway.callers,
                "GET",
                f"/api/lots/{job}?after_rev={listed}",
                headers=[("host", HOST), ("x-wait-ms", "1000")],
                timeout_s=6.0,
            )
            page = await response.read()
            if response.status == 200:
                listed += len(msgspec.json.decode(page)["results"])
        self.outcomes["items listed"] += listed
        self.outcomes["items"] += len(items)

    def _make_headers(self, request_id: str) -> list[tuple[str, str]]:
        return [
            ("host", HOST),
            ("x-attempt-id", request_id),
            ("x-time-left-ms", "4000"),
            ("x-token-counts", TOKENS),
        ]


def read_memory_mb(gateway: GatewayProcess, field: str) -> float:
    """Return a memory figure of a gateway process in MB, from ``/proc/PID/status``."""
    assert gateway.process is not None
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(field))
    return int(line.split()[1]) / 1024


async def serve(body: str, ip: str) -> None:
    """Run a target that answers without end; print its address."""
    target = EndlessTarget("endless", body=BODIES[body])
    await target.start(ip)
    print(target.address(ip), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Measure the bodies named on the command line, or all."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--serve"]:
        asyncio.run(serve(*arguments[1:3]))
        return
    for body in [SOUND, *(arguments or BODIES)]:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(Run(body, Path(folder)).measure())


if __name__ == "__main__":
    main()
