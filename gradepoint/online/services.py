"""Calls to plain services below ``/services/NAME/``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import GradepointError, TargetFailure
from ..routing.choice import Circuit
from ..routing.retries import CallProgress, RetryBudget
from ..util.chance import new_rng
from ..util.clock import monotonic
from ..wire.target_client import HEADER_NOT_RUN, TargetAnswer, TargetClient
from .attempts import pause_or_give_up

if TYPE_CHECKING:
    import random

    from ..config.document import Service

HOP_HEADERS = frozenset(
    {
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "authorization",
        "keep-alive",
        "te",
        "upgrade",
        "expect",
    }
)


class ServiceCaller:
    """Sends calls to the addresses of plain services."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.client = TargetClient()
        self.budget = RetryBudget()
        self.circuits: dict[str, Circuit] = {}
        self.rng = rng or new_rng()

    async def call(
        self,
        service: Service,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        progress: CallProgress,
    ) -> TargetAnswer:
        """Return the service's answer, whatever its status.

        :param target: path and query below the service.
        :raises GradepointError: no full answer; its outcome follows the outcome rule.
        """
        passed = {name: value for name, value in headers.items() if name not in HOP_HEADERS}
        self.budget.first_try()
        tried: set[str] = set()
        while True:
            url = self._choose(service, tried)
            tried.add(url)
            progress.tries += 1
            circuit = self.circuits.setdefault(url, Circuit())
            circuit.begin(monotonic())
            try:
                answer = await self._try(url + target, method, passed, body, service, progress)
            except TargetFailure as failure:
                circuit.failed(monotonic())
                await pause_or_give_up(progress, failure, self.budget, self.rng)
                continue
            finally:
                circuit.end()
            circuit.succeeded()
            return answer

    def _choose(self, service: Service, tried: set[str]) -> str:
        now = monotonic()
        able = [url for url in service.urls if self.circuits.setdefault(url, Circuit()).admits(now)]
        fresh = [url for url in able if url not in tried]
        if not able:
            raise GradepointError("target_unreachable", f"Service {service.name!r} is down.")
        return self.rng.choice(fresh or able)

    async def _try(
        self,
        url: str,
        method: str,
        headers: dict[str, str],
        body: bytes,
        service: Service,
        progress: CallProgress,
    ) -> TargetAnswer:
        time_left = max(0.001, min(service.timeout_s, progress.deadline - monotonic()))
        try:
            async with asyncio.timeout(time_left):
                answer = await self.client.call(
                    method, url, body, headers, time_left, fresh=not progress.repeatable
                )
        except TimeoutError as error:
            raise TargetFailure("deadline_exceeded", "no answer in time", not_run=False) from error
        if answer.headers.get(HEADER_NOT_RUN) == "true":
            raise TargetFailure("target_refused", f"answered {answer.status}", not_run=True)
        return answer
