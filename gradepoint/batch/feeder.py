"""The feeder of one target: its window and the items that run there."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ..errors import TargetFailure
from ..routing.choice import Circuit
from ..routing.slack import LoadReport, SlackWindow

if TYPE_CHECKING:
    import asyncio

    from ..wire.target_client import TargetClient
    from .open_chunk import OpenChunk

LOAD_TIMEOUT_S = 1.0


@dataclass(eq=False)
class RunningItem:
    """One item at the target."""

    task: asyncio.Task[None]
    chunk: OpenChunk
    cancellable: bool


@dataclass
class Feeder:
    """Batch work at one target.

    :param served: engine names that the target should have loaded.
    :param exclusive: whether a suspected item runs, alone.
    """

    name: str
    url: str
    window: SlackWindow
    slots: int = 1
    served: set[str] = field(default_factory=set)
    circuit: Circuit = field(default_factory=Circuit)
    running: list[RunningItem] = field(default_factory=list)
    exclusive: bool = False

    def add(self, task: asyncio.Task[None], chunk: OpenChunk, *, cancellable: bool) -> None:
        """Note a started item."""
        item = RunningItem(task, chunk, cancellable)
        self.running.append(item)
        task.add_done_callback(lambda _: self.running.remove(item))

    def cancel_newest(self, count: int) -> None:
        """Cancel the newest items that may be run again."""
        able = [item for item in self.running if item.cancellable and not item.task.done()]
        for item in able[-count:]:
            item.task.cancel()

    def cancel_all(self) -> None:
        """Cancel every item that may be run again."""
        self.cancel_newest(len(self.running))

    def cancel_chunk(self, chunk: OpenChunk) -> None:
        """Cancel the items of a chunk that this host no longer works on."""
        for item in self.running:
            if item.chunk is chunk:
                item.task.cancel()


async def read_load(client: TargetClient, base_url: str) -> LoadReport | None:
    """Return a target's load report, or None if it does not answer."""
    try:
        answer = await client.call("GET", f"{base_url}/load", b"", {}, LOAD_TIMEOUT_S)
        raw = msgspec.json.decode(answer.body)
    except (TargetFailure, msgspec.DecodeError):
        return None
    if not isinstance(raw, dict):
        return None
    return LoadReport(
        int(raw.get("online_running", 0)),
        int(raw.get("online_waiting", 0)),
        int(raw.get("running", 0)),
        int(raw.get("waiting", 0)),
        raw.get("kv_used", 0) / max(1, raw.get("kv_tokens", 1)),
    )
