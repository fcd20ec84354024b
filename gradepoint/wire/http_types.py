"""Typed HTTP requests and responses shared by the server and its handlers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

from ..errors import GradepointError, Outcome

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


@dataclass
class Request:
    """One request as its handler sees it.

    :param target: path and query as sent.
    :param headers: names in lower case; repeated headers joined by a comma.
    :param body_source: yields the body's pieces, once.
    :param raw_headers: every header line in order, names in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body_source: BodySource
    max_body_bytes: int
    raw_headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    @property
    def path(self) -> str:
        """The decoded path without its query."""
        return unquote(urlsplit(self.target).path)

    @property
    def query(self) -> dict[str, str]:
        """The query's fields; the last of a repeated field counts."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))

    async def read_body(self, limit: int | None = None) -> bytes:
        """Return the whole body.

        :raises GradepointError: ``body_too_large``.
        """
        bound = self.max_body_bytes if limit is None else limit
        pieces: list[bytes] = []
        size = 0
        async for piece in self.body_source():
            size += len(piece)
            if size > bound:
                raise GradepointError("body_too_large", f"The body is over {bound} bytes.")
            pieces.append(piece)
        return b"".join(pieces)

    async def read_json(self) -> Any:
        """Return the body decoded as JSON.

        :raises GradepointError: ``bad_json`` or ``body_too_large``.
        """
        return decode_json(await self.read_body())


@dataclass
class Response:
    """One response; *stream* is used in place of *body* when given.

    :param trailers: called after the stream ended, for chunked trailers.
    :param raw_headers: header lines sent as they are, besides *headers*; a proxied answer
        may repeat a name.
    :param release: called once the response is done with, also when its stream never began.
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


def decode_json(body: bytes) -> Any:
    """Decode JSON, with ``bad_json`` as the error."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise GradepointError("bad_json", f"The body is not valid JSON: {error}.") from error


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return *value* as a JSON response."""
    fields = {"content-type": JSON_TYPE, **(headers or {})}
    return Response(status, fields, msgspec.json.encode(value))


def error_body(error: GradepointError) -> dict[str, Any]:
    """Return the error in the API's shape, with its remedy."""
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
    """Return outcome and retry headers.

    Public clients retry 408, 409, 429 and 5xx by themselves, so a call whose resend
    could run twice carries ``x-should-retry: false`` and no ``retry-after``.

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
    """Return *error* as a response in the API's error shape."""
    headers = error_headers(error, resend_is_safe)
    return json_response(error_body(error), error.kind.status, headers)
