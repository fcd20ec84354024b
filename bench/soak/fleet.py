"""The real gateway programs as processes, each behind proxies of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

import msgspec

from .proxy import Proxy

ROOT = Path(__file__).resolve().parents[2]


def free_ports(address: str, count: int) -> list[int]:
    """Return ports of *address* that are free for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with (
            closing(socket(AF_INET, SOCK_STREAM)) as tcp,
            closing(socket(AF_INET, SOCK_DGRAM)) as udp,
        ):
            tcp.bind((address, 0))
            port = int(tcp.getsockname()[1])
            try:
                udp.bind((address, port))
            except OSError:
                continue
            ports.append(port)
    return ports


@dataclass
class GatewayProcess:
    """One gateway; its address stays the same over its lives.

    :ivar life: number of the process's life, from 1 on.
    """

    name: str
    address: str
    folder: Path
    store: Proxy
    life: int = 0
    process: subprocess.Popen[bytes] | None = None
    ports: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.ports = free_ports(self.address, 4)

    @property
    def callers(self) -> tuple[str, int]:
        """Address of callers' HTTP."""
        return self.address, self.ports[0]

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the program with settings for this host; a former process ends first, since two
        troubles may restart one host at the same time."""
        self.reap()
        callers, ready, peers, metrics = self.ports
        settings = {
            "host": self.name,
            "failure_domain": "zone-a",
            "address": self.address,
            "callers_address": f"{self.address}:{callers}",
            "ready_address": f"{self.address}:{ready}",
            "peer_ports": str(peers),
            "metrics_port": metrics,
            "store_address": f"{self.address}:{self.store.port}",
            "grace_s": 6.0,
        }
        file = self.folder / f"{self.name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        self.life += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gradepoint.cmd.gateway", "--settings", str(file)],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        if self.alive and self.process is not None:
            self.process.send_signal(number)

    def reap(self) -> None:
        """End its process and wait for it."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
