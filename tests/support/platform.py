"""A small deployment on loopback: stand-ins of store and targets, and real gateways."""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest

from bench.platform.store import PlatformStoreStandin
from bench.platform.target import EVENT_DATA_BYTES, FIRST_VERSION, TargetStandin, event_data
from gradepoint.cmd.gateway_program import PLATFORM
from gradepoint.gateway.app import Gateway
from gradepoint.gateway.row_limits import make_row_limits
from gradepoint.gateway.settings import GatewaySettings, check_gateway_settings
from gradepoint.kv.limits import KvLimits
from gradepoint.peers.presence import make_presence_limits
from gradepoint.platform.store import PlatformStore
from gradepoint.spool.app import DataHost
from gradepoint.spool.settings import DataHostSettings, check_data_host_settings
from gradepoint.standins.ports import LOOPBACK
from gradepoint.util import hashing
from gradepoint.wire.http_client import HttpClient, ResponseBroken

from .virtual_network import SeededTokens, run_on_network, take_port

HOST = "calls.example"
ITEM_TOKENS = 100
"""Tokens that each item of a submitted job declares."""
REPORTS_S = 0.5
"""Seconds in which all hosts have sent several reports."""
WAIT_S = 20.0
"""Seconds after which waiting for a condition fails."""


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it.

    :param fields: fields to set beside the defaults, or in place of them.
    """
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 400,
        "priority": 0,
        "service": "model",
        "max_attempts": 2,
        "resumable": False,
        "gap_goal_ms": 200,
    }
    return {**row, **fields}


ROUTES = [
    route("single", "unsafe", max_attempts=1),
    route("plain", "safe", max_attempts=3),
    route("stream", "streaming", max_attempts=1),
    route("resume", "streaming", max_attempts=3, resumable=True),
    route(
        "night",
        "batch",
        due_ms=18000,
        retention_s=60,
        max_queued_tokens=5000,
        max_attempts=2,
    ),
]


def organisation(name: str, *keys: str, rate: float = 0.0, burst: float = 0.0) -> dict[str, Any]:
    """Return an organisation as the operator writes it; a rate of 0 sets no quota."""
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "rate_per_s": rate,
        "burst_size": burst,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]] | None = None,
    organisations: list[Any] | None = None,
) -> bytes:
    """Return a configuration as the operator writes it.

    :param organisations: None leaves the table out, as in deployments without organisations.
    """
    optional = {} if organisations is None else {"tenants": organisations}
    return msgspec.json.encode(
        {
            **optional,
            "version": version,
            "routes": ROUTES if routes is None else routes,
            "services": [{"name": "model", "health_path": "/health", "max_conns": 100}],
            "limits": {
                "header_bytes": 4096,
                "body_bytes": 100_000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
    )


def connect_store(address: str, settings: GatewaySettings | DataHostSettings) -> PlatformStore:
    """Return the client of the store that a program with these settings uses."""
    limits = KvLimits(settings.store_value_bytes)
    is_gateway = isinstance(settings, GatewaySettings)
    return PlatformStore(
        address,
        settings.store_timeout_s,
        settings.store_history_s,
        limits,
        row_limits=make_row_limits(PLATFORM) if is_gateway else make_presence_limits(),
    )


def make_settings(host: str, store_address: str, **settings: Any) -> GatewaySettings:
    """Return the settings of a gateway on loopback."""
    values = {
        **settings,
        "host": host,
        "failure_domain": "zone-a",
        "address": LOOPBACK,
        "callers_address": f"{LOOPBACK}:{take_port()}",
        "ready_address": f"{LOOPBACK}:{take_port()}",
        "peer_ports": str(take_port()),
        "metrics_port": take_port(),
        "store_address": store_address,
    }
    return check_gateway_settings(values).unwrap()


def make_data_settings(
    host: str, store_address: str, folder: Path, **settings: Any
) -> DataHostSettings:
    """Return the settings of a data host on loopback."""
    values = {
        **settings,
        "host": host,
        "failure_domain": "zone-a",
        "address": LOOPBACK,
        "peer_ports": str(take_port()),
        "metrics_port": take_port(),
        "store_address": store_address,
        "store_timeout_s": 0.5,
        "data_folder": str(folder),
        "disk_mb": 64,
    }
    return check_data_host_settings(values).unwrap()


@dataclass
class Deployment:
    """The stand-ins, gateways and data hosts of one test.

    :ivar gateway_settings: settings of gateways that are made from now on, beside the defaults.
    :ivar data_host_settings: the same for data hosts.
    :ivar ids: numbers of request ids of calls that name none.
    """

    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    targets: list[TargetStandin] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    data_hosts: list[DataHost] = field(default_factory=list)
    gateway_settings: dict[str, Any] = field(default_factory=dict)
    data_host_settings: dict[str, Any] = field(default_factory=dict)
    http: HttpClient = field(default_factory=HttpClient)
    ids: Any = field(default_factory=lambda: itertools.count(1))

    async def start(self, gateways: int = 1, targets: int = 2, **target: Any) -> None:
        """Start everything and wait until the gateways are ready.

        :param target: options of each target stand-in.
        """
        self.store_address = await self.store.start()
        self.store.put("op/config", configuration(1))
        for number in range(targets):
            await self.add_target(TargetStandin(f"t{number}", **target))
        for number in range(gateways):
            await self.add_gateway(f"host-{number}")

    async def add_target(self, target: TargetStandin) -> None:
        """Start a target and write its store entry."""
        await target.start()
        self.targets.append(target)
        self.store.put(f"servers/{target.name}", target.entry())

    def make_gateway(self, host: str) -> Gateway:
        """Return a gateway that is not started yet."""
        settings = make_settings(host, self.store_address, **self.gateway_settings)
        kv = connect_store(self.store_address, settings)
        return Gateway(settings, kv, PLATFORM)

    async def add_gateway(self, host: str) -> Gateway:
        """Start a gateway and wait until it is ready."""
        gateway = self.make_gateway(host)
        await gateway.start()
        self.gateways.append(gateway)
        await until(lambda: gateway.ready and gateway.presence.holds_lease)
        await until(lambda: len(gateway.hosts.hosts) >= len(self.gateways))
        # The first sweep for orphaned jobs could hide faults of later sweeps, so let it finish.
        await until(
            lambda: gateway.adoption.sweeps > 0 and not gateway.adoption.sweep_requested.is_set()
        )
        return gateway

    async def wait_until_all_heard(self) -> None:
        """Wait until each gateway hears all others and has what they report."""
        others = len(self.gateways) - 1
        for gateway in self.gateways:
            await until(lambda gateway=gateway: len(gateway.heartbeats.heard) >= others)  # type: ignore[misc]
            await until(gateway.knows_occupancy)
        await asyncio.sleep(REPORTS_S)

    async def add_data_host(self, host: str, folder: Path) -> DataHost:
        """Start a data host and wait until all gateways know its incarnation."""
        values = self.data_host_settings
        settings = make_data_settings(host, self.store_address, folder, **values)
        kv = connect_store(self.store_address, settings)
        data_host = DataHost(settings, kv)
        await data_host.start()
        self.data_hosts.append(data_host)
        incarnation = data_host.presence.own.incarnation
        for gateway in self.gateways:
            await until(lambda gateway=gateway: incarnation in gateway.data_hosts.incarnations)  # type: ignore[misc]
        return data_host

    async def kill_data_host(self, data_host: DataHost) -> None:
        """Stop a data host abruptly, as SIGKILL does."""
        self.data_hosts.remove(data_host)
        await data_host.tasks.stop()
        data_host.abort()

    async def kill(self, gateway: Gateway) -> None:
        """Stop a gateway abruptly, as SIGKILL does: no hand-over, and every socket closes."""
        self.gateways.remove(gateway)
        await gateway.tasks.stop()
        await gateway.watchers.stop()
        await gateway.intake.tasks.stop()
        await gateway.retirement.tasks.stop()
        await gateway.stall_detector.tasks.stop()
        await gateway.crash_detector.tasks.stop()
        await gateway.held.tasks.stop()
        await gateway.version_history.tasks.stop()
        gateway.abort()
        for job_id in list(gateway.worker.jobs):
            gateway.worker.drop(job_id, "killed")
        gateway.forwarder.http.close()
        gateway.kv.direct.http.close()  # type: ignore[attr-defined]

    async def stop(self) -> None:
        """Stop everything abruptly."""
        for gateway in list(self.gateways):
            await self.kill(gateway)
        for data_host in list(self.data_hosts):
            await self.kill_data_host(data_host)
        for target in self.targets:
            target.server.abort()
        self.store.server.abort()
        self.http.close()

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"prompt",
        request_id: str = "",
        gateway: int = 0,
        **headers: str,
    ) -> CallAnswer:
        """Send one request to a gateway and read its answer, complete or truncated."""
        request_id = request_id or f"id-{next(self.ids)}"
        fields = [("host", HOST), ("x-attempt-id", request_id), ("x-time-left-ms", "4000")]
        fields += [(name.replace("_", "-"), value) for name, value in headers.items()]
        ip, _, port = self.gateways[gateway].settings.callers_address.rpartition(":")
        response = await self.http.send((ip, int(port)), method, path, body, fields, fresh=True)
        pieces: list[bytes] = []
        broken = False
        try:
            async for piece in response.stream():
                pieces.append(piece)
        except ResponseBroken:
            broken = True
        return CallAnswer(request_id, response.status, response.headers, b"".join(pieces), broken)

    async def submit(
        self, job_id: str, items: int, *, gateway: int = 0, **headers: str
    ) -> CallAnswer:
        """Submit a batch job of *items* items."""
        body = msgspec.json.encode({"items": [job_item(job_id, index) for index in range(items)]})
        return await self.call(
            f"/night/{job_id}", body=body, request_id=job_id, gateway=gateway, **headers
        )

    async def configure(
        self,
        version: int,
        organisations: list[Any] | None,
        routes: list[dict[str, Any]] | None = None,
    ) -> None:
        """Store a configuration and wait until every gateway uses it."""
        self.store.put("op/config", configuration(version, routes, organisations))
        for gateway in self.gateways:
            view = gateway.configuration
            await until(
                lambda view=view: view.current and view.current.version == version  # type: ignore[misc]
            )

    async def read_results(
        self, job_id: str, position: int = 0, *, gateway: int = 0, **headers: str
    ) -> dict[str, Any]:
        """Read one page of the results of a job, from a position on."""
        answer = await self.call(
            f"/api/lots/{job_id}?after_rev={position}",
            method="GET",
            body=b"",
            gateway=gateway,
            x_wait_ms="1000",
            **headers,
        )
        assert answer.status == 200, answer
        page: dict[str, Any] = msgspec.json.decode(answer.body)
        return page

    async def read_all_results(
        self, job_id: str, *, gateway: int = 0, **headers: str
    ) -> list[dict[str, Any]]:
        """Read pages until the results of all items are there."""
        rows: list[dict[str, Any]] = []
        async with asyncio.timeout(WAIT_S):
            while True:
                page = await self.read_results(job_id, len(rows), gateway=gateway, **headers)
                rows += page["results"]
                if len(rows) == page["total_count"]:
                    return rows


@dataclass(frozen=True)
class CallAnswer:
    """The answer that a caller received.

    :ivar broken: whether the connection broke before the end of the body.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool


def job_item(job_id: str, index: int) -> dict[str, Any]:
    """Return one item of a job as a client writes it."""
    return {
        "id": f"{job_id}-{index}",
        "path": f"/night/{index}",
        "headers": {"X-Model": "m"},
        "body": base64.b64encode(f"body {index}".encode()).decode(),
        "tokens": ITEM_TOKENS,
    }


def item_text(
    item_id: str, events: int, version: str = FIRST_VERSION, size: int = EVENT_DATA_BYTES
) -> str:
    """Return the complete answer text of an item, which has *events* events of *size* bytes."""
    return "\n".join(event_data(item_id, number, version, size) for number in range(events))


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after :data:`WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not holds():
            await asyncio.sleep(0.005)


async def _run_and_stop(work: Callable[[Deployment], Awaitable[None]]) -> None:
    deployment = Deployment()
    try:
        await work(deployment)
    finally:
        await deployment.stop()


def run_deployment(work: Callable[[Deployment], Awaitable[None]]) -> None:
    """Run *work* with a deployment on loopback in real time, and stop the deployment."""
    asyncio.run(_run_and_stop(work))


def run_in_virtual_time(work: Callable[[Deployment], Awaitable[None]], seed: int = 1) -> None:
    """Run *work* with a deployment on an in-memory network, in virtual time.

    :param seed: seed of all random choices and names, which makes runs reproducible.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(hashing, "secrets", SeededTokens(seed))
        run_on_network(_run_and_stop(work), seed)
