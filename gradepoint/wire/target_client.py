"""Calls to targets. Each ends with a complete response, or fails as "not run" or "unknown"."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..errors import DecodingError, NestedTooDeeply, TargetFailure
from ..util import decoding
from . import sse
from .http_client import BodyFraming, ClientResponse, ConnectFailed, HttpClient, ResponseBroken
from .http_types import EVENT_STREAM_TYPE, JSON_TYPE

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Mapping

HEADER_NOT_RUN = "x-not-run"
HEADER_STREAM_ID = "x-stream-id"
REJECTED_STATUSES = frozenset({400, 404, 413, 422, 429})
"""Statuses by which an OpenAI-compatible engine states that it did not accept a request."""
CALLER_ERROR_STATUSES = frozenset({400, 413, 422})
"""The statuses among them that report a fault of the request itself. Every target would respond in
the same way, so the response goes to the caller."""


@dataclass
class TargetAnswer:
    """A complete response of a target."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass
class TargetStream:
    """A streamed response whose head has been read.

    :param stream_id: id for resuming the stream at the target; empty if the target gave none.
    """

    stream_id: str
    response: ClientResponse

    async def payloads(self) -> AsyncGenerator[bytes, None]:
        """Yield the payloads of the events before the final ``[DONE]``.

        :raises TargetFailure: the stream broke off before ``[DONE]``.
        """
        try:
            async for payload in sse.decode(self.response.stream()):
                if payload == sse.DONE:
                    return
                yield payload
        except ResponseBroken as error:
            raise TargetFailure("target_lost", str(error), not_run=False) from error
        finally:
            self.response.close()
        raise TargetFailure("target_lost", "the stream ended early", not_run=False)


class TargetClient:
    """Sends requests to targets and turns connection errors into :class:`TargetFailure`."""

    def __init__(self) -> None:
        self.http = HttpClient()

    async def call(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> TargetAnswer:
        """Send a request and return the complete response, whatever its status.

        :raises TargetFailure: no complete response arrived.
        """
        response = await self._send(method, url, body, headers, timeout_s, fresh=fresh)
        try:
            answer = TargetAnswer(response.status, response.headers, await response.read())
        except ResponseBroken as error:
            raise TargetFailure("target_lost", str(error), not_run=False) from error
        finally:
            response.close()
        if method != "HEAD" and response.framing is BodyFraming.UNTIL_CLOSE and _is_cut(answer):
            raise TargetFailure("target_lost", "the answer ended early", not_run=False)
        return answer

    async def complete(
        self,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> TargetAnswer:
        """Request a completion in one piece.

        :returns: the completion, or the response that the request is at fault.
        :raises TargetFailure: the engine refused the request, failed or was lost.
        """
        answer = await self.call("POST", url, body, headers, timeout_s, fresh=fresh)
        if answer.status == 200 or answer.status in CALLER_ERROR_STATUSES:
            return answer
        raise _to_failure(answer.status, answer.headers)

    async def open_stream(
        self,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> TargetStream | TargetAnswer:
        """Request a streamed completion.

        :returns: the stream, or the response that the request is at fault.
        :raises TargetFailure: the engine refused the request, failed or was lost.
        """
        response = await self._send("POST", url, body, headers, timeout_s, fresh=fresh)
        if response.status in CALLER_ERROR_STATUSES:
            return TargetAnswer(response.status, response.headers, await _read(response))
        if response.status != 200:
            response.close()
            raise _to_failure(response.status, response.headers)
        return TargetStream(response.headers.get(HEADER_STREAM_ID, ""), response)

    async def resume_stream(
        self, base_url: str, stream_id: str, offset: int, *, chat: bool, timeout_s: float
    ) -> TargetStream:
        """Continue to read a stream at the target that generates it.

        :raises TargetFailure: the target no longer has the stream, or was lost.
        """
        url = f"{base_url}/v1/streams/{stream_id}?offset={offset}&chat={int(chat)}"
        response = await self._send("GET", url, b"", {}, timeout_s, fresh=True)
        if response.status != 200:
            response.close()
            raise TargetFailure("target_lost", "the stream cannot be resumed", not_run=False)
        return TargetStream(stream_id, response)

    async def cancel_stream(self, base_url: str, stream_id: str) -> None:
        """Ask a target to stop generating a stream; failures are ignored."""
        with suppress(TargetFailure):
            await self.call("DELETE", f"{base_url}/v1/streams/{stream_id}", b"", {}, 1.0)

    async def _send(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        *,
        fresh: bool,
    ) -> ClientResponse:
        try:
            return await self.http.request(
                method, url, body, headers, timeout_s=timeout_s, fresh=fresh
            )
        except ConnectFailed as error:
            raise TargetFailure("target_unreachable", str(error), not_run=True) from error
        except ResponseBroken as error:
            raise TargetFailure("target_lost", str(error), not_run=False) from error


def _is_cut(answer: TargetAnswer) -> bool:
    """Whether the format of an answer shows that a part of it is missing."""
    content_type = answer.headers.get("content-type", "").partition(";")[0].strip().lower()
    if answer.status >= 300:
        return False
    if content_type == EVENT_STREAM_TYPE:
        return sse.ends_inside_event(answer.body)
    if content_type != JSON_TYPE:
        return False
    try:
        decoding.load_json(answer.body)
    except NestedTooDeeply:
        return False
    except DecodingError:
        return True
    return False


async def _read(response: ClientResponse) -> bytes:
    try:
        return await response.read()
    except ResponseBroken as error:
        raise TargetFailure("target_lost", str(error), not_run=False) from error


def _to_failure(status: int, headers: Mapping[str, str]) -> TargetFailure:
    not_run = status in REJECTED_STATUSES or headers.get(HEADER_NOT_RUN) == "true"
    code = "target_refused" if not_run else "target_error"
    return TargetFailure(code, f"the target answered {status}", not_run=not_run)
