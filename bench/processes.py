"""Runs an example deployment as separate processes on separate loopback addresses.

Each run replaces the addresses of the example by those of a loopback subnet of its own, so that
several runs on one machine don't meet.

Only the bench and the tests start processes; gradepoint's own programs start none.
"""

from __future__ import annotations

import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
READY_TIMEOUT_S = 60.0
PROGRAMS = ("store", "control", "entry", "batch")
EXAMPLE_SUBNET = re.compile(rb"127\.0\.\d+\.")
"""Subnet of the addresses in the examples' files."""
GUARD_HOST, GUARD_PORT = 254, 8399
"""Address within a subnet that a run listens at to keep the subnet for itself."""


@dataclass
class Process:
    """One started process and its log file."""

    name: str
    command: list[str]
    log: IO[bytes]
    popen: subprocess.Popen[bytes]

    def kill(self) -> None:
        """Kill the process, like a crash, and wait until it has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a stopped process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)


@dataclass
class ProcessTier:
    """The stand-ins and programs of one example deployment as processes.

    :param example: name of a folder below ``examples``.
    :param run_folder: folder for logs, settings and data; deleted at the start.
    :param overrides: settings that replace those of the example on every host.
    :ivar processes: all processes by name.
    :ivar subnet: first three parts of the addresses of this run, with a dot at the end.
    :ivar guard: socket that keeps the subnet for this run.
    """

    example: str
    run_folder: Path
    processes: dict[str, Process] = field(default_factory=dict)
    overrides: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.subnet, self.guard = reserve_subnet()

    @property
    def folder(self) -> Path:
        """The example's folder."""
        return ROOT / "examples" / self.example

    @property
    def standins(self) -> dict[str, Any]:
        """Addresses, ports and keys of the example's stand-ins."""
        decoded: dict[str, Any] = msgspec.json.decode(self.read("standins.json"))
        return decoded

    def hosts(self) -> list[dict[str, Any]]:
        """Return the example's settings of every host, in the order of host numbers."""
        count = len(list((self.folder / "hosts").glob("*.json")))
        return [msgspec.json.decode(self.read(f"hosts/host-{n + 1}.json")) for n in range(count)]

    def read(self, name: str) -> bytes:
        """Return a file of the example, with addresses of this run's subnet."""
        return self.localise((self.folder / name).read_bytes())

    def localise(self, text: bytes) -> bytes:
        """Return a text with addresses of this run's subnet in place of those of the example."""
        return EXAMPLE_SUBNET.sub(self.subnet.encode(), text)

    def start(self) -> None:
        """Start all processes, apply the example's configuration and wait until all are ready."""
        shutil.rmtree(self.run_folder, ignore_errors=True)
        self.run_folder.mkdir(parents=True)
        standins = self.standins
        for kind in ("kv", "host-list", "service"):
            endpoint = standins[kind]
            self.spawn(kind, ["gradepoint", "standin", kind, *_address_options(endpoint)])
        for number, engine in enumerate(standins["engines"], 1):
            extra = ["--models", engine["models"]]
            if engine.get("ignore_fencing"):
                extra.append("--ignore-fencing")
            self.spawn(
                f"engine-{number}",
                ["gradepoint", "standin", "engine", *_address_options(engine), *extra],
            )
        for number in range(1, len(self.hosts()) + 1):
            self.start_host(number)
        self.wait_healthy()
        self.apply(self.folder / "config.json")
        self.wait_ready()

    def settings_path(self, number: int) -> Path:
        """Write a host's settings with this tier's data folder and overrides; return the path."""
        settings = self.hosts()[number - 1] | self.overrides
        if settings["data_folder"]:
            settings["data_folder"] = str(self.run_folder / f"data-{number}")
        path = self.run_folder / f"host-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def start_host(self, number: int) -> None:
        """Start the programs of one host; the store only where it has a data folder."""
        path = self.settings_path(number)
        for program in PROGRAMS:
            if program == "store" and not self.hosts()[number - 1]["data_folder"]:
                continue
            self.spawn(f"{program}-{number}", [f"gradepoint-{program}", "--settings", str(path)])

    def spawn(self, name: str, command: list[str]) -> Process:
        """Start one process; its output is appended to its log file."""
        log = (self.run_folder / f"{name}.log").open("ab")
        full_command = [str(BIN / command[0]), *command[1:]]
        popen = subprocess.Popen(
            full_command,
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        process = Process(name, full_command, log, popen)
        self.processes[name] = process
        return process

    def kill_host(self, number: int) -> None:
        """Kill all programs of a host."""
        for program in PROGRAMS:
            process = self.processes.get(f"{program}-{number}")
            if process is not None:
                process.kill()

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries."""
        return [f"http://{host['address']}:8400" for host in self.hosts()]

    def admin_url(self, number: int = 1) -> str:
        """Return the base URL of a host's administration API."""
        return f"http://{self.hosts()[number - 1]['address']}:8402"

    def standin_url(self, name: str) -> str:
        """Return a stand-in's base URL."""
        endpoint = self.standins[name]
        return f"http://{endpoint['address']}:{endpoint['port']}"

    def apply(self, path: Path) -> None:
        """Apply a configuration file with ``gradepoint apply``; its addresses may be the
        example's."""
        localised = self.run_folder / path.name
        localised.write_bytes(self.localise(path.read_bytes()))
        subprocess.run(
            [
                str(BIN / "gradepoint"),
                "apply",
                str(localised),
                "--admin",
                self.admin_url(),
                "--key",
                self.standins["operator_key"],
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def wait_healthy(self) -> None:
        """Wait until every control program is reachable."""
        for number in range(1, len(self.hosts()) + 1):
            _wait_until_reachable(f"{self.admin_url(number)}/healthz")

    def wait_ready(self) -> None:
        """Wait until every entry and batch program has a configuration."""
        for host in self.hosts():
            _wait_until_reachable(f"http://{host['address']}:8400/readyz")
            _wait_until_reachable(f"http://{host['address']}:8401/readyz")

    def stop(self) -> None:
        """Terminate every process of this tier; kill those that run for 15 s more."""
        for process in self.processes.values():
            process.resume()
            process.popen.terminate()
        deadline = time.monotonic() + 15
        for process in self.processes.values():
            try:
                process.popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
            process.log.close()
        self.guard.close()


def reserve_subnet() -> tuple[str, socket.socket]:
    """Return the beginning of the addresses of a free loopback subnet, and a socket that keeps it.

    Other runs find the subnet taken until the socket is closed.
    """
    while True:
        subnet = f"127.{random.randint(64, 127)}.{random.randint(0, 255)}."
        try:
            return subnet, socket.create_server((f"{subnet}{GUARD_HOST}", GUARD_PORT))
        except OSError:
            continue


def _address_options(endpoint: dict[str, Any]) -> list[str]:
    return ["--address", endpoint["address"], "--port", str(endpoint["port"])]


def _wait_until_reachable(url: str) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(url, timeout=2):
                return
        except (urllib.error.URLError, OSError):
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)
