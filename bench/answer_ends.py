"""Counts what is known of answers without a length after their connections have ended.

``python -m bench.answer_ends [--rounds N] [--streams N] [--connections N] [--memory-mb N]``

Each round starts a target as a process of its own, reads several event streams that have neither a
length nor chunks, and lets them end in one of the ways of :class:`Ending`. For every stream whose
connection was closed in order between two events, the signs that could tell a complete answer from
a cut one are read at each of :data:`DELAYS_S` after the end:

- whether the target's port accepts a connection, as a gateway's crash detector asks;
- whether the same incarnation of the target answers a request;
- whether the target has updated its store entry since the end;
- whether another target has further events after the last one received (``Last-Event-Id``).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import Enum
from typing import Annotated, NamedTuple

import typer

from gradepoint.standins.ports import free_port
from gradepoint.util.structs import Struct, field
from gradepoint.wire.addresses import split_address
from gradepoint.wire.http_types import Request, Response
from gradepoint.wire.ports import PortState, probe_port

from .platform.target import TargetFault, TargetStandin
from .processes import ROOT, reserve_subnet
from .soak.proxy import Proxy, ProxyMode

DELAYS_S = (0.0, 0.005, 0.02, 0.1, 0.5)
EVENTS = 60
EVENT_INTERVAL_S = 0.01
EVENTS_BEFORE_END = 25
"""Events that each stream has time for before its end is brought about."""
HEARTBEAT_S = 0.2
"""Seconds between updates of a target's store entry, which are lines on its standard output."""
DRAIN_S = 0.15
"""Seconds for which a draining target serves; the streams need more."""
EXIT_S = 0.05
"""Seconds between the end of a stopping target's streams and that of its process."""
PROBE_TIMEOUT_S = 0.25
SILENT_AFTER_S = 1.0
"""Seconds without a byte after which a connection counts as silent."""
START_TIMEOUT_S = 20.0


class Ending(Enum):
    """How the streams of a round end.

    ``SOUND``: complete, and the target runs on. ``SOUND_LAST``: complete, and the target ends as
    soon as it has no more streams. ``BROKEN_OFF``: the target closes the connections early and runs
    on. ``KILLED``: SIGKILL. ``TERMINATED``: SIGTERM with its default action. ``STOPPED``: SIGTERM,
    after which the program ends its streams early and itself :data:`EXIT_S` later. ``DRAINED``:
    SIGTERM, after which it serves for :data:`DRAIN_S` and ends with streams running. ``REPLACED``:
    SIGKILL, with the next incarnation started at the same address.
    ``LINK_RESET`` and ``LINK_SILENT``: the network breaks the connections or delivers nothing.
    """

    SOUND = "sound"
    SOUND_LAST = "sound, target ends"
    BROKEN_OFF = "broken off"
    KILLED = "SIGKILL"
    TERMINATED = "SIGTERM, default action"
    STOPPED = "SIGTERM, streams ended first"
    DRAINED = "drain, then exit"
    REPLACED = "SIGKILL, new incarnation"
    LINK_RESET = "link reset"
    LINK_SILENT = "link silent"


SIGNALS = {
    Ending.SOUND_LAST: signal.SIGTERM,
    Ending.KILLED: signal.SIGKILL,
    Ending.TERMINATED: signal.SIGTERM,
    Ending.STOPPED: signal.SIGTERM,
    Ending.DRAINED: signal.SIGTERM,
    Ending.REPLACED: signal.SIGKILL,
}
LINK_MODES = {Ending.LINK_RESET: ProxyMode.RESET, Ending.LINK_SILENT: ProxyMode.SILENCE}


class EndingTarget(TargetStandin):
    """A target that ends its streams in one of the ways of :class:`Ending`."""

    ending = Ending.SOUND
    stopped = False

    async def handle(self, request: Request) -> Response:
        """Answer requests for health at once, all others with a stream."""
        if request.method == "GET":
            return Response(200, {"x-instance-id": self.name})
        return await super().handle(request)

    async def _stream(
        self, request_id: str, first: int, fault: TargetFault, early_end: int | None
    ) -> AsyncIterator[bytes]:
        sent = 0
        async for event in super()._stream(request_id, first, fault, early_end):
            if self.ending is Ending.BROKEN_OFF and sent == EVENTS_BEFORE_END:
                return
            if self.ending is Ending.STOPPED and self.stopped:
                return
            sent += 1
            yield event


async def run_target(name: str, ip: str, port: int, ending: Ending, memory_mb: int) -> None:
    """Serve until the process is told to end, as *ending* says."""
    # The system frees the memory of a killed process before it is gone.
    memory = bytearray(b"x" * (memory_mb << 20))
    target = EndingTarget(
        name, events=EVENTS, event_interval_s=EVENT_INTERVAL_S, unframed_share=1.0
    )
    target.ending = ending
    stopped = asyncio.Event()
    if ending is not Ending.TERMINATED:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await target.start(ip, port)
    while not stopped.is_set():
        print("heartbeat", flush=True)
        with suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), HEARTBEAT_S)
    target.stopped = True
    if ending is Ending.DRAINED:
        await asyncio.sleep(DRAIN_S)
    else:
        while target.working:
            await asyncio.sleep(0.001)
    if ending is Ending.STOPPED:
        await asyncio.sleep(EXIT_S)
    del memory
    # The end of the event loop would reset connections; the system closes them in order.
    os._exit(0)


class TargetProcess(Struct):
    """A target that runs as a process.

    :param address: address that it listens at.
    :ivar heartbeats: number of updates of its store entry.
    """

    name: str
    address: str
    process: asyncio.subprocess.Process
    heartbeats: int = 0
    reading: asyncio.Task[None] | None = None

    async def read_heartbeats(self) -> None:
        """Count the lines on the target's standard output until it ends."""
        assert self.process.stdout is not None
        while await self.process.stdout.readline():
            self.heartbeats += 1

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        if self.reading is not None:
            await self.reading


async def start_target(name: str, address: str, ending: Ending, memory_mb: int) -> TargetProcess:
    """Start a target; return at once, before it listens."""
    command = [sys.executable, "-m", "bench.answer_ends", "--target", name, "--address", address]
    command += ["--ending", ending.name, "--memory-mb", str(memory_mb)]
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(*command, stdout=pipe, cwd=ROOT)
    target = TargetProcess(name, address, process)
    target.reading = asyncio.ensure_future(target.read_heartbeats())
    return target


class ConnectionEnd(Enum):
    """How a connection ended: closed in order, reset, or not at all."""

    ORDERLY = "orderly"
    RESET = "reset"
    SILENT = "silent"


class StreamEnd(NamedTuple):
    """The end of one stream as its reader sees it.

    :ivar events: number of complete events.
    :ivar inside_event: whether the stream ended within an event.
    """

    end: ConnectionEnd
    events: int
    inside_event: bool


async def read_stream(
    address: tuple[str, int], request_id: str, last_event: int | None = None, stop_at: int = 0
) -> StreamEnd:
    """Read a stream to its end.

    :param last_event: number of the last event that is already known.
    :param stop_at: number of events after which to stop reading; 0 for no limit.
    """
    reader, writer = await asyncio.open_connection(*address)
    head = f"POST /stream/1 HTTP/1.1\r\nhost: h\r\nx-attempt-id: {request_id}\r\n"
    if last_event is not None:
        head += f"last-event-id: {last_event}\r\n"
    writer.write(f"{head}content-length: 0\r\n\r\n".encode())
    received = b""
    end = ConnectionEnd.ORDERLY
    try:
        while not stop_at or received.partition(b"\r\n\r\n")[2].count(b"\n\n") < stop_at:
            async with asyncio.timeout(SILENT_AFTER_S):
                data = await reader.read(65536)
            if not data:
                break
            received += data
    except ConnectionResetError:
        end = ConnectionEnd.RESET
    except TimeoutError:
        end = ConnectionEnd.SILENT
    finally:
        writer.transport.abort()
    _, _, body = received.partition(b"\r\n\r\n")
    return StreamEnd(end, body.count(b"\n\n"), bool(body) and not body.endswith(b"\n\n"))


async def read_instance(address: str) -> str:
    """Return the incarnation that answers a request, or an empty string if none does."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                writer.write(b"GET /health HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
                answer = (await reader.read()).decode()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return ""
    return answer.partition("x-instance-id: ")[2].partition("\r\n")[0]


class Signs(NamedTuple):
    """What was seen at one moment after the end of a stream.

    :ivar port: state of the target's port.
    :ivar instance: incarnation that answers a request; empty if none does.
    :ivar has_more: whether another target has further events.
    """

    port: PortState
    instance: str
    has_more: bool


async def observe_end(address: str, other: tuple[str, int], request_id: str, events: int) -> Signs:
    """Read the signs of a stream that has ended after *events* events.

    :param address: address of the target, as ``IP:PORT``.
    :param other: address of another target, which continues the stream.
    """
    port, instance, rest = await asyncio.gather(
        probe_port(address, PROBE_TIMEOUT_S),
        read_instance(address),
        read_stream(other, request_id, events - 1, stop_at=1),
    )
    return Signs(port, instance, rest.events > 0)


class Count(Struct):
    """What was seen of all streams that ended in one way.

    :ivar ends: number of streams by the end of their connection, and whether inside an event.
    :ivar cut: number of those closed in order between two events that lack events.
    :ivar signs: number of times that each sign was seen, by delay.
    """

    ends: Counter[tuple[ConnectionEnd, bool]] = field(default_factory=Counter)
    cut: int = 0
    signs: Counter[tuple[float, str]] = field(default_factory=Counter)

    @property
    def alike(self) -> int:
        """Number of streams that were closed in order between two events."""
        return self.ends[ConnectionEnd.ORDERLY, False]

    def add(self, delay_s: float, signs: Signs, target: str, *, entry_updated: bool) -> None:
        """Count the signs seen *delay_s* seconds after the end of a stream of *target*."""
        same = signs.instance == target
        self.signs[delay_s, f"port {signs.port.value}"] += 1
        self.signs[delay_s, "same incarnation answers"] += same
        self.signs[delay_s, "another incarnation answers"] += bool(signs.instance) and not same
        self.signs[delay_s, "entry updated"] += entry_updated
        self.signs[delay_s, "another target has more"] += signs.has_more


async def observe_later(
    count: Count,
    target: TargetProcess,
    other: tuple[str, int],
    request_id: str,
    events: int,
    delay_s: float,
) -> None:
    """Count all signs *delay_s* seconds after the end of a stream."""
    heartbeats = target.heartbeats
    await asyncio.sleep(delay_s)
    updated = target.heartbeats > heartbeats
    signs = await observe_end(target.address, other, request_id, events)
    count.add(delay_s, signs, target.name, entry_updated=updated)


async def follow_stream(
    count: Count,
    target: TargetProcess,
    address: tuple[str, int],
    other: tuple[str, int],
    request_id: str,
) -> None:
    """Read one stream and, if its connection was closed in order, all signs after its end.

    :param address: address at which the target is reached.
    :param other: address of another target.
    """
    seen = await read_stream(address, request_id)
    count.ends[seen.end, seen.inside_event] += 1
    if seen.end is ConnectionEnd.ORDERLY and not seen.inside_event:
        count.cut += seen.events < EVENTS
        await asyncio.gather(
            *(observe_later(count, target, other, request_id, seen.events, d) for d in DELAYS_S)
        )


class Load(Struct, frozen=True):
    """What a target has to do beside the streams, which makes its end take longer.

    :param streams: number of streams at the same time.
    :param connections: number of further open connections.
    :param memory_mb: memory that the process holds, in MiB.
    """

    streams: int
    connections: int
    memory_mb: int


async def play_round(
    ending: Ending, count: Count, load: Load, name: str, other: tuple[str, int]
) -> None:
    """Start a target, let its streams end in the given way, and count what is seen.

    :param other: address of another target; the new one listens at the same IP address.
    """
    listener = (other[0], free_port(other[0]))
    address = f"{listener[0]}:{listener[1]}"
    target = await start_target(name, address, ending, load.memory_mb)
    async with asyncio.timeout(START_TIMEOUT_S):
        while await read_instance(address) != name:
            await asyncio.sleep(0.02)
    proxy = Proxy(listener)
    await proxy.start(other[0])
    idle = [await asyncio.open_connection(*listener) for _ in range(load.connections)]
    link = LINK_MODES.get(ending)
    used = listener if link is None else (other[0], proxy.port)
    streams = [
        asyncio.ensure_future(follow_stream(count, target, used, other, f"{name}-{stream}"))
        for stream in range(load.streams)
    ]
    await asyncio.sleep(EVENTS_BEFORE_END * EVENT_INTERVAL_S)
    if ending in SIGNALS:
        target.process.send_signal(SIGNALS[ending])
    if link is not None:
        proxy.set_mode(link)
    processes = [target]
    if ending is Ending.REPLACED:
        processes.append(await start_target(f"{name}-next", address, ending, 0))
    await asyncio.gather(*streams)
    for _, writer in idle:
        writer.transport.abort()
    await proxy.stop()
    for process in processes:
        await process.end()


def print_counts(counts: dict[Ending, Count]) -> None:
    """Print one row for each way of ending, and one for each of its signs."""
    print(f"| ending, sign | {' | '.join(f'{delay * 1000:g} ms' for delay in DELAYS_S)} |")
    print(f"|---|{'---|' * len(DELAYS_S)}")
    for ending, count in counts.items():
        seen = ", ".join(
            f"{number} {end.value}{' inside an event' if inside else ''}"
            for (end, inside), number in count.ends.items()
        )
        print(f"| **{ending.value}**: {seen}; {count.cut} cut{' |' * (len(DELAYS_S) + 1)}")
        for sign in sorted({sign for _, sign in count.signs}):
            row = " | ".join(f"{count.signs[delay, sign]}" for delay in DELAYS_S)
            if any(count.signs[delay, sign] for delay in DELAYS_S):
                print(f"| {sign}, of {count.alike} | {row} |")


async def measure(rounds: int, load: Load, endings: list[Ending]) -> None:
    """Play all rounds of each way of ending and print what was counted."""
    subnet, guard = reserve_subnet()
    ip = f"{subnet}1"
    other = TargetStandin("other", events=EVENTS, unframed_share=1.0)
    await other.start(ip)
    counts = {ending: Count() for ending in endings}
    for number in range(rounds):
        for ending in endings:
            name = f"{ending.name.lower()}-{number}"
            await play_round(ending, counts[ending], load, name, (ip, other.server.port))
    other.server.abort()
    guard.close()
    print_counts(counts)


def main(
    rounds: Annotated[int, typer.Option(help="rounds of each way of ending")] = 5,
    streams: Annotated[int, typer.Option(help="streams of a target")] = 8,
    connections: Annotated[int, typer.Option(help="further connections of a target")] = 0,
    memory_mb: Annotated[int, typer.Option(help="memory of a target in MiB")] = 0,
    ending: Annotated[str, typer.Option(help="only this way of ending, by its name")] = "",
    target: Annotated[str, typer.Option(hidden=True)] = "",
    address: Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Count the signs of complete and of cut answers, or run one target."""
    if target:
        asyncio.run(run_target(target, *split_address(address), Ending[ending], memory_mb))
        return
    endings = [Ending[ending]] if ending else list(Ending)
    asyncio.run(measure(rounds, Load(streams, connections, memory_mb), endings))


if __name__ == "__main__":
    typer.run(main)
