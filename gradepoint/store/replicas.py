"""Bulk objects kept as copies on data hosts of at least two failure domains.

Copies are immutable and named by their hash, so there is nothing to agree: which
objects count is said by the records in the key-value service alone.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..ids import ObjectHash
from ..telemetry.logs import emit
from ..util.hashing import rank, sha256_hex
from ..wire.rpc import RpcClient, RpcError, RpcPool
from .messages import (
    DeleteObject,
    Done,
    GetObject,
    HaveObjects,
    ListObjects,
    Names,
    PutObject,
    StoreReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

COPIES = 2
TIMEOUT_S = 5.0


@dataclass(frozen=True)
class DataHost:
    """A host with a data folder."""

    name: str
    failure_domain: str
    address: str
    port: int


def place(name: str, hosts: Sequence[DataHost]) -> list[DataHost]:
    """Return *hosts* in order of preference for object *name*.

    Rendezvous order, but the best host of each failure domain comes before the second
    best of any, so that the first :data:`COPIES` stand in different domains.
    """
    by_name = {host.name: host for host in hosts}
    ordered = [by_name[host] for host in rank(name, by_name)]
    first: list[DataHost] = []
    rest: list[DataHost] = []
    seen: set[str] = set()
    for host in ordered:
        if host.failure_domain in seen:
            rest.append(host)
        else:
            seen.add(host.failure_domain)
            first.append(host)
    return first + rest


class ReplicatedStore:
    """Writes and reads objects on the data hosts.

    :param data_hosts: returns the data hosts that are live now.
    """

    def __init__(self, data_hosts: Callable[[], Sequence[DataHost]]) -> None:
        self.data_hosts = data_hosts
        self.pool = RpcPool(StoreReply)

    async def put(self, data: bytes) -> ObjectHash:
        """Write an object in two failure domains; return its name.

        :raises GradepointError: ``storage_insufficient``.
        """
        name = ObjectHash(sha256_hex(data))
        remaining = place(name, self.data_hosts())
        stored: set[str] = set()
        while remaining and len(stored) < COPIES:
            batch = _next_batch(remaining, stored)
            if not batch:
                break
            for host in batch:
                remaining.remove(host)
            done = await asyncio.gather(*(self._put_at(host, name, data) for host in batch))
            stored.update(
                host.failure_domain for host, good in zip(batch, done, strict=True) if good
            )
        if len(stored) < COPIES:
            raise GradepointError(
                "storage_insufficient", f"Only {len(stored)} failure domains took a copy."
            )
        return name

    async def get(self, name: ObjectHash) -> bytes:
        """Return an object from the first host that has a good copy.

        :raises GradepointError: ``storage_read``.
        """
        for host in place(name, self.data_hosts()):
            try:
                reply, data = await self._client(host).call(GetObject(name), timeout_s=TIMEOUT_S)
            except RpcError:
                continue
            if not isinstance(reply, Done) or not reply.found:
                continue
            if sha256_hex(data) == name:
                return data
            emit(events.OBJECT_CORRUPT, object=name, data_host=host.name)
        raise GradepointError("storage_read", f"No copy of object {name[:12]} could be read.")

    async def holders(self, names: list[ObjectHash]) -> dict[ObjectHash, list[DataHost]]:
        """Return which live data hosts have each object."""
        found: dict[ObjectHash, list[DataHost]] = {name: [] for name in names}
        for host in self.data_hosts():
            try:
                reply, _ = await self._client(host).call(HaveObjects(list(names)))
            except RpcError:
                continue
            if isinstance(reply, Names):
                for name in reply.hashes:
                    found[ObjectHash(name)].append(host)
        return found

    async def copy(self, name: ObjectHash, holders: Sequence[DataHost]) -> bool:
        """Restore the second copy of an object; return whether one was written."""
        domains = {host.failure_domain for host in holders}
        data = await self.get(name)
        for host in place(name, self.data_hosts()):
            if host.failure_domain not in domains and await self._put_at(host, name, data):
                emit(events.OBJECT_REPAIRED, object=name, data_host=host.name)
                return True
        return False

    async def list_names(self, host: DataHost, after: str, limit: int) -> list[ObjectHash]:
        """List a host's objects in order."""
        reply, _ = await self._client(host).call(ListObjects(after, limit))
        return [ObjectHash(name) for name in reply.hashes] if isinstance(reply, Names) else []

    async def delete(self, host: DataHost, name: ObjectHash, least_age_s: float) -> bool:
        """Delete one copy that is old enough."""
        reply, _ = await self._client(host).call(DeleteObject(name, least_age_s))
        return isinstance(reply, Done) and reply.found

    async def _put_at(self, host: DataHost, name: ObjectHash, data: bytes) -> bool:
        try:
            await self._client(host).call(PutObject(name), data, timeout_s=TIMEOUT_S)
        except RpcError:
            return False
        return True

    def _client(self, host: DataHost) -> RpcClient:
        return self.pool.client(host.address, host.port)

    def close(self) -> None:
        """Close every connection."""
        self.pool.close()


def _next_batch(remaining: list[DataHost], stored: set[str]) -> list[DataHost]:
    """Return hosts to write to at once, one for each copy that is still missing."""
    batch: list[DataHost] = []
    domains = set(stored)
    for host in remaining:
        if host.failure_domain not in domains and len(domains) < COPIES:
            batch.append(host)
            domains.add(host.failure_domain)
    return batch
