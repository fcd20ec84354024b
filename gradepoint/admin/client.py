"""Client of the administration API, used by the command line."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from ..errors import DecodingError
from ..util import decoding
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken

TIMEOUT_S = 15.0
"""Seconds until a call fails without an answer."""


class AdminUnreachable(Exception):
    """The administration API did not answer, or not with JSON."""


@dataclass
class AdminAnswer:
    """HTTP status and decoded JSON body of an answer."""

    status: int
    body: dict[str, Any]

    @property
    def good(self) -> bool:
        """Whether the call succeeded."""
        return self.status == 200


@dataclass
class AdminClient:
    """Client of one control program or of a gateway's metrics port.

    :param base_url: URL of the server, without a path.
    :param key: operator's API key.
    """

    base_url: str
    key: str

    async def call(
        self, method: str, path: str, body: bytes = b"", query: dict[str, str] | None = None
    ) -> AdminAnswer:
        """Send one call.

        :raises AdminUnreachable: if no valid answer arrives.
        """
        http = HttpClient()
        url = self.base_url.rstrip("/") + path
        if query:
            url = f"{url}?{urlencode(query)}"
        headers = {"authorization": f"Bearer {self.key}"}
        try:
            answer = await http.request(method, url, body, headers, timeout_s=TIMEOUT_S)
            raw = await answer.read()
            return AdminAnswer(answer.status, decoding.decode_json(raw))
        except (ConnectFailed, ResponseBroken, DecodingError) as error:
            raise AdminUnreachable(f"{self.base_url}: {error}") from error
        finally:
            http.close()

    async def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until every host has *version* in force.

        An answer that is missing or tells no host is asked for again.

        :returns: the hosts that do not have it at the timeout; empty on success.
        """
        behind = ["(not asked)"]
        try:
            async with asyncio.timeout(timeout_s):
                while behind:
                    try:
                        answer = await self.call("GET", "/admin/status")
                    except AdminUnreachable:
                        answer = AdminAnswer(0, {})
                    if answer.good and answer.body.get("hosts"):
                        behind = hosts_behind(answer.body, version)
                    if behind:
                        await asyncio.sleep(0.2)
        except TimeoutError:
            pass
        return behind


def hosts_behind(status: dict[str, Any], version: int) -> list[str]:
    """Return the hosts that do not have *version* in force."""
    return [
        row["host"] for row in status.get("hosts", []) if row.get("config_version", -1) < version
    ]
