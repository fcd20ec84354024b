"""Tests of the incremental decoding of server-sent events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from hypothesis import given
from hypothesis import strategies as st

from gradepoint.wire import sse


@given(
    st.lists(st.integers(1, 9), max_size=12),
    st.integers(0, 6),
    st.sampled_from([b"\n", b"\r\n"]),
)
def test_events_decoded_whatever_the_line_end_and_the_pieces(
    sizes: list[int], events: int, newline: bytes
) -> None:
    """A line end of two bytes may be split between two pieces."""
    body = b"".join(b"data: %d\ndata: more\n\n" % number for number in range(events))
    body = body.replace(b"\n", newline)

    async def pieces() -> AsyncIterator[bytes]:
        start = 0
        for size in [*sizes, len(body)]:
            yield body[start : start + size]
            start += size

    async def collect() -> list[bytes]:
        return [payload async for payload in sse.decode(pieces())]

    assert asyncio.run(collect()) == [b"%d\nmore" % number for number in range(events)]
