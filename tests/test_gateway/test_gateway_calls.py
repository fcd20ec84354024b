"""Tests of online calls through a real gateway over loopback, with every kind of target fault."""

from __future__ import annotations

import asyncio

import pytest

from bench.platform.target import TargetFault, TargetStandin, complete_stream, plain_response
from gradepoint.gateway.calls import STARTUP_WAIT_S
from gradepoint.gateway.identity import identify
from gradepoint.gateway.live import cancel_send
from gradepoint.ids import TargetId
from tests.support.platform import HOST, Deployment, configuration, route, run_deployment, until

EVENTS = 6


def test_stream_forwarded_with_seal_and_headers() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        answer = await deployment.call("/stream/1?x=%20a&y", x_model="m")
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        assert answer.headers["x-server-seal"] == f"t0.{answer.request_id}"
        seen = deployment.targets[0].seen[0]
        assert seen.target == "/stream/1?x=%20a&y"
        assert seen.headers["host"] == HOST
        assert seen.headers["x-model"] == "m"
        assert seen.headers["x-target-instance"] == "t0"
        assert 0 < int(seen.headers["x-time-left-ms"]) <= 4000
        assert deployment.targets[0].bodies == [b"prompt"]

    run_deployment(work)


@pytest.mark.parametrize(
    ("path", "faults", "status", "runs"),
    [
        ("/single/1", [TargetFault.BUSY], 503, 0),
        ("/single/1", [TargetFault.LOSE_RESPONSE], 502, 1),
        ("/single/1", [TargetFault.OTHER_ID], 502, 1),
        ("/single/1", [TargetFault.ERROR], 500, 1),
        ("/stream/1", [TargetFault.LOSE_RESPONSE], 502, 1),
        ("/plain/1", [TargetFault.LOSE_RESPONSE, TargetFault.NONE], 200, 2),
        ("/plain/1", [TargetFault.BUSY, TargetFault.BUSY, TargetFault.NONE], 200, 1),
        ("/plain/1", [TargetFault.BUSY], 503, 0),
        ("/plain/1", [TargetFault.LOSE_RESPONSE, TargetFault.BUSY], 502, 1),
        ("/resume/1", [TargetFault.LOSE_RESPONSE, TargetFault.NONE], 200, 2),
        ("/resume/1", [TargetFault.OTHER_ID, TargetFault.NONE], 200, 2),
    ],
)
def test_status_and_run_count_per_target_fault(
    path: str, faults: list[TargetFault], status: int, runs: int
) -> None:
    """503 promises that nothing ran, so no target may have run; a single call runs at most once."""

    async def work(deployment: Deployment) -> None:
        shared = list(faults)
        await deployment.start(targets=3)
        for target in deployment.targets:
            target.faults = shared
        answer = await deployment.call(path)
        assert answer.status == status
        assert sum(target.ran[answer.request_id] for target in deployment.targets) == runs
        if status == 503:
            assert 0 < float(answer.headers["retry-after"]) < 1

    run_deployment(work)


def test_resumable_stream_continues_on_another_target() -> None:
    async def work(deployment: Deployment) -> None:
        shared = [TargetFault.CUT, TargetFault.NONE]
        await deployment.start(targets=2)
        for target in deployment.targets:
            target.faults = shared
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.broken) == (200, False)
        assert answer.body == complete_stream(answer.request_id, EVENTS)
        second = next(t for t in deployment.targets if t.completed_runs[answer.request_id])
        assert second.seen[-1].headers["last-event-id"] == "1"
        assert not answer.headers["x-server-seal"].startswith(second.name)

    run_deployment(work)


def test_non_resumable_stream_is_truncated_for_the_caller() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        for target in deployment.targets:
            target.faults = [TargetFault.CUT]
        answer = await deployment.call("/stream/1")
        assert (answer.status, answer.broken) == (200, True)
        assert sum(target.ran[answer.request_id] for target in deployment.targets) == 1

    run_deployment(work)


def test_other_target_at_listed_address_runs_no_call() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        deployment.targets[0].name = "another"
        for _ in range(6):
            answer = await deployment.call("/single/1")
            assert answer.status == 200
        assert not deployment.targets[0].ran

    run_deployment(work)


def test_draining_and_removed_targets_get_no_calls() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=3)
        first, second, third = deployment.targets
        deployment.store.put("servers/t0", first.entry("draining"))
        deployment.store.delete("servers/t1")
        gateway = deployment.gateways[0]
        await until(lambda: len(gateway.targets.candidates("model", 0.0)) == 1)  # type: ignore[arg-type]
        for _ in range(8):
            assert (await deployment.call("/plain/1")).status == 200
        assert (len(first.seen), len(second.seen), len(third.seen)) == (0, 0, 8)

    run_deployment(work)


def test_caller_disconnect_cancels_target_work() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1, event_interval_s=0.02, events=100_000)
        target = deployment.targets[0]
        calls = [
            asyncio.ensure_future(deployment.call(path)) for path in ("/stream/1", "/resume/1")
        ]
        await until(lambda: target.working == 2)
        for call in calls:
            call.cancel()
        deployment.http.close()
        await asyncio.wait(calls)
        await until(lambda: target.working == 0)
        await until(lambda: deployment.gateways[0].targets.by_id["t0"].in_flight == 0)  # type: ignore[index]

    run_deployment(work)


def test_route_timeout_returns_504() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        deployment.targets[0].faults = [TargetFault.SILENT]
        routes = [route("single", "unsafe", timeout_ms=200)]
        deployment.store.put("op/config", configuration(2, routes))
        await until(lambda: deployment.gateways[0].configuration.current.version == 2)  # type: ignore[union-attr]
        assert (await deployment.call("/single/1")).status == 504

    run_deployment(work)


def test_invalid_input_rejected_without_forwarding() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        assert (await deployment.call("/nowhere/1")).status == 404
        assert (await deployment.call("/single/1", body=b"x" * 100_001)).status == 413
        assert (await deployment.call("/single/1", x_large="y" * 5000)).status == 431
        ip, _, port = deployment.gateways[0].settings.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b"POST /single/1 HTTP/1.1\r\nhost: calls.example\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert not deployment.targets[0].seen

    run_deployment(work)


def test_not_ready_and_503_without_configuration() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        deployment.store.delete("op/config")
        await deployment.kill(deployment.gateways[0])
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await deployment.add_gateway("late")
        assert (await deployment.call("/single/1")).status == 503
        assert not deployment.gateways[0].ready

    run_deployment(work)


def test_call_waits_for_first_store_read_at_startup() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        await deployment.kill(deployment.gateways[0])
        gateway = deployment.make_gateway("late")
        deployment.store.delay_s = STARTUP_WAIT_S / 3
        await gateway.start()
        deployment.gateways.append(gateway)
        assert gateway.configuration.current is None
        assert (await deployment.call("/single/1")).status == 200

    run_deployment(work)


def test_older_configuration_versions_ignored() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1)
        deployment.store.put("op/config", configuration(9, [route("single", "unsafe")]))
        view = deployment.gateways[0].configuration
        await until(lambda: view.current is not None and view.current.version == 9)
        deployment.store.put("op/config", configuration(3))
        view.offer(configuration(4), "test")
        assert view.current is not None and view.current.version == 9
        assert (await deployment.call("/plain/1")).status == 404

    run_deployment(work)


def test_host_without_store_gets_configuration_from_peers() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=2, targets=1)
        cut = deployment.gateways[1]
        cut.kv.direct.base_url = "http://127.0.0.1:1"  # type: ignore[attr-defined]
        cut.kv.direct.http.close()  # type: ignore[attr-defined]
        deployment.store.put("op/config", configuration(5))
        for gateway in deployment.gateways:
            await until(
                lambda gateway=gateway: gateway.configuration.current.version == 5  # type: ignore[misc]
            )

    run_deployment(work)


def test_calls_avoid_targets_occupied_by_another_host() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(
            gateways=2, targets=2, slots=1, event_interval_s=0.02, events=100_000
        )
        first = asyncio.ensure_future(deployment.call("/stream/1", gateway=0))
        await until(lambda: sum(target.working for target in deployment.targets) == 1)
        busy = next(target for target in deployment.targets if target.working)
        other = deployment.gateways[1]
        await until(lambda: other.occupancy.in_flight(busy.name) == 1)  # type: ignore[arg-type]
        second = asyncio.ensure_future(deployment.call("/stream/2", gateway=1))
        await until(lambda: [target.working for target in deployment.targets] == [1, 1])
        for call in (first, second):
            call.cancel()

    run_deployment(work)


def test_graceful_stop_completes_in_flight_calls() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1, event_interval_s=0.02, events=20)
        gateway = deployment.gateways[0]
        call = asyncio.ensure_future(deployment.call("/stream/1"))
        await until(lambda: deployment.targets[0].working == 1)
        stopping = asyncio.ensure_future(gateway.stop())
        await until(lambda: gateway.stopping)
        answer = await call
        assert (answer.broken, answer.body) == (False, complete_stream(answer.request_id, 20))
        late = await deployment.call("/stream/2")
        assert (late.status, late.headers.get("connection")) == (200, "close")
        await stopping

    run_deployment(work)


def test_new_target_gets_calls() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=0)
        assert (await deployment.call("/single/1")).status == 503
        await deployment.add_target(TargetStandin("new"))
        await until(lambda: "new" in deployment.gateways[0].targets.by_id)
        answer = await deployment.call("/plain/1")
        assert answer.body == plain_response(answer.request_id)

    run_deployment(work)


def test_silent_target_abandoned_for_another_with_free_slots() -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=2)
        shared = [TargetFault.SILENT, TargetFault.NONE]
        for target in deployment.targets:
            target.faults = shared
        answer = await deployment.call("/resume/1")
        assert (answer.status, answer.body) == (200, complete_stream(answer.request_id, EVENTS))

    run_deployment(work)


@pytest.mark.parametrize("finished", [True, False])
def test_abandoned_send_releases_target_slot(finished: bool) -> None:
    """Otherwise the target keeps working, and its slot counts as occupied for ever."""

    async def work(deployment: Deployment) -> None:
        await deployment.start(targets=1, event_interval_s=0.02, events=100_000)
        gateway = deployment.gateways[0]
        target = gateway.targets.by_id[TargetId("t0")]
        head = gateway.platform.dialect.read_call([(b"x-attempt-id", b"r")])
        sending = asyncio.ensure_future(
            gateway.forwarder.send(target, identify(head, "POST", "/stream/1", b""), head, 4.0)
        )
        await asyncio.sleep(0)
        if finished:
            await asyncio.wait([sending])
            assert target.in_flight == 1
        cancel_send(sending)
        await until(lambda: target.in_flight == 0)
        await until(lambda: deployment.targets[0].working == 0)

    run_deployment(work)
