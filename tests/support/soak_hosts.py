"""Gateways and data hosts of a soak test that run on one loop, on an in-memory network."""

from __future__ import annotations

import asyncio
import random
import signal
from abc import ABC, abstractmethod
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bench.soak.fleet import DataHostProcess, GatewayProcess, ProgramProcess
from bench.soak.proxy import Proxy
from gradepoint.cmd.gateway_program import PLATFORM
from gradepoint.gateway.app import Gateway
from gradepoint.gateway.settings import check_gateway_settings
from gradepoint.spool.app import DataHost
from gradepoint.spool.settings import check_data_host_settings

from .platform import connect_store
from .virtual_network import PROGRAM_INCARNATION, NetworkLoop


class LoopProgram(ProgramProcess, ABC):
    """A program that handles signals like a process, but runs on the test's loop.

    :ivar life: the number of starts so far.
    """

    def __init__(self, name: str, address: str, folder: Path, store: Proxy) -> None:
        self.name = name
        self.address = address
        self.folder = folder
        self.store = store
        self.incarnation = 0
        self.running = False
        self.stop_requested = False
        self.program: Any = None
        self.more_settings = {}
        self.violations = []
        self.ports = [self.loop.next_port() for _ in range(4)]

    @property
    def loop(self) -> NetworkLoop:
        """The loop that the program runs on."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, NetworkLoop)
        return loop

    @property
    def alive(self) -> bool:
        """See :meth:`ProgramProcess.alive`."""
        return self.running

    @property
    def stopping(self) -> bool:
        """See :meth:`ProgramProcess.stopping`."""
        return self.stop_requested

    def observe(self) -> None:
        """See :meth:`ProgramProcess.observe`; a failure is noted at once."""

    def _note_failure(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.violations.append(f"{self.program_incarnation}: ended by {error!r}")

    @property
    def program_incarnation(self) -> str:
        """Identifier of the current incarnation, unique among all programs."""
        return f"{self.name}.{self.incarnation}"

    @abstractmethod
    def make_program(self, settings: dict[str, object], rng: random.Random) -> Any:
        """Return the program, not started yet."""

    def start(self, *, write: bool = True, closed: Sequence[str] = ()) -> None:
        """See :meth:`ProgramProcess.start`; neither parameter has an effect here."""
        self.kill_and_wait()
        self.incarnation += 1
        self.running = True
        self.stop_requested = False
        token = PROGRAM_INCARNATION.set(self.program_incarnation)
        try:
            rng = random.Random(f"{self.loop.seed} {self.program_incarnation}")
            self.program = self.make_program(self.make_settings(), rng)
            asyncio.ensure_future(self.program.start()).add_done_callback(self._note_failure)
        finally:
            PROGRAM_INCARNATION.reset(token)

    def send(self, number: signal.Signals) -> None:
        """See :meth:`ProgramProcess.send`.

        SIGSTOP cuts the program's ports off; the program itself keeps running.
        """
        if not self.running:
            return
        if number is signal.SIGTERM:
            self.stop_requested = True
            token = PROGRAM_INCARNATION.set(self.program_incarnation)
            stopping = asyncio.ensure_future(self._stop(self.program_incarnation))
            stopping.add_done_callback(self._note_failure)
            PROGRAM_INCARNATION.reset(token)
        elif number is signal.SIGSTOP:
            self.loop.silent.update(self.ports)
        elif number is signal.SIGCONT:
            self.loop.silent.difference_update(self.ports)
        elif number is signal.SIGHUP:
            self.reload()

    async def _stop(self, incarnation: str) -> None:
        await self.program.stop()
        if self.program_incarnation == incarnation:
            self.running = False

    def reload(self) -> None:
        """Handle SIGHUP; the default ignores it."""

    def kill_and_wait(self) -> None:
        """See :meth:`ProgramProcess.kill_and_wait`."""
        # Also the ports of a program that has stopped while they were cut off.
        self.loop.silent.difference_update(self.ports)
        self.running = False
        if self.incarnation:
            self.loop.kill(self.program_incarnation)


class LoopGateway(LoopProgram, GatewayProcess):
    """A gateway on the test's loop."""

    def make_program(self, settings: dict[str, object], rng: random.Random) -> Gateway:
        """See :meth:`LoopProgram.make_program`."""
        checked = check_gateway_settings(settings).unwrap()
        kv = connect_store(checked.store_address, checked)
        gateway = Gateway(checked, kv, PLATFORM)
        for part in (gateway.kv, gateway.worker, gateway.forwarder):
            part.rng.seed(rng.random())
        return gateway

    def reload(self) -> None:
        """See :meth:`LoopProgram.reload`."""
        self.program.reload()


class LoopDataHost(LoopProgram, DataHostProcess):
    """A data host on the test's loop."""

    def make_program(self, settings: dict[str, object], _: random.Random) -> DataHost:
        """See :meth:`LoopProgram.make_program`."""
        checked = check_data_host_settings(settings).unwrap()
        kv = connect_store(checked.store_address, checked)
        return DataHost(checked, kv)
