"""An in-memory network on an event loop in virtual time.

Connections and datagrams are delivered with a fixed latency. Programs that run on one loop are
kept apart by :data:`PROGRAM_INCARNATION`, so that one of them can be killed or suspended
without the others.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from contextlib import suppress
from contextvars import ContextVar, copy_context
from dataclasses import dataclass, field
from typing import Any, TypeVar

from gradepoint.standins.ports import free_port
from gradepoint.standins.virtual_time import VirtualLoop, virtual_clocks
from gradepoint.util import clock
from gradepoint.wire.addresses import is_port

T = TypeVar("T")

PROGRAM_INCARNATION: ContextVar[str] = ContextVar("life", default="")
"""Incarnation of the program that owns whatever is started in this context.

Empty for stand-ins and clients.
"""
MIN_SPACING_S = 1e-7
"""Minimum seconds between deliveries on one connection, which preserve their order."""
LATENCY_S = 0.001
"""Latency of bytes and datagrams, in seconds."""
HELD_CHECK_S = 0.05
"""Seconds between checks whether held bytes can be delivered."""
FIRST_PORT = 20_000


class MemorySocket:
    """The socket of a transport or a server, as far as programs use it."""

    def __init__(self, address: tuple[str, int], transport: MemoryTransport | None = None) -> None:
        self.address = address
        self.transport = transport

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self.address

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option; all except ``TCP_USER_TIMEOUT`` are ignored."""
        wanted = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        if self.transport is not None and (level, option) == wanted:
            self.transport.unacknowledged_s = value / 1000


class MemoryTransport(asyncio.Transport):
    """One end of a connection.

    :ivar peer: the other end.
    :ivar mute: whether this end receives nothing any more, without an error.
    :ivar unacknowledged_s: ``TCP_USER_TIMEOUT`` in seconds; 0 for none.
    :ivar unread: bytes that arrived while reading was paused.
    :ivar held: bytes that arrived while one of the ports was silent.
    """

    def __init__(self, loop: NetworkLoop, own: tuple[str, int], remote: tuple[str, int]) -> None:
        super().__init__()
        self.loop = loop
        self.own = own
        self.remote = remote
        self.peer: MemoryTransport
        self.protocol: asyncio.Protocol
        self.closed = False
        self.reading = True
        self.last_delivery_at = 0.0
        self.mute = False
        self.unacknowledged_s = 0.0
        self.unread: list[bytes] = []
        self.held: list[bytes] = []
        loop.transports[PROGRAM_INCARNATION.get()].append(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """See :meth:`asyncio.BaseTransport.get_extra_info`."""
        if name == "socket":
            return MemorySocket(self.own, self)
        return {"sockname": self.own, "peername": self.remote}.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See :meth:`asyncio.BaseTransport.set_protocol`."""
        assert isinstance(protocol, asyncio.Protocol)
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """See :meth:`asyncio.BaseTransport.get_protocol`."""
        return self.protocol

    def is_closing(self) -> bool:
        """See :meth:`asyncio.BaseTransport.is_closing`."""
        return self.closed

    def is_reading(self) -> bool:
        """See :meth:`asyncio.ReadTransport.is_reading`."""
        return self.reading

    def pause_reading(self) -> None:
        """See :meth:`asyncio.ReadTransport.pause_reading`."""
        self.reading = False

    def resume_reading(self) -> None:
        """See :meth:`asyncio.ReadTransport.resume_reading`."""
        self.reading = True
        unread, self.unread = self.unread, []
        for data in unread:
            self._pass_to_protocol(data)

    def get_write_buffer_size(self) -> int:
        """See :meth:`asyncio.WriteTransport.get_write_buffer_size`."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """See :meth:`asyncio.WriteTransport.set_write_buffer_limits`."""

    def can_write_eof(self) -> bool:
        """See :meth:`asyncio.WriteTransport.can_write_eof`."""
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """See :meth:`asyncio.WriteTransport.write`."""
        if self.closed or not data:
            return
        self._send(self.peer.receive, bytes(data))
        if self.unacknowledged_s and (self.mute or self.peer.mute):
            self.loop.call_later(self.unacknowledged_s, self._time_out)

    def write_eof(self) -> None:
        """See :meth:`asyncio.WriteTransport.write_eof`."""
        self._send(self.peer.receive, b"")

    def _send(self, deliver: Callable[..., None], *what: bytes) -> None:
        """Schedule a delivery to the other end, after all earlier ones."""
        self.last_delivery_at = max(
            self.last_delivery_at + MIN_SPACING_S, self.loop.time() + LATENCY_S
        )
        self.loop.call_at(self.last_delivery_at, deliver, *what)

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the protocol; empty bytes stand for the end of the stream.

        Bytes that arrive while a port is silent are held and delivered in order once it is not:
        a connection may delay or end, but it never drops a part of the stream.
        """
        if self.closed or self.mute:
            return
        if self.held or self.loop.is_silent(self.own, self.remote):
            if not self.held:
                self.loop.call_later(HELD_CHECK_S, self._release_held)
            self.held.append(data)
        else:
            self._pass_to_protocol(data)

    def _release_held(self) -> None:
        if self.closed or self.mute:
            return
        if self.loop.is_silent(self.own, self.remote):
            self.loop.call_later(HELD_CHECK_S, self._release_held)
            return
        held, self.held = self.held, []
        for data in held:
            self._pass_to_protocol(data)

    def _pass_to_protocol(self, data: bytes) -> None:
        if self.closed:
            return
        if not self.reading:
            self.unread.append(data)
        elif data:
            self.protocol.data_received(data)
        elif not self.protocol.eof_received():
            self.close()

    def close(self) -> None:
        """See :meth:`asyncio.BaseTransport.close`."""
        if not self.closed:
            self.write_eof()
            self._close_with(None)

    def abort(self) -> None:
        """See :meth:`asyncio.WriteTransport.abort`."""
        if not self.closed:
            self._send(self.peer.reset)
            self._close_with(None)

    def reset(self) -> None:
        """Handle the abort of the other end."""
        if not self.closed and not self.mute and not self.loop.is_silent(self.own, self.remote):
            self._close_with(ConnectionResetError("connection reset by peer"))

    def _time_out(self) -> None:
        """Close the connection because sent bytes were not acknowledged in time."""
        if not self.closed:
            self._close_with(TimeoutError("not acknowledged"))

    def _close_with(self, error: Exception | None) -> None:
        self.closed = True
        self.loop.call_soon(self.protocol.connection_lost, error)


class MemoryDatagrams(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(
        self, loop: NetworkLoop, own: tuple[str, int], protocol: asyncio.DatagramProtocol
    ) -> None:
        super().__init__()
        self.loop = loop
        self.own = own
        self.protocol = protocol
        self.context = copy_context()
        loop.transports[PROGRAM_INCARNATION.get()].append(self)

    def get_write_buffer_size(self) -> int:
        """See :meth:`asyncio.WriteTransport.get_write_buffer_size`; sending never waits."""
        return 0

    def sendto(self, data: Any, addr: Any = None) -> None:
        """See :meth:`asyncio.DatagramTransport.sendto`."""
        if not is_port(addr[1]):
            # asyncio closes the transport at errors that are no OSError.
            self.close()
            return
        if not self.loop.is_silent(self.own, addr):
            self.loop.call_later(LATENCY_S, self.loop.deliver, bytes(data), self.own, addr)

    def close(self) -> None:
        """See :meth:`asyncio.BaseTransport.close`."""
        self.loop.datagrams.pop(self.own, None)

    abort = close


@dataclass
class MemoryServer:
    """A listening server, as ``create_server`` returns it.

    :ivar context: context of the program that listens; new connections are opened in it.
    """

    loop: NetworkLoop
    address: tuple[str, int]
    make_protocol: Callable[[], asyncio.Protocol]
    sockets: list[MemorySocket] = field(init=False)

    def __post_init__(self) -> None:
        self.context = copy_context()
        self.loop.servers[PROGRAM_INCARNATION.get()].append(self)
        self.sockets = [MemorySocket(self.address)]

    def connect(self, transport: MemoryTransport) -> None:
        """Accept a new connection, in the context of the listening program."""
        transport.loop.transports[PROGRAM_INCARNATION.get()].append(transport)
        transport.protocol = self.make_protocol()
        transport.protocol.connection_made(transport)

    def close(self) -> None:
        """Stop accepting connections."""
        if self.loop.listening.get(self.address) is self:
            del self.loop.listening[self.address]

    async def wait_closed(self) -> None:
        """Return at once."""


class NetworkLoop(VirtualLoop):
    """A virtual loop whose sockets are in memory.

    :ivar resumes_at: loop time at which each suspended incarnation resumes.
    :ivar suspended_s: total seconds of suspension of each incarnation.
    :ivar silent: ports that are cut off: connections hold their bytes; datagrams and resets
        are lost.
    :ivar killed: incarnations that were killed and can open no connection.
    """

    def __init__(self, seed: int) -> None:
        self.resumes_at: dict[str, float] = defaultdict(float)
        self.suspended_s: dict[str, float] = defaultdict(float)
        super().__init__()
        self.seed = seed
        self.listening: dict[tuple[str, int], MemoryServer] = {}
        self.datagrams: dict[tuple[str, int], MemoryDatagrams] = {}
        self.silent: set[int] = set()
        self.killed: set[str] = set()
        self.servers: dict[str, list[MemoryServer]] = defaultdict(list)
        self.transports: dict[str, list[MemoryTransport | MemoryDatagrams]] = defaultdict(list)
        self.tasks: dict[str, dict[asyncio.Task[Any], None]] = defaultdict(dict)
        self.set_task_factory(self._make_task)
        self.last_port = FIRST_PORT

    def suspend(self, incarnation: str, seconds: float) -> None:
        """Run nothing of an incarnation for a while, as if its host were suspended.

        All other programs keep running. Whether the suspension counts for the timers and the clock
        of the incarnation depends on the clock that programs read: ``CLOCK_MONOTONIC`` stops during
        a suspension, ``CLOCK_BOOTTIME`` does not.
        """
        self.resumes_at[incarnation] = self.time() + seconds
        self.suspended_s[incarnation] += seconds

    def _clock_lag_s(self, incarnation: str) -> float:
        """Return by how many seconds the clock of an incarnation lags behind the loop's time."""
        if not self._clock_excludes_suspension():
            return 0.0
        return self.suspended_s[incarnation] - max(0.0, self.resumes_at[incarnation] - self.time())

    def read_monotonic(self) -> float:
        """See :meth:`VirtualLoop.read_monotonic`."""
        incarnation = PROGRAM_INCARNATION.get()
        return self.time() - (
            self._clock_lag_s(incarnation) if incarnation in self.suspended_s else 0.0
        )

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        """See :meth:`asyncio.loop.call_soon`; a suspended program runs its callbacks on resume."""
        incarnation = _incarnation_of(context)
        if self.time() < self.resumes_at.get(incarnation, 0.0):
            return super().call_at(self.resumes_at[incarnation], callback, *args, context=context)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """See :meth:`asyncio.loop.call_at`."""
        incarnation = _incarnation_of(context)
        if not incarnation:
            return super().call_at(when, callback, *args, context=context)
        handles: list[asyncio.TimerHandle] = []
        due = when - (self._clock_lag_s(incarnation) if incarnation in self.suspended_s else 0.0)
        handles.append(
            super().call_at(
                when, self._run_timer, handles, incarnation, due, callback, args, context=context
            )
        )
        return handles[0]

    def _run_timer(
        self,
        handles: list[asyncio.TimerHandle],
        incarnation: str,
        due: float,
        callback: Any,
        args: tuple[Any, ...],
    ) -> None:
        """Run a timer of an incarnation.

        The timer is scheduled again if the host is suspended or its clock has stopped meanwhile.
        """
        if handles[0].cancelled():
            return
        if incarnation in self.suspended_s:
            due_again = max(
                self.resumes_at[incarnation],
                due + self.suspended_s[incarnation] * self._clock_excludes_suspension(),
            )
            if due_again > self.time() + MIN_SPACING_S:
                super().call_at(
                    due_again, self._run_timer, handles, incarnation, due, callback, args
                )
                return
        callback(*args)

    def _clock_excludes_suspension(self) -> bool:
        return bool(clock.MONOTONIC_CLOCK == time.CLOCK_MONOTONIC)

    def is_silent(self, one: tuple[str, int], other: tuple[str, int]) -> bool:
        """Return whether one of two addresses has a silent port."""
        return one[1] in self.silent or other[1] in self.silent

    def mute_connections(self, *ports: int) -> None:
        """Make every open connection drop all bytes from now on, in both directions.

        :param ports: mute only connections of these ports; without any, mute all.
        """
        for transports in self.transports.values():
            for transport in transports:
                if isinstance(transport, MemoryTransport):
                    ends = {transport.own[1], transport.remote[1]}
                    transport.mute = transport.mute or not ports or not ends.isdisjoint(ports)

    def mute_connections_of(self, incarnation: str) -> None:
        """Make every open connection of one incarnation drop all bytes, in both directions."""
        for transport in self.transports[incarnation]:
            if isinstance(transport, MemoryTransport):
                transport.mute = transport.peer.mute = True

    def next_port(self) -> int:
        """Return a port that is not in use and was not returned before."""
        self.last_port += 1
        while any(port == self.last_port for _, port in (*self.listening, *self.datagrams)):
            self.last_port += 1
        return self.last_port

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """See :meth:`asyncio.loop.create_server`."""
        address = (host, port or self.next_port())
        if address in self.listening:
            raise OSError("address in use")
        server = MemoryServer(self, address, protocol_factory)
        self.listening[address] = server
        return server

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """See :meth:`asyncio.loop.create_connection`."""
        address = (host, port)
        await asyncio.sleep(LATENCY_S)
        if PROGRAM_INCARNATION.get() in self.killed:
            raise ConnectionAbortedError("this program was killed")
        own = ("127.0.0.1", self.next_port())
        if self.is_silent(own, address):
            await asyncio.Event().wait()
        server = self.listening.get(address)
        if server is None:
            raise ConnectionRefusedError(f"connection refused: {address}")
        client_end = MemoryTransport(self, own, address)
        server_end = MemoryTransport(self, address, own)
        client_end.peer, server_end.peer = server_end, client_end
        client_end.protocol = protocol_factory()
        server.context.run(server.connect, server_end)
        client_end.protocol.connection_made(client_end)
        return client_end, client_end.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **_: Any
    ) -> Any:
        """See :meth:`asyncio.loop.create_datagram_endpoint`."""
        protocol = protocol_factory()
        transport = MemoryDatagrams(self, local_addr, protocol)
        self.datagrams[local_addr] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def deliver(self, data: bytes, source: tuple[str, int], address: tuple[str, int]) -> None:
        """Pass a datagram to its receiver, if there is one.

        A suspended receiver gets it when it resumes.
        """
        receiver = self.datagrams.get(address)
        if receiver is None or self.is_silent(source, address):
            return
        resumes_at = self.resumes_at.get(_incarnation_of(receiver.context), 0.0)
        if self.time() < resumes_at:
            super().call_at(resumes_at, self.deliver, data, source, address)
        else:
            receiver.context.run(receiver.protocol.datagram_received, data, source)

    def kill(self, incarnation: str) -> None:
        """End everything that belongs to an incarnation, as SIGKILL of its process does."""
        self.killed.add(incarnation)
        for server in self.servers.pop(incarnation, []):
            server.close()
        for transport in self.transports.pop(incarnation, []):
            transport.abort()
        for task in self.tasks.pop(incarnation, []):
            task.cancel()

    def _make_task(self, _: Any, coroutine: Any, **options: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=self, **options)
        if incarnation := PROGRAM_INCARNATION.get():
            running = self.tasks[incarnation]
            running[task] = None
            task.add_done_callback(lambda ended: running.pop(ended, None))
        return task


def _incarnation_of(context: Any) -> str:
    """Return the incarnation that owns *context*; None stands for the current context."""
    if context is None:
        return PROGRAM_INCARNATION.get()
    return str(context.get(PROGRAM_INCARNATION, ""))


def take_port() -> int:
    """Return a free port: of the in-memory network if the test runs on one, otherwise of the
    machine."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return free_port()
    return loop.next_port() if isinstance(loop, NetworkLoop) else free_port()


class SeededTokens:
    """A seeded replacement for the module :mod:`secrets`."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

    def token_hex(self, size: int) -> str:
        """See :func:`secrets.token_hex`."""
        return self.rng.randbytes(size).hex()


def run_on_network(work: Coroutine[Any, Any, T], seed: int) -> T:
    """Run *work* in virtual time on an in-memory network."""
    random.seed(seed)
    loop = NetworkLoop(seed)
    with virtual_clocks(loop):
        try:
            return loop.run_until_complete(work)
        finally:
            remaining = asyncio.all_tasks(loop)
            for task in remaining:
                task.cancel()
            with suppress(Exception):
                loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
            loop.close()
