"""Ports of a deployment in virtual time.

Programs took theirs from the real host, from a place given by the process's number, and the network
in memory gave its connections ports from 20000 on without a look at what listens. About one run of
the whole suite in six failed with "address in use", at other tests each time.
"""

from __future__ import annotations

import itertools
import socket

import pytest

from gradepoint.standins import ports
from tests.support.platform import Deployment, run_in_virtual_time


async def serve_a_call(deployment: Deployment) -> None:
    """Start several hosts and have one serve a call."""
    await deployment.start(gateways=3, targets=2)
    assert (await deployment.call("/plain/1")).status == 200


@pytest.mark.parametrize("first", [9_960, 9_990, 10_000, 10_010])
def test_ports_do_not_depend_on_where_those_of_the_real_host_begin(
    first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ports, "_next_port", itertools.count(first))
    run_in_virtual_time(serve_a_call)


def test_a_deployment_in_virtual_time_opens_no_real_port(monkeypatch: pytest.MonkeyPatch) -> None:
    class NoSocket(socket.socket):
        def bind(self, address: object) -> None:
            raise AssertionError(f"a real port: {address}")

        def connect(self, address: object) -> None:
            raise AssertionError(f"a real connection: {address}")

    async def work(deployment: Deployment) -> None:
        # The loop itself has a pair of sockets, which it opens before.
        monkeypatch.setattr(socket, "socket", NoSocket)
        await serve_a_call(deployment)

    run_in_virtual_time(work)
