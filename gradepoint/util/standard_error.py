"""Lines on the standard error, for what cannot be logged."""

from __future__ import annotations

import sys


def print_error(line: str) -> None:
    """Write a line to the standard error, which may be closed or full."""
    try:
        print(line, file=sys.stderr, flush=True)
    except (OSError, ValueError):
        pass
