"""Tests of every reader of answers against heads that are not valid HTTP.

Neither the status nor the headers of such a head count: a write may have taken effect, and a read
has failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import closing
from types import SimpleNamespace
from typing import Any

import pytest

from gradepoint.errors import KvUncertain, TargetFailure
from gradepoint.gateway import peer_configuration
from gradepoint.ids import JobId
from gradepoint.kv.etcd import EtcdClient
from gradepoint.kv.relay import RelayedKv
from gradepoint.kv.service import ABSENT, Expect, KeyValueService, Put, Transaction
from gradepoint.platform.store import PlatformStore
from gradepoint.spool.client import SpoolClient, SpoolOutcome
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import BodyFraming, HttpClient, ResponseBroken
from gradepoint.wire.target_client import TargetClient
from tests.support.virtual_network import run_on_network

STATUS_LINES = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/0.0 200 X",
    "HTTP/2.0 200 X",
    *(f"HTTP/3.7 {status} X" for status in (200, 400, 404, 409, 410, 412, 413, 422, 429, 503)),
]
BODY = b'{"rev": 7, "items": [], "succeeded": true, "ID": "7", "result": {"TTL": "9"}}'
WRITE = Transaction((Expect("a", ABSENT),), (Put("a", b"1"),))
ADDRESS = "127.0.0.1"

Use = Callable[[tuple[str, int]], Awaitable[None]]


def serve_head(status_line: str, framing: BodyFraming, use: Use) -> None:
    """Run *use* with the address of a server whose answers begin with *status_line*."""
    fields, body = "connection: close\r\n", BODY
    if framing is BodyFraming.LENGTH:
        fields += f"content-length: {len(BODY)}\r\n"
    elif framing is BodyFraming.CHUNKED:
        fields += "transfer-encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    answer = f"{status_line}\r\n{fields}\r\n".encode() + body

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, ADDRESS, 0)
        await use((ADDRESS, server.sockets[0].getsockname()[1]))
        server.close()

    run_on_network(main(), seed=1)


invalid_heads = pytest.mark.parametrize("status_line", STATUS_LINES)
every_framing = pytest.mark.parametrize("framing", BodyFraming, ids=lambda row: row.value)


async def make_kv_calls(service: KeyValueService) -> None:
    """Check that each call to the key-value service ends as uncertain."""
    calls = [
        service.get("a"),
        service.range("a"),
        service.transact(WRITE),
        service.grant_lease(5),
        service.keep_lease(7),
        service.revoke_lease(7),
    ]
    for call in calls:
        with pytest.raises(KvUncertain):
            await call


@every_framing
@invalid_heads
def test_call_to_the_store_is_uncertain(status_line: str, framing: BodyFraming) -> None:
    async def use(address: tuple[str, int]) -> None:
        store = PlatformStore(f"{address[0]}:{address[1]}", 1.0, 20.0)
        with closing(store.http):
            await make_kv_calls(store)
            with pytest.raises(KvUncertain):
                await store.wait_for_changes("a", 1, 0.1)

    serve_head(status_line, framing, use)


@every_framing
@invalid_heads
def test_call_to_etcd_is_uncertain(status_line: str, framing: BodyFraming) -> None:
    async def use(address: tuple[str, int]) -> None:
        client = EtcdClient(f"http://{address[0]}:{address[1]}")
        with closing(client.http):
            await make_kv_calls(client)
            with pytest.raises(KvUncertain):
                await anext(client.watch("a", 1))

    serve_head(status_line, framing, use)


@every_framing
@invalid_heads
def test_call_relayed_by_a_peer_is_uncertain(status_line: str, framing: BodyFraming) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http:
            direct: Any = SimpleNamespace(watch_s=1.0)
            relayed = RelayedKv(direct, http, lambda: [f"{address[0]}:{address[1]}"])
            relayed.failing_since = relayed.direct_retried_at = monotonic()
            await make_kv_calls(relayed)

    serve_head(status_line, framing, use)


@every_framing
@invalid_heads
def test_call_to_a_target_may_have_run(status_line: str, framing: BodyFraming) -> None:
    async def use(address: tuple[str, int]) -> None:
        client = TargetClient()
        url = f"http://{address[0]}:{address[1]}"
        calls = [
            client.call("POST", url, b"{}", {}, 1.0),
            client.complete(url, b"{}", {}, 1.0),
            client.open_stream(url, b"{}", {}, 1.0),
            client.resume_stream(url, "id", 3, chat=True, timeout_s=1.0),
        ]
        with closing(client.http):
            for call in calls:
                with pytest.raises(TargetFailure) as raised:
                    await call
                assert raised.value.code == "target_lost" and not raised.value.not_run

    serve_head(status_line, framing, use)


@every_framing
@invalid_heads
def test_data_host_may_or_may_not_have_the_job(status_line: str, framing: BodyFraming) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http:
            client = SpoolClient(http, lambda: [f"{address[0]}:{address[1]}"], list, copies=1)
            assert await client.keep({}, 0) is SpoolOutcome.UNCERTAIN  # type: ignore[arg-type]
            assert await client.find(JobId("job")) is SpoolOutcome.UNCERTAIN

    serve_head(status_line, framing, use)


@every_framing
@invalid_heads
def test_configuration_of_a_peer_is_not_used(status_line: str, framing: BodyFraming) -> None:
    offered: list[bytes] = []

    async def use(address: tuple[str, int]) -> None:
        active: Any = SimpleNamespace(offer=lambda raw, _: offered.append(raw))
        with closing(HttpClient()) as http:
            await peer_configuration._fetch(f"{address[0]}:{address[1]}", http, active)

    serve_head(status_line, framing, use)
    assert not offered


@every_framing
@invalid_heads
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
def test_connection_of_an_invalid_head_is_not_used_again(
    method: str, status_line: str, framing: BodyFraming
) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http:
            with pytest.raises(ResponseBroken):
                await http.send(address, method, "/")
            assert not http.idle

    serve_head(status_line, framing, use)
