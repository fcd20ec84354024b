"""HTTP requests and responses as handlers see them, and responses for JSON and errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

from ..errors import DecodingError, GradepointError, Outcome
from ..util import decoding
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    BodySource = Callable[[], AsyncIterator[bytes]]

HEADER_OUTCOME = "gradepoint-outcome"
HEADER_REASON = "gradepoint-reason"
HEADER_DEADLINE = "gradepoint-deadline-ms"
HEADER_NOT_REPEATABLE = "gradepoint-not-repeatable"
HEADER_REQUEST_ID = "gradepoint-request-id"
HEADER_IDEMPOTENCY_KEY = "idempotency-key"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
JSON_SUFFIX = "+json"


def is_json(content_type: str) -> bool:
    """Whether the value of a ``Content-Type`` header names a JSON format (RFC 6839)."""
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == JSON_TYPE or media_type.endswith(JSON_SUFFIX)


class Request(Struct):
    """One request as its handler sees it.

    :param target: path and query as sent.
    :param headers: names in lower case; repeated headers joined by a comma.
    :param body_source: yields the body piece by piece; can be called once.
    :param max_body_bytes: default limit of :meth:`read_body`.
    :param raw_headers: every header line in order, names in lower case.
    :param body_copies: copies of the body that its handler holds at once. Memory is reserved for
        all of them before the body is read.
    """

    method: str
    target: str
    headers: dict[str, str]
    body_source: BodySource
    max_body_bytes: int
    raw_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body_copies: int = 1

    @property
    def path(self) -> str:
        """The path, percent-decoded and without the query."""
        return unquote(_split_target(self.target)[0])

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query; the last value of a repeated field counts."""
        return dict(parse_qsl(_split_target(self.target)[1], keep_blank_values=True))

    async def read_body(self, limit: int | None = None) -> bytes:
        """Return the whole body.

        :param limit: maximum size in bytes; None for *max_body_bytes*.
        :raises GradepointError: ``body_too_large``.
        """
        max_bytes = self.max_body_bytes if limit is None else limit
        body = bytearray()
        async for piece in self.body_source():
            if len(body) + len(piece) > max_bytes:
                raise GradepointError("body_too_large", f"The body is over {max_bytes} bytes.")
            body += piece
        return bytes(body)

    async def read_json(self) -> Any:
        """Return the body decoded as JSON.

        :raises GradepointError: ``bad_json`` or ``body_too_large``.
        """
        return decode_json(await self.read_body())


class Response(Struct):
    """One response; *stream* is sent instead of *body*, if given.

    :param trailers: called after the end of the stream; returns the trailers to send.
    :param raw_headers: header lines sent unchanged, in addition to *headers*; a proxied response
        may repeat a name.
    :param release: called once the response is finished, also if its stream was never started.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    trailers: Callable[[], dict[str, str]] | None = None
    raw_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    release: Callable[[], None] | None = None


if TYPE_CHECKING:
    Handler = Callable[[Request], Awaitable[Response]]


def _split_target(target: str) -> tuple[str, str]:
    """Return the path and the query of a request's target."""
    try:
        parts = urlsplit(target)
    except ValueError:
        # A caller's target such as "//[" is taken for an invalid IPv6 address.
        path, _, query = target.partition("?")
        return path, query
    return parts.path, parts.query


def decode_json(body: bytes) -> Any:
    """Decode JSON.

    :raises GradepointError: ``bad_json``.
    """
    try:
        return decoding.decode_json(body)
    except DecodingError as error:
        raise GradepointError("bad_json", f"The body is not valid JSON: {error}.") from error


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return *value* as a JSON response."""
    fields = {"content-type": JSON_TYPE, **(headers or {})}
    return Response(status, fields, msgspec.json.encode(value))


def error_body(error: GradepointError) -> dict[str, Any]:
    """Return the JSON object that describes *error* in the API, with its remedy."""
    return {
        "error": {
            "message": error.message,
            "type": error.kind.category.value,
            "param": error.param,
            "code": error.code,
            "outcome": error.outcome.value,
            "remedy": error.kind.remedy,
            "retry_after_s": error.retry_after,
        }
    }


def error_headers(error: GradepointError, resend_is_safe: bool) -> dict[str, str]:
    """Return the headers that state the outcome and whether to retry.

    Public clients retry on 408, 409, 429 and 5xx by themselves. If a retry could run the call
    twice, the response has ``x-should-retry: false`` and no ``retry-after``.

    :param resend_is_safe: sending the same request again cannot run it twice.
    """
    headers = {HEADER_OUTCOME: error.outcome.value, HEADER_REASON: error.code}
    may_retry = error.outcome is Outcome.NOT_RUN or resend_is_safe
    if error.retry_after is None or not may_retry:
        headers["x-should-retry"] = "false"
        return headers
    headers["x-should-retry"] = "true"
    headers["retry-after"] = str(max(1, round(error.retry_after)))
    headers["retry-after-ms"] = str(round(error.retry_after * 1000))
    return headers


def error_response(error: GradepointError, *, resend_is_safe: bool = True) -> Response:
    """Return the response that reports *error*; see :func:`error_headers`."""
    headers = error_headers(error, resend_is_safe)
    return json_response(error_body(error), error.kind.status, headers)
