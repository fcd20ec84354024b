"""The page on load of a running gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from gradepoint.gateway.load_page import LoadPage
from gradepoint.wire.http_types import Request
from tests.support.platform import Deployment, run_in_virtual_time, until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


async def read_nothing() -> AsyncIterator[bytes]:
    """Read an empty body."""
    return
    yield b""


def test_page_lists_the_targets_of_a_running_gateway() -> None:
    # The page was built on fakes alone; a gateway that wires it wrongly would fail only in use.
    async def work(deployment: Deployment) -> None:
        await deployment.start(gateways=1, targets=2)
        gateway = deployment.gateways[0]
        await until(lambda: len(gateway.targets.by_id) == 2)
        await deployment.call("/plain/x")
        answer = await gateway.answer_metrics(Request("GET", "/load", {}, read_nothing, 0))
        page = msgspec.json.decode(answer.body, type=LoadPage)
        assert [(row.pace, row.expected_delay_s) for row in page.targets] == [(1.0, 0.0)] * 2
        assert [row.occupancy for row in page.services] == [0.0]
        assert not page.in_shortage

    run_in_virtual_time(work)
