"""Tests of organisations: API keys, identity headers sent to targets, and refusals."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from bench.platform.store import StoreFault
from bench.platform.target import TargetFault
from gradepoint.gateway.callers import MAX_DENIAL_AGE_S
from gradepoint.gateway.refresh import SharedRefresh
from gradepoint.platform.configuration import decode_configuration
from gradepoint.util.clock import monotonic
from tests.support.platform import (
    ROUTES,
    Deployment,
    configuration,
    job_item,
    organisation,
    route,
    run_in_virtual_time,
    until,
)

KAJE = organisation("kaje", "kaje-key-1", "kaje-key-2")
OTHER = organisation("other", "other-key")
BOTH = [KAJE, OTHER]


def raw_headers(deployment: Deployment) -> list[tuple[bytes, bytes]]:
    """Return the headers of the last request that any target got."""
    return [target.seen[-1] for target in deployment.targets if target.seen][-1].raw_headers


def test_unknown_key_rejected_without_reaching_a_target() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        assert (await deployment.call("/stream/1")).status == 401
        assert (await deployment.call("/stream/1", x_credential="made-up")).status == 401
        assert (await deployment.call("/stream/1", x_tenant="kaje")).status == 401
        assert (await deployment.submit("job", 1)).status == 401
        assert deployment.targets[0].seen == []
        assert (await deployment.call("/stream/1", x_credential="kaje-key-2")).status == 200

    run_in_virtual_time(work)


@pytest.mark.parametrize("spelling", ["x-tenant", "x_tenant"])
def test_caller_cannot_set_the_organisation_header(spelling: str) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        forged_headers: dict[str, Any] = {spelling: "other", "authorization": "Bearer kaje-key-1"}
        answer = await deployment.call("/plain/1", x_credential="kaje-key-1", **forged_headers)
        assert answer.status == 200
        headers = raw_headers(deployment)
        assert [row for row in headers if b"tenant" in row[0]] == [(b"x-tenant", b"kaje")]
        assert all(b"kaje-key-1" not in value for _, value in headers)

    run_in_virtual_time(work)


def test_public_route_ignores_unverified_identity_headers() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH, [route("open", "safe", public=True), *ROUTES])
        for key in ("", "made-up"):
            answer = await deployment.call("/open/1", x_tenant="kaje", x_credential=key)
            assert answer.status == 200
            names = {name for name, _ in raw_headers(deployment)}
            assert not names & {b"x-tenant", b"x-credential"}
        await deployment.call("/open/1", x_credential="other-key")
        assert (b"x-tenant", b"other") in raw_headers(deployment)

    run_in_virtual_time(work)


def test_identity_headers_forwarded_without_organisations() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.call("/plain/1", x_credential="any", x_tenant="any")
        headers = raw_headers(deployment)
        assert (b"x-credential", b"any") in headers
        assert (b"x-tenant", b"any") in headers

    run_in_virtual_time(work)


def test_keys_added_removed_and_moved_by_configuration() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        await deployment.configure(
            3, [organisation("kaje", "other-key"), organisation("new", "new-key")]
        )
        assert (await deployment.call("/plain/1", x_credential="kaje-key-1")).status == 401
        assert (await deployment.call("/plain/1", x_credential="new-key")).status == 200
        assert (await deployment.call("/plain/1", x_credential="other-key")).status == 200
        assert (b"x-tenant", b"kaje") in raw_headers(deployment)
        await deployment.configure(4, [])
        assert (await deployment.call("/plain/1", x_credential="new-key")).status == 401

    run_in_virtual_time(work)


def test_unreadable_organisation_entry_skipped() -> None:
    rows = [KAJE, {"name": 5}, "strange", {"name": "late", "api_keys": ["late-key", "kaje-key-1"]}]
    found = decode_configuration(configuration(1, organisations=rows)).organisations
    assert found is not None
    assert [row.name for row in found.listed] == ["kaje", "late"]
    late, kaje = found.find(b"late-key"), found.find(b"kaje-key-1")
    assert late is not None and late.name == "late"
    # A key listed twice belongs to the first organisation, on every host.
    assert kaje is not None and kaje.name == "kaje"
    assert found.find(b"") is None


def test_stale_host_answers_503_for_unknown_key_and_route() -> None:
    """A key or a route may have been added since the host's last update."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        deployment.store.fault = StoreFault.SILENT
        await asyncio.sleep(MAX_DENIAL_AGE_S + 2.0)
        for path, key in (("/plain/1", "new-key"), ("/none/1", "kaje-key-1")):
            answer = await deployment.call(path, x_credential=key)
            assert answer.status == 503
            assert 0 < float(answer.headers["retry-after"]) < 1
        # Keys and routes that the host knows are still served.
        assert (await deployment.call("/plain/1", x_credential="kaje-key-1")).status == 200

    run_in_virtual_time(work)


def test_stale_host_reads_store_for_unknown_key() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        gateway = deployment.gateways[0]
        deployment.store.watches_muted = True
        proofs = gateway.watchers.proofs
        deployment.store.put("op/config", configuration(3, None, [organisation("new", "new-key")]))
        proofs.proven_at["operator"] = monotonic() - MAX_DENIAL_AGE_S - 0.1
        assert (await deployment.call("/plain/1", x_credential="new-key")).status == 200

    run_in_virtual_time(work)


def test_store_reads_for_unknown_keys_are_rate_limited() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        check = deployment.gateways[0].calls.callers
        asked = []

        async def ask() -> bool:
            asked.append(monotonic())
            return False

        check.age_s, check.refresh = (lambda: 10.0), SharedRefresh(ask)
        started_at = monotonic()
        for index in range(5):
            calls = (
                deployment.call("/plain/1", x_credential=f"key-{index}-{number}")
                for number in range(40)
            )
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {503}
            await asyncio.sleep(0.1)
        assert len(asked) <= 1 + (monotonic() - started_at) / 0.25

    run_in_virtual_time(work)


@pytest.mark.parametrize(("strict", "status"), [(False, 200), (True, 503)])
def test_isolated_host_honours_keys_unless_revoking_strictly(strict: bool, status: int) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.gateway_settings = {"revoke_strictly": strict, "revoke_ms": 3000}
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        deployment.store.fault = StoreFault.SILENT
        await asyncio.sleep(1.0)
        assert (await deployment.call("/plain/1", x_credential="kaje-key-1")).status == 200
        await asyncio.sleep(4.0)
        assert (await deployment.call("/plain/1", x_credential="kaje-key-1")).status == status

    run_in_virtual_time(work)


def test_in_flight_call_completes_after_key_removal() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1, event_interval_s=0.2)
        await deployment.configure(2, BOTH)
        pending_call = asyncio.ensure_future(
            deployment.call("/stream/1", x_credential="kaje-key-1")
        )
        await until(lambda: deployment.targets[0].working > 0)
        await deployment.configure(3, [OTHER])
        answer = await pending_call
        assert (answer.status, answer.broken) == (200, False)

    run_in_virtual_time(work)


def test_no_retry_after_key_removal() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        await deployment.configure(2, BOTH)
        for target in deployment.targets:
            target.faults = [TargetFault.BUSY]
            target.on_request = lambda _path, _body: deployment.gateways[0].configuration.offer(
                configuration(3, None, [OTHER]), "test"
            )
        answer = await deployment.call("/plain/1", x_credential="kaje-key-1")
        assert answer.status == 401
        assert sum(len(target.seen) for target in deployment.targets) == 1

    run_in_virtual_time(work)


def test_job_visible_only_to_its_organisation() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=2)
        await deployment.configure(2, BOTH)
        taken = await deployment.submit("job", 3, x_credential="kaje-key-1")
        assert taken.status == 202
        for gateway in (0, 1):
            for path in ("/api/lots/job", "/api/items/job?id=job-0"):
                other = await deployment.call(
                    path, method="GET", body=b"", gateway=gateway, x_credential="other-key"
                )
                assert other.status == 404
                assert b"job-" not in other.body
            ended = await deployment.call(
                "/api/lots/job",
                method="DELETE",
                body=b"",
                gateway=gateway,
                x_credential="other-key",
            )
            assert ended.status == 404
        # The job stays when the key is removed, and another key of the organisation reads it.
        await deployment.configure(3, [organisation("kaje", "kaje-key-2"), OTHER])
        rows = await deployment.read_all_results("job", gateway=1, x_credential="kaje-key-2")
        assert [row["state"] for row in rows] == ["complete"] * 3
        # The same id submitted by another organisation names another job.
        assert (await deployment.submit("job", 1, x_credential="other-key")).status == 202
        assert (
            len(await deployment.read_all_results("job", gateway=1, x_credential="other-key")) == 1
        )
        assert len(await deployment.read_all_results("job", x_credential="kaje-key-2")) == 3

    run_in_virtual_time(work)


def test_items_sent_with_the_organisation_of_their_job() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        item = job_item("job", 0)
        item["headers"] = {"X-Model": "m", "X-Tenant": "other", "X-Credential": "kaje-key-1"}
        body = msgspec.json.encode({"items": [item]})
        await deployment.call("/night/job", body=body, request_id="job", x_credential="kaje-key-1")
        await deployment.read_all_results("job", x_credential="kaje-key-2")
        headers = raw_headers(deployment)
        assert [row for row in headers if row[0] == b"x-tenant"] == [(b"x-tenant", b"kaje")]
        assert b"x-credential" not in {name for name, _ in headers}

    run_in_virtual_time(work)


def test_queued_tokens_limited_per_organisation() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        deployment.targets[0].faults = [TargetFault.SILENT]
        await deployment.configure(2, BOTH)
        assert (await deployment.submit("a", 50, x_credential="kaje-key-1")).status == 202
        assert (await deployment.submit("b", 1, x_credential="kaje-key-2")).status == 429
        assert (await deployment.submit("c", 50, x_credential="other-key")).status == 202

    run_in_virtual_time(work)


def test_jobs_created_before_organisations_stay_readable() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        assert (await deployment.submit("job", 2)).status == 202
        await deployment.configure(2, BOTH)
        assert len(await deployment.read_all_results("job", x_credential="kaje-key-1")) == 2

    run_in_virtual_time(work)


def test_job_completes_after_its_organisation_is_removed() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        await deployment.submit("job", 3, x_credential="kaje-key-1")
        await deployment.configure(3, [OTHER])
        await deployment.configure(4, BOTH)
        rows = await deployment.read_all_results("job", x_credential="kaje-key-2")
        assert [row["state"] for row in rows] == ["complete"] * 3

    run_in_virtual_time(work)
