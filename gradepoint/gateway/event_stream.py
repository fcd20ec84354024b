"""Splits a ``text/event-stream`` body into complete events, and keeps their bytes unchanged."""

from __future__ import annotations

from ..util.numbers import read_whole_number
from ..util.structs import Struct
from ..wire.sse import END_OF_EVENT, ends_inside_event

MAX_COUNTED_REST_BYTES = 65_536
"""Bytes of an incomplete event that are kept if events are only counted."""


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

    @property
    def inside_event(self) -> bool:
        """Whether the body so far ends inside an event or a line."""
        return ends_inside_event(self.rest)

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the bytes of the events that *chunk* completes, each with its blank line."""
        data = self.rest + chunk
        events: list[bytes] = []
        start = 0
        for end in END_OF_EVENT.finditer(data):
            events.append(data[start : end.end()])
            start = end.end()
        self.rest = data[start:]
        return events

    def count(self, chunk: bytes) -> int:
        """Return the number of events that *chunk* completes, and trim a long incomplete one."""
        events = self.split(chunk)
        self.rest = self.rest[-MAX_COUNTED_REST_BYTES:]
        return len(events)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that *chunk* completes."""
        return [parse_event(raw) for raw in self.split(chunk)]


def parse_event(raw: bytes) -> StreamEvent:
    """Decode one complete event."""
    number: int | None = None
    data: list[bytes] = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            read = read_whole_number(value)
            number = number if read is None else read
    return StreamEvent(raw, number, b"\n".join(data) if data else None)
