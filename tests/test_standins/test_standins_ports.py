"""Ports that stay free until they are listened on."""

from __future__ import annotations

from pathlib import Path

from gradepoint.standins.ports import free_port
from tests.support.platform import make_data_settings, make_settings

OUTGOING_FROM = 32768
"""First port that Linux gives outgoing connections."""


def test_ports_of_programs_are_no_ports_of_outgoing_connections() -> None:
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == 200
    assert max(ports) < OUTGOING_FROM


def test_ports_of_a_deployment_are_no_ports_of_outgoing_connections() -> None:
    gateway = make_settings("gateway-0", "127.0.0.1:1")
    data_host = make_data_settings("data-0", "127.0.0.1:1", Path("data"))
    listened = (gateway.callers_address, gateway.ready_address)
    ports = [int(address.rpartition(":")[2]) for address in listened]
    ports += [gateway.peer_port, gateway.metrics_port, data_host.peer_port, data_host.metrics_port]
    assert max(ports) < OUTGOING_FROM
