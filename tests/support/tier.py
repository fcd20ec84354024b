"""A local tier for tests, and a client for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from gradepoint.cmd.local import wait_ready
from gradepoint.standins.engine_model import EngineParameters
from gradepoint.standins.tier import (
    LOCAL_CALLER_KEY,
    LOCAL_OPERATOR_KEY,
    HostPrograms,
    LocalTier,
    make_engines,
)
from gradepoint.wire import sse
from gradepoint.wire.http_client import HttpClient

QUICK = EngineParameters(step_s=0.004, sequence_s=0.0001)


@dataclass
class Answer:
    """A complete answer; the headers include the trailers."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Value of the outcome header; empty if there is none."""
        return self.headers.get("gradepoint-outcome", "")

    @property
    def json(self) -> Any:
        """The decoded body."""
        return msgspec.json.decode(self.body)


class Caller:
    """An HTTP client that authenticates with the local tier's keys."""

    def __init__(self) -> None:
        self.http = HttpClient()

    async def send(
        self, url: str, method: str = "GET", body: Any = None, key: str = "", **headers: str
    ) -> Answer:
        """Send one request; underscores in header names become hyphens."""
        fields = {"authorization": f"Bearer {key or LOCAL_CALLER_KEY}"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        raw = (
            body if isinstance(body, bytes) else b"" if body is None else msgspec.json.encode(body)
        )
        response = await self.http.request(method, url, raw, fields)
        data = await response.read()
        return Answer(response.status, response.headers | response.trailers, data)

    async def operate(self, host: HostPrograms, method: str, path: str, body: Any = None) -> Answer:
        """Send one request to the administration API of a host."""
        return await self.send(host.admin_url + path, method, body, LOCAL_OPERATOR_KEY)


def run_tier(
    folder: Path,
    work: Callable[[LocalTier, Caller], Awaitable[None]],
    *,
    hosts: int = 3,
    engines: int = 3,
    parameters: EngineParameters = QUICK,
    data_hosts: frozenset[int] = frozenset(),
    **settings: Any,
) -> None:
    """Run *work* against a tier with one host in each of *hosts* failure domains."""

    async def main() -> None:
        domains = [f"domain-{number}" for number in range(hosts)]
        tier = LocalTier(
            folder,
            domains,
            make_engines(engines, [], parameters),
            data_hosts=set(data_hosts),
            settings_overrides={
                "heartbeat_s": 0.2,
                "member_timeout_s": 1.0,
                "batch_poll_s": 0.1,
                **settings,
            },
        )
        await tier.start()
        await wait_ready(tier)
        caller = Caller()
        try:
            await work(tier, caller)
        finally:
            caller.http.close()
            await tier.stop()

    asyncio.run(main())


def stream_text(answer: Answer) -> str:
    """Return the text of a streamed completion."""
    text = ""
    for event in answer.body.split(b"\n\n"):
        payload = event.removeprefix(b"data: ")
        if payload and payload != sse.DONE:
            value = msgspec.json.decode(payload)
            text += "".join(choice.get("text", "") for choice in value.get("choices", []))
    return text


async def until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 30.0) -> None:
    """Wait until a condition holds; fail after *timeout_s* seconds."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.02)
