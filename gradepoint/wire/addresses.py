"""Network addresses in the form ``IP:PORT``."""

from __future__ import annotations

import socket

from ..util.numbers import read_whole_number

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the IP address and the port number.

    :raises ValueError: the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def is_ip(text: str) -> bool:
    """Whether *text* is an IP address; names are not looked up."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
            return True
        except (OSError, ValueError):
            continue
    return False


def is_port(number: int | None) -> bool:
    """Whether *number* is a port number; 0 lets the system choose one."""
    return number is not None and 0 <= number <= MAX_PORT


def is_address(text: str) -> bool:
    """Whether *text* has the form ``IP:PORT``."""
    ip, _, port = text.rpartition(":")
    return is_ip(ip) and is_port(read_whole_number(port))


def are_ports(text: str) -> bool:
    """Whether *text* has the form ``FIRST,LAST`` or is one port."""
    return all(is_port(read_whole_number(port.strip())) for port in text.split(","))
