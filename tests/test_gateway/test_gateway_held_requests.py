"""Tests that held requests persist over restarts and can be listed and released by operators."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from gradepoint.admin.client import AdminAnswer
from gradepoint.cmd.held import release_held, show_held
from gradepoint.gateway.identity import format_key
from gradepoint.routing.suspects import HELD_CRASHES, Standing
from tests.support.harmful_parts import start_part_traffic
from tests.support.platform import Deployment, run_in_virtual_time, until

from .test_gateway_suspicion import HARM, count_harmful_sends, send_until_held, start_deployment


async def ask(deployment: Deployment, method: str, path: str) -> tuple[int, bytes]:
    """Send a request to the operator API of the first gateway."""
    settings = deployment.gateways[0].settings
    address = (settings.address, settings.metrics_port)
    response = await deployment.http.send(address, method, path, fresh=True)
    return response.status, await response.read()


async def list_held(deployment: Deployment) -> list[dict[str, object]]:
    """Return the held requests that the first gateway lists."""
    status, body = await ask(deployment, "GET", "/held")
    assert status == 200
    rows: list[dict[str, object]] = msgspec.json.decode(body)["requests"]
    return rows


def test_held_request_survives_restart_of_all_hosts() -> None:
    # Otherwise a harmful request crashes four more targets after each restart of the fleet.
    async def work(deployment: Deployment) -> None:
        await start_deployment(deployment, 3, 8)
        await send_until_held(deployment)
        await asyncio.sleep(0.5)
        sends = count_harmful_sends(deployment)
        for gateway in list(deployment.gateways):
            await deployment.kill(gateway)
        for number in range(3):
            await deployment.add_gateway(f"host-{number}")
        for number in range(6):
            answer = await deployment.call("/single/plain/harm", body=HARM, gateway=number % 3)
            assert answer.status == 502 and b"request_held" in answer.body
        assert count_harmful_sends(deployment) == sends

    run_in_virtual_time(work)


def test_request_held_during_store_outage_known_to_new_host() -> None:
    async def work(deployment: Deployment) -> None:
        await start_deployment(deployment, 3, 8)
        deployment.store.server.abort()
        await send_until_held(deployment)
        await deployment.store.server.start("127.0.0.1", deployment.store.server.port)
        sends = count_harmful_sends(deployment)
        late = await deployment.add_gateway("late")
        await until(
            lambda: bool(
                late.suspicion.suspects.find(Standing.HELD, asyncio.get_running_loop().time())
            )
        )
        answer = await deployment.call("/single/plain/harm", body=HARM, gateway=3)
        assert answer.status == 502
        assert count_harmful_sends(deployment) == sends

    run_in_virtual_time(work)


def test_operator_lists_and_releases_held_requests() -> None:
    async def work(deployment: Deployment) -> None:
        await start_deployment(deployment, 3, 8)
        assert await list_held(deployment) == []
        await send_until_held(deployment)
        await asyncio.sleep(0.5)
        rows = await list_held(deployment)
        assert len(rows) == 1
        row = rows[0]
        assert row["standing"] == "held"
        assert row["method"] == "POST" and row["path"] == "/single/plain/harm"
        assert isinstance(row["ended"], list) and len(row["ended"]) >= 4
        # The targets run other weights now, on which the request is harmless.
        for target in deployment.targets:
            target.harmful = set()
        status, _ = await ask(deployment, "DELETE", f"/held/{row['key']}")
        assert status == 200
        await asyncio.sleep(0.5)
        for host in range(3):
            answer = await deployment.call("/single/plain/harm", body=HARM, gateway=host)
            assert answer.status == 200
        assert await list_held(deployment) == []
        assert not [key for key in deployment.store.keys.keys if "held" in key]
        # An unknown key and a malformed key.
        assert (await ask(deployment, "DELETE", f"/held/{format_key(1)}"))[0] == 404  # type: ignore[arg-type]
        assert (await ask(deployment, "DELETE", "/held/none"))[0] == 404

    run_in_virtual_time(work)


def test_held_command_prints_and_releases(capsys: pytest.CaptureFixture[str]) -> None:
    row = {
        "key": "00ff",
        "standing": "held",
        "host": "calls.example",
        "method": "POST",
        "path": "/x",
        "ended": ["t0@1", "t1@2"],
    }
    asked: list[tuple[str, str]] = []

    def ask(method: str, path: str) -> AdminAnswer:
        asked.append((method, path))
        return AdminAnswer(200, {"requests": [row]})

    show_held(ask, as_json=False)
    assert capsys.readouterr().out.split() == [
        "00ff", "held", "POST", "calls.example/x", "ended:", "t0@1,", "t1@2",
    ]  # fmt: skip
    assert release_held(ask, "00ff")
    assert asked == [("GET", "/held"), ("DELETE", "/held/00ff")]
    assert not release_held(lambda *_: AdminAnswer(404, {}), "00ff")


def test_held_prompt_part_survives_restart_of_all_hosts() -> None:
    async def work(deployment: Deployment) -> None:
        part = "bad0c0de"
        traffic = await start_part_traffic(deployment, 3, 8, [part])
        for number in range(60):
            await traffic.call(part if number % 3 == 0 else None)
            await asyncio.sleep(0.3)
        runs = len(traffic.runs[part])
        for gateway in list(deployment.gateways):
            await deployment.kill(gateway)
        for number in range(3):
            await deployment.add_gateway(f"host-{number}")
        for _ in range(9):
            assert (await traffic.call()).status == 200
            answer = await traffic.call(part)
            assert answer.status == 502 and b"prompt_part_held" in answer.body
        assert len(traffic.runs[part]) == runs

    run_in_virtual_time(work)


def test_held_prompt_part_is_listed_and_released_for_all_requests_with_it() -> None:
    async def work(deployment: Deployment) -> None:
        part = "bad0c0de"
        traffic = await start_part_traffic(deployment, 3, 8, [part])
        for number in range(60):
            await traffic.call(part if number % 3 == 0 else None)
            await asyncio.sleep(0.3)
        answer = await traffic.call(part)
        assert answer.status == 502 and b"prompt_part_held" in answer.body
        row = next(row for row in await list_held(deployment) if row["part"] == part)
        assert row["standing"] == "held" and len(row["ended"]) == HELD_CRASHES  # type: ignore[arg-type]
        for target in deployment.targets:
            target.harmful_parts = set()
        status, _ = await ask(deployment, "DELETE", f"/held/{row['key']}")
        assert status == 200
        await asyncio.sleep(0.5)
        for _ in range(6):
            assert (await traffic.call(part)).status == 200

    run_in_virtual_time(work)
