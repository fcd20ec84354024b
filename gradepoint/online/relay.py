"""Forwards file and batch requests unparsed to a batch program."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import GradepointError
from ..wire.http_client import ClientResponse, ConnectFailed, HttpClient, ResponseBroken
from ..wire.http_types import Response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..fleet.local import FleetView
    from ..settings import Settings
    from ..wire.http_types import Request

FORWARDED_HEADERS = (
    "authorization",
    "content-type",
    "idempotency-key",
    "content-length",
    "gradepoint-deadline-ms",
)
HOP_BY_HOP_HEADERS = frozenset({"transfer-encoding", "connection", "content-length"})
RESPONSE_HEAD_TIMEOUT_S = 300.0


class BatchRelay:
    """Forwards requests to the batch program of this host, or to one on another host."""

    def __init__(self, settings: Settings, fleet: FleetView) -> None:
        self.settings = settings
        self.fleet = fleet
        self.http = HttpClient()

    async def relay(self, request: Request) -> Response:
        """Forward one request.

        :raises GradepointError: no batch program is reachable, or the response was lost.
        """
        for base_url in self._batch_urls():
            try:
                answer = await self._send(base_url, request)
            except ConnectFailed:
                continue
            except ResponseBroken as error:
                # Ids of files and jobs are derived from their content, so a resend is safe.
                raise GradepointError(
                    "service_uncertain", f"The batch program: {error}."
                ) from error
            headers = {
                name: value
                for name, value in answer.headers.items()
                if name not in HOP_BY_HOP_HEADERS
            }
            return Response(answer.status, headers, stream=answer.stream())
        raise GradepointError("not_ready", "No batch program can be reached.")

    def _batch_urls(self) -> list[str]:
        """Return the batch programs to try: this host's first, then up to two others."""
        own = f"http://{self.settings.address}:{self.settings.batch_port}"
        others = [
            f"http://{member.address}:{member.batch_port}"
            for member in self.fleet.members
            if member.host != self.settings.host
        ]
        return [own, *others[:2]]

    async def _send(self, base_url: str, request: Request) -> ClientResponse:
        headers = {
            name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers
        }
        body: bytes | AsyncIterator[bytes] = b""
        if request.method in ("POST", "PUT"):
            body = request.body_source()
        return await self.http.request(
            request.method,
            base_url + request.target,
            body,
            headers,
            timeout_s=RESPONSE_HEAD_TIMEOUT_S,
            fresh=True,
        )
