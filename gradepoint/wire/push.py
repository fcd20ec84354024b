"""One-way messages between this project's processes over zmq.

A message is queued or dropped; the sender never waits and does not learn of its delivery.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import zmq

from .. import events
from ..errors import DecodingError
from ..telemetry.logs import emit
from ..util import decoding
from ..util.tasks import TaskGroup
from .rpc import bind, context

if TYPE_CHECKING:
    from collections.abc import Callable

HIGH_WATER_MARK = 200
"""Messages queued per connection; further ones are dropped."""


class PullSocket:
    """Receives messages on a TCP address; messages that cannot be decoded are ignored.

    :param message_type: type of the messages.
    :param receive: called with each message.
    """

    def __init__(self, message_type: Any, receive: Callable[[Any], None]) -> None:
        self.decode = decoding.make_msgpack_decoder(message_type)
        self.receive = receive
        self.tasks = TaskGroup()
        self.socket = context().socket(zmq.PULL)
        self.socket.set(zmq.LINGER, 0)
        self.socket.set_hwm(HIGH_WATER_MARK)

    async def start(self, address: str, port: int) -> None:
        """Start to listen and to pass on messages.

        :raises OSError: the port cannot be opened.
        """
        bind(self.socket, address, port)
        self.tasks.start_loop("messages", self._loop)

    async def _loop(self) -> None:
        while True:
            raw = await self.socket.recv()
            try:
                message = self.decode(raw)
            except DecodingError:
                continue
            self.receive(message)

    async def stop(self) -> None:
        """Stop receiving and close the socket."""
        await self.tasks.stop()
        self.socket.close()


class PushSocket:
    """Sends messages to one TCP address; they are dropped while the queue is full.

    :param immediate: also drop messages that are sent while there is no connection.
    """

    def __init__(self, address: str, port: int, *, immediate: bool = True) -> None:
        self.socket: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.PUSH)
        self.socket.set(zmq.LINGER, 0)
        self.socket.set(zmq.IMMEDIATE, int(immediate))
        self.socket.set_hwm(HIGH_WATER_MARK)
        try:
            self.socket.connect(f"tcp://{address}:{port}")
        except zmq.ZMQError as error:
            # Every message is dropped then, so that others still get theirs.
            emit(events.PEER_SILENT, member=f"{address}:{port}", reason=repr(error))

    def send(self, message: msgspec.Struct) -> bool:
        """Send a message without waiting; return False if it was dropped."""
        try:
            self.socket.send(msgspec.msgpack.encode(message), zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
