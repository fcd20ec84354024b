"""Splits a ``text/event-stream`` body into complete events, and keeps their bytes unchanged."""

from __future__ import annotations

from ..util.numbers import read_whole_number
from ..util.structs import Struct
from ..wire.sse import END_OF_EVENT, ends_inside_event

MAX_COUNTED_REST_BYTES = 65_536
"""Bytes of an incomplete event that are kept if events are only counted."""
MAX_EVENT_BYTES = 1 << 20
"""Maximum bytes of an event, and of comments and blank lines in a row. A target that sends more
does not send the answer to a call."""
MAX_EMPTY_EVENTS = 1000
"""Maximum number of comments and blank lines in a row."""
LONGEST_END_BYTES = 4
"""Bytes of the longest end of an event: two line ends of two bytes each."""


class EventTooLong(Exception):
    """A stream has more than :data:`MAX_EVENT_BYTES`, or :data:`MAX_EMPTY_EVENTS` comments and
    blank lines, without an event that has a number or data."""


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
    :ivar idle_bytes: bytes since the last complete event with a number or data.
    :ivar empty_events: complete events since that one.
    """

    rest: bytes = b""
    idle_bytes: int = 0
    empty_events: int = 0

    @property
    def inside_event(self) -> bool:
        """Whether the body so far ends inside an event or a line."""
        return ends_inside_event(self.rest)

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the bytes of the events that *chunk* completes, each with its blank line.

        :raises EventTooLong: the stream makes no progress.
        """
        searched = max(0, len(self.rest) - LONGEST_END_BYTES)
        data = self.rest + chunk
        events: list[bytes] = []
        start = 0
        self.idle_bytes += len(chunk)
        for end in END_OF_EVENT.finditer(data, searched):
            events.append(data[start : end.end()])
            start = end.end()
            self.empty_events += 1
            if has_content(events[-1]):
                self.idle_bytes, self.empty_events = len(data) - start, 0
            elif self.empty_events > MAX_EMPTY_EVENTS:
                raise EventTooLong
        self.rest = data[start:]
        if self.idle_bytes > MAX_EVENT_BYTES:
            raise EventTooLong
        return events

    def split_and_trim(self, chunk: bytes) -> list[bytes]:
        """Like :meth:`split`; trim a long incomplete event, which will be shortened."""
        events = self.split(chunk)
        self.rest = self.rest[-MAX_COUNTED_REST_BYTES:]
        return events

    def count(self, chunk: bytes) -> int:
        """Return the number of events that *chunk* completes, and trim a long incomplete one.

        :raises EventTooLong: the stream makes no progress.
        """
        return len(self.split_and_trim(chunk))

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that *chunk* completes.

        :raises EventTooLong: the stream makes no progress.
        """
        return [parse_event(raw) for raw in self.split(chunk)]


def has_content(raw: bytes) -> bool:
    """Whether an event may have a number or data, and is no comment or blank line alone."""
    return raw.startswith((b"id", b"data")) or b"\nid" in raw or b"\ndata" in raw


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
