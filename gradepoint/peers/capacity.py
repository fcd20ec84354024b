"""Capacity classes of hosts: which hosts take on work for the whole fleet, without I/O."""

from __future__ import annotations

from ..ids import CapacityClass

UNKNOWN_CLASS = CapacityClass(0)
"""Class of a host whose link or memory is not known: the smallest."""
LINK_STEP_MBPS = 10.0
"""Link of the first class in Mbit/s. Each further class has twice as much, so that the classes, and
with them the choice of hosts, rarely change when limits are adjusted."""
MEMORY_STEP_MB = 100.0
"""Memory of the first class in MB, doubled in the same way."""
MAX_CLASS = 4
"""Highest class: a link of 80 Mbit/s and 800 MB, many times what aggregation takes at 400 hosts."""


def classify_capacity(link_mbps: float, memory_mb: float) -> CapacityClass:
    """Return the class that both limits allow; 0 stands for an unknown limit.

    :param link_mbps: rate of the host's link in Mbit/s.
    :param memory_mb: memory that its process may use in MB.
    """
    link = int(link_mbps / LINK_STEP_MBPS).bit_length()
    memory = int(memory_mb / MEMORY_STEP_MB).bit_length()
    return CapacityClass(min(link, memory, MAX_CLASS))
