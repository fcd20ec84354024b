"""A small HTTP/1.1 server side and client, enough for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote, urlsplit

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


@dataclass
class Request:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    path: str = ""
    query: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        parts = urlsplit(self.target)
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))


@dataclass
class Answer:
    """An answer with a whole body."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def answer_json(document: object, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(document).encode(), {"Content-Type": "application/json"})


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers: dict[str, str] = {}
    while (row := await reader.readline()).strip():
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body by its length or its chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readline()
        while (await reader.readline()).strip():
            pass
        return b"".join(pieces)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer with a length."""
    reason = REASONS.get(answer.status, "Status")
    rows = {"Content-Length": str(len(answer.body)), **answer.headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {answer.status} {reason}\r\n{head}\r\n".encode() + answer.body


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Answer | None]]


async def serve(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer the requests of one connection; a handler that returns None has closed it."""
    try:
        while (head := await read_head(reader)) is not None:
            line, headers = head
            method, target, _ = line.split(" ", 2)
            request = Request(method, target, headers, await read_body(reader, headers))
            answer = await handler(request, reader, writer)
            if answer is None:
                return
            writer.write(encode_answer(answer))
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                return
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
        pass
    finally:
        writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer | None:
    """Send one request on a new connection; None without a whole answer in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            rows = {"Host": host, **(headers or {}), "Content-Length": str(len(body))}
            head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                return None
            line, answered = found
            return Answer(int(line.split(" ")[1]), await read_body(reader, answered), answered)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
