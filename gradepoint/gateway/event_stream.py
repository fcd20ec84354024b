"""Splits a ``text/event-stream`` body into complete events, and keeps their bytes unchanged."""

from __future__ import annotations

from ..util.structs import Struct, field

END_OF_EVENT = b"\n\n"


class StreamEvent(Struct, frozen=True):
    """One event.

    :param raw: its bytes, including the blank line at the end.
    :param number: its numeric ``id``; None if it has none.
    :param data: its ``data`` lines, joined by line feeds; None if it has none.
    """

    raw: bytes
    number: int | None
    data: bytes | None


class EventSplitter(Struct):
    """Collects chunks of a body and returns events once they are complete.

    :ivar rest: bytes after the last complete event.
    """

    rest: bytes = b""
    events: list[StreamEvent] = field(default_factory=list)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that *chunk* completes."""
        self.rest += chunk
        *whole, self.rest = self.rest.split(END_OF_EVENT)
        return [parse_event(raw + END_OF_EVENT) for raw in whole]


def parse_event(raw: bytes) -> StreamEvent:
    """Decode one complete event."""
    number: int | None = None
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
    return StreamEvent(raw, number, b"\n".join(data) if data else None)
