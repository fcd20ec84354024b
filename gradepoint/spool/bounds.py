"""Bounds of a data host, derived from the memory that its process may use.

The shares of all uses add up to the whole memory, so that it suffices while all bounds are reached
at once.
"""

from __future__ import annotations

from ..util.structs import Struct

MEGABYTE = 1_000_000
ASSUMED_MEMORY_MB = 150.0
"""Memory in MB that counts where the settings do not name it."""
PROGRAM_SHARE = 0.35
"""Share of the memory for the interpreter, the program and its libraries, and for what the
allocator cannot give back."""
JOBS_SHARE = 0.3
"""Share for the contents of jobs that are received or entered."""
INDEX_SHARE = 0.15
"""Share for the index of the jobs on the disk."""
CONNECTION_SHARE = 0.1
"""Share for the connections of other hosts."""
ANSWER_SHARE = 0.1
"""Share for answers of the key-value service."""
READS_AT_ONCE = 4
"""Requests with a job whose bodies are read at once; further ones wait."""
READ_COPIES = 3
"""Sizes of a body that reading it takes at most: a growing buffer while it is moved, and what is
decoded of it at a time."""
ENTRY_COPIES = 12
"""Sizes of a job that its entry takes at most: its file, its decoded items, the parts that they
are encoded to, and three times the base64 and the JSON form of these, up to the socket. One job is
entered at a time."""
INDEX_ENTRY_BYTES = 640
"""Most bytes that the index takes for one job."""
ANSWERS_AT_ONCE = 2
"""Answers of the service at once: one about this host's presence, one about a job."""
ANSWER_COPIES = 4
"""Sizes of an answer that reading it takes: its pieces, the whole, its texts and their values."""
SOCKET_BUFFER_BYTES = 64 << 10
"""Receive buffer of a connection in the kernel; on Linux half of what it may then take."""
READ_BUFFER_BYTES = 16 << 10
"""Limit of a connection's stream reader, which stops reading at twice as much."""
CONNECTION_BYTES = 4 * SOCKET_BUFFER_BYTES + 2 * READ_BUFFER_BYTES
"""Most bytes that a connection takes while its request waits to be read: twice the buffer in the
kernel, as much that was read from it at once, and the reader's buffer."""
MAX_HEADER_BYTES = 8 << 10
"""Most bytes of the headers of a request; hosts send a few hundred."""
METRICS_CONNECTIONS = 8
"""Connections of readers of the metrics page."""
FORMER_BODY_BYTES = 8 << 20
"""Largest request with a job that former versions accepted; their files are still entered."""


class SpoolBounds(Struct, frozen=True):
    """Bounds of a data host.

    :param body_bytes: most bytes of a request with a job.
    :param max_jobs: most jobs in the index.
    :param max_connections: most connections of other hosts.
    :param answer_bytes: most bytes of one answer of the key-value service.
    """

    body_bytes: int
    max_jobs: int
    max_connections: int
    answer_bytes: int

    @property
    def file_bytes(self) -> int:
        """Most bytes of a job's file; a larger file is not from a data host."""
        return max(self.body_bytes, FORMER_BODY_BYTES)


def derive_bounds(memory_mb: float) -> SpoolBounds:
    """Return the bounds of a process that may use *memory_mb* of memory; 0 if that is unknown."""
    memory = (memory_mb or ASSUMED_MEMORY_MB) * MEGABYTE
    copies = READS_AT_ONCE * READ_COPIES + ENTRY_COPIES
    return SpoolBounds(
        body_bytes=int(memory * JOBS_SHARE / copies),
        max_jobs=int(memory * INDEX_SHARE / INDEX_ENTRY_BYTES),
        max_connections=int(memory * CONNECTION_SHARE / CONNECTION_BYTES),
        answer_bytes=int(memory * ANSWER_SHARE / (ANSWERS_AT_ONCE * ANSWER_COPIES)),
    )
