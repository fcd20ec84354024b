"""A target whose answers are framed and ended as a test demands."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from bench.platform.target import SEAL, TargetStandin, event_bytes
from gradepoint.wire.http_client import BodyFraming


class BodyEnd(Enum):
    """How a connection goes on after the last byte that the target sends.

    ``CLOSE`` ends it in order, ``RESET`` resets it, and ``SILENCE`` leaves it open.
    """

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


@dataclass(frozen=True)
class ScriptedAnswer:
    """One streamed answer.

    :param stop_before: number of the first event that is not sent whole; None sends all events.
    :param partial_bytes: bytes sent of that event.
    :param ends_regularly: whether a chunked body gets its last chunk although events are missing.
    :param newline: the end of a line in the stream.
    :param content_type: type of the body.
    :param document: the body, if it is no event stream.
    :param status_line: first line of the answer.
    :param headers: headers beside those of a sound answer.
    :param interim: bytes before the first line.
    :param unnumbered_from: number of the first event that is sent without its number.
    """

    framing: BodyFraming
    stop_before: int | None = None
    partial_bytes: int = 0
    end: BodyEnd = BodyEnd.CLOSE
    ends_regularly: bool = False
    newline: bytes = b"\n"
    content_type: str = "text/event-stream"
    document: bytes = b""
    status_line: str = "HTTP/1.1 200 OK"
    headers: tuple[str, ...] = ()
    interim: bytes = b""
    unnumbered_from: int | None = None

    def __str__(self) -> str:
        return f"{self.framing.value}-{self.stop_before}-{self.partial_bytes}-{self.end.value}"

    def events(self, request_id: str, first: int, count: int) -> list[bytes]:
        """Return the events from *first* on of a stream of *count*, or the document."""
        if self.document:
            return [self.document]
        events = [event_bytes(request_id, number) for number in range(first, count)]
        if self.unnumbered_from is not None:
            kept = max(0, self.unnumbered_from - first)
            unnumbered = [event.partition(b"\n")[2] for event in events[kept:]]
            events = [*events[:kept], *unnumbered]
        return [event.replace(b"\n", self.newline) for event in events]


@dataclass
class ScriptedTarget(TargetStandin):
    """Gives each request the next of its scripted answers; the last one applies to all later ones.

    :ivar answers: the answers; targets that share the list share the order.
    :ivar crashes_at_end: whether the target stops listening as it ends an incomplete answer.
    """

    answers: list[ScriptedAnswer] = field(default_factory=list)
    crashes_at_end: bool = False

    def __post_init__(self) -> None:
        self.server = ScriptedServer(self)  # type: ignore[assignment]


class ScriptedServer:
    """Serves one request per connection.

    :ivar writers: writers of all connections; one that is collected closes its connection.
    """

    def __init__(self, target: ScriptedTarget) -> None:
        self.target = target
        self.port = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, address: str, port: int) -> None:
        """Start listening; port 0 picks a free one."""
        self.listener = await asyncio.start_server(self._serve, address, port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Stop listening."""
        self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        headers = dict(
            line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if line
        )
        await reader.readexactly(int(headers.get("content-length", "0")))
        answers = self.target.answers
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        self._send(writer, answer, headers)
        complete = answer.stop_before is None
        if self.target.crashes_at_end and not complete:
            self.abort()
        if answer.end is BodyEnd.RESET:
            # The bytes sent so far arrive before the reset.
            asyncio.get_running_loop().call_later(0.01, writer.transport.abort)
        elif answer.end is BodyEnd.CLOSE:
            writer.close()

    def _send(
        self, writer: asyncio.StreamWriter, answer: ScriptedAnswer, headers: dict[str, str]
    ) -> None:
        request_id = headers["x-attempt-id"]
        self.target.ran[request_id] += 1
        first = int(headers.get("last-event-id", "-1")) + 1
        events = answer.events(request_id, first, self.target.events)
        sent = events
        if answer.stop_before is not None:
            kept = max(0, answer.stop_before - first)
            sent = [*events[:kept], *(event[: answer.partial_bytes] for event in events[kept:][:1])]
        fields = [f"x-attempt-id: {request_id}", f"{SEAL}: {self.target.name}.{request_id}"]
        fields += [f"content-type: {answer.content_type}", "connection: close"]
        if answer.framing is BodyFraming.LENGTH:
            fields.append(f"content-length: {len(b''.join(events))}")
        elif answer.framing is BodyFraming.CHUNKED:
            fields.append("transfer-encoding: chunked")
            sent = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in sent if piece]
            if answer.stop_before is None or answer.ends_regularly:
                sent.append(b"0\r\n\r\n")
        lines = "\r\n".join([answer.status_line, *fields, *answer.headers, "", ""])
        writer.write(answer.interim + lines.encode("latin-1"))
        for piece in sent:
            writer.write(piece)
