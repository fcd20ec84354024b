"""Addresses as hosts tell them: ``IP:PORT``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
