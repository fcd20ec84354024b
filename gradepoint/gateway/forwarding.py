"""Sends calls to targets and reads the heads of their answers.

The exceptions tell whether a target may have run the call, which decides about a retry.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Any

from ..telemetry import metrics
from ..util.clock import monotonic
from ..util.rng import new_rng
from ..util.structs import Struct, field
from ..wire.addresses import split_address
from ..wire.http_client import (
    BodyFraming,
    ConnectFailed,
    ConnectRefused,
    HttpClient,
    ResponseBroken,
)
from ..wire.http_types import EVENT_STREAM_TYPE, is_json
from ..wire.json_nesting import JsonNesting
from .answer_progress import AnswerProgress
from .choice import choose_target, get_load
from .event_stream import EventSplitter, EventTooLong, parse_event

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Awaitable, Callable

    from ..ids import ServiceName, SoftwareVersion, SuspectKey, TargetId
    from ..util.memory_budget import MemoryBudget
    from ..wire.http_client import ClientResponse
    from .dialect import AnswerHead, CallHead, Dialect
    from .event_stream import StreamEvent
    from .identity import RequestIdentity
    from .stream_origins import StreamOrigins
    from .suspicion import Suspicion
    from .target_crashes import CrashDetector
    from .target_loads import TargetLoads
    from .targets import Target, TargetSet

BODY_SLICE_BYTES = 65_536
"""Bytes of a body that are passed to its connection at once."""
FOLLOWED_BYTES_PER_TURN = 4096
"""Bytes of a JSON document that are followed before other tasks run: at most some milliseconds."""
MAX_EVENTS = 1 << 18
"""Most events of an answer whose call does not state how many tokens it may have."""
MAX_EVENTS_PER_TURN = 256
"""Events of one answer that are handled before other tasks run, besides those of one read. A target
that sends tiny events as fast as it can would otherwise keep the event loop to itself."""
MAX_EXPECTED_WAIT_S = 2.0
"""Maximum estimated seconds until a service has a target again. Rows whose leases expired during an
outage of the store are back within this time after it."""


FIRST_FAILURE_STATUS = 500
"""Statuses from here on say that the target failed."""


class OtherInstance(Exception):
    """Another target or incarnation has the address now; the call wasn't run."""


class TargetBusy(Exception):
    """The target states that it did not run the call because it is busy."""


class TargetFailed(Exception):
    """The answer broke, came too late or belongs to another call; the call may have run."""


class AnswerTooLong(TargetFailed):
    """The answer has no end that its call allows, so that none of it can be trusted."""


class AnswerEnd(Enum):
    """How the body of a target's answer ended.

    ``WHOLE`` is the end by the framing of the answer. ``INSIDE_EVENT`` is such an end inside an
    event of a stream, ``EMPTY`` one before its first event, ``INSIDE_DOCUMENT`` one inside a JSON
    document, and ``CRASHED`` one that the crash of the target caused. ``BROKEN`` is a broken
    connection, ``SILENT`` a timeout. ``TOO_LONG`` is an answer that this host has left, since it is
    beyond the bounds of an answer.
    """

    WHOLE = "whole"
    INSIDE_EVENT = "inside_event"
    EMPTY = "empty"
    INSIDE_DOCUMENT = "inside_document"
    CRASHED = "crashed"
    BROKEN = "broken"
    SILENT = "silent"
    TOO_LONG = "too_long"


END_REASONS = {
    AnswerEnd.INSIDE_EVENT: "ended inside an event",
    AnswerEnd.EMPTY: "ended before its first event",
    AnswerEnd.INSIDE_DOCUMENT: "ended inside its document",
    AnswerEnd.CRASHED: "ended by a crash of its target",
}
"""Reasons, as logged, why a body that has ended is not whole."""


class Exchange(Struct, eq=False):
    """An answer of one target whose body is not yet read.

    The call counts as in flight at the target until :meth:`close`.

    :param sent_at: monotonic time at which the call was sent.
    :param on_close: called with this exchange when it is closed.
    :ivar progress: events received so far, which show the pace of the target.
    :ivar splitter: splits the body into events; unused if it is no event stream.
    :ivar needs_event: whether the body is an event stream that has at least one event.
    :ivar document: the body so far, if it is a JSON document that the end of the connection ends.
    :ivar begun_at: monotonic time at which the head of the answer arrived.
    :ivar max_events: most events that the call allows; None if it states no number of tokens.
    :ivar events_at_turn: events received when other tasks could last run.
    """

    target: Target
    response: ClientResponse
    head: AnswerHead
    request: RequestIdentity
    sent_at: float = 0.0
    on_close: Callable[[Exchange], None] = lambda _: None
    closed: bool = False
    progress: AnswerProgress = field(default_factory=AnswerProgress)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    needs_event: bool = False
    document: JsonNesting | None = None
    begun_at: float = field(default_factory=monotonic)
    max_events: int | None = None
    events_at_turn: int = 0

    @property
    def version(self) -> SoftwareVersion:
        """Software version of the target; a row with another one makes another target."""
        return self.target.listed.version

    @property
    def may_be_event_stream(self) -> bool:
        """Whether a successful answer has the content type of event streams, or none."""
        content_type = self.response.headers.get("content-type", EVENT_STREAM_TYPE)
        return self.head.status < 300 and content_type.startswith(EVENT_STREAM_TYPE)

    def follow_document(self) -> None:
        """Follow the body if only its format can tell that its end is missing."""
        if self.request.method == "HEAD" or self.head.status >= 300:
            return
        content_type = self.response.headers.get("content-type", "")
        if self.response.framing is BodyFraming.UNTIL_CLOSE and is_json(content_type):
            self.document = JsonNesting()

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events of a stream that *chunk* completes.

        :raises AnswerTooLong: the stream is beyond the bounds of an answer.
        """
        return [parse_event(raw) for raw in self._split(self.splitter.split, chunk)]

    def count(self, chunk: bytes) -> None:
        """Count the events of a stream that *chunk* completes.

        :raises AnswerTooLong: the stream is beyond the bounds of an answer.
        """
        self._split(self.splitter.split_and_trim, chunk)

    def _split(self, split: Callable[[bytes], list[bytes]], chunk: bytes) -> list[bytes]:
        try:
            events = split(chunk)
        except EventTooLong as error:
            raise self.leave("no event with a number or data") from error
        if events and not self.progress.events:
            self.target.note_writing(self.request)
        self.progress.events += len(events)
        most = MAX_EVENTS if self.max_events is None else self.max_events
        if self.progress.events > most:
            raise self.leave(f"more than {most} events")
        return events

    async def let_others_run(self) -> None:
        """Let other tasks run if many events have been handled since they could last run."""
        if self.progress.events - self.events_at_turn >= MAX_EVENTS_PER_TURN:
            self.events_at_turn = self.progress.events
            await asyncio.sleep(0)

    async def follow(self, chunk: bytes) -> None:
        """Follow the next chunk of a body whose format tells whether its end is missing.

        :raises AnswerTooLong: it is nested too deeply.
        """
        if self.document is None:
            return
        for start in range(0, len(chunk), FOLLOWED_BYTES_PER_TURN):
            if start:
                await asyncio.sleep(0)
            self.document.feed(chunk[start : start + FOLLOWED_BYTES_PER_TURN])
            if self.document.too_deep:
                raise self.leave("nested too deeply")

    def leave(self, reason: str) -> AnswerTooLong:
        """Count an answer beyond the bounds as a failure of its target; return the error."""
        self.count_end(AnswerEnd.TOO_LONG)
        self.target.record_failure(reason)
        return AnswerTooLong(reason)

    def describe_body(self) -> dict[str, Any]:
        """Return log fields that tell how the body is framed and how much of it has arrived."""
        return {
            "framing": self.response.framing.value,
            "body_bytes": self.response.body_bytes,
            "events": self.progress.events,
            "inside_event": self.splitter.inside_event,
        }

    def count_end(self, end: AnswerEnd) -> None:
        """Count how the answer ended, in the metrics."""
        labels = {"framing": self.response.framing.value, "end": end.value}
        metrics.shared().answer_ends.add(1, labels)

    def close(self) -> None:
        """Close the connection; if the answer is incomplete, the target stops working on the call.

        Later calls do nothing.
        """
        if not self.closed:
            self.closed = True
            self.on_close(self)
            self.target.end(self.request)
            self.response.close()


async def slice_body(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in slices, so that its connection never buffers the whole of it."""
    for start in range(0, len(body), BODY_SLICE_BYTES):
        yield body[start : start + BODY_SLICE_BYTES]


async def no_wait() -> None:
    """Return at once."""


class Forwarder(Struct):
    """Selects targets for calls and sends the calls.

    :param failure_domain: failure domain of this host.
    :param remote_in_flight: returns the number of calls that other hosts have in flight at a
        target.
    :param crash_detector: checks whether a target has crashed after a connection to it broke.
    :param suspicion: tracks requests that may have crashed targets.
    :param wait_until_fresh: returns once this host's data is fresh enough to select targets.
    :param loads: pace and expected delay of the targets; None if targets are selected by load.
    :param origins: software versions that began streams; None if they don't matter.
    :param memory: memory for answers that are buffered; None for no limit of their sum.
    :ivar answers: open answers to calls and items of this host.
    :ivar empty_since: monotonic time since which calls have found no target of a service.
    """

    targets: TargetSet
    dialect: Dialect
    http: HttpClient
    failure_domain: str
    remote_in_flight: Callable[[TargetId], int]
    crash_detector: CrashDetector
    suspicion: Suspicion
    rng: random.Random = field(default_factory=new_rng)
    wait_until_fresh: Callable[[], Awaitable[None]] = no_wait
    loads: TargetLoads | None = None
    origins: StreamOrigins | None = None
    memory: MemoryBudget | None = None
    answers: set[Exchange] = field(default_factory=set)
    empty_since: dict[ServiceName, float] = field(default_factory=dict)

    def choose(
        self,
        service: ServiceName,
        tried: set[TargetId],
        accept: Callable[[Target], bool] | None = None,
        version: SoftwareVersion | None = None,
    ) -> Target | None:
        """Return a target for a call, or None if no untried target of the service is available.

        :param accept: returns whether a candidate may be chosen; all may be by default.
        :param version: software version that the target must have; None for any.
        """
        now = monotonic()
        candidates = self.targets.candidates(service, now, version)
        if candidates:
            self.empty_since.pop(service, None)
        elif version is None:
            self.empty_since.setdefault(service, now)
        if accept is not None:
            candidates = [target for target in candidates if accept(target)]
        return choose_target(
            candidates,
            self.failure_domain,
            tried,
            self.remote_in_flight,
            self.rng,
            self.suspicion.find_reserved(),
            self.loads,
        )

    def estimate_wait_s(self, service: ServiceName) -> float:
        """Estimate the seconds until a service has a target again; 0 if it has one.

        An outage is expected to last about as long again as it has lasted so far. A caller that
        comes back earlier wastes one of its few retries.
        """
        since = self.empty_since.get(service)
        return 0.0 if since is None else min(MAX_EXPECTED_WAIT_S, monotonic() - since)

    async def send(
        self,
        target: Target,
        request: RequestIdentity,
        head: CallHead,
        remaining_s: float,
        *,
        resume_after: int | None = None,
        head_timeout_s: float | None = None,
        fresh: bool = False,
    ) -> Exchange:
        """Send a call to *target* and read the head of its answer.

        :param remaining_s: seconds left for the call, as sent to the target.
        :param resume_after: number of the last event that the caller has; None for a new call.
        :param head_timeout_s: seconds until the head of the answer counts as lost; *remaining_s* by
            default.
        :param fresh: use a new connection instead of an idle one.
        :raises ConnectFailed: nothing was sent.
        :raises OtherInstance: nothing was run.
        :raises TargetBusy: nothing was run.
        :raises TargetFailed: the call may have run.
        """
        headers = self.dialect.write_call(head, target.name, remaining_s, resume_after)
        body: bytes | AsyncIterator[bytes] = request.body
        if len(request.body) > BODY_SLICE_BYTES:
            headers = [*headers, ("content-length", str(len(request.body)))]
            body = slice_body(request.body)
        sent_at = monotonic()
        target.begin(request)
        try:
            response = await self.http.send(
                split_address(target.address),
                request.method,
                request.path,
                body,
                headers,
                timeout_s=head_timeout_s if head_timeout_s is not None else remaining_s,
                fresh=fresh,
            )
        except ConnectRefused:
            target.end(request)
            self.crash_detector.note_closed(target)
            raise
        except ConnectFailed as error:
            target.end(request)
            target.record_failure(str(error), unreachable=True)
            raise
        except ResponseBroken as error:
            self.crash_detector.note_broken(target)
            target.end(request)
            target.record_failure(str(error))
            raise TargetFailed(str(error)) from error
        except BaseException:
            target.end(request)
            raise
        exchange = Exchange(
            target,
            response,
            self.dialect.read_answer(response),
            request,
            sent_at,
            self.answers.discard,
            max_events=head.max_events,
        )
        self.answers.add(exchange)
        self._check_head(exchange, head)
        return exchange

    def find_writing(self) -> dict[SuspectKey, float]:
        """Return, by part of prompts, for how many seconds a target has been writing an answer.

        Of several answers the longest counts. A silent answer counts until its last event.
        """
        found: dict[SuspectKey, float] = {}
        for exchange in self.answers:
            seconds = exchange.progress.risen_at - exchange.begun_at
            if seconds > 0.0 and exchange.target.closed_at is None:
                for key, part in exchange.request.suspects.items():
                    if part is not None:
                        found[key] = max(seconds, found.get(key, 0.0))
        return found

    async def check_end(self, exchange: Exchange) -> None:
        """Check that an answer whose body has ended is whole.

        A body without a length or chunks also ends when its target breaks it off or crashes.

        :raises TargetFailed: the body ends inside an event or a document, or without any event, or
            its target has crashed.
        """
        end = AnswerEnd.WHOLE
        if exchange.splitter.inside_event:
            end = AnswerEnd.INSIDE_EVENT
            self.crash_detector.note_broken(exchange.target)
        elif exchange.response.framing is BodyFraming.UNTIL_CLOSE:
            if exchange.needs_event and not exchange.progress.events:
                end = AnswerEnd.EMPTY
                self.crash_detector.note_broken(exchange.target)
            elif exchange.document is not None and exchange.document.incomplete:
                end = AnswerEnd.INSIDE_DOCUMENT
                self.crash_detector.note_broken(exchange.target)
            elif not await self.crash_detector.confirm_running(exchange.target):
                end = AnswerEnd.CRASHED
        exchange.count_end(end)
        if end is not AnswerEnd.WHOLE:
            reason = END_REASONS[end]
            exchange.target.record_failure(reason)
            raise TargetFailed(reason)

    def _check_head(self, exchange: Exchange, head: CallHead) -> None:
        answer = exchange.head
        if answer.request_id is not None and answer.request_id != head.request_id:
            exchange.close()
            exchange.target.record_failure("an answer to another call")
            raise TargetFailed("an answer to another call")
        if answer.request_id is None and head.request_id and not _may_lack_id(answer):
            exchange.close()
            exchange.target.record_failure("an answer to no call")
            raise TargetFailed("an answer to no call")
        if answer.other_instance:
            exchange.close()
            self.targets.note_other_instance(exchange.target)
            raise OtherInstance
        self.crash_detector.note_answer(exchange.target)
        if answer.not_run and answer.status in (429, 503):
            if get_load(exchange.target, self.remote_in_flight) <= 1.0:
                exchange.target.record_failure("refuses calls although it has free slots")
            exchange.close()
            raise TargetBusy


def _may_lack_id(answer: AnswerHead) -> bool:
    """Whether an answer counts although it names no request.

    A failing target may not have read the request. Other answers without its ID come from something
    that is no target and listens at a listed address.
    """
    return answer.status >= FIRST_FAILURE_STATUS or answer.not_run or answer.other_instance
