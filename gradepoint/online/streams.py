"""A streamed answer on its way to the caller, with an ending that is never left out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

    from ..wire.target_client import TargetAnswer
    from .claims import Held
    from .execute import CallContext


@dataclass
class StreamRun:
    """One streamed call after its first piece.

    :param held: its idempotency key, until the key is settled.
    :param ending: trailers, filled at the end.
    """

    call: CallContext
    pieces: AsyncGenerator[bytes | TargetAnswer, None]
    held: Held | None
    at_end: Callable[[StreamRun], Awaitable[None]]
    ending: dict[str, str] = field(default_factory=dict)
    ended: bool = False

    async def end(self) -> None:
        """Release what the call holds, once."""
        if self.ended:
            return
        self.ended = True
        await self.pieces.aclose()
        await self.at_end(self)


class ClosingStream:
    """An async iterator whose *close* runs even if it was never started.

    An async generator that was not started skips its ``finally`` when closed.
    """

    def __init__(
        self, pieces: AsyncGenerator[bytes, None], close: Callable[[], Awaitable[None]]
    ) -> None:
        self.pieces = pieces
        self.close = close

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self.pieces)

    async def aclose(self) -> None:
        """Close the pieces, then run the ending."""
        try:
            await self.pieces.aclose()
        finally:
            await self.close()
