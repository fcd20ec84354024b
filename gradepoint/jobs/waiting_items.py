"""Reports why items of this host's jobs wait and how long, in the log and as metrics."""

from __future__ import annotations

from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

from .. import events
from ..telemetry.logs import emit
from ..util.structs import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..telemetry.metrics import Labels
    from .owned import OwnedJob

CHECK_INTERVAL_S = 1.0
"""Seconds between two checks of the waiting items."""
MIN_LOGGED_WAIT_S = 3.0
"""Seconds that an item waits before it is logged. Retries and the sharing of slots between hosts
take less."""
LOG_INTERVAL_S = 10.0
"""Seconds until an item that still waits for the same reason is logged again."""
MAX_LINES_PER_CHECK = 8
"""Maximum number of lines of one check; the items that have waited longest are logged."""


class WaitReason(Enum):
    """Why an item that has not ended is not running.

    ``STOPPING``: its host is stopping. ``NOT_READY``: its host does not know enough of the other
    hosts. ``RESULTS``: results wait for a commit. ``CONFIGURATION``: the configuration in force is
    older than the job. ``CALLERS``: refused callers get the free slots first. ``RETRY``: a run
    failed shortly before. ``CRASHES``: targets crashed under it or under items with a part of its
    prompt. ``VERSION``: only targets of one software version can continue its text, and all of them
    are full. ``NO_TARGET``: the service has no target. ``FULL``: no target has a spare slot.
    ``SHARE``: the spare slots are shared between hosts, and this host has used its share.
    """

    STOPPING = "stopping"
    NOT_READY = "not_ready"
    RESULTS = "results"
    CONFIGURATION = "configuration"
    CALLERS = "callers"
    RETRY = "retry"
    CRASHES = "crashes"
    VERSION = "version"
    NO_TARGET = "no_target"
    FULL = "full"
    SHARE = "share"


class ServiceRoom(Struct, frozen=True):
    """Room for items at the targets of one or several services.

    :param targets: number of targets that may get a call.
    :param spare_slots: number of their slots that items could use.
    :param held_back: whether refused callers get these slots first.
    """

    targets: int
    spare_slots: int
    held_back: bool


class WaitingGroup(Struct, frozen=True):
    """Items of a job that are neither running nor ended, and wait alike.

    :param count: number of items.
    :param indices: their indices; read once, and only as far as items are logged.
    :param since: monotonic time since which they have not been running.
    :param spare_slots: slots of their service's targets that items could use.
    """

    job: OwnedJob
    count: int
    indices: Iterable[int]
    reason: WaitReason
    since: float
    spare_slots: int


class WaitingItems(Struct):
    """The waiting items of this host at the last check.

    :ivar counts: number of items by reason.
    :ivar oldest_since: monotonic time since which the longest waiting item waits; None if no item
        waits.
    :ivar checked_at: monotonic time of the last check.
    """

    counts: dict[WaitReason, int] = field(default_factory=dict)
    oldest_since: float | None = None
    checked_at: float = float("-inf")

    def is_due(self, now: float) -> bool:
        """Whether the items have to be checked again."""
        return now - self.checked_at >= CHECK_INTERVAL_S

    def update(self, waiting: Iterable[WaitingGroup], now: float) -> None:
        """Replace the counts, and log the items that wait although targets have room."""
        groups = sorted(waiting, key=lambda group: group.since)
        self.checked_at = now
        self.counts = {}
        for group in groups:
            self.counts[group.reason] = self.counts.get(group.reason, 0) + group.count
        self.oldest_since = groups[0].since if groups else None
        # At most the lines of the last interval are passed over before this check's are found.
        unlogged = (
            (group, index)
            for group in groups
            if self._is_stuck(group, now)
            for index in group.indices
            if _is_log_due(group, index, now)
        )
        for group, index in islice(unlogged, MAX_LINES_PER_CHECK):
            _log_waiting(group, index, now)

    def _is_stuck(self, group: WaitingGroup, now: float) -> bool:
        """Whether items have waited for long although targets have room for them.

        Where more items wait for spare slots than there are, some of them have to wait.
        """
        needed = self.counts[WaitReason.SHARE] if group.reason is WaitReason.SHARE else 1
        return group.spare_slots >= needed and now - group.since >= MIN_LOGGED_WAIT_S

    def read_counts(self) -> dict[Labels, float]:
        """Return the number of waiting items by reason, for the metrics page."""
        return {(("reason", reason.value),): self.counts.get(reason, 0) for reason in WaitReason}

    def read_oldest_s(self, now: float) -> dict[Labels, float]:
        """Return the seconds for which the longest waiting item waits, for the metrics page."""
        return {(): 0.0 if self.oldest_since is None else now - self.oldest_since}


def _is_log_due(group: WaitingGroup, index: int, now: float) -> bool:
    logged = group.job.logged_waits.get(index)
    return logged is None or logged[0] is not group.reason or now - logged[1] >= LOG_INTERVAL_S


def _log_waiting(group: WaitingGroup, index: int, now: float) -> None:
    group.job.logged_waits[index] = group.reason, now
    emit(
        events.ITEM_WAITS,
        job=group.job.id,
        index=index,
        item=group.job.items[index].id,
        reason=group.reason.value,
        waits_s=round(now - group.since, 1),
        spare_slots=group.spare_slots,
    )
