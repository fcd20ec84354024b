"""Server-sent events: encoding and incremental decoding of their ``data:`` lines."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

DONE = b"[DONE]"
"""Payload of the event that ends a complete stream."""
END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
"""The end of an event's last line and the blank line after it."""


def encode(value: Any) -> bytes:
    """Return *value* as one event with a JSON payload."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def encode_raw(payload: bytes) -> bytes:
    """Return *payload*, a single line, as one event."""
    return b"data: " + payload + b"\n\n"


async def decode(pieces: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    """Yield the payload of each event in a body; comments and events without data are skipped."""
    rest = b""
    async for piece in pieces:
        *events, rest = END_OF_EVENT.split(rest + piece)
        for event in events:
            payload = _payload(event)
            if payload is not None:
                yield payload


def ends_inside_event(body: bytes) -> bool:
    """Whether a body ends inside an event or a line.

    Blank lines and complete comment lines do not begin an event.
    """
    rest = END_OF_EVENT.split(body)[-1]
    lines = rest.replace(b"\r\n", b"\n").split(b"\n")
    return bool(lines[-1]) or any(line and not line.startswith(b":") for line in lines)


def _payload(event: bytes) -> bytes | None:
    lines = event.replace(b"\r\n", b"\n").split(b"\n")
    data = [line[5:].lstrip(b" ") for line in lines if line.startswith(b"data:")]
    return b"\n".join(data) if data else None
