"""Tests of streams and items whose service has targets of several software versions.

What targets of two versions generate doesn't fit together, and targets don't check it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bench.platform.store import StoreFault
from bench.platform.target import TargetFault, TargetStandin, complete_stream
from gradepoint.gateway.app import Gateway
from gradepoint.gateway.targets import TargetSet
from gradepoint.gateway.version_history import VERSIONS_KEY, WRITE_TIMEOUT_S
from gradepoint.ids import SoftwareVersion, TargetId
from gradepoint.util.clock import monotonic
from tests.support.platform import (
    CallAnswer,
    Deployment,
    item_text,
    route,
    run_in_virtual_time,
    until,
)
from tests.support.targets import SERVICE, listed_target

EVENTS = 6
EVENT_INTERVAL_S = 0.05
STREAMS = 12


async def start_versions(
    deployment: Deployment, *versions: str, gateways: int = 1, **target: object
) -> None:
    """Start gateways and one target of each of *versions*, and wait until all of them are known.

    :param target: options of each target stand-in.
    """
    await deployment.start(gateways=gateways, targets=0)
    for number, version in enumerate(versions):
        standin = TargetStandin(f"t{number}", events=EVENTS, version=version, **target)  # type: ignore[arg-type]
        await deployment.add_target(standin)
    for gateway in deployment.gateways:
        await until(lambda gateway=gateway: len(gateway.targets.by_id) == len(versions))  # type: ignore[misc]


def versions_run(deployment: Deployment, *request_ids: str) -> set[str]:
    """Return the versions of the targets that ran any of these requests."""
    return {
        target.version
        for target in deployment.targets
        if any(target.ran[request_id] for request_id in request_ids)
    }


async def begin_stream(deployment: Deployment, request_id: str) -> tuple[CallAnswer, Gateway]:
    """Begin a stream at the first gateway, and kill that gateway after a few events."""
    call = asyncio.ensure_future(deployment.call("/resume/1", request_id=request_id))
    await asyncio.sleep(EVENT_INTERVAL_S * 2.5)
    killed = deployment.gateways[0]
    await deployment.kill(killed)
    answer = await call
    assert answer.broken and answer.body
    return answer, killed


def last_event(body: bytes) -> int:
    """Return the number of the last complete event in *body*."""
    return body.count(b"\n\n") - 1


async def take_up(
    deployment: Deployment, begun: CallAnswer, gateway: int = 0, **headers: str
) -> CallAnswer:
    """Resume a stream at a gateway, as a caller does whose connection broke."""
    named = {"resumes": begun.request_id, **headers}
    return await deployment.call(
        "/resume/1", gateway=gateway, last_event_id=str(last_event(begun.body)), **named
    )


def test_broken_stream_is_resumed_only_at_its_software_version() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v1", "v2", "v2")
        for target in (deployment.targets[0], deployment.targets[2]):
            target.faults = [TargetFault.CUT]
        for _ in range(STREAMS):
            answer = await deployment.call("/resume/1")
            [version] = versions_run(deployment, answer.request_id)
            if not answer.broken:
                assert answer.body == complete_stream(answer.request_id, EVENTS, version)

    run_in_virtual_time(work)


@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("number", range(4))
def test_stream_taken_up_at_another_host_goes_on_at_its_software_version(
    number: int, named: bool
) -> None:
    async def work(deployment: Deployment) -> None:
        versions = ("v1", "v1", "v2", "v2")
        await start_versions(deployment, *versions, gateways=3, event_interval_s=EVENT_INTERVAL_S)
        begun, _ = await begin_stream(deployment, f"stream-{number}")
        for gateway in range(2):
            answer = await take_up(deployment, begun, gateway, **({} if named else {"resumes": ""}))
            assert (answer.status, answer.broken) == (200, False)
            [version] = versions_run(deployment, begun.request_id, answer.request_id)
            first = last_event(begun.body) + 1
            rest = complete_stream(answer.request_id, EVENTS, version, first=first)
            assert answer.body == rest

    run_in_virtual_time(work)


def test_stream_of_unknown_software_version_is_refused_where_versions_differ() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v2")
        begun = CallAnswer("unknown", 200, {}, complete_stream("unknown", 2), broken=True)
        for headers in ({}, {"resumes": ""}):
            answer = await take_up(deployment, begun, **headers)
            assert answer.status == 503
            assert not versions_run(deployment, answer.request_id)

    run_in_virtual_time(work)


def test_stream_is_not_resumed_if_no_target_of_its_software_version_is_left() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v2", "v2", event_interval_s=EVENT_INTERVAL_S)
        for number in range(STREAMS):
            call = asyncio.ensure_future(deployment.call("/resume/1", request_id=f"s{number}"))
            await asyncio.sleep(EVENT_INTERVAL_S * 2.5)
            target = deployment.targets[0]
            if target.ran[f"s{number}"]:
                break
            await call
        target.server.abort()
        begun = await call
        assert begun.broken
        deployment.store.delete(f"servers/{target.name}")
        await until(lambda: deployment.gateways[0].targets.by_name[target.name].vanished_at)  # type: ignore[arg-type,return-value]
        started = asyncio.get_running_loop().time()
        answer = await take_up(deployment, begun)
        assert answer.status == 503
        assert asyncio.get_running_loop().time() - started < 0.5
        assert versions_run(deployment, begun.request_id, answer.request_id) == {"v1"}

    run_in_virtual_time(work)


def test_text_of_an_item_is_not_joined_from_two_software_versions() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v2")
        deployment.targets[0].faults = [TargetFault.CUT]
        assert (await deployment.submit("job", 8)).status == 202
        for row in await deployment.read_all_results("job"):
            texts = [item_text(row["id"], EVENTS, version) for version in ("v1", "v2")]
            assert row["state"] == "complete" and row["message"] in texts

    run_in_virtual_time(work)


@pytest.mark.parametrize("free", [True, False])
def test_item_goes_on_at_its_version_unless_that_has_no_slot_for_long(free: bool) -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v1", event_interval_s=EVENT_INTERVAL_S)
        for target in deployment.targets:
            target.faults = [TargetFault.CUT, TargetFault.NONE]
        await deployment.submit("job", 1)
        await until(lambda: any(target.ran["job-0"] for target in deployment.targets))
        second = TargetStandin("t2", events=EVENTS, version="v2")
        await deployment.add_target(second)
        if not free:
            for listed in deployment.gateways[0].targets.by_id.values():
                if listed.listed.version == "model@v1":
                    listed.in_flight += 100
        [row] = await deployment.read_all_results("job")
        assert row["message"] == item_text("job-0", EVENTS, "v1" if free else "v2")
        resumed = [
            (target.version, "last-event-id" in request.headers)
            for target in deployment.targets
            for request in target.seen
        ]
        assert sorted(resumed) == [("v1", False), ("v1", True) if free else ("v2", False)]

    run_in_virtual_time(work)


def test_item_keeps_its_text_if_a_target_of_another_version_does_not_run_it() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v1", event_interval_s=EVENT_INTERVAL_S)
        for target in deployment.targets:
            target.faults = [TargetFault.CUT, TargetFault.NONE]
        await deployment.submit("job", 1)
        await until(lambda: any(target.ran["job-0"] for target in deployment.targets))
        listed = list(deployment.gateways[0].targets.by_id.values())
        for target in listed:
            target.in_flight += 100
        second = TargetStandin("t2", events=EVENTS, version="v2", faults=[TargetFault.BUSY])
        await deployment.add_target(second)
        await until(lambda: bool(second.seen))
        for target in listed:
            target.in_flight -= 100
        [row] = await deployment.read_all_results("job")
        assert row["message"] == item_text("job-0", EVENTS, "v1")
        resumed = [
            request.headers.get("last-event-id")
            for target in deployment.targets[:2]
            for request in target.seen
        ]
        assert len(resumed) == 2 and None in resumed and resumed != [None, None]

    run_in_virtual_time(work)


def test_row_with_another_version_is_another_target() -> None:
    targets = TargetSet(last_resort_s=1.0)
    targets.put(listed_target("t0", version="v1"))
    first = targets.by_id[TargetId("t0")]
    targets.put(listed_target("t0", version="v2"))
    second = targets.by_id[TargetId("t0")]
    assert first is not second
    assert first.listed.version == "v1"
    assert targets.candidates(SERVICE, 0.0) == [second]


def test_candidates_of_a_version_include_its_ejected_targets_as_long_as_it_has_no_others() -> None:
    targets = TargetSet(last_resort_s=1.0)
    for name, version in (("t0", "v1"), ("t1", "v1"), ("t2", "v2"), ("t3", "v2")):
        targets.put(listed_target(name, version=version))
    for name in ("t0", "t1"):
        targets.by_id[TargetId(name)].record_failure("closed", unreachable=True)
    now = monotonic()
    assert {target.id for target in targets.candidates(SERVICE, now)} == {"t2", "t3"}
    assert len(targets.candidates(SERVICE, now, SoftwareVersion("v1"))) == 1
    assert targets.candidates(SERVICE, now, SoftwareVersion("v3")) == []


async def resume_unnamed(deployment: Deployment) -> CallAnswer:
    """Resume a stream without naming the call that began it, as older callers do."""
    begun = CallAnswer("unnamed", 200, {}, complete_stream("unnamed", 2), broken=True)
    return await take_up(deployment, begun, resumes="")


def test_unnamed_stream_is_resumed_while_its_service_has_one_version() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v1")
        # Its timeout is 5 s, so that a stream may have begun 10 s before.
        await asyncio.sleep(10.1)
        answers = await asyncio.gather(*(resume_unnamed(deployment) for _ in range(20)))
        assert {(answer.status, answer.broken) for answer in answers} == {(200, False)}
        deployment.store.fault = StoreFault.BUSY
        assert (await resume_unnamed(deployment)).status == 503

    run_in_virtual_time(work)


def test_unnamed_stream_is_refused_after_a_change_of_the_version() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1")
        await asyncio.sleep(10.1)
        await deployment.add_target(TargetStandin("new", events=EVENTS, version="v2"))
        deployment.store.delete("servers/t0")
        targets = deployment.gateways[0].targets
        await until(lambda: len(targets.by_id) == 1 and "new" in targets.by_name)
        assert (await resume_unnamed(deployment)).status == 503
        assert not versions_run(deployment, "unnamed")
        await asyncio.sleep(10.1)
        assert (await resume_unnamed(deployment)).status == 200

    run_in_virtual_time(work)


def test_unnamed_stream_is_refused_by_a_host_that_has_just_started() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1")
        assert (await resume_unnamed(deployment)).status == 503

    run_in_virtual_time(work)


def test_stream_is_resumed_at_its_only_target_if_that_goes_on() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v2")
        for _ in range(STREAMS):
            for target in deployment.targets:
                target.faults = [TargetFault.CUT, TargetFault.NONE]
            answer = await deployment.call("/resume/1")
            [version] = versions_run(deployment, answer.request_id)
            assert answer.body == complete_stream(answer.request_id, EVENTS, version)

    run_in_virtual_time(work)


SPLIT = {
    "service": None,
    "traffic_split": [{"service": "model", "weight": 50}, {"service": "other", "weight": 50}],
}


async def start_split_services(deployment: Deployment, **target: object) -> None:
    """Start two gateways, and two targets of each of two services that share all routes."""
    await start_versions(deployment, "v1", "v1", gateways=2, **target)
    for number in range(2):
        standin = TargetStandin(f"o{number}", service="other", events=EVENTS, **target)  # type: ignore[arg-type]
        await deployment.add_target(standin)
    routes = [
        route("resume", "streaming", max_attempts=3, resumable=True, **SPLIT),
        route("night", "batch", due_ms=18000, retention_s=60, max_attempts=2, **SPLIT),
    ]
    await deployment.configure(2, None, routes)
    for gateway in deployment.gateways:
        await until(lambda gateway=gateway: len(gateway.targets.by_id) == 4)  # type: ignore[misc]


def services_run(deployment: Deployment, *request_ids: str) -> set[str]:
    """Return the services whose targets ran any of these requests."""
    return {
        target.service
        for target in deployment.targets
        if any(target.ran[request_id] for request_id in request_ids)
    }


@pytest.mark.parametrize("number", range(4))
def test_stream_of_a_split_route_is_taken_up_at_the_service_that_began_it(number: int) -> None:
    async def work(deployment: Deployment) -> None:
        await start_split_services(deployment, event_interval_s=EVENT_INTERVAL_S)
        begun, _ = await begin_stream(deployment, f"stream-{number}")
        for _ in range(4):
            answer = await take_up(deployment, begun)
            assert answer.status == 200
            assert len(services_run(deployment, begun.request_id, answer.request_id)) == 1

    run_in_virtual_time(work)


def test_text_of_an_item_of_a_split_route_is_of_one_service() -> None:
    async def work(deployment: Deployment) -> None:
        await start_split_services(deployment)
        for target in deployment.targets:
            target.faults = [TargetFault.CUT, TargetFault.NONE]
        assert (await deployment.submit("job", 8)).status == 202
        await deployment.read_all_results("job")
        for index in range(8):
            begun, resumed = set(), set()
            for target in deployment.targets:
                for request in target.seen:
                    if request.headers["x-attempt-id"] == f"job-{index}":
                        runs = resumed if "last-event-id" in request.headers else begun
                        runs.add(target.service)
            assert resumed <= begun

    run_in_virtual_time(work)


async def restart_all(deployment: Deployment, hosts: int, change: Callable[[], None]) -> None:
    """Kill all gateways at once, change the targets while none runs, and start as many others."""
    for gateway in list(deployment.gateways):
        await deployment.kill(gateway)
    change()
    for number in range(hosts):
        await deployment.add_gateway(f"host-{number}")


@pytest.mark.parametrize("named", [True, False])
def test_stream_of_the_only_version_goes_on_after_a_restart_of_all_hosts(named: bool) -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", "v1", gateways=3, event_interval_s=EVENT_INTERVAL_S)
        begun, _ = await begin_stream(deployment, "begun")
        await restart_all(deployment, 3, lambda: None)
        for gateway in range(3):
            headers = {} if named else {"resumes": ""}
            answer = await take_up(deployment, begun, gateway, **headers)
            assert (answer.status, answer.broken) == (200, False)
            first = last_event(begun.body) + 1
            assert answer.body == complete_stream(answer.request_id, EVENTS, "v1", first=first)

    run_in_virtual_time(work)


@pytest.mark.parametrize("change", ["during", "before", "mixed"])
def test_stream_is_refused_after_a_restart_of_all_hosts_if_there_were_two_versions(
    change: str,
) -> None:
    """The last target of the version that began a stream may leave while no host runs."""

    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", gateways=3, event_interval_s=EVENT_INTERVAL_S)
        successor = TargetStandin(
            "new", events=EVENTS, version="v2", event_interval_s=EVENT_INTERVAL_S
        )
        if change == "mixed":
            await deployment.add_target(successor)
            await asyncio.sleep(1.0)
        begun, _ = await begin_stream(deployment, "begun")
        if change == "before":
            await deployment.add_target(successor)
            deployment.store.delete("servers/t0")
            await asyncio.sleep(1.0)
        elif change == "during":
            await successor.start()
            deployment.targets.append(successor)

        def replace_targets() -> None:
            if change == "during":
                deployment.store.put("servers/new", successor.entry())
                deployment.store.delete("servers/t0")

        await restart_all(deployment, 3, replace_targets)
        ran = sum(target.ran.total() for target in deployment.targets)
        for gateway in range(3):
            answer = await take_up(deployment, begun, gateway)
            assert answer.status == 503
        assert sum(target.ran.total() for target in deployment.targets) == ran

    run_in_virtual_time(work)


def test_version_is_recorded_before_the_first_event_of_a_stream() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1", gateways=2)
        history = deployment.gateways[0].version_history
        history.watching = bool
        deployment.gateways[1].version_history.watching = bool
        await deployment.add_target(TargetStandin("new", events=EVENTS, version="v2"))
        deployment.store.delete("servers/t0")
        names = deployment.gateways[0].targets.by_name
        await until(lambda: list(names) == ["new"])
        assert (await deployment.call("/resume/1")).status == 200
        value = deployment.store.read(VERSIONS_KEY)
        assert value is not None and b"model@v2" in value

    run_in_virtual_time(work)


def test_stream_begins_although_its_version_cannot_be_recorded() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1")
        await deployment.add_target(TargetStandin("new", events=EVENTS, version="v2"))
        deployment.gateways[0].version_history.watching = bool
        await until(lambda: len(deployment.gateways[0].targets.by_id) == 2)
        deployment.store.delete(VERSIONS_KEY)
        await until(lambda: deployment.gateways[0].version_history.record is None)
        deployment.store.fault = StoreFault.BUSY
        loop = asyncio.get_running_loop()
        for _ in range(3):
            started_at = loop.time()
            assert (await deployment.call("/resume/1")).status == 200
            assert loop.time() - started_at < 2 * WRITE_TIMEOUT_S

    run_in_virtual_time(work)


def test_unreadable_record_of_versions_is_replaced() -> None:
    async def work(deployment: Deployment) -> None:
        await start_versions(deployment, "v1")
        deployment.store.put(VERSIONS_KEY, b"\xff")
        history = deployment.gateways[0].version_history
        await until(lambda: history.record is not None and bool(history.record.versions))

    run_in_virtual_time(work)
