"""Checks from time to time whether jobs may be given up or forgotten, not all in one turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..gateway.configuration import Configuration
    from .owned import OwnedJob

MAX_ENDS_PER_TURN = 512
"""Most items that are given up in one turn; the others follow in the next turns."""
JOB_CHECK_INTERVAL_S = 1.0
"""Seconds between checks whether jobs may be given up or forgotten. Their retention is minutes, and
a new configuration is checked at once."""


class JobChecks(Struct):
    """The jobs that are still to be checked.

    :ivar waiting: these jobs.
    :ivar checked_at: monotonic time at which these were last all jobs.
    :ivar config: configuration in force at that time.
    """

    waiting: list[OwnedJob] = field(default_factory=list)
    checked_at: float = float("-inf")
    config: Configuration | None = None

    def refresh(self, jobs: Iterable[OwnedJob], config: Configuration | None, now: float) -> None:
        """Begin anew with all jobs if the configuration has changed or the interval is over."""
        if config is not self.config or now - self.checked_at >= JOB_CHECK_INTERVAL_S:
            self.config, self.checked_at = config, now
            self.waiting = list(jobs)

    def next(self) -> OwnedJob | None:
        """Remove and return a job to check, or None if there is none."""
        return self.waiting.pop() if self.waiting else None

    def repeat(self, job: OwnedJob) -> None:
        """Check a job again, since not all of its items could be given up."""
        self.waiting.append(job)


def may_give_up(job: OwnedJob, config: Configuration | None, now: float) -> bool:
    """Return whether a job's route does not exist any more, or its retention is over.

    :param config: the configuration in force; None while it is older than the job.
    """
    if config is None:
        return False
    route = config.find_route_by_name(job.stored.state.route)
    if route is None:
        return True
    return bool(route.retention_s) and now > job.accepted_at + route.retention_s
