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

    # Decoded one by one, so that an invalid entry does not invalidate the others.
    hosts: list[msgspec.Raw]


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
            answer = decoding.decode_json(raw, HostList)
        except (ConnectFailed, ResponseBroken, DecodingError):
            return self.last_known
        listed = [self._read_host(raw_row, index) for index, raw_row in enumerate(answer.hosts)]
        self.last_known = {HostName(row.name): row.state for row in listed if row is not None}
        return self.last_known

    def _read_host(self, raw: msgspec.Raw, index: int) -> ListedHost | None:
        try:
            return decoding.decode_json(raw, ListedHost)
        except DecodingError as error:
            self.unreadable.note(events.HOST_UNREADABLE, f"/hosts[{index}]", str(error))
            return None
