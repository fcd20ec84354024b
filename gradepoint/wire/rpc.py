"""Request and reply between this project's processes over zmq.

A message has three frames: a request id (8 bytes), a msgpack message tagged with its type, and bulk
data. Replies may come in any order. Queues are bounded by high-water marks, and a sender drops a
request whose timeout has passed.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from typing import TYPE_CHECKING, Any

import msgspec
import zmq
import zmq.asyncio

from ..errors import DecodingError
from ..util import decoding
from ..util.tasks import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Reply = tuple["Message", bytes]
    Handler = Callable[["Message", bytes], Awaitable[Reply]]

PROTOCOL_VERSION = 1
HIGH_WATER_MARK = 1000
"""Messages queued per connection."""
MAX_CONCURRENT_REQUESTS = 256
"""Requests that a server handles at once; further ones wait in the queue."""
CONNECT_TIMEOUT_MS = 2000


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base of all messages. Their field ``v`` lets later releases recognise older senders."""


class Failed(Message, tag="failed"):
    """Reply to a request that could not be carried out."""

    reason: str
    v: int = PROTOCOL_VERSION


class RpcError(Exception):
    """No reply arrived, or the other side could not carry out the request.

    :param answered: True if the other side replied that the request failed.
    """

    def __init__(self, message: str, *, answered: bool = False) -> None:
        super().__init__(message)
        self.answered = answered


def context() -> zmq.asyncio.Context:
    """Return the zmq context of the process."""
    return zmq.asyncio.Context.instance()


def bind(listener: zmq.asyncio.Socket, address: str, port: int) -> None:
    """Bind a socket to a TCP address.

    :raises OSError: the port cannot be opened.
    """
    try:
        listener.bind(f"tcp://{address}:{port}")
    except zmq.ZMQError as error:
        raise OSError(error.errno, str(error)) from error


class RpcServer:
    """Answers requests on one TCP address.

    :param message_type: union of the request types.
    :param handler: returns the reply; an exception is answered with :class:`Failed`.
    :ivar request_slots: limits the number of requests handled at once.
    """

    def __init__(self, message_type: Any, handler: Handler) -> None:
        self.decode = decoding.make_msgpack_decoder(message_type)
        self.handler = handler
        self.tasks = TaskGroup()
        self.request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self.socket = context().socket(zmq.ROUTER)
        self.socket.set(zmq.LINGER, 0)
        self.socket.set_hwm(HIGH_WATER_MARK)
        self.bytes_received = 0
        self.bytes_sent = 0

    async def start(self, address: str, port: int) -> None:
        """Start to listen.

        :raises OSError: the port cannot be opened.
        """
        bind(self.socket, address, port)
        self.tasks.start(self._receive())

    async def _receive(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            if len(frames) == 4:
                await self.request_slots.acquire()
                self.tasks.start(self._answer(*frames))

    async def _answer(self, peer: bytes, request_id: bytes, raw: bytes, data: bytes) -> None:
        self.bytes_received += len(raw) + len(data)
        try:
            reply, reply_data = await self.handler(self.decode(raw), data)
        except DecodingError as error:
            reply, reply_data = Failed(f"message not understood: {error}"), b""
        except Exception as error:
            reply, reply_data = Failed(repr(error)), b""
        finally:
            self.request_slots.release()
        encoded = msgspec.msgpack.encode(reply)
        self.bytes_sent += len(encoded) + len(reply_data)
        await self.socket.send_multipart([peer, request_id, encoded, reply_data])

    async def stop(self) -> None:
        """Cancel the requests in progress and close the socket."""
        await self.tasks.stop()
        self.socket.close()


class RpcClient:
    """Sends requests to one address.

    :param reply_type: union of the reply types; :class:`Failed` is added.
    :raises RpcError: the address has another form.
    :ivar pending: futures of the requests without a reply, by request id.
    """

    def __init__(self, address: str, port: int, reply_type: Any) -> None:
        self.name = f"{address}:{port}"
        self.decode = decoding.make_msgpack_decoder(reply_type | Failed)
        self.ids = itertools.count(1)
        self.pending: dict[bytes, asyncio.Future[Reply]] = {}
        self.socket = context().socket(zmq.DEALER)
        self.socket.set(zmq.LINGER, 0)
        self.socket.set(zmq.IMMEDIATE, 1)
        self.socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        self.socket.set_hwm(HIGH_WATER_MARK)
        try:
            self.socket.connect(f"tcp://{address}:{port}")
        except zmq.ZMQError as error:
            self.socket.close()
            raise RpcError(f"{self.name}: {error}") from error
        self.receive_task = asyncio.ensure_future(self._receive())
        self.bytes_received = 0
        self.bytes_sent = 0

    async def call(self, message: Message, data: bytes = b"", timeout_s: float = 2.0) -> Reply:
        """Send a request and return its reply.

        :raises RpcError: no reply within *timeout_s* seconds, or the request failed.
        """
        request_id = struct.pack(">Q", next(self.ids))
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.pending[request_id] = future
        raw = msgspec.msgpack.encode(message)
        self.bytes_sent += len(raw) + len(data)
        try:
            async with asyncio.timeout(timeout_s):
                await self.socket.send_multipart([request_id, raw, data])
                reply, reply_data = await future
        except TimeoutError as error:
            raise RpcError(f"{self.name}: no reply within {timeout_s} s") from error
        except zmq.ZMQError as error:
            raise RpcError(f"{self.name}: {error}") from error
        finally:
            self.pending.pop(request_id, None)
        if isinstance(reply, Failed):
            raise RpcError(f"{self.name}: {reply.reason}", answered=True)
        return reply, reply_data

    async def _receive(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            if len(frames) != 3:
                continue
            request_id, raw, data = frames
            self.bytes_received += len(raw) + len(data)
            future = self.pending.get(request_id)
            if future is None or future.done():
                continue
            try:
                future.set_result((self.decode(raw), data))
            except DecodingError as error:
                future.set_exception(RpcError(f"{self.name}: bad reply: {error}"))

    def close(self) -> None:
        """Close the connection."""
        self.receive_task.cancel()
        self.socket.close()


class RpcPool:
    """Clients by address.

    Beyond *max_clients*, those without pending requests are closed, the least recently used first.
    """

    def __init__(self, reply_type: Any, max_clients: int = 64) -> None:
        self.reply_type = reply_type
        self.max_clients = max_clients
        self.clients: dict[tuple[str, int], RpcClient] = {}

    def client(self, address: str, port: int) -> RpcClient:
        """Return the client for an address; create it if necessary.

        :raises RpcError: the address has another form.
        """
        key = (address, port)
        client = self.clients.pop(key, None) or RpcClient(address, port, self.reply_type)
        self.clients[key] = client
        if len(self.clients) > self.max_clients:
            idle = [
                name
                for name, pooled in self.clients.items()
                if pooled is not client and not pooled.pending
            ]
            for name in idle[: len(self.clients) - self.max_clients]:
                self.clients.pop(name).close()
        return client

    def close(self) -> None:
        """Close every client."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
