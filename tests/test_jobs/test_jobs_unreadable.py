"""Tests of keys that a foreign writer has overwritten with invalid values."""

from __future__ import annotations

import pytest

from gradepoint.ids import JobId
from gradepoint.jobs.records import JOB_PREFIX, input_prefix, part_key, quota_key
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
