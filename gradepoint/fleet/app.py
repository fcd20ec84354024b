"""The control program: the control node, its leases and the administration API."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..admin.api import AdminApi
from ..batch.housekeeping import Housekeeper
from ..store.replicas import DataHost, ReplicatedStore
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from .control import ControlNode
from .leases import LeaseKeeper
from .reconcile import CANDIDATES, OrderGiver

if TYPE_CHECKING:
    from ..settings import Settings

HOUSEKEEPING = "housekeeping"
DOMAINS_PERIOD_S = 2.0


class ControlApp:
    """State and edges of the control program."""

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self.node = ControlNode(settings, seed)
        self.admin = AdminApi(self.node)
        self.store = ReplicatedStore(self._data_hosts)
        self.housekeeping = LeaseKeeper(
            self.node.kv, HOUSEKEEPING, settings.host, self._is_housekeeper
        )
        self.housekeeper = Housekeeper(
            self.node.kv,
            self.store,
            self.node.config,
            lambda: self.housekeeping.current() is not None,
        )
        self.node.on_pause.append(self.housekeeping.drop)
        self.order_givers: dict[str, OrderGiver] = {}
        self.tasks = TaskGroup()

    async def start(self) -> None:
        """Join the fleet and listen for operators."""
        await self.node.start()
        await self.admin.start()
        self.tasks.keep("housekeeping", self.housekeeping.run)
        self.tasks.keep("housekeeper", self.housekeeper.run)
        self.tasks.keep("domains", self._domains_loop)

    async def stop(self) -> None:
        """Leave the fleet."""
        await self.admin.server.stop()
        await self.tasks.stop()
        await self.node.stop()
        self.store.close()

    async def abort(self) -> None:
        """Stop at once, as a killed process would."""
        self.admin.server.abort()
        await self.tasks.stop()
        await self.node.abort()
        self.store.close()

    def _data_hosts(self) -> list[DataHost]:
        return [
            DataHost(member.host, member.failure_domain, member.address, member.store_port)
            for member in self.node.membership.live()
            if member.store_port
        ]

    def _is_housekeeper(self) -> bool:
        live = [member.host for member in self.node.membership.live()]
        return self.node.settings.host in rank(HOUSEKEEPING, live)[:CANDIDATES]

    async def _domains_loop(self) -> None:
        """Have an order-giver for each failure domain that has targets.

        It costs nothing unless this host is one of the domain's few candidates.
        """
        while True:
            if self.node.ready:
                document = self.node.config.document
                for domain in {target.failure_domain for target in document.targets}:
                    if domain not in self.order_givers:
                        self._add_order_giver(domain)
            await asyncio.sleep(DOMAINS_PERIOD_S)

    def _add_order_giver(self, domain: str) -> None:
        node = self.node
        giver = OrderGiver(
            node.kv,
            node.settings.host,
            domain,
            node.config,
            node.membership.live,
            node.fleet_status,
        )
        self.order_givers[domain] = giver
        node.on_pause.append(giver.lease.drop)
        self.tasks.start(giver.run())
