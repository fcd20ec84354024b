"""Calls to configured HTTP services under ``/services/NAME/``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import GradepointError, TargetFailure
from ..routing.choice import Circuit
from ..routing.retries import CallProgress, RetryBudget
from ..util.clock import monotonic
from ..util.rng import new_rng
from ..wire.target_client import HEADER_NOT_RUN, TargetAnswer, TargetClient
from .attempts import back_off_or_raise

if TYPE_CHECKING:
    import random

    from ..config.document import Service

NOT_FORWARDED_HEADERS = frozenset(
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
    """Sends calls to the URLs of HTTP services, with retries.

    :ivar circuits: circuit breaker of each URL.
    """

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
        """Call a service and return its answer, whatever its status.

        :param target: path and query relative to the URL of the service.
        :raises GradepointError: there is no complete answer. The outcome is "not run" only
            if no attempt can have reached the service, otherwise "unknown".
        """
        forwarded_headers = {
            name: value for name, value in headers.items() if name not in NOT_FORWARDED_HEADERS
        }
        self.budget.first_try()
        tried: set[str] = set()
        while True:
            url = self._choose_url(service, tried)
            tried.add(url)
            progress.tries += 1
            circuit = self.circuits.setdefault(url, Circuit())
            circuit.begin(monotonic())
            try:
                answer = await self._attempt(
                    url + target, method, forwarded_headers, body, service, progress
                )
            except TargetFailure as failure:
                circuit.failed(monotonic())
                await back_off_or_raise(progress, failure, self.budget, self.rng)
                continue
            finally:
                circuit.end()
            circuit.succeeded()
            return answer

    def _choose_url(self, service: Service, tried: set[str]) -> str:
        now = monotonic()
        available = [
            url for url in service.urls if self.circuits.setdefault(url, Circuit()).admits(now)
        ]
        untried = [url for url in available if url not in tried]
        if not available:
            raise GradepointError("target_unreachable", f"Service {service.name!r} is down.")
        return self.rng.choice(untried or available)

    async def _attempt(
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
