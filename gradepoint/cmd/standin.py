"""Runs one stand-in as a process of its own."""

from __future__ import annotations

import asyncio
import sys

import typer

from ..standins.engine import EngineStandin
from ..standins.kv import KvStandin
from ..standins.others import HostListStandin, ServiceStandin, WeightStoreStandin
from ..telemetry import logs
from ..wire.http_server import HttpServer
from .runner import EXIT_SETTINGS, stop_event

KINDS = {
    "kv": KvStandin,
    "host-list": HostListStandin,
    "weights": WeightStoreStandin,
    "service": ServiceStandin,
}


def run_standin(kind: str, address: str, port: int, models: str, *, checks_fencing: bool) -> None:
    """Run a stand-in until it is asked to stop."""
    if kind not in (*KINDS, "engine"):
        print(f"unknown kind {kind!r}: use engine, {', '.join(KINDS)}", file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS)
    logs.configure(f"standin-{kind}", address, "WARNING", "text")
    asyncio.run(_serve(kind, address, port, models, checks_fencing))


async def _serve(kind: str, address: str, port: int, models: str, checks_fencing: bool) -> None:
    stopped = stop_event()
    if kind == "engine":
        loaded = [name for name in models.split(",") if name]
        engine = EngineStandin(f"{address}:{port}", loaded, checks_fencing=checks_fencing)
        await engine.start(address, port)
        await stopped.wait()
        await engine.stop()
        return
    server: HttpServer = KINDS[kind]().server
    await server.start(address, port)
    await stopped.wait()
    server.abort()
