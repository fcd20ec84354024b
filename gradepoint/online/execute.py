"""Execution of online calls at targets: attempts, retries and resumed streams."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from .. import events
from ..errors import GradepointError, Outcome, TargetFailure
from ..routing.retries import CallProgress, RetryBudget
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.rng import new_rng
from ..wire.completion_events import decode_event, read_text
from ..wire.http_types import HEADER_DEADLINE
from ..wire.target_client import TargetAnswer, TargetClient
from .attempts import back_off_or_raise

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator

    from ..routing.choice import TargetView
    from .requests import CompletionRequest
    from .targets import TargetPool

JSON_HEADERS = {"content-type": "application/json"}
MAX_RESUMES = 3
"""Reconnections to one stream at the same target before the attempt counts as failed."""


@dataclass
class CallContext:
    """A call in flight.

    :param progress: attempts so far, and the deadline in monotonic seconds.
    :param priority: priority of online work, passed to the target.
    :param tried: names of the targets that were already used for this call.
    """

    request: CompletionRequest
    organisation: str
    progress: CallProgress
    priority: int
    tried: set[str] = field(default_factory=set)

    def time_left(self) -> float:
        """Return the seconds until the deadline, at least one millisecond."""
        return max(0.001, self.progress.deadline - monotonic())

    def headers(self) -> dict[str, str]:
        """Return the headers of an attempt, with the deadline as the milliseconds that remain."""
        return {**JSON_HEADERS, HEADER_DEADLINE: str(int(self.time_left() * 1000))}


@dataclass
class StreamState:
    """Progress of a streamed answer.

    :param call_id: id that replaces the one of the target in each event.
    :param forwarded_tokens: number of tokens sent to the caller.
    :param text: text of these tokens, from which another target can continue.
    :param finished: whether the answer is complete.
    """

    call_id: str
    forwarded_tokens: int = 0
    text: str = ""
    finished: bool = False


class CallExecutor:
    """Runs calls at the targets of a pool, with retries.

    :ivar budget: retry budget shared by all calls.
    """

    def __init__(self, pool: TargetPool, rng: random.Random | None = None) -> None:
        self.pool = pool
        self.client = TargetClient()
        self.budget = RetryBudget()
        self.rng = rng or new_rng()

    async def run_unary(self, call: CallContext) -> TargetAnswer:
        """Run a call without streaming and return its answer.

        :raises GradepointError: there is no complete answer. The outcome is "not run" only
            if no attempt can have reached a target, otherwise "unknown".
        """
        self.budget.first_try()
        while True:
            view = await self._acquire_target(call)
            call.progress.tries += 1
            started = monotonic()
            try:
                answer = await self._attempt_unary(call, view)
            except TargetFailure as failure:
                self.pool.note_failure(view, failure)
                await back_off_or_raise(call.progress, failure, self.budget, self.rng)
                continue
            finally:
                self.pool.release(view, call.request.model)
            view.circuit.succeeded()
            metrics.shared().call_time.record(monotonic() - started)
            return answer

    async def _acquire_target(self, call: CallContext) -> TargetView:
        try:
            view = await self.pool.acquire(
                call.request.model,
                call.organisation,
                call.request.prefix,
                call.progress.deadline,
                frozenset(call.tried),
            )
        except GradepointError as error:
            if call.progress.sent:
                error.outcome = Outcome.UNKNOWN
            raise
        call.tried.add(view.name)
        return view

    async def _attempt_unary(self, call: CallContext, view: TargetView) -> TargetAnswer:
        request = call.request
        url = self.pool.urls[view.name] + request.path
        try:
            async with asyncio.timeout(call.time_left()):
                return await self.client.complete(
                    url,
                    request.target_body(call.priority),
                    call.headers(),
                    call.time_left(),
                    fresh=not call.progress.repeatable,
                )
        except TimeoutError as error:
            raise TargetFailure("deadline_exceeded", "deadline passed", not_run=False) from error

    async def run_stream(
        self, call: CallContext, state: StreamState
    ) -> AsyncGenerator[bytes | TargetAnswer, None]:
        """Yield the event payloads of a streamed answer, each token exactly once and in order.

        If the target rejects the request, its :class:`TargetAnswer` is the only item.

        :raises GradepointError: the stream could not be completed.
        """
        self.budget.first_try()
        while not state.finished:
            view = await self._acquire_target(call)
            call.progress.tries += 1
            try:
                async with aclosing(self._attempt_stream(call, state, view)) as payloads:
                    async for payload in payloads:
                        yield payload
            except TargetFailure as failure:
                self.pool.note_failure(view, failure)
                await back_off_or_raise(call.progress, failure, self.budget, self.rng)
                emit(events.STREAM_RESUMED, call=state.call_id, passed=state.forwarded_tokens)
            else:
                view.circuit.succeeded()
            finally:
                self.pool.release(view, call.request.model)

    async def _attempt_stream(
        self, call: CallContext, state: StreamState, view: TargetView
    ) -> AsyncGenerator[bytes | TargetAnswer, None]:
        base_url = self.pool.urls[view.name]
        body = call.request.target_body(call.priority, state.text)
        started = monotonic()
        opened = await self.client.open_stream(
            base_url + call.request.path,
            body,
            call.headers(),
            call.time_left(),
            fresh=not call.progress.repeatable,
        )
        # The response head shows that the target runs the call.
        call.progress.sent = True
        if isinstance(opened, TargetAnswer):
            state.finished = True
            yield opened
            return
        stream_id = opened.stream_id
        resumes = 0
        try:
            while True:
                first = state.forwarded_tokens == 0
                try:
                    async with aclosing(opened.payloads()) as payloads:
                        async for payload in payloads:
                            if first:
                                view.observe_first_token(monotonic() - started)
                                first = False
                            yield self._forward_payload(payload, state)
                            if monotonic() > call.progress.deadline:
                                raise GradepointError("deadline_exceeded")
                    state.finished = True
                    return
                except TargetFailure:
                    resumes += 1
                    if not stream_id or resumes > MAX_RESUMES:
                        raise
                # The target continues the same run, so this does not count as a second one.
                opened = await self.client.resume_stream(
                    base_url,
                    stream_id,
                    state.forwarded_tokens,
                    chat=call.request.chat,
                    timeout_s=call.time_left(),
                )
                metrics.shared().retries.add(1, {"reason": "stream_resumed"})
                emit(events.STREAM_RESUMED, call=state.call_id, passed=state.forwarded_tokens)
        finally:
            opened.response.close()
            if not state.finished and stream_id:
                asyncio.ensure_future(self.client.cancel_stream(base_url, stream_id))

    def _forward_payload(self, payload: bytes, state: StreamState) -> bytes:
        """Count the token of a payload and replace the event id with the id of the call."""
        event = decode_event(payload)
        event["id"] = state.call_id
        for choice in event.get("choices", ()):
            text = read_text(choice)
            if text:
                state.forwarded_tokens += 1
                state.text += text
        return msgspec.json.encode(event)
