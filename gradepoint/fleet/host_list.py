"""Client of the platform's host list, ``GET /hosts``, which may lag behind the real state."""

from __future__ import annotations

from enum import Enum

import msgspec

from .. import events
from ..errors import DecodingError
from ..ids import HostName
from ..kv.unreadable import UnreadableRows
from ..util import decoding
from ..wire.http_client import ConnectFailed, HttpClient, ResponseBroken


class HostState(Enum):
    """State of a host as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the host list."""

    name: str
    state: HostState


class HostList(msgspec.Struct, frozen=True):
    """Response body of ``GET /hosts``."""

    hosts: list[ListedHost]


class HostListClient:
    """Reads the host list, and keeps the last good answer while the list is unavailable."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.http = HttpClient()
        self.last_known: dict[HostName, HostState] = {}
        self.unreadable = UnreadableRows()

    async def refresh(self, timeout_s: float = 1.0) -> dict[HostName, HostState]:
        """Return the state of each host by name, from the last good answer if the read fails."""
        if not self.base_url:
            return self.last_known
        try:
            response = await self.http.request("GET", f"{self.base_url}/hosts", timeout_s=timeout_s)
            raw = await response.read()
            if response.status != 200:
                return self.last_known
            answer, bad = decoding.decode_json_list(raw, HostList, ["hosts"], ListedHost)
        except (ConnectFailed, ResponseBroken, DecodingError):
            return self.last_known
        for row in bad:
            name = row.value.get("name") if isinstance(row.value, dict) else None
            self.unreadable.note(events.HOST_UNREADABLE, f"/hosts: {name!a}", row.reason)
        self.last_known = {HostName(row.name): row.state for row in answer.hosts}
        return self.last_known
