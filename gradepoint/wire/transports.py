"""Sizes of the buffers of connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def set_read_size(transport: asyncio.BaseTransport, size: int) -> None:
    """Set how many bytes a transport takes from its socket at once, if it can be told."""
    if hasattr(transport, "max_size"):
        transport.max_size = size
