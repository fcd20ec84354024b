"""Who calls: keys, what targets are told of it, and what a host refuses by what it knows."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from bench.platform.store import StoreFault
from bench.platform.target import TargetFault
from gradepoint.gateway.callers import DENIABLE_S
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


def test_a_call_without_a_known_key_is_refused_and_reaches_no_target() -> None:
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
def test_targets_hear_of_the_organisation_from_the_gateway_alone(spelling: str) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        more: dict[str, Any] = {spelling: "other", "authorization": "Bearer kaje-key-1"}
        answer = await deployment.call("/plain/1", x_credential="kaje-key-1", **more)
        assert answer.status == 200
        headers = raw_headers(deployment)
        assert [row for row in headers if b"tenant" in row[0]] == [(b"x-tenant", b"kaje")]
        assert all(b"kaje-key-1" not in value for _, value in headers)

    run_in_virtual_time(work)


def test_a_public_route_needs_no_key_and_believes_no_name() -> None:
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


def test_without_organisations_headers_are_passed_on_as_they_are() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.call("/plain/1", x_credential="any", x_tenant="any")
        headers = raw_headers(deployment)
        assert (b"x-credential", b"any") in headers
        assert (b"x-tenant", b"any") in headers

    run_in_virtual_time(work)


def test_keys_come_go_and_move_with_the_configuration() -> None:
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


def test_an_entry_that_cannot_be_read_costs_that_entry_alone() -> None:
    rows = [KAJE, {"name": 5}, "strange", {"name": "late", "api_keys": ["late-key", "kaje-key-1"]}]
    found = decode_configuration(configuration(1, organisations=rows)).organisations
    assert found is not None
    assert [row.name for row in found.listed] == ["kaje", "late"]
    late, kaje = found.find(b"late-key"), found.find(b"kaje-key-1")
    assert late is not None and late.name == "late"
    # A key that stands twice belongs to the first, at every host.
    assert kaje is not None and kaje.name == "kaje"
    assert found.find(b"") is None


def test_a_host_without_news_denies_no_key_and_no_route() -> None:
    """The key may have been given out since."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        deployment.store.fault = StoreFault.SILENT
        await asyncio.sleep(DENIABLE_S + 2.0)
        for path, key in (("/plain/1", "new-key"), ("/none/1", "kaje-key-1")):
            answer = await deployment.call(path, x_credential=key)
            assert answer.status == 503
            assert 0 < float(answer.headers["retry-after"]) < 1
        # What it knows it serves.
        assert (await deployment.call("/plain/1", x_credential="kaje-key-1")).status == 200

    run_in_virtual_time(work)


def test_a_key_that_was_just_given_out_is_asked_for_by_an_old_host() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        gateway = deployment.gateways[0]
        deployment.store.deaf = True
        proofs = gateway.watchers.proofs
        deployment.store.put("op/config", configuration(3, None, [organisation("new", "new-key")]))
        proofs.proven_at["operator"] = monotonic() - DENIABLE_S - 0.1
        assert (await deployment.call("/plain/1", x_credential="new-key")).status == 200

    run_in_virtual_time(work)


def test_a_flood_of_made_up_keys_asks_the_store_a_few_times() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        check = deployment.gateways[0].calls.callers
        asked = []

        async def ask() -> bool:
            asked.append(monotonic())
            return False

        check.age_s, check.ask = (lambda: 10.0), ask
        begun = monotonic()
        for index in range(5):
            calls = (
                deployment.call("/plain/1", x_credential=f"key-{index}-{number}")
                for number in range(40)
            )
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {503}
            await asyncio.sleep(0.1)
        assert len(asked) <= 1 + (monotonic() - begun) / 0.25

    run_in_virtual_time(work)


@pytest.mark.parametrize(("strict", "status"), [(False, 200), (True, 503)])
def test_a_host_that_is_cut_off_honours_keys_as_the_terms_say(strict: bool, status: int) -> None:
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


def test_a_call_under_way_ends_as_it_would_have_when_its_key_goes() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1, event_s=0.2)
        await deployment.configure(2, BOTH)
        calling = asyncio.ensure_future(deployment.call("/stream/1", x_credential="kaje-key-1"))
        await until(lambda: deployment.targets[0].working > 0)
        await deployment.configure(3, [OTHER])
        answer = await calling
        assert (answer.status, answer.broken) == (200, False)

    run_in_virtual_time(work)


def test_a_call_that_waited_is_not_sent_again_when_its_key_has_gone() -> None:
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


def test_a_job_belongs_to_its_organisation_and_to_no_other() -> None:
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
        # The key goes; the job does not, and another key of the organisation reads it.
        await deployment.configure(3, [organisation("kaje", "kaje-key-2"), OTHER])
        rows = await deployment.read_whole("job", gateway=1, x_credential="kaje-key-2")
        assert [row["state"] for row in rows] == ["complete"] * 3
        # The same id is another job where another organisation gives it.
        assert (await deployment.submit("job", 1, x_credential="other-key")).status == 202
        assert len(await deployment.read_whole("job", gateway=1, x_credential="other-key")) == 1
        assert len(await deployment.read_whole("job", x_credential="kaje-key-2")) == 3

    run_in_virtual_time(work)


def test_items_go_out_under_their_jobs_organisation() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        item = job_item("job", 0)
        item["headers"] = {"X-Model": "m", "X-Tenant": "other", "X-Credential": "kaje-key-1"}
        body = msgspec.json.encode({"items": [item]})
        await deployment.call("/night/job", body=body, request_id="job", x_credential="kaje-key-1")
        await deployment.read_whole("job", x_credential="kaje-key-2")
        headers = raw_headers(deployment)
        assert [row for row in headers if row[0] == b"x-tenant"] == [(b"x-tenant", b"kaje")]
        assert b"x-credential" not in {name for name, _ in headers}

    run_in_virtual_time(work)


def test_waiting_tokens_are_counted_by_organisation() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        deployment.targets[0].faults = [TargetFault.SILENT]
        await deployment.configure(2, BOTH)
        assert (await deployment.submit("a", 50, x_credential="kaje-key-1")).status == 202
        assert (await deployment.submit("b", 1, x_credential="kaje-key-2")).status == 429
        assert (await deployment.submit("c", 50, x_credential="other-key")).status == 202

    run_in_virtual_time(work)


def test_jobs_from_before_there_were_organisations_are_read() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        assert (await deployment.submit("job", 2)).status == 202
        await deployment.configure(2, BOTH)
        assert len(await deployment.read_whole("job", x_credential="kaje-key-1")) == 2

    run_in_virtual_time(work)


def test_a_job_outlives_its_organisation() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.configure(2, BOTH)
        await deployment.submit("job", 3, x_credential="kaje-key-1")
        await deployment.configure(3, [OTHER])
        await deployment.configure(4, BOTH)
        rows = await deployment.read_whole("job", x_credential="kaje-key-2")
        assert [row["state"] for row in rows] == ["complete"] * 3

    run_in_virtual_time(work)
