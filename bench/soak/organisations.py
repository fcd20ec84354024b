"""Callers of two organisations in a soak: their API keys, and checks of what reaches targets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from gradepoint.util.clock import monotonic

from ..platform.target import TargetStandin

NAMES = ("free", "limited")
RATE, BURST = 8.0, 8.0
"""Quota of the organisation ``limited``, in calls a second and calls at once.

It is a fraction of what the soak's callers send, so that the quota is reached.
"""
EXCESS, SLACK, WINDOW_S = 0.1, 20.0, 5.0
MAX_RUNS_IN_WINDOW = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK


def organisation_of(request_id: str) -> str:
    """Return the organisation of a call, job or item; it depends on the id alone.

    An item belongs to the organisation of its job.
    """
    return NAMES[crc32(request_id.partition(".")[0].encode()) % len(NAMES)]


def make_settings() -> dict[str, object]:
    """Return the gateway settings that say how far a quota may be exceeded."""
    return {"quota_excess": EXCESS, "quota_slack": SLACK, "quota_window_s": WINDOW_S}


@dataclass
class Organisations:
    """Checks the organisation headers and the quota on the requests that reach targets.

    :ivar violations: a message for each violated guarantee.
    :ivar seen_ids: ids of the calls of ``limited`` that were counted; a retry is not counted again.
    :ivar run_times: first arrivals at a target of the calls of ``limited`` in the last
        :data:`WINDOW_S` seconds.
    :ivar max_runs: largest number of calls of ``limited`` in any window.
    """

    violations: list[str] = field(default_factory=list)
    seen_ids: set[str] = field(default_factory=set)
    run_times: deque[float] = field(default_factory=deque)
    max_runs: int = 0

    def list_rows(self, version: int) -> list[dict[str, object]]:
        """Return the organisations as rows of the configuration.

        Each has one key that all versions share and one that changes with *version*.
        """
        rows: list[dict[str, object]] = [
            {"name": name, "api_keys": [f"{name}-key", f"{name}-key-{version}"]} for name in NAMES
        ]
        rows[1] |= {"rate_per_s": RATE, "burst_size": BURST}
        return rows

    def add_key(self, request_id: str, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return a call's headers with its caller's key and a forged organisation name.

        Gateways must ignore the name and derive it from the key.
        """
        key = f"{organisation_of(request_id)}-key"
        return [*headers, ("x-credential", key), ("x-tenant", "someone")]

    def observe(self, target: TargetStandin) -> None:
        """Check each request that *target* receives."""

        def check(_path: str, _body: bytes) -> None:
            self._check_headers(target.seen[-1].raw_headers)

        target.on_request = check

    def _check_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        request_id = dict(headers).get(b"x-attempt-id", b"").decode()
        name = organisation_of(request_id)
        named = [value.decode() for key, value in headers if key == b"x-tenant"]
        if named != [name]:
            self.violations.append(f"{request_id}: forwarded as {named}, but belongs to {name}")
        if any(b"-key" in value for _, value in headers):
            self.violations.append(f"{request_id}: a key reached a target")
        # Batch items do not count against a quota.
        if name == "limited" and "." not in request_id and request_id not in self.seen_ids:
            self._count_run(request_id)

    def _count_run(self, request_id: str) -> None:
        now = monotonic()
        self.seen_ids.add(request_id)
        self.run_times.append(now)
        while self.run_times[0] < now - WINDOW_S:
            self.run_times.popleft()
        self.max_runs = max(self.max_runs, len(self.run_times))
        if len(self.run_times) > MAX_RUNS_IN_WINDOW:
            self.violations.append(f"{request_id}: {len(self.run_times)} calls in {WINDOW_S:g} s")
