"""Processor time of one gateway in a fleet of many: at its start, and a second at rest.

The gateway is a real program on loopback. Its peers are made up: rows in a stand-in of the
store, and datagrams as often as real hosts send them while calls come.

    python -m bench.fleet_cost --hosts 9 --hosts 55 --hosts 165 --hosts 400
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from gradepoint.ids import ConfigVersion, HostName, Incarnation, TargetId, TargetNumber
from gradepoint.kv.service import RangeResult, WatchEvent
from gradepoint.kv.view import PrefixView
from gradepoint.peers.datagrams import (
    DATAGRAM_FORMAT,
    Beat,
    DatagramSocket,
    Digest,
    Member,
    Message,
    Report,
    Sums,
    number_target,
)
from gradepoint.peers.members import KnownMembers, MemberTable, strip_beat
from gradepoint.peers.occupancy import (
    DIGEST_GAP_PER_PEER_S,
    DIGEST_GAP_S,
    choose_aggregators,
)
from gradepoint.peers.occupancy import LONGEST_GAP_S as LONGEST_DIGEST_GAP_S
from gradepoint.peers.presence import LIVE_PREFIX, PRESENCE_PREFIX, HostPresence, make_incarnation
from gradepoint.standins.ports import LOOPBACK, free_port
from gradepoint.wire.http_server import HttpServer
from gradepoint.wire.http_types import Request, Response

from .platform.store import PlatformStoreStandin

TARGETS = 37
"""Listed targets; none of them runs."""
WARM_UP_S = 5.0
"""Seconds after the start that are counted to it: the first reads and greetings."""
MEASURED_S = 10.0
"""Seconds at rest that are measured."""

NEWS_GAP_S = 0.5
"""Seconds between beats of a host that watches: it proves its views that often."""
VERSION = ConfigVersion(1)
PREFIXES = {"operator": "op/", "targets": "servers/", "live": LIVE_PREFIX}
SERVICE = "model"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "calls",
            "host": "calls.example",
            "path_prefix": "/calls/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "goal_ms": 300,
            "service": SERVICE,
        }
    ],
    "services": [{"name": SERVICE}],
    "limits": {
        "header_bytes": 4096,
        "body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Unheeded:
    """Implements :class:`~gradepoint.kv.follow.Follower`: passes over what it is told."""

    def reset(self, found: RangeResult) -> None:
        """Take all keys."""

    def change(self, event: WatchEvent) -> None:
        """Take one change."""


@dataclass
class MadeUpFleet:
    """All hosts but the measured one.

    :ivar own: life and address of the measured host, once it is heard.
    :ivar number: of its last report.
    """

    count: int
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    lives: list[Incarnation] = field(default_factory=list)
    own: tuple[Incarnation, str] | None = None
    number: int = 0
    received: int = 0
    members: MemberTable = field(default_factory=MemberTable)

    def __post_init__(self) -> None:
        self.socket = DatagramSocket(self.hear)
        self.server = HttpServer(self.answer)
        self.targets = [number_target(TargetId(f"t{n}")) for n in range(TARGETS)]

    async def start(self) -> str:
        """List hosts and targets; return the store's ``IP:PORT``."""
        port = free_port()
        await self.socket.start(LOOPBACK, port)
        await self.server.start(LOOPBACK, port)
        address = await self.store.start()
        self.store.put("op/config", msgspec.json.encode(CONFIGURATION))
        for number in range(TARGETS):
            self.store.put(f"servers/t{number}", make_entry(f"{LOOPBACK}:{port + 1}"))
        for number in range(self.count):
            host = HostName(f"host-{number}")
            life = make_incarnation(host)
            self.lives.append(life)
            row = HostPresence(host, life, "zone-a", f"{LOOPBACK}:{port}")
            self.store.put(PRESENCE_PREFIX + host, msgspec.json.encode(row))
            beat = self.make_beat(life, watching=number < 3)
            self.members.put(Member(strip_beat(beat), row.peer_address))
        return address

    def hear(self, message: Message, address: str) -> None:
        """Take what the measured host says."""
        self.received += 1
        if isinstance(message, Beat):
            self.own = message.incarnation, address
            self.members.put(Member(strip_beat(message), address))
        elif isinstance(message, Report):
            self.number = message.number

    def send(self, message: Beat | Digest) -> None:
        """Send the measured host a datagram."""
        if self.own is not None:
            self.socket.send(msgspec.msgpack.encode(message), self.own[1])

    async def answer(self, request: Request) -> Response:
        """Tell the measured host which hosts it does not know."""
        known = msgspec.msgpack.decode(await request.read_body(), type=KnownMembers)
        return Response(200, body=msgspec.msgpack.encode(self.members.find_missing(known)))

    async def beat(self) -> None:
        """Greet the measured host as each host does at its start; then one that watches beats."""
        while self.own is None:
            await asyncio.sleep(NEWS_GAP_S)
        for life in self.lives:
            self.send(self.make_beat(life, watching=life in self.lives[:3]))
        number = 0
        while True:
            await asyncio.sleep(NEWS_GAP_S)
            number += 1
            self.send(self.make_beat(self.lives[0], watching=True, proofs=number))

    def make_beat(self, life: Incarnation, *, watching: bool, proofs: int = 0) -> Beat:
        """Return a host's beat."""
        proven = self.prove() if proofs else {}
        return Beat(
            DATAGRAM_FORMAT, life, VERSION, True, watching, {}, [], proven, proofs, number=1
        )

    def prove(self) -> dict[str, tuple[int, int]]:
        """Return the proof that hosts with the store's content lack no change."""
        found = RangeResult(tuple(self.store.keys.keys.values()), self.store.keys.revision)
        proven = {}
        for name, prefix in PREFIXES.items():
            items = tuple(item for item in found.items if item.key.startswith(prefix))
            view = PrefixView(Unheeded())
            view.reset(RangeResult(items, found.revision))
            proven[name] = 0, view.digest
        return proven

    async def tell_sums(self, rank: int) -> None:
        """Send an aggregator's digests for ever; the first one's change all the time."""
        step = 0
        while True:
            gap_s = DIGEST_GAP_S + DIGEST_GAP_PER_PEER_S * self.count if not rank else 0.0
            await asyncio.sleep(gap_s or LONGEST_DIGEST_GAP_S)
            lives = frozenset(self.lives if self.own is None else [*self.lives, self.own[0]])
            aggregators = [life for life in choose_aggregators(lives) if life in self.lives]
            if rank < len(aggregators):
                step += 1
                self.send(self.make_digest(aggregators[rank], step, relied_on=not rank))

    def make_digest(self, life: Incarnation, step: int, *, relied_on: bool) -> Digest:
        """Return sums that differ from those before."""
        loads: dict[TargetNumber, int] = {t: 4 + (step + n) % 3 for n, t in enumerate(self.targets)}
        sums = Sums(life, loads, {}, 0, {}, relied_on, members=self.members.tell(VERSION))
        raw = msgspec.Raw(msgspec.msgpack.encode(sums))
        return Digest(DATAGRAM_FORMAT, self.number, raw)


def make_entry(address: str) -> bytes:
    """Return a target's entry."""
    return msgspec.json.encode(
        {
            "service": SERVICE,
            "addr": address,
            "zone": "zone-a",
            "version": "v1",
            "slot_count": 7,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 1,
        }
    )


def make_settings(store_address: str) -> dict[str, object]:
    """Return the measured gateway's settings."""
    return {
        "host": "measured",
        "failure_domain": "zone-a",
        "address": LOOPBACK,
        "callers_address": f"{LOOPBACK}:{free_port()}",
        "ready_address": f"{LOOPBACK}:{free_port()}",
        "peer_ports": str(free_port()),
        "metrics_port": free_port(),
        "store_address": store_address,
    }


def read_processor_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_waits(pid: int) -> int:
    """Return how often a process has waited so far: once for each time that it woke."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("voluntary_ctxt_switches:")[2].split()[0])


async def measure(hosts: int, profile: Path | None) -> None:
    """Print what one gateway costs in a fleet of *hosts*."""
    fleet = MadeUpFleet(hosts - 1)
    address = await fleet.start()
    loops = [asyncio.ensure_future(fleet.beat())]
    loops += [asyncio.ensure_future(fleet.tell_sums(rank)) for rank in range(3)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(msgspec.json.encode(make_settings(address)))
        how = ["-m", "cProfile", "-o", str(profile)] if profile else []
        command = [sys.executable, *how, "-m", "gradepoint.cmd.gateway", "--settings", str(path)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        try:
            await asyncio.sleep(WARM_UP_S)
            start_s, before = read_processor_s(process.pid), fleet.received
            waits = read_waits(process.pid)
            await asyncio.sleep(MEASURED_S)
            rest_ms = (read_processor_s(process.pid) - start_s) / MEASURED_S * 1000
            woken = (read_waits(process.pid) - waits) / MEASURED_S
            heard = (fleet.received - before) / MEASURED_S
        finally:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)
    print(
        f"{hosts} hosts: {start_s:.2f} s of processor time in the first {WARM_UP_S:.0f} s, "
        f"{rest_ms:.1f} ms a second at rest, {woken:.0f} wake-ups "
        f"and {heard:.0f} datagrams sent a second"
    )
    for loop in loops:
        loop.cancel()
    fleet.socket.stop()
    fleet.server.abort()
    fleet.store.server.abort()


def main(
    hosts: Annotated[list[int], typer.Option(help="Hosts of the fleet.")],
    profile: Annotated[Path | None, typer.Option(help="Where a profile is written.")] = None,
) -> None:
    """Measure one gateway in fleets of several sizes, one after the other."""
    for count in hosts:
        asyncio.run(measure(count, profile))


if __name__ == "__main__":
    typer.run(main)
