"""Rows of another writer that are as large as the store takes cost a host no memory."""

from __future__ import annotations

from collections import Counter

import pytest

from gradepoint.gateway.app import Gateway
from gradepoint.gateway.targets import ListedState
from gradepoint.ids import TargetName
from gradepoint.kv.unreadable import MAX_NAMED_ROWS
from gradepoint.telemetry import logs
from tests.support.platform import Deployment, run_in_virtual_time
from tests.test_gateway.test_gateway_foreign_entries import check_targets_run, restart_all

HOST_MEMORY_BYTES = 150_000_000
MAX_KEPT_BYTES = HOST_MEMORY_BYTES // 10
"""Most bytes of all views of a host; the program itself and a read need memory, too."""
LARGE_BYTES = 1_000_000
"""A value of about the size of the largest one that the store takes."""
LIMITED_PREFIXES = [
    "servers/",
    "op/",
    "op/config",
    "op/retire/",
    "gp/live/host/",
    "gp/live/data/",
    "gp/live/known-data/",
    "gp/live/held/",
    "gp/live/end/",
    "gp/live/versions",
    "gp/live/other/",
]


def count_kept_bytes(gateway: Gateway) -> int:
    """Return the bytes of the values in all views of a gateway."""
    views = gateway.watchers.views.values()
    return sum(len(item.value) for view in views for item in view.items.values())


@pytest.mark.parametrize("prefix", LIMITED_PREFIXES)
def test_large_rows_below_a_watched_prefix_fill_no_memory(prefix: str) -> None:
    # A host of 150 MB kept all of them, and was ended for its memory at each start.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=2)
        for number in range(20):
            deployment.store.put(f"{prefix}-{number:02d}", b"x" * LARGE_BYTES)
        await deployment.wait_until_all_heard()
        assert all(count_kept_bytes(row) < MAX_KEPT_BYTES for row in deployment.gateways)
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)
        assert all(count_kept_bytes(row) < MAX_KEPT_BYTES for row in deployment.gateways)

    run_in_virtual_time(work)


def test_many_rows_below_the_limit_of_their_size_fill_no_memory() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        for number in range(2000):
            deployment.store.put(f"servers/a-{number:04d}", b"x" * 16_000)
        await restart_all(deployment)
        await check_targets_run(deployment, deployment.targets)
        assert count_kept_bytes(deployment.gateways[0]) < MAX_KEPT_BYTES

    run_in_virtual_time(work)


def test_target_whose_row_is_overwritten_by_a_large_value_is_unreadable() -> None:
    # A reader that drops the row would take the target for one that has left.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        lost = deployment.targets[0].name
        deployment.store.put(f"servers/{lost}", b"x" * LARGE_BYTES)
        await deployment.wait_until_all_heard()
        target = deployment.gateways[0].targets.by_name[TargetName(lost)]
        assert target.listed.state is ListedState.UNREADABLE
        assert target.vanished_at is None

    run_in_virtual_time(work)


def test_configuration_as_large_as_the_store_takes_is_in_force() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        raw = deployment.store.read("op/config")
        assert raw is not None
        version_2 = raw.replace(b'"version":1', b'"version":2')
        deployment.store.put("op/config", version_2 + b" " * LARGE_BYTES)
        await deployment.wait_until_all_heard()
        current = deployment.gateways[0].configuration.current
        assert current is not None and current.version == 2

    run_in_virtual_time(work)


def test_large_values_below_the_prefix_of_jobs_are_not_kept_by_a_listing() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1, event_interval_s=0.2)
        assert (await deployment.submit("job", 3)).status == 202
        for number in range(20):
            deployment.store.put(f"gp/job/a-{number:02d}", b"x" * LARGE_BYTES)
        found = await deployment.gateways[0].kv.range("gp/job/")
        assert sum(len(item.value) for item in found.items) < MAX_KEPT_BYTES
        assert len(await deployment.read_all_results("job")) == 3

    run_in_virtual_time(work)


def test_rows_that_are_read_again_and_again_are_named_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each read of 5,000 rows wrote 5,000 lines.
    lines: Counter[str] = Counter()
    monkeypatch.setattr(logs, "_write_json", lambda event, _: lines.update([event.name]))

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        gateway = deployment.gateways[0]
        prefixes = [prefix for prefix in LIMITED_PREFIXES if prefix.endswith("/")]
        for prefix in (*prefixes, "gp/job/"):
            for number in range(MAX_NAMED_ROWS * 2):
                deployment.store.put(f"{prefix}x-{number}", b"x")
        deployment.store.put("gp/live/versions", b"x")
        for _ in range(5):
            await gateway.adoption.repository.list_jobs()
            live = await gateway.kv.range("gp/live/")
            gateway.watchers.views["live"].inner.reset(live)

    run_in_virtual_time(work)
    assert set(lines) >= {"host_unreadable", "held_unreadable", "job_unreadable"}
    # Gateways and data hosts are listed in tables of their own.
    assert max(lines.values()) <= 2 * MAX_NAMED_ROWS
    assert lines["versions_unreadable"] == 1


def test_metrics_show_the_view_that_another_writer_fills() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=1)
        deployment.store.put("servers/other", b"x" * LARGE_BYTES)
        await deployment.wait_until_all_heard()
        proofs = deployment.gateways[0].watchers.proofs
        assert proofs.read_stored_bytes()[(("view", "targets"),)] > LARGE_BYTES
        assert proofs.read_rows()[(("view", "targets"),)] == 2

    run_in_virtual_time(work)
