"""Gateway and data host programs run as real processes.

Each process reaches the metadata store through a proxy of its own, so that faults can be injected
for one host alone.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from gradepoint.standins.ports import free_port

from .organisations import make_settings as make_quota_settings
from .proxy import Proxy

ROOT = Path(__file__).resolve().parents[2]


@dataclass
class ProgramProcess:
    """One program on one host; its address and ports stay the same across restarts.

    :ivar store: proxy through which the program reaches the metadata store.
    :ivar more_settings: settings beside the program's own.
    :ivar incarnation: incarnation number of the process: 0 before the first start, then 1, 2, ...
    :ivar ports: four reserved ports: callers' HTTP, readiness, peers and metrics.
    :cvar module: module that is run as the program.
    """

    name: str
    address: str
    folder: Path
    store: Proxy
    incarnation: int = 0
    process: subprocess.Popen[bytes] | None = None
    ports: list[int] = field(default_factory=list)
    more_settings: dict[str, object] = field(default_factory=dict)
    module = ""

    def __post_init__(self) -> None:
        self.ports = [free_port(self.address) for _ in range(4)]

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def make_settings(self) -> dict[str, object]:
        """Return the program's settings."""
        peers, metrics = self.ports[2:]
        return {
            "host": self.name,
            "failure_domain": "zone-a",
            "address": self.address,
            "peer_ports": str(peers),
            "metrics_port": metrics,
            "store_address": f"{self.address}:{self.store.port}",
            **self.more_settings,
        }

    def start(self) -> None:
        """Write the settings file and start the program.

        A process that still runs is killed first, since two concurrent faults may restart the
        same host.
        """
        self.kill_and_wait()
        file = self.folder / f"{self.name}.json"
        file.write_bytes(msgspec.json.encode(self.make_settings()))
        self.incarnation += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, "--settings", str(file)],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.alive and self.process is not None:
            self.process.send_signal(number)

    def kill_and_wait(self) -> None:
        """Kill the process, even a stopped one, and wait until it has exited."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class GatewayProcess(ProgramProcess):
    """A gateway process."""

    module = "gradepoint.cmd.gateway"

    @property
    def callers(self) -> tuple[str, int]:
        """Address and port on which the gateway accepts callers' HTTP requests."""
        return self.address, self.ports[0]

    def make_settings(self) -> dict[str, object]:
        """See :meth:`ProgramProcess.make_settings`."""
        callers, ready = self.ports[:2]
        return {
            **super().make_settings(),
            "callers_address": f"{self.address}:{callers}",
            "ready_address": f"{self.address}:{ready}",
            "grace_s": 6.0,
            "hosts_lost": 1,
            **make_quota_settings(),
        }


class DataHostProcess(ProgramProcess):
    """A data host process, with a data folder that survives restarts."""

    module = "gradepoint.cmd.data_host"

    def make_settings(self) -> dict[str, object]:
        """See :meth:`ProgramProcess.make_settings`."""
        return {**super().make_settings(), "data_folder": str(self.disk), "disk_mb": 64}

    @property
    def disk(self) -> Path:
        """The data folder."""
        return self.folder / f"{self.name}-disk"
