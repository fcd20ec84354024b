"""Tests of keys that a foreign writer has overwritten with invalid values."""

from __future__ import annotations

import msgspec
import pytest

from gradepoint.ids import ItemId, JobId
from gradepoint.jobs.records import (
    JOB_PREFIX,
    ItemOutcome,
    Result,
    decode_state,
    encode_state,
    input_prefix,
    job_key,
    part_key,
    quota_key,
)
from gradepoint.peers.presence import PRESENCE_PREFIX
from tests.support.platform import Deployment, run_in_virtual_time, until


@pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"[]", b"{}"])
def test_unreadable_keys_affect_only_themselves(raw: bytes) -> None:
    """A foreign writer puts invalid values under presence, job, quota and input keys. Hosts, jobs
    and quotas with valid records must work as before.
    """

    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        store = deployment.store
        store.put(PRESENCE_PREFIX + "a-stranger", raw)
        store.put(JOB_PREFIX + "strange-job", raw)
        store.put(quota_key("night"), raw)
        assert (await deployment.submit("job", 3)).status == 202
        assert len(await deployment.read_all_results("job", gateway=1)) == 3
        lost, left = deployment.gateways
        deployment.targets[0].event_interval_s = 1.0
        for job_id in ("a-job", "left"):
            assert (await deployment.submit(job_id, 2)).status == 202
        store.put(part_key(input_prefix(JobId("a-job")), 0), raw)
        await deployment.kill(lost)
        deployment.targets[0].event_interval_s = 0.0
        rows = await deployment.read_all_results("left")
        assert {row["state"] for row in rows} == {"complete"}
        # The watch still reports hosts that are added later.
        await deployment.add_gateway("late")
        await until(lambda: set(left.hosts.hosts) == {"host-1", "late"})

    run_in_virtual_time(work)


def test_job_that_lists_items_which_it_does_not_have_affects_only_itself() -> None:
    # Its waiting tokens could not be counted, and each job of the route was answered 500.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1, event_interval_s=5.0)
        assert (await deployment.submit("job", 1)).status == 202
        store = deployment.store
        state = decode_state(store.keys.keys[job_key(JobId("job"))].value)
        listed = [Result(7, ItemOutcome.COMPLETE)]
        ids = [ItemId("a"), ItemId("b")]
        wrong = msgspec.structs.replace(state, item_ids=ids, item_tokens=[1, 1], listed=listed)
        store.put(job_key(JobId("a-job")), encode_state(wrong))
        store.put(quota_key("night"), b"no record")
        assert (await deployment.submit("later", 1)).status == 202
        lost = deployment.gateways[0]
        await deployment.kill(lost)
        deployment.targets[0].event_interval_s = 0.0
        assert len(await deployment.read_all_results("job")) == 1

    run_in_virtual_time(work)
