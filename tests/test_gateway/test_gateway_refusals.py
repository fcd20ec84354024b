"""Tests that calls without a target are rejected at once with a Retry-After."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from gradepoint.errors import GradepointError
from gradepoint.gateway.dialect import CallHead
from gradepoint.gateway.forwarding import MAX_EXPECTED_WAIT_S, Forwarder
from gradepoint.gateway.live import RETRY_AFTER_S, LiveCall, create_call
from gradepoint.gateway.suspicion import Suspicion
from gradepoint.gateway.target_crashes import CrashDetector
from gradepoint.gateway.targets import TargetSet
from gradepoint.ids import RequestId
from gradepoint.platform.configuration import decode_configuration
from gradepoint.platform.headers import PlatformDialect
from gradepoint.standins.virtual_time import run_virtual
from gradepoint.util.clock import monotonic
from gradepoint.wire.http_client import HttpClient
from gradepoint.wire.http_types import Request
from gradepoint.wire.ports import probe_port
from tests.support.platform import HOST, configuration, route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


async def read_empty_body() -> AsyncIterator[bytes]:
    """Yield the chunks of an empty body."""
    for piece in ():
        yield piece


def make_call(forwarder: Forwarder) -> LiveCall:
    """Return a new call."""
    found = decode_configuration(configuration(1, [route("r", "streaming")]))
    head = CallHead(RequestId("1"), HOST, None, None, [])
    request = Request("POST", "/r/1", {}, read_empty_body, 0)
    return create_call(forwarder, found.routes[0], head, request, b"")


def test_no_target_rejected_at_once_with_retry_after() -> None:
    targets = TargetSet(1.0)
    crash_detector = CrashDetector(targets, lambda address: probe_port(address, 0.1))
    forwarder = Forwarder(
        targets,
        PlatformDialect(),
        HttpClient(),
        "a",
        lambda _: 0,
        crash_detector,
        Suspicion(targets, lambda _: 0, random.Random(1)),
        random.Random(1),
    )

    async def refuse() -> float:
        arrived_at = monotonic()
        with pytest.raises(GradepointError) as refused:
            await make_call(forwarder).answer()
        assert refused.value.code == "no_target"
        assert monotonic() == arrived_at
        assert refused.value.retry_after is not None
        return refused.value.retry_after

    async def work() -> None:
        # Retry-After is about as long as the service has had no target, within bounds.
        assert await refuse() == RETRY_AFTER_S
        await asyncio.sleep(0.5)
        assert await refuse() == pytest.approx(0.5)
        await asyncio.sleep(60.0)
        assert await refuse() == MAX_EXPECTED_WAIT_S

    run_virtual(work())
