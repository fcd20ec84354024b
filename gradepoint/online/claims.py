"""Idempotency keys: claims that prevent a second run, and answers stored for resends.

A claim is one record in the key-value service. It is written before the first byte of the
request is sent to a target. Claims that arrive within a few milliseconds share one
transaction. If the reply to a write is lost, the writer token in the stored record shows
whether the write took effect. docs/design/idempotency.md compares the alternatives.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Annotated

import msgspec

from .. import events
from ..errors import CATALOGUE, GradepointError, KvError, KvRejected, KvUnreadable, Outcome
from ..kv.records import decode_record
from ..kv.service import ABSENT, Delete, Expect, Put, Transaction
from ..kv.settle import WriteOutcome, WriteOutcomeUnknown, settle
from ..telemetry.logs import emit
from ..util.clock import wall_seconds
from ..util.hashing import new_token, sha256_hex
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..kv.service import KeyValue, KeyValueService

CLAIMS_PREFIX = "/gradepoint/claims/"
MAX_STORED_ANSWER_BYTES = 512 << 10
"""Largest answer body in bytes that is stored; base64 in the record adds a third."""
GROUP_COMMIT_WINDOW_S = 0.003
"""Seconds for which claims are collected before they are written in one transaction."""
MAX_CLAIMS_PER_GROUP = 32
CLEANUP_RETRY_PAUSE_S = 1.0
"""Seconds before each attempt to complete or delete a claim in the background."""


class ClaimState(Enum):
    """State of a call with an idempotency key.

    A claim starts as ``CLAIMED`` and ends as ``DONE`` (the answer is final) or ``UNKNOWN``
    (the call may or may not have run). A call that certainly did not run loses its claim.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete HTTP answer as it is stored for resends."""

    status: Annotated[int, msgspec.Meta(ge=200, le=599)]
    headers: dict[str, str]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """The stored record of an idempotency key.

    :param digest: hash of the request, which distinguishes a resend from another request.
    :param host: host that processes or processed the call.
    :param writer: unique token of the request that claimed the key.
    :param repeatable: whether the call may run again after an unknown outcome.
    :param at: time of the claim in Unix seconds, for retention.
    :param reason: error code of an unknown outcome.
    :param answer: the answer of a call that is done; None if it is too large to store.
    """

    digest: str
    state: ClaimState
    host: str
    writer: str
    repeatable: bool
    at: int
    reason: str = ""
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class HeldClaim:
    """A claim owned by the current request; *revision* is the revision of its record."""

    key: str
    claim: Claim
    revision: int


@dataclass
class PendingClaim:
    """A claim that waits to be written; *future* gets None if the key is already claimed."""

    key: str
    claim: Claim
    future: asyncio.Future[HeldClaim | None]


def resolve_existing_claim(
    existing: Claim, digest: str, live_hosts: set[str]
) -> StoredAnswer | None:
    """Decide how to handle a request whose key is already claimed.

    :param digest: hash of the new request.
    :returns: the stored answer, or None if the request may take over the claim.
    :raises GradepointError: the request must not run.
    """
    if existing.digest != digest:
        raise GradepointError("idempotency_mismatch")
    if existing.state is ClaimState.DONE:
        if existing.answer is None:
            raise GradepointError("answer_not_kept")
        return existing.answer
    if existing.state is ClaimState.UNKNOWN:
        if existing.repeatable:
            return None
        raise GradepointError(
            existing.reason if existing.reason in CATALOGUE else "target_lost",
            outcome=Outcome.UNKNOWN,
            message="The first send of this key ended as unknown.",
        )
    if existing.host in live_hosts:
        raise GradepointError("in_progress")
    if existing.repeatable:
        return None
    raise GradepointError("holder_lost")


class ClaimStore:
    """Claims idempotency keys and stores the answers of their calls.

    :param live_hosts: returns the names of the live hosts.
    :ivar active_writers: writer tokens of the calls that run in this process.
    :ivar flushing: whether a background task writes the pending claims.
    """

    def __init__(
        self, service: KeyValueService, host: str, live_hosts: Callable[[], list[str]]
    ) -> None:
        self.service = service
        self.host = host
        self.live_hosts = live_hosts
        self.pending: list[PendingClaim] = []
        self.flushing = False
        self.active_writers: set[str] = set()
        self.tasks = TaskGroup()

    async def claim(
        self, organisation: str, key: str, digest: str, *, repeatable: bool
    ) -> HeldClaim | StoredAnswer:
        """Claim a key for one request, or return the answer stored for it.

        :raises GradepointError: the key is claimed by another call, or the key-value service
            does not answer. In the latter case the call has not run.
        """
        name = claim_key(organisation, key)
        claim = Claim(
            digest, ClaimState.CLAIMED, self.host, new_token(), repeatable, wall_seconds()
        )
        self.active_writers.add(claim.writer)
        try:
            held: HeldClaim | StoredAnswer | None = await self._claim_in_group(name, claim)
            while held is None:
                held = await self._resolve_existing(name, claim)
            if isinstance(held, StoredAnswer):
                self.active_writers.discard(claim.writer)
            return held
        except KvError as error:
            self._schedule_delete(name, claim)
            raise GradepointError(
                "service_unavailable", f"The key was not claimed: {error}."
            ) from error
        except WriteOutcomeUnknown as error:
            self._schedule_delete(name, claim)
            raise GradepointError(
                "service_unavailable", f"The key was not claimed: {error}."
            ) from error
        except GradepointError:
            self.active_writers.discard(claim.writer)
            raise

    async def _claim_in_group(self, name: str, claim: Claim) -> HeldClaim | None:
        pending = PendingClaim(name, claim, asyncio.get_running_loop().create_future())
        self.pending.append(pending)
        if not self.flushing:
            self.flushing = True
            self.tasks.start(self._flush())
        return await pending.future

    async def _flush(self) -> None:
        while self.pending:
            await asyncio.sleep(GROUP_COMMIT_WINDOW_S)
            group, self.pending = (
                self.pending[:MAX_CLAIMS_PER_GROUP],
                self.pending[MAX_CLAIMS_PER_GROUP:],
            )
            self.tasks.start(self._write_group(group))
        self.flushing = False

    async def _write_group(self, group: list[PendingClaim]) -> None:
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
            # A key may be claimed already, or the reply was lost: write each claim separately.
            await asyncio.gather(*(self._write_one(row) for row in group))
            return
        if not answer.succeeded:
            await asyncio.gather(*(self._write_one(row) for row in group))
            return
        for row in group:
            _set_result(row.future, HeldClaim(row.key, row.claim, answer.revision))

    async def _write_one(self, row: PendingClaim) -> None:
        try:
            _set_result(row.future, await self._put_claim(row.key, row.claim, ABSENT))
        except Exception as error:
            # The call waits for this future; any error belongs to it.
            if not row.future.done():
                row.future.set_exception(error)

    async def _put_claim(self, name: str, claim: Claim, revision: int) -> HeldClaim | None:
        put = Put(name, msgspec.json.encode(claim))
        settled, written = await settle(
            self.service,
            Transaction((Expect(name, revision),), (put,)),
            lambda: self._is_ours(name, claim.writer),
            max_attempts=2,
        )
        if settled is WriteOutcome.LOST_RACE:
            # The group transaction with this same claim may have taken effect.
            item = await self.service.get(name)
            if item is not None and _is_written_by(item, claim.writer):
                return HeldClaim(name, claim, item.revision)
            return None
        if not written:
            item = await self.service.get(name)
            written = item.revision if item else 0
        return HeldClaim(name, claim, written)

    async def _is_ours(self, name: str, writer: str) -> bool:
        item = await self.service.get(name)
        return item is not None and _is_written_by(item, writer)

    async def _resolve_existing(self, name: str, claim: Claim) -> HeldClaim | StoredAnswer | None:
        item = await self.service.get(name)
        if item is None:
            return await self._put_claim(name, claim, ABSENT)
        existing = _require_claim(item)
        live = set(self.live_hosts())
        if existing.host == self.host and existing.writer not in self.active_writers:
            # This host made the claim, but no running call of this process owns it: that call
            # has ended or never started.
            live.discard(self.host)
        answer = resolve_existing_claim(existing, claim.digest, live)
        if answer is not None:
            return answer
        return await self._put_claim(name, claim, item.revision)

    async def store_answer(self, held: HeldClaim, answer: StoredAnswer) -> None:
        """Store the answer. If this fails, the claim remains, so a resend does not run again."""
        stored = answer if len(answer.body) <= MAX_STORED_ANSWER_BYTES else None
        await self._finish(held, ClaimState.DONE, "", stored)

    async def store_unknown(self, held: HeldClaim, reason: str) -> None:
        """Mark the outcome of the call as unknown; *reason* is its error code."""
        await self._finish(held, ClaimState.UNKNOWN, reason, None)

    async def _finish(
        self, held: HeldClaim, state: ClaimState, reason: str, answer: StoredAnswer | None
    ) -> None:
        claim = msgspec.structs.replace(held.claim, state=state, reason=reason, answer=answer)
        put = Put(held.key, msgspec.json.encode(claim))

        async def took_effect() -> bool:
            item = await self.service.get(held.key)
            if item is None:
                return False
            existing = _read_claim(item)
            if existing is None:
                return False
            return existing.writer == claim.writer and existing.state is state

        try:
            await settle(
                self.service,
                Transaction((Expect(held.key, held.revision),), (put,)),
                took_effect,
                max_attempts=2,
            )
        except KvRejected as error:
            emit(events.ANSWER_NOT_KEPT, key=held.key, error=str(error))
            if answer is not None:
                await self._finish(held, state, reason, None)
                return
        except (WriteOutcomeUnknown, KvError) as error:
            emit(events.ANSWER_NOT_KEPT, key=held.key, error=str(error))
            self.tasks.start(self._retry_finish(held, put))
        self.active_writers.discard(held.claim.writer)

    async def _retry_finish(self, held: HeldClaim, put: Put) -> None:
        transaction = Transaction((Expect(held.key, held.revision),), (put,))
        while True:
            await asyncio.sleep(CLEANUP_RETRY_PAUSE_S)
            try:
                await self.service.transact(transaction)
                return
            except KvRejected as error:
                emit(events.ANSWER_NOT_KEPT, key=held.key, error=str(error))
                return
            except KvError:
                continue

    async def release(self, held: HeldClaim) -> None:
        """Delete the claim of a call that certainly did not run."""
        try:
            transaction = Transaction((Expect(held.key, held.revision),), (), (Delete(held.key),))
            await self.service.transact(transaction)
        except KvError:
            self._schedule_delete(held.key, held.claim)
            return
        self.active_writers.discard(held.claim.writer)

    def _schedule_delete(self, name: str, claim: Claim) -> None:
        self.active_writers.discard(claim.writer)
        self.tasks.start(self._retry_delete(name, claim.writer))

    async def _retry_delete(self, name: str, writer: str) -> None:
        """Delete a claim that may have been written for a call that did not run.

        Retries until the service answers.
        """
        while True:
            await asyncio.sleep(CLEANUP_RETRY_PAUSE_S)
            try:
                item = await self.service.get(name)
                if item is None or not _is_written_by(item, writer):
                    return
                await self.service.transact(
                    Transaction((Expect(name, item.revision),), (), (Delete(name),))
                )
                return
            except KvError:
                continue

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self.tasks.stop()


def claim_key(organisation: str, key: str) -> str:
    """Return the key of the claim record; the idempotency key itself is hashed."""
    return f"{CLAIMS_PREFIX}{organisation}/{sha256_hex(key.encode())[:40]}"


def _require_claim(item: KeyValue) -> Claim:
    """Decode the claim of a call.

    :raises GradepointError: ``record_unreadable``. The call that made the claim may have run.
    """
    try:
        return decode_record(item, Claim)
    except KvUnreadable as error:
        raise GradepointError("record_unreadable", f"{error}.", outcome=Outcome.UNKNOWN) from error


def _read_claim(item: KeyValue) -> Claim | None:
    """Return a claim; None if another writer has overwritten it."""
    try:
        return decode_record(item, Claim)
    except KvUnreadable:
        return None


def _is_written_by(item: KeyValue, writer: str) -> bool:
    claim = _read_claim(item)
    return claim is not None and claim.writer == writer


def _set_result(future: asyncio.Future[HeldClaim | None], value: HeldClaim | None) -> None:
    if not future.done():
        future.set_result(value)
