"""Answers the operator's orders to empty data hosts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .. import events
from ..errors import KvError
from ..kv.service import ABSENT, Expect, Put, Transaction
from ..telemetry.logs import emit
from ..util.hashing import rank
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import HostName
    from ..kv.service import KeyValueService
    from ..peers.presence import HostTable
    from ..wire.http_client import HttpClient

RETRY_S = 0.5
"""Seconds that each further host waits before it answers an order, and between its tries."""
TIMEOUT_S = 1.0
"""Seconds that a data host has to answer an order to keep nothing more."""


@dataclass
class Retirement:
    """Has data hosts emptied, and tells the operator once they are.

    :param own: this host.
    :param hosts: the listed gateways, any of which may answer.
    :param status_key: returns the key under which the operator reads of a host.
    :param encode_emptied: returns what stands there for one that is empty.
    :ivar handled: revision of the last order that was taken up, by host.
    """

    kv: KeyValueService
    http: HttpClient
    own: HostName
    hosts: HostTable
    data_hosts: HostTable
    status_key: Callable[[HostName], str]
    encode_emptied: Callable[[], bytes]
    handled: dict[HostName, int] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def answer(self, host: HostName, revision: int) -> None:
        """Tell the operator that a data host is empty, as soon as it is; once for each order,
        however often it is read."""
        if self.handled.get(host) == revision:
            return
        self.handled[host] = revision
        self.tasks.keep("retirement", lambda: self._answer(host))

    async def _answer(self, host: HostName) -> None:
        ranking = rank(host, {*self.hosts.hosts, self.own})
        await asyncio.sleep(ranking.index(self.own) * RETRY_S)
        key = self.status_key(host)
        write = Transaction((Expect(key, ABSENT),), (Put(key, self.encode_emptied()),))
        while True:
            if not await self._is_empty(host):
                await asyncio.sleep(RETRY_S)
                continue
            try:
                result = await self.kv.transact(write)
            except KvError as error:
                emit(events.KV_FAILING, prefix=key, reason=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            if result.succeeded:
                emit(events.HOST_EMPTIED, retired=host)
            return

    async def _is_empty(self, host: HostName) -> bool:
        """Have a data host keep nothing more; return whether it holds nothing that must last.

        One that is not listed runs nothing of ours, or has been lost with what it held.
        """
        listed = self.data_hosts.hosts.get(host)
        if listed is None:
            return True
        address = split_address(listed.peer_address)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self.http.send(address, "POST", "/retire")
                await response.read()
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=host, reason=repr(error))
            return False
        return response.status == 200
