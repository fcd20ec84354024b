"""Drawn entries of another writer change nothing for calls and jobs, also over a restart.

``python -m tests.test_gateway.test_gateway_drawn_entries FIRST COUNT [--lost-keys]`` tries
further seeds, or with the option overwrites keys that the deployment needs.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import traceback
from pathlib import Path

import msgspec
import pytest

from bench.foreign_entries import draw_entries
from gradepoint.gateway.held import HELD_PREFIX, HeldRow
from gradepoint.ids import ItemId, TargetNumber
from gradepoint.jobs.records import JOB_PREFIX, JobState, encode_state
from gradepoint.routing.suspects import Trial
from gradepoint.telemetry import logs
from tests.support.foreign_entries import (
    DATA_HOST,
    NEEDED_KEYS,
    SPARE_JOB,
    SPARE_KEYS,
    check_job,
    check_service,
    collect_faults,
    draw_entries_over,
    list_places,
    make_generator,
    put_entries,
    restart_all,
)
from tests.support.platform import HOST, Deployment, run_in_virtual_time

SEEDS = range(1, 13)
HELD_SEEDS = (15, 20)
"""Seeds in which the record of a held request has a trial of an unknown kind."""
JOB_SEEDS = (26, 43)
"""Seeds with a job of which the name cannot be sent to other hosts, and with one without input
parts that is listed before an accepted job."""
SLOT_SEEDS = (222,)
"""Seeds with a target whose number of slots is beyond the range of a float."""
ENTRIES = 2
"""Entries at each place."""
ITEMS = 4
EVENT_INTERVAL_S = 0.1
RUNNING_S = 0.25
"""Seconds after which the restart interrupts the first job, of which all items run then."""


def run_beside_entries(seed: int, folder: Path) -> None:
    """Write drawn entries, restart all hosts while they stand, and check calls and jobs."""

    async def work(deployment: Deployment) -> None:
        await start(deployment, folder)
        rng = make_generator(seed)
        entries = draw_entries(list_places(deployment), rng, ENTRIES)
        put_entries(deployment, entries + draw_entries_over(deployment, SPARE_KEYS, rng))
        await check_service(deployment)
        assert (await deployment.submit("before", ITEMS)).status == 202
        await asyncio.sleep(RUNNING_S)
        await restart_all(deployment, folder)
        await check_service(deployment)
        # The restart interrupts runs, which are continued.
        await check_job(deployment, "before", ITEMS, max_runs=2)
        await check_new_jobs(deployment)

    with collect_faults() as faults:
        run_in_virtual_time(work, seed)
    assert not faults, faults


def run_beside_lost_keys(seed: int, folder: Path) -> None:
    """Overwrite one key that the deployment needs while a job runs, restart all hosts, and check
    calls and new jobs."""

    async def work(deployment: Deployment) -> None:
        await start(deployment, folder)
        assert (await deployment.submit("before", ITEMS)).status == 202
        await asyncio.sleep(RUNNING_S)
        rng = make_generator(seed)
        entry = rng.choice(draw_entries_over(deployment, NEEDED_KEYS, rng))
        print(f"seed {seed}: {entry}", flush=True)
        put_entries(deployment, [entry])
        await check_service(deployment)
        await restart_all(deployment, folder)
        await check_service(deployment)
        await check_new_jobs(deployment)

    with collect_faults() as faults:
        run_in_virtual_time(work, seed)
    assert not faults, faults


async def start(deployment: Deployment, folder: Path) -> None:
    """Start hosts and targets, and let a job end."""
    await deployment.start(gateways=2, targets=3, event_interval_s=EVENT_INTERVAL_S)
    await deployment.add_data_host(DATA_HOST, folder / DATA_HOST)
    assert (await deployment.submit(SPARE_JOB, ITEMS)).status == 202
    await check_job(deployment, SPARE_JOB, ITEMS, max_runs=1)


async def check_new_jobs(deployment: Deployment) -> None:
    """Check that each gateway accepts a job, which is then done."""
    for gateway in range(len(deployment.gateways)):
        assert (await deployment.submit(f"new-{gateway}", ITEMS, gateway=gateway)).status == 202
        await check_job(deployment, f"new-{gateway}", ITEMS, max_runs=1)


@pytest.mark.parametrize("seed", [*SEEDS, *HELD_SEEDS, *JOB_SEEDS, *SLOT_SEEDS])
def test_drawn_entries_cost_no_call_and_no_job_over_a_restart(seed: int, tmp_path: Path) -> None:
    # An entry with nested fields ended the reading of a whole list, and of each sweep for jobs.
    run_beside_entries(seed, tmp_path)


@pytest.mark.parametrize("number", [-1, 1 << 32, 1 << 64])
def test_held_request_with_a_number_of_no_target_ends_no_loop(number: int) -> None:
    # Messages to other hosts could not be encoded, as long as the entry stood.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2)
        row = HeldRow(HOST, "POST", "/plain/a", [], [(TargetNumber(number), Trial.ALONE)])
        deployment.store.put(f"{HELD_PREFIX}{7:016x}", msgspec.json.encode(row))
        await deployment.wait_until_all_heard()
        assert (await deployment.call("/plain/a")).status == 200
        kept.update(deployment.gateways[0].held.rows)

    kept: dict[object, object] = {}
    with collect_faults() as faults:
        run_in_virtual_time(work)
    assert not faults
    assert not kept


@pytest.mark.parametrize("name", ["another", "a\nb", "\N{LATIN SMALL LETTER E WITH ACUTE}"])
def test_state_of_a_job_without_items_stops_no_adoption(name: str, tmp_path: Path) -> None:
    # Each sweep ended at that job, and an accepted job listed behind it was never adopted.
    async def work(deployment: Deployment) -> None:
        await start(deployment, tmp_path)
        assert (await deployment.submit("before", ITEMS)).status == 202
        await asyncio.sleep(RUNNING_S)
        owner = deployment.gateways[0].own.incarnation
        state = JobState("night", HOST, owner, 1, [ItemId("a")], [9])
        for number in range(6):
            deployment.store.put(f"{JOB_PREFIX}{name}{number}", encode_state(state))
        await restart_all(deployment, tmp_path)
        await check_job(deployment, "before", ITEMS, max_runs=2)

    with collect_faults() as faults:
        run_in_virtual_time(work)
    assert not faults, faults


def test_unreadable_configuration_is_no_fault_of_gradepoint() -> None:
    # The loop that reads the operator's keys failed, and no later version was read.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2)
        rng = make_generator(1)
        for version in range(2, 12):
            put_entries(deployment, draw_entries_over(deployment, ["op/config"], rng))
            await deployment.configure(version, None)
            assert (await deployment.call("/plain/a")).status == 200

    with collect_faults() as faults:
        run_in_virtual_time(work)
    assert not faults, faults


def main(first: int, count: int, lost_keys: bool = False) -> int:
    """Try seeds; print and count those that fail."""
    run = run_beside_lost_keys if lost_keys else run_beside_entries
    logs.configure("tests", "tests", level="ERROR")
    failed = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            try:
                run(seed, Path(folder))
            except Exception:
                failed += 1
                print(f"seed {seed} failed", traceback.format_exc(limit=-3), flush=True)
    print(f"{count - failed} passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(*map(int, sys.argv[1:3]), "--lost-keys" in sys.argv)))
