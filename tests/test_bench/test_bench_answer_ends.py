"""The count of what is known of answers without a length after they have ended."""

from __future__ import annotations

import pytest

from bench.answer_ends import (
    DELAYS_S,
    EVENTS,
    EVENTS_BEFORE_END,
    ConnectionEnd,
    Count,
    Ending,
    EndingTarget,
    StreamEnd,
    observe_end,
    read_stream,
)
from bench.platform.target import TargetStandin
from tests.support.virtual_network import run_on_network

LOOPBACK = "127.0.0.1"


@pytest.mark.parametrize(
    ("ending", "events"), [(Ending.SOUND, EVENTS), (Ending.BROKEN_OFF, EVENTS_BEFORE_END)]
)
def test_cut_answer_is_counted_although_its_target_runs_on(ending: Ending, events: int) -> None:
    async def main() -> None:
        target = EndingTarget("t", events=EVENTS, unframed_share=1.0)
        target.ending = ending
        other = TargetStandin("other", events=EVENTS, unframed_share=1.0)
        address = await target.start()
        await other.start()
        seen = await read_stream((LOOPBACK, target.server.port), "id")
        assert seen == StreamEnd(ConnectionEnd.ORDERLY, events, inside_event=False)
        count = Count()
        rest = (LOOPBACK, other.server.port)
        for delay_s in DELAYS_S:
            signs = await observe_end(address, rest, "id", seen.events)
            count.add(delay_s, signs, "t", entry_updated=False)
        is_cut = ending is Ending.BROKEN_OFF
        for delay_s in DELAYS_S:
            assert count.signs[delay_s, "port open"] == 1
            assert count.signs[delay_s, "same incarnation answers"] == 1
            assert count.signs[delay_s, "another target has more"] == is_cut
        target.server.abort()
        other.server.abort()

    run_on_network(main(), seed=1)
