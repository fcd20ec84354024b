"""Replicated storage of bulk objects on data hosts of at least two failure domains.

Copies are immutable and named by their hash, so replicas need no consensus. Which objects
are in use is determined by the records in the key-value service alone.
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
"""Copies of each object, each in another failure domain."""

OBJECT_TIMEOUT_S = 5.0
"""Seconds to wait for one host to read or write an object."""


@dataclass(frozen=True)
class DataHost:
    """A live host with a data folder, and the address of its store program."""

    name: str
    failure_domain: str
    address: str
    port: int


def rank_hosts(name: str, hosts: Sequence[DataHost]) -> list[DataHost]:
    """Return *hosts* in order of preference for object *name*.

    They are ordered by rendezvous hashing, but the best host of each failure domain comes
    before the second best of any, so that the first :data:`COPIES` are in different domains.
    """
    by_name = {host.name: host for host in hosts}
    ordered = [by_name[host] for host in rank(name, by_name)]
    best_of_domain: list[DataHost] = []
    rest: list[DataHost] = []
    seen: set[str] = set()
    for host in ordered:
        if host.failure_domain in seen:
            rest.append(host)
        else:
            seen.add(host.failure_domain)
            best_of_domain.append(host)
    return best_of_domain + rest


class ReplicatedStore:
    """Writes objects to and reads them from the data hosts.

    :param data_hosts: returns the data hosts that are live now.
    """

    def __init__(self, data_hosts: Callable[[], Sequence[DataHost]]) -> None:
        self.data_hosts = data_hosts
        self.pool = RpcPool(StoreReply)

    async def put(self, data: bytes) -> ObjectHash:
        """Write an object in two failure domains; return its name.

        A host that fails is replaced by the next one in order of preference.

        :raises GradepointError: ``storage_insufficient`` if fewer domains stored a copy.
        """
        name = ObjectHash(sha256_hex(data))
        remaining = rank_hosts(name, self.data_hosts())
        stored_domains: set[str] = set()
        while remaining and len(stored_domains) < COPIES:
            batch = _next_batch(remaining, stored_domains)
            if not batch:
                break
            for host in batch:
                remaining.remove(host)
            results = await asyncio.gather(*(self._put_on_host(host, name, data) for host in batch))
            stored_domains.update(
                host.failure_domain
                for host, succeeded in zip(batch, results, strict=True)
                if succeeded
            )
        if len(stored_domains) < COPIES:
            raise GradepointError(
                "storage_insufficient", f"Only {len(stored_domains)} failure domains took a copy."
            )
        return name

    async def get(self, name: ObjectHash) -> bytes:
        """Return an object from the first host that has a good copy.

        :raises GradepointError: ``storage_read`` if no host has one.
        """
        for host in rank_hosts(name, self.data_hosts()):
            try:
                reply, data = await self._client(host).call(
                    GetObject(name), timeout_s=OBJECT_TIMEOUT_S
                )
            except RpcError:
                continue
            if not isinstance(reply, Done) or not reply.found:
                continue
            if sha256_hex(data) == name:
                return data
            emit(events.OBJECT_CORRUPT, object=name, data_host=host.name)
        raise GradepointError("storage_read", f"No copy of object {name[:12]} could be read.")

    async def holders(self, names: list[ObjectHash]) -> dict[ObjectHash, list[DataHost]]:
        """Return the live data hosts that have a file of each object; content is not checked."""
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
        """Write another copy of an object in a failure domain that has none.

        :param holders: hosts that have a copy.
        :return: whether a copy was written.
        """
        domains = {host.failure_domain for host in holders}
        data = await self.get(name)
        for host in rank_hosts(name, self.data_hosts()):
            if host.failure_domain not in domains and await self._put_on_host(host, name, data):
                emit(events.OBJECT_REPAIRED, object=name, data_host=host.name)
                return True
        return False

    async def list_names(self, host: DataHost, after: str, limit: int) -> list[ObjectHash]:
        """Return at most *limit* names of a host's objects in order, starting after *after*."""
        reply, _ = await self._client(host).call(ListObjects(after, limit))
        return [ObjectHash(name) for name in reply.hashes] if isinstance(reply, Names) else []

    async def delete(self, host: DataHost, name: ObjectHash, min_age_s: float) -> bool:
        """Delete one host's copy of an object if it is at least *min_age_s* seconds old.

        :return: whether it was deleted.
        """
        reply, _ = await self._client(host).call(DeleteObject(name, min_age_s))
        return isinstance(reply, Done) and reply.found

    async def _put_on_host(self, host: DataHost, name: ObjectHash, data: bytes) -> bool:
        try:
            await self._client(host).call(PutObject(name), data, timeout_s=OBJECT_TIMEOUT_S)
        except RpcError:
            return False
        return True

    def _client(self, host: DataHost) -> RpcClient:
        return self.pool.client(host.address, host.port)

    def close(self) -> None:
        """Close the connections to all hosts."""
        self.pool.close()


def _next_batch(remaining: list[DataHost], stored_domains: set[str]) -> list[DataHost]:
    """Return the hosts to write to concurrently, one for each copy that is still missing."""
    batch: list[DataHost] = []
    domains = set(stored_domains)
    for host in remaining:
        if host.failure_domain not in domains and len(domains) < COPIES:
            batch.append(host)
            domains.add(host.failure_domain)
    return batch
