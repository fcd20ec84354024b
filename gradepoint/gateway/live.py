"""One live call: target selection, retries, streaming and the final answer.

A call that may have run is sent again only if its route is repeatable, or if its stream can be
resumed after the last event that the caller got. Targets of different software versions generate
different events, so a stream is only resumed at a target of the version that began it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import events
from ..errors import GradepointError
from ..routing.suspects import Standing
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.memory_budget import Purpose, Reservation
from ..util.structs import Struct, field
from ..wire.http_client import BodyFraming, ConnectFailed, ResponseBroken
from ..wire.http_types import Response
from .admission_gate import begin_admission
from .choice import get_load
from .configuration import RouteKind
from .event_stream import EventSplitter, EventTooLong, has_content
from .forwarding import AnswerEnd, Exchange, Forwarder, OtherInstance, TargetBusy, TargetFailed
from .identity import identify

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ..ids import ServiceName, SoftwareVersion, TargetId
    from ..wire.http_types import Request
    from .admission_gate import AdmissionGate
    from .configuration import Route
    from .dialect import CallHead
    from .identity import RequestIdentity
    from .organisations import Organisation
    from .targets import Target

MAX_UNSENT_ATTEMPTS = 4
"""Attempts that fail to connect or reach another incarnation of the target, after which a call is
refused. Each takes at most the connect timeout, so that the refusal comes early."""
RETRY_AFTER_S = 0.05
"""Minimum ``Retry-After`` in seconds of a refused call: about the time to a first token."""
VERSION_RETRY_AFTER_S = 0.5
"""``Retry-After`` in seconds if no target has the software version of a stream. One that crashed is
back within some seconds, for which callers wait."""
MAX_STREAM_AGE_TIMEOUTS = 2
"""Multiple of the route's timeout after which no caller resumes a stream any more: an answer ends
by the timeout, and so does the one that resumes it."""
MAX_BUFFERED_BODY_BYTES = 262_144
"""Maximum bytes of a non-streaming answer that are buffered until it is complete, so that a broken
answer can be retried or replaced by an error. Longer answers are relayed as they arrive."""
UNRESERVED_BODY_BYTES = 16_384
"""Bytes of such an answer up to which no memory is reserved for it."""
MAX_UNFRAMED_BODY_BYTES = 524_288
"""Maximum bytes of a non-streaming answer without a length, while the call can be sent to another
target. The last target's answer may be longer."""
STALL_EVENT_GAPS = 4
"""Multiple of the route's event gap after which a silent, resumable stream is resumed at another
target. After one gap the answer is late anyway, and the pause of a preempted request is shorter
than four."""
MIN_STALL_TIMEOUT_S = 0.5
"""Minimum seconds of silence before a stream counts as stalled."""
HEAD_TIMEOUT_SHARE = 0.6
"""Fraction of the route's goal after which a repeatable call is sent to another target that has a
free slot. An answer within the goal is still likely there; nine in ten answers arrive within a
third of the goal."""
FREE_SLOT_POLL_S = 0.05
"""Seconds between checks for a free slot elsewhere after that time."""
SLOW_FIRST_EVENT_GOALS = 2.0
"""Multiple of the goal after which a stream's first event counts as a failure of its target."""


class LiveCall(Struct):
    """One call from its arrival to its answer.

    :ivar arrived_at: monotonic time of arrival.
    :ivar deadline: monotonic time by which the caller gets its final answer.
    :ivar sent: number of attempts that reached the intended target.
    :ivar unsent_attempts: number of attempts that failed to connect or reached another incarnation.
    :ivar may_have_run: whether any target may have run the call.
    :ivar tried: targets that were attempted, successfully or not.
    :ivar is_still_authorised: returns whether the caller's key is still valid; checked before each
        attempt until the call may have run, since the call may have waited.
    :ivar gate: admits the call before its first attempt; None if it is not subject to admission.
    :ivar organisation: the calling organisation; None without one.
    :ivar waited_s: seconds for which it waited for room.
    :ivar version: software version that began the stream, which all further targets must have; None
        before the caller has an event.
    """

    forwarder: Forwarder
    route: Route
    head: CallHead
    request: RequestIdentity
    arrived_at: float
    deadline: float
    service: ServiceName
    sent: int = 0
    unsent_attempts: int = 0
    may_have_run: bool = False
    tried: set[TargetId] = field(default_factory=set)
    is_still_authorised: Callable[[], bool] = field(default_factory=lambda: allow_always)
    gate: AdmissionGate | None = None
    organisation: Organisation | None = None
    waited_s: float = 0.0
    version: SoftwareVersion | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline - monotonic()

    @property
    def may_retry(self) -> bool:
        """Whether the call may be sent to one more target although it may have run."""
        return self.route.repeatable and self.sent < self.route.max_attempts

    async def answer(self) -> Response:
        """Return the caller's answer, retrying while the route allows it.

        The body of a stream is read while it is sent to the caller.
        """
        await self._find_version()
        while True:
            try:
                exchange = await self.open(self.head.resume_after)
            except TargetFailed as error:
                raise self._make_failure(error) from error
            try:
                response = await self._read_answer(exchange)
            except TargetFailed as error:
                exchange.close()
                if not self.may_retry:
                    raise self._make_failure(error) from error
                self._log_retry(exchange.target, str(error))
                await self.forwarder.crash_detector.wait(exchange.target)
                continue
            except BaseException:
                exchange.close()
                raise
            return response

    async def _find_version(self) -> None:
        """Find the software version that began the stream, if the caller resumes one.

        :raises GradepointError: the version is not known.
        """
        origins, resumes = self.forwarder.origins, self.head.resume_after is not None
        if origins is not None and resumes and self.route.kind is RouteKind.STREAM:
            max_age_s = self.route.timeout_s * MAX_STREAM_AGE_TIMEOUTS
            services = self.route.services
            self.version = await origins.find_version(self.head, self.request, services, max_age_s)
            found = self.forwarder.targets.find_service(services, self.version)
            self.service = found or self.service

    async def _begin_stream(self, target: Target) -> None:
        """Note the software version that brings the first event of the stream."""
        self.version = version = target.listed.version
        if self.forwarder.origins is not None:
            await self.forwarder.origins.history.ensure_recorded(target.listed.service, version)
            remaining_s = self.head.remaining_s
            if remaining_s is not None:
                remaining_s -= monotonic() - self.arrived_at
            self.forwarder.origins.record(self.head, self.request, version, remaining_s)

    async def open(self, resume_after: int | None) -> Exchange:
        """Send the call to one target after another until one answers.

        :param resume_after: number of the last event that the caller has; None for a new call.
        :raises GradepointError: no target is available, or the call was refused or is too late.
        :raises TargetFailed: the call may have run and may not be sent again.
        """
        while True:
            await self.forwarder.wait_until_fresh()
            if not self.may_have_run and not self.is_still_authorised():
                raise GradepointError("unauthenticated", "The key was taken away meanwhile.")
            target = self._choose_target()
            if self.gate is not None:
                if not self.gate.has_room(self, target):
                    target = await self._wait_for_room(self.gate, target)
                self.gate = None
            self.tried.add(target.id)
            try:
                return await self._try_target(target, resume_after)
            except (ConnectFailed, OtherInstance) as error:
                self.unsent_attempts += 1
                if self.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                    raise self._make_refusal("target_unreachable") from error
                self._log_retry(target, repr(error))
            except TargetBusy as error:
                self.sent += 1
                if self.sent >= self.route.max_attempts:
                    raise self._make_refusal("target_refused") from error
                self._log_retry(target, "busy")
            except TargetFailed as error:
                self.sent += 1
                self.may_have_run = True
                if not self.may_retry:
                    raise
                self._log_retry(target, str(error))
                await self.forwarder.crash_detector.wait(target)

    async def _wait_for_room(self, gate: AdmissionGate, drawn: Target) -> Target:
        """Return the target to send the call to; wait for room if admission says so.

        :param drawn: target that the usual choice takes.
        :raises GradepointError: the call is refused, or may not be sent after the wait.
        """
        pending = begin_admission(gate, self)
        begun = monotonic()
        waited, ended = False, "left"
        try:
            while True:
                target = pending.choose(drawn)
                if target is not None:
                    ended = "sent"
                    return target
                waited = True
                await gate.wait(self.service, pending.decide_again_at)
                await self.forwarder.wait_until_fresh()
                if not self.is_still_authorised():
                    raise GradepointError("unauthenticated", "The key was taken away meanwhile.")
                drawn = self._choose_target()
        except GradepointError:
            ended = "refused"
            raise
        finally:
            if waited:
                self.waited_s = monotonic() - begun
                metrics.shared().admission_waits.add(1, {"end": ended})

    async def _try_target(self, target: Target, resume_after: int | None) -> Exchange:
        """Send the call to *target*; if that fails, end the call's trial there, if any."""
        try:
            return await self._send_to(target, resume_after)
        except BaseException:
            target.end_trial(self.request)
            raise

    async def _send_to(self, target: Target, resume_after: int | None) -> Exchange:
        remaining = self.remaining_s
        if remaining <= 0:
            raise GradepointError("deadline_exceeded")
        emit(
            events.CALL_SENT,
            request=self.head.request_id,
            route=self.route.name,
            target=target.id,
            load=round(get_load(target, self.forwarder.remote_in_flight), 2),
            failing=round(target.health.failure_share, 2),
            remaining_ms=round(remaining * 1000),
            after_event=resume_after,
            resumes=self.head.resumed_request,
            version=target.listed.version,
        )
        sending = asyncio.ensure_future(
            self.forwarder.send(
                target,
                self.request,
                self.head,
                remaining,
                resume_after=resume_after,
                # A call that must not run twice has a single attempt. It uses a new connection,
                # because the target may be closing an idle one, or may not have finished the
                # answer to another call on it.
                fresh=not self.route.repeatable,
            )
        )
        try:
            exchange = await self._wait_for_head(target, sending)
        except BaseException:
            cancel_send(sending)
            raise
        self.sent += 1
        self.may_have_run = True
        return exchange

    async def _wait_for_head(self, target: Target, sending: asyncio.Task[Exchange]) -> Exchange:
        """Wait for the head of an answer.

        If a repeatable call gets none in time and another target has a free slot, the attempt is
        given up. The last allowed attempt and trials always wait.

        :raises TargetFailed: the attempt failed or was given up.
        """
        last = self.sent + 1 >= self.route.max_attempts
        if not self.route.repeatable or last or target.trial is not None:
            return await sending
        wait_s = self._head_timeout_s()
        while not sending.done():
            await asyncio.wait([sending], timeout=wait_s)
            if not sending.done() and self._has_free_slot_elsewhere():
                target.record_failure("no answer in time")
                raise TargetFailed("no answer in time")
            wait_s = FREE_SLOT_POLL_S
        return await sending

    def _has_free_slot_elsewhere(self) -> bool:
        other = self.choose()
        return other is not None and get_load(other, self.forwarder.remote_in_flight) < 1.0

    def _head_timeout_s(self) -> float:
        return self.route.goal_s * HEAD_TIMEOUT_SHARE

    def _choose_target(self) -> Target:
        """Return the next target to try.

        :raises GradepointError: no target is available or the request is held. The call is not
            queued, so that the caller can retry at once.
        """
        suspicion = self.forwarder.suspicion
        standing = suspicion.find_standing(self.request)
        if standing is Standing.HELD:
            raise suspicion.make_held_error(self.request)
        if standing is Standing.SUSPECTED:
            target = suspicion.choose_trial(
                self.request, self.service, self.tried, version=self.version
            )
            if target is None:
                if self.may_have_run:
                    raise GradepointError("target_lost")
                raise suspicion.make_trial_error(self.request)
            return target
        target = self.choose()
        if target is None and self.version is not None:
            # A target that broke the stream off may still be the only one that can continue it.
            target = self.forwarder.choose(self.service, set(), None, self.version)
        if target is None:
            if self.version is not None:
                raise self._make_refusal("no_target_of_version", VERSION_RETRY_AFTER_S)
            raise self._make_refusal("no_target", self.forwarder.estimate_wait_s(self.service))
        return target

    def choose(self, accept: Callable[[Target], bool] | None = None) -> Target | None:
        """Return a target that may get the call next, or None if there is none.

        :param accept: returns whether a target may be chosen; all may be by default.
        """
        return self.forwarder.choose(self.service, self.tried, accept, self.version)

    def _make_refusal(self, code: str, retry_after_s: float = RETRY_AFTER_S) -> GradepointError:
        """Return the error of a call that no further target accepts.

        If the call may have run, *code* would be wrong, since it states that nothing was run.
        """
        if self.may_have_run:
            return GradepointError("target_lost")
        return GradepointError(code, retry_after=max(RETRY_AFTER_S, retry_after_s))

    def _make_failure(self, error: TargetFailed) -> GradepointError:
        if self.remaining_s <= 0.0:
            return GradepointError("deadline_exceeded")
        return GradepointError("target_lost", str(error))

    def _log_retry(self, target: Target, reason: str) -> None:
        metrics.shared().retries.add(1, {"reason": reason.partition(":")[0][:40]})
        emit(
            events.CALL_RETRIED,
            request=self.head.request_id,
            target=target.id,
            reason=reason,
            sent=self.sent,
        )

    async def _read_answer(self, exchange: Exchange) -> Response:
        headers = exchange.head.forwarded_headers
        chunks = exchange.response.stream()
        if self._is_event_stream(exchange):
            exchange.needs_event = self.head.resume_after is None
            wait_s = MIN_STALL_TIMEOUT_S if self.may_retry else None
            first = await self._read_first_event(exchange, chunks, wait_s)
            took_s = monotonic() - self.arrived_at - self.waited_s
            if took_s > self.route.goal_s * SLOW_FIRST_EVENT_GOALS:
                exchange.target.record_failure("slow")
            stream = self._relay_events if self.route.resumable else self._relay_chunks
            return Response(
                exchange.head.status,
                raw_headers=headers,
                stream=stream(exchange, chunks, first),
                release=exchange.close,
            )
        memory = Reservation(self.forwarder.memory, Purpose.ANSWER)
        try:
            return await self._read_document(exchange, chunks, memory)
        except BaseException:
            memory.release()
            raise

    async def _read_document(
        self, exchange: Exchange, chunks: AsyncIterator[bytes], memory: Reservation
    ) -> Response:
        """Return an answer that is not an event stream, buffered as far as it may be.

        Where memory does not suffice for that, it is relayed earlier.

        :param memory: released once the response is finished.
        """
        status, headers = exchange.head.status, exchange.head.forwarded_headers
        exchange.follow_document()
        buffered = bytearray()
        has_length = exchange.response.framing is BodyFraming.LENGTH
        can_leave = self.may_retry and not has_length
        while len(buffered) < (MAX_UNFRAMED_BODY_BYTES if can_leave else MAX_BUFFERED_BODY_BYTES):
            chunk = await self._read_chunk(exchange, chunks)
            if chunk is None:
                self._finish(exchange)
                return Response(
                    status, raw_headers=headers, body=bytes(buffered), release=memory.release
                )
            buffered += chunk
            if len(buffered) > UNRESERVED_BODY_BYTES:
                try:
                    memory.grow(len(buffered))
                except GradepointError:
                    can_leave = False
                    break
        if can_leave:
            raise exchange.leave(f"no end within {len(buffered)} bytes")
        rest = self._relay_chunks(exchange, chunks, bytes(buffered), memory)

        def release() -> None:
            exchange.close()
            memory.release()

        return Response(status, raw_headers=headers, stream=rest, release=release)

    async def _read_first_event(
        self, exchange: Exchange, chunks: AsyncIterator[bytes], stall_timeout_s: float | None
    ) -> bytes | None:
        """Return the beginning of a stream up to its first event with a number or data, or the
        whole stream without one; None if it is empty.

        The caller gets nothing before, not even the head, so that another target may answer.

        :raises TargetFailed: as of :meth:`_read_chunk`, or the stream is beyond the bounds of an
            answer.
        """
        begun = EventSplitter()
        pieces = []
        while (chunk := await self._read_chunk(exchange, chunks, stall_timeout_s)) is not None:
            pieces.append(chunk)
            try:
                if any(has_content(event) for event in begun.split(chunk)):
                    break
            except EventTooLong as error:
                raise exchange.leave("no event with a number or data") from error
        return b"".join(pieces) or None

    def _is_event_stream(self, exchange: Exchange) -> bool:
        return self.route.kind is RouteKind.STREAM and exchange.may_be_event_stream

    async def _read_chunk(
        self, exchange: Exchange, chunks: AsyncIterator[bytes], stall_timeout_s: float | None = None
    ) -> bytes | None:
        """Return the next chunk of an answer, or None at its end.

        :param stall_timeout_s: maximum seconds to wait; None waits until the deadline.
        :raises TargetFailed: the connection broke, nothing came in time, or the answer ended
            inside an event.
        """
        remaining = self.remaining_s
        wait = remaining if stall_timeout_s is None else min(remaining, stall_timeout_s)
        try:
            async with asyncio.timeout(wait):
                chunk = await anext(chunks, None)
        except TimeoutError as error:
            exchange.count_end(AnswerEnd.SILENT)
            exchange.target.record_failure("silent")
            raise TargetFailed("silent") from error
        except ResponseBroken as error:
            exchange.count_end(AnswerEnd.BROKEN)
            self.forwarder.crash_detector.note_broken(exchange.target)
            exchange.target.record_failure(str(error))
            raise TargetFailed(str(error)) from error
        if chunk is None:
            await self.forwarder.check_end(exchange)
        else:
            await exchange.follow(chunk)
        return chunk

    async def _relay_chunks(
        self,
        exchange: Exchange,
        chunks: AsyncIterator[bytes],
        chunk: bytes | None,
        memory: Reservation | None = None,
    ) -> AsyncIterator[bytes]:
        """Relay an answer as it arrives; it can't be retried once its first bytes are sent.

        :param memory: reserved for *chunk*, and released once that is sent.
        """
        try:
            while chunk is not None:
                if self._is_event_stream(exchange):
                    exchange.count(chunk)
                    await exchange.let_others_run()
                yield chunk
                if memory is not None:
                    memory.release()
                chunk = await self._read_chunk(exchange, chunks)
            self._finish(exchange)
        except TargetFailed as error:
            raise self._abort_stream(exchange, error) from error
        finally:
            self._log_abandoned(exchange)
            exchange.close()

    async def _relay_events(
        self, exchange: Exchange, chunks: AsyncIterator[bytes], chunk: bytes | None
    ) -> AsyncIterator[bytes]:
        """Relay complete events, and resume a broken stream at another target.

        An incomplete event is never sent, so that the new target can continue after the last
        complete one. After an event with data and no number none can: it would begin anew, and the
        caller would get events twice.
        """
        last = self.head.resume_after
        may_resume = True
        wait_s = self._find_stall_timeout_s()
        try:
            while True:
                try:
                    while chunk is not None:
                        found = exchange.feed(chunk)
                        if found and self.version is None:
                            await self._begin_stream(exchange.target)
                            wait_s = self._find_stall_timeout_s()
                        for event in found:
                            if event.number is not None:
                                last, may_resume = event.number, True
                            elif event.data is not None:
                                may_resume = False
                        if found:
                            yield b"".join(event.raw for event in found)
                        await exchange.let_others_run()
                        limit_s = wait_s if may_resume else None
                        chunk = await self._read_chunk(exchange, chunks, limit_s)
                    break
                except TargetFailed as error:
                    exchange.close()
                    if not self.may_retry or not may_resume:
                        raise self._abort_stream(exchange, error) from error
                    await self.forwarder.crash_detector.wait(exchange.target)
                    emit(
                        events.STREAM_RESUMED,
                        request=self.head.request_id,
                        target=exchange.target.id,
                        reason=str(error),
                        last_event=last,
                        version=exchange.version,
                        **exchange.describe_body(),
                    )
                    exchange = await self._reopen(exchange, last)
                    chunks = exchange.response.stream()
                    chunk = b""
                    wait_s = self._find_stall_timeout_s()
            if exchange.splitter.rest:
                yield exchange.splitter.rest
            self._finish(exchange)
        finally:
            self._log_abandoned(exchange)
            exchange.close()

    def _find_stall_timeout_s(self) -> float | None:
        """Return the seconds of silence after which a stream is resumed at another target.

        None if it may not be resumed or no other target has the software version that began it.
        """
        if not self.may_retry:
            return None
        if self.version is not None:
            targets = self.forwarder.targets.candidates(self.service, monotonic(), self.version)
            if all(target.id in self.tried for target in targets):
                return None
        return max(MIN_STALL_TIMEOUT_S, STALL_EVENT_GAPS * self.route.event_gap_s)

    async def _reopen(self, broken: Exchange, last: int | None) -> Exchange:
        try:
            exchange = await self.open(last)
        except (GradepointError, TargetFailed) as error:
            raise self._abort_stream(broken, error) from error
        if exchange.head.status >= 300:
            exchange.close()
            raise self._abort_stream(exchange, TargetFailed(f"resumed with {exchange.head.status}"))
        exchange.needs_event = last is None
        return exchange

    def _finish(self, exchange: Exchange) -> None:
        exchange.close()
        exchange.target.record_success()
        if self.forwarder.loads is not None and self.sent == 1:
            # The head of a stream comes with its first event, that of another answer at its end.
            since = exchange.begun_at if self._is_event_stream(exchange) else exchange.sent_at
            self.forwarder.loads.note_call(exchange.target, monotonic() - since)
        self.forwarder.suspicion.note_answer(self.request, is_success=exchange.head.status < 300)
        metrics.shared().calls.add(1, {"outcome": "complete"})
        emit(
            events.CALL_ANSWERED,
            request=self.head.request_id,
            route=self.route.name,
            target=exchange.target.id,
            status=exchange.head.status,
            sent=self.sent,
            took_ms=round((monotonic() - self.arrived_at) * 1000),
            **exchange.describe_body(),
        )

    def _abort_stream(self, exchange: Exchange, error: Exception) -> ConnectionAbortedError:
        """Log an answer that can't be completed, and return the error to raise.

        The error closes the caller's connection, so that the answer isn't taken for complete.
        """
        metrics.shared().calls.add(1, {"outcome": "cut"})
        emit(
            events.CALL_CUT,
            request=self.head.request_id,
            route=self.route.name,
            target=exchange.target.id,
            reason=str(error),
            sent=self.sent,
            **exchange.describe_body(),
        )
        return ConnectionAbortedError(str(error))

    def _log_abandoned(self, exchange: Exchange) -> None:
        if not exchange.closed:
            emit(events.CALL_LEFT, request=self.head.request_id, target=exchange.target.id)


def allow_always() -> bool:
    """Return True; used for calls that belong to no organisation."""
    return True


def cancel_send(sending: asyncio.Task[Exchange]) -> None:
    """Cancel a send, and close its answer if that arrived before the cancellation."""
    sending.add_done_callback(_close_unused)
    sending.cancel()


def _close_unused(sending: asyncio.Task[Exchange]) -> None:
    if not sending.cancelled() and sending.exception() is None:
        sending.result().close()


def create_call(
    forwarder: Forwarder, route: Route, head: CallHead, request: Request, body: bytes
) -> LiveCall:
    """Return a new call; its deadline is the earlier of the route's and the caller's."""
    now = monotonic()
    allowed_s = route.timeout_s
    if head.remaining_s is not None:
        allowed_s = min(allowed_s, head.remaining_s)
    return LiveCall(
        forwarder=forwarder,
        route=route,
        head=head,
        request=identify(head, request.method, request.target, body),
        arrived_at=now,
        deadline=now + allowed_s,
        service=route.pick_service(forwarder.rng),
    )
