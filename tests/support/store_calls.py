"""Counts of the calls that gateways make to the key-value service when all of them restart."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.platform.store import PlatformStoreStandin
from gradepoint.cmd.gateway_program import PLATFORM
from gradepoint.gateway.app import Gateway

from .platform import Deployment, connect_store, make_settings, until

if TYPE_CHECKING:
    from gradepoint.gateway.settings import GatewaySettings
    from gradepoint.wire.http_types import Request, Response

START_SPREAD_S = 0.5
"""Seconds over which hosts that got power together begin to serve."""
SETTLE_S = 4.0
"""Seconds until every host hears every other one."""


@dataclass
class CountingStore(PlatformStoreStandin):
    """A stand-in of the service that counts calls by path and prefix.

    :ivar counted: number of calls by the last part of the path, with the prefix of the keys, or
        the folder of the key, where the call names one.
    """

    counted: Counter[str] = field(default_factory=Counter)

    async def handle(self, request: Request) -> Response:
        """See :meth:`PlatformStoreStandin.handle`."""
        kind = request.path.removeprefix("/api/kv-").partition("/")[0]
        key = request.query.get("key_path", "")
        prefix = request.query.get("path_prefix", key.rpartition("/")[0])
        self.counted[f"{kind} {prefix}".strip()] += 1
        return await super().handle(request)

    def count(self, kind: str) -> int:
        """Return the number of calls of a kind, whatever their prefix."""
        return sum(n for name, n in self.counted.items() if name.split()[0] == kind)


def make_gateway(settings: GatewaySettings, deployment: Deployment) -> Gateway:
    """Return a gateway with given settings, which may be those of a killed one."""
    kv = connect_store(deployment.store_address, settings)
    return Gateway(settings, kv, PLATFORM)


async def start_over(
    deployment: Deployment, settings: list[GatewaySettings], rng: random.Random
) -> None:
    """Start gateways at random times within :data:`START_SPREAD_S`; return once all are listed."""

    async def start(own: GatewaySettings) -> None:
        await asyncio.sleep(rng.uniform(0.0, START_SPREAD_S))
        gateway = make_gateway(own, deployment)
        await gateway.start()
        deployment.gateways.append(gateway)

    await asyncio.gather(*(start(own) for own in settings))
    await until(lambda: all(gateway.presence.holds_lease for gateway in deployment.gateways))


async def prepare_hosts(deployment: Deployment, hosts: int, seed: int) -> list[GatewaySettings]:
    """Start a counting store, a target and hosts, and let the hosts hear each other.

    :returns: the settings of the hosts.
    """
    deployment.store = CountingStore()
    await deployment.start(gateways=0, targets=1)
    settings = [
        make_settings(f"host-{number}", deployment.store_address) for number in range(hosts)
    ]
    await start_over(deployment, settings, random.Random(seed))
    await asyncio.sleep(SETTLE_S)
    return settings


async def restart_hosts(
    deployment: Deployment, settings: list[GatewaySettings], away_s: float, seed: int
) -> None:
    """Kill the hosts with the given settings at once, and start them again after *away_s*."""
    hosts = {own.host for own in settings}
    for gateway in [g for g in deployment.gateways if g.settings.host in hosts]:
        await deployment.kill(gateway)
    await asyncio.sleep(away_s)
    await start_over(deployment, settings, random.Random(seed))
