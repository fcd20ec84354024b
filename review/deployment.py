"""A small deployment: gateways, data hosts and runners as processes, on loopback addresses.

The programs are started with the commands of ``deploy/system.toml`` and with settings that have the
fields of its templates.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from .messages import Answer, call
from .store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("ulemiste", "kopli", "lasnamae")
HOST = "nony24.example"
SERVICE = "huvo11a"
BEAT_S = 1.2
START_LIMIT_S = 20.0
LONGEST_S = 112.0


def free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of *ip* that is free now."""
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


@dataclass
class Program:
    """One process that the test started."""

    name: str
    command: list[str]
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    fields: dict[str, object] = field(default_factory=dict)

    def start(self) -> None:
        """Start the process; its output goes to a file of its own."""
        deps = ROOT / "target" / "deps"
        path = os.pathsep.join([str(deps), str(ROOT)])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / f"{self.name}.out").open("ab") as out:
            self.process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": path},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, even a stopped one, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read(self) -> list[dict[str, object]]:
        """Return the lines of its output that are JSON objects."""
        rows = []
        file = self.folder / f"{self.name}.out"
        for line in file.read_text(errors="replace").splitlines() if file.exists() else ():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return [row for row in rows if isinstance(row, dict)]


class Deployment:
    """Store, runners, data hosts and gateways of one test."""

    def __init__(self, case: Path, *, gateways: int = 3, data_hosts: int = 3) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.gateways: list[Program] = []
        self.data_hosts: list[Program] = []
        self.runners: list[Program] = []
        self.counts = (gateways, data_hosts)
        self.begun = time.monotonic()
        self.lines: list[str] = []
        self.listed: set[str] = set()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write_record(self) -> None:
        """Write ``record.txt`` of the case, with what the runners ran."""
        rows = [row for runner in self.runners for row in runner.read()]
        rows.sort(key=lambda row: float(str(row["at"])))
        offset = time.time() - (time.monotonic() - self.begun)
        run = [
            f"{float(str(row['at'])) - offset:8.3f} {row['runner']} {row['what']} {row['id']} "
            + " ".join(f"{k}={v}" for k, v in row.items() if k in ("after", "event"))
            for row in rows
        ]
        text = "\n".join(["# what was sent and answered", *self.lines, "# what was run", *run])
        (self.case / "record.txt").write_text(text + "\n")

    async def start(self, routes: list[dict[str, object]], runners: list[list[str]]) -> None:
        """Start everything and wait until all gateways are ready.

        :param runners: further arguments of each runner.
        """
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        await self.store.start("127.0.9.1")
        self.write_configuration(routes)
        for number, arguments in enumerate(runners):
            self.add_runner(f"i-{number:08x}", arguments)
        for number in range(self.counts[1]):
            self.data_hosts.append(self._make_data_host(roles["data-host"]["run"], number))
        for number in range(self.counts[0]):
            self.gateways.append(self._make_gateway(roles["gateway"]["run"], number))
        for program in (*self.data_hosts, *self.gateways):
            program.start()
        until = time.monotonic() + START_LIMIT_S
        for gateway in self.gateways:
            address = str(gateway.fields["ready_address"])
            while (
                await call(address, "GET", "/api/ready", timeout_s=1.0) or Answer(0)
            ).status != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        self.note("all gateways are ready")

    def write_configuration(self, routes: list[dict[str, object]], version: int = 7) -> None:
        """Write the operator's configuration."""
        engine = {"slot_count": 8, "kv_capacity": 72000, "max_queued_tokens": 12}
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 290, "engine": engine}
        limits = {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        document = {"version": version, "routes": routes, "services": [service], "limits": limits}
        self.store.put("op/config", document)

    def _base(self, name: str, ip: str, number: int) -> dict[str, object]:
        first = free_port(ip)
        return {
            "host": name,
            "failure_domain": ZONES[number % len(ZONES)],
            "address": ip,
            "peer_ports": f"{first},{first + 15}",
            "store_address": self.store.address,
            "store_value_bytes": self.store.value_bytes,
            "store_history_s": self.store.history_s,
            "metrics_port": free_port(ip),
        }

    def _make(self, name: str, run: str, fields: dict[str, object]) -> Program:
        settings = self.folder / f"{name}.json"
        settings.write_text(json.dumps(fields))
        words = [sys.executable if word == "python3" else word for word in run.split()]
        words = [str(settings) if word.startswith("/etc/") else word for word in words]
        return Program(name, words, self.folder, fields=fields)

    def _make_gateway(self, run: str, number: int) -> Program:
        ip = f"127.0.1.{number + 1}"
        name = f"frontend-{ZONES[number % 3]}-{number // 3 + 1}"
        fields = self._base(name, ip, number)
        fields |= {
            "callers_address": f"{ip}:{free_port(ip)}",
            "ready_address": f"{ip}:{free_port(ip)}",
            "hosts_lost": 1,
            "domains_lost": 0,
            "regions_lost": 0,
            "quota_excess": 0.1,
            "link_mbps": 1000.0,
            "memory_mb": 300,
            "drain_ms": 2000,
            "grace_s": 8,
        }
        return self._make(name, run, fields)

    def _make_data_host(self, run: str, number: int) -> Program:
        ip = f"127.0.2.{number + 1}"
        name = f"storage-{ZONES[number % 3]}-{number // 3 + 1}"
        folder = self.folder / f"{name}-disk"
        folder.mkdir()
        fields = self._base(name, ip, number)
        fields |= {"data_folder": str(folder), "disk_mb": 500}
        return self._make(name, run, fields)

    def add_runner(self, name: str, arguments: list[str]) -> Program:
        """Start a runner, and keep its entry in the store."""
        ip = f"127.0.3.{len(self.runners) + 1}"
        listen = f"{ip}:{free_port(ip)}"
        command = [sys.executable, "-B", "-m", "review.runner", "--name", name]
        runner = Program(name, [*command, "--listen", listen, *arguments], self.folder)
        entry = {
            "service": SERVICE,
            "addr": listen,
            "zone": ZONES[len(self.runners) % 3],
            "version": "v1",
            "slot_count": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "call_seq": 0,
        }
        runner.fields = entry
        self.runners.append(runner)
        runner.start()
        self.listed.add(name)
        asyncio.ensure_future(self._beat(runner))
        return runner

    async def _beat(self, runner: Program) -> None:
        """Keep the entry of a runner while it runs; it goes after three beats of silence."""
        while runner.name in self.listed:
            if runner.process is None or runner.process.poll() is not None:
                await asyncio.sleep(3 * BEAT_S)
                self.delist(runner)
                return
            if not self.store.down:
                self.store.put(f"servers/{runner.name}", runner.fields)
            await asyncio.sleep(BEAT_S)

    def drain(self, runner: Program) -> None:
        """Write that a runner is draining; the store takes it at once."""
        runner.fields["state"] = "draining"
        self.store.put(f"servers/{runner.name}", runner.fields)

    def delist(self, runner: Program) -> None:
        """Remove the entry of a runner that has left."""
        self.listed.discard(runner.name)
        self.store.remove(f"servers/{runner.name}")

    def callers(self, number: int) -> str:
        """Return ``IP:PORT`` at which a gateway takes clients' calls."""
        return str(self.gateways[number].fields["callers_address"])

    async def submit(self, job: str, items: list[dict[str, object]], first: int = 0) -> int:
        """Hand a job in, at one gateway after another until one answers 202; return the status."""
        raw = json.dumps({"items": items}).encode()
        headers = {"Host": HOST, "X-Attempt-Id": job, "Content-Type": "application/json"}
        status = 0
        for attempt in range(4):
            number = (first + attempt) % len(self.gateways)
            target = f"/pule252/{job[:6]}"
            answer = await call(self.callers(number), "POST", target, headers, raw, 4.0)
            status = answer.status if answer is not None else 0
            self.note(f"job {job} ({len(items)} items) to gateway {number}: {status or 'nothing'}")
            if status in (202, 413, 400, 404):
                break
            await asyncio.sleep(0.3)
        return status

    async def read(self, job: str, position: int, gateway: int) -> tuple[int, dict[str, object]]:
        """Read results of a job; return the status and the page."""
        target = f"/api/lots/{job}?after_rev={position}"
        answer = await call(self.callers(gateway), "GET", target, {"Host": HOST}, b"", 4.0)
        if answer is None:
            return 0, {}
        return answer.status, json.loads(answer.body) if answer.status == 200 else {}

    async def read_all(self, job: str, gateway: int = 0) -> list[dict[str, str]] | None:
        """Read all results that are listed; None if the job can't be read."""
        found: list[dict[str, str]] = []
        while True:
            status, page = await self.read(job, len(found), gateway)
            if status != 200:
                return None
            results = page["results"]
            assert isinstance(results, list)
            if not results:
                return found
            found += results

    def count_finished(self, job_items: set[str]) -> int:
        """Return how many items of a job runners have sent to their end."""
        rows = (row for runner in self.runners for row in runner.read())
        return len({str(r["id"]) for r in rows if r["what"] == "finished"} & job_items)

    def close(self) -> None:
        """End all processes and write the record."""
        for program in (*self.gateways, *self.data_hosts, *self.runners):
            program.end()
        self.write_record()
        if os.environ.get("KEEP_FOLDER"):
            print("folder:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def batch_route(**changes: object) -> dict[str, object]:
    """Return the batch route, with the figures of the site kasitoo-serve."""
    route: dict[str, object] = {
        "name": "r-batch",
        "host": HOST,
        "path_prefix": "/pule252/",
        "kind": "batch",
        "timeout_ms": 15000,
        "goal_ms": 400,
        "due_ms": 18000,
        "retention_s": 60,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 3,
        "session_affinity": True,
        "resumable": True,
        "gap_goal_ms": 200,
        "max_queued_tokens": 1_400_000,
    }
    return {**route, **changes}


def make_items(
    job: str, count: int, tokens: tuple[int, int], body: int = 120
) -> list[dict[str, object]]:
    """Return the items of a job."""
    return [
        {
            "id": f"{job}{number:04x}",
            "path": f"/pule252/3/{number:04x}",
            "headers": {
                "X-Model": "m",
                "X-Token-Counts": f"{tokens[0]},{tokens[1]}",
                "X-Prompt-Prefix": f"9c2e41:100,{number + 4096:x}:{tokens[0] - 100}",
            },
            "body": base64.b64encode(os.urandom(body)).decode(),
            "tokens": sum(tokens),
        }
        for number in range(count)
    ]


def run_case(case: Path, play: Callable[[Deployment, bool], Awaitable[int]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        deployment = Deployment(case)
        playing = asyncio.current_task()
        assert playing is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            async with asyncio.timeout(LONGEST_S):
                return await play(deployment, trouble)
        except (Exception, asyncio.CancelledError) as error:
            deployment.note(f"could not run: {error!r}")
            return 2
        finally:
            deployment.close()

    sys.exit(asyncio.run(main()))
