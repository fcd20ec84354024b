"""Ports for programs that are started on this host."""

from __future__ import annotations

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10000
LAST_PORT = 31999
"""Ports below the range from which Linux takes those of outgoing connections (32768 on);
a port from that range may be taken between being found free and being listened on."""

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
