"""Whether a gateway is ready for calls, what it lacks, and whether the platform asks it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.clock import monotonic
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..telemetry.metrics import Labels

REPORT_INTERVAL_S = 10.0
"""Seconds between log lines of a host that is still not ready."""
NOT_ASKED_S = 5.0
"""Seconds without a readiness check after which a ready host counts as not reached. The platform
checks every second."""


class Requirement(Enum):
    """What a host needs before it is ready for calls.

    ``CONFIGURATION``: a configuration in force. ``TARGETS``: the list of targets. ``PORTS``: open
    ports for other hosts. ``RUNNING``: no stop in progress.
    """

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    PORTS = "ports"
    RUNNING = "running"


class Readiness(Struct):
    """Reports when a host becomes ready or ceases to be, and whether it is reached.

    :param find_missing: returns the requirements that are not met.
    :param holds_lease: whether the host is listed under its lease, for the log.
    :param count_targets: returns the number of known targets, for the log.
    :param find_failing: returns the loops that do not work, with the reason, for the log.
    :ivar missing: requirements that were not met at the last check; None before the first one.
    :ivar since: monotonic time since which exactly these are not met.
    :ivar reported_at: monotonic time of the last log line.
    :ivar asked_at: monotonic time of the last readiness check by the platform.
    :ivar reached: whether the checks of the platform arrive.
    """

    find_missing: Callable[[], list[Requirement]]
    holds_lease: Callable[[], bool]
    count_targets: Callable[[], int]
    find_failing: Callable[[], dict[str, str]] = dict
    missing: list[Requirement] | None = None
    since: float = field(default_factory=monotonic)
    reported_at: float = float("-inf")
    asked_at: float = field(default_factory=monotonic)
    reached: bool = True

    @property
    def ready(self) -> bool:
        """Whether all requirements are met now."""
        return not self.find_missing()

    def answer_check(self) -> bool:
        """Answer a readiness check of the platform."""
        self.asked_at = monotonic()
        return self.ready

    def report(self) -> None:
        """Log a change, and repeat from time to time that the host is not ready or not reached."""
        now = monotonic()
        missing = self.find_missing()
        changed = missing != self.missing
        if changed:
            self.missing, self.since = missing, now
        if changed and not missing:
            self.asked_at = max(self.asked_at, now)
            emit(events.HOST_READY, targets=self.count_targets(), lease=self.holds_lease())
        elif missing and (changed or now - self.reported_at >= REPORT_INTERVAL_S):
            self.reported_at = now
            failing = self.find_failing()
            emit(
                events.HOST_NOT_READY,
                missing=[requirement.value for requirement in missing],
                since_s=round(now - self.since, 1),
                lease=self.holds_lease(),
                **({"failing_loops": failing} if failing else {}),
            )
        self._report_reached(now)

    def _report_reached(self, now: float) -> None:
        unasked_s = now - self.asked_at
        reached = bool(self.missing) or unasked_s < NOT_ASKED_S
        if reached != self.reached:
            self.reached = reached
            event = events.HOST_REACHED if reached else events.HOST_NOT_REACHED
            emit(event, unasked_s=round(unasked_s, 1))

    def read_missing_s(self) -> dict[Labels, float]:
        """Return the seconds for which each requirement has not been met, for the metrics page."""
        missing = self.missing or []
        passed_s = monotonic() - self.since
        return {
            (("missing", requirement.value),): passed_s if requirement in missing else 0.0
            for requirement in Requirement
        }
