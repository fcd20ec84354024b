"""Connections and datagrams in memory, on a loop in virtual time."""

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

T = TypeVar("T")

LIFE: ContextVar[str] = ContextVar("life", default="")
"""Life of a program to which what is started now belongs; empty for stand-ins and clients."""
ORDER_S = 1e-7
"""Least seconds between deliveries on one connection, which keep their order."""
WAY_S = 0.001
"""Seconds that bytes and datagrams are under way."""
HOLD_LOOK_S = 0.05
"""Seconds between looks whether held bytes get through."""
FIRST_PORT = 20_000


class MemorySocket:
    """What a transport tells of its socket."""

    def __init__(self, address: tuple[str, int], transport: MemoryTransport | None = None) -> None:
        self.address = address
        self.transport = transport

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self.address

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Take an option; all but the longest time without an acknowledgement mean nothing here."""
        wanted = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        if self.transport is not None and (level, option) == wanted:
            self.transport.unacknowledged_s = value / 1000


class MemoryTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: NetworkLoop, own: tuple[str, int], other: tuple[str, int]) -> None:
        super().__init__()
        self.loop = loop
        self.own = own
        self.other = other
        self.peer: MemoryTransport
        self.protocol: asyncio.Protocol
        self.closed = False
        self.reading = True
        self.sent_until = 0.0
        self.mute = False
        self.unacknowledged_s = 0.0
        self.waiting: list[bytes] = []
        self.held: list[bytes] = []
        loop.transports[LIFE.get()].append(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """See :meth:`asyncio.BaseTransport.get_extra_info`."""
        if name == "socket":
            return MemorySocket(self.own, self)
        return {"sockname": self.own, "peername": self.other}.get(name, default)

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
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self._hand_on(data)

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
        if self.closed:
            return
        self._send(self.peer.take, bytes(data))
        if self.unacknowledged_s and (self.mute or self.peer.mute):
            self.loop.call_later(self.unacknowledged_s, self._give_up)

    def write_eof(self) -> None:
        """See :meth:`asyncio.WriteTransport.write_eof`."""
        self._send(self.peer.take, b"")

    def _send(self, deliver: Callable[..., None], *what: bytes) -> None:
        """Have the other end take something a little later, after all that went before."""
        self.sent_until = max(self.sent_until + ORDER_S, self.loop.time() + WAY_S)
        self.loop.call_at(self.sent_until, deliver, *what)

    def take(self, data: bytes) -> None:
        """Hand bytes that came to the protocol; none stand for the other side's end.

        Bytes that come while nothing gets through are held, and come in their order once it does:
        a connection may delay or end, but it never leaves out a part.
        """
        if self.closed or self.mute:
            return
        if self.held or self.loop.is_silent(self.own, self.other):
            if not self.held:
                self.loop.call_later(HOLD_LOOK_S, self._hand_on_held)
            self.held.append(data)
        else:
            self._hand_on(data)

    def _hand_on_held(self) -> None:
        if self.closed or self.mute:
            return
        if self.loop.is_silent(self.own, self.other):
            self.loop.call_later(HOLD_LOOK_S, self._hand_on_held)
            return
        held, self.held = self.held, []
        for data in held:
            self._hand_on(data)

    def _hand_on(self, data: bytes) -> None:
        if self.closed:
            return
        if not self.reading:
            self.waiting.append(data)
        elif data:
            self.protocol.data_received(data)
        elif not self.protocol.eof_received():
            self.close()

    def close(self) -> None:
        """See :meth:`asyncio.BaseTransport.close`."""
        if not self.closed:
            self.write_eof()
            self._end(None)

    def abort(self) -> None:
        """See :meth:`asyncio.WriteTransport.abort`."""
        if not self.closed:
            self._send(self.peer.reset)
            self._end(None)

    def reset(self) -> None:
        """Take the other side's abort."""
        if not self.closed and not self.mute and not self.loop.is_silent(self.own, self.other):
            self._end(ConnectionResetError("reset by the other side"))

    def _give_up(self) -> None:
        """End, since what was sent was not acknowledged for too long."""
        if not self.closed:
            self._end(TimeoutError("not acknowledged"))

    def _end(self, error: Exception | None) -> None:
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
        loop.transports[LIFE.get()].append(self)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """See :meth:`asyncio.DatagramTransport.sendto`."""
        if not self.loop.is_silent(self.own, addr):
            self.loop.call_later(WAY_S, self.loop.deliver, bytes(data), self.own, addr)

    def close(self) -> None:
        """See :meth:`asyncio.BaseTransport.close`."""
        self.loop.datagrams.pop(self.own, None)

    abort = close


@dataclass
class MemoryServer:
    """What ``start_server`` returns."""

    loop: NetworkLoop
    address: tuple[str, int]
    make_protocol: Callable[[], asyncio.Protocol]
    sockets: list[MemorySocket] = field(init=False)

    def __post_init__(self) -> None:
        self.context = copy_context()
        self.loop.servers[LIFE.get()].append(self)
        self.sockets = [MemorySocket(self.address)]

    def connect(self, transport: MemoryTransport) -> None:
        """Take a new connection, as the program that listens."""
        transport.loop.transports[LIFE.get()].append(transport)
        transport.protocol = self.make_protocol()
        transport.protocol.connection_made(transport)

    def close(self) -> None:
        """Take no further connection."""
        if self.loop.listening.get(self.address) is self:
            del self.loop.listening[self.address]

    async def wait_closed(self) -> None:
        """Return at once."""


class NetworkLoop(VirtualLoop):
    """A virtual loop whose sockets are in memory.

    :ivar silent: ports whose connections and datagrams carry nothing.
    """

    def __init__(self, seed: int) -> None:
        self.wakes_at: dict[str, float] = defaultdict(float)
        self.slept_s: dict[str, float] = defaultdict(float)
        super().__init__()
        self.seed = seed
        self.listening: dict[tuple[str, int], MemoryServer] = {}
        self.datagrams: dict[tuple[str, int], MemoryDatagrams] = {}
        self.silent: set[int] = set()
        self.killed: set[str] = set()
        self.servers: dict[str, list[MemoryServer]] = defaultdict(list)
        self.transports: dict[str, list[MemoryTransport | MemoryDatagrams]] = defaultdict(list)
        self.tasks: dict[str, set[asyncio.Task[Any]]] = defaultdict(set)
        self.set_task_factory(self._make_task)
        self.ports = FIRST_PORT

    def suspend(self, life: str, seconds: float) -> None:
        """Let nothing of a life run for a while, as where its host is suspended.

        The world goes on meanwhile. What the life's timers and clock make of that time depends on
        the clock that programs read: one stands, the other goes on.
        """
        self.wakes_at[life] = self.time() + seconds
        self.slept_s[life] += seconds

    def _stands_s(self, life: str) -> float:
        """Return how much less than the world's time the clock of a life shows."""
        if not self._clock_stands():
            return 0.0
        return self.slept_s[life] - max(0.0, self.wakes_at[life] - self.time())

    def read_monotonic(self) -> float:
        """See :meth:`VirtualLoop.read_monotonic`."""
        life = LIFE.get()
        return self.time() - (self._stands_s(life) if life in self.slept_s else 0.0)

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        """See :meth:`asyncio.loop.call_soon`; what is suspended waits until it wakes."""
        life = _read_life(context)
        if self.time() < self.wakes_at.get(life, 0.0):
            return super().call_at(self.wakes_at[life], callback, *args, context=context)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """See :meth:`asyncio.loop.call_at`."""
        life = _read_life(context)
        if not life:
            return super().call_at(when, callback, *args, context=context)
        handles: list[asyncio.TimerHandle] = []
        due = when - (self._stands_s(life) if life in self.slept_s else 0.0)
        handles.append(
            super().call_at(
                when, self._run_timer, handles, life, due, callback, args, context=context
            )
        )
        return handles[0]

    def _run_timer(
        self,
        handles: list[asyncio.TimerHandle],
        life: str,
        due: float,
        callback: Any,
        args: tuple[Any, ...],
    ) -> None:
        """Run a timer of a life, unless its host is suspended or its clock stood meanwhile."""
        if handles[0].cancelled():
            return
        if life in self.slept_s:
            again = max(self.wakes_at[life], due + self.slept_s[life] * self._clock_stands())
            if again > self.time() + ORDER_S:
                super().call_at(again, self._run_timer, handles, life, due, callback, args)
                return
        callback(*args)

    def _clock_stands(self) -> bool:
        return bool(clock.MONOTONIC_CLOCK == time.CLOCK_MONOTONIC)

    def is_silent(self, one: tuple[str, int], other: tuple[str, int]) -> bool:
        """Whether nothing gets through between two addresses."""
        return one[1] in self.silent or other[1] in self.silent

    def mute_open(self, *ports: int) -> None:
        """Let every connection that is open now carry nothing more, both ways and for good.

        :param ports: only connections to these; all where there are none.
        """
        for transports in self.transports.values():
            for transport in transports:
                if isinstance(transport, MemoryTransport):
                    ends = {transport.own[1], transport.other[1]}
                    transport.mute = transport.mute or not ports or not ends.isdisjoint(ports)

    def mute_open_of(self, life: str) -> None:
        """Let every connection of one life that is open now carry nothing more, both ways."""
        for transport in self.transports[life]:
            if isinstance(transport, MemoryTransport):
                transport.mute = transport.peer.mute = True

    def next_port(self) -> int:
        """Return a port that nobody has and that was not returned before."""
        self.ports += 1
        while any(port == self.ports for _, port in (*self.listening, *self.datagrams)):
            self.ports += 1
        return self.ports

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
        await asyncio.sleep(WAY_S)
        if LIFE.get() in self.killed:
            raise ConnectionAbortedError("this program was killed")
        own = ("127.0.0.1", self.next_port())
        if self.is_silent(own, address):
            await asyncio.Event().wait()
        server = self.listening.get(address)
        if server is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        near = MemoryTransport(self, own, address)
        far = MemoryTransport(self, address, own)
        near.peer, far.peer = far, near
        near.protocol = protocol_factory()
        server.context.run(server.connect, far)
        near.protocol.connection_made(near)
        return near, near.protocol

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
        """Hand a datagram to its receiver, if there is one."""
        receiver = self.datagrams.get(address)
        if receiver is None or self.is_silent(source, address):
            return
        wakes_at = self.wakes_at.get(_read_life(receiver.context), 0.0)
        if self.time() < wakes_at:
            super().call_at(wakes_at, self.deliver, data, source, address)
        else:
            receiver.context.run(receiver.protocol.datagram_received, data, source)

    def kill(self, life: str) -> None:
        """End everything that belongs to a life, as a kill of its process does."""
        self.killed.add(life)
        for server in self.servers.pop(life, []):
            server.close()
        for transport in self.transports.pop(life, []):
            transport.abort()
        for task in self.tasks.pop(life, []):
            task.cancel()

    def _make_task(self, _: Any, coroutine: Any, **more: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=self, **more)
        if life := LIFE.get():
            self.tasks[life].add(task)
            task.add_done_callback(self.tasks[life].discard)
        return task


def _read_life(context: Any) -> str:
    """Return the life to which what runs in *context* belongs; None stands for the current one."""
    if context is None:
        return LIFE.get()
    return str(context.get(LIFE, ""))


def take_port() -> int:
    """Return a port for a program: of the network in memory where that carries the test, else of
    the real host."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return free_port()
    return loop.next_port() if isinstance(loop, NetworkLoop) else free_port()


class SeededTokens:
    """Stands for the module of random tokens."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

    def token_hex(self, size: int) -> str:
        """See :func:`secrets.token_hex`."""
        return self.rng.randbytes(size).hex()


def run_on_network(work: Coroutine[Any, Any, T], seed: int) -> T:
    """Run *work* in virtual time on a network in memory."""
    random.seed(seed)
    loop = NetworkLoop(seed)
    with virtual_clocks(loop):
        try:
            return loop.run_until_complete(work)
        finally:
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            with suppress(Exception):
                loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            loop.close()
