"""Free ports for programs that tests and demos start on this host."""

from __future__ import annotations

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10000
LAST_PORT = 31999
"""End of the port range, below the ephemeral ports of Linux (32768 and above).

An ephemeral port may be taken by an outgoing connection between being found free and being
listened on.
"""

_next_port = itertools.count(os.getpid() * 61)


def free_port(address: str = LOOPBACK) -> int:
    """Return a port that is free for TCP and UDP and was not returned before."""
    while True:
        port = FIRST_PORT + next(_next_port) % (LAST_PORT - FIRST_PORT)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return port
