"""Counts the events of running answers, which show how fast their targets work.

Answers count their events as they arrive. The counts are read when a report is made, so an event
costs no reading of the clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..peers.datagrams import number_target
from ..util.structs import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import TargetNumber
    from .forwarding import Exchange

MAX_SILENCE_S = 1.0
"""Seconds without an event for which an answer adds time. A longer silence is treated as a failure
of the target, or the caller does not read its answer."""
MAX_SAMPLE_GAP_S = 0.75
"""Seconds between two reports beyond which counts are dropped: three of the longest gaps between
reports. This host was suspended or its loop was blocked, so the time says nothing of the target."""
MILLISECONDS = 1000


class AnswerProgress(Struct):
    """Events of one answer.

    :ivar events: events received so far.
    :ivar sampled_events: value of :attr:`events` at the last report.
    :ivar sampled_at: monotonic time of that report; None before the first report after the first
        event.
    :ivar risen_at: monotonic time of the last report by which events had arrived.
    """

    events: int = 0
    sampled_events: int = 0
    sampled_at: float | None = None
    risen_at: float = 0.0

    def sample(self, now: float) -> tuple[int, float] | None:
        """Return the events since the last report and the seconds that these took.

        Returns None if the answer has not begun, or if the seconds do not count.
        """
        if not self.events:
            return None
        events, since = self.events - self.sampled_events, self.sampled_at
        self.sampled_events, self.sampled_at = self.events, now
        if events:
            self.risen_at = now
        if since is None or now - since > MAX_SAMPLE_GAP_S or now - self.risen_at > MAX_SILENCE_S:
            return None
        return events, now - since


def count_events(answers: Iterable[Exchange], now: float) -> dict[TargetNumber, tuple[int, int]]:
    """Return the events since the last report and the milliseconds they took, by target."""
    sums: dict[TargetNumber, tuple[int, float]] = {}
    for answer in answers:
        sample = answer.progress.sample(now)
        if sample is not None:
            number = number_target(answer.target.id)
            events, seconds = sums.get(number, (0, 0.0))
            sums[number] = (events + sample[0], seconds + sample[1])
    return {
        number: (events, round(seconds * MILLISECONDS))
        for number, (events, seconds) in sums.items()
    }
