"""An HTTP/1.1 client with pooled connections, built on h11.

Errors say whether any byte of the request can have reached the other side, since
the outcome rule (docs/design/outcomes.md) turns on just that.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import h11

from ..util.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    Headers = Mapping[str, str] | Sequence[tuple[str, str]]

READ_SIZE = 65536
MAX_IDLE_PER_ORIGIN = 256
MAX_INCOMPLETE = 1 << 20
KEEP_ALIVE_SHARE = 0.8
"""Share of the announced keep-alive time after which an idle connection is not used again.
The rest covers the time a request is under way to the other side."""


class ConnectFailed(Exception):
    """No connection could be made: no byte of the request left."""


class ConnectRefused(ConnectFailed):
    """Nothing listens there: no byte of the request left."""


class ResponseBroken(Exception):
    """The connection failed after bytes of the request may have left."""


class PooledConnection:
    """One connection to an origin."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE)
        self.reusable_until = float("inf")
        self.used = False
        self.watcher: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    @property
    def usable(self) -> bool:
        """Whether the connection still looks open."""
        return (
            not self.reader.at_eof()
            and not self.writer.is_closing()
            and monotonic() < self.reusable_until
        )

    def watch_while_idle(self) -> None:
        """Close the connection as soon as anything arrives on it while no request is under way.

        Bytes that come then belong to no request, and an end means the other side left.
        """
        self.watcher = asyncio.ensure_future(self._close_at_first_byte())

    async def _close_at_first_byte(self) -> None:
        try:
            await self.reader.read(1)
        except OSError:
            pass
        self.close()

    async def stop_watching(self) -> None:
        """End the watch before a request is sent."""
        if self.watcher is None:
            return
        self.watcher.cancel()
        await asyncio.wait([self.watcher])
        self.watcher = None


class ClientResponse:
    """A response whose head has been read; read or close it."""

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
        self.finished = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body's pieces.

        :raises ResponseBroken: the connection failed before the body's end.
        """
        while True:
            event = await _next_event(self.connection)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.trailers = {
                    name.decode("latin-1").lower(): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._finish()
                return
            else:
                raise ResponseBroken("connection closed within the body")

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([piece async for piece in self.stream()])

    def _finish(self) -> None:
        self.finished = True
        connection = self.connection
        done = connection.h11.our_state is h11.DONE and connection.h11.their_state is h11.DONE
        if done and not connection.h11.trailing_data[0]:
            connection.h11.start_next_cycle()
            connection.reusable_until = monotonic() + _keep_alive_s(self.headers)
            self.client.release(self.origin, connection)
        else:
            connection.close()

    def close(self) -> None:
        """Drop the response; the connection is not used again."""
        if not self.finished:
            self.finished = True
            self.connection.close()


class HttpClient:
    """Sends requests and keeps idle connections for each origin.

    :param unacknowledged_ms: milliseconds after which a connection whose bytes the other
        side does not acknowledge is given up (``TCP_USER_TIMEOUT``); 0 leaves the system's own.
    :param most_idle: idle connections kept to one place; the oldest give way.
    """

    def __init__(
        self,
        connect_timeout_s: float = 1.0,
        unacknowledged_ms: int = 0,
        most_idle: int = MAX_IDLE_PER_ORIGIN,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.unacknowledged_ms = unacknowledged_ms
        self.most_idle = most_idle
        self.opened = 0
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
        """Send a request and return once the response's head is read.

        :param timeout_s: seconds until the head must be here.
        :param fresh: use a new connection; an idle one may be closed unseen by the other
            side, which would make the outcome of a not-repeatable call unknown needlessly.
        :raises ConnectFailed: nothing was sent.
        :raises ResponseBroken: something may have been sent.
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
        """Send a request with *target* as its request line has it; see :meth:`request`."""
        connection = await self._connect(origin, fresh)
        host = f"{origin[0]}:{origin[1]}"
        try:
            async with asyncio.timeout(timeout_s):
                await _send(connection, method, target, host, body, headers or ())
                head = await _next_event(connection)
                while isinstance(head, h11.InformationalResponse):
                    head = await _next_event(connection)
        except TimeoutError as error:
            connection.close()
            if connection.used:
                self.close_idle(origin)
            raise ResponseBroken(f"no answer within {timeout_s} s") from error
        except BaseException:
            connection.close()
            raise
        if not isinstance(head, h11.Response):
            connection.close()
            raise ResponseBroken("connection closed before the response")
        return ClientResponse(self, origin, connection, head)

    def close_idle(self, origin: tuple[str, int]) -> None:
        """Close the idle connections to one place.

        Open connections may all fall silent without an error while new ones work; each idle one
        would cost the call that takes it its whole time.
        """
        for connection in self.idle.pop(origin, []):
            _close_watched(connection)

    async def _connect(self, origin: tuple[str, int], fresh: bool) -> PooledConnection:
        idle = self.idle.get(origin, [])
        while idle and not fresh:
            connection = idle.pop()
            await connection.stop_watching()
            if connection.usable:
                connection.used = True
                return connection
            connection.close()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await asyncio.open_connection(*origin, limit=READ_SIZE * 4)
        except ConnectionRefusedError as error:
            raise ConnectRefused(f"{origin[0]}:{origin[1]}: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{origin[0]}:{origin[1]}: {error!r}") from error
        self.opened += 1
        if self.unacknowledged_ms:
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.unacknowledged_ms)
        return PooledConnection(reader, writer)

    def release(self, origin: tuple[str, int], connection: PooledConnection) -> None:
        """Keep a connection for later use."""
        if not connection.usable:
            connection.close()
            return
        idle = self.idle.setdefault(origin, [])
        connection.watch_while_idle()
        idle.append(connection)
        if len(idle) > self.most_idle:
            _close_watched(idle.pop(0))

    def close(self) -> None:
        """Close every idle connection."""
        for origin in list(self.idle):
            self.close_idle(origin)


def _close_watched(connection: PooledConnection) -> None:
    """Close an idle connection."""
    if connection.watcher is not None:
        connection.watcher.cancel()
    connection.close()


def _keep_alive_s(headers: Mapping[str, str]) -> float:
    """Return how many seconds an idle connection may be used again, as its server announced."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return int(value) * KEEP_ALIVE_SHARE
    return float("inf")


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
    request = h11.Request(method=method, target=path, headers=fields)
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


async def _next_event(connection: PooledConnection) -> object:
    try:
        while True:
            event = connection.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            connection.h11.receive_data(await connection.reader.read(READ_SIZE))
    except OSError as error:
        connection.close()
        raise ResponseBroken(f"connection failed: {error!r}") from error
    except h11.RemoteProtocolError as error:
        connection.close()
        raise ResponseBroken(f"not well-formed HTTP: {error}") from error
