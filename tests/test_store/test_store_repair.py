"""Bulk objects over real stores: corruption, lost copies, garbage and retention."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from gradepoint.batch.records import FILES_PREFIX, FileRecord
from gradepoint.ids import ObjectHash
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.tier import HostPrograms, LocalTier
from gradepoint.store.disk import DiskStore
from gradepoint.store.replicas import DataHost, place
from gradepoint.util.hashing import sha256_hex
from tests.support.tier import Caller, run_tier
from tests.test_tier.test_tier_failures import check_all, results, submit

DATA_HOSTS = frozenset({0, 1, 2})
LONG_AGO = 10 * 86400


def disk_of(host: HostPrograms) -> DiskStore:
    """Return a host's disk."""
    assert host.store is not None
    return host.store.store.disk


def copies(tier: LocalTier, name: str) -> int:
    """Return how many hosts have a good copy, judged by the file's own bytes."""
    paths = [disk_of(host).path(ObjectHash(name)) for host in tier.hosts]
    return sum(path.exists() and sha256_hex(path.read_bytes()) == name for path in paths)


def test_copies_stand_in_different_domains() -> None:
    hosts = [DataHost(f"h{n}", f"d{n % 3}", "", 0) for n in range(12)]
    for number in range(200):
        first, second = place(f"object-{number}", hosts)[:2]
        assert first.failure_domain != second.failure_domain


def test_corrupt_and_lost_copies_are_read_elsewhere_and_restored(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 40, "repair")
        check_all(await results(caller, url, job_id), 40, "repair")
        keeper = tier.hosts[0].control.housekeeper
        names = sorted(await keeper.referenced())
        assert names and all(copies(tier, name) == 2 for name in names)
        for number, name in enumerate(names):
            holder = next(host for host in tier.hosts if disk_of(host).has(name))
            path = disk_of(holder).path(name)
            if number % 2:
                path.write_bytes(path.read_bytes()[:-3])
            else:
                path.unlink()
        check_all(await results(caller, url, job_id), 40, "repair")
        for name in names:
            for host in tier.hosts:
                # A read is what finds a corrupt copy.
                await host.store.store.handle(  # type: ignore[union-attr]
                    _get(name), b""
                )
        await keeper.sweep()
        assert all(copies(tier, name) >= 2 for name in names)

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)


def _get(name: str):  # type: ignore[no-untyped-def]
    from gradepoint.store.messages import GetObject

    return GetObject(name)


def test_garbage_goes_when_old_and_referenced_objects_stay(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 20, "garbage")
        check_all(await results(caller, url, job_id), 20, "garbage")
        store = tier.hosts[0].batch.store
        young, old = await store.put(b"young orphan"), await store.put(b"old orphan")
        for host in tier.hosts:
            for name in disk_of(host).names():
                if name != young:
                    path = disk_of(host).path(name)
                    os.utime(path, (path.stat().st_mtime - LONG_AGO,) * 2)
        await tier.hosts[0].control.housekeeper.sweep()
        assert copies(tier, old) == 0
        assert copies(tier, young) == 2
        check_all(await results(caller, url, job_id), 20, "garbage")

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)


def test_records_past_their_retention_go_and_unfinished_work_stays(tmp_path: Path) -> None:
    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 20, "retention")
        check_all(await results(caller, url, job_id), 20, "retention")
        kv = tier.hosts[0].batch.kv
        keeper = tier.hosts[0].control.housekeeper
        await keeper.end_retention()
        assert (await caller.send(f"{url}/v1/batches/{job_id}")).status == 200
        repository = tier.hosts[0].batch.repository
        job, _ = await repository.job("demo", job_id)
        assert job is not None
        aged = msgspec.structs.replace(job, finished_at=job.finished_at - 40 * 86400)
        puts = [Put(f"/gradepoint/jobs/demo/{job_id}", msgspec.json.encode(aged))]
        for item in (await kv.range(FILES_PREFIX)).items:
            file = msgspec.json.decode(item.value, type=FileRecord)
            old = msgspec.structs.replace(file, created_at=file.created_at - 40 * 86400)
            puts.append(Put(item.key, msgspec.json.encode(old)))
        await kv.transact(Transaction((), tuple(puts)))
        await keeper.end_retention()
        assert (await caller.send(f"{url}/v1/batches/{job_id}")).status == 404
        assert not (await kv.range(FILES_PREFIX)).items
        assert not await keeper.referenced()

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)
