"""Client by which a program follows the control program of its own host.

It polls for the configuration in force and the live hosts, and reports the program's state.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..config.versions import ConfigInForce
from ..store.replicas import DataHost
from ..util.tasks import TaskGroup
from ..wire.rpc import RpcClient, RpcError
from .messages import ControlReply, Member, Sync, SyncAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import Settings

SYNC_PERIOD_S = 0.2
"""Seconds between two :class:`Sync` requests."""


class FleetView:
    """The configuration in force and the live hosts, as last received from control.

    When the control program does not answer, the last received state stays in use.

    :param program: name of this program in its reports.
    :param in_flight: returns calls in progress at targets that take no new work, by target name.
    :ivar members_version: membership version of the control program that *members* belongs to.
    :ivar listeners: called after a new configuration version came into force.
    """

    def __init__(
        self, settings: Settings, program: str, in_flight: Callable[[], dict[str, int]] = dict
    ) -> None:
        self.settings = settings
        self.program = program
        self.in_flight = in_flight
        self.config = ConfigInForce()
        self.members: list[Member] = []
        self.members_version = -1
        self.tasks = TaskGroup()
        self.listeners: list[Callable[[], None]] = []
        self.client: RpcClient | None = None

    async def start(self) -> None:
        """Start polling the control program."""
        settings = self.settings
        self.client = RpcClient(settings.address, settings.gossip_port, ControlReply)
        self.tasks.start_loop("local", self._loop)

    async def stop(self) -> None:
        """Stop polling and close the connection."""
        await self.tasks.stop()
        if self.client is not None:
            self.client.close()

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force in this program."""
        return self.config.record is not None

    def hosts(self) -> list[str]:
        """Return the names of the live hosts, this one included."""
        names = {member.host for member in self.members}
        return sorted(names | {self.settings.host})

    def data_hosts(self) -> list[DataHost]:
        """Return the live hosts that have a data folder."""
        return [
            DataHost(member.host, member.failure_domain, member.address, member.store_port)
            for member in self.members
            if member.store_port
        ]

    async def _loop(self) -> None:
        while True:
            try:
                await self._sync()
            except RpcError:
                pass
            await asyncio.sleep(SYNC_PERIOD_S)

    async def _sync(self) -> None:
        assert self.client is not None
        message = Sync(self.program, self.config.version, self.members_version, self.in_flight())
        reply, _ = await self.client.call(message, timeout_s=1.0)
        if not isinstance(reply, SyncAnswer):
            return
        if reply.members is not None:
            self.members = reply.members
            self.members_version = reply.members_version
        if reply.record is not None and self.config.take(reply.record):
            for listener in self.listeners:
                listener()
