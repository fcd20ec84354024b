"""Deployments in virtual time must not depend on the ports of the real host.

If programs take real ports, starting at a position given by the process id, they collide with the
ports from 20000 on that the in-memory network assigns to connections regardless of listeners.
About one run of the whole suite in six then fails with "address in use", each time in other tests.
"""

from __future__ import annotations

import itertools
import socket

import pytest

from gradepoint.standins import ports
from tests.support.platform import Deployment, run_in_virtual_time


async def serve_a_call(deployment: Deployment) -> None:
    """Start several hosts and send a call to one of them."""
    await deployment.start(gateways=3, targets=2)
    assert (await deployment.call("/plain/1")).status == 200


@pytest.mark.parametrize("first", [9_960, 9_990, 10_000, 10_010])
def test_deployment_works_whatever_the_next_real_port_is(
    first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ports, "_next_port", itertools.count(first))
    run_in_virtual_time(serve_a_call)


def test_deployment_in_virtual_time_opens_no_real_port(monkeypatch: pytest.MonkeyPatch) -> None:
    class NoSocket(socket.socket):
        def bind(self, address: object) -> None:
            raise AssertionError(f"a real port: {address}")

        def connect(self, address: object) -> None:
            raise AssertionError(f"a real connection: {address}")

    async def work(deployment: Deployment) -> None:
        # The event loop opens a socket pair for itself, before this replacement.
        monkeypatch.setattr(socket, "socket", NoSocket)
        await serve_a_call(deployment)

    run_in_virtual_time(work)
