"""Ports given to programs stay free until the program listens on them.

An ephemeral port may be taken by an outgoing connection before the program listens, which then
fails with "address in use".
"""

from __future__ import annotations

from pathlib import Path

from gradepoint.standins.ports import free_port
from tests.support.platform import make_data_settings, make_settings

FIRST_EPHEMERAL_PORT = 32768
"""First port that Linux assigns to outgoing connections."""


def test_free_ports_are_below_the_ephemeral_range() -> None:
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == 200
    assert max(ports) < FIRST_EPHEMERAL_PORT


def test_ports_of_a_deployment_are_below_the_ephemeral_range() -> None:
    gateway = make_settings("gateway-0", "127.0.0.1:1")
    data_host = make_data_settings("data-0", "127.0.0.1:1", Path("data"))
    listened = (gateway.callers_address, gateway.ready_address)
    ports = [int(address.rpartition(":")[2]) for address in listened]
    ports += [gateway.peer_port, gateway.metrics_port, data_host.peer_port, data_host.metrics_port]
    assert max(ports) < FIRST_EPHEMERAL_PORT
