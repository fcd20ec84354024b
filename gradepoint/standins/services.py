"""Stand-ins for the platform's host list, the weight store and a plain HTTP service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..util import decoding
from ..util.clock import monotonic
from ..wire.http_server import HttpServer
from ..wire.http_types import Response, json_response

if TYPE_CHECKING:
    from ..wire.http_types import Request


class HostListStandin:
    """The platform's host list; changes become visible after *lag_s* seconds."""

    def __init__(self, lag_s: float = 3.0) -> None:
        self.lag_s = lag_s
        self.history: list[tuple[float, dict[str, str]]] = [(float("-inf"), {})]
        self.server = HttpServer(self.handle)

    def set(self, hosts: dict[str, str]) -> None:
        """Set the current list of hosts and their states."""
        self.history.append((monotonic(), dict(hosts)))

    async def handle(self, request: Request) -> Response:
        """Answer ``GET /hosts``; ``PUT /_hosts`` sets the list."""
        if request.path == "/_hosts":
            self.set(await request.read_json())
            return json_response({})
        shown_until = monotonic() - self.lag_s
        shown = [hosts for at, hosts in self.history if at <= shown_until][-1]
        rows = [{"name": name, "state": state} for name, state in sorted(shown.items())]
        return json_response({"hosts": rows})


class WeightStoreStandin:
    """A weight store that refuses loads above its rate limit."""

    def __init__(self, loads_per_minute: float = 6.0) -> None:
        self.interval_s = 60.0 / loads_per_minute
        self.next_at = 0.0
        self.loads: list[str] = []
        self.refused = 0
        self.server = HttpServer(self.handle)

    async def handle(self, request: Request) -> Response:
        """Answer ``GET /weights/NAME``."""
        now = monotonic()
        if now < self.next_at:
            self.refused += 1
            return json_response({"error": "rate limited"}, 429)
        self.next_at = now + self.interval_s
        self.loads.append(request.path)
        return json_response({"weights": request.path})


class ServiceStandin:
    """A plain HTTP service that counts how often each call ran (``GET /_ledger``).

    ``POST /redeem`` must not be repeated; ``GET /balance`` may be. ``PUT /_faults`` takes
    ``lose_answers`` (number of calls to run and then close the connection without a response)
    and ``delay_s``.
    """

    def __init__(self) -> None:
        self.ran: dict[str, int] = {}
        self.lose_answers = 0
        self.delay_s = 0.0
        self.server = HttpServer(self.handle)

    async def handle(self, request: Request) -> Response:
        """Run and count one call."""
        body = await request.read_body()
        if request.path == "/_faults":
            faults = decoding.decode_json(body)
            self.lose_answers = faults.get("lose_answers", 0)
            self.delay_s = faults.get("delay_s", 0.0)
            return json_response({})
        if request.path == "/_ledger":
            return json_response(self.ran)
        name = f"{request.method} {request.target} {body.decode(errors='replace')}"
        self.ran[name] = self.ran.get(name, 0) + 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise ConnectionResetError("response dropped by fault injection")
        return json_response({"ran": name, "count": self.ran[name]})
