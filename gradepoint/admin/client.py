"""Client of the administration API, used by the command line."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken

TIMEOUT_S = 15.0


class AdminUnreachable(Exception):
    """The administration API gave no answer."""


@dataclass
class AdminAnswer:
    """Status and decoded body of an answer."""

    status: int
    body: dict[str, Any]

    @property
    def good(self) -> bool:
        """Whether the call succeeded."""
        return self.status == 200


@dataclass
class AdminClient:
    """Talks to one control program."""

    base_url: str
    key: str

    async def call(
        self, method: str, path: str, body: bytes = b"", query: dict[str, str] | None = None
    ) -> AdminAnswer:
        """Send one call.

        :raises AdminUnreachable: no answer came.
        """
        http = HttpClient()
        url = self.base_url.rstrip("/") + path
        if query:
            url = f"{url}?{urlencode(query)}"
        headers = {"authorization": f"Bearer {self.key}"}
        try:
            answer = await http.request(method, url, body, headers, timeout_s=TIMEOUT_S)
            raw = await answer.read()
            return AdminAnswer(answer.status, msgspec.json.decode(raw))
        except (ConnectFailed, ResponseBroken, msgspec.DecodeError) as error:
            raise AdminUnreachable(f"{self.base_url}: {error}") from error
        finally:
            http.close()

    async def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until every host has *version*; return the hosts that are behind."""
        behind = ["(not asked)"]
        try:
            async with asyncio.timeout(timeout_s):
                while behind:
                    answer = await self.call("GET", "/admin/status")
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
