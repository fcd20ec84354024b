"""Word between batch programs that a job has ended, so that its streams stop at once.

Only a hint: a worker that misses it finds out at its next look or commit, and no result
counts after the end in any case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..wire.push import PushSocket

if TYPE_CHECKING:
    from ..fleet.messages import Member


class JobEnded(msgspec.Struct, frozen=True, array_like=True, tag="job_ended"):
    """A job was cancelled."""

    job_id: str
    v: int = 1


class HintSender:
    """Sends hints to every live host; a host that cannot be reached is left out."""

    def __init__(self) -> None:
        self.sockets: dict[tuple[str, int], PushSocket] = {}

    def job_ended(self, job_id: str, members: list[Member]) -> None:
        """Tell every host that a job has ended."""
        wanted = {(member.address, member.notice_port) for member in members}
        for gone in set(self.sockets) - wanted:
            self.sockets.pop(gone).close()
        for key in wanted:
            if key not in self.sockets:
                self.sockets[key] = PushSocket(*key, immediate=False)
            self.sockets[key].send(JobEnded(job_id))

    def close(self) -> None:
        """Close every connection."""
        for socket in self.sockets.values():
            socket.close()
        self.sockets.clear()
