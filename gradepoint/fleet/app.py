"""The control program: control node, administration API, housekeeping and target control.

Every host runs one control program. Work that only one host may do at a time (housekeeping,
orders to the targets of a failure domain) is guarded by a lease in the key-value service.
"""

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
from .reconcile import CANDIDATE_COUNT, TargetReconciler

if TYPE_CHECKING:
    from ..settings import Settings

HOUSEKEEPING = "housekeeping"
"""Name of the housekeeping lease, and the key by which its candidate hosts are ranked."""

DOMAINS_PERIOD_S = 2.0
"""Seconds between checks of the configuration for new failure domains."""


class ControlApp:
    """The control program of one host: starts and stops its parts and connects them."""

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
        self.reconcilers: dict[str, TargetReconciler] = {}
        self.tasks = TaskGroup()

    async def start(self) -> None:
        """Join the fleet, open the administration API and start the background loops."""
        await self.node.start()
        await self.admin.start()
        self.tasks.start_loop("housekeeping", self.housekeeping.run)
        self.tasks.start_loop("housekeeper", self.housekeeper.run)
        self.tasks.start_loop("domains", self._domains_loop)

    async def stop(self) -> None:
        """Close the administration API, announce that this host leaves, and stop."""
        await self.admin.server.stop()
        await self.tasks.stop()
        await self.node.stop()
        self.store.close()

    async def abort(self) -> None:
        """Stop without notifying other hosts, as a killed process does."""
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
        return self.node.settings.host in rank(HOUSEKEEPING, live)[:CANDIDATE_COUNT]

    async def _domains_loop(self) -> None:
        """Create a reconciler for each failure domain that has targets.

        A reconciler sends nothing to the key-value service or to targets unless this host is
        one of the domain's :data:`~gradepoint.fleet.reconcile.CANDIDATE_COUNT`.
        """
        while True:
            if self.node.ready:
                document = self.node.config.document
                for domain in {target.failure_domain for target in document.targets}:
                    if domain not in self.reconcilers:
                        self._add_reconciler(domain)
            await asyncio.sleep(DOMAINS_PERIOD_S)

    def _add_reconciler(self, domain: str) -> None:
        node = self.node
        reconciler = TargetReconciler(
            node.kv,
            node.settings.host,
            domain,
            node.config,
            node.membership.live,
            node.fleet_status,
        )
        self.reconcilers[domain] = reconciler
        node.on_pause.append(reconciler.lease.drop)
        self.tasks.start(reconciler.run())
