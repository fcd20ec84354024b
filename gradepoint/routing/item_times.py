"""How long batch items take, and which of them can still end before their job is due; without I/O.

Answers more batch work than the slots can end in time. If every job kept its place until it is
past its due time, all jobs of a backlog would end shortly after it.
"""

from __future__ import annotations

from ..util.structs import Struct

SAMPLE_WEIGHT = 0.1
"""Weight of an ended item in the moving averages, so that about the last ten count."""
LISTING_S = 1.5
"""Seconds from the end of an item until a reader sees its result: items that end within 1.2 s are
listed by one commit."""


class ItemTimes(Struct):
    """Moving averages over the items that ended on this host.

    :ivar events: events of an item; 0 before the first one has ended.
    :ivar seconds_per_event: seconds between two events of a run.
    """

    events: float = 0.0
    seconds_per_event: float = 0.0

    def note_end(self, events: int, run_events: int, run_s: float) -> None:
        """Include an ended item.

        :param events: events of the item, over all of its runs.
        :param run_events: events of its last run.
        :param run_s: seconds of its last run.
        """
        if run_events <= 0:
            return
        gap_s = run_s / run_events
        weight = SAMPLE_WEIGHT if self.events else 1.0
        self.events += weight * (events - self.events)
        self.seconds_per_event += weight * (gap_s - self.seconds_per_event)

    def estimate_remaining_s(self, events: int) -> float:
        """Return the seconds that an item is expected to run on; 0 while nothing is known.

        :param events: events that it has produced so far.
        """
        return max(0.0, self.events - events) * self.seconds_per_event

    def find_needed_s(self, events: int) -> float:
        """Return the seconds in which an item that runs from now on is expected to be listed.

        :param events: events that it has produced so far.
        """
        remaining_s = self.estimate_remaining_s(events)
        return remaining_s + LISTING_S if remaining_s else 0.0

    def can_end_in_time(self, events: int, left_s: float) -> bool:
        """Whether an item that runs from now on is expected to be listed in time.

        :param events: events that it has produced so far.
        :param left_s: seconds until its job is due; negative afterwards.
        """
        return left_s >= self.find_needed_s(events)
