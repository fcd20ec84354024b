"""A fake target client for online calls, with every possible outcome of an attempt."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradepoint.config.document import Document, Model, ModelVersion, Organisation, Target
from gradepoint.config.versions import ConfigInForce, ConfigRecord
from gradepoint.errors import TargetFailure
from gradepoint.wire.target_client import TargetAnswer, TargetStream

TOKENS = 6


@dataclass
class FakeTargets:
    """Implements the target client; a seeded generator chooses the outcome of each attempt.

    :param failure_rate: base probability of failures: each call uses it, or a half or a quarter
        of it, at the points where it can fail.
    :ivar ran: how often each prompt was run.
    :ivar streams: the prompt of each stream by its id, and the tokens it skipped at its start.
    """

    rng: random.Random
    failure_rate: float = 0.3
    ran: Counter[str] = field(default_factory=Counter)
    streams: dict[str, tuple[str, int]] = field(default_factory=dict)

    def _maybe_fail_before_run(self) -> None:
        """Fail as unreachable or as refused, both of which guarantee that the call did not run."""
        if self.rng.random() < self.failure_rate:
            code = self.rng.choice(["target_unreachable", "target_refused"])
            raise TargetFailure(code, "not run", not_run=True)

    def _run_or_lose(self, prompt: str) -> None:
        """Run a call, or lose the connection before or after it ran."""
        if self.rng.random() < self.failure_rate / 2:
            raise TargetFailure("target_lost", "lost before it ran", not_run=False)
        self.ran[prompt] += 1
        if self.rng.random() < self.failure_rate / 2:
            raise TargetFailure("target_lost", "lost after it ran", not_run=False)

    async def complete(self, url: str, body: bytes, *rest: Any, **options: Any) -> TargetAnswer:
        """Run a call that is not streamed."""
        await asyncio.sleep(0.01)
        prompt = msgspec.json.decode(body)["prompt"]
        self._maybe_fail_before_run()
        self._run_or_lose(prompt)
        return TargetAnswer(200, {}, expected_answer(prompt).encode())

    async def open_stream(self, url: str, body: bytes, *rest: Any, **options: Any) -> TargetStream:
        """Start a stream."""
        await asyncio.sleep(0.01)
        sent = msgspec.json.decode(body)
        self._maybe_fail_before_run()
        self._run_or_lose(sent["prompt"])
        skip = len(sent.get("continue_text", "").split())
        name = f"s{len(self.streams)}"
        self.streams[name] = (sent["prompt"], skip)
        return FakeTokenStream(self, name, sent["prompt"], skip)

    async def resume_stream(
        self, base_url: str, stream_id: str, offset: int, **options: Any
    ) -> TargetStream:
        """Resume a stream from a token offset."""
        await asyncio.sleep(0.01)
        if self.rng.random() < self.failure_rate:
            # As the real client reports a failed connection: the resume request did not run,
            # although the call of the stream did.
            unreachable = self.rng.random() < 0.5
            code = "target_unreachable" if unreachable else "target_lost"
            raise TargetFailure(code, "no such stream", not_run=unreachable)
        return FakeTokenStream(self, stream_id, self.streams[stream_id][0], offset)

    async def cancel_stream(self, base_url: str, stream_id: str) -> None:
        """Nothing to cancel."""


class FakeTokenStream(TargetStream):
    """A stream that may break before each token."""

    def __init__(self, targets: FakeTargets, name: str, prompt: str, skip: int) -> None:
        super().__init__(name, _FakeResponse())  # type: ignore[arg-type]
        self.targets = targets
        self.prompt = prompt
        self.skip = skip

    async def payloads(self) -> Any:
        """Yield the tokens from the offset on, as completion chunks."""
        words = expected_answer(self.prompt).split(" ")
        for word in words[self.skip :]:
            await asyncio.sleep(0.01)
            if self.targets.rng.random() < self.targets.failure_rate / 4:
                raise TargetFailure("target_lost", "cut", not_run=False)
            yield msgspec.json.encode({"choices": [{"text": word + " "}]})


class _FakeResponse:
    def close(self) -> None:
        """Nothing to close."""


def expected_answer(prompt: str) -> str:
    """Return the complete answer to a prompt."""
    return " ".join(f"{prompt}-{number}" for number in range(TOKENS))


def make_config() -> ConfigInForce:
    """Return a configuration with three targets of one model."""
    targets = [Target(f"t{n}", f"http://t{n}", f"d{n}", ["m"], slots=4) for n in range(3)]
    document = Document(
        1,
        "calls",
        [Model("m", [ModelVersion("v1", "w")], "v1")],
        targets,
        [Organisation("org", [])],
    )
    config = ConfigInForce()
    config.take(ConfigRecord(1, document, "w", "op", 0))
    return config
