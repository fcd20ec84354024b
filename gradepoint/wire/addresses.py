"""Network addresses in the form ``IP:PORT``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the IP address and the port number.

    :raises ValueError: the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)
