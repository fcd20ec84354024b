"""When jobs are entered, kept in queues whose use does not grow with the number of jobs."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import JobId

    Queue = OrderedDict[JobId, float]


class EntrySchedule:
    """When each job's entry is due; a job has one due time at most.

    There is a queue for each delay, so that the entries of a queue are due in the order in which
    they were made.

    :ivar queues: due times by job, by delay in seconds.
    :ivar hurried: queues whose jobs are all due at once.
    :ivar queue_of: the queue that each job is in.
    """

    def __init__(self) -> None:
        self.queues: dict[float, Queue] = {}
        self.hurried: list[Queue] = []
        self.queue_of: dict[JobId, Queue] = {}

    def put(self, job_id: JobId, now: float, delay_s: float) -> None:
        """Make a job due *delay_s* after *now*, which must not decrease from call to call."""
        self.discard(job_id)
        queue = self.queues.setdefault(delay_s, OrderedDict())
        queue[job_id] = now + delay_s
        self.queue_of[job_id] = queue

    def discard(self, job_id: JobId) -> None:
        """Remove a job, if it is there."""
        queue = self.queue_of.pop(job_id, None)
        if queue is not None:
            del queue[job_id]

    def hurry(self) -> None:
        """Make all jobs due at once that are there now."""
        self.hurried = [queue for queue in (*self.hurried, *self.queues.values()) if queue]
        self.queues = {}

    def pop_due(self, now: float) -> JobId | None:
        """Remove and return the job that has been due for longest, or a hurried one; None if none
        is due."""
        while self.hurried and not self.hurried[0]:
            del self.hurried[0]
        if self.hurried:
            job_id = next(iter(self.hurried[0]))
        else:
            heads = [next(iter(queue.items())) for queue in self.queues.values() if queue]
            due = [(due_at, job_id) for job_id, due_at in heads if due_at <= now]
            if not due:
                return None
            job_id = min(due)[1]
        self.discard(job_id)
        return job_id
