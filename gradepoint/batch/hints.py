"""Notices between batch programs that a job was cancelled, so that its streams stop at once.

Delivery is best-effort. A worker that misses a notice detects the end of the job at its next
poll or commit, and results are never counted after the end of a job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..wire.push import PushSocket

if TYPE_CHECKING:
    from ..fleet.messages import Member


class JobEnded(msgspec.Struct, frozen=True, array_like=True, tag="job_ended"):
    """Notice that a job was cancelled."""

    job_id: str
    v: int = 1


class HintSender:
    """Sends notices to all live hosts, without retries for hosts that are unreachable."""

    def __init__(self) -> None:
        self.sockets: dict[tuple[str, int], PushSocket] = {}

    def send_job_ended(self, job_id: str, members: list[Member]) -> None:
        """Notify all members that a job has ended; close sockets of hosts that left."""
        wanted = {(member.address, member.notice_port) for member in members}
        for stale in set(self.sockets) - wanted:
            self.sockets.pop(stale).close()
        for key in wanted:
            if key not in self.sockets:
                self.sockets[key] = PushSocket(*key, immediate=False)
            self.sockets[key].send(JobEnded(job_id))

    def close(self) -> None:
        """Close all connections."""
        for socket in self.sockets.values():
            socket.close()
        self.sockets.clear()
