"""``gradepoint standin``: runs one stand-in of an external system in its own process."""

from __future__ import annotations

import asyncio
import sys

import typer

from ..standins.engine import EngineStandin
from ..standins.kv import KvStandin
from ..standins.services import HostListStandin, ServiceStandin, WeightStoreStandin
from ..telemetry import logs
from ..wire.http_server import HttpServer
from .runner import EXIT_SETTINGS, stop_event

SERVER_STANDINS = {
    "kv": KvStandin,
    "host-list": HostListStandin,
    "weights": WeightStoreStandin,
    "service": ServiceStandin,
}
"""Stand-ins with one HTTP server each, by kind. The engine is started separately."""


def run_standin(kind: str, address: str, port: int, models: str, *, checks_fencing: bool) -> None:
    """Run a stand-in until a stop signal arrives.

    :param kind: a key of :data:`SERVER_STANDINS`, or ``engine``.
    :param models: names of the models that an engine has loaded, separated by commas.
    :param checks_fencing: whether an engine refuses orders with an outdated fencing number.
    """
    if kind not in (*SERVER_STANDINS, "engine"):
        print(f"unknown kind {kind!r}: use engine, {', '.join(SERVER_STANDINS)}", file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS)
    logs.configure(f"standin-{kind}", address, "WARNING", "text")
    asyncio.run(_serve(kind, address, port, models, checks_fencing))


async def _serve(kind: str, address: str, port: int, models: str, checks_fencing: bool) -> None:
    stop_requested = stop_event()
    if kind == "engine":
        loaded = [name for name in models.split(",") if name]
        engine = EngineStandin(f"{address}:{port}", loaded, checks_fencing=checks_fencing)
        await engine.start(address, port)
        await stop_requested.wait()
        await engine.stop()
        return
    server: HttpServer = SERVER_STANDINS[kind]().server
    await server.start(address, port)
    await stop_requested.wait()
    server.abort()
