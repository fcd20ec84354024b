"""Property tests of how answers are read from arbitrary bytes.

Each reader gets answers in which up to two parts are faulty. It returns a valid answer, or raises
its own error.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from hypothesis import event, example, given, settings
from hypothesis import strategies as st

from gradepoint.errors import KvError, TargetFailure
from gradepoint.kv.etcd import EtcdClient
from gradepoint.kv.relay import RelayedKv
from gradepoint.kv.service import ABSENT, Expect, KeyValueService, Put, Transaction
from gradepoint.platform.store import PlatformStore
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import HttpClient, ResponseBroken
from gradepoint.wire.target_client import TargetAnswer, TargetClient
from tests.support.virtual_network import run_on_network

ADDRESS = "127.0.0.1"
FINAL_HEAD = re.compile(rb"(HTTP/1\.[01] 1\d\d.*?\r?\n\r?\n)*HTTP/1\.[01] ([2-5]\d\d)", re.DOTALL)
WRITE = Transaction((Expect("a", ABSENT),), (Put("a", b"1"),))

PARTS = ("interim", "version", "status", "framing", "header", "extra", "bytes")
"""Parts of an answer that may be faulty."""
FAULTY_VERSIONS = st.sampled_from([b"0.0", b"0.9", b"1.2", b"2.0", b"3.7", b"9.9", b"1", b"x"])
VALID_STATUSES = st.one_of(st.just(200), st.integers(200, 599))
FAULTY_STATUSES = st.one_of(
    st.integers(0, 199), st.integers(600, 1100), st.sampled_from([20, 2000, 101, 999])
)
FAULTY_FRAMINGS = st.lists(
    st.sampled_from(
        [
            b"content-length: %d",
            b"content-length: 3",
            b"content-length: -1",
            b"content-length: x",
            b"content-length: 99999999999999999999",
            b"transfer-encoding: chunked",
            b"transfer-encoding: gzip, chunked",
            b"transfer-encoding: identity",
        ]
    ),
    min_size=1,
    max_size=2,
)
VALID_HEADERS = st.sampled_from([[], [b"a: b"], [b"a:"], [b"a: \xe4\tb"], [b"connection: close"]])
FAULTY_HEADERS = st.sampled_from(
    [[b"a: \x01"], [b"a: \x7f"], [b"a b: c"], [b": x"], [b"a"], [b"a: b", b" \x02"], [b"\xe4: b"]]
)
BODIES = st.sampled_from(
    [
        b"",
        b"{}",
        b"[]",
        b"7",
        b"null",
        b'{"kvs": 7}',
        b'{"ID": "x", "kvs": [{}], "result": 3}',
        b'{"key_path": "a", "value": "b", "items": [{"key_path": "a", "value": "b"}]}',
        b'{"key_path": "a", "rev": 7, "items": [], "lease": 9}',
        b"data: 1\n\n",
        b"\x81\xa1a\x01",
    ]
)


def chunk(body: bytes) -> bytes:
    """Return *body* in one chunk, with the last one."""
    return (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"


@dataclass(frozen=True)
class Answer:
    """An answer of a fuzzed server.

    :param raw: its bytes.
    :param status: its status if it is valid; None if a part of it is faulty.
    :param body: its body if it is valid and answers a request that is not of the method HEAD.
    """

    raw: bytes
    status: int | None = None
    body: bytes = b""


@st.composite
def draw_answer(draw: st.DrawFn, faulty: frozenset[str]) -> Answer:
    """Return an answer with faults in some of its parts."""
    version = draw(FAULTY_VERSIONS if "version" in faulty else st.sampled_from([b"1.1", b"1.0"]))
    status = draw(FAULTY_STATUSES if "status" in faulty else VALID_STATUSES)
    body = draw(BODIES)
    framings = [[b"content-length: %d" % len(body)], []]
    if version == b"1.1":
        framings.append([b"transfer-encoding: chunked"])
    framing = draw(FAULTY_FRAMINGS if "framing" in faulty else st.sampled_from(framings))
    if status == 204 and "framing" not in faulty:
        framing = []
    framing = [row.replace(b"%d", b"%d" % len(body)) for row in framing]
    headers = draw(FAULTY_HEADERS if "header" in faulty else VALID_HEADERS)
    interim = b""
    if draw(st.booleans()) or "interim" in faulty:
        interim = b"HTTP/1.1 %d X\r\n\r\n" % (101 if "interim" in faulty else 100)
    sent = b"" if status in (204, 304) else body
    if sent and any(row.startswith(b"transfer") for row in framing):
        sent = chunk(sent)
    elif b"transfer-encoding: chunked" in framing and status not in (204, 304):
        sent = chunk(b"")
    raw = interim + b"\r\n".join(
        [b"HTTP/%b %03d X" % (version, status), *framing, *headers, b"", b""]
    )
    raw += sent
    if "extra" in faulty:
        raw += draw(st.sampled_from([b"x", b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"]))
    if "bytes" in faulty:
        at = draw(st.integers(0, len(raw) - 1))
        raw = raw[:at] + draw(st.binary(max_size=4)) + (draw(st.just(b"") | st.just(raw[at + 1 :])))
    return Answer(raw) if faulty else Answer(raw, status, b"" if status in (204, 304) else body)


answers = st.frozensets(st.sampled_from(PARTS), max_size=2).flatmap(draw_answer)


Use = Callable[[tuple[str, int]], Awaitable[None]]


def serve_bytes(answer: bytes, use: Use, *, close: bool) -> None:
    """Run *use* with the address of a server that sends *answer* on each connection, in pieces.

    :param close: whether the server closes each connection after it.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: len(answer) // 2])
        writer.write(answer[len(answer) // 2 :])
        if close:
            writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, ADDRESS, 0)
        await use((ADDRESS, server.sockets[0].getsockname()[1]))
        server.close()

    run_on_network(main(), seed=1)


@settings(max_examples=400)
@given(answers, st.booleans(), st.sampled_from(["GET", "POST", "HEAD"]))
def test_client_returns_valid_answers_or_its_own_errors(
    answer: Answer, close: bool, method: str
) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http:
            try:
                async with asyncio.timeout(1.0):
                    response = await http.send(address, method, "/", timeout_s=0.5)
                    body = await response.read()
            except (ResponseBroken, TimeoutError):
                event("broken")
                assert not http.idle
                # Without a length or chunks, only the end of the connection ends a body.
                assert answer.status is None or not close
                return
            event("valid" if answer.status is not None else "valid in spite of a fault")
            head = FINAL_HEAD.match(answer.raw.lstrip(b"\r\n"))
            assert head is not None and response.status == int(head[2])
            for _, value in response.raw_headers:
                assert not re.search(rb"[\x00-\x08\x0a-\x1f\x7f]", value)
            if method == "HEAD" or response.status in (204, 304):
                assert body == b""
            elif answer.status is not None:
                assert (response.status, body) == (answer.status, answer.body)

    serve_bytes(answer.raw, use, close=close)


@settings(max_examples=300)
@given(answers, st.booleans())
def test_later_request_never_gets_the_rest_of_an_earlier_answer(
    answer: Answer, close: bool
) -> None:
    """Each connection brings the same bytes, so that another answer is made of left-over ones."""

    async def use(address: tuple[str, int]) -> None:
        found: list[tuple[int, bytes] | None] = []
        with closing(HttpClient()) as http:
            for _ in range(3):
                try:
                    async with asyncio.timeout(1.0):
                        response = await http.send(address, "GET", "/", timeout_s=0.5)
                        found.append((response.status, await response.read()))
                except (ResponseBroken, TimeoutError):
                    found.append(None)
        # A server that answers once on a connection that stays open leaves the second request.
        assert all(row in (found[0], None) for row in found)

    serve_bytes(answer.raw, use, close=close)


async def make_kv_calls(service: KeyValueService) -> None:
    """Make each call to the key-value service; errors of its interface are expected."""
    for call in (
        service.get("a"),
        service.range("a"),
        service.transact(WRITE),
        service.grant_lease(5),
        service.keep_lease(7),
        service.revoke_lease(7),
    ):
        with suppress(KvError):
            await call


@settings(max_examples=300)
@given(answers)
@example(Answer(b'HTTP/1.1 200 X\r\n\r\n{"key_path": "a", "value": "b"}'))
@example(
    Answer(b'HTTP/1.1 412 X\r\n\r\n{"items": [{"key_path": "a", "rev": 1, "value": "\xc3\xa4"}]}')
)
def test_store_raises_only_errors_of_its_interface(answer: Answer) -> None:
    async def use(address: tuple[str, int]) -> None:
        store = PlatformStore(f"{address[0]}:{address[1]}", 0.5, 20.0)
        with closing(store.http):
            await make_kv_calls(store)
            with suppress(KvError):
                await store.wait_for_changes("a", 1, 0.1)

    serve_bytes(answer.raw, use, close=True)


@settings(max_examples=300)
@given(answers)
def test_etcd_client_raises_only_errors_of_its_interface(answer: Answer) -> None:
    async def use(address: tuple[str, int]) -> None:
        client = EtcdClient(f"http://{address[0]}:{address[1]}", 0.5)
        with closing(client.http):
            await make_kv_calls(client)
            with suppress(KvError, StopAsyncIteration):
                await anext(client.watch("a", 1))

    serve_bytes(answer.raw, use, close=True)


@settings(max_examples=300)
@given(answers)
def test_relayed_calls_raise_only_errors_of_their_interface(answer: Answer) -> None:
    async def use(address: tuple[str, int]) -> None:
        with closing(HttpClient()) as http:
            direct: Any = SimpleNamespace(watch_s=1.0)
            relayed = RelayedKv(direct, http, lambda: [f"{address[0]}:{address[1]}"])
            relayed.failing_since = relayed.direct_retried_at = monotonic()
            await make_kv_calls(relayed)

    serve_bytes(answer.raw, use, close=True)


@settings(max_examples=300)
@given(answers)
def test_target_client_returns_valid_answers_or_its_own_errors(answer: Answer) -> None:
    async def use(address: tuple[str, int]) -> None:
        client = TargetClient()
        url = f"http://{address[0]}:{address[1]}"
        with closing(client.http):
            with suppress(TargetFailure):
                found = await client.call("POST", url, b"{}", {}, 0.5)
                assert 200 <= found.status <= 599
            with suppress(TargetFailure):
                stream = await client.open_stream(url, b"{}", {}, 0.5)
                if not isinstance(stream, TargetAnswer):
                    async for _ in stream.payloads():
                        pass

    serve_bytes(answer.raw, use, close=True)
