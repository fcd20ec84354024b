"""The feeder of one target: its batch window and the items that run there."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import msgspec

from ..errors import DecodingError, TargetFailure
from ..routing.batch_window import BatchWindow, LoadReport
from ..routing.choice import Circuit
from ..util import decoding

if TYPE_CHECKING:
    import asyncio

    from ..wire.target_client import TargetClient
    from .open_chunk import OpenChunk

MAX_AMOUNT = 1e15
"""Largest number in a load report; far above the tokens in the memory of any target."""
LOAD_TIMEOUT_S = 1.0


@dataclass(eq=False)
class RunningItem:
    """An item in flight at the target.

    :param cancellable: whether the item may run again, so that it may be cancelled.
    """

    task: asyncio.Task[None]
    chunk: OpenChunk
    cancellable: bool


@dataclass
class Feeder:
    """The batch work of this host at one target.

    :param window: limits the number of items in flight.
    :param models: engine names of the models that the target should have loaded.
    :param exclusive: whether an item that is suspected of crashing targets is running; no
        other item is started until it ends.
    """

    name: str
    url: str
    window: BatchWindow
    slots: int = 1
    models: set[str] = field(default_factory=set)
    circuit: Circuit = field(default_factory=Circuit)
    running: list[RunningItem] = field(default_factory=list)
    exclusive: bool = False

    def add(self, task: asyncio.Task[None], chunk: OpenChunk, *, cancellable: bool) -> None:
        """Add an item that was started; it is removed when its task ends."""
        item = RunningItem(task, chunk, cancellable)
        self.running.append(item)
        task.add_done_callback(lambda _: self.running.remove(item))

    def cancel_newest(self, count: int) -> None:
        """Cancel the *count* items that were started last, among those that may run again."""
        candidates = [item for item in self.running if item.cancellable and not item.task.done()]
        for item in candidates[-count:]:
            item.task.cancel()

    def cancel_all(self) -> None:
        """Cancel all items that may run again."""
        self.cancel_newest(len(self.running))

    def cancel_chunk(self, chunk: OpenChunk) -> None:
        """Cancel all items of a chunk that this host no longer works on."""
        for item in self.running:
            if item.chunk is chunk:
                item.task.cancel()


Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Load(msgspec.Struct):
    """What a target reports of its load; see :class:`LoadReport`."""

    online_running: Amount = 0.0
    online_waiting: Amount = 0.0
    running: Amount = 0.0
    waiting: Amount = 0.0
    kv_used: Amount = 0.0
    kv_tokens: Amount = 1.0


async def read_load(client: TargetClient, base_url: str) -> LoadReport | None:
    """Return the load report of a target, or None if there is no valid answer."""
    try:
        answer = await client.call("GET", f"{base_url}/load", b"", {}, LOAD_TIMEOUT_S)
        found = decoding.decode_json(answer.body, _Load, strict=False)
    except (TargetFailure, DecodingError):
        return None
    return LoadReport(
        int(found.online_running),
        int(found.online_waiting),
        int(found.running),
        int(found.waiting),
        found.kv_used / max(1, found.kv_tokens),
    )
