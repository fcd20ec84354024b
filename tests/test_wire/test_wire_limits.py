"""Limits and invalid input: each gets an error with a code and a remedy, and nothing hangs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradepoint.batch.items import parse_line
from gradepoint.batch.upload import UploadLimits, read_upload
from gradepoint.config.document import Document, Model, ModelVersion
from gradepoint.errors import GradepointError
from gradepoint.ids import ObjectHash
from gradepoint.online.requests import parse_completion
from gradepoint.util.hashing import sha256_hex
from gradepoint.wire.http_server import HttpServer, ServerLimits
from gradepoint.wire.http_types import Request, Response, json_response

LIMITS = ServerLimits(
    max_connections=3, max_header_bytes=2048, max_body_bytes=1000, idle_timeout_s=0.2
)
DOCUMENT = Document(1, "d", [Model("m", [ModelVersion("v1", "w")], "v1")], [], [])


async def echo(request: Request) -> Response:
    """Respond with the length of the body; raise an unexpected error for ``/fault``."""
    if request.path == "/fault":
        raise ValueError("secret detail")
    return json_response({"bytes": len(await request.read_body())})


def with_server(work: Callable[[int], Awaitable[None]]) -> None:
    """Run *work* with the port of a server."""

    async def main() -> None:
        server = HttpServer(echo, LIMITS)
        await server.start("127.0.0.1", 0)
        try:
            await work(server.port)
        finally:
            server.abort()

    asyncio.run(main())


async def send_raw(port: int, data: bytes) -> bytes:
    """Send bytes and return everything that the server sends until it closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("sent", "status", "code"),
    [
        (b"NONSENSE\r\n\r\n", 400, "bad_http"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 4000 + b"\r\n\r\n", 431, "header_too_large"),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n" + b"z" * 5000,
            413,
            "body_too_large",
        ),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\nhalf", 408, "request_timeout"),
        (b"GET / HTTP/1.1\r\nhos", 408, "request_timeout"),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "bad_http",
        ),
    ],
)
def test_bad_input_gets_a_typed_error(sent: bytes, status: int, code: str) -> None:
    async def work(port: int) -> None:
        answer = await send_raw(port, sent)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status}".encode())
        error = msgspec.json.decode(body)["error"]
        assert error["code"] == code
        assert error["remedy"]
        assert b"gradepoint-outcome: not-run" in head

    with_server(work)


def test_handler_fault_does_not_leak_details_to_the_caller() -> None:
    async def work(port: int) -> None:
        answer = await send_raw(
            port, b"GET /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        )
        assert b"internal" in answer
        assert b"secret" not in answer and b"Traceback" not in answer

    with_server(work)


def test_connections_beyond_the_limit_are_refused_with_retry_after() -> None:
    async def work(port: int) -> None:
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        await asyncio.sleep(0.05)
        answer = await send_raw(port, b"")
        assert b"too_many_connections" in answer and b"retry-after" in answer
        for _, writer in held:
            writer.close()

    with_server(work)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_any_bytes_get_a_response_or_a_close(data: bytes) -> None:
    async def work(port: int) -> None:
        answer = await send_raw(port, data + b"\r\n\r\n")
        assert b"internal" not in answer

    with_server(work)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
FIELD_NAMES = st.sampled_from(
    [
        "model",
        "prompt",
        "messages",
        "stream",
        "max_tokens",
        "n",
        "role",
        "custom_id",
        "method",
        "url",
        "body",
        "repeatable",
    ]
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=200)
    | st.dictionaries(FIELD_NAMES, JSON, max_size=6).map(msgspec.json.encode)
)
def test_request_parser_accepts_or_rejects_any_input(raw: bytes) -> None:
    for path in ("/v1/completions", "/v1/chat/completions"):
        try:
            parse_completion(path, raw, DOCUMENT)
        except GradepointError as error:
            assert error.kind.status in (400, 404)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=200)
    | st.dictionaries(FIELD_NAMES, JSON, max_size=6).map(msgspec.json.encode)
)
def test_batch_line_errors_name_the_line(raw: bytes) -> None:
    try:
        parse_line(raw, 17)
    except GradepointError as error:
        assert error.code == "bad_batch_line"
        assert "Line 17" in error.message


def upload(data: bytes, limits: UploadLimits, pieces: int = 7) -> object:
    """Upload a file in pieces of *pieces* bytes; the parts are hashed but not stored."""
    form = (
        b'--b\r\ncontent-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--b\r\n'
        b'content-disposition: form-data; name="file"; filename="f"\r\n\r\n'
        + data
        + b"\r\n--b--\r\n"
    )

    async def body():  # type: ignore[no-untyped-def]
        for start in range(0, len(form), pieces):
            yield form[start : start + pieces]

    async def put(part: bytes) -> ObjectHash:
        return ObjectHash(sha256_hex(part))

    return asyncio.run(read_upload(body(), "multipart/form-data; boundary=b", "org", put, limits))


def line(name: str) -> bytes:
    """Return a batch line with *name* as its custom id."""
    return msgspec.json.encode(
        {
            "custom_id": name,
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": "m", "prompt": "p"},
        }
    )


SMALL_LIMITS = UploadLimits(max_bytes=4000, max_items=5, max_line_bytes=300, chunk_items=2)


@pytest.mark.parametrize(
    ("data", "code", "message"),
    [
        (line("a") + b"\n{bad\n", "bad_batch_line", "Line 2"),
        (line("a") + b"\n" + line("b") + b"\n" + line("a"), "duplicate_custom_id", "Lines 1 and 3"),
        (b"\n".join(line(str(n)) for n in range(6)), "too_many_items", "5"),
        (line("x" * 400), "bad_batch_line", "longer than 300"),
        (b"x" * 5000, "body_too_large", "4000"),
        (b"", "bad_batch_line", "no lines"),
    ],
)
def test_bad_file_is_refused_with_the_reason(data: bytes, code: str, message: str) -> None:
    with pytest.raises(GradepointError) as refused:
        upload(data, SMALL_LIMITS)
    assert refused.value.code == code
    assert message in refused.value.message


def test_uploaded_file_does_not_depend_on_piece_sizes() -> None:
    data = b"\n".join(line(str(n)) for n in range(5))
    first = upload(data, SMALL_LIMITS, pieces=3)
    second = upload(data, SMALL_LIMITS, pieces=500)
    assert first.file_id == second.file_id  # type: ignore[attr-defined]
    assert first.segments == second.segments  # type: ignore[attr-defined]
    assert [segment.lines for segment in first.segments] == [2, 2, 1]  # type: ignore[attr-defined]
