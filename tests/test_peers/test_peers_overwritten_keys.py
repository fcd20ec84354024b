"""Tests of keys of live hosts that another writer has overwritten or deleted."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from gradepoint.ids import Incarnation
from gradepoint.peers.presence import (
    DATA_HOST_PREFIX,
    KNOWN_DATA_HOST_PREFIX,
    LEASE_TTL_S,
    PRESENCE_PREFIX,
    HostPresence,
)
from tests.support.platform import Deployment, run_in_virtual_time


def name_former_run(own: HostPresence) -> bytes:
    """Return the value of an earlier run of a host."""
    incarnation = Incarnation(f"{own.host}:0000000000")
    return msgspec.json.encode(msgspec.structs.replace(own, incarnation=incarnation))


@pytest.mark.parametrize("kind", ["empty", "no text", "nested", "former run", "deleted"])
def test_overwritten_live_host_is_listed_again(kind: str, tmp_path: Path) -> None:
    """A host renewed its lease only, and was not listed until its restart."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        data_host = await deployment.add_data_host("data-0", tmp_path)
        store = deployment.store
        own = {
            PRESENCE_PREFIX + "host-0": deployment.gateways[0].own,
            DATA_HOST_PREFIX + "data-0": data_host.presence.own,
            KNOWN_DATA_HOST_PREFIX + "data-0": data_host.presence.own,
        }
        values = {"empty": b"", "no text": b"\xff\xfe", "nested": b"[" * 2000 + b"]" * 2000}
        for key, row in own.items():
            if kind == "deleted":
                store.delete(key)
            else:
                store.put(key, values.get(kind) or name_former_run(row))
        await asyncio.sleep(LEASE_TTL_S)
        for key, row in own.items():
            assert store.read(key) == msgspec.json.encode(row)
        for gateway in deployment.gateways:
            assert gateway.hosts.hosts["host-0"] == deployment.gateways[0].own  # type: ignore[index]
            assert gateway.data_hosts.hosts["data-0"] == data_host.presence.own  # type: ignore[index]
            assert gateway.data_hosts.known["data-0"] == data_host.presence.own  # type: ignore[index]
        # The keys are under the leases of their hosts again.
        await deployment.kill_data_host(data_host)
        await deployment.kill(deployment.gateways[0])
        await asyncio.sleep(2 * LEASE_TTL_S)
        assert store.read(PRESENCE_PREFIX + "host-0") is None
        assert store.read(DATA_HOST_PREFIX + "data-0") is None

    run_in_virtual_time(work)


def test_two_processes_of_one_name_do_not_replace_each_others_keys() -> None:
    """Each wrote its key at each renewal, and each job was adopted and run several times."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=2, event_interval_s=0.5)
        second = deployment.make_gateway("host-0")
        await second.start()
        deployment.gateways.append(second)
        await asyncio.sleep(LEASE_TTL_S)
        assert (await deployment.submit("job", 8)).status == 202
        await deployment.read_all_results("job", gateway=1)
        await asyncio.sleep(2 * LEASE_TTL_S)
        runs = sum((target.ran for target in deployment.targets), Counter())
        assert runs == {f"job-{number}": 1 for number in range(8)}

    run_in_virtual_time(work)
