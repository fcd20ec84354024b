"""Counts the calls of real gateways to the key-value service on a day of two restarts.

All hosts restart twice, and the service refuses calls once, in virtual time:
``python -m bench.store_calls HOSTS SEED``.
"""

from __future__ import annotations

import asyncio
import sys

from tests.support.platform import Deployment, run_in_virtual_time
from tests.support.store_calls import SETTLE_S, CountingStore, prepare_hosts, restart_hosts

from .platform.store import StoreFault

AWAY_S = 1.0
"""Seconds for which all hosts are down."""
OUTAGE_S = 5.0
"""Seconds for which the service refuses all calls."""
KINDS = ("watch", "range", "txn", "lease", "key", "keep")
RENEWAL_PRICE = 0.1
"""Price of a lease renewal; any other call costs 1."""


async def count_day(deployment: Deployment, hosts: int, seed: int) -> dict[str, int]:
    """Return the calls of a day by kind, without those of the first start."""
    settings = await prepare_hosts(deployment, hosts, seed)
    store = deployment.store
    assert isinstance(store, CountingStore)
    store.counted.clear()
    await restart_hosts(deployment, settings, AWAY_S, seed)
    await asyncio.sleep(SETTLE_S)
    store.fault = StoreFault.BUSY
    await asyncio.sleep(OUTAGE_S)
    store.fault = StoreFault.NONE
    await asyncio.sleep(SETTLE_S)
    await restart_hosts(deployment, settings, AWAY_S, seed + 1)
    await asyncio.sleep(SETTLE_S)
    return {kind: store.count(kind) for kind in KINDS}


def main() -> None:
    """Print the calls by kind and their price."""
    hosts, seed = int(sys.argv[1]), int(sys.argv[2])

    async def work(deployment: Deployment) -> None:
        calls = await count_day(deployment, hosts, seed)
        price = sum(calls.values()) - (1 - RENEWAL_PRICE) * calls["keep"]
        print(calls, "price", round(price, 1))

    run_in_virtual_time(work, seed)


if __name__ == "__main__":
    main()
