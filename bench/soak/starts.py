"""Starts of programs in trouble: under conditions that pass while the program starts."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass, field

from gradepoint.standins.ports import LOOPBACK
from gradepoint.util.tasks import TaskGroup
from gradepoint.wire.http_server import RESET_ON_CLOSE

from .fleet import IGNORABLE_SIGNALS, STDOUT_CLOSED, DataHostProcess, ProgramProcess
from .proxy import ProxyMode

MAX_TROUBLE_S = 2.0
"""Most seconds for which a condition lasts."""
MAX_SIGNAL_S = 0.5
"""Seconds after a start in which signals are sent, and in which a series starts the host again."""
MAX_TROUBLES = 3
MAX_ABORTED_STARTS = 3
ABORTED_SHARE = 0.3
"""Share of starts that are the last ones of a series."""
TROUBLES = ("port", "settings", "descriptors", "signal", "store", "data-folder")
"""Kinds of trouble; only data hosts have the last one."""
HOLDERS = ("listener", "connection", "datagrams")
"""What occupies a port; only the port for peers has datagrams."""
REDIRECTIONS = ("<&-", STDOUT_CLOSED, "2>&-")
FOREIGN_NAMES = ("lost+found", ".nfs", "core", "job")


@dataclass
class TroubledStarts:
    """Starts programs again, each time with troubles that the seed draws.

    :param list_programs: returns all programs.
    :param note_start: called with each program that is about to be started.
    :ivar counts: number of troubles by kind.
    :ivar passing: tasks that end conditions or send signals.
    """

    seed: int
    list_programs: Callable[[], list[ProgramProcess]]
    note_start: Callable[[ProgramProcess], None]
    tasks: TaskGroup
    counts: Counter[str] = field(default_factory=Counter)
    passing: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed} starts")

    async def restart_forever(self) -> None:
        """Stop and start random programs until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            program = self.rng.choice(self.list_programs())
            program.send(self.rng.choice((signal.SIGKILL, signal.SIGTERM)))
            await asyncio.sleep(self.rng.uniform(0.0, MAX_TROUBLE_S))
            await self.start(program)

    async def start(self, program: ProgramProcess) -> None:
        """Start a program with troubles; before that, a series may start and end it."""
        if self.rng.random() < ABORTED_SHARE:
            for _ in range(self.rng.randint(1, MAX_ABORTED_STARTS)):
                self._start_once(program)
                self.counts["series"] += 1
                await asyncio.sleep(self.rng.uniform(0.0, MAX_SIGNAL_S))
                program.send(self.rng.choice((signal.SIGKILL, signal.SIGTERM)))
                await asyncio.sleep(self.rng.uniform(0.0, MAX_SIGNAL_S))
        self._start_once(program)

    async def wait_until_passed(self) -> None:
        """Wait until no condition lasts and no signal is to be sent."""
        while self.passing:
            await asyncio.wait(self.passing)

    def _start_once(self, program: ProgramProcess) -> None:
        program.kill_and_wait()
        self.note_start(program)
        kinds = TROUBLES if isinstance(program, DataHostProcess) else TROUBLES[:-1]
        drawn = self.rng.sample(kinds, self.rng.randint(1, MAX_TROUBLES))
        self.counts.update(drawn)
        closed: list[str] = []
        if "port" in drawn:
            self._occupy_port(program)
        if "settings" in drawn:
            self._damage_settings(program)
        if "descriptors" in drawn:
            closed = self.rng.sample(REDIRECTIONS, self.rng.randint(1, len(REDIRECTIONS)))
        if "store" in drawn:
            program.store.set_mode(self.rng.choice((ProxyMode.RESET, ProxyMode.SILENCE)))
            self._end_later(lambda: program.store.set_mode(ProxyMode.PASS))
        if isinstance(program, DataHostProcess) and "data-folder" in drawn:
            self._add_foreign_entries(program)
        program.start(write="settings" not in drawn, closed=closed)
        if "signal" in drawn:
            number, after_s = self.rng.choice(IGNORABLE_SIGNALS), self.rng.uniform(0, MAX_SIGNAL_S)
            self._keep(send_when_handled(program, number, after_s))

    def _occupy_port(self, program: ProgramProcess) -> None:
        ports = program.ports[2:] if isinstance(program, DataHostProcess) else program.ports
        port = self.rng.choice(ports)
        holder = self.rng.choice(HOLDERS if port == program.ports[2] else HOLDERS[:-1])
        sockets = ExitStack()
        try:
            occupy(sockets, (program.address, port), holder)
        except OSError:
            # An earlier trouble occupies it already.
            sockets.close()
        else:
            self._end_later(sockets.close)

    def _damage_settings(self, program: ProgramProcess) -> None:
        program.write_settings()
        whole = program.settings_file.read_bytes()
        content = self.rng.choice((None, b"", whole[: self.rng.randrange(1, len(whole))]))
        if content is None:
            program.settings_file.unlink()
        else:
            program.settings_file.write_bytes(content)
        self._end_later(program.write_settings)

    def _add_foreign_entries(self, program: DataHostProcess) -> None:
        for _ in range(self.rng.randint(1, MAX_TROUBLES)):
            folder = program.disk / self.rng.choice((".", "spool", "spool-temporary"))
            folder.mkdir(parents=True, exist_ok=True)
            self.counts["foreign entry"] += 1
            path = folder / f"{self.rng.choice(FOREIGN_NAMES)}-{self.counts['foreign entry']}"
            kind = self.rng.choice(("folder", "link", "noise", "empty"))
            if kind == "folder":
                (path / "inner").mkdir(parents=True)
            elif kind == "link":
                path.symlink_to("nowhere")
            else:
                path.write_bytes(self.rng.randbytes(300) if kind == "noise" else b"")

    def _end_later(self, end: Callable[[], None]) -> None:
        async def end_after(seconds: float) -> None:
            try:
                await asyncio.sleep(seconds)
            finally:
                end()

        self._keep(end_after(self.rng.uniform(0.0, MAX_TROUBLE_S)))

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = self.tasks.start(work)
        self.passing.add(task)
        task.add_done_callback(self.passing.discard)


def occupy(sockets: ExitStack, address: tuple[str, int], holder: str) -> None:
    """Occupy an address by one of :data:`HOLDERS`.

    :param sockets: gets the sockets that have to be closed.
    """
    kind = socket.SOCK_DGRAM if holder == "datagrams" else socket.SOCK_STREAM
    taken = sockets.enter_context(socket.socket(socket.AF_INET, kind))
    # Former connections of the program to the port do not prevent this.
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind is socket.SOCK_STREAM)
    taken.bind(address)
    if holder == "listener":
        taken.listen()
    elif holder == "connection":
        # A connection that got its port from the system does not share it.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        other = sockets.enter_context(socket.create_server((LOOPBACK, 0)))
        taken.connect(other.getsockname())


async def send_when_handled(
    program: ProgramProcess, number: signal.Signals, after_s: float
) -> None:
    """Send a signal to a program that has started, as soon as it handles or ignores it.

    :param after_s: seconds after the start before which it is not sent.
    """
    incarnation = program.incarnation
    await asyncio.sleep(after_s)
    until = asyncio.get_running_loop().time() + MAX_TROUBLE_S
    while program.incarnation == incarnation and asyncio.get_running_loop().time() < until:
        if program.handles(number):
            program.send(number)
            return
        await asyncio.sleep(0.005)
