"""An HTTP/1.1 client with pooled connections, built on h11.

The errors state whether any byte of the request can have reached the server. The outcome of a
call depends on it: see docs/design/outcomes.md.
"""

from __future__ import annotations

import asyncio
import re
import socket
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import h11

from ..util.clock import monotonic
from ..util.numbers import read_whole_number
from .transports import set_read_size

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    Headers = Mapping[str, str] | Sequence[tuple[str, str]]

READ_SIZE_BYTES = 65536
MAX_IDLE_PER_ORIGIN = 256
MAX_INCOMPLETE_EVENT_BYTES = 1 << 20
MAX_BODY_BYTES = 64 << 20
"""Maximum bytes of a response body, unless a client has another maximum."""
MAX_EVENTS_PER_TURN = 32
"""HTTP events of one connection that are handled before other tasks run. A server that sends tiny
chunks as fast as it can would otherwise keep the event loop to itself."""
MAX_TINY_CHUNKS = 1024
"""Chunks from which their mean size is checked; they take some hundredths of a second of processor
time."""
MIN_MEAN_CHUNK_BYTES = 2
"""Minimum mean size in bytes of that many chunks."""
STATUSES_WITHOUT_BODY = (204, 304)
STATUS_SWITCHING_PROTOCOLS = 101
STATUS_NO_CONTENT = 204
MAX_STATUS = 599
"""Largest status; its first digit states the class of an answer, of which there are five."""
HTTP_VERSIONS = (b"1.0", b"1.1")
"""Versions that an answer may have; another one may have another format."""
MAX_INTERIM_RESPONSES = 16
"""Maximum number of responses of status 1xx before the final one."""
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that no header value may have. h11 accepts most of them, and a caller's client may reject
an answer that has any."""
KEEP_ALIVE_SHARE = 0.8
"""Share of the keep-alive time announced by the server during which an idle connection may be
reused. The rest covers the time that a request takes to reach the server."""


class ConnectFailed(Exception):
    """No connection could be made, so no byte of the request was sent."""


class ConnectRefused(ConnectFailed):
    """The connection was refused because no process listens there; no byte was sent."""


class ResponseBroken(Exception):
    """The connection failed after bytes of the request may have been sent."""


class BodyFraming(Enum):
    """How the end of a response body is recognised (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until_close"


class PooledConnection:
    """One connection to an origin, used for one request at a time.

    :ivar reusable_until: monotonic time after which it must not be used again.
    :ivar reused: it was taken from the idle connections for the current request.
    :ivar idle_watcher: task that closes it on unexpected input while it is idle.
    :ivar events_in_turn: HTTP events handled since other tasks could run.
    :ivar pending_event: HTTP event that was taken from the received bytes and not handled yet.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE_EVENT_BYTES)
        self.reusable_until = float("inf")
        self.reused = False
        self.idle_watcher: asyncio.Task[None] | None = None
        self.events_in_turn = 0
        self.pending_event: object | None = None

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    def poll_event(self) -> object | None:
        """Return the next HTTP event in the received bytes, or None without one.

        :raises h11.RemoteProtocolError: the received bytes are not well-formed.
        """
        self.events_in_turn += 1
        event = self.pending_event or self.h11.next_event()
        self.pending_event = None
        return None if event is h11.NEED_DATA else event

    async def next_event(self) -> object:
        """Return the next HTTP event; let other tasks run after many.

        :raises ResponseBroken: the connection failed, or what arrived is not well-formed.
        """
        if self.events_in_turn >= MAX_EVENTS_PER_TURN:
            self.events_in_turn = 0
            await asyncio.sleep(0)
        try:
            while (event := self.poll_event()) is None:
                self.h11.receive_data(await self.reader.read(READ_SIZE_BYTES))
            return event
        except OSError as error:
            self.close()
            raise ResponseBroken(f"connection failed: {error!r}") from error
        except h11.RemoteProtocolError as error:
            self.close()
            raise ResponseBroken(f"not well-formed HTTP: {error}") from error

    async def next_head(self) -> h11.Response:
        """Return the head of the final response.

        :raises ResponseBroken: the connection failed, or what arrived is no valid response.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            head = await self.next_event()
            if not isinstance(head, (h11.InformationalResponse, h11.Response)):
                raise ResponseBroken("connection closed before the response")
            fault = find_head_fault(head)
            if fault is not None:
                raise ResponseBroken(f"not a valid response: {fault}")
            if isinstance(head, h11.Response):
                return head
        raise ResponseBroken(f"more than {MAX_INTERIM_RESPONSES} responses before the final one")

    @property
    def usable(self) -> bool:
        """Whether the connection seems open and its keep-alive time has not passed."""
        return (
            not self.reader.at_eof()
            and not self.writer.is_closing()
            and monotonic() < self.reusable_until
        )

    def watch_while_idle(self) -> None:
        """Close the connection as soon as anything arrives on it while it is idle.

        Bytes that arrive then belong to no request, and an end of file means that the server has
        closed the connection.
        """
        self.idle_watcher = asyncio.ensure_future(self._close_at_first_byte())

    async def _close_at_first_byte(self) -> None:
        try:
            await self.reader.read(1)
        except OSError:
            pass
        self.close()

    async def stop_watching(self) -> None:
        """Stop the idle watcher, before a request is sent."""
        if self.idle_watcher is None:
            return
        # The watcher reads what has arrived so far. Without this turn it would be cancelled first,
        # and bytes that belong to no request would be read as the answer to the next one.
        await asyncio.sleep(0)
        self.idle_watcher.cancel()
        await asyncio.wait([self.idle_watcher])
        self.idle_watcher = None


class ClientResponse:
    """A response whose head has been read. It must be read to the end or closed.

    :ivar trailers: trailing headers, in lower case; filled at the end of the body.
    :ivar framing: how the end of the body is recognised.
    :ivar body_bytes: bytes of the body read so far.
    :ivar pieces: pieces in which they arrived.
    """

    def __init__(
        self,
        client: HttpClient,
        origin: tuple[str, int],
        connection: PooledConnection,
        head: h11.Response,
    ) -> None:
        self.client = client
        self.origin = origin
        self.connection = connection
        self.status = head.status_code
        self.raw_headers: list[tuple[bytes, bytes]] = list(head.headers)
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1") for name, value in head.headers
        }
        self.trailers: dict[str, str] = {}
        self.framing = _find_framing(self.status, self.headers)
        self.body_bytes = 0
        self.pieces = 0
        self.finished = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece.

        :raises ResponseBroken: the connection failed, or the response was closed, before the end
            of the body, or the body is beyond the bounds of a response.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                data = self._collect(event)
                self._check_bounds()
                yield data
            elif isinstance(event, h11.EndOfMessage) and not self.finished:
                self.trailers = {
                    name.decode("latin-1").lower(): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._finish()
                return
            else:
                raise ResponseBroken("connection closed within the body")

    def _collect(self, first: h11.Data) -> bytes:
        """Return a piece of the body, joined with those that have already arrived."""
        pieces = [bytes(first.data)]
        while len(pieces) < MAX_EVENTS_PER_TURN:
            try:
                event = self.connection.poll_event()
            except h11.RemoteProtocolError:
                # The next read raises it again.
                break
            if not isinstance(event, h11.Data):
                self.connection.pending_event = event
                break
            pieces.append(bytes(event.data))
        self.pieces += len(pieces)
        data = b"".join(pieces)
        self.body_bytes += len(data)
        return data

    def _check_bounds(self) -> None:
        """Close the connection if the body is too long or comes in too small pieces.

        :raises ResponseBroken: it is.
        """
        mean_bytes = self.body_bytes / self.pieces
        if self.body_bytes > self.client.max_body_bytes:
            reason = f"body longer than {self.client.max_body_bytes} bytes"
        elif self.pieces >= MAX_TINY_CHUNKS and mean_bytes < MIN_MEAN_CHUNK_BYTES:
            reason = f"body in chunks of {mean_bytes:.1f} bytes"
        else:
            return
        self.close()
        raise ResponseBroken(reason)

    async def read(self) -> bytes:
        """Read the rest of the body and return it.

        :raises ResponseBroken: the connection failed before the end of the body.
        """
        return b"".join([piece async for piece in self.stream()])

    def _finish(self) -> None:
        self.finished = True
        connection = self.connection
        both_done = connection.h11.our_state is h11.DONE and connection.h11.their_state is h11.DONE
        if both_done and not connection.h11.trailing_data[0]:
            connection.h11.start_next_cycle()
            connection.reusable_until = monotonic() + _keep_alive_s(self.headers)
            self.client.release(self.origin, connection)
        else:
            connection.close()

    def close(self) -> None:
        """Discard the response; unless it was read to the end, its connection is closed."""
        if not self.finished:
            self.finished = True
            self.connection.close()


class HttpClient:
    """Sends requests and keeps a pool of idle connections for each origin.

    :param connect_timeout_s: seconds within which a connection must be made.
    :param tcp_user_timeout_ms: milliseconds that sent data may stay unacknowledged before the
        connection is closed (``TCP_USER_TIMEOUT``); 0 leaves the default of the system.
    :param max_idle_per_origin: idle connections kept for one origin; the oldest is closed first.
    :param max_body_bytes: maximum bytes of a response body, declared or received.
    :param read_bytes: bytes that are taken from a socket at once. Twice as many may wait to be
        read; more stay in the socket.
    :ivar connections_opened: number of connections made so far.
    :ivar idle: idle connections by origin, the most recently used last.
    """

    def __init__(
        self,
        connect_timeout_s: float = 1.0,
        tcp_user_timeout_ms: int = 0,
        max_idle_per_origin: int = MAX_IDLE_PER_ORIGIN,
        max_body_bytes: int = MAX_BODY_BYTES,
        read_bytes: int = READ_SIZE_BYTES,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.tcp_user_timeout_ms = tcp_user_timeout_ms
        self.max_idle_per_origin = max_idle_per_origin
        self.max_body_bytes = max_body_bytes
        self.read_bytes = read_bytes
        self.connections_opened = 0
        self.idle: dict[tuple[str, int], list[PooledConnection]] = {}

    async def request(
        self,
        method: str,
        url: str,
        body: bytes | AsyncIterator[bytes] = b"",
        headers: Headers | None = None,
        *,
        timeout_s: float | None = None,
        fresh: bool = False,
    ) -> ClientResponse:
        """Send a request and return once the head of the response has been read.

        :param timeout_s: seconds within which the head must arrive, after connecting.
        :param fresh: use a new connection. The server may have closed an idle connection without
            the client noticing, and the outcome of a call sent on it would be unknown without
            need; that matters for calls that may not be repeated.
        :raises ConnectFailed: no byte was sent.
        :raises ResponseBroken: the request may have been sent.
        """
        parts = urlsplit(url)
        target = parts.path or "/"
        if parts.query:
            target = f"{target}?{parts.query}"
        origin = (parts.hostname or "", parts.port or 80)
        return await self.send(
            origin, method, target, body, headers, timeout_s=timeout_s, fresh=fresh
        )

    async def send(
        self,
        origin: tuple[str, int],
        method: str,
        target: str,
        body: bytes | AsyncIterator[bytes] = b"",
        headers: Headers | None = None,
        *,
        timeout_s: float | None = None,
        fresh: bool = False,
    ) -> ClientResponse:
        """Send a request to *origin* with *target* in its request line; see :meth:`request`."""
        connection = await self._connect(origin, fresh)
        host = f"{origin[0]}:{origin[1]}"
        try:
            async with asyncio.timeout(timeout_s):
                await _send(connection, method, target, host, body, headers or ())
                head = await connection.next_head()
        except TimeoutError as error:
            connection.close()
            if connection.reused:
                self.close_idle(origin)
            raise ResponseBroken(f"no answer within {timeout_s} s") from error
        except BaseException:
            connection.close()
            raise
        response = ClientResponse(self, origin, connection, head)
        declared = read_whole_number(response.headers.get("content-length", ""))
        if declared is not None and declared > self.max_body_bytes and method != "HEAD":
            connection.close()
            raise ResponseBroken(f"declared length of {declared} bytes")
        return response

    def close_idle(self, origin: tuple[str, int]) -> None:
        """Close the idle connections to one origin.

        All open connections may stop delivering data at once, without an error, while new ones
        work. Every call that reused an idle one would then run into its timeout.
        """
        for connection in self.idle.pop(origin, []):
            _close_idle_connection(connection)

    async def _connect(self, origin: tuple[str, int], fresh: bool) -> PooledConnection:
        idle = self.idle.get(origin, [])
        while idle and not fresh:
            connection = idle.pop()
            await connection.stop_watching()
            if connection.usable:
                connection.reused = True
                return connection
            connection.close()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                # The reader pauses its transport above twice its limit.
                limit = self.read_bytes // 2
                reader, writer = await asyncio.open_connection(*origin, limit=limit)
        except ConnectionRefusedError as error:
            raise ConnectRefused(f"{origin[0]}:{origin[1]}: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{origin[0]}:{origin[1]}: {error!r}") from error
        set_read_size(writer.transport, self.read_bytes)
        self.connections_opened += 1
        if self.tcp_user_timeout_ms:
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.tcp_user_timeout_ms
            )
        return PooledConnection(reader, writer)

    def release(self, origin: tuple[str, int], connection: PooledConnection) -> None:
        """Return a connection to the idle ones of its origin, or close it if it is not usable."""
        if not connection.usable:
            connection.close()
            return
        idle = self.idle.setdefault(origin, [])
        connection.watch_while_idle()
        idle.append(connection)
        if len(idle) > self.max_idle_per_origin:
            _close_idle_connection(idle.pop(0))

    def close(self) -> None:
        """Close every idle connection."""
        for origin in list(self.idle):
            self.close_idle(origin)


def _close_idle_connection(connection: PooledConnection) -> None:
    """Close an idle connection and cancel its watcher."""
    if connection.idle_watcher is not None:
        connection.idle_watcher.cancel()
    connection.close()


def find_head_fault(head: h11.InformationalResponse | h11.Response) -> str | None:
    """Return what makes the head of a response invalid; None if it is valid.

    h11 has checked the format of its lines, but accepts more versions, statuses and framings than
    HTTP defines. The framing rules are those of RFC 9112, sections 6.1 and 6.3.
    """
    headers = dict(head.headers)
    status = head.status_code
    has_coding = b"transfer-encoding" in headers
    length = headers.get(b"content-length")
    if head.http_version not in HTTP_VERSIONS:
        return f"version {head.http_version.decode('latin-1')}"
    if status > MAX_STATUS or status == STATUS_SWITCHING_PROTOCOLS:
        return f"status {status}"
    if has_coding and length is not None:
        return "a length and a transfer coding"
    if has_coding and head.http_version == b"1.0":
        return "a transfer coding in version 1.0"
    announces_body = has_coding or read_whole_number(length or b"0") != 0
    if announces_body and (status < 200 or status == STATUS_NO_CONTENT):
        return f"a body with status {status}"
    if any(CONTROL_CHARACTER.search(value) for _, value in head.headers):
        return "a control character in a header"
    return None


def _find_framing(status: int, headers: Mapping[str, str]) -> BodyFraming:
    if status in STATUSES_WITHOUT_BODY:
        return BodyFraming.LENGTH
    if "transfer-encoding" in headers:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if "content-length" in headers else BodyFraming.UNTIL_CLOSE


def _keep_alive_s(headers: Mapping[str, str]) -> float:
    """Return the seconds during which an idle connection may be reused.

    That is a share of the server's ``Keep-Alive: timeout``; infinite without that header.
    """
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = read_whole_number(value.strip())
        if name.strip().lower() == "timeout" and seconds is not None:
            return seconds * KEEP_ALIVE_SHARE
    return float("inf")


def find_request_fault(path: str, headers: Sequence[tuple[str, str]], body: bytes) -> str:
    """Return why no request can be sent with these fields; empty if it can."""
    names = {name.lower() for name, _ in headers}
    if "transfer-encoding" in names:
        return "transfer-encoding of a body whose length is known"
    fields = [*headers, ("content-length", str(len(body)))]
    if "host" not in names:
        fields.append(("host", "host"))
    try:
        h11.Request(method="POST", target=path, headers=_encode_fields(fields))
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        return str(error)
    return ""


def _encode_fields(fields: Sequence[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return header fields as on a connection; h11 takes texts that are ASCII only."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]


async def _send(
    connection: PooledConnection,
    method: str,
    path: str,
    host: str,
    body: bytes | AsyncIterator[bytes],
    headers: Headers,
) -> None:
    fields = list(headers) if isinstance(headers, (list, tuple)) else list(dict(headers).items())
    names = {name.lower() for name, _ in fields}
    if "host" not in names:
        fields.insert(0, ("host", host))
    if isinstance(body, bytes):
        fields.append(("content-length", str(len(body))))
    elif "content-length" not in names:
        fields.append(("transfer-encoding", "chunked"))
    request = h11.Request(method=method, target=path, headers=_encode_fields(fields))
    out = connection.h11.send(request) or b""
    try:
        if isinstance(body, bytes):
            out += connection.h11.send(h11.Data(data=body)) or b""
        else:
            connection.writer.write(out)
            async for piece in body:
                connection.writer.write(connection.h11.send(h11.Data(data=piece)) or b"")
                await connection.writer.drain()
            out = b""
        out += connection.h11.send(h11.EndOfMessage()) or b""
        connection.writer.write(out)
        await connection.writer.drain()
    except OSError as error:
        raise ResponseBroken(f"sending failed: {error!r}") from error
