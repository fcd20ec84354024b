"""A fleet of batch workers in virtual time, with fault injection.

The workers, the repository and the settlement are the real code. Their outer dependencies are
fakes: the key-value service, the object store, the targets and the view of live hosts.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import msgspec

from gradepoint.batch.items import parse_line
from gradepoint.batch.records import FileRecord, JobRecord, JobState, Segment, decode_bundle
from gradepoint.batch.repository import Repository
from gradepoint.batch.worker import BatchWorker
from gradepoint.config.document import Document, Model, ModelVersion, Organisation, Target
from gradepoint.config.versions import ConfigInForce, ConfigRecord
from gradepoint.errors import GradepointError, TargetFailure
from gradepoint.ids import ObjectHash
from gradepoint.settings import Settings
from gradepoint.standins.memory_kv import KvFault, MemoryKv, MemoryKvClient
from gradepoint.util.clock import wall_seconds
from gradepoint.util.hashing import sha256_hex
from gradepoint.wire.target_client import TargetAnswer, TargetStream

TOKENS = 4


@dataclass
class FakeTarget:
    """A target that answers in :data:`TOKENS` tokens or breaks its streams.

    :ivar ran: how often each prompt was started.
    :ivar completed: how often each prompt was answered to the end.
    :ivar generation: raised by each crash; streams of an older generation break.
    """

    name: str
    token_s: float = 0.05
    down: bool = False
    cut: bool = False
    crashing_text: str = ""
    """Part of the prompts that crash the target; empty if none does."""
    ran: Counter[str] = field(default_factory=Counter)
    completed: Counter[str] = field(default_factory=Counter)
    generation: int = 0

    def kill(self) -> None:
        """Break every running stream."""
        self.generation += 1


class FakeResponse:
    """Stands in for the HTTP response of a stream."""

    def close(self) -> None:
        """Nothing to close."""


class FakeStream(TargetStream):
    """A stream of a fake target."""

    def __init__(self, target: FakeTarget, prompt: str, skip: int, gate: Any) -> None:
        super().__init__("s", FakeResponse())  # type: ignore[arg-type]
        self.target = target
        self.prompt = prompt
        self.skip = skip
        self.gate = gate

    async def payloads(self) -> Any:
        """Yield the tokens until the target crashes or goes down."""
        generation = self.target.generation
        if self.target.crashing_text and self.target.crashing_text in self.prompt:
            await asyncio.sleep(self.target.token_s)
            self.target.kill()
        for number in range(self.skip, TOKENS):
            await asyncio.sleep(self.target.token_s)
            await self.gate().wait()
            if self.target.generation != generation or self.target.down:
                raise TargetFailure("target_lost", "target died", not_run=False)
            text = f"{self.prompt}-{number} "
            yield msgspec.json.encode({"choices": [{"text": text, "finish_reason": None}]})
        self.target.completed[self.prompt] += 1
        yield msgspec.json.encode({"choices": [{"text": "", "finish_reason": "stop"}]})


@dataclass
class FakeTargetClient:
    """The target client of one worker."""

    targets: dict[str, FakeTarget]
    gate: Any

    async def open_stream(
        self, url: str, body: bytes, headers: Any, timeout_s: float, *, fresh: bool = False
    ) -> TargetStream | TargetAnswer:
        """Start the stream of an item."""
        target = self.targets[url.split("//")[1].split("/")[0]]
        await asyncio.sleep(0.001)
        await self.gate().wait()
        if target.down:
            raise TargetFailure("target_unreachable", "down", not_run=True)
        sent = msgspec.json.decode(body)
        target.ran[sent["prompt"]] += 1
        skip = len(sent.get("continue_text", "").split())
        return FakeStream(target, sent["prompt"], skip, self.gate)

    async def call(self, method: str, url: str, *rest: Any, **options: Any) -> TargetAnswer:
        """Answer a load report."""
        target = self.targets[url.split("//")[1].split("/")[0]]
        await asyncio.sleep(0.001)
        if target.down:
            raise TargetFailure("target_unreachable", "down", not_run=True)
        return TargetAnswer(200, {}, b"{}")

    async def cancel_stream(self, base_url: str, stream_id: str) -> None:
        """Nothing to cancel."""


@dataclass
class FakeStore:
    """An object store whose objects outlive its hosts."""

    objects: dict[str, bytes] = field(default_factory=dict)
    fails: bool = False
    gate: Any = None

    async def put(self, data: bytes) -> ObjectHash:
        """Store an object and return its hash."""
        await asyncio.sleep(0.005)
        await self.gate().wait()
        if self.fails:
            raise GradepointError("storage_insufficient")
        name = ObjectHash(sha256_hex(data))
        self.objects[name] = data
        return name

    async def get(self, name: ObjectHash) -> bytes:
        """Return an object."""
        await asyncio.sleep(0.005)
        return self.objects[name]


class PauseGate:
    """Blocks a paused host at its next input or output."""

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.event.set()

    def __call__(self) -> asyncio.Event:
        return self.event


@dataclass
class Host:
    """One simulated host.

    :ivar gate: cleared while the host is paused.
    :ivar view: the configuration and the live hosts as the worker sees them.
    """

    name: str
    worker: BatchWorker
    repository: Repository
    kv: MemoryKvClient
    gate: PauseGate
    view: Any
    alive: bool = True


class Fleet:
    """Hosts, targets and the key-value service; a seed determines all faults.

    :ivar fault_rate: share of calls to the key-value service that fail.
    :ivar service_down: whether all calls to the key-value service fail.
    """

    def __init__(self, seed: int, hosts: int = 3, targets: int = 3, chunk_items: int = 8) -> None:
        self.chunk_items = chunk_items
        self.rng = random.Random(seed)
        self.store = MemoryKv()
        self.objects: dict[str, bytes] = {}
        self.targets = {f"t{n}": FakeTarget(f"t{n}") for n in range(targets)}
        self.fault_rate = 0.0
        self.service_down = False
        self.hosts: list[Host] = []
        self.incarnations = 0
        for number in range(hosts):
            self.hosts.append(self.make_host(f"h{number}"))

    def document(self) -> Document:
        """Return the configuration of the fleet."""
        targets = [Target(name, f"http://{name}", "d", ["m"], slots=4) for name in self.targets]
        model = Model("m", [ModelVersion("v1", "w")], "v1")
        return Document(1, "sim", [model], targets, [Organisation("org", [])])

    def make_host(self, name: str) -> Host:
        """Return a host with a fresh worker."""
        gate = PauseGate()
        kv = MemoryKvClient(self.store, self.fault, gate=gate)
        config = ConfigInForce()
        config.take(ConfigRecord(1, self.document(), "w", "op", 0))
        settings = Settings(
            {
                "host": name,
                "failure_domain": "d",
                "kv_url": "",
                "chunk_items": self.chunk_items,
                "bundle_items": 4,
                "bundle_age_s": 0.5,
                "batch_poll_s": 0.5,
            }
        )
        view = SimpleNamespace(config=config, ready=True, hosts=lambda: sorted(self.live(name)))
        store = FakeStore(self.objects, gate=gate)
        repository = Repository(kv)
        worker = BatchWorker(settings, view, repository, store)  # type: ignore[arg-type]
        worker.client = FakeTargetClient(self.targets, gate)  # type: ignore[assignment]
        return Host(name, worker, repository, kv, gate, view)

    def fault(self, kind: str) -> KvFault:
        """Choose the fault of a call to the key-value service."""
        if self.service_down:
            return KvFault.DOWN
        if self.rng.random() >= self.fault_rate:
            return KvFault.NONE
        if kind != "txn":
            return KvFault.LOST_BEFORE
        return self.rng.choice(
            [KvFault.LOST_BEFORE, KvFault.LOST_AFTER, KvFault.LATE, KvFault.DOWN]
        )

    def live(self, viewer: str) -> set[str]:
        """Return the hosts that *viewer* considers live; a paused host counts as lost."""
        seen = {host.name for host in self.hosts if host.alive and host.gate.event.is_set()}
        return seen | {viewer}

    async def start(self) -> None:
        """Start every worker."""
        for host in self.hosts:
            await host.worker.start()

    async def stop(self) -> None:
        """Stop every worker."""
        for host in self.hosts:
            host.gate.event.set()
            await host.worker.abort()

    async def accept_job(
        self,
        job_id: str,
        items: int,
        *,
        not_repeatable: frozenset[int] = frozenset(),
        crashing_item: int | None = None,
    ) -> JobRecord:
        """Create a job as the API does, with retries until it is stored."""
        rows = []
        for index in range(items):
            prompt = f"{job_id}/{index}" + ("/killer" if index == crashing_item else "")
            rows.append(
                msgspec.json.encode(
                    {
                        "custom_id": f"c{index}",
                        "method": "POST",
                        "url": "/v1/completions",
                        "repeatable": index not in not_repeatable,
                        "body": {"model": "m", "prompt": prompt},
                    }
                )
            )
            parse_line(rows[-1], index + 1)
        segments = []
        for start in range(0, items, self.chunk_items):
            data = b"\n".join(rows[start : start + self.chunk_items]) + b"\n"
            self.objects[sha256_hex(data)] = data
            segments.append(
                Segment(sha256_hex(data), len(data), len(rows[start : start + self.chunk_items]))
            )
        file = FileRecord(f"file-{job_id}", "org", "f", "batch", 0, items, 0, tuple(segments))
        job = JobRecord(
            job_id,
            "org",
            file.file_id,
            "/v1/completions",
            "24h",
            "digest",
            wall_seconds(),
            wall_seconds() + 86400,
            len(segments),
            items,
        )
        while True:
            repository = Repository(MemoryKvClient(self.store, self.fault))
            try:
                await repository.put_file(file)
                kept, _ = await repository.create_job(job)
                return kept
            except GradepointError:
                await asyncio.sleep(0.2)

    async def wait_finished(self, job_id: str, timeout_s: float) -> JobRecord:
        """Wait until a job has ended; call it when no fault is injected any more."""
        repository = Repository(MemoryKvClient(self.store))
        for _ in range(int(timeout_s / 0.5)):
            job, _ = await repository.job("org", job_id)
            if job is not None and job.state is not JobState.IN_PROGRESS:
                return job
            await asyncio.sleep(0.5)
        raise AssertionError(f"{job_id} did not end within {timeout_s} s")

    async def results(self, job_id: str) -> dict[int, Any]:
        """Return the result of each item; fail if an item has two."""
        repository = Repository(MemoryKvClient(self.store))
        found: dict[int, Any] = {}
        for number, state in (await repository.chunks(job_id)).items():
            for bundle in state.record.bundles:
                for result in decode_bundle(self.objects[bundle.hash]):
                    index = number * self.chunk_items + result.index
                    assert index not in found, f"item {index} has two results"
                    found[index] = msgspec.json.decode(result.line)
        return found

    def ran(self, prompt: str) -> int:
        """Return how often targets started a prompt."""
        return sum(target.ran[prompt] for target in self.targets.values())

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults for *seconds*, then end all of them."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        self.fault_rate = 0.15
        while loop.time() < end:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            action = self.rng.choice(
                ["kill", "pause", "resume", "resume", "target", "outage", "heal", "storage"]
            )
            await self.apply_fault(action)
        self.fault_rate = 0.0
        self.service_down = False
        for target in self.targets.values():
            target.down = False
        for host in self.hosts:
            host.gate.event.set()
            host.worker.store.fails = False  # type: ignore[attr-defined]

    async def apply_fault(self, action: str) -> None:
        """Inject one fault, or end faults."""
        number = self.rng.randrange(len(self.hosts))
        host = self.hosts[number]
        if action == "kill":
            host.alive = False
            host.gate.event.set()
            await host.worker.abort()
            self.hosts[number] = self.make_host(host.name)
            await self.hosts[number].worker.start()
        elif action == "pause":
            host.gate.event.clear()
        elif action == "resume":
            host.gate.event.set()
        elif action == "target":
            target = self.rng.choice(list(self.targets.values()))
            target.kill()
            target.down = self.rng.random() < 0.3
        elif action == "outage":
            self.service_down = self.rng.random() < 0.5
        elif action == "storage":
            host.worker.store.fails = self.rng.random() < 0.3  # type: ignore[attr-defined]
        else:
            self.service_down = False
            for target in self.targets.values():
                target.down = False
