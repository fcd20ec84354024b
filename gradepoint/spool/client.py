"""Client of the data hosts, used by the host that accepts a job to spool it on several of them."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..telemetry.logs import emit
from ..util.structs import Struct, field
from ..util.tasks import TaskGroup
from ..wire.addresses import split_address
from ..wire.http_client import ConnectFailed, ResponseBroken
from .records import SpooledJob, SpoolRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import JobId
    from ..wire.http_client import HttpClient

KEEP_TIMEOUT_S = 0.3
"""Seconds that a data host has to write a job: as long as a few hundred syncs of its disk, and less
than the shortest time that a client waits for its answer."""
FIND_TIMEOUT_S = 0.3
"""Seconds that a data host has to answer whether it keeps a job; it answers from memory."""
FORGET_TIMEOUT_S = 1.0
"""Seconds that a data host has to delete a job and confirm it."""


class SpoolOutcome(Enum):
    """Whether the data hosts keep a job.

    ``KEPT``: they do, with enough copies when it was just written. ``NOT_KEPT``: none does.
    ``UNCERTAIN``: at least one may.
    """

    KEPT = "yes"
    NOT_KEPT = "nowhere"
    UNCERTAIN = "perhaps"


class SpoolClient(Struct):
    """Writes jobs to data hosts, finds them there and deletes them.

    :param find_hosts: returns the ``IP:PORT`` of each listed data host.
    :param find_missing: returns the ``IP:PORT`` of each data host that left the list lately.
    :param copies: number of data hosts that must have a job: one more than may be lost at once.
    """

    http: HttpClient
    find_hosts: Callable[[], list[str]]
    find_missing: Callable[[], list[str]]
    copies: int
    tasks: TaskGroup = field(default_factory=TaskGroup)

    @property
    def available(self) -> bool:
        """Whether enough data hosts are listed to spool a job."""
        return 0 < self.copies <= len(self.find_hosts())

    @property
    def copies_per_host(self) -> float:
        """Smallest average share of all spooled jobs that one data host keeps."""
        return self.copies / max(1, len(self.find_hosts()))

    async def keep(self, job: SpooledJob, max_tokens_per_host: int) -> SpoolOutcome:
        """Write a job to every data host; return as soon as enough of them have it.

        :param max_tokens_per_host: see :class:`SpoolRequest`.
        """
        if not self.available:
            return SpoolOutcome.NOT_KEPT
        raw = msgspec.msgpack.encode(SpoolRequest(job, max_tokens_per_host))
        pending = {
            self.tasks.start(self._put(address, raw), awaited=True) for address in self.find_hosts()
        }
        answers: list[SpoolOutcome] = []
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            answers += [task.result() for task in done]
            if answers.count(SpoolOutcome.KEPT) >= self.copies:
                return SpoolOutcome.KEPT
        not_kept = all(answer is SpoolOutcome.NOT_KEPT for answer in answers)
        return SpoolOutcome.NOT_KEPT if not_kept else SpoolOutcome.UNCERTAIN

    async def _put(self, address: str, raw: bytes) -> SpoolOutcome:
        try:
            status = await self._ask(address, "POST", "/spool", raw, KEEP_TIMEOUT_S)
        except ConnectFailed as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return SpoolOutcome.NOT_KEPT
        except (ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return SpoolOutcome.UNCERTAIN
        if status == 200:
            return SpoolOutcome.KEPT
        return SpoolOutcome.NOT_KEPT if status in (409, 503) else SpoolOutcome.UNCERTAIN

    async def find(self, job_id: JobId) -> SpoolOutcome:
        """Ask every data host for a job, including those that left the list lately.

        Any of them may have the only copy left, so the result is :attr:`SpoolOutcome.UNCERTAIN` if
        one does not answer and no other has the job.
        """
        addresses = {*self.find_hosts(), *self.find_missing()}
        find_tasks = [
            self.tasks.start(self._ask_for_job(address, job_id), awaited=True)
            for address in addresses
        ]
        answers = await asyncio.gather(*find_tasks)
        if SpoolOutcome.KEPT in answers:
            return SpoolOutcome.KEPT
        return (
            SpoolOutcome.UNCERTAIN if SpoolOutcome.UNCERTAIN in answers else SpoolOutcome.NOT_KEPT
        )

    async def _ask_for_job(self, address: str, job_id: JobId) -> SpoolOutcome:
        try:
            status = await self._ask(address, "GET", f"/spool/{job_id}", b"", FIND_TIMEOUT_S)
        except (ConnectFailed, ResponseBroken, TimeoutError) as error:
            emit(events.PEER_SILENT, member=address, reason=repr(error))
            return SpoolOutcome.UNCERTAIN
        if status == 200:
            return SpoolOutcome.KEPT
        return SpoolOutcome.NOT_KEPT if status == 404 else SpoolOutcome.UNCERTAIN

    async def forget(self, job_id: JobId) -> None:
        """Delete a job from every data host, because the key-value service has it."""
        for address in self.find_hosts():
            try:
                await self._ask(address, "DELETE", f"/spool/{job_id}", b"", FORGET_TIMEOUT_S)
            except (ConnectFailed, ResponseBroken, TimeoutError) as error:
                # This data host will find the job in the service when it tries to enter it.
                emit(events.PEER_SILENT, member=address, reason=repr(error))

    async def _ask(
        self, address: str, method: str, target: str, body: bytes, timeout_s: float
    ) -> int:
        async with asyncio.timeout(timeout_s):
            response = await self.http.send(split_address(address), method, target, body)
            await response.read()
        return response.status
