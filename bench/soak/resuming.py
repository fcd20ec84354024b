"""Callers of a soak who resume the streams that break, as a rule at another host."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass

from gradepoint.wire.http_client import ConnectFailed, HttpClient, ResponseBroken

from .ledger import Ledger

UNNAMED_SHARE = 0.3
"""Share of streams whose caller does not name the call that began them."""
LEAVE_SHARE = 0.3
"""Share of streams whose caller loses its connection after some events."""
MAX_TRIES = 4
"""Calls of one caller for one stream, the first one included."""
TIMEOUT_S = 4.0


@dataclass
class ResumingCaller:
    """Sends calls whose streams may be resumed, and resumes those that break.

    :param choose_gateway: returns the address of a gateway.
    :param host: host name of the route.
    """

    ledger: Ledger
    choose_gateway: Callable[[random.Random], tuple[str, int]]
    host: str
    seed: int

    async def call_forever(self, number: int) -> None:
        """Send one call after another until cancelled; the connections of a caller stay open.

        :param number: distinguishes callers of the same run.
        """
        rng = random.Random(f"{self.seed} resuming {number}")
        calls = 0
        with closing(HttpClient()) as http:
            while True:
                calls += 1
                await self._call(http, rng, f"r{self.seed}-{number}-{calls}")
                await asyncio.sleep(rng.random() * 0.02)

    async def _call(self, http: HttpClient, rng: random.Random, name: str) -> None:
        """Get one stream, with several tries."""
        begun: tuple[str, bytes] | None = None
        events = 0
        named = rng.random() >= UNNAMED_SHARE
        for attempt in range(MAX_TRIES):
            request_id = f"{name}-{attempt}"
            headers = [("host", self.host), ("x-attempt-id", request_id)]
            if begun is not None:
                headers.append(("last-event-id", str(events - 1)))
                headers += [("resumes", begun[0])] if named else []
            status, body, cut = await self._try(http, rng, f"/resume/{name}", headers)
            if begun is None:
                self.ledger.record_call("resume", request_id, status, body, cut)
            else:
                self.ledger.outcomes[f"taken up {'cut' if cut else status}"] += 1
                if status == 200:
                    self.ledger.record_resumption(begun, request_id, events, body, cut)
            if not cut and status == 200:
                return
            brought = body.count(b"\n\n") if status == 200 else 0
            if begun is None and brought:
                begun = request_id, body
            events += brought
            await asyncio.sleep(rng.random() * 0.1)

    async def _try(
        self, http: HttpClient, rng: random.Random, path: str, headers: list[tuple[str, str]]
    ) -> tuple[int, bytes, bool]:
        """Send one call; return its status and body, and whether the body broke off."""
        status, pieces, cut = 0, [], True
        leave_after = rng.randint(1, 6) if rng.random() < LEAVE_SHARE else None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await http.send(
                    self.choose_gateway(rng),
                    "POST",
                    path,
                    b"prompt",
                    [*headers, ("x-time-left-ms", "3000")],
                    timeout_s=TIMEOUT_S,
                )
                status = response.status
                async for piece in response.stream():
                    pieces.append(piece)
                    if len(pieces) == leave_after:
                        response.close()
                        break
                else:
                    cut = False
        except (ConnectFailed, ResponseBroken, TimeoutError):
            pass
        return status, b"".join(pieces), cut
