"""One online call at the targets: tries, retries, and streams that go on after a break."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from .. import events
from ..errors import GradepointError, Outcome, TargetFailure
from ..routing.retries import CallProgress, RetryBudget
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.chance import new_rng
from ..util.clock import monotonic
from ..wire.http_types import HEADER_DEADLINE
from ..wire.target_client import TargetAnswer, TargetClient
from .attempts import pause_or_give_up

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator

    from ..routing.choice import TargetView
    from .requests import CompletionRequest
    from .targets import TargetPool

JSON_HEADERS = {"content-type": "application/json"}
MOST_RESUMES = 3


@dataclass
class CallContext:
    """One call on its way.

    :param deadline: monotonic seconds.
    """

    request: CompletionRequest
    organisation: str
    progress: CallProgress
    priority: int
    tried: set[str] = field(default_factory=set)

    def time_left(self) -> float:
        """Return the seconds to the deadline, at least a millisecond."""
        return max(0.001, self.progress.deadline - monotonic())

    def headers(self) -> dict[str, str]:
        """Return the headers of a try: the deadline is passed on as remaining time."""
        return {**JSON_HEADERS, HEADER_DEADLINE: str(int(self.time_left() * 1000))}


@dataclass
class StreamState:
    """What has been passed on of a stream.

    :param passed: tokens passed on to the caller.
    :param text: their text, from which another target can go on.
    """

    call_id: str
    passed: int = 0
    text: str = ""
    finished: bool = False


class CallExecutor:
    """Runs calls at targets of a pool."""

    def __init__(self, pool: TargetPool, rng: random.Random | None = None) -> None:
        self.pool = pool
        self.client = TargetClient()
        self.budget = RetryBudget()
        self.rng = rng or new_rng()

    async def run_whole(self, call: CallContext) -> TargetAnswer:
        """Return the whole answer to a call.

        :raises GradepointError: no full answer; its outcome follows the outcome rule.
        """
        self.budget.first_try()
        while True:
            view = await self._acquire(call)
            call.progress.tries += 1
            started = monotonic()
            try:
                answer = await self._try_whole(call, view)
            except TargetFailure as failure:
                self.pool.note_failure(view, failure)
                await pause_or_give_up(call.progress, failure, self.budget, self.rng)
                continue
            finally:
                self.pool.release(view, call.request.model)
            view.circuit.succeeded()
            metrics.shared().call_time.record(monotonic() - started)
            return answer

    async def _acquire(self, call: CallContext) -> TargetView:
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

    async def _try_whole(self, call: CallContext, view: TargetView) -> TargetAnswer:
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
        """Yield the payloads of a streamed answer, each token once and in order.

        A :class:`TargetAnswer` is yielded alone where the target finds the request at fault.

        :raises GradepointError: the stream could not be completed.
        """
        self.budget.first_try()
        while not state.finished:
            view = await self._acquire(call)
            call.progress.tries += 1
            try:
                async with aclosing(self._try_stream(call, state, view)) as pieces:
                    async for piece in pieces:
                        yield piece
            except TargetFailure as failure:
                self.pool.note_failure(view, failure)
                await pause_or_give_up(call.progress, failure, self.budget, self.rng)
                emit(events.STREAM_RESUMED, call=state.call_id, passed=state.passed)
            else:
                view.circuit.succeeded()
            finally:
                self.pool.release(view, call.request.model)

    async def _try_stream(
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
        # Once the head is here, the target runs the call.
        call.progress.sent = True
        if isinstance(opened, TargetAnswer):
            state.finished = True
            yield opened
            return
        stream_id = opened.stream_id
        resumes = 0
        try:
            while True:
                first = state.passed == 0
                try:
                    async with aclosing(opened.payloads()) as payloads:
                        async for payload in payloads:
                            if first:
                                view.observe_first_token(monotonic() - started)
                                first = False
                            yield self._pass_on(payload, state)
                            if monotonic() > call.progress.deadline:
                                raise GradepointError("deadline_exceeded")
                    state.finished = True
                    return
                except TargetFailure:
                    resumes += 1
                    if not stream_id or resumes > MOST_RESUMES:
                        raise
                # The same run goes on, so this is no second run of the call.
                opened = await self.client.resume_stream(
                    base_url,
                    stream_id,
                    state.passed,
                    chat=call.request.chat,
                    timeout_s=call.time_left(),
                )
                metrics.shared().retries.add(1, {"reason": "stream_resumed"})
                emit(events.STREAM_RESUMED, call=state.call_id, passed=state.passed)
        finally:
            opened.response.close()
            if not state.finished and stream_id:
                asyncio.ensure_future(self.client.cancel_stream(base_url, stream_id))

    def _pass_on(self, payload: bytes, state: StreamState) -> bytes:
        """Count a payload's token and give it the call's own id."""
        event: dict[str, Any] = msgspec.json.decode(payload)
        event["id"] = state.call_id
        for choice in event.get("choices", ()):
            text = choice.get("text") or (choice.get("delta") or {}).get("content")
            if text:
                state.passed += 1
                state.text += text
        return msgspec.json.encode(event)
