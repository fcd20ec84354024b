"""Retirement of data hosts: carries out the operator's orders to empty them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import quote

from .. import events
from ..errors import KvError
from ..kv.service import ABSENT, Delete, Expect, Put, Transaction
from ..peers.presence import KNOWN_DATA_HOST_PREFIX
from ..telemetry.logs import emit
from ..util.hashing import rank
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..ids import HostName
    from ..kv.service import KeyValueService
    from ..peers.presence import HostTable
    from ..wire.http_client import HttpClient

RETRY_S = 0.5
"""Seconds between retries. Gateways also start on an order one after another, this far apart."""
TIMEOUT_S = 1.0
"""Seconds that a data host has to answer the request to retire."""


class Retirement(Struct):
    """Has data hosts emptied, and reports to the operator once they are empty.

    :param own: this host.
    :param hosts: the listed gateways, any of which may carry out an order.
    :param data_hosts: the listed data hosts.
    :param status_key: returns the key under which the operator reads a host's status.
    :param encode_drained_status: returns the value of that key for an empty host.
    :param wait_for_hosts: returns once this host has read the lists of hosts.
    :ivar handled: revision of the last order that was taken up, by host.
    """

    kv: KeyValueService
    http: HttpClient
    own: HostName
    hosts: HostTable
    data_hosts: HostTable
    status_key: Callable[[HostName], str]
    encode_drained_status: Callable[[], bytes]
    wait_for_hosts: Callable[[], Awaitable[object]]
    handled: dict[HostName, int] = field(default_factory=dict)
    tasks: TaskGroup = field(default_factory=TaskGroup)

    def answer(self, host: HostName, revision: int) -> None:
        """Start to carry out an order, once for each revision however often it is read.

        Reports to the operator as soon as the data host is empty.
        """
        if self.handled.get(host) == revision:
            return
        self.handled[host] = revision
        self.tasks.start_loop(f"retirement of {host}", lambda: self._answer(host))

    async def _answer(self, host: HostName) -> None:
        await self.wait_for_hosts()
        ranking = rank(host, {*self.hosts.hosts, self.own})
        await asyncio.sleep(ranking.index(self.own) * RETRY_S)
        key = self.status_key(host)
        put = Put(key, self.encode_drained_status())
        while True:
            if not await self._is_empty(host):
                await asyncio.sleep(RETRY_S)
                continue
            known = host in self.data_hosts.known
            forget = (Delete(KNOWN_DATA_HOST_PREFIX + host),) if known else ()
            try:
                result = await self.kv.transact(Transaction((Expect(key, ABSENT),), (put,), forget))
                if forget and not result.succeeded:
                    # A gateway of a former version answered the order, or the data host has
                    # started anew since.
                    await self.kv.transact(Transaction((), (), forget))
            except KvError as error:
                emit(events.KV_FAILING, prefix=key, reason=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            if result.succeeded:
                emit(events.HOST_EMPTIED, retired=host)
            return

    async def _is_empty(self, host: HostName) -> bool:
        """Tell a data host to store no new jobs; return whether it holds no data to be preserved.

        A data host that isn't listed and doesn't answer counts as empty: it runs no data-host
        process, or is lost with its data.
        """
        is_listed = host in self.data_hosts.hosts
        missing = {row.host: row for row in self.data_hosts.find_missing()}
        row = self.data_hosts.hosts.get(host) or missing.get(host)
        in_use = {listed.peer_address for listed in self.data_hosts.hosts.values()}
        if row is None or (not is_listed and row.peer_address in in_use):
            # Another data host has the address of one that is gone.
            return True
        address = split_address(row.peer_address)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self.http.send(address, "POST", f"/retire?host={quote(host)}")
                await response.read()
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=host, reason=repr(error))
            return not is_listed
        # 404: a data host of another name has the address.
        return response.status in (200, 404)
