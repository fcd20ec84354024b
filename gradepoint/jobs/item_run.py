"""One run of a batch item at a target; it resumes after the last event that is known."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..gateway.dialect import CallHead
from ..gateway.forwarding import AnswerEnd, AnswerTooLong, TargetFailed
from ..ids import RequestId
from ..wire.http_client import ResponseBroken, find_request_fault

if TYPE_CHECKING:
    from ..gateway.forwarding import Exchange, Forwarder
    from ..gateway.identity import RequestIdentity
    from ..gateway.targets import Target
    from ..ids import OrganisationName
    from .records import Item, PartialText

RUN_TIMEOUT_S = 15.0
"""Time left, in seconds, that is sent to the target with an item. After it, the target drops an
item whose answer is not read any more."""
EVENT_TIMEOUT_S = 1.5
"""Seconds without an event after which an item is resumed at another target. This is far above the
pause of a preempted request and far below the time in which a job is due."""
MAX_ANSWER_BYTES = 32 << 20
"""Maximum bytes of one answer to an item that states no number of tokens; the texts of running
items are held in memory."""
HTTP_UNPROCESSABLE = 422


class ItemUnprocessable(Exception):
    """The target answered that the item can never be processed; it is not retried."""


class ItemFailed(Exception):
    """The target ran the item and failed; the item has a limited number of such attempts."""


async def run_item(
    forwarder: Forwarder,
    target: Target,
    item: Item,
    request: RequestIdentity,
    partial: PartialText,
    organisation: OrganisationName | None = None,
) -> str:
    """Run an item at *target* and return its complete text.

    :param request: identity of the item's request.
    :param partial: the text received so far, also by earlier runs; each event is appended.
    :param organisation: organisation that the job belongs to.
    :raises ItemUnprocessable: the item can never be processed.
    :raises ItemFailed: the target ran the item and failed.
    :raises TargetFailed: the target answered with another error, or its answer broke off.
    :raises ConnectFailed: like the other errors of :meth:`Forwarder.send`.
    """
    if find_request_fault(item.path, [*item.headers, ("id", item.id)], item.body):
        # Accepted by a program of an earlier version, which tried it for ever.
        raise ItemUnprocessable
    headers = item.encode_headers()
    head = CallHead(
        request_id=RequestId(item.id),
        host=request.host,
        remaining_s=None,
        resume_after=None,
        forwarded_headers=headers,
        max_events=forwarder.dialect.read_max_events(headers),
    )
    if organisation is not None:
        head = forwarder.dialect.set_caller(head, organisation)
    exchange = await forwarder.send(
        target,
        request,
        head,
        RUN_TIMEOUT_S,
        resume_after=partial.last_event,
        head_timeout_s=EVENT_TIMEOUT_S * 2,
    )
    try:
        _check_status(exchange)
        await _read_events(forwarder, exchange, partial)
    except AnswerTooLong:
        partial.discard()
        raise
    finally:
        exchange.close()
    return "\n".join(partial.data)


def _check_status(exchange: Exchange) -> None:
    status = exchange.head.status
    if status == HTTP_UNPROCESSABLE:
        raise ItemUnprocessable
    if status == 500:
        raise ItemFailed("answered 500")
    if status >= 300:
        raise TargetFailed(f"answered {status}")


async def _read_events(forwarder: Forwarder, exchange: Exchange, partial: PartialText) -> None:
    """Append every event of an answer to *partial*; return at the end of the answer."""
    exchange.needs_event = partial.last_event is None
    chunks = exchange.response.stream()
    while True:
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                chunk = await anext(chunks, None)
        except (ResponseBroken, TimeoutError) as error:
            silent = isinstance(error, TimeoutError)
            exchange.count_end(AnswerEnd.SILENT if silent else AnswerEnd.BROKEN)
            forwarder.crash_detector.note_broken(exchange.target)
            exchange.target.record_failure(repr(error))
            raise TargetFailed(repr(error)) from error
        if chunk is None:
            break
        for event in exchange.feed(chunk):
            _append(partial, event.number, event.data)
        await exchange.let_others_run()
        if exchange.max_events is None and exchange.response.body_bytes > MAX_ANSWER_BYTES:
            raise exchange.leave(f"more than {MAX_ANSWER_BYTES} bytes")
    await forwarder.check_end(exchange)


def _append(partial: PartialText, number: int | None, data: bytes | None) -> None:
    """Append an event to *partial*, which stays unchanged if the event is invalid.

    :raises TargetFailed: the data is not UTF-8, or an event number was skipped or repeated.
    """
    try:
        text = None if data is None else data.decode()
    except UnicodeDecodeError as error:
        raise TargetFailed(f"data of event {number} is not UTF-8 text") from error
    if number is not None:
        if partial.last_event is not None and number != partial.last_event + 1:
            raise TargetFailed(f"event {number} came after event {partial.last_event}")
        partial.last_event = number
    if text is not None:
        partial.data.append(text)
