"""Tests of rows below "gp/live/" that another writer has overwritten, beside the hosts' own."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from gradepoint.gateway.held import HELD_PREFIX, HeldRow
from gradepoint.gateway.identity import KEY_BYTES
from gradepoint.gateway.version_history import RETRY_S, VERSIONS_KEY
from gradepoint.ids import JobId
from gradepoint.jobs.records import end_key
from tests.support.platform import Deployment, run_in_virtual_time

HELD_KEY = HELD_PREFIX + "ab" * KEY_BYTES
NO_ROWS = [b"", b"\xff\xfe", b"[" * 2000 + b"]" * 2000]
HELD_ROWS = [
    *NO_ROWS,
    *(
        msgspec.json.encode(HeldRow("h", "POST", "/p", [], ends))  # type: ignore[arg-type]
        for ends in (
            [[1 << 70, 2], [1, 2]],
            [[-1, 2], [1, 2]],
            [[1, 9]],
            [[number, 2] for number in range(20_000)],
        )
    ),
]


async def restart_all(deployment: Deployment) -> None:
    """Kill all gateways and start as many again."""
    count = len(deployment.gateways)
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    for number in range(count):
        await deployment.add_gateway(f"host-{number}")


@pytest.mark.parametrize("raw", HELD_ROWS, ids=range(len(HELD_ROWS)))
def test_overwritten_held_row_ends_no_messages_of_hosts(raw: bytes) -> None:
    """A number out of range must not reach the messages of hosts, which could not encode it."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=3, targets=1)
        deployment.store.put(HELD_KEY, raw)
        for _ in range(2):
            await asyncio.sleep(10.0)
            await deployment.wait_until_all_heard()
            for gateway in range(3):
                assert (await deployment.call("/plain/a", gateway=gateway)).status == 200
            await restart_all(deployment)

    run_in_virtual_time(work)


@pytest.mark.parametrize("raw", NO_ROWS)
def test_overwritten_versions_are_written_again(raw: bytes) -> None:
    """The record must not stay unreadable: it names the versions of streams after a restart."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        await asyncio.sleep(5.0)
        sound = deployment.store.read(VERSIONS_KEY)
        assert sound is not None
        deployment.store.put(VERSIONS_KEY, raw)
        await asyncio.sleep(5 * RETRY_S)
        record = deployment.store.read(VERSIONS_KEY)
        assert record is not None
        assert msgspec.json.decode(record)["versions"] == msgspec.json.decode(sound)["versions"]

    run_in_virtual_time(work)


def test_foreign_notice_of_an_end_does_not_stop_a_job() -> None:
    """The owner dropped the job that a key below "gp/live/end/" names, ended or not, and ran its
    items again, as often as the keys were read as a whole.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        target = deployment.targets[0]
        target.event_interval_s = 0.3
        assert (await deployment.submit("job", 3)).status == 202
        await asyncio.sleep(1.0)
        deployment.store.put(end_key(JobId("job")), b"")
        assert len(await deployment.read_all_results("job")) == 3
        assert set(target.ran.values()) == {1}

    run_in_virtual_time(work)
