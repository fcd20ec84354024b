"""Execution of one batch item at a target.

Items are streamed so that the text generated before a cancellation can be continued later.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ..errors import DecodingError, TargetFailure
from ..online.requests import CHAT_PATH
from ..util import decoding
from ..util.clock import wall_seconds
from ..wire.completion_events import decode_event, read_text
from ..wire.target_client import TargetAnswer, TargetClient

if TYPE_CHECKING:
    from .items import Item

JSON_HEADERS = {"content-type": "application/json"}
TOKEN_TIMEOUT_S = 60.0
"""Seconds without a token after which the target counts as lost."""
UNARY_ONLY_FIELDS = ("tools", "logprobs", "n", "best_of", "functions")
"""Request fields whose answers cannot be assembled from stream events; sent unstreamed."""


@dataclass
class ItemAnswer:
    """HTTP status and decoded body of the answer to an item."""

    status: int
    body: Any


@dataclass
class PartialText:
    """The answer to an item as far as it was received; kept when its stream is cancelled."""

    text: str = ""
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None


async def run_item(
    client: TargetClient,
    base_url: str,
    item: Item,
    engine_model: str,
    priority: int,
    partial: PartialText,
) -> ItemAnswer:
    """Run one item and return its answer.

    :param engine_model: name of the model at the target.
    :param priority: priority of batch work, passed to the target.
    :param partial: text of an earlier, cancelled attempt, which the target continues; each
        received token is added.
    :raises TargetFailure: there is no complete answer.
    """
    body = dict(item.body)
    body.update(model=engine_model, priority=priority)
    if any(body.get(name) not in (None, 1, False) for name in UNARY_ONLY_FIELDS):
        return await _run_unary(client, base_url, item, body)
    body.update(stream=True, stream_options={"include_usage": True})
    if partial.text:
        body["continue_text"] = partial.text
    opened = await client.open_stream(
        base_url + item.url,
        msgspec.json.encode(body),
        JSON_HEADERS,
        TOKEN_TIMEOUT_S,
        fresh=not item.repeatable,
    )
    if isinstance(opened, TargetAnswer):
        return ItemAnswer(opened.status, _decode_body(opened.body))
    finished = False
    try:
        async with aclosing(opened.payloads()) as payloads:
            while True:
                try:
                    payload = await asyncio.wait_for(anext(payloads), TOKEN_TIMEOUT_S)
                except StopAsyncIteration:
                    break
                _accumulate(payload, partial)
        finished = True
    except TimeoutError as error:
        raise TargetFailure("target_lost", "the stream fell silent", not_run=False) from error
    finally:
        opened.response.close()
        if not finished and opened.stream_id:
            asyncio.ensure_future(client.cancel_stream(base_url, opened.stream_id))
    return ItemAnswer(200, _build_answer_body(item, partial))


async def _run_unary(
    client: TargetClient, base_url: str, item: Item, body: dict[str, Any]
) -> ItemAnswer:
    answer = await client.complete(
        base_url + item.url,
        msgspec.json.encode(body),
        JSON_HEADERS,
        TOKEN_TIMEOUT_S * 5,
        fresh=not item.repeatable,
    )
    return ItemAnswer(answer.status, _decode_body(answer.body))


def _decode_body(raw: bytes) -> Any:
    try:
        return decoding.decode_json_text(raw)
    except DecodingError:
        return {"error": {"message": raw[:500].decode(errors="replace")}}


def _accumulate(payload: bytes, partial: PartialText) -> None:
    """Add an event to the text received so far.

    :raises TargetFailure: it has another form.
    """
    event = decode_event(payload)
    if event.get("usage"):
        partial.usage = event["usage"]
    for choice in event.get("choices", ()):
        partial.text += read_text(choice)
        partial.finish_reason = choice.get("finish_reason") or partial.finish_reason


def _build_answer_body(item: Item, partial: PartialText) -> dict[str, Any]:
    chat = item.url == CHAT_PATH
    choice: dict[str, Any] = {"index": 0, "finish_reason": partial.finish_reason, "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": partial.text}
    else:
        choice["text"] = partial.text
    body: dict[str, Any] = {
        "object": "chat.completion" if chat else "text_completion",
        "created": wall_seconds(),
        "model": item.body["model"],
        "choices": [choice],
    }
    if partial.usage is not None:
        body["usage"] = partial.usage
    return body
