"""Callers of two organisations in a soak: their keys, and what targets have to see of them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from gradepoint.util.clock import monotonic

from ..platform.target import TargetStandin

NAMES = ("free", "limited")
RATE, BURST = 8.0, 8.0
"""Quota of the limited one: a fraction of what the soak's callers ask."""
EXCESS, SLACK, WINDOW_S = 0.1, 20.0, 5.0
TOLERATED = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK


def name_caller(request_id: str) -> str:
    """Return the organisation of a call, job or item, the same each time."""
    return NAMES[crc32(request_id.partition(".")[0].encode()) % len(NAMES)]


def make_settings() -> dict[str, object]:
    """Return a gateway's settings of what is tolerated."""
    return {"quota_excess": EXCESS, "quota_slack": SLACK, "quota_window_s": WINDOW_S}


@dataclass
class Organisations:
    """What targets saw of the organisations.

    :ivar broken: what they must not have seen.
    :ivar runs: times of the last runs of the limited organisation's calls, by their first arrival.
    """

    broken: list[str] = field(default_factory=list)
    seen: set[str] = field(default_factory=set)
    runs: deque[float] = field(default_factory=deque)
    most: int = 0

    def list_rows(self, version: int) -> list[dict[str, object]]:
        """Return the organisations as the operator writes them; one key of each lasts."""
        rows: list[dict[str, object]] = [
            {"name": name, "api_keys": [f"{name}-key", f"{name}-key-{version}"]} for name in NAMES
        ]
        rows[1] |= {"rate_per_s": RATE, "burst_size": BURST}
        return rows

    def add_key(self, request_id: str, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return a call's headers with its caller's key, and a name that is not to be believed."""
        key = f"{name_caller(request_id)}-key"
        return [*headers, ("x-credential", key), ("x-tenant", "someone")]

    def watch(self, target: TargetStandin) -> None:
        """Look at each request that a target gets."""

        def look(_path: str, _body: bytes) -> None:
            self._look(target.seen[-1].raw_headers)

        target.on_request = look

    def _look(self, headers: list[tuple[bytes, bytes]]) -> None:
        request_id = dict(headers).get(b"x-attempt-id", b"").decode()
        name = name_caller(request_id)
        told = [value.decode() for key, value in headers if key == b"x-tenant"]
        if told != [name]:
            self.broken.append(f"{request_id}: told as {told}, and is of {name}")
        if any(b"-key" in value for _, value in headers):
            self.broken.append(f"{request_id}: a key reached a target")
        # Items count against no quota.
        if name == "limited" and "." not in request_id and request_id not in self.seen:
            self._count(request_id)

    def _count(self, request_id: str) -> None:
        now = monotonic()
        self.seen.add(request_id)
        self.runs.append(now)
        while self.runs[0] < now - WINDOW_S:
            self.runs.popleft()
        self.most = max(self.most, len(self.runs))
        if len(self.runs) > TOLERATED:
            self.broken.append(f"{request_id}: {len(self.runs)} calls in {WINDOW_S:g} s")
