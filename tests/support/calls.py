"""A fake target port for online calls, with every way a try can end."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gradepoint.config.document import Document, Model, ModelVersion, Organisation, Target
from gradepoint.config.versions import ConfigRecord, InForce
from gradepoint.errors import TargetFailure
from gradepoint.wire.target_client import TargetAnswer, TargetStream

TOKENS = 6


@dataclass
class CallTargets:
    """Targets whose tries end as a seeded generator says.

    :param failure_rate: share of tries, opens and pieces that fail.
    """

    rng: random.Random
    failure_rate: float = 0.3
    ran: Counter[str] = field(default_factory=Counter)
    streams: dict[str, tuple[str, int]] = field(default_factory=dict)

    def _fail_before(self) -> None:
        """Fail without a byte sent, or with the target's word that it did not run."""
        if self.rng.random() < self.failure_rate:
            code = self.rng.choice(["target_unreachable", "target_refused"])
            raise TargetFailure(code, "not run", not_run=True)

    def _run(self, prompt: str) -> None:
        """Run a call, or lose it before or after it ran."""
        if self.rng.random() < self.failure_rate / 2:
            raise TargetFailure("target_lost", "lost before it ran", not_run=False)
        self.ran[prompt] += 1
        if self.rng.random() < self.failure_rate / 2:
            raise TargetFailure("target_lost", "lost after it ran", not_run=False)

    async def complete(self, url: str, body: bytes, *rest: Any, **more: Any) -> TargetAnswer:
        """Run a whole call."""
        await asyncio.sleep(0.01)
        prompt = msgspec.json.decode(body)["prompt"]
        self._fail_before()
        self._run(prompt)
        return TargetAnswer(200, {}, answer_text(prompt).encode())

    async def open_stream(self, url: str, body: bytes, *rest: Any, **more: Any) -> TargetStream:
        """Start a stream."""
        await asyncio.sleep(0.01)
        sent = msgspec.json.decode(body)
        self._fail_before()
        self._run(sent["prompt"])
        skip = len(sent.get("continue_text", "").split())
        name = f"s{len(self.streams)}"
        self.streams[name] = (sent["prompt"], skip)
        return PieceStream(self, name, sent["prompt"], skip)

    async def resume_stream(
        self, base_url: str, stream_id: str, offset: int, **more: Any
    ) -> TargetStream:
        """Go on with a stream, if the target still has it."""
        await asyncio.sleep(0.01)
        if self.rng.random() < self.failure_rate:
            # What the client says of a failed connection: this request did not run, but
            # the stream's call did.
            unreachable = self.rng.random() < 0.5
            code = "target_unreachable" if unreachable else "target_lost"
            raise TargetFailure(code, "no such stream", not_run=unreachable)
        return PieceStream(self, stream_id, self.streams[stream_id][0], offset)

    async def cancel_stream(self, base_url: str, stream_id: str) -> None:
        """Nothing to cancel."""


class PieceStream(TargetStream):
    """A stream that may break after each token."""

    def __init__(self, targets: CallTargets, name: str, prompt: str, skip: int) -> None:
        super().__init__(name, _Response())  # type: ignore[arg-type]
        self.targets = targets
        self.prompt = prompt
        self.skip = skip

    async def payloads(self) -> Any:
        """Yield tokens from the offset on."""
        words = answer_text(self.prompt).split(" ")
        for word in words[self.skip :]:
            await asyncio.sleep(0.01)
            if self.targets.rng.random() < self.targets.failure_rate / 4:
                raise TargetFailure("target_lost", "cut", not_run=False)
            yield msgspec.json.encode({"choices": [{"text": word + " "}]})


class _Response:
    def close(self) -> None:
        """Nothing to close."""


def answer_text(prompt: str) -> str:
    """Return the whole answer to a prompt."""
    return " ".join(f"{prompt}-{number}" for number in range(TOKENS))


def config_in_force() -> InForce:
    """Return a configuration with three targets of one model."""
    targets = [Target(f"t{n}", f"http://t{n}", f"d{n}", ["m"], slots=4) for n in range(3)]
    document = Document(
        1,
        "calls",
        [Model("m", [ModelVersion("v1", "w")], "v1")],
        targets,
        [Organisation("org", [])],
    )
    config = InForce()
    config.take(ConfigRecord(1, document, "w", "op", 0))
    return config
