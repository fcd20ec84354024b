"""An HTTP/1.1 server on asyncio streams, with h11 for the protocol."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from asyncio.trsock import TransportSocket
from contextlib import aclosing
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from .. import events
from ..errors import GradepointError
from ..telemetry import metrics
from ..telemetry.logs import emit
from ..util.memory_budget import Purpose, Reservation
from ..util.numbers import read_whole_number
from ..util.structs import Struct
from .http_types import Request, Response, error_response
from .transports import set_read_size

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ..util.memory_budget import MemoryBudget
    from .http_types import Handler

READ_SIZE_BYTES = 65536
HEAD_COPIES = 6
"""Copies of a head that a request in progress has: lines, joined headers, and what is forwarded."""
WRITE_BUFFER_BYTES = 65536
"""Bytes of a response that may be buffered before writing waits for the caller to read."""
UNREAD_ANSWER_BYTES = 65536
"""Bytes of an answer that wait in the connection to its target while its caller does not read."""
UNREAD_TIMEOUT_S = 1.0
"""Seconds for which a caller may not read where memory does not suffice for what waits for it."""
DISCARD_TIMEOUT_S = 5.0
"""Seconds for which the rest of a refused body is read and discarded. A close with unread bytes
resets the connection, and the caller may lose the refusal."""
LISTEN_BACKLOG = 1024
"""Connections that the system keeps until they are accepted."""
ACCEPTS_PER_TURN = 16
"""Connections that are accepted before other tasks run. Where no descriptor is left, asyncio
reports an error and starts a timer for each of them; their number would else be the backlog."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""


class ServerLimits(Struct, frozen=True):
    """Limits that keep one caller from harming the others.

    :param max_connections: open connections; a further one is refused.
    :param max_header_bytes: size of the request target and all headers.
    :param max_body_bytes: default size limit of a body that is read by ``Request.read_body``.
    :param idle_timeout_s: seconds for which a caller may pause within a request or a response.
    :param head_timeout_s: seconds from the first byte of a request to the end of its headers.
    :param keep_alive_s: seconds for which a connection may be idle between requests.
    :param cancel_on_disconnect: cancel the handler as soon as its caller closes the connection.
    :param read_bytes: bytes that are taken from a socket at once, and that are read of the next
        requests while one is answered. Twice as many may wait to be parsed; more stay in the
        socket.
    """

    max_connections: int = 4096
    max_header_bytes: int = 32768
    max_body_bytes: int = 8 << 20
    idle_timeout_s: float = 30.0
    head_timeout_s: float = 30.0
    keep_alive_s: float = 75.0
    cancel_on_disconnect: bool = False
    read_bytes: int = READ_SIZE_BYTES


def accept_always() -> bool:
    """Return True; used by servers that accept all connections."""
    return True


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Protocol of one connection, which resets the connection if the server doesn't accept it."""

    def __init__(self, server: HttpServer) -> None:
        # The reader pauses its transport above twice its limit.
        reader = asyncio.StreamReader(limit=server.limits.read_bytes // 2)
        super().__init__(reader, server.serve)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`asyncio.BaseProtocol.connection_made`; nothing has been read by then."""
        if self.server.may_accept():
            set_read_size(transport, self.server.limits.read_bytes)
            super().connection_made(transport)
        elif isinstance(transport, asyncio.Transport):
            reset_connection(transport)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset; a connection that is already closed stays as it is."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


async def listen(
    make_protocol: Callable[[], asyncio.Protocol],
    address: str,
    port: int,
    listener: socket.socket | None,
) -> asyncio.Server:
    """Start to listen; see :meth:`HttpServer.start`.

    :raises OSError: the port cannot be opened now.
    """
    where = {"host": address, "port": port} if listener is None else {"sock": listener}
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make_protocol, **where, backlog=ACCEPTS_PER_TURN)
    if not server.sockets:
        # asyncio passes over a socket that the system does not give out.
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
    for listening in server.sockets:
        if isinstance(listening, TransportSocket):
            listening._sock.listen(LISTEN_BACKLOG)
    return server


class HttpServer:
    """Listens on one address and passes each request to one handler.

    :ivar connections: the open connections, in the order of their start.
    :ivar stopping: requests are refused with the code ``stopping``.
    :ivar draining: requests are answered, but each connection is closed after its response.
    :ivar may_accept: decides about each new connection; others are reset before they are read.
    :ivar budget: memory for requests; None for no limit of their sum.
    :ivar port: the port it listens on, once started.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.server: asyncio.Server | None = None
        self.connections: dict[Connection, None] = {}
        self.stopping = False
        self.draining = False
        self.may_accept: Callable[[], bool] = accept_always
        self.budget: MemoryBudget | None = None
        self.port = 0

    @property
    def busy_count(self) -> int:
        """Number of requests in progress."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close every connection that is idle between requests."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.writer.close()

    async def start(self, address: str, port: int, listener: socket.socket | None = None) -> None:
        """Start to listen; with port 0 the system picks a free port (see :attr:`port`).

        :param listener: a socket that listens on the address already, or None to open one.
        """
        self.server = await listen(lambda: CallerProtocol(self), address, port, listener)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one accepted connection until it ends."""
        connection = Connection(self, reader, writer)
        if len(self.connections) >= self.limits.max_connections:
            await connection.refuse(GradepointError("too_many_connections"))
            return
        self.connections[connection] = None
        try:
            await connection.run()
        except (asyncio.CancelledError, OSError):
            writer.transport.abort()
        finally:
            self.connections.pop(connection, None)
            if connection.disconnect_watcher is not None:
                connection.disconnect_watcher.cancel()
            writer.close()

    async def stop(self, grace_s: float = 5.0) -> None:
        """Stop listening, wait *grace_s* seconds at most for requests in progress, then abort."""
        self.stopping = True
        if self.server is None:
            return
        self.server.close()
        for connection in list(self.connections):
            if not connection.busy:
                connection.writer.close()
        waited = 0.0
        while any(connection.busy for connection in self.connections) and waited < grace_s:
            await asyncio.sleep(0.02)
            waited += 0.02
        self.abort()

    def abort(self) -> None:
        """Cancel all requests and close every connection without waiting."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.task is not None:
                connection.task.cancel()
            if connection.writer.transport is not None:
                connection.writer.transport.abort()


class Connection:
    """One connection of a caller, with one request in progress at most.

    :ivar busy: a request is in progress.
    :ivar disconnect_watcher: task that cancels the handler when the caller disconnects.
    :ivar head_memory: memory reserved for an unfinished head, or that of the request in progress.
    :ivar head_bytes: size of the head of the request in progress.
    :ivar request: the request in progress; None before the first one.
    :ivar body_memory: memory reserved for the body of the request in progress.
    :ivar refused_body: the memory did not suffice for the body.
    """

    def __init__(
        self, server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.busy = False
        self.disconnect_watcher: asyncio.Task[None] | None = None
        self.task = asyncio.current_task()
        self.head_memory = Reservation(server.budget, Purpose.HEAD)
        self.head_bytes = 0
        self.request: Request | None = None
        self.body_memory = Reservation(server.budget, Purpose.BODY)
        self.refused_body = False
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )

    @property
    def limits(self) -> ServerLimits:
        """The current limits; those of the server may be replaced while it runs."""
        return self.server.limits

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no byte of the next one has arrived."""
        return not self.busy and not self.h11.trailing_data[0]

    async def run(self) -> None:
        """Serve requests one after another until the connection ends."""
        try:
            await self._serve_requests()
        finally:
            self.head_memory.release()

    async def _serve_requests(self) -> None:
        while True:
            try:
                request = await self._next_request()
            except h11.RemoteProtocolError as error:
                await self.refuse(_protocol_error(error))
                return
            except GradepointError as error:
                await self.refuse(error)
                return
            except TimeoutError:
                if self.h11.trailing_data[0]:
                    await self.refuse(GradepointError("request_timeout"))
                return
            except OSError:
                return
            if request is None:
                return
            self.busy = True
            try:
                keep_open = await self._answer(request)
            finally:
                self.busy = False
                self.head_memory.release()
                self.body_memory.release()
                set_read_size(self.writer.transport, self.limits.read_bytes)
            if self.refused_body:
                await self._discard_body()
            if not keep_open or self.server.stopping or self.server.draining:
                return
            self.h11.start_next_cycle()

    async def _next_request(self) -> Request | None:
        await self._stop_watching()
        event = self.h11.next_event()
        if event is h11.NEED_DATA and not self.h11.trailing_data[0]:
            async with asyncio.timeout(self.limits.keep_alive_s):
                self.h11.receive_data(await self.reader.read(READ_SIZE_BYTES))
            event = self.h11.next_event()
        async with asyncio.timeout(self.limits.head_timeout_s):
            if event is h11.NEED_DATA:
                self.head_memory.grow(self.limits.max_header_bytes)
            while event is h11.NEED_DATA:
                async with asyncio.timeout(self.limits.idle_timeout_s):
                    self.h11.receive_data(await self.reader.read(READ_SIZE_BYTES))
                event = self.h11.next_event()
        if not isinstance(event, h11.Request):
            return None
        _check_framing(event.headers)
        # h11 limits only incomplete heads, while a complete one may arrive in one read.
        size = sum(len(name) + len(value) for name, value in event.headers)
        self.head_bytes = size + len(event.target)
        if self.head_bytes > self.limits.max_header_bytes:
            raise GradepointError("header_too_large")
        self.request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            _join_headers(event.headers),
            self._read_body,
            self.limits.max_body_bytes,
            list(event.headers),
        )
        return self.request

    async def _read_body(self) -> AsyncIterator[bytes]:
        """Yield the body; the memory of its copies is reserved before it is read.

        A body of unknown length is reserved by its pieces.
        """
        assert self.request is not None
        copies = self.request.body_copies
        # More than the limit is never read whole.
        limit = self.limits.max_body_bytes
        declared = min(limit, _find_length(self.request))
        self._reserve_body(declared, copies)
        if declared > self.limits.read_bytes:
            # The body would take a turn of the loop for each few kilobytes.
            set_read_size(self.writer.transport, min(declared, READ_SIZE_BYTES))
        size = 0
        while True:
            if self.h11.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.h11.send(continue_response) or b"")
            try:
                event = self.h11.next_event()
                if event is h11.NEED_DATA:
                    async with asyncio.timeout(self.limits.idle_timeout_s):
                        self.h11.receive_data(await self.reader.read(READ_SIZE_BYTES))
                    continue
            except TimeoutError as error:
                raise GradepointError("request_timeout") from error
            except h11.RemoteProtocolError as error:
                raise _protocol_error(error) from error
            if isinstance(event, h11.Data):
                size += len(event.data)
                self._reserve_body(min(limit, size), copies)
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage) and self.limits.cancel_on_disconnect:
                self.disconnect_watcher = asyncio.ensure_future(self._cancel_on_disconnect())
            return

    def _reserve_body(self, size: int, copies: int) -> None:
        reserved = size * copies
        if size > self.limits.read_bytes:
            # Received bytes that are not parsed yet.
            reserved += 2 * min(size, READ_SIZE_BYTES)
        if self.server.budget is not None:
            # The largest body has to fit into a process without other work.
            reserved = min(reserved, self.server.budget.large_bytes)
        try:
            self.body_memory.grow(reserved)
        except GradepointError:
            self.refused_body = True
            raise

    async def _discard_body(self) -> None:
        """Read and discard the rest of a body that did not fit into memory."""
        discarded = 0
        try:
            async with asyncio.timeout(min(DISCARD_TIMEOUT_S, self.limits.idle_timeout_s)):
                while discarded <= self.limits.max_body_bytes:
                    event = self.h11.next_event()
                    if event is h11.NEED_DATA:
                        self.h11.receive_data(await self.reader.read(READ_SIZE_BYTES))
                    elif isinstance(event, h11.Data):
                        discarded += len(event.data)
                    else:
                        return
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return

    async def _cancel_on_disconnect(self) -> None:
        """Cancel the handler when the caller disconnects; other input is the next request."""
        left = self.limits.read_bytes
        try:
            while data := await self.reader.read(left):
                self.h11.receive_data(data)
                left = self.limits.read_bytes - len(self.h11.trailing_data[0])
                if left <= 0:
                    return
        except OSError:
            pass
        if self.busy and self.task is not None:
            self.task.cancel()

    async def _stop_watching(self) -> None:
        if self.disconnect_watcher is None:
            return
        self.disconnect_watcher.cancel()
        await asyncio.wait([self.disconnect_watcher])
        self.disconnect_watcher = None

    async def _answer(self, request: Request) -> bool:
        """Run the handler and send its response; return whether the connection stays open."""
        try:
            if self.server.stopping:
                raise GradepointError("stopping")
            self.head_memory.grow(self.head_bytes * HEAD_COPIES)
            response = await self.server.handler(request)
        except GradepointError as error:
            metrics.shared().refusals.add(1, {"reason": error.code})
            response = error_response(error)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            emit(events.HANDLER_FAILED, path=request.path, error=repr(error))
            response = error_response(GradepointError("internal", "An internal fault occurred."))
        try:
            return await self._send(response)
        except (OSError, TimeoutError, h11.LocalProtocolError):
            return False
        finally:
            if response.stream is not None and hasattr(response.stream, "aclose"):
                await response.stream.aclose()
            if response.release is not None:
                response.release()

    async def _send(self, response: Response) -> bool:
        # The rest of an unread body would be parsed as the next request, so the connection closes.
        body_consumed = self.h11.their_state in (h11.DONE, h11.MUST_CLOSE)
        if not body_consumed or self.server.draining:
            response.headers["connection"] = "close"
        if response.stream is None:
            response.headers["content-length"] = str(len(response.body))
        elif "content-length" not in response.headers:
            response.headers["transfer-encoding"] = "chunked"
        head = h11.Response(
            status_code=response.status,
            headers=[*response.raw_headers, *_encode_headers(response.headers)],
            reason=_reason(response.status),
        )
        out = self.h11.send(head) or b""
        if response.stream is None:
            body = response.body
            for start in range(0, len(body), WRITE_BUFFER_BYTES):
                out += self.h11.send(h11.Data(data=body[start : start + WRITE_BUFFER_BYTES])) or b""
                if start + WRITE_BUFFER_BYTES < len(body):
                    await self._write(out)
                    out = b""
            out += self.h11.send(h11.EndOfMessage()) or b""
            await self._write(out)
        else:
            await self._write(out)
            await self._send_stream(response)
        return self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE

    async def _send_stream(self, response: Response) -> None:
        assert response.stream is not None
        try:
            async with aclosing(response.stream) as stream:  # type: ignore[type-var]
                async for piece in stream:
                    if piece:
                        await self._write(self.h11.send(h11.Data(data=piece)) or b"")
        except BaseException:
            if self.h11.their_http_version == b"1.0":
                # A close in order would complete a body that has neither a length nor chunks.
                reset_connection(self.writer.transport)
            raise
        trailers = response.trailers() if response.trailers else {}
        end = h11.EndOfMessage(headers=list(trailers.items()))
        await self._write(self.h11.send(end) or b"")

    async def _write(self, data: bytes) -> None:
        """Write *data*; wait only if the caller reads too slowly.

        Waiting with a timeout for each token would take 0.07 of the 0.30 ms that a token needs
        from the engine stand-in to the caller (docs/measurements/README.md).
        """
        transport = self.writer.transport
        if transport.is_closing():
            raise ConnectionResetError("the caller has gone")
        self.writer.write(data)
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            await self._drain()

    async def _drain(self) -> None:
        """Wait until the caller has read; what waits meanwhile is reserved.

        If it does not fit, the caller has to read soon, since the process would be killed and all
        calls lost if many callers did not.
        """
        waiting = self.writer.transport.get_write_buffer_size() + UNREAD_ANSWER_BYTES
        memory = Reservation(self.server.budget, Purpose.ANSWER)
        timeout_s = self.limits.idle_timeout_s
        try:
            memory.grow(waiting)
        except GradepointError:
            timeout_s = min(timeout_s, UNREAD_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await self.writer.drain()
        except TimeoutError:
            emit(events.ANSWER_UNREAD, waited_s=timeout_s, size=waiting)
            raise
        finally:
            memory.release()

    async def refuse(self, error: GradepointError) -> None:
        """Respond with *error* and close the connection; used if no request can be read."""
        metrics.shared().refusals.add(1, {"reason": error.code})
        try:
            if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                response = error_response(error)
                response.headers["connection"] = "close"
                await self._send(response)
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.writer.close()


def _protocol_error(error: h11.RemoteProtocolError) -> GradepointError:
    if error.error_status_hint == 431:
        return GradepointError("header_too_large")
    return GradepointError("bad_http", f"Not well-formed HTTP: {error}.")


def _check_framing(headers: h11.Headers) -> None:  # type: ignore[name-defined]
    """Reject a request that states its length in two ways.

    Proxies may disagree on which one counts, which permits request smuggling.
    """
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise GradepointError("bad_http", "Both Content-Length and Transfer-Encoding are given.")


def _find_length(request: Request) -> int:
    """Return the length that a request declares for its body; 0 if it is unknown."""
    return read_whole_number(request.headers.get("content-length", "")) or 0


def _encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]


def _join_headers(headers: h11.Headers) -> dict[str, str]:  # type: ignore[name-defined]
    joined: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
