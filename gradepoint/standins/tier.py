"""A complete local deployment: stand-ins and all programs of several hosts on one event loop."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ..batch.app import BatchApp
from ..config.document import (
    Adapter,
    Document,
    Model,
    ModelVersion,
    Operator,
    OperatorRole,
    Organisation,
    Service,
    Target,
)
from ..config.keys import hash_key
from ..config.resolve import models_to_load
from ..fleet.app import ControlApp
from ..online.entry import EntryApp
from ..settings import Settings
from ..store.app import StoreApp
from ..util import decoding
from ..wire.http_client import HttpClient
from .engine import EngineStandin
from .kv import KvStandin
from .ports import LOOPBACK, free_port
from .services import HostListStandin, ServiceStandin, WeightStoreStandin

if TYPE_CHECKING:
    from pathlib import Path

    from .engine_model import EngineParameters

LOCAL_CALLER_KEY = "gp.demo.local-caller-key-for-this-host-only"
LOCAL_OPERATOR_KEY = "gp.operator.local-operator-key-for-this-host-only"


@dataclass
class HostPrograms:
    """The programs of one host, as parts of this process."""

    settings: Settings
    control: ControlApp
    entry: EntryApp
    batch: BatchApp
    store: StoreApp | None

    async def start(self) -> None:
        """Start all programs, store and control first."""
        if self.store is not None:
            await self.store.start()
        await self.control.start()
        await self.entry.start()
        await self.batch.start()

    async def stop(self) -> None:
        """Stop all programs gracefully, the entry first."""
        await self.entry.stop()
        await self.batch.stop()
        await self.control.stop()
        if self.store is not None:
            await self.store.stop()

    async def abort(self) -> None:
        """Stop all programs without notice, as a crashed host does."""
        await self.entry.abort()
        await self.batch.abort()
        await self.control.abort()
        if self.store is not None:
            await self.store.abort()

    @property
    def entry_url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.settings.address}:{self.settings.entry_port}"

    @property
    def admin_url(self) -> str:
        """Base URL of the administration API."""
        return f"http://{self.settings.address}:{self.settings.control_port}"


@dataclass
class LocalTier:
    """Stand-ins and hosts on one event loop.

    :param domains: failure domain of each host.
    :param data_hosts: indexes of the hosts with a data folder; if empty, the first host of
        each of the first two domains.
    """

    folder: Path
    domains: list[str]
    engines: list[EngineStandin]
    data_hosts: set[int] = field(default_factory=set)
    settings_overrides: dict[str, Any] = field(default_factory=dict)
    kv: KvStandin = field(default_factory=KvStandin)
    host_list: HostListStandin = field(default_factory=HostListStandin)
    weights: WeightStoreStandin = field(default_factory=WeightStoreStandin)
    service: ServiceStandin = field(default_factory=ServiceStandin)
    hosts: list[HostPrograms] = field(default_factory=list)
    document: Document | None = None

    async def start(self) -> None:
        """Start stand-ins and hosts, and apply the first configuration."""
        await self.kv.start(LOOPBACK, 0)
        for standin in (self.host_list, self.weights, self.service):
            await standin.server.start(LOOPBACK, 0)
        for engine in self.engines:
            await engine.start(LOOPBACK, 0)
        for index in range(len(self.domains)):
            await self.start_host(index)
        if self.document is None:
            self.document = local_document(self)
        await self.apply(self.document)

    async def start_host(self, index: int) -> HostPrograms:
        """Start or restart the programs of one host."""
        settings = self._settings(index)
        store = StoreApp(settings) if settings.data_folder else None
        host = HostPrograms(
            settings, ControlApp(settings), EntryApp(settings), BatchApp(settings), store
        )
        await host.start()
        if index < len(self.hosts):
            self.hosts[index] = host
        else:
            self.hosts.append(host)
        return host

    def _settings(self, index: int) -> Settings:
        if index < len(self.hosts):
            return self.hosts[index].settings
        names = (
            "entry_port",
            "batch_port",
            "control_port",
            "gossip_port",
            "store_port",
            "store_http_port",
            "notice_port",
        )
        seeds = [f"{LOOPBACK}:{host.settings.gossip_port}" for host in self.hosts[:3]]
        has_data_folder = index in (self.data_hosts or _select_default_data_hosts(self.domains))
        values: dict[str, Any] = {
            "host": f"host-{index + 1}",
            "failure_domain": self.domains[index],
            "address": LOOPBACK,
            **{name: free_port() for name in names},
            "data_folder": str(self.folder / f"host-{index + 1}") if has_data_folder else "",
            "kv_url": self.kv_url,
            "host_list_url": url_of(self.host_list.server.port),
            "seeds": seeds,
            **self.settings_overrides,
        }
        return Settings(values)

    @property
    def kv_url(self) -> str:
        """Base URL of the key-value stand-in."""
        return url_of(self.kv.server.port)

    async def apply(self, document: Document) -> int:
        """Apply a configuration through the administration API; return its version."""
        http = HttpClient()
        answer = await http.request(
            "POST",
            f"{self.hosts[0].admin_url}/admin/config",
            msgspec.json.encode(document),
            {"authorization": f"Bearer {LOCAL_OPERATOR_KEY}"},
        )
        body = decoding.decode_json(await answer.read())
        http.close()
        if answer.status != 200:
            raise RuntimeError(f"apply failed: {body}")
        version: int = body["version"]
        return version

    async def stop(self) -> None:
        """Stop hosts and stand-ins."""
        for host in self.hosts:
            await host.stop()
        for engine in self.engines:
            await engine.stop()
        for standin in (self.kv, self.host_list, self.weights, self.service):
            standin.server.abort()


def url_of(port: int) -> str:
    """Return the base URL of a port on the loopback address."""
    return f"http://{LOOPBACK}:{port}"


def make_engines(
    count: int, models: list[str], parameters: EngineParameters | None = None
) -> list[EngineStandin]:
    """Return engine stand-ins that have *models* loaded."""
    return [
        EngineStandin(f"runner-{number + 1}", models, parameters=parameters)
        for number in range(count)
    ]


def local_document(tier: LocalTier) -> Document:
    """Return a configuration for the stand-ins, and load the models it needs on the engines."""
    model = Model(
        name="maker-lm",
        versions=[ModelVersion("v1", "maker-lm-v1"), ModelVersion("v2", "maker-lm-v2")],
        default_version="v1",
        adapters=[Adapter("title-tag", "maker-lm-title-tag")],
    )
    domains = sorted(set(tier.domains))
    targets = [
        Target(
            engine.name,
            url_of(engine.server.port),
            domains[number % len(domains)],
            ["maker-lm"],
            slots=engine.model.parameters.slots,
        )
        for number, engine in enumerate(tier.engines)
    ]
    document = Document(
        format=1,
        name="local",
        models=[model],
        targets=targets,
        organisations=[
            Organisation(
                "demo", [hash_key(LOCAL_CALLER_KEY)], requests_per_s=10000.0, in_flight=10000
            )
        ],
        operators=[Operator("operator", OperatorRole.APPLY, [hash_key(LOCAL_OPERATOR_KEY)])],
        services=[Service("cards", [url_of(tier.service.server.port)])],
    )
    for engine, target in zip(tier.engines, targets, strict=True):
        engine.models.update(models_to_load(document, target))
    return document


def _select_default_data_hosts(domains: list[str]) -> set[int]:
    first: dict[str, int] = {}
    for index, domain in enumerate(domains):
        first.setdefault(domain, index)
    return set(sorted(first.values())[:2])
