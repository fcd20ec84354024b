"""Memory of this process."""

from __future__ import annotations

import resource

KIBIBYTE = 1024


def read_peak_memory_bytes() -> int:
    """Return the most resident memory that this process has had so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE
