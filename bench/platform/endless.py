"""A target that answers with bytes that never end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count

from .target import SEAL, TargetStandin

BLOCK_BYTES = 65_536
STREAM = "content-type: text/event-stream"
CHUNKED = "transfer-encoding: chunked"
HUGE_LENGTH = f"content-length: {10**15}"


def repeat(piece: bytes) -> Callable[[], Iterator[bytes]]:
    """Return a function that yields blocks of one repeated piece."""
    block = piece * (BLOCK_BYTES // len(piece))

    def blocks() -> Iterator[bytes]:
        while True:
            yield block

    return blocks


def rising_events() -> Iterator[bytes]:
    """Yield well-formed events with rising numbers."""
    for number in count():
        yield b"id: %d\ndata: x\n\n" % number


@dataclass(frozen=True)
class EndlessBody:
    """Header lines and body of one kind of answer.

    :param blocks: yields the blocks of the body.
    :param is_chunk: whether each block is one chunk.
    """

    headers: tuple[str, ...]
    blocks: Callable[[], Iterator[bytes]]
    is_chunk: bool = False


BODIES = {
    "length": EndlessBody((HUGE_LENGTH,), repeat(b"x")),
    "chunks": EndlessBody((CHUNKED,), repeat(b"x"), is_chunk=True),
    "tiny-chunks": EndlessBody((CHUNKED,), repeat(b"1\r\nx\r\n")),
    "until-close": EndlessBody((), repeat(b"x")),
    "json": EndlessBody(("content-type: application/json",), repeat(b'{"a":[')),
    "line": EndlessBody((STREAM, CHUNKED), repeat(b"x"), is_chunk=True),
    "line-until-close": EndlessBody((STREAM,), repeat(b"data: ")),
    "line-of-tiny-chunks": EndlessBody((STREAM, CHUNKED), repeat(b"1\r\nx\r\n")),
    "blank-lines": EndlessBody((STREAM,), repeat(b"\n")),
    "comments": EndlessBody((STREAM,), repeat(b": x\n\n")),
    "events": EndlessBody((STREAM,), rising_events),
    "events-without-number": EndlessBody((STREAM,), repeat(b"data: x\n\n")),
}
"""Bodies by name. Those of event streams come last."""


class EndlessServer:
    """Answers each request with the body of its target, until the connection closes.

    :ivar sent_bytes: bytes sent on each connection.
    """

    def __init__(self, target: EndlessTarget) -> None:
        self.target = target
        self.port = 0
        self.sent_bytes: list[int] = []

    async def start(self, address: str, port: int) -> None:
        """Start listening; port 0 picks a free one."""
        self.listener = await asyncio.start_server(self._serve, address, port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Stop listening."""
        self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            rows = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            await reader.readexactly(int(rows.get("content-length", "0")))
            await self._send(writer, rows["x-attempt-id"])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        self.target.ran[request_id] += 1
        body = self.target.body
        fields = [f"x-attempt-id: {request_id}", f"{SEAL}: {self.target.name}.{request_id}"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *fields, *body.headers, "", ""]).encode())
        for block in body.blocks():
            writer.write(b"%x\r\n%b\r\n" % (len(block), block) if body.is_chunk else block)
            await writer.drain()
            self.sent_bytes[number] += len(block)


@dataclass
class EndlessTarget(TargetStandin):
    """A target whose answers never end."""

    body: EndlessBody = BODIES["until-close"]

    def __post_init__(self) -> None:
        self.server = EndlessServer(self)  # type: ignore[assignment]
