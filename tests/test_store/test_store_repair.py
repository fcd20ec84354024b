"""Repair, garbage collection and retention of bulk objects, with real store programs."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from gradepoint.batch.records import FILES_PREFIX, FileRecord
from gradepoint.ids import ObjectHash
from gradepoint.kv.service import Put, Transaction
from gradepoint.standins.tier import HostPrograms, LocalTier
from gradepoint.store.disk import DiskStore
from gradepoint.store.replicas import DataHost, rank_hosts
from gradepoint.util.hashing import sha256_hex
from tests.support.tier import Caller, run_tier
from tests.test_tier.test_tier_failures import check_all, results, submit

DATA_HOSTS = frozenset({0, 1, 2})
PAST_ORPHAN_AGE_S = 10 * 86400
"""Age in seconds at which an unreferenced object is old enough to be collected."""


def disk_of(host: HostPrograms) -> DiskStore:
    """Return the object store on a host's disk."""
    assert host.store is not None
    return host.store.store.disk


def copies(tier: LocalTier, name: str) -> int:
    """Return the number of hosts whose file of the object has the right hash."""
    paths = [disk_of(host).path(ObjectHash(name)) for host in tier.hosts]
    return sum(path.exists() and sha256_hex(path.read_bytes()) == name for path in paths)


def test_first_two_hosts_are_in_different_failure_domains() -> None:
    hosts = [DataHost(f"h{n}", f"d{n % 3}", "", 0) for n in range(12)]
    for number in range(200):
        first, second = rank_hosts(f"object-{number}", hosts)[:2]
        assert first.failure_domain != second.failure_domain


def test_corrupt_and_lost_copies_are_read_elsewhere_and_restored(tmp_path: Path) -> None:
    """A truncated or deleted copy must not fail reads, and a sweep must replace it."""

    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 40, "repair")
        check_all(await results(caller, url, job_id), 40, "repair")
        housekeeper = tier.hosts[0].control.housekeeper
        names = sorted(await housekeeper.referenced())
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
                # Only a read detects a corrupt copy and moves it away.
                await host.store.store.handle(  # type: ignore[union-attr]
                    _get(name), b""
                )
        await housekeeper.sweep()
        assert all(copies(tier, name) >= 2 for name in names)

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)


def _get(name: str):  # type: ignore[no-untyped-def]
    from gradepoint.store.messages import GetObject

    return GetObject(name)


def test_only_old_unreferenced_objects_are_collected(tmp_path: Path) -> None:
    """A recent object may get its reference later; collecting it would lose data."""

    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 20, "garbage")
        check_all(await results(caller, url, job_id), 20, "garbage")
        store = tier.hosts[0].batch.store
        recent, old = await store.put(b"young orphan"), await store.put(b"old orphan")
        for host in tier.hosts:
            for name in disk_of(host).names():
                if name != recent:
                    path = disk_of(host).path(name)
                    os.utime(path, (path.stat().st_mtime - PAST_ORPHAN_AGE_S,) * 2)
        await tier.hosts[0].control.housekeeper.sweep()
        assert copies(tier, old) == 0
        assert copies(tier, recent) == 2
        check_all(await results(caller, url, job_id), 20, "garbage")

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)


def test_records_are_deleted_only_after_their_retention_time(tmp_path: Path) -> None:
    """A finished job and its files stay readable until their retention time has passed."""

    async def work(tier: LocalTier, caller: Caller) -> None:
        url = tier.hosts[0].entry_url
        job_id = await submit(caller, url, 20, "retention")
        check_all(await results(caller, url, job_id), 20, "retention")
        kv = tier.hosts[0].batch.kv
        housekeeper = tier.hosts[0].control.housekeeper
        await housekeeper.expire_records()
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
        await housekeeper.expire_records()
        assert (await caller.send(f"{url}/v1/batches/{job_id}")).status == 404
        assert not (await kv.range(FILES_PREFIX)).items
        assert not await housekeeper.referenced()

    run_tier(tmp_path, work, data_hosts=DATA_HOSTS)
