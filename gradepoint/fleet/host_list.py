"""Client of the platform's lagging host list: ``GET /hosts``."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import HostName
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """One row of the host list."""

    name: str
    state: HostState


class HostList(msgspec.Struct, frozen=True):
    """The platform's answer."""

    hosts: list[ListedHost]


class HostListClient:
    """Reads the host list; a silent list leaves the last answer standing."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.http = HttpClient()
        self.last: dict[HostName, HostState] = {}

    async def refresh(self, timeout_s: float = 1.0) -> dict[HostName, HostState]:
        """Return the newest list that could be had."""
        if not self.base_url:
            return self.last
        try:
            response = await self.http.request("GET", f"{self.base_url}/hosts", timeout_s=timeout_s)
            answer = msgspec.json.decode(await response.read(), type=HostList)
        except (ConnectFailed, ResponseBroken, msgspec.DecodeError):
            return self.last
        self.last = {HostName(row.name): row.state for row in answer.hosts}
        return self.last
