"""Keeps a job on several data hosts, as the host that accepts it sees it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..telemetry.logs import emit
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from .records import SpooledJob, SpoolRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import JobId
    from ..wire.http_client import HttpClient

KEEP_TIMEOUT_S = 0.3
"""Seconds that a data host has to write a job: a few hundred syncs of its disk, and less than
the shortest time in which a client waits for its answer."""
FIND_TIMEOUT_S = 0.3
"""Seconds that a data host has to tell whether it keeps a job; its memory knows."""
FORGET_TIMEOUT_S = 1.0
"""Seconds that a data host has to answer that it forgot a job."""


class Kept(Enum):
    """What became of a job at the data hosts."""

    YES = "yes"
    NOWHERE = "nowhere"
    PERHAPS = "perhaps"


@dataclass
class SpoolClient:
    """Writes jobs to data hosts.

    :param find_hosts: returns ``IP:PORT`` of the listed data hosts.
    :param find_missing: returns those of the ones that were listed until lately.
    :param copies: data hosts that must have a job: one more than may be lost at once.
    """

    http: HttpClient
    find_hosts: Callable[[], list[str]]
    find_missing: Callable[[], list[str]]
    copies: int
    tasks: TaskGroup = field(default_factory=TaskGroup)

    @property
    def available(self) -> bool:
        """Whether enough data hosts are listed."""
        return 0 < self.copies <= len(self.find_hosts())

    @property
    def copies_a_host(self) -> float:
        """Least share of all spooled jobs that a data host has, on average."""
        return self.copies / max(1, len(self.find_hosts()))

    async def keep(self, job: SpooledJob, most_tokens: int) -> Kept:
        """Write a job to every data host; return as soon as enough of them have it.

        :param most_tokens: see :class:`SpoolRequest`.
        """
        if not self.available:
            return Kept.NOWHERE
        raw = msgspec.msgpack.encode(SpoolRequest(job, most_tokens))
        pending = {
            self.tasks.start(self._put(address, raw), awaited=True) for address in self.find_hosts()
        }
        answers: list[Kept] = []
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            answers += [task.result() for task in done]
            if answers.count(Kept.YES) >= self.copies:
                return Kept.YES
        nowhere = all(answer is Kept.NOWHERE for answer in answers)
        return Kept.NOWHERE if nowhere else Kept.PERHAPS

    async def _put(self, address: str, raw: bytes) -> Kept:
        try:
            status = await self._ask(address, "POST", "/spool", raw, KEEP_TIMEOUT_S)
        except ConnectFailed as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return Kept.NOWHERE
        except (ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return Kept.PERHAPS
        if status == 200:
            return Kept.YES
        return Kept.NOWHERE if status in (409, 503) else Kept.PERHAPS

    async def find(self, job_id: JobId) -> Kept:
        """Ask every data host for a job, also those that were listed until lately.

        Each may have the only copy that is left, so that one without an answer leaves
        :attr:`Kept.PERHAPS`.
        """
        addresses = {*self.find_hosts(), *self.find_missing()}
        asking = [
            self.tasks.start(self._has(address, job_id), awaited=True) for address in addresses
        ]
        answers = await asyncio.gather(*asking)
        if Kept.YES in answers:
            return Kept.YES
        return Kept.PERHAPS if Kept.PERHAPS in answers else Kept.NOWHERE

    async def _has(self, address: str, job_id: JobId) -> Kept:
        try:
            status = await self._ask(address, "GET", f"/spool/{job_id}", b"", FIND_TIMEOUT_S)
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return Kept.PERHAPS
        return Kept.YES if status == 200 else Kept.NOWHERE

    async def forget(self, job_id: JobId) -> None:
        """Tell every data host that the key-value service has a job."""
        for address in self.find_hosts():
            try:
                await self._ask(address, "DELETE", f"/spool/{job_id}", b"", FORGET_TIMEOUT_S)
            except (ConnectFailed, ResponseBroken, TimeoutError) as error:
                # It finds the job in the service by itself.
                emit(events.PEER_SILENT, member=address, reason=repr(error))

    async def _ask(
        self, address: str, method: str, target: str, body: bytes, timeout_s: float
    ) -> int:
        async with asyncio.timeout(timeout_s):
            response = await self.http.send(split_address(address), method, target, body)
            await response.read()
        return response.status
