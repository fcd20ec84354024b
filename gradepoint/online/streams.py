"""Streamed answers whose clean-up runs exactly once, also if the caller disconnects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

    from ..wire.target_client import TargetAnswer
    from .claims import HeldClaim
    from .execute import CallContext


@dataclass
class StreamedCall:
    """A streamed call after its first payload.

    :param held: claim of its idempotency key; None without a key, or once the complete
        answer is stored under the claim.
    :param on_end: called once when the stream ends, however it ends.
    :param trailers: HTTP trailers, set at the end of the stream.
    """

    call: CallContext
    payloads: AsyncGenerator[bytes | TargetAnswer, None]
    held: HeldClaim | None
    on_end: Callable[[StreamedCall], Awaitable[None]]
    trailers: dict[str, str] = field(default_factory=dict)
    ended: bool = False

    async def end(self) -> None:
        """Close the target's stream and call *on_end*; further calls do nothing."""
        if self.ended:
            return
        self.ended = True
        await self.payloads.aclose()
        await self.on_end(self)


class ClosingStream:
    """An async iterator that runs *close* even if no item was ever requested.

    An async generator that has not started skips its ``finally`` block when it is closed.
    """

    def __init__(
        self, payloads: AsyncGenerator[bytes, None], close: Callable[[], Awaitable[None]]
    ) -> None:
        self.payloads = payloads
        self.close = close

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self.payloads)

    async def aclose(self) -> None:
        """Close the payloads, then call *close*."""
        try:
            await self.payloads.aclose()
        finally:
            await self.close()
