"""Memory of this process."""

from __future__ import annotations

import re
import resource

STATUS_FILE = "/proc/self/status"
PEAK_LINE = re.compile(rb"^VmHWM:\s*(\d+) kB$", re.MULTILINE)
KIBIBYTE = 1024


def read_peak_memory_bytes() -> int:
    """Return the most resident memory that this process has had so far, in bytes.

    Where the system has no status file, it is the usage that is reported for the process, which
    includes that of the program that started it.
    """
    try:
        with open(STATUS_FILE, "rb") as file:
            found = PEAK_LINE.search(file.read())
    except OSError:
        found = None
    if found is not None:
        return int(found[1]) * KIBIBYTE
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE
