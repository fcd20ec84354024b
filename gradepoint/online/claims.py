"""Idempotency keys: claimed before the first byte leaves, answers kept for resends.

A claim is one record in the key-value service. Claims that arrive within a few
milliseconds share one transaction. A claim is settled by its writer token when the
answer to it was lost. docs/design/idempotency.md weighs the ways.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import GradepointError, KvError, Outcome
from ..kv.service import ABSENT, Delete, Expect, Put, Transaction
from ..kv.settle import Settled, Unsettled, settle
from ..telemetry.logs import emit
from ..util.clock import wall_seconds
from ..util.hashing import new_token, sha256_hex
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..kv.service import KeyValueService

PREFIX = "/gradepoint/claims/"
LARGEST_ANSWER = 512 << 10
"""Bytes of an answer kept in the record; base64 makes it a third larger."""
GROUP_WINDOW_S = 0.003
MOST_IN_GROUP = 32
RELEASE_PAUSE_S = 1.0


class ClaimState(Enum):
    """What became of a keyed call."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class KeptAnswer(msgspec.Struct, frozen=True):
    """An answer as kept for resends."""

    status: int
    headers: dict[str, str]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """The record of a key.

    :param digest: of the request, to tell a resend from another request.
    :param writer: token of the send that claimed the key.
    :param at: Unix seconds, for retention.
    """

    digest: str
    state: ClaimState
    host: str
    writer: str
    repeatable: bool
    at: int
    reason: str = ""
    answer: KeptAnswer | None = None


@dataclass(frozen=True)
class Held:
    """A key that this send holds; *revision* is of its record."""

    key: str
    claim: Claim
    revision: int


@dataclass
class Pending:
    """One claim that waits for its group."""

    key: str
    claim: Claim
    future: asyncio.Future[Held | None]


def decide_on_existing(found: Claim, digest: str, live_hosts: set[str]) -> KeptAnswer | None:
    """Decide what a send gets whose key is claimed already.

    :returns: the kept answer, or None if the claim may be taken over.
    :raises GradepointError: the send ends here.
    """
    if found.digest != digest:
        raise GradepointError("idempotency_mismatch")
    if found.state is ClaimState.DONE:
        if found.answer is None:
            raise GradepointError("answer_not_kept")
        return found.answer
    if found.state is ClaimState.UNKNOWN:
        if found.repeatable:
            return None
        raise GradepointError(
            found.reason or "target_lost",
            outcome=Outcome.UNKNOWN,
            message="The first send of this key ended as unknown.",
        )
    if found.host in live_hosts:
        raise GradepointError("in_progress")
    if found.repeatable:
        return None
    raise GradepointError("holder_lost")


class ClaimKeeper:
    """Claims keys and keeps answers.

    :param live_hosts: returns the names of the live hosts.
    """

    def __init__(
        self, service: KeyValueService, host: str, live_hosts: Callable[[], list[str]]
    ) -> None:
        self.service = service
        self.host = host
        self.live_hosts = live_hosts
        self.pending: list[Pending] = []
        self.flushing = False
        self.active: set[str] = set()
        self.tasks = TaskGroup()

    async def claim(
        self, organisation: str, key: str, digest: str, *, repeatable: bool
    ) -> Held | KeptAnswer:
        """Claim a key for one send, or return the answer kept for it.

        :raises GradepointError: the key is taken, or the service does not answer. In the
            latter case nothing ran.
        """
        name = claim_key(organisation, key)
        claim = Claim(
            digest, ClaimState.CLAIMED, self.host, new_token(), repeatable, wall_seconds()
        )
        self.active.add(claim.writer)
        try:
            held: Held | KeptAnswer | None = await self._claim_in_group(name, claim)
            while held is None:
                held = await self._meet_existing(name, claim)
            if isinstance(held, KeptAnswer):
                self.active.discard(claim.writer)
            return held
        except KvError as error:
            self._abandon(name, claim)
            raise GradepointError(
                "service_unavailable", f"The key was not claimed: {error}."
            ) from error
        except Unsettled as error:
            self._abandon(name, claim)
            raise GradepointError(
                "service_unavailable", f"The key was not claimed: {error}."
            ) from error
        except GradepointError:
            self.active.discard(claim.writer)
            raise

    async def _claim_in_group(self, name: str, claim: Claim) -> Held | None:
        pending = Pending(name, claim, asyncio.get_running_loop().create_future())
        self.pending.append(pending)
        if not self.flushing:
            self.flushing = True
            self.tasks.start(self._flush())
        return await pending.future

    async def _flush(self) -> None:
        while self.pending:
            await asyncio.sleep(GROUP_WINDOW_S)
            group, self.pending = self.pending[:MOST_IN_GROUP], self.pending[MOST_IN_GROUP:]
            self.tasks.start(self._write_group(group))
        self.flushing = False

    async def _write_group(self, group: list[Pending]) -> None:
        if len(group) == 1 or len({row.key for row in group}) < len(group):
            await asyncio.gather(*(self._write_one(row) for row in group))
            return
        transaction = Transaction(
            tuple(Expect(row.key, ABSENT) for row in group),
            tuple(Put(row.key, msgspec.json.encode(row.claim)) for row in group),
        )
        try:
            answer = await self.service.transact(transaction)
        except KvError:
            # One key may be taken, or an answer was lost: each claim is settled alone.
            await asyncio.gather(*(self._write_one(row) for row in group))
            return
        if not answer.succeeded:
            await asyncio.gather(*(self._write_one(row) for row in group))
            return
        for row in group:
            _resolve(row.future, Held(row.key, row.claim, answer.revision))

    async def _write_one(self, row: Pending) -> None:
        try:
            _resolve(row.future, await self._put_claim(row.key, row.claim, ABSENT))
        except (KvError, Unsettled) as error:
            if not row.future.done():
                row.future.set_exception(error)

    async def _put_claim(self, name: str, claim: Claim, revision: int) -> Held | None:
        put = Put(name, msgspec.json.encode(claim))
        settled, written = await settle(
            self.service,
            Transaction((Expect(name, revision),), (put,)),
            lambda: self._is_ours(name, claim.writer),
            tries=2,
        )
        if settled is Settled.LOST_RACE:
            # An earlier send of this very claim may have taken effect within a group.
            item = await self.service.get(name)
            if item is not None and _decode(item.value).writer == claim.writer:
                return Held(name, claim, item.revision)
            return None
        if not written:
            item = await self.service.get(name)
            written = item.revision if item else 0
        return Held(name, claim, written)

    async def _is_ours(self, name: str, writer: str) -> bool:
        item = await self.service.get(name)
        return item is not None and _decode(item.value).writer == writer

    async def _meet_existing(self, name: str, claim: Claim) -> Held | KeptAnswer | None:
        item = await self.service.get(name)
        if item is None:
            return await self._put_claim(name, claim, ABSENT)
        found = _decode(item.value)
        live = set(self.live_hosts())
        if found.host == self.host and found.writer not in self.active:
            # This process knows its own running sends: this one is over or never began.
            live.discard(self.host)
        answer = decide_on_existing(found, claim.digest, live)
        if answer is not None:
            return answer
        return await self._put_claim(name, claim, item.revision)

    async def keep(self, held: Held, answer: KeptAnswer) -> None:
        """Keep the answer; a failure leaves the claim, so that a resend never runs."""
        kept = answer if len(answer.body) <= LARGEST_ANSWER else None
        await self._finish(held, ClaimState.DONE, "", kept)

    async def keep_unknown(self, held: Held, reason: str) -> None:
        """Note that the call's outcome is unknown."""
        await self._finish(held, ClaimState.UNKNOWN, reason, None)

    async def _finish(
        self, held: Held, state: ClaimState, reason: str, answer: KeptAnswer | None
    ) -> None:
        claim = msgspec.structs.replace(held.claim, state=state, reason=reason, answer=answer)
        put = Put(held.key, msgspec.json.encode(claim))

        async def took_effect() -> bool:
            item = await self.service.get(held.key)
            if item is None:
                return False
            found = _decode(item.value)
            return found.writer == claim.writer and found.state is state

        try:
            await settle(
                self.service,
                Transaction((Expect(held.key, held.revision),), (put,)),
                took_effect,
                tries=2,
            )
        except (Unsettled, KvError) as error:
            emit(events.ANSWER_NOT_KEPT, key=held.key, error=str(error))
            self.tasks.start(self._finish_later(held, put))
        self.active.discard(held.claim.writer)

    async def _finish_later(self, held: Held, put: Put) -> None:
        transaction = Transaction((Expect(held.key, held.revision),), (put,))
        while True:
            await asyncio.sleep(RELEASE_PAUSE_S)
            try:
                await self.service.transact(transaction)
                return
            except KvError:
                continue

    async def release(self, held: Held) -> None:
        """Give a key back whose call certainly did not run."""
        try:
            transaction = Transaction((Expect(held.key, held.revision),), (), (Delete(held.key),))
            await self.service.transact(transaction)
        except KvError:
            self._abandon(held.key, held.claim)
            return
        self.active.discard(held.claim.writer)

    def _abandon(self, name: str, claim: Claim) -> None:
        self.active.discard(claim.writer)
        self.tasks.start(self._delete_later(name, claim.writer))

    async def _delete_later(self, name: str, writer: str) -> None:
        """Delete a claim that may have been written for a call that did not run."""
        while True:
            await asyncio.sleep(RELEASE_PAUSE_S)
            try:
                item = await self.service.get(name)
                if item is None or _decode(item.value).writer != writer:
                    return
                await self.service.transact(
                    Transaction((Expect(name, item.revision),), (), (Delete(name),))
                )
                return
            except KvError:
                continue

    async def stop(self) -> None:
        """End the background work."""
        await self.tasks.stop()


def claim_key(organisation: str, key: str) -> str:
    """Return the record's key."""
    return f"{PREFIX}{organisation}/{sha256_hex(key.encode())[:40]}"


def _decode(raw: bytes) -> Claim:
    return msgspec.json.decode(raw, type=Claim)


def _resolve(future: asyncio.Future[Held | None], value: Held | None) -> None:
    if not future.done():
        future.set_result(value)
