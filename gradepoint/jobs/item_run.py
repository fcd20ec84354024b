"""One run of a batch item at a target: its text, from its last known event on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..gateway.dialect import CallHead
from ..gateway.event_stream import EventSplitter
from ..gateway.forwarding import TargetFailed
from ..ids import RequestId
from ..wire.http_client import ResponseBroken

if TYPE_CHECKING:
    from ..gateway.forwarding import Exchange, Forwarder
    from ..gateway.identity import RequestIdentity
    from ..gateway.targets import Target
    from ..ids import OrganisationName
    from .records import Item, PartialText

RUN_LIMIT_S = 15.0
"""Seconds after which a target drops an item that nobody reads any more."""
SILENCE_S = 1.5
"""Seconds without an event until an item goes on at another target: far above the pause of
a preempted request, and far below the time in which a job is due."""
CANNOT_BE_DONE = 422


class ItemImpossible(Exception):
    """The target states that the item can never be done."""


class ItemFailed(Exception):
    """The target ran the item and failed."""


async def read_item(
    forwarder: Forwarder,
    target: Target,
    item: Item,
    request: RequestIdentity,
    partial: PartialText,
    organisation: OrganisationName | None = None,
) -> str:
    """Run an item at *target* and return its whole text.

    :param request: what the item asks for.
    :param partial: what is known of the text; it grows with each event that comes.
    :param organisation: whose job it is of.
    :raises ItemImpossible: the item can never be done.
    :raises ItemFailed: the target ran the item and failed.
    :raises ConnectFailed: and what else :meth:`Forwarder.send` raises.
    """
    head = CallHead(
        request_id=RequestId(item.id),
        host=request.host,
        remaining_s=None,
        resume_after=None,
        passed_on=[
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in item.headers
        ],
    )
    if organisation is not None:
        head = forwarder.dialect.claim_call(head, organisation)
    exchange = await forwarder.send(
        target,
        request,
        head,
        RUN_LIMIT_S,
        resume_after=partial.last_event,
        head_timeout_s=SILENCE_S * 2,
    )
    try:
        _check_status(exchange)
        await _read_events(forwarder, exchange, partial)
    finally:
        exchange.close()
    return "\n".join(partial.data)


def _check_status(exchange: Exchange) -> None:
    status = exchange.head.status
    if status == CANNOT_BE_DONE:
        raise ItemImpossible
    if status == 500:
        raise ItemFailed("answered 500")
    if status >= 300:
        raise TargetFailed(f"answered {status}")


async def _read_events(forwarder: Forwarder, exchange: Exchange, partial: PartialText) -> None:
    """Append every event of an answer to *partial*; return at its end."""
    splitter = EventSplitter()
    pieces = exchange.response.stream()
    while True:
        try:
            async with asyncio.timeout(SILENCE_S):
                piece = await anext(pieces, None)
        except (ResponseBroken, TimeoutError) as error:
            forwarder.ends.note_broken(exchange.target)
            exchange.target.record_failure(repr(error))
            raise TargetFailed(repr(error)) from error
        if piece is None:
            break
        for event in splitter.feed(piece):
            _append(partial, event.number, event.data)
    if splitter.rest:
        raise TargetFailed("ended within an event")


def _append(partial: PartialText, number: int | None, data: bytes | None) -> None:
    """Take a whole event, or nothing of it."""
    try:
        text = None if data is None else data.decode()
    except UnicodeDecodeError as error:
        raise TargetFailed(f"event {number} is no text") from error
    if number is not None:
        if partial.last_event is not None and number != partial.last_event + 1:
            raise TargetFailed(f"event {number} came after event {partial.last_event}")
        partial.last_event = number
    if text is not None:
        partial.data.append(text)
